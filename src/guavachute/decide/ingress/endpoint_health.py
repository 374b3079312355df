"""What the results of sends tell of an endpoint.

Endpoints may say that they are well while they fail, so only results
count. One that was not reached is left out for a growing pause. One that
fails a part of its requests is used last for a while; a single node may
see too few of its results, so all nodes' results count.
"""

import dataclasses
import typing

from guavachute.decide import backoff
from guavachute.decide import decay

PAUSE_POLICY = backoff.Policy(initial_s=0.4, maximum_s=3.0)
"""How long an endpoint is left out after failures in a row."""

HALF_LIFE_S = 6.0
"""After this an old result counts half; then the endpoint is tried
again."""

DOUBTFUL_SHARE = 0.25
"""An endpoint with a larger share of failures is used last."""

DOUBTFUL_FAILURES = 1.8
"""Fewer failures of late say nothing yet: two in a row within a second
count as this many."""


class Results(typing.NamedTuple):
    """Requests of late at an endpoint; old ones count less."""

    failed: float = 0.0
    answered: float = 0.0


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """The results of one endpoint, as one node saw them.

    :ivar unreached: connections in a row that were not established or
        that fell silent
    """

    consecutive_unreachable: int = 0
    paused_until_s: float = 0.0
    _failed: decay.DecayingSum = dataclasses.field(
        default_factory=lambda: decay.DecayingSum(HALF_LIFE_S, 0.0)
    )
    _answered: decay.DecayingSum = dataclasses.field(
        default_factory=lambda: decay.DecayingSum(HALF_LIFE_S, 0.0)
    )

    def succeeded(self, now_s: float) -> None:
        """A whole answer came."""
        self.consecutive_unreachable = 0
        self.paused_until_s = 0.0
        self._answered.add(1.0, now_s)

    def failed(self, now_s: float) -> None:
        """It answered with a failure of its own, or broke off."""
        self._answered.add(1.0, now_s)
        self._failed.add(1.0, now_s)

    def not_reached(self, now_s: float, fraction: float) -> None:
        """It could not be connected to, or is silent.

        :param fraction: random, 0 to 1, so that nodes come back apart
        """
        self.consecutive_unreachable += 1
        self.paused_until_s = now_s + backoff.delay_s(
            PAUSE_POLICY, self.consecutive_unreachable, fraction
        )

    def is_paused(self, now_s: float) -> bool:
        """Whether nothing should be sent there now."""
        return now_s < self.paused_until_s

    def results(self, now_s: float) -> Results:
        """This node's results, for the others too."""
        return Results(self._failed.value(now_s), self._answered.value(now_s))

    def is_doubtful(self, others: Results, now_s: float) -> bool:
        """Whether it fails so much that other endpoints are better.

        :param others: the results of the other nodes
        """
        own = self.results(now_s)
        failed = own.failed + others.failed
        answered = own.answered + others.answered
        return (
            failed >= DOUBTFUL_FAILURES and failed > DOUBTFUL_SHARE * answered
        )
