"""Exponential backoff with jitter."""

import dataclasses

MAX_DOUBLINGS = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Bounds of the pauses between attempts.

    :ivar initial_s: upper bound of the first pause
    :ivar maximum_s: upper bound of every pause
    """

    initial_s: float
    maximum_s: float


def delay_s(policy: Policy, failures: int, fraction: float) -> float:
    """The pause after *failures* (at least 1) consecutive failures.

    :param fraction: random, from 0 to 1; spreads the pauses of many
        clients over the upper half of the interval
    """
    assert failures >= 1, f'failures is {failures}, expected at least 1'
    doublings = min(failures - 1, MAX_DOUBLINGS)
    bound_s = min(policy.maximum_s, policy.initial_s * 2**doublings)
    return bound_s * (0.5 + 0.5 * fraction)
