"""Finds requests that crash endpoints, and refuses them.

When an endpoint crashes, everything that ran on it is suspect, by a
fingerprint of its content, since the caller sends it again under
another id and to another router. A suspect gets one more attempt at a
time over all routers, on an endpoint without another suspect that is
still unproven. A second crash refuses the fingerprint everywhere; a
completion clears it.

What the routers exchange is :class:`requests.CrashNotice`, the whole
entry of one fingerprint. Notices may come late, twice and in any order.
The first one has to reach the other routers before the second crash,
which the second attempt's own duration gives; from then on
:mod:`guavachute.decide.requests.crash_grants` keeps the attempts one after
another, so a resend that overtakes the second notice is not run either.

Its limit: equal requests that are all running in different routers
before the first crash is known can each lose an endpoint. Within one
router :meth:`CrashBook.running_on` keeps them together.
"""

import collections
import dataclasses
import enum
import typing

import xxhash

from guavachute import ids
from guavachute.wire import requests

Fingerprint = typing.NewType('Fingerprint', str)
"""Equal for equal content of one workspace."""

CRASHES_TO_REFUSE = 2
SUSPECT_S = 600.0
"""Without another crash a suspect is forgotten after this."""

REFUSED_S = 86_400.0
"""A refused one is forgotten when it was not sent for this long."""

PROVEN_TOKENS = 8
"""After so many tokens of the next attempt a suspect no longer keeps
other suspects away from its endpoint."""

MAXIMUM_ENTRIES = 10_000


class Standing(enum.Enum):
    """What is known of a fingerprint."""

    CLEAN = 'clean'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


def fingerprint(
    workspace: ids.WorkspaceName, model: str, content: str
) -> Fingerprint:
    """The fingerprint of *content*: the prompt or the call's body."""
    digest = xxhash.xxh3_128()
    for part in (workspace, model, content):
        data = part.encode('utf-8', 'surrogatepass')
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return Fingerprint(digest.hexdigest())


@dataclasses.dataclass(slots=True)
class _Entry:
    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)
    refused: bool = False
    until_s: float = 0.0

    def status(self) -> Standing:
        if self.refused:
            return Standing.REFUSED
        if self.crashes - self.cleared:
            return Standing.SUSPECT
        return Standing.CLEAN

    def merge(
        self, crashes: typing.Iterable[str], cleared: typing.Iterable[str]
    ) -> None:
        self.crashes.update(crashes)
        self.cleared.update(cleared)
        if len(self.crashes - self.cleared) >= CRASHES_TO_REFUSE:
            self.refused = True


@dataclasses.dataclass(slots=True)
class _Attempt:
    fingerprint: Fingerprint
    endpoint: ids.EndpointId
    suspect: bool
    proven: bool = False


class CrashBook:
    """What one router knows: its attempts, and all that is suspect."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[Fingerprint, _Entry] = (
            collections.OrderedDict()
        )
        self._attempts: dict[ids.AttemptId, _Attempt] = {}
        self._running: dict[Fingerprint, dict[ids.AttemptId, None]] = {}

    def standing(self, name: Fingerprint, now_s: float) -> Standing:
        """Whether *name* may run; asking keeps a refusal alive."""
        entry = self._entries.get(name)
        if entry is None:
            return Standing.CLEAN
        if now_s >= entry.until_s:
            del self._entries[name]
            return Standing.CLEAN
        if entry.refused:
            entry.until_s = now_s + REFUSED_S
            self._entries.move_to_end(name)
        return entry.status()

    def running_on(self, name: Fingerprint) -> ids.EndpointId | None:
        """Where this router runs *name* already.

        An equal request goes there too, so that a crash of both costs
        one endpoint.
        """
        for attempt_id in self._running.get(name, ()):
            return self._attempts[attempt_id].endpoint
        return None

    def with_suspects(self) -> frozenset[ids.EndpointId]:
        """Endpoints where a suspect is unproven: no place for another."""
        return frozenset(
            attempt.endpoint
            for attempt in self._attempts.values()
            if attempt.suspect and not attempt.proven
        )

    def started(
        self,
        attempt_id: ids.AttemptId,
        name: Fingerprint,
        endpoint: ids.EndpointId,
        now_s: float,
    ) -> None:
        """An attempt goes to *endpoint*."""
        suspect = self.standing(name, now_s) is not Standing.CLEAN
        self._attempts[attempt_id] = _Attempt(name, endpoint, suspect)
        self._running.setdefault(name, {})[attempt_id] = None

    def proven(self, attempt_id: ids.AttemptId) -> None:
        """An attempt has given :data:`PROVEN_TOKENS` tokens."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.proven = True

    def ended(self, attempt_id: ids.AttemptId) -> None:
        """An attempt ended without a verdict, such as by a cancel."""
        self._pop(attempt_id)

    def completed(
        self, attempt_id: ids.AttemptId, now_s: float
    ) -> requests.CrashNotice | None:
        """An attempt gave its whole answer; a notice if that clears it."""
        attempt = self._pop(attempt_id)
        if attempt is None:
            return None
        return self.absolve(attempt.fingerprint, now_s)

    def crashed(
        self, endpoint: ids.EndpointId, crash_id: str, now_s: float
    ) -> list[requests.CrashNotice]:
        """*endpoint* died without notice; what the others are to know.

        With an unproven suspect on it, the proven ones are not blamed
        again, for the unproven one is the likelier cause. Those that had
        never been suspect always become so.
        """
        lost = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if attempt.endpoint == endpoint
        ]
        attempts = [self._attempts[attempt_id] for attempt_id in lost]
        for attempt_id in lost:
            self._pop(attempt_id)
        unproven = any(
            attempt.suspect and not attempt.proven for attempt in attempts
        )
        notices = []
        blamed = {
            attempt.fingerprint
            for attempt in attempts
            if not (unproven and attempt.suspect and attempt.proven)
        }
        for name in sorted(blamed):
            entry = self._merge(name, [crash_id], [], False, now_s)
            notices.append(_notice(name, entry))
        return notices

    def blame(
        self, name: Fingerprint, crash_id: str, now_s: float
    ) -> requests.CrashNotice:
        """An endpoint died while it ran *name*; what others are to know."""
        entry = self._merge(name, [crash_id], [], False, now_s)
        return _notice(name, entry)

    def absolve(
        self, name: Fingerprint, now_s: float
    ) -> requests.CrashNotice | None:
        """*name* ran to its end; a notice if it was suspect before."""
        entry = self._entries.get(name)
        if entry is None or self.standing(name, now_s) is not Standing.SUSPECT:
            return None
        entry.cleared.update(entry.crashes)
        return _notice(name, entry)

    def take(
        self, notice: requests.CrashNotice, now_s: float
    ) -> list[ids.AttemptId]:
        """Take over what another router knows.

        Gives the attempts of this router to stop and to make again as a
        suspect's: those started when the fingerprint was still clean.
        """
        name = Fingerprint(notice.fingerprint)
        before = self.standing(name, now_s)
        entry = self._merge(
            name, notice.crashes, notice.cleared, notice.refused, now_s
        )
        standing = entry.status()
        if standing is before or standing is Standing.CLEAN:
            return []
        return [
            attempt_id
            for attempt_id in self._running.get(name, ())
            if standing is Standing.REFUSED
            or not self._attempts[attempt_id].suspect
        ]

    def retract(self, crash_id: str) -> list[requests.CrashNotice]:
        """That loss was no crash; notices of what is cleared by it.

        A refusal stays, for it may rest on an entry from elsewhere.
        """
        notices = []
        for name, entry in self._entries.items():
            if crash_id in entry.crashes and not entry.refused:
                entry.cleared.add(crash_id)
                notices.append(_notice(name, entry))
        return notices

    def clear(self, name: Fingerprint) -> None:
        """An operator says that *name* is harmless."""
        self._entries.pop(name, None)

    def notices(self, now_s: float) -> list[requests.CrashNotice]:
        """All that is known, for a router that has just started."""
        return [
            _notice(name, entry)
            for name, entry in self._entries.items()
            if now_s < entry.until_s
        ]

    def expire(self, now_s: float) -> None:
        """Forget what is too old; call it about each minute."""
        for name in [
            name
            for name, entry in self._entries.items()
            if now_s >= entry.until_s
        ]:
            del self._entries[name]

    def _pop(self, attempt_id: ids.AttemptId) -> _Attempt | None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            running = self._running[attempt.fingerprint]
            del running[attempt_id]
            if not running:
                del self._running[attempt.fingerprint]
        return attempt

    def _merge(
        self,
        name: Fingerprint,
        crashes: list[str],
        cleared: list[str],
        refused: bool,
        now_s: float,
    ) -> _Entry:
        entry = self._entries.setdefault(name, _Entry())
        entry.merge(crashes, cleared)
        entry.refused |= refused
        keep_s = REFUSED_S if entry.refused else SUSPECT_S
        entry.until_s = max(entry.until_s, now_s + keep_s)
        self._entries.move_to_end(name)
        if len(self._entries) > MAXIMUM_ENTRIES:
            self._evict_one()
        return entry

    def _evict_one(self) -> None:
        """Forget the oldest suspect, or the oldest of all."""
        for name, entry in self._entries.items():
            if not entry.refused:
                del self._entries[name]
                return
        self._entries.popitem(last=False)


def _notice(name: Fingerprint, entry: _Entry) -> requests.CrashNotice:
    return requests.CrashNotice(
        fingerprint=name,
        crashes=sorted(entry.crashes),
        cleared=sorted(entry.cleared),
        refused=entry.refused,
    )
