"""Short-term load forecast for one model.

The forecast horizon is the measured time that a new engine takes to
start serving; VMs that are needed later than that can be ordered later.
Level and trend are smoothed exponentially (Holt's method), and the
deviation of the forecast's own errors sets the margin. The number of VMs
follows a rising forecast at once and a falling one only after it has
stayed low for :data:`HOLD_S`.
"""

import dataclasses
import math

SMOOTHING_TIME_S = 60.0
TREND_TIME_S = 300.0
MARGIN_DEVIATIONS = 2.0
HOLD_S = 900.0
"""Capacity is kept for this long after the load that needed it."""
HOLD_BUCKETS = 15
IDLE_BEFORE_ZERO_S = 1800.0
PAST_STARTS_WEIGHT = 0.8
"""Weight of earlier starts in the smoothed start-up time."""
DEFAULT_START_UP_S = 180.0
START_DEVIATIONS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class StartUp:
    """How long a VM takes from the order to its first answer.

    :ivar mean_s: smoothed mean
    :ivar deviation_s: smoothed absolute deviation from the mean
    :ivar count: starts recorded; at 0 the other two are defaults
    """

    mean_s: float = DEFAULT_START_UP_S
    deviation_s: float = 0.0
    count: int = 0


def record_start(start_up: StartUp, duration_s: float) -> StartUp:
    """The estimate after one more start, which took *duration_s*."""
    if not start_up.count:
        return StartUp(duration_s, duration_s / 4, 1)
    error_s = duration_s - start_up.mean_s
    gain = 1 - PAST_STARTS_WEIGHT
    return StartUp(
        start_up.mean_s + gain * error_s,
        PAST_STARTS_WEIGHT * start_up.deviation_s + gain * abs(error_s),
        start_up.count + 1,
    )


def horizon_s(start_up: StartUp) -> float:
    """The start-up time to plan with: mean plus a margin for its spread."""
    return start_up.mean_s + START_DEVIATIONS * start_up.deviation_s


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """The smoothed load of one model.

    All times are on the caller's clock.

    :ivar deviation_tokens_per_s: smoothed absolute forecast error
    :ivar at_s: the last observation; None before the first
    :ivar idle_since_s: when the load became zero; None while there is any
    :ivar recent: the highest forecast of each time bucket within the last
        :data:`HOLD_S`, as (start of the bucket, tokens/s), oldest first
    :ivar first_s: the first observation; None before it
    """

    level_tokens_per_s: float = 0.0
    trend_tokens_per_s2: float = 0.0
    deviation_tokens_per_s: float = 0.0
    at_s: float | None = None
    idle_since_s: float | None = None
    recent: tuple[tuple[float, float], ...] = ()
    first_s: float | None = None


def observe(
    forecast: Forecast,
    tokens_per_s: float,
    start_up: StartUp,
    now_s: float,
) -> Forecast:
    """The forecast updated with the load observed at *now_s*.

    :param tokens_per_s: the offered load, rejected requests included;
        the tokens served would hide a shortage
    """
    idle_since_s = _idle_since(forecast, tokens_per_s, now_s)
    if forecast.at_s is None:
        first = Forecast(
            tokens_per_s, 0.0, 0.0, now_s, idle_since_s, first_s=now_s
        )
        return _with_recent(first, start_up, now_s)
    elapsed_s = max(1e-3, now_s - forecast.at_s)
    gain = 1 - math.exp(-elapsed_s / SMOOTHING_TIME_S)
    trend_gain = 1 - math.exp(-elapsed_s / TREND_TIME_S)
    expected = forecast.level_tokens_per_s
    expected += forecast.trend_tokens_per_s2 * elapsed_s
    error = tokens_per_s - expected
    level = max(0.0, expected + gain * error)
    slope = (level - forecast.level_tokens_per_s) / elapsed_s
    trend = forecast.trend_tokens_per_s2
    trend += trend_gain * (slope - trend)
    deviation = forecast.deviation_tokens_per_s
    deviation += gain * (abs(error) - deviation)
    current = Forecast(
        level,
        trend,
        deviation,
        now_s,
        idle_since_s,
        forecast.recent,
        forecast.first_s,
    )
    return _with_recent(current, start_up, now_s)


def expected_tokens_per_s(forecast: Forecast, start_up: StartUp) -> float:
    """The load expected once a VM ordered now serves, with a margin."""
    rise = max(0.0, forecast.trend_tokens_per_s2) * horizon_s(start_up)
    # A trend estimated from few observations must not multiply the fleet,
    # so the expected rise is limited to the present level.
    rise = min(rise, forecast.level_tokens_per_s)
    margin = MARGIN_DEVIATIONS * forecast.deviation_tokens_per_s
    return forecast.level_tokens_per_s + rise + margin


def committed_tokens_per_s(forecast: Forecast) -> float:
    """The load to keep VMs for: the highest forecast within HOLD_S."""
    return max((need for _, need in forecast.recent), default=0.0)


def has_full_history(forecast: Forecast, now_s: float) -> bool:
    """Whether the load has been observed for at least :data:`HOLD_S`.

    Before that, no VMs may be ended because of the forecast.
    """
    first_s = forecast.first_s
    return first_s is not None and now_s - first_s >= HOLD_S


def can_scale_to_zero(forecast: Forecast, allowed: bool, now_s: float) -> bool:
    """Whether the model has been idle long enough to end its last engine.

    :param allowed: the document lets the model scale to zero
    """
    if not allowed or forecast.idle_since_s is None:
        return False
    return now_s - forecast.idle_since_s >= IDLE_BEFORE_ZERO_S


def _idle_since(
    forecast: Forecast, tokens_per_s: float, now_s: float
) -> float | None:
    if tokens_per_s > 0:
        return None
    if forecast.idle_since_s is None:
        return now_s
    return forecast.idle_since_s


def _with_recent(
    forecast: Forecast, start_up: StartUp, now_s: float
) -> Forecast:
    width_s = HOLD_S / HOLD_BUCKETS
    bucket_s = math.floor(now_s / width_s) * width_s
    need = expected_tokens_per_s(forecast, start_up)
    kept = [
        (start_s, value)
        for start_s, value in forecast.recent
        if start_s > now_s - HOLD_S
    ]
    if kept and kept[-1][0] == bucket_s:
        need = max(need, kept.pop()[1])
    kept.append((bucket_s, need))
    return dataclasses.replace(forecast, recent=tuple(kept))
