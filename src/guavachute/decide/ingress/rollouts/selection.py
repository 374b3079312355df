"""Chooses the versions and the endpoints that one request may use."""

import dataclasses
import typing

from guavachute.decide.ingress.rollouts import plan
from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide import rendezvous
from guavachute.domain import rollouts
from guavachute import ids

Step = rollout_record.Step

NO_VERSION = ids.BuildName('(none)')
"""Stands for a target where no version is one."""

PROOF_S = 2.5
"""A node acts on a step with a share only this long after the moment at which
its record is proven to have been the latest. It is the longest usual time of
updates between regions, and half of the usual time for a roll-back."""

REPLACED_S = 60.0
"""For this long after the end of a roll-out, endpoints of the old version are
not used: their entries outlive them for seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """The versions that requests of a service may use now.

    :ivar key: makes the choice of requests and endpoints differ by roll-out
    :ivar target: the version that is rolled out
    :ivar withheld: versions that get nothing
    :ivar share: part of the requests that goes to the target; at 1, all do
    :ivar is_closed: whether only the target gets requests
    :ivar avoided: versions that get nothing for a time, as they stop
    """

    key: str
    target: ids.BuildName
    withheld: frozenset[ids.BuildName] = frozenset()
    share: float = 0.0
    is_closed: bool = False
    avoided: frozenset[ids.BuildName] = frozenset()

    def is_selected(self, attempt: str) -> bool:
        """Whether a request is one of those that go to the target.

        All nodes select the same requests, at random but for good.
        """
        if not self.share:
            return False
        return rendezvous.score(attempt, self.key) < self.share * 2**64


def rule(
    request: rollouts.Request | None,
    record: rollout_record.Record | None,
    is_proven: bool,
    is_stopped: bool,
    is_isolated: bool,
    true_s: float,
) -> Rule | None:
    """The rule of a service; None if every version may be used.

    :param is_proven: whether the record was the latest :data:`PROOF_S` ago
    :param is_stopped: whether this node knows that the target is bad
    :param is_isolated: whether the other nodes take this one for ended
    """
    if record is None:
        return None if request is None else Rule(request.id, request.target)
    if request is not None and (
        request.id != record.request_id
        and request.position > record.request_position
    ):
        return _replaced_rule(request, record)
    withheld = frozenset(record.withheld)
    if record.step is Step.COMPLETED:
        age_s = true_s - record.changed_s
        avoided = frozenset(record.old) - {record.target}
        if not withheld and (not avoided or age_s > REPLACED_S):
            return None
        return Rule(
            record.request_id,
            NO_VERSION,
            withheld,
            avoided=avoided if age_s <= REPLACED_S else frozenset(),
        )
    if record.step is Step.CLOSING:
        return Rule(
            record.request_id, record.target, withheld, 1.0, is_closed=True
        )
    if is_isolated and not record.step.is_final:
        full_s = plan.EARLIEST_FULL_PART * record.duration_s
        if record.step is Step.FULL or true_s >= record.begun_s + full_s:
            # The old endpoints may stop at any time.
            return Rule(
                record.request_id, NO_VERSION, withheld, 1.0, is_closed=True
            )
    may_use = record.step.needs_proof and is_proven and not is_stopped
    return Rule(
        record.request_id,
        record.target,
        withheld,
        record.share if may_use else 0.0,
    )


def _replaced_rule(
    request: rollouts.Request, record: rollout_record.Record
) -> Rule:
    """The rule while a request is known, and only the one before recorded.

    If the operator returns to the version that still has the requests, it
    keeps them.
    """
    withheld = frozenset(
        rollout_record.first(request, record, 0.0, 0.0).withheld
    )
    is_undone = record.step < Step.FULL or record.step is Step.ROLLED_BACK
    has_requests = is_undone and request.target in record.old
    target = NO_VERSION if has_requests else request.target
    return Rule(request.id, target, withheld)


Item = typing.TypeVar('Item')


def restrict(
    items: typing.Sequence[Item],
    build_of: typing.Callable[[Item], ids.BuildName],
    id_of: typing.Callable[[Item], str],
    found: Rule,
    attempt: str,
    is_repeated: bool,
    build: ids.BuildName | None,
    canaries: int,
) -> list[Item]:
    """The endpoints of *items* that one request may be sent to.

    :param is_repeated: whether it was sent before; then it goes to the target
        only if all do
    :param build: the only version at which a stream may go on
    :param canaries: the number of endpoints that share the target's requests
    """
    new = [item for item in items if build_of(item) == found.target]
    if found.is_closed:
        return new
    old = [
        item
        for item in items
        if build_of(item) != found.target
        and build_of(item) not in found.withheld
    ]
    if found.avoided:
        # The old endpoints may still run: the status follows the record, and
        # they stop without draining when it is written.
        return [i for i in old if build_of(i) not in found.avoided]
    if not found.share:
        return old
    if build is not None:
        return new if build == found.target else old
    if found.share >= 1:
        return new or old
    if is_repeated or not found.is_selected(attempt):
        return old
    ranked = rendezvous.ranked(found.key, new, id_of)
    return ranked[: max(1, canaries)] or old


def canaries(share: float, old_slots: int, target_slots: float) -> int:
    """Among how many endpoints the share of the target is divided.

    Each gets about as much as an endpoint of the old version, so that few
    requests show how the version works under load.

    :param old_slots: slots of all endpoints of the old version
    :param target_slots: slots of one endpoint of the target
    """
    if target_slots <= 0:
        return 1
    return max(1, int(share * old_slots / target_slots + 0.6))
