"""Linear fits of measured points, and the JSON file that stores them."""

import pathlib
import typing

import msgspec

Points = list[tuple[float, float]]


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted to *points* by least squares.

    :ivar x: the quantity that was varied
    :ivar y: the quantity that was measured, with its unit
    :ivar r2: coefficient of determination; 1 if all y are equal
    """

    x: str
    y: str
    points: Points
    intercept: float
    slope: float
    r2: float


class Value(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure.

    :ivar how: the circumstances of the measurement
    """

    value: float
    unit: str
    how: str


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of the benchmark, as stored in its file.

    :ivar command: the command that measured them
    :ivar cores: processor cores of the machine
    :ivar python: version of Python
    """

    command: str
    cores: int
    python: str
    slopes: dict[str, Slope]
    values: dict[str, Value]


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """The figures that one part of the benchmark measured, by name."""

    slopes: dict[str, Slope] = {}
    values: dict[str, Value] = {}


def fit(x: str, y: str, points: typing.Iterable[tuple[float, float]]) -> Slope:
    """Return the least-squares line through *points*.

    At least two of them must differ in x.
    """
    pairs = [(float(a), float(b)) for a, b in points]
    count = len(pairs)
    mean_x = sum(a for a, _ in pairs) / count
    mean_y = sum(b for _, b in pairs) / count
    spread_x = sum((a - mean_x) ** 2 for a, _ in pairs)
    spread_y = sum((b - mean_y) ** 2 for _, b in pairs)
    assert spread_x > 0, 'all points have the same x'
    slope = sum((a - mean_x) * (b - mean_y) for a, b in pairs) / spread_x
    intercept = mean_y - slope * mean_x
    residual = sum((b - intercept - slope * a) ** 2 for a, b in pairs)
    return Slope(
        x=x,
        y=y,
        points=pairs,
        intercept=intercept,
        slope=slope,
        r2=1 - residual / spread_y if spread_y else 1.0,
    )


def load(path: pathlib.Path) -> Capacity:
    """Read the figures that ``save`` wrote."""
    return msgspec.json.decode(path.read_bytes(), type=Capacity)


def save(capacity: Capacity, path: pathlib.Path) -> None:
    """Write *capacity* as JSON; equal figures give equal bytes."""
    path.parent.mkdir(exist_ok=True)
    raw = msgspec.json.format(
        msgspec.json.encode(capacity, order='sorted'), indent=2
    )
    path.write_bytes(raw + b'\n')
