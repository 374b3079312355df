"""When news about a member counts, and how long a suspicion lasts."""

import dataclasses
import math

from guavachute.wire import gossip

PRESENT = (gossip.MemberState.ALIVE, gossip.MemberState.SUSPECT)
"""States of those that still take part."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times and sizes of the protocol.

    :ivar probe_period_s: one member is probed in each
    :ivar direct_timeout_s: then others are asked to probe it too
    :ivar indirect_peers: how many are asked
    :ivar suspicion_periods: probe periods that a suspect has to refute,
        for ten members; grows with the logarithm of their number
    :ivar dead_probe_periods: one dead member is probed in so many
    :ivar sync_period_s: one member is sent everything in each
    :ivar tombstone_s: how long the dead are remembered, so that old
        news doesn't bring them back
    :ivar absent_s: how long the platform's list may lack a member
    :ivar digest_stale_s: a failure domain not heard of for so long is
        taken to be out of reach
    :ivar budget_bytes: for what rides along on one message
    :ivar statuses_per_s: how many members' statuses the budget carries
    """

    probe_period_s: float = 1.0
    direct_timeout_s: float = 0.3
    indirect_peers: int = 3
    suspicion_periods: float = 3.0
    dead_probe_periods: int = 10
    sync_period_s: float = 60.0
    tombstone_s: float = 3600.0
    absent_s: float = 120.0
    digest_stale_s: float = 20.0
    budget_bytes: int = 1000
    statuses_per_s: float = 10.0


def is_present(state: gossip.MemberState) -> bool:
    """Whether a member in *state* still takes part."""
    return state in PRESENT


def supersedes(
    news: gossip.MemberUpdate, incarnation: int, state: gossip.MemberState
) -> bool:
    """Whether *news* counts more than what is believed.

    Of two incarnations the higher counts. Of one incarnation the worse
    state counts, so a suspicion is ended only by the member itself, with
    a higher incarnation.
    """
    return (news.incarnation, news.state) > (incarnation, state)


def timeout_s(limits: Limits, members: int) -> float:
    """How long a suspect has to refute before it counts as dead.

    News needs a number of rounds that grows with the logarithm of the
    members to reach the suspect, and its answer to come back.
    """
    rounds = limits.suspicion_periods * max(1.0, math.log10(members + 1))
    return rounds * limits.probe_period_s


def sends(members: int) -> int:
    """How often each member passes a piece of news on."""
    return 2 + math.ceil(math.log2(members + 2))
