"""Writes the settings file of an entry process as the platform does."""

import msgspec

from guavachute.domain import site


def encode(node_site: site.Site) -> bytes:
    """Return the YAML settings file that describes *node_site*."""
    listen, bounds = node_site.listen, node_site.bounds
    fields = {
        'nodeName': node_site.node,
        'ip': node_site.ip,
        'zone': node_site.domain,
        'region': node_site.region,
        'zones': dict(node_site.region_of),
        'listen': {
            'frontend': listen.callers,
            'ready': listen.readiness,
            'directory': listen.directory,
        },
        'internalPorts': [listen.peers_port, listen.peers_port + 15],
        'seeds': list(node_site.seeds),
        'limits': {
            'maxFds': node_site.max_descriptors,
            'memoryMb': node_site.memory_bytes / site.MEGABYTE,
        },
        'heartbeatMs': node_site.heartbeat_s * 1000,
        'platform': {
            'address': node_site.store.address,
            'writesPerS': node_site.store.writes_per_s,
            'readsPerS': node_site.store.reads_per_s,
        },
        'bounds': {
            'drainMs': bounds.drain_s * 1000,
            'graceS': bounds.stop_grace_s,
            'configApplyMs': bounds.configuration_s * 1000,
            'retryRatio': bounds.retry_ratio,
            'retryWindowS': bounds.retry_window_s,
            'retryAllowance': bounds.retry_allowance,
            'quotaWindowS': bounds.quota_window_s,
            'quotaOvershoot': bounds.quota_overshoot,
            'quotaAllowance': bounds.quota_allowance,
            'canaryShare': bounds.canary_share,
            'canaryAllowance': bounds.canary_allowance,
            'rollbackMs': bounds.rollback_s * 1000,
            'leaseMs': bounds.lease_s * 1000,
            'usageWindowS': bounds.usage_window_s,
            'usageDelayS': bounds.usage_delay_s,
            'ttl_max_s': bounds.address_ttl_max_s,
        },
    }
    if node_site.cloud is not None:
        fields['cloudApi'] = {
            'address': node_site.cloud.address,
            'dutyPerS': node_site.cloud.calls_per_s,
            'duties': ['usage'] if node_site.cloud.expects_usage else [],
        }
    return msgspec.yaml.encode(fields)
