"""The settings of an entry process: addresses, bounds and limits."""

import dataclasses
import typing

from guavachute import ids

MEGABYTE = 1_048_576

DEFAULT_MEMORY_BYTES = 160 * MEGABYTE
"""The memory of the smallest VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform's operators require.

    :ivar drain_s: a leaving endpoint gets no new requests after this
    :ivar stop_grace_s: time from SIGTERM to SIGKILL
    :ivar configuration_s: a new version has to be in use within this
    :ivar retry_ratio: retries per request, over all nodes
    :ivar retry_window_s: length of the window for retries
    :ivar retry_allowance: retries beyond the ratio in each window, over
        all nodes
    :ivar quota_window_s: length of the window for quotas
    :ivar quota_overshoot: share of the quota that all nodes together may
        admit beyond it in a window
    :ivar quota_allowance: what all nodes together may admit beyond a
        workspace's quota in a window, in the quota's unit
    :ivar lease_s: a lease can't be taken over sooner than this
    :ivar usage_window_s: length of a usage window
    :ivar usage_delay_s: usage is due this long after its window's end
    :ivar address_ttl_max_s: longest time for which callers keep addresses
    :ivar canary_share: share of a service's requests during a roll-out that
        may be sent to a bad version, over all nodes
    :ivar canary_allowance: requests beyond that share
    :ivar rollback_s: no request is sent to a bad version later than this after
        its 50th bad response
    """

    drain_s: float
    stop_grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    quota_window_s: float
    quota_overshoot: float
    quota_allowance: float
    lease_s: float
    usage_window_s: float
    usage_delay_s: float
    address_ttl_max_s: float
    canary_share: float = 0.1
    canary_allowance: float = 50.0
    rollback_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Address and limits of the platform's store.

    :ivar writes_per_s: limit on the writes of all nodes together
    :ivar reads_per_s: limit on the reads of all nodes together
    """

    address: ids.Address
    writes_per_s: float
    reads_per_s: float
    max_record_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cloud:
    """Address of the cloud's API, and the duties that it expects.

    :ivar calls_per_s: limit on the calls of all nodes together
    :ivar expects_usage: whether it expects usage reports
    :ivar expects_orders: whether it expects scaling orders
    """

    address: ids.Address
    calls_per_s: float
    expects_usage: bool
    expects_orders: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Addresses that a process listens on; None for services it lacks.

    :ivar callers: callers' requests
    :ivar readiness: the platform's readiness checks
    :ivar directory: callers' queries for the addresses of entry nodes
    :ivar peers_port: traffic between entry nodes, UDP and TCP
    :ivar metrics_port: scrapes of the metrics
    :ivar relay_port: requests of other entry nodes that can't reach an
        endpoint, to be passed on
    """

    callers: ids.Address | None
    readiness: ids.Address | None
    directory: ids.Address | None
    peers_port: int
    metrics_port: int
    relay_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The settings of one entry process.

    :ivar region_of: the region of each failure domain
    :ivar seeds: addresses of possible peers, to join the others; some
        may be stale
    :ivar heartbeat_s: how often endpoints renew their entries
    :ivar max_descriptors: limit on the process's open files
    :ivar memory_bytes: the memory of the VM
    """

    node: ids.NodeId
    ip: str
    domain: ids.FailureDomain
    region: ids.Region
    region_of: typing.Mapping[ids.FailureDomain, ids.Region]
    listen: Listen
    store: StoreLimits
    cloud: Cloud | None
    bounds: Bounds
    seeds: tuple[ids.Address, ...]
    heartbeat_s: float
    max_descriptors: int
    memory_bytes: int = DEFAULT_MEMORY_BYTES
