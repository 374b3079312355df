"""Idempotency keys: their digests and the creation time in UUIDv7 keys."""

import hashlib
import uuid

from guavachute import outcome

DIGEST_CHARACTERS = 32
"""Length of a digest in hexadecimal digits. With 128 bits a collision of
two keys in the window is practically impossible."""

UUID_VERSION_WITH_TIME = 7
"""The UUID version that contains the time of creation."""

CLOCK_ERROR_S = 300.0
"""How far a caller's clock may be ahead."""


def key_digest(workspace: str, service: str, key: str) -> str:
    """Return the digest under which *key* is claimed.

    It includes the workspace and the service, so they don't share keys.
    """
    return _digest(workspace.encode(), service.encode(), key.encode())


def body_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request.

    A key may be sent again only with a request of the same digest.
    """
    return _digest(method.encode(), target.encode(), body)


def creation_unix_s(key: str) -> float | None:
    """Return the Unix time at which *key* was made, if it is a UUIDv7.

    Returns None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION_WITH_TIME:
        return None
    return (parsed.int >> 80) / 1000


def check(
    key: str, now_unix_s: float, window_s: float, complete_from_unix_s: float
) -> outcome.Failure | None:
    """Return why an order with *key* can't be run safely, or None.

    :param window_s: how long keys are kept after their last claim
    :param complete_from_unix_s: keys claimed before this time may be
        missing; 0 if none are
    """
    created_s = creation_unix_s(key)
    if created_s is not None and created_s > now_unix_s + CLOCK_ERROR_S:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST,
            'Idempotency-Key: got a UUIDv7 made in the future, expected '
            'one made with a correct clock',
        )
    if created_s is not None and created_s < now_unix_s - window_s:
        return outcome.Failure(
            outcome.Reason.KEY_TOO_OLD,
            f'Idempotency-Key: got one made {now_unix_s - created_s:.0f} s '
            f'ago, expected one of the last {window_s:.0f} s',
        )
    return _check_lost_claims(
        created_s, now_unix_s, window_s, complete_from_unix_s
    )


def _check_lost_claims(
    created_s: float | None,
    now_unix_s: float,
    window_s: float,
    complete_from_unix_s: float,
) -> outcome.Failure | None:
    """Reject a key that may have been claimed in a lost part of the log."""
    if now_unix_s >= complete_from_unix_s + window_s + CLOCK_ERROR_S:
        return None
    if complete_from_unix_s == 0.0:
        return None
    if created_s is not None and (
        created_s > complete_from_unix_s + CLOCK_ERROR_S
    ):
        return None
    return outcome.Failure(
        outcome.Reason.RETENTION,
        'claims were dropped from the log before a snapshot included '
        'them; only a UUIDv7 key made since then can be run',
    )


def _digest(*parts: bytes) -> str:
    hasher = hashlib.sha256()
    for part in parts:
        # The length prefix prevents two different lists of parts from
        # having the same digest.
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.hexdigest()[:DIGEST_CHARACTERS]
