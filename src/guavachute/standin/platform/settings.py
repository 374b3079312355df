"""Writes the settings file of an entry process as the platform does."""

import msgspec

from guavachute.domain import site


def encode(wanted: site.Site) -> bytes:
    """Return the YAML settings file that describes the site *wanted*."""
    listen, bounds = wanted.listen, wanted.bounds
    fields = {
        'nodeName': wanted.node,
        'ip': wanted.ip,
        'zone': wanted.domain,
        'region': wanted.region,
        'zones': dict(wanted.region_of),
        'listen': {
            'frontend': listen.callers,
            'ready': listen.readiness,
            'directory': listen.directory,
        },
        'internalPorts': [listen.peers_port, listen.peers_port + 15],
        'seeds': list(wanted.seeds),
        'limits': {'maxFds': wanted.max_descriptors},
        'heartbeatMs': wanted.heartbeat_s * 1000,
        'platform': {
            'address': wanted.store.address,
            'writesPerS': wanted.store.writes_per_s,
            'readsPerS': wanted.store.reads_per_s,
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
            'leaseMs': bounds.lease_s * 1000,
            'usageWindowS': bounds.usage_window_s,
            'usageDelayS': bounds.usage_delay_s,
            'ttl_max_s': bounds.address_ttl_max_s,
        },
    }
    if wanted.cloud is not None:
        fields['cloudApi'] = {
            'address': wanted.cloud.address,
            'dutyPerS': wanted.cloud.calls_per_s,
            'duties': ['usage'] if wanted.cloud.expects_usage else [],
        }
    return msgspec.yaml.encode(fields)
