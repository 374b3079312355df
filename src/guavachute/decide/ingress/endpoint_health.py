"""The health of an endpoint, from the results of its requests.

An endpoint may report that it is healthy while its requests fail, so
only results are used. After a failed connection, an endpoint gets no
requests for a pause that grows with each failure in a row. An endpoint
that fails a share of its requests is used only as a last resort for a
while; a single node may see too few of its results, so the results of
all nodes are added up.
"""

import dataclasses
import typing

from guavachute.decide import backoff
from guavachute.decide import decay

PAUSE_POLICY = backoff.Policy(initial_s=0.4, maximum_s=3.0)
"""Pauses after failed connections in a row."""

HALF_LIFE_S = 6.0
"""Half-life of the weight of a result. Old failures lose their weight,
so an endpoint that is no longer used is tried again."""

DOUBTFUL_SHARE = 0.25
"""An endpoint with a larger share of failures is doubtful."""

DOUBTFUL_FAILURES = 1.8
"""Weighted failures below which an endpoint isn't doubtful yet; two
failures in a row within a second add up to at least this."""


class Results(typing.NamedTuple):
    """Results of an endpoint's requests; older ones count less.

    :ivar failed: weighted number of failed requests
    :ivar answered: weighted number of all requests with a result
    """

    failed: float = 0.0
    answered: float = 0.0


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """The health of one endpoint, from the requests of this node.

    :ivar consecutive_unreachable: connections in a row that were not
        established or that stopped sending
    :ivar paused_until_s: no requests are sent to it before this time
    """

    consecutive_unreachable: int = 0
    paused_until_s: float = 0.0
    _failed: decay.DecayingSum = dataclasses.field(
        default_factory=lambda: decay.DecayingSum(HALF_LIFE_S, 0.0)
    )
    _answered: decay.DecayingSum = dataclasses.field(
        default_factory=lambda: decay.DecayingSum(HALF_LIFE_S, 0.0)
    )

    def record_success(self, now_s: float, is_direct: bool = True) -> None:
        """Record a complete answer.

        :param is_direct: whether it came from the endpoint itself, which ends
            a pause; through another node it shows nothing of the link
        """
        if is_direct:
            self.end_pause()
        self._answered.add(1.0, now_s)

    def record_failure(self, now_s: float) -> None:
        """Record a failure by the endpoint or an incomplete answer."""
        self._answered.add(1.0, now_s)
        self._failed.add(1.0, now_s)

    def record_unreachable(self, now_s: float, fraction: float) -> None:
        """Record a failed or silent connection; starts a pause.

        Those that were begun before a pause and fail in it don't make it
        longer.

        :param fraction: random, 0 to 1; spreads the nodes' next attempts
        """
        if self.is_paused(now_s):
            return
        self.consecutive_unreachable += 1
        self.paused_until_s = now_s + backoff.delay_s(
            PAUSE_POLICY, self.consecutive_unreachable, fraction
        )

    def end_pause(self) -> None:
        """Allow requests again: the link was at fault, and works again."""
        self.consecutive_unreachable = 0
        self.paused_until_s = 0.0

    def discard_results(self) -> None:
        """Forget all results: they say nothing of the endpoint."""
        self._failed = decay.DecayingSum(HALF_LIFE_S, 0.0)
        self._answered = decay.DecayingSum(HALF_LIFE_S, 0.0)

    def is_paused(self, now_s: float) -> bool:
        """Whether requests should not be sent to it now."""
        return now_s < self.paused_until_s

    def results(self, now_s: float) -> Results:
        """The results seen by this node, weighted as of *now_s*."""
        return Results(self._failed.value(now_s), self._answered.value(now_s))

    def is_doubtful(self, others: Results, now_s: float) -> bool:
        """Whether so many requests fail that others are preferred.

        :param others: the sum of the results seen by the other nodes
        """
        own = self.results(now_s)
        failed = own.failed + others.failed
        answered = own.answered + others.answered
        return (
            failed >= DOUBTFUL_FAILURES and failed > DOUBTFUL_SHARE * answered
        )
