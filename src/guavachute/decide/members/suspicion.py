"""Limits of the membership protocol, and rules for updates and suspicion."""

import dataclasses
import math

from guavachute.wire import gossip

PRESENT = (gossip.MemberState.ALIVE, gossip.MemberState.SUSPECT)
"""States of members that still participate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times and sizes of the protocol.

    :ivar probe_period_s: one member is probed in each period
    :ivar direct_timeout_s: when other members are requested to probe a
        member that hasn't answered
    :ivar indirect_peers: how many members are requested to do so
    :ivar suspicion_periods: probe periods that a suspect has to refute,
        for ten members; grows with the logarithm of their number
    :ivar dead_probe_periods: one dead member is pinged in this many
        probe periods
    :ivar sync_period_s: mean period of exchanging the full state with
        one member
    :ivar tombstone_s: how long the dead are kept, so that old updates
        don't bring them back
    :ivar absent_s: how long the platform's list may lack a member
        before the member is dropped
    :ivar digest_stale_s: age of the last digest from which on a failure
        domain counts as unreachable
    :ivar budget_bytes: for the items piggybacked on one message
    :ivar statuses_per_s: how many members' statuses fit into the budget
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
    """Whether a member in *state* still participates."""
    return state in PRESENT


def supersedes(
    update: gossip.MemberUpdate, incarnation: int, state: gossip.MemberState
) -> bool:
    """Whether *update* supersedes the believed incarnation and state.

    The higher incarnation wins, and within one incarnation the worse
    state. So only the member itself can end a suspicion, by raising its
    incarnation.
    """
    return (update.incarnation, update.state) > (incarnation, state)


def timeout_s(limits: Limits, members: int) -> float:
    """How long a suspect has to refute before it is declared dead.

    The number of rounds in which an update reaches the suspect, and the
    refutation the others, grows with the logarithm of the members.

    :param members: the number of present members
    """
    rounds = limits.suspicion_periods * max(1.0, math.log10(members + 1))
    return rounds * limits.probe_period_s


def send_count(members: int) -> int:
    """How many times each member passes on an update."""
    return 2 + math.ceil(math.log2(members + 2))
