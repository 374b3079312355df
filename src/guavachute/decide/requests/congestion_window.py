"""Paces orders to an external service with a window and backoff.

The window limits how many orders are in flight. It grows by one with each
success and halves with each sign of overload, like TCP's congestion
window, so that many simultaneous starts don't overload the cloud API or
the weight store. After a refused start an offer is not used for a time
that doubles with each failure, and is then tried with a single VM.
"""

import dataclasses

FIRST_WINDOW = 4.0
LARGEST_WINDOW = 64.0
FIRST_BACKOFF_S = 15.0
LARGEST_BACKOFF_S = 600.0
MAX_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class CongestionWindow:
    """The window and the backoff of one target.

    :ivar window: how many orders may be in flight at once
    :ivar failures: consecutive failures since the last success
    :ivar not_before_s: no order is sent before this time
    """

    window: float = FIRST_WINDOW
    failures: int = 0
    not_before_s: float = 0.0


def after_success(current: CongestionWindow) -> CongestionWindow:
    """Return the window after an order that was accepted."""
    return CongestionWindow(min(current.window + 1, LARGEST_WINDOW))


def after_overload(
    current: CongestionWindow,
    retry_after_s: float | None,
    jitter: float,
    now_s: float,
) -> CongestionWindow:
    """Return the window after a refusal, a timeout or a lost answer.

    :param retry_after_s: the wait that the service requested, or None
    :param jitter: from 0 to 1; keeps orders that were refused together
        from being retried together
    """
    doublings = min(current.failures, MAX_DOUBLINGS)
    pause_s = min(FIRST_BACKOFF_S * 2**doublings, LARGEST_BACKOFF_S)
    pause_s *= 0.5 + jitter / 2
    return CongestionWindow(
        window=max(1.0, current.window / 2),
        failures=current.failures + 1,
        not_before_s=now_s + max(pause_s, retry_after_s or 0.0),
    )


def free_slots(current: CongestionWindow, in_flight: int, now_s: float) -> int:
    """Return how many more orders may be sent now.

    :param in_flight: orders sent and not answered yet
    """
    if now_s < current.not_before_s:
        return 0
    window = 1 if current.failures else int(current.window)
    return max(0, window - in_flight)
