"""How fast something outside is asked: windows and back-off.

A window grows by one with each success and halves with each sign of
overload, as TCP's does, so that many starts at once don't overrun the
cloud API or the weight store. An offer whose start was refused is left
alone for a while that doubles, then tried with a single VM.
"""

import dataclasses

FIRST_WINDOW = 4.0
LARGEST_WINDOW = 64.0
FIRST_BACKOFF_S = 15.0
LARGEST_BACKOFF_S = 600.0
MAX_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How much may be under way at once, and from when on.

    :ivar window: orders that may be under way together
    :ivar failures: without a success since
    """

    window: float = FIRST_WINDOW
    failures: int = 0
    not_before_s: float = 0.0


def succeeded(pace: Pace) -> Pace:
    """Account for an order that was taken."""
    return Pace(min(pace.window + 1, LARGEST_WINDOW))


def overloaded(
    pace: Pace, retry_after_s: float | None, jitter: float, now_s: float
) -> Pace:
    """Account for a refusal, a timeout or a lost answer.

    :param jitter: from 0 to 1; spreads those who were refused together
    """
    doublings = min(pace.failures, MAX_DOUBLINGS)
    pause_s = min(FIRST_BACKOFF_S * 2**doublings, LARGEST_BACKOFF_S)
    pause_s *= 0.5 + jitter / 2
    return Pace(
        window=max(1.0, pace.window / 2),
        failures=pace.failures + 1,
        not_before_s=now_s + max(pause_s, retry_after_s or 0.0),
    )


def room(pace: Pace, under_way: int, now_s: float) -> int:
    """How many more orders may be sent now."""
    if now_s < pace.not_before_s:
        return 0
    window = 1 if pace.failures else int(pace.window)
    return max(0, window - under_way)
