"""Asks the owners of suspect fingerprints, by way of the node process."""

import typing

from guavachute.decide import crash
from guavachute.wire import requests

REQUEST_INTERVAL_S = 0.5
UNUSED_S = 5.0
"""A grant that nobody took by then is given back."""

UNANSWERED_S = 2.0
"""Without any answer for this long a router decides alone.

Most suspects are innocent, and the node process or the owner may be
down for long; an accepted answer must not wait for them to come back.
"""


class RemoteGranter:
    """The grants of one router.

    :param send: takes messages for the node process
    """

    def __init__(
        self, router: str, send: typing.Callable[[requests.Grant], None]
    ) -> None:
        self._router = router
        self._send = send
        self._unanswered_since_s: dict[crash.Fingerprint, float] = {}
        self._last_request_s: dict[crash.Fingerprint, float] = {}
        self._granted_s: dict[crash.Fingerprint, float] = {}

    def ask(self, name: crash.Fingerprint, now_s: float) -> bool:
        """Whether an attempt of suspect *name* may start here now.

        Asks the owner, so that a later call gets its answer.
        """
        if self._granted_s.pop(name, None) is not None:
            self._discard_request(name)
            return True
        since_s = self._unanswered_since_s.get(name)
        if since_s is not None and now_s - since_s >= UNANSWERED_S:
            self._discard_request(name)
            return True
        if (
            now_s - self._last_request_s.get(name, -REQUEST_INTERVAL_S)
            >= REQUEST_INTERVAL_S
        ):
            self._last_request_s[name] = now_s
            self._unanswered_since_s.setdefault(name, now_s)
            message = requests.GrantAsk(fingerprint=name, router=self._router)
            self._send(message)
        return False

    def answered(self, message: requests.GrantAnswer, now_s: float) -> None:
        """Take the owner's answer; those of other routers are ignored."""
        name = crash.Fingerprint(message.fingerprint)
        if message.router != self._router:
            return
        # An owner that says no lives: its next word is waited for.
        self._unanswered_since_s.pop(name, None)
        if message.granted:
            self._granted_s[name] = now_s

    def release(self, name: crash.Fingerprint) -> None:
        """The granted attempt has ended."""
        message = requests.GrantRelease(fingerprint=name, router=self._router)
        self._send(message)

    def expire(self, now_s: float) -> None:
        """Give back what was granted too late; call it about each second."""
        for name, when_s in list(self._granted_s.items()):
            if now_s - when_s >= UNUSED_S:
                del self._granted_s[name]
                self._discard_request(name)
                self.release(name)
        for name, when_s in list(self._last_request_s.items()):
            if now_s - when_s >= UNUSED_S:
                self._discard_request(name)

    def _discard_request(self, name: crash.Fingerprint) -> None:
        self._unanswered_since_s.pop(name, None)
        self._last_request_s.pop(name, None)
