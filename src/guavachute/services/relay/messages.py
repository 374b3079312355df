"""Messages of other tasks to the relay, apart from the calls."""

import dataclasses
import threading

from guavachute.decide.requests import prefix_index
from guavachute.services import lookup_tables


@dataclasses.dataclass(frozen=True, slots=True)
class TablesChanged:
    """New tables and a new document are in force."""

    lookup: lookup_tables.LookupTables


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """The load that an endpoint reports about itself.

    :ivar outstanding: requests that run or wait there
    :ivar slots: requests that it can run at the same time
    :ivar age_s: age of the load when the report was received
    :ivar received_s: when it was received, on the monotonic clock
    """

    endpoint: str
    outstanding: int
    slots: int
    age_s: float
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """Prompt cache events of an endpoint, oldest first."""

    endpoint: str
    events: list[prefix_index.Event]


@dataclasses.dataclass(frozen=True, slots=True)
class NotifyWhenIdle:
    """Requests that the relay sets *event* when no stream is left."""

    event: threading.Event


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Ends all streams so that callers resume at another router."""
