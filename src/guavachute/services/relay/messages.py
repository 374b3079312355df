"""What other tasks send to the relay, beside the calls themselves."""

import dataclasses
import threading

from guavachute.decide.requests import prefix_index
from guavachute.services import view as view_module


@dataclasses.dataclass(frozen=True, slots=True)
class TablesChanged:
    """New tables are in force."""

    view: view_module.View


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint says of itself, late.

    :ivar age_s: of the load, at *received_s* on the monotonic clock
    """

    endpoint: str
    outstanding: int
    slots: int
    age_s: float
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """Cache events of an endpoint, in order."""

    endpoint: str
    events: list[prefix_index.Event]


@dataclasses.dataclass(frozen=True, slots=True)
class TellWhenIdle:
    """Set *event* as soon as no stream is left."""

    event: threading.Event


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """The VM is about to go: callers are to go on elsewhere."""
