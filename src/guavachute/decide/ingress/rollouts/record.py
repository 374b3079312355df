"""The record of a roll-out, which the store holds for each service.

It says everything that a node needs to act, so that any node can continue
from it. A step takes effect where its record is known, never before.
"""

import dataclasses
import enum

from guavachute.domain import log_position
from guavachute.domain import rollouts
from guavachute import ids

MAX_VERSIONS = 8
"""Upper bound of each list of versions in a record."""


class Step(enum.IntEnum):
    """The steps of a roll-out, in their order; none is returned to."""

    HOLD = 0
    """Endpoints of the target get no requests."""
    CANARY = 1
    """They get a small share of the requests, enough to judge them."""
    LOAD = 2
    """One of them gets as much as an endpoint of the old version."""
    PART = 3
    """All of them get a large part of the requests for a moment."""
    FULL = 4
    """They get all new requests; the old ones get them back if they fail."""
    CLOSING = 5
    """The old endpoints get nothing any more, from any node."""
    COMPLETED = 6
    """Nothing of the system runs at the old endpoints."""
    ROLLED_BACK = 7
    """Endpoints of the target get no requests."""

    @property
    def is_final(self) -> bool:
        """Whether no other step follows."""
        return self >= Step.COMPLETED

    @property
    def needs_proof(self) -> bool:
        """Whether a node may act on it only while it is proven current."""
        return Step.CANARY <= self <= Step.FULL


STATUS = {
    Step.COMPLETED: rollouts.Status.COMPLETED,
    Step.ROLLED_BACK: rollouts.Status.ROLLED_BACK,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The state of one roll-out.

    :ivar request_id: of the operator's request
    :ivar request_position: of that request in its topic
    :ivar begun_s: when the request was first seen, as Unix time
    :ivar changed_s: when the step was recorded, as Unix time
    :ivar share: part of the requests that the target gets at this step
    :ivar withheld: other versions that were never found good, and get no
        requests either
    :ivar old: the versions that the target replaces
    :ivar requests: requests to the service until then
    :ivar sent: those that were sent to the target
    :ivar reason: why the step was taken
    :ivar position: of the record in its topic
    """

    request_id: str
    request_position: ids.LogPosition
    service: ids.ServiceName
    target: ids.BuildName
    duration_s: float
    begun_s: float
    changed_s: float
    step: Step = Step.HOLD
    share: float = 0.0
    withheld: tuple[ids.BuildName, ...] = ()
    old: tuple[ids.BuildName, ...] = ()
    requests: int = 0
    sent: int = 0
    reason: str = ''
    position: ids.LogPosition = log_position.NO_POSITION

    @property
    def status(self) -> rollouts.Status:
        """What the operator is told at this step."""
        return STATUS.get(self.step, rollouts.Status.IN_PROGRESS)

    def is_superseded_by(self, other: 'Record') -> bool:
        """Whether *other* replaces this record.

        A store that comes back from a copy shows an earlier step at a later
        position; the later step stays.
        """
        if other.request_id == self.request_id:
            if other.step == self.step:
                return other.position > self.position
            return other.step > self.step
        return other.request_position > self.request_position or (
            other.request_position == self.request_position
            and other.position > self.position
        )


def first(
    request: rollouts.Request,
    before: Record | None,
    begun_s: float,
    true_s: float,
) -> Record:
    """The first record of the roll-out that *request* demands.

    :param before: the record of an earlier request for the service
    :param begun_s: when the request was first seen, as Unix time
    :param true_s: the present Unix time
    """
    withheld: tuple[ids.BuildName, ...] = ()
    if before is not None:
        withheld = before.withheld
        was_found_good = Step.FULL <= before.step <= Step.COMPLETED
        if not was_found_good:
            withheld = (before.target, *withheld)
    kept = [build for build in withheld if build != request.target]
    return Record(
        request_id=request.id,
        request_position=request.position,
        service=request.service,
        target=request.target,
        duration_s=request.duration_s,
        begun_s=begun_s,
        changed_s=true_s,
        withheld=tuple(dict.fromkeys(kept))[:MAX_VERSIONS],
        reason='requested',
    )
