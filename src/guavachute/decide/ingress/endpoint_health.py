"""What the results of its own sends tell a node of an endpoint.

Endpoints may say that they are well while they fail, so only results
count. One that was not reached is left out for a growing pause; one
that fails a part of its requests is used less.
"""

import dataclasses

from guavachute.decide import backoff

PAUSE = backoff.Policy(initial_s=0.4, maximum_s=3.0)
"""How long an endpoint is left out after failures in a row."""

ERROR_WEIGHT = 0.15
"""Weight of the newest result in the moving share of failures."""

DOUBTFUL_SHARE = 0.3
"""An endpoint with a larger share of failures is used last."""


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """The results of one endpoint, as one node saw them.

    :ivar failed_share: moving share of requests that it failed
    :ivar unreached: connections in a row that were not established or
        that fell silent
    """

    failed_share: float = 0.0
    unreached: int = 0
    paused_until_s: float = 0.0

    def succeeded(self) -> None:
        """A whole answer came."""
        self.unreached = 0
        self.paused_until_s = 0.0
        self.failed_share *= 1 - ERROR_WEIGHT

    def failed(self) -> None:
        """It answered with a failure of its own, or broke off."""
        self.failed_share += ERROR_WEIGHT * (1 - self.failed_share)

    def not_reached(self, now_s: float, fraction: float) -> None:
        """It could not be connected to, or is silent.

        :param fraction: random, 0 to 1, so that nodes come back apart
        """
        self.unreached += 1
        self.paused_until_s = now_s + backoff.delay_s(
            PAUSE, self.unreached, fraction
        )

    def is_paused(self, now_s: float) -> bool:
        """Whether nothing should be sent there now."""
        return now_s < self.paused_until_s

    @property
    def is_doubtful(self) -> bool:
        """Whether it fails so much that others are better."""
        return self.failed_share > DOUBTFUL_SHARE
