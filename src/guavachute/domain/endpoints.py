"""Endpoints as they registered themselves, and what engines report."""

import dataclasses
import enum
import typing

from guavachute import ids


class EndpointState(enum.Enum):
    """Whether new work may go to an endpoint."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint's own entry in the platform's list.

    :ivar start_ms: when this incarnation started, Unix time; 0 if it
        does not say. An id may be used again by a later incarnation.
    :ivar is_reclaimable: whether the platform may take its VM away
    :ivar leaves_in_s: time left from the moment of the report, if known
    """

    id: ids.EndpointId
    service: ids.ServiceName
    address: ids.Address
    domain: ids.FailureDomain
    slots: int
    state: EndpointState
    start_ms: int
    is_reclaimable: bool
    leaves_in_s: float | None

    @property
    def incarnation(self) -> tuple[ids.EndpointId, int, ids.Address]:
        """Equal for two entries only if they are of the same start."""
        return (self.id, self.start_ms, self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Load of an engine, as of some hundred milliseconds ago.

    :ivar memory_used_tokens: KV cache that can't be dropped
    :ivar state: None if it does not say
    :ivar leaves_in_s: time left until it ends, if that is known
    """

    running: int
    waiting: int
    memory_used_tokens: int
    memory_total_tokens: int
    state: EndpointState | None = None
    leaves_in_s: float | None = None


Endpoints = typing.Mapping[ids.EndpointId, Endpoint]
