"""Endpoints as they registered themselves, and engines' load reports."""

import dataclasses
import enum
import typing

from guavachute import ids


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint's own entry in the platform's list.

    :ivar start_ms: start of this incarnation, as Unix time; 0 if not
        given. A later incarnation may use the same id.
    :ivar build: the version of its software; empty if not given
    :ivar writes: how often this incarnation has written its entry
    :ivar is_reclaimable: whether the platform may reclaim its VM
    :ivar leaves_in_s: remaining time when the entry was written; None if
        not known
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
    writes: int = 0
    build: ids.BuildName = ids.BuildName('')

    @property
    def incarnation(self) -> tuple[ids.EndpointId, int, ids.Address]:
        """Identifies the incarnation: the id, its start and its address."""
        return (self.id, self.start_ms, self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's load, as of some hundred milliseconds ago.

    :ivar running: requests that it runs
    :ivar waiting: requests in its queue
    :ivar memory_used_tokens: KV cache that can't be evicted
    :ivar memory_total_tokens: capacity of the KV cache
    :ivar state: None if not given
    :ivar leaves_in_s: remaining time until it stops; None if not known
    :ivar start_ms: start of this incarnation, as Unix time; 0 if not given
    """

    running: int
    waiting: int
    memory_used_tokens: int
    memory_total_tokens: int
    state: EndpointState | None = None
    leaves_in_s: float | None = None
    start_ms: int = 0


Endpoints = typing.Mapping[ids.EndpointId, Endpoint]
