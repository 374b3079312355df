"""Straight lines through measured points, and the file that keeps them."""

import pathlib
import typing

import msgspec

Points = list[tuple[float, float]]


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted to *points* by least squares.

    :ivar x: what was varied
    :ivar y: what was measured, with its unit
    :ivar r2: share of the variance that the line explains; 1 where
        nothing varied
    """

    x: str
    y: str
    points: Points
    intercept: float
    slope: float
    r2: float


class Value(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure.

    :ivar how: in which circumstances
    """

    value: float
    unit: str
    how: str


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """All that one run of the bench measured.

    :ivar command: that measured it
    """

    command: str
    cores: int
    python: str
    slopes: dict[str, Slope]
    values: dict[str, Value]


class Found(msgspec.Struct, frozen=True, kw_only=True):
    """What one part of the bench measured."""

    slopes: dict[str, Slope] = {}
    values: dict[str, Value] = {}


def fit(x: str, y: str, points: typing.Iterable[tuple[float, float]]) -> Slope:
    """The line through *points*, of which at least two differ in x."""
    kept = [(float(a), float(b)) for a, b in points]
    count = len(kept)
    mean_x = sum(a for a, _ in kept) / count
    mean_y = sum(b for _, b in kept) / count
    spread_x = sum((a - mean_x) ** 2 for a, _ in kept)
    spread_y = sum((b - mean_y) ** 2 for _, b in kept)
    assert spread_x > 0, 'all points have the same x'
    slope = sum((a - mean_x) * (b - mean_y) for a, b in kept) / spread_x
    intercept = mean_y - slope * mean_x
    missed = sum((b - intercept - slope * a) ** 2 for a, b in kept)
    return Slope(
        x=x,
        y=y,
        points=kept,
        intercept=intercept,
        slope=slope,
        r2=1 - missed / spread_y if spread_y else 1.0,
    )


def load(path: pathlib.Path) -> Capacity:
    """What a run has written."""
    return msgspec.json.decode(path.read_bytes(), type=Capacity)


def save(capacity: Capacity, path: pathlib.Path) -> None:
    """Write *capacity* so that equal figures give equal bytes."""
    path.parent.mkdir(exist_ok=True)
    raw = msgspec.json.format(
        msgspec.json.encode(capacity, order='sorted'), indent=2
    )
    path.write_bytes(raw + b'\n')
