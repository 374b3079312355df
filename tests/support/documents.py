"""A valid document that tests modify."""

import hashlib
import typing

KEY = 'key-of-stitchwright'
OTHER_KEY = 'key-of-club-shops'


def digest_of_key(key: str) -> str:
    """Return the digest by which a document lists an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def valid() -> dict[str, typing.Any]:
    """Return a document with a model, a plain service and two workspaces."""
    return {
        'models': {'needle-llm': {'pool': 'needle'}},
        'services': {
            'order-desk': {
                'pool': 'desk',
                'calls': [
                    {
                        'method': 'POST',
                        'path_prefix': '/jobs',
                        'idempotent': False,
                    }
                ],
                'timeout_s': 5,
            }
        },
        'workspaces': {
            'uniforms': {
                'share': 3,
                'api_key_digests': [digest_of_key(KEY)],
            },
            'club-shops': {
                'share': 1,
                'api_key_digests': [digest_of_key(OTHER_KEY)],
            },
        },
        'pools': {
            'needle': {'kind': 'model', 'machine_classes': ['a10x8']},
            'desk': {'kind': 'service', 'machine_classes': ['c4']},
        },
        'policy': {'address_ttl_s': 0.5},
    }
