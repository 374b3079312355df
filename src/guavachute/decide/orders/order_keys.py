"""Idempotency keys: their digests, and the time that some of them state."""

import hashlib
import uuid

from guavachute import outcome

DIGEST_CHARACTERS = 32
"""128 bits: two keys of the window never meet by chance."""

UUID_WITH_TIME = 7
CLOCK_ERROR_S = 300.0
"""How far a caller's clock may be ahead."""


def key_digest(workspace: str, service: str, key: str) -> str:
    """The name under which *key* is claimed.

    Workspaces and services don't share keys.
    """
    return _digest(workspace.encode(), service.encode(), key.encode())


def body_digest(method: str, target: str, body: bytes) -> str:
    """What a key may be sent again with."""
    return _digest(method.encode(), target.encode(), body)


def stated_unix_s(key: str) -> float | None:
    """When *key* was made, if it is a UUIDv7, which says so."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_WITH_TIME:
        return None
    return (parsed.int >> 80) / 1000


def check(
    key: str, now_unix_s: float, window_s: float, complete_from_unix_s: float
) -> outcome.Failure | None:
    """Why *key* can't be run safely, or None.

    :param window_s: for how long keys are remembered
    :param complete_from_unix_s: keys claimed before may be forgotten
    """
    stated_s = stated_unix_s(key)
    if stated_s is not None and stated_s > now_unix_s + CLOCK_ERROR_S:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST,
            'Idempotency-Key: got a UUIDv7 made in the future, expected '
            'one made with a correct clock',
        )
    if stated_s is not None and stated_s < now_unix_s - window_s:
        return outcome.Failure(
            outcome.Reason.KEY_TOO_OLD,
            f'Idempotency-Key: got one made {now_unix_s - stated_s:.0f} s '
            f'ago, expected one of the last {window_s:.0f} s',
        )
    return _check_memory(stated_s, now_unix_s, window_s, complete_from_unix_s)


def _check_memory(
    stated_s: float | None,
    now_unix_s: float,
    window_s: float,
    complete_from_unix_s: float,
) -> outcome.Failure | None:
    """Refuse what may have been claimed where the log has a gap."""
    if now_unix_s >= complete_from_unix_s + window_s + CLOCK_ERROR_S:
        return None
    if complete_from_unix_s == 0.0:
        return None
    if stated_s is not None and (
        stated_s > complete_from_unix_s + CLOCK_ERROR_S
    ):
        return None
    return outcome.Failure(
        outcome.Reason.RETENTION,
        'claims were dropped from the log before they were carried '
        'forward; only a UUIDv7 made since then can be run',
    )


def _digest(*parts: bytes) -> str:
    whole = hashlib.sha256()
    for part in parts:
        # The length keeps two different lists of parts apart.
        whole.update(len(part).to_bytes(8, 'big'))
        whole.update(part)
    return whole.hexdigest()[:DIGEST_CHARACTERS]
