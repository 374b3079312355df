"""Reads the settings file that the platform provides for each process."""

import os
import pathlib
import typing

import msgspec

from guavachute.domain import net_address
from guavachute.domain import site
from guavachute import ids
from guavachute import outcome
from guavachute.wire import untrusted

PATH_VARIABLE = 'GUAVACHUTE_NODE_FILE'
"""Environment variable with the path of the settings file."""

METRICS_PORT_OFFSET = 1
"""Offset of the metrics' port from the first internal port."""

RELAY_PORT_OFFSET = 2
"""Offset of the port for requests of other nodes that are passed on."""

Address = typing.Annotated[str, msgspec.Meta(pattern=net_address.LISTENABLE)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class _Fields(msgspec.Struct, frozen=True, rename='camel'):
    """Base of fields in camel case; unknown fields are ignored."""


class _Listen(_Fields, frozen=True):
    frontend: Address | None = None
    ready: Address | None = None
    # "directory" serves the addresses of entry nodes to callers.
    directory: Address | None = None


class _Bounds(_Fields, frozen=True):
    drain_ms: Positive = 3000
    # "graceS" is the time from SIGTERM to SIGKILL.
    grace_s: typing.Annotated[Positive, msgspec.Meta()] = msgspec.field(
        default=8.0, name='graceS'
    )
    config_apply_ms: Positive = 3000
    retry_ratio: NotNegative = 0.2
    retry_window_s: Positive = msgspec.field(default=10, name='retryWindowS')
    retry_allowance: NotNegative = 50
    quota_window_s: Positive = msgspec.field(default=8, name='quotaWindowS')
    quota_overshoot: NotNegative = 0.1
    quota_allowance: NotNegative = 0
    lease_ms: Positive = 3000
    usage_window_s: Positive = msgspec.field(default=5, name='usageWindowS')
    usage_delay_s: Positive = msgspec.field(default=10, name='usageDelayS')
    ttl_max_s: Positive = msgspec.field(default=5, name='ttl_max_s')
    canary_share: NotNegative = 0.1
    canary_allowance: NotNegative = 50
    rollback_ms: Positive = 5000


class _Store(_Fields, frozen=True):
    address: Address
    writes_per_s: Positive = msgspec.field(default=400, name='writesPerS')
    reads_per_s: Positive = msgspec.field(default=2000, name='readsPerS')
    record_bytes: int = 262_144


class _Cloud(_Fields, frozen=True):
    address: Address
    duties: list[str] = []
    # "dutyPerS" limits the calls of all nodes together.
    duty_per_s: Positive = msgspec.field(default=50, name='dutyPerS')


class _Limits(_Fields, frozen=True):
    max_fds: int = 1024
    # "memoryMb" is the memory of the VM; the smallest has 160 MB.
    memory_mb: Positive = site.DEFAULT_MEMORY_BYTES / site.MEGABYTE


class _Settings(_Fields, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: typing.Annotated[
        list[int], msgspec.Meta(min_length=2, max_length=2)
    ]
    platform: _Store
    # "seeds" are addresses on at most three machines; all machines use
    # the same ports.
    seeds: list[Address] = []
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    cloud_api: _Cloud | None = None
    # "heartbeatMs" is the period at which endpoints renew their entries.
    heartbeat_ms: Positive = 1200


def path() -> pathlib.Path | outcome.Failure:
    """The path of the settings file, from the environment variable."""
    name = os.environ.get(PATH_VARIABLE)
    if not name:
        return outcome.Failure(
            outcome.Reason.UNREADABLE,
            f'{PATH_VARIABLE} is not set, expected the path of the settings',
        )
    return pathlib.Path(name)


def load(file: pathlib.Path) -> site.Site | outcome.Failure:
    """Read the settings in *file*; a failure names the invalid field."""
    try:
        text = file.read_bytes()
    except OSError as error:
        return outcome.Failure(
            outcome.Reason.UNREADABLE, f'{file}: {error.strerror}'
        )
    return decode(text, str(file))


def decode(text: bytes, source: str) -> site.Site | outcome.Failure:
    """Decode settings from YAML.

    :param source: names the text in error messages
    """
    fields = untrusted.decode(
        lambda data: msgspec.yaml.decode(data, type=_Settings, strict=False),
        text,
        source,
    )
    if isinstance(fields, outcome.Failure):
        detail = ' '.join(fields.detail.split())
        return outcome.Failure(outcome.Reason.BAD_REQUEST, detail)
    return _to_site(fields)


def _to_site(fields: _Settings) -> site.Site:
    bounds = fields.bounds
    cloud = fields.cloud_api
    return site.Site(
        node=ids.NodeId(fields.node_name),
        ip=fields.ip,
        domain=ids.FailureDomain(fields.zone),
        region=ids.Region(fields.region),
        region_of={
            ids.FailureDomain(domain): ids.Region(region)
            for domain, region in fields.zones.items()
        },
        listen=site.Listen(
            callers=_address(fields.listen.frontend),
            readiness=_address(fields.listen.ready),
            directory=_address(fields.listen.directory),
            peers_port=fields.internal_ports[0],
            metrics_port=fields.internal_ports[0] + METRICS_PORT_OFFSET,
            relay_port=fields.internal_ports[0] + RELAY_PORT_OFFSET,
        ),
        store=site.StoreLimits(
            address=ids.Address(fields.platform.address),
            writes_per_s=fields.platform.writes_per_s,
            reads_per_s=fields.platform.reads_per_s,
            max_record_bytes=fields.platform.record_bytes,
        ),
        cloud=None if cloud is None else _cloud(cloud),
        bounds=site.Bounds(
            drain_s=bounds.drain_ms / 1000,
            stop_grace_s=bounds.grace_s,
            configuration_s=bounds.config_apply_ms / 1000,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_allowance=bounds.retry_allowance,
            quota_window_s=bounds.quota_window_s,
            quota_overshoot=bounds.quota_overshoot,
            quota_allowance=bounds.quota_allowance,
            lease_s=bounds.lease_ms / 1000,
            usage_window_s=bounds.usage_window_s,
            usage_delay_s=bounds.usage_delay_s,
            address_ttl_max_s=bounds.ttl_max_s,
            canary_share=bounds.canary_share,
            canary_allowance=bounds.canary_allowance,
            rollback_s=bounds.rollback_ms / 1000,
        ),
        seeds=tuple(
            ids.Address(
                f'{seed.rpartition(":")[0]}:{fields.internal_ports[0]}'
            )
            for seed in fields.seeds
        ),
        heartbeat_s=fields.heartbeat_ms / 1000,
        max_descriptors=fields.limits.max_fds,
        memory_bytes=round(fields.limits.memory_mb * site.MEGABYTE),
    )


def setting_of(found: site.Site, address: ids.Address) -> str:
    """The field of the settings file from which a listen address comes."""
    listen = found.listen
    fields = {
        listen.callers: 'listen.frontend',
        listen.readiness: 'listen.ready',
        listen.directory: 'listen.directory',
    }
    return fields.get(address, 'internalPorts')


def _cloud(fields: _Cloud) -> site.Cloud:
    return site.Cloud(
        address=ids.Address(fields.address),
        calls_per_s=fields.duty_per_s,
        expects_usage='usage' in fields.duties,
        expects_orders='scaling' in fields.duties,
    )


def _address(text: str | None) -> ids.Address | None:
    return None if text is None else ids.Address(text)
