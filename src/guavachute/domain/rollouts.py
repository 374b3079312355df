"""Roll-outs of a service's endpoints that the operator requests."""

import dataclasses
import enum

from guavachute import ids


class Status(enum.Enum):
    """What the operator is told about a roll-out."""

    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to move a service's traffic to endpoints of one version.

    :ivar id: the same for one request in all eras of the store, and different
        for two requests with the same content
    :ivar position: of its record; a later one replaces it
    :ivar target: the version that the traffic is moved to
    :ivar duration_s: how long the roll-out may take
    """

    id: str
    position: ids.LogPosition
    service: ids.ServiceName
    target: ids.BuildName
    duration_s: float
