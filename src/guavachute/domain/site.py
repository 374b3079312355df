"""Where an entry process runs, and the bounds it has to keep."""

import dataclasses
import typing

from guavachute import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and figures that the platform's operators ask for.

    :ivar drain_s: a leaving endpoint gets no new work after this
    :ivar stop_grace_s: from SIGTERM to SIGKILL
    :ivar configuration_s: a new version is in force within this
    :ivar retry_ratio: sends beyond the first, against requests
    :ivar retry_allowance: sends beyond the first that are free in
        each window, over all nodes
    :ivar quota_allowance: what all nodes together may admit beyond a
        workspace's quota in a window, in the quota's unit
    :ivar lease_s: a duty may change hands no sooner than this
    :ivar usage_window_s: length of a window of usage
    :ivar usage_delay_s: usage is due this long after its window
    :ivar address_ttl_max_s: longest that callers keep addresses
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


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Where the platform's store is, and what it takes.

    :ivar writes_per_s: calls of all nodes together
    :ivar reads_per_s: calls of all nodes together
    """

    address: ids.Address
    writes_per_s: float
    reads_per_s: float
    max_record_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cloud:
    """Where the cloud's API is, and which duties it has for us."""

    address: ids.Address
    calls_per_s: float
    takes_usage: bool
    takes_orders: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Addresses that a process listens on; None where it serves none.

    :ivar callers: requests
    :ivar readiness: the platform's checks
    :ivar directory: which addresses to use
    :ivar peers_port: traffic between nodes, UDP and TCP
    :ivar metrics_port: counters and histograms
    """

    callers: ids.Address | None
    readiness: ids.Address | None
    directory: ids.Address | None
    peers_port: int
    metrics_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The settings of one entry process.

    :ivar region_of: the region of each failure domain
    :ivar seeds: peers' addresses that may be known to be nodes; some
        may be stale
    :ivar heartbeat_s: how often endpoints renew their entries
    :ivar max_descriptors: open files that the process may have
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
