"""Outlier detection: ejects failing or slow endpoints and probes them.

An endpoint is ejected after consecutive failures, or if it is slow
compared with the median of the pool. In a pool where all endpoints are
slow none is ejected. An ejected endpoint gets no requests for a time that
doubles with each ejection; after that one request probes it.

At most half of a pool is ejected: if more endpoints fail, the fault is
more likely elsewhere, and moving the load to the remaining endpoints
would overload them as well. Endpoints that accept no connections are
certainly down and are exempt from this bound.
"""

import dataclasses
import enum
import statistics

from guavachute import ids

FAILURES_IN_A_ROW = 3
SLOW_RATIO = 3.0
"""An endpoint is slow if its smoothed latency exceeds this multiple of the
median of the other live endpoints."""

SLOW_OBSERVATIONS = 8
"""Latencies needed before an endpoint can be ejected as slow."""

SMOOTHING = 0.25
"""Weight of a new latency in the exponential moving average."""

EJECTED_FRACTION = 0.5
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 120.0
PROBE_LIMIT_S = 10.0
"""If a probe has no result after this time, another may be sent."""

EJECTION_RESET_S = 300.0
"""After an endpoint was live for this long, its ejection time starts from
:data:`FIRST_EJECTION_S` again."""


class State(enum.Enum):
    """Whether an endpoint gets requests."""

    LIVE = 'live'
    EJECTED = 'ejected'
    PROBED = 'probed'
    """One request was sent to it as a probe; the result decides."""


class Cause(enum.Enum):
    """Why an endpoint was ejected."""

    FAILURES = 'failures'
    SLOW = 'slow'
    PROBE_FAILED = 'probe-failed'
    DIED = 'died'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an endpoint's state, which the caller logs and counts.

    :ivar cause: why it was ejected; None for other changes
    """

    endpoint: ids.EndpointId
    state: State
    cause: Cause | None = None


@dataclasses.dataclass(slots=True)
class _Endpoint:
    state: State = State.LIVE
    failures: int = 0
    latency_s: float = 0.0
    observations: int = 0
    ejections: int = 0
    until_s: float = 0.0
    live_since_s: float = 0.0


class Health:
    """The health of the endpoints of one pool, as observed by one router."""

    def __init__(self) -> None:
        self._endpoints: dict[ids.EndpointId, _Endpoint] = {}

    def add(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Start tracking *endpoint* as live, unless it is tracked already."""
        if endpoint not in self._endpoints:
            self._endpoints[endpoint] = _Endpoint(live_since_s=now_s)

    def remove(self, endpoint: ids.EndpointId) -> None:
        """Stop tracking *endpoint*."""
        self._endpoints.pop(endpoint, None)

    def state(self, endpoint: ids.EndpointId) -> State:
        """The state of *endpoint*; LIVE if it is not tracked."""
        entry = self._endpoints.get(endpoint)
        return State.LIVE if entry is None else entry.state

    def excluded(self, now_s: float) -> frozenset[ids.EndpointId]:
        """Return the endpoints that must not get requests now.

        An endpoint whose ejection time has passed is not included: the
        router may send it a request and calls :meth:`record_sent`, which
        makes that request the probe.
        """
        return frozenset(
            name
            for name, entry in self._endpoints.items()
            if entry.state is not State.LIVE and now_s < entry.until_s
        )

    def record_sent(
        self, endpoint: ids.EndpointId, now_s: float
    ) -> Change | None:
        """Record that a request is sent to *endpoint*.

        If the endpoint is not live, the request is a probe.
        """
        entry = self._endpoints.get(endpoint)
        if entry is None or entry.state is State.LIVE:
            return None
        entry.state = State.PROBED
        entry.until_s = now_s + PROBE_LIMIT_S
        return Change(endpoint, State.PROBED)

    def record_success(
        self, endpoint: ids.EndpointId, latency_s: float, now_s: float
    ) -> Change | None:
        """Record that a request at *endpoint* succeeded.

        :param latency_s: the latency that is compared across the pool,
            such as the time to the first token or the mean gap of a
            stream; always the same kind
        """
        entry = self._endpoints.get(endpoint)
        if entry is None:
            return None
        entry.failures = 0
        _record_latency(entry, latency_s)
        if entry.state is State.PROBED:
            return self._probe_succeeded(endpoint, entry, latency_s, now_s)
        if entry.state is State.LIVE and self._is_slow(endpoint, entry):
            return self._eject(endpoint, entry, Cause.SLOW, now_s)
        if now_s - entry.live_since_s > EJECTION_RESET_S:
            entry.ejections = 0
        return None

    def record_failure(
        self, endpoint: ids.EndpointId, now_s: float
    ) -> Change | None:
        """Record that a request failed because of a fault of *endpoint*."""
        entry = self._endpoints.get(endpoint)
        if entry is None:
            return None
        entry.failures += 1
        if entry.state is State.PROBED:
            return self._eject(endpoint, entry, Cause.PROBE_FAILED, now_s)
        if entry.state is State.LIVE and entry.failures >= FAILURES_IN_A_ROW:
            return self._eject(endpoint, entry, Cause.FAILURES, now_s)
        return None

    def record_unreachable(
        self, endpoint: ids.EndpointId, now_s: float
    ) -> Change | None:
        """Record that *endpoint* accepts no connections, and eject it.

        This can't be a fault elsewhere, so the bound on the ejected
        fraction of the pool does not apply.
        """
        entry = self._endpoints.get(endpoint)
        if entry is None or now_s < entry.until_s:
            return None
        return self._start_ejection(endpoint, entry, Cause.DIED, now_s)

    def _probe_succeeded(
        self,
        endpoint: ids.EndpointId,
        entry: _Endpoint,
        latency_s: float,
        now_s: float,
    ) -> Change | None:
        if latency_s > SLOW_RATIO * self._median_s(endpoint):
            return self._eject(endpoint, entry, Cause.SLOW, now_s)
        entry.state = State.LIVE
        entry.live_since_s = now_s
        entry.latency_s = latency_s
        entry.observations = 1
        return Change(endpoint, State.LIVE)

    def _eject(
        self,
        endpoint: ids.EndpointId,
        entry: _Endpoint,
        cause: Cause,
        now_s: float,
    ) -> Change | None:
        if entry.state is State.LIVE and not self._can_eject():
            return None
        return self._start_ejection(endpoint, entry, cause, now_s)

    def _start_ejection(
        self,
        endpoint: ids.EndpointId,
        entry: _Endpoint,
        cause: Cause,
        now_s: float,
    ) -> Change:
        ejection_s = FIRST_EJECTION_S * 2**entry.ejections
        entry.until_s = now_s + min(LONGEST_EJECTION_S, ejection_s)
        entry.ejections = min(entry.ejections + 1, 16)
        entry.failures = 0
        entry.state = State.EJECTED
        return Change(endpoint, State.EJECTED, cause)

    def _can_eject(self) -> bool:
        ejected = sum(
            entry.state is not State.LIVE for entry in self._endpoints.values()
        )
        return ejected + 1 <= EJECTED_FRACTION * len(self._endpoints)

    def _is_slow(self, endpoint: ids.EndpointId, entry: _Endpoint) -> bool:
        if entry.observations < SLOW_OBSERVATIONS:
            return False
        return entry.latency_s > SLOW_RATIO * self._median_s(endpoint)

    def _median_s(self, excluded: ids.EndpointId) -> float:
        latencies_s = [
            entry.latency_s
            for name, entry in self._endpoints.items()
            if name != excluded
            and entry.state is State.LIVE
            and entry.observations
        ]
        if not latencies_s:
            return float('inf')
        return statistics.median(latencies_s)


def _record_latency(entry: _Endpoint, latency_s: float) -> None:
    if entry.observations == 0:
        entry.latency_s = latency_s
    else:
        entry.latency_s += SMOOTHING * (latency_s - entry.latency_s)
    entry.observations += 1
