"""Acquires grants for attempts of suspects from their owners.

A fingerprint has one owner among the nodes, which grants one attempt at a
time. Messages pass through the node process.
"""

import typing

from guavachute.decide import crash
from guavachute.wire import requests

REQUEST_INTERVAL_S = 0.5
"""Shortest interval between two requests for one fingerprint."""

UNUSED_GRANT_TIMEOUT_S = 5.0
"""A grant that is unused for this long is released."""

ANSWER_TIMEOUT_S = 2.0
"""Without an answer for this long, the router starts the attempt.

Most suspects don't crash anything, and the node process or the owner may
be down for long; an accepted request must not wait for their recovery.
"""


class RemoteGranter:
    """Requests and holds the grants of one router.

    :param router: the name of the router, which the messages carry
    :param send: sends a message to the node process
    """

    def __init__(
        self, router: str, send: typing.Callable[[requests.Grant], None]
    ) -> None:
        self._router = router
        self._send = send
        self._unanswered_since_s: dict[crash.Fingerprint, float] = {}
        self._last_request_s: dict[crash.Fingerprint, float] = {}
        self._granted_s: dict[crash.Fingerprint, float] = {}

    def try_acquire(self, name: crash.Fingerprint, now_s: float) -> bool:
        """Whether an attempt of suspect *name* can start here now.

        If not, requests a grant from the owner, for a later call. True
        uses up the grant; call :meth:`release` when the attempt ends.
        """
        if self._granted_s.pop(name, None) is not None:
            self._discard_request(name)
            return True
        since_s = self._unanswered_since_s.get(name)
        if since_s is not None and now_s - since_s >= ANSWER_TIMEOUT_S:
            self._discard_request(name)
            return True
        if (
            now_s - self._last_request_s.get(name, -REQUEST_INTERVAL_S)
            >= REQUEST_INTERVAL_S
        ):
            self._last_request_s[name] = now_s
            self._unanswered_since_s.setdefault(name, now_s)
            message = requests.GrantRequest(
                fingerprint=name, router=self._router
            )
            self._send(message)
        return False

    def handle_answer(
        self, message: requests.GrantAnswer, now_s: float
    ) -> None:
        """Handle an owner's answer; those to other routers are ignored."""
        name = crash.Fingerprint(message.fingerprint)
        if message.router != self._router:
            return
        # An owner that denies a grant is alive, so the router waits for its
        # next answer instead of deciding alone.
        self._unanswered_since_s.pop(name, None)
        if message.granted:
            self._granted_s[name] = now_s

    def release(self, name: crash.Fingerprint) -> None:
        """Return the grant of *name* to its owner after the attempt."""
        message = requests.GrantRelease(fingerprint=name, router=self._router)
        self._send(message)

    def expire(self, now_s: float) -> None:
        """Release unused grants and discard stale requests.

        To be called about once a second.
        """
        for name, when_s in list(self._granted_s.items()):
            if now_s - when_s >= UNUSED_GRANT_TIMEOUT_S:
                del self._granted_s[name]
                self._discard_request(name)
                self.release(name)
        for name, when_s in list(self._last_request_s.items()):
            if now_s - when_s >= UNUSED_GRANT_TIMEOUT_S:
                self._discard_request(name)

    def _discard_request(self, name: crash.Fingerprint) -> None:
        self._unanswered_since_s.pop(name, None)
        self._last_request_s.pop(name, None)
