"""Tracks streams that may have crashed an endpoint, in the relay task.

Feeds :mod:`guavachute.decide.crash`: collects the attempts that lost their
connection until it is known whether their endpoint died, acquires grants,
and distinguishes a reclaimed failure domain from crashes.
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
"""This many endpoints of one failure domain that are lost within the
window count as a reclaim without notice, not as crashes."""

GRANT_RETRY_S = 0.5

_log = logs.logger('suspects')


class Granter(typing.Protocol):
    """Acquires grants from the owners of fingerprints without blocking."""

    def try_acquire(self, name: crash.Fingerprint, now_s: float) -> bool:
        """Whether an attempt of suspect *name* can start here now."""

    def release(self, name: crash.Fingerprint) -> None:
        """Return the grant of *name* when the attempt has ended."""


class Suspects:
    """The suspects of one router and their attempts.

    :param granter: grants attempts of suspects, over all routers
    :param send_notice: sends a crash notice to the other routers
    :ivar registry: the known crashes and the running attempts
    """

    def __init__(
        self,
        count: counters.Counters,
        granter: Granter,
        send_notice: typing.Callable[[requests.CrashNotice], None],
    ) -> None:
        self.registry = crash.CrashRegistry()
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
        """Whether an attempt of *work* can start, and if not, why.

        Acquires a grant if the request is a suspect.

        :returns: None if it can start, on an endpoint that isn't among
            :meth:`avoided_endpoints`
        """
        status = self.registry.status(work.fingerprint, now_s)
        if status is crash.CrashStatus.CLEAN:
            return None
        if status is crash.CrashStatus.REFUSED:
            self._count.add('crashes.requests_refused')
            return outcome.Failure(
                outcome.Reason.CRASHES_ENDPOINTS,
                'this request has crashed endpoints and is not run again',
            )
        if work.granted:
            return None
        name = work.fingerprint
        if name in self._granted or not self._granter.try_acquire(name, now_s):
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
        """The endpoint where this router runs equal content that is clean."""
        status = self.registry.status(work.fingerprint, now_s)
        if status is not crash.CrashStatus.CLEAN:
            return None
        return self.registry.running_on(work.fingerprint)

    def avoided_endpoints(
        self, work: relay_work.Work, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Endpoints that must not run an attempt of *work*."""
        status = self.registry.status(work.fingerprint, now_s)
        if status is crash.CrashStatus.CLEAN:
            return frozenset()
        return self.registry.endpoints_with_suspects()

    def record_start(
        self, work: relay_work.Work, endpoint: str, now_s: float
    ) -> None:
        """Record that an attempt of *work* starts at *endpoint*."""
        self.registry.record_start(
            work.attempt_id,
            work.fingerprint,
            ids.EndpointId(endpoint),
            now_s,
        )

    def record_disconnect(self, work: relay_work.Work, endpoint: str) -> None:
        """Record that an attempt lost its connection to *endpoint*.

        The attempt stays in the registry until
        :meth:`handle_probe_result` decides whether the endpoint died.
        """
        work.disconnected = True
        self._disconnected.setdefault(endpoint, []).append(work)

    def handle_probe_result(
        self, entry: tables.EndpointEntry, alive: bool, now_s: float
    ) -> None:
        """Handle the probe of an endpoint to which attempts lost connections.

        :param alive: whether it answered. If not, its attempts are blamed
            for the crash.
        """
        disconnected = self._disconnected.pop(entry.endpoint, [])
        for work in disconnected:
            work.disconnected = False
        if alive:
            for work in disconnected:
                self.record_end(work)
            return
        crash_id = f'{entry.endpoint}@{entry.address}'
        endpoint = ids.EndpointId(entry.endpoint)
        notices = self.registry.record_endpoint_crash(
            endpoint, crash_id, now_s
        )
        if all(crash_id != each[3] for each in self._losses):
            self._count.add('crashes.endpoints')
            _log.warning('endpoint {} died', entry.endpoint)
        # The owner must learn of the crash before it grants another attempt,
        # so notices are sent before grants are released.
        for notice in notices:
            self._send_notice(notice)
        for work in disconnected:
            self._release(work)
        self._detect_domain_reclaim(entry, crash_id, now_s)

    def record_completion(self, work: relay_work.Work, now_s: float) -> None:
        """Record that an attempt of *work* gave the complete answer."""
        notice = self.registry.record_completion(work.attempt_id, now_s)
        if notice is not None:
            self._count.add('crashes.requests_cleared')
            self._send_notice(notice)
        self._release(work)

    def record_end(self, work: relay_work.Work) -> None:
        """Record an inconclusive end of an attempt of *work*.

        An attempt that lost its connection stays until its endpoint's
        probe, even if the caller disconnects.
        """
        if work.disconnected:
            return
        self.registry.record_end(work.attempt_id)
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
        """Retract crashes if they are a reclaim of their failure domain."""
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
