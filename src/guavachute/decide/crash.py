"""Detects requests that crash endpoints, and rejects them.

When an endpoint crashes, all requests that ran on it become suspect.
They are identified by a fingerprint of their content, since a caller
resends a request under another id and to another router. Over all
routers, only one attempt of a suspect runs at a time, on an endpoint
without another suspect that is unproven. A completed attempt clears a
suspect; after a second crash, all routers reject the fingerprint.

Routers exchange :class:`requests.CrashNotice`, the complete entry of one
fingerprint. Notices may arrive late, repeatedly and in any order. The
first one has to reach the other routers before the second crash, for
which the duration of the second attempt leaves time. From then on,
:mod:`guavachute.decide.requests.crash_grants` serializes the attempts, so
a resend that arrives before the second notice isn't run either.

Limitation: equal requests that run in different routers before the first
crash is known can each crash an endpoint. Within one router,
:meth:`CrashRegistry.running_on` sends them to the same endpoint.
"""

import collections
import dataclasses
import enum
import typing

import xxhash

from guavachute import ids
from guavachute.wire import requests

Fingerprint = typing.NewType('Fingerprint', str)
"""Hash of a request; equal for equal content of one workspace."""

CRASHES_TO_REFUSE = 2
SUSPECT_S = 600.0
"""A suspect expires this long after its latest crash or notice."""

REFUSED_S = 86_400.0
"""A refused fingerprint expires if it was not sent for this long."""

PROVEN_TOKENS = 8
"""A suspect's attempt is proven after this many tokens; its endpoint can
then get other suspects."""

MAXIMUM_ENTRIES = 10_000


class CrashStatus(enum.Enum):
    """How requests with a fingerprint are treated."""

    CLEAN = 'clean'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


def fingerprint(
    workspace: ids.WorkspaceName, model: str, content: str
) -> Fingerprint:
    """The fingerprint of a request.

    :param content: the prompt or the body
    """
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
    expires_at_s: float = 0.0

    def status(self) -> CrashStatus:
        if self.refused:
            return CrashStatus.REFUSED
        if self.crashes - self.cleared:
            return CrashStatus.SUSPECT
        return CrashStatus.CLEAN

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


class CrashRegistry:
    """The running attempts of one router, and all suspect fingerprints."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[Fingerprint, _Entry] = (
            collections.OrderedDict()
        )
        self._attempts: dict[ids.AttemptId, _Attempt] = {}
        self._running: dict[Fingerprint, dict[ids.AttemptId, None]] = {}

    def status(self, name: Fingerprint, now_s: float) -> CrashStatus:
        """The status of *name*; a call also extends a refusal."""
        entry = self._entries.get(name)
        if entry is None:
            return CrashStatus.CLEAN
        if now_s >= entry.expires_at_s:
            del self._entries[name]
            return CrashStatus.CLEAN
        if entry.refused:
            entry.expires_at_s = now_s + REFUSED_S
            self._entries.move_to_end(name)
        return entry.status()

    def running_on(self, name: Fingerprint) -> ids.EndpointId | None:
        """The endpoint where this router already runs *name*, or None.

        An equal request is sent there too, so that both can crash only
        one endpoint.
        """
        for attempt_id in self._running.get(name, ()):
            return self._attempts[attempt_id].endpoint
        return None

    def endpoints_with_suspects(self) -> frozenset[ids.EndpointId]:
        """Endpoints with an unproven suspect, which get no other suspect."""
        return frozenset(
            attempt.endpoint
            for attempt in self._attempts.values()
            if attempt.suspect and not attempt.proven
        )

    def record_start(
        self,
        attempt_id: ids.AttemptId,
        name: Fingerprint,
        endpoint: ids.EndpointId,
        now_s: float,
    ) -> None:
        """Record an attempt that is sent to *endpoint*."""
        suspect = self.status(name, now_s) is not CrashStatus.CLEAN
        self._attempts[attempt_id] = _Attempt(name, endpoint, suspect)
        self._running.setdefault(name, {})[attempt_id] = None

    def record_proven(self, attempt_id: ids.AttemptId) -> None:
        """Record that an attempt returned :data:`PROVEN_TOKENS` tokens."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.proven = True

    def record_end(self, attempt_id: ids.AttemptId) -> None:
        """Record the inconclusive end of an attempt, such as a cancel."""
        self._pop(attempt_id)

    def record_completion(
        self, attempt_id: ids.AttemptId, now_s: float
    ) -> requests.CrashNotice | None:
        """Record the complete answer of an attempt.

        Returns a notice if that clears a suspect.
        """
        attempt = self._pop(attempt_id)
        if attempt is None:
            return None
        return self.record_success(attempt.fingerprint, now_s)

    def record_endpoint_crash(
        self, endpoint: ids.EndpointId, crash_id: str, now_s: float
    ) -> list[requests.CrashNotice]:
        """Record a crash of *endpoint*; returns notices for other routers.

        All attempts on it become suspect, with one exception: if an
        unproven suspect also ran on it, proven suspects are not blamed
        again, since the unproven one is the more likely cause.
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

    def record_crash(
        self, name: Fingerprint, crash_id: str, now_s: float
    ) -> requests.CrashNotice:
        """Record a crash of an endpoint that ran *name*.

        Returns the notice for other routers.
        """
        entry = self._merge(name, [crash_id], [], False, now_s)
        return _notice(name, entry)

    def record_success(
        self, name: Fingerprint, now_s: float
    ) -> requests.CrashNotice | None:
        """Record a complete run of *name*.

        Returns a notice if that clears a suspect.
        """
        entry = self._entries.get(name)
        if (
            entry is None
            or self.status(name, now_s) is not CrashStatus.SUSPECT
        ):
            return None
        entry.cleared.update(entry.crashes)
        return _notice(name, entry)

    def merge_notice(
        self, notice: requests.CrashNotice, now_s: float
    ) -> list[ids.AttemptId]:
        """Merge a notice of another router.

        Returns the running attempts of this router to stop if the notice
        changes the status. If the fingerprint is now refused, these are
        all of its attempts. If it is now suspect, these are the attempts
        that started before; they have to be repeated as attempts of a
        suspect.
        """
        name = Fingerprint(notice.fingerprint)
        before = self.status(name, now_s)
        entry = self._merge(
            name, notice.crashes, notice.cleared, notice.refused, now_s
        )
        status = entry.status()
        if status is before or status is CrashStatus.CLEAN:
            return []
        return [
            attempt_id
            for attempt_id in self._running.get(name, ())
            if status is CrashStatus.REFUSED
            or not self._attempts[attempt_id].suspect
        ]

    def retract(self, crash_id: str) -> list[requests.CrashNotice]:
        """Withdraw a crash that turned out to be another kind of loss.

        Returns notices of the changed entries. A refused fingerprint
        stays refused, since the refusal may come from another router.
        """
        notices = []
        for name, entry in self._entries.items():
            if crash_id in entry.crashes and not entry.refused:
                entry.cleared.add(crash_id)
                notices.append(_notice(name, entry))
        return notices

    def clear(self, name: Fingerprint) -> None:
        """Remove the entry of *name*, at an operator's request."""
        self._entries.pop(name, None)

    def notices(self, now_s: float) -> list[requests.CrashNotice]:
        """Notices of all entries, for a router that has just started."""
        return [
            _notice(name, entry)
            for name, entry in self._entries.items()
            if now_s < entry.expires_at_s
        ]

    def expire(self, now_s: float) -> None:
        """Remove expired entries; called about once a minute."""
        for name in [
            name
            for name, entry in self._entries.items()
            if now_s >= entry.expires_at_s
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
        entry.expires_at_s = max(entry.expires_at_s, now_s + keep_s)
        self._entries.move_to_end(name)
        if len(self._entries) > MAXIMUM_ENTRIES:
            self._evict_one()
        return entry

    def _evict_one(self) -> None:
        """Remove the oldest suspect, or the oldest refused entry."""
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
