"""Which streams may have crashed an endpoint; owned by the relay's task.

Around :mod:`guavachute.decide.crash`: collects what was cut off an
endpoint until it is known whether that died, asks for grants, and tells
a reclaimed failure domain from a crash.
"""

import collections
import typing

from guavachute.decide import crash
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services.relay import work as relay_work
from guavachute.wire import requests
from guavachute.wire import tables

DOMAIN_WINDOW_S = 2.0
DOMAIN_ENDPOINTS = 3
"""So many endpoints of a failure domain lost within the window are a
reclaim without notice, not so many crashes."""

GRANT_RETRY_S = 0.5

_log = logs.logger('suspects')


class Granter(typing.Protocol):
    """Asks the owner of a fingerprint; answers at once or refuses."""

    def ask(self, name: crash.Fingerprint, now_s: float) -> bool:
        """Whether an attempt of suspect *name* may start here."""

    def release(self, name: crash.Fingerprint) -> None:
        """The granted attempt has ended."""


class Suspects:
    """The suspicions of one router.

    :param granter: says when a suspect may run, over all routers
    :param send_notice: called with each notice that the others have to know
    """

    def __init__(
        self,
        count: counters.Counters,
        granter: Granter,
        send_notice: typing.Callable[[requests.CrashNotice], None],
    ) -> None:
        self.registry = crash.CrashBook()
        self._granter = granter
        self._granted: set[crash.Fingerprint] = set()
        self._count = count
        self._send_notice = send_notice
        self._disconnected: dict[str, list[relay_work.Work]] = {}
        self._losses: collections.deque[tuple[float, str, str, str]] = (
            collections.deque()
        )

    def check_start(
        self, work: relay_work.Work, now_s: float
    ) -> outcome.Failure | None:
        """None if an attempt may start, with :meth:`avoided_endpoints`."""
        status = self.registry.standing(work.fingerprint, now_s)
        if status is crash.Standing.CLEAN:
            return None
        if status is crash.Standing.REFUSED:
            self._count.add('crashes.requests_refused')
            return outcome.Failure(
                outcome.Reason.CRASHES_ENDPOINTS,
                'this request has crashed endpoints and is not run again',
            )
        if work.granted:
            return None
        name = work.fingerprint
        if name in self._granted or not self._granter.ask(name, now_s):
            return outcome.Failure(
                outcome.Reason.NO_CAPACITY,
                'this request may have crashed an endpoint; another '
                'attempt of it is under way',
                GRANT_RETRY_S,
            )
        work.granted = True
        self._granted.add(name)
        return None

    def running_on(
        self, work: relay_work.Work, now_s: float
    ) -> ids.EndpointId | None:
        """Where this router runs the same content, if that is clean."""
        status = self.registry.standing(work.fingerprint, now_s)
        if status is not crash.Standing.CLEAN:
            return None
        return self.registry.running_on(work.fingerprint)

    def avoided_endpoints(
        self, work: relay_work.Work, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Endpoints that an attempt of *work* must not go to."""
        status = self.registry.standing(work.fingerprint, now_s)
        if status is crash.Standing.CLEAN:
            return frozenset()
        return self.registry.with_suspects()

    def record_start(
        self, work: relay_work.Work, endpoint: str, now_s: float
    ) -> None:
        """An attempt of *work* begins at *endpoint*."""
        self.registry.started(
            work.attempt_id,
            work.fingerprint,
            ids.EndpointId(endpoint),
            now_s,
        )

    def record_disconnect(self, work: relay_work.Work, endpoint: str) -> None:
        """Its connection broke; :meth:`handle_probe_result` says what it was.

        The attempt stays in the book until then.
        """
        work.disconnected = True
        self._disconnected.setdefault(endpoint, []).append(work)

    def handle_probe_result(
        self, entry: tables.EndpointEntry, alive: bool, now_s: float
    ) -> None:
        """Whether the endpoint of the cut attempts still lives."""
        disconnected = self._disconnected.pop(entry.endpoint, [])
        for work in disconnected:
            work.disconnected = False
        if alive:
            for work in disconnected:
                self.record_end(work)
            return
        crash_id = f'{entry.endpoint}@{entry.address}'
        endpoint = ids.EndpointId(entry.endpoint)
        notices = self.registry.crashed(endpoint, crash_id, now_s)
        if all(crash_id != each[3] for each in self._losses):
            self._count.add('crashes.endpoints')
            _log.warning('endpoint {} died', entry.endpoint)
        # The owner has to hear of the crash before it grants again.
        for notice in notices:
            self._send_notice(notice)
        for work in disconnected:
            self._release(work)
        self._detect_domain_reclaim(entry, crash_id, now_s)

    def record_completion(self, work: relay_work.Work, now_s: float) -> None:
        """An attempt of *work* gave the whole answer."""
        notice = self.registry.completed(work.attempt_id, now_s)
        if notice is not None:
            self._count.add('crashes.requests_cleared')
            self._send_notice(notice)
        self._release(work)

    def record_end(self, work: relay_work.Work) -> None:
        """An attempt of *work* ended without saying anything of it.

        A cut one stays until it is judged, also if its caller leaves.
        """
        if work.disconnected:
            return
        self.registry.ended(work.attempt_id)
        self._release(work)

    def _release(self, work: relay_work.Work) -> None:
        if not work.granted:
            return
        work.granted = False
        self._granted.discard(work.fingerprint)
        self._granter.release(work.fingerprint)

    def _detect_domain_reclaim(
        self, entry: tables.EndpointEntry, crash_id: str, now_s: float
    ) -> None:
        """Take the blame back when a failure domain goes as a whole."""
        domain = entry.failure_domain
        self._losses.append((now_s, domain, entry.endpoint, crash_id))
        while self._losses[0][0] < now_s - DOMAIN_WINDOW_S:
            self._losses.popleft()
        lost = [each for each in self._losses if each[1] == domain]
        if len({each[2] for each in lost}) < DOMAIN_ENDPOINTS:
            return
        for each in lost:
            for notice in self.registry.retract(each[3]):
                self._send_notice(notice)
