"""How long work usually takes at the endpoints of one service.

The times of all endpoints together give the usual time for an amount of work,
against which a single endpoint is compared. So long work doesn't look like a
slow endpoint, and what slows all of them down doesn't either.
"""

import dataclasses
import typing

from guavachute.decide.ingress import choice

KEPT_SHARE = 0.99
"""Weight of what is known when a measurement is added: the measurements of the
last minute or so count at a node that sends one or two requests per second."""

INITIAL_WEIGHT = 2.0
"""Weight of the initial values, in measurements."""

MIN_MEASUREMENTS = 12
"""Before a node has so many, it compares no endpoint with the usual time."""

OUTLIER = 3.0
"""Longer times than this multiple of the usual one count as this multiple: a
few slow endpoints must not change what is usual."""

LONG_PROMPT_TOKENS = 8_000
"""An engine sends no event while it processes a prompt of this length."""

PREFILL_RANGE_TOKENS_PER_S = (5_000.0, 500_000.0)
MAX_STEP_S = 0.25
SLOT_WAIT_RANGE_S = (0.005, 0.5)
TOKEN_RANGE_S = (0.000_01, 0.01)


@dataclasses.dataclass(slots=True)
class WorkTime:
    """Time by the amount of work: a line through decaying measurements.

    :ivar base_s: time without any work
    :ivar unit_s: time for each unit of work
    """

    base_s: float
    unit_s: float
    unit_range_s: tuple[float, float]
    max_base_s: float
    typical_amount: float
    measurements: int = 0
    error_s: float = 0.0
    _weight: float = 0.0
    _amount: float = 0.0
    _time: float = 0.0
    _amount_squared: float = 0.0
    _product: float = 0.0

    def __post_init__(self) -> None:
        # Two points of the initial line, so that the slope is defined.
        for amount in (0.0, 2 * self.typical_amount):
            self._add(amount, self.expected_s(amount), INITIAL_WEIGHT / 2)

    def expected_s(self, amount: float) -> float:
        """The usual time for *amount* of work."""
        return self.base_s + amount * self.unit_s

    @property
    def is_known(self) -> bool:
        """Whether enough was measured to compare endpoints with it."""
        return self.measurements >= MIN_MEASUREMENTS

    def start_from(self, base_s: float, unit_s: float) -> None:
        """Use other initial values, unless enough was measured already."""
        if self.is_known:
            return
        low, high = self.unit_range_s
        self.base_s = min(self.max_base_s, max(0.0, base_s))
        self.unit_s = min(high, max(low, unit_s))
        self._weight = self._amount = self._time = 0.0
        self._amount_squared = self._product = 0.0
        for amount in (0.0, 2 * self.typical_amount):
            self._add(amount, self.expected_s(amount), INITIAL_WEIGHT)

    def record(self, amount: float, duration_s: float) -> None:
        """Record that *amount* of work took *duration_s*."""
        expected_s = self.expected_s(amount)
        if self.is_known:
            duration_s = min(duration_s, OUTLIER * expected_s)
        self.measurements += 1
        self.error_s += (1 - KEPT_SHARE) * (
            abs(duration_s - expected_s) - self.error_s
        )
        self._weight *= KEPT_SHARE
        self._amount *= KEPT_SHARE
        self._time *= KEPT_SHARE
        self._amount_squared *= KEPT_SHARE
        self._product *= KEPT_SHARE
        self._add(amount, duration_s, 1.0)
        spread = self._weight * self._amount_squared - self._amount**2
        low, high = self.unit_range_s
        if spread > 0:
            slope = self._weight * self._product - self._amount * self._time
            self.unit_s = min(high, max(low, slope / spread))
        self.base_s = min(
            self.max_base_s,
            max(0.0, (self._time - self.unit_s * self._amount) / self._weight),
        )

    def _add(self, amount: float, time_s: float, weight: float) -> None:
        self._weight += weight
        self._amount += weight * amount
        self._time += weight * time_s
        self._amount_squared += weight * amount * amount
        self._product += weight * amount * time_s


class Usual(typing.NamedTuple):
    """The usual times of a service's work.

    :ivar slot_s: how long a request usually has a slot; None if not known
    """

    prefill_tokens_per_s: float
    step_s: float
    slot_s: float | None

    def slot_wait_s(self, slots: int) -> float:
        """The usual wait for one of *slots*, per request in excess."""
        if self.slot_s is None:
            return choice.SLOT_WAIT_S
        wait_s = self.slot_s / slots if slots else self.slot_s
        low, high = SLOT_WAIT_RANGE_S
        return low if wait_s < low else high if wait_s > high else wait_s


def _first_token() -> WorkTime:
    low, high = PREFILL_RANGE_TOKENS_PER_S
    return WorkTime(
        choice.STEP_S,
        1 / choice.DEFAULT_PREFILL_TOKENS_PER_S,
        (1 / high, 1 / low),
        MAX_STEP_S,
        2_000.0,
    )


def _plain() -> WorkTime:
    return WorkTime(0.05, 0.0, (0.0, 60.0), 60.0, 0.5)


@dataclasses.dataclass(slots=True)
class ServiceSpeed:
    """What this node has measured at all endpoints of a service.

    :ivar first_token: time to the first token by tokens to prefill
    :ivar plain: time of plain requests by the share of occupied slots
    :ivar event_s: usual time between two events; None before the first
    :ivar token_s: usual time per generated token; None before the first
    :ivar slot_s: how long a request usually has a slot; None before the first
    :ivar progress_s: when any of the endpoints last sent something
    """

    first_token: WorkTime = dataclasses.field(default_factory=_first_token)
    plain: WorkTime = dataclasses.field(default_factory=_plain)
    event_s: float | None = None
    token_s: float | None = None
    slot_s: float | None = None
    progress_s: float = float('-inf')
    events_measured: int = 0

    @property
    def is_known(self) -> bool:
        """Whether this node has measured enough to tell others."""
        return self.first_token.is_known or self.plain.is_known

    @property
    def prefill_tokens_per_s(self) -> float:
        """The usual prefill speed of an engine."""
        return 1 / self.first_token.unit_s

    @property
    def step_s(self) -> float:
        """The usual time to the first token of a prompt without tokens."""
        return self.first_token.base_s

    @property
    def silence_s(self) -> float | None:
        """How long an endpoint with work usually sends nothing at most.

        None while that is not known.
        """
        if self.plain.is_known:
            return self.plain.expected_s(1.0)
        if self.first_token.is_known:
            return self.first_token.expected_s(LONG_PROMPT_TOKENS)
        return None

    def usual(self) -> 'Usual':
        """The usual times, for a choice between many endpoints."""
        return Usual(self.prefill_tokens_per_s, self.step_s, self.slot_s)

    def record_slot(self, duration_s: float) -> None:
        """Record how long a request had a slot."""
        self.slot_s = _averaged(self.slot_s, duration_s)

    def record_token(self, token_s: float) -> None:
        """Record the time per generated token of a stream."""
        low, high = TOKEN_RANGE_S
        self.token_s = _averaged(self.token_s, min(high, max(low, token_s)))

    def event_slowdown(self, event_s: float) -> float | None:
        """A time between events in proportion to the usual; records it.

        None while the usual time is not known.
        """
        usual_s = self.event_s
        self.events_measured += 1
        if usual_s is None or self.events_measured <= MIN_MEASUREMENTS:
            self.event_s = _averaged(usual_s, event_s, 0.2)
            return None
        self.event_s = _averaged(usual_s, min(event_s, OUTLIER * usual_s))
        return event_s / usual_s if usual_s else None

    def first_token_slowdown(
        self, tokens: float, duration_s: float
    ) -> float | None:
        """A time to first token in proportion to the usual; records it."""
        return _slowdown(self.first_token, tokens, duration_s)

    def plain_slowdown(
        self, occupied: float, duration_s: float
    ) -> float | None:
        """A time of a plain request in proportion to the usual; records it.

        :param occupied: the share of the slots that were occupied
        """
        return _slowdown(self.plain, occupied, duration_s)


def _slowdown(
    usual: WorkTime, amount: float, duration_s: float
) -> float | None:
    """The measured time in proportion to the usual, beyond usual errors.

    Work of other nodes that is not known yet adds to the time; such errors are
    no slowness of the endpoint.
    """
    is_known, expected_s = usual.is_known, usual.expected_s(amount)
    tolerated_s = 2 * usual.error_s
    usual.record(amount, duration_s)
    if not is_known or expected_s <= 0:
        return None
    if duration_s > expected_s:
        return max(1.0, (duration_s - tolerated_s) / expected_s)
    return min(1.0, (duration_s + tolerated_s) / expected_s)


def _averaged(
    before: float | None, measured: float, weight: float = 0.02
) -> float:
    return (
        measured if before is None else before + weight * (measured - before)
    )
