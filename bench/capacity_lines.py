"""The lines of the capacity page: a figure, how it comes about, a limit."""

import dataclasses

from bench import capacity_fit


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A figure and the arithmetic that gives it, for people."""

    text: str
    value: float

    def __add__(self, other: 'Term') -> 'Term':
        return Term(f'{self.text} + {other.text}', self.value + other.value)

    def times(self, factor: float, why: str = '') -> 'Term':
        """This, as often as *factor*; *why* says what that is."""
        named = f' {why}' if why else ''
        return Term(
            f'({self.text}) × {number(factor)}{named}', self.value * factor
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a figure may be at the most."""

    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One row of the page.

    :ivar carried_by: the mechanism that bears this
    """

    what: str
    term: Term
    unit: str
    carried_by: str
    limit: Limit | None = None

    @property
    def missed(self) -> bool:
        """Whether the figure is beyond its limit."""
        return self.limit is not None and self.term.value > self.limit.value

    def markdown(self) -> str:
        """The row of the table."""
        value = f'{number(self.term.value)} {self.unit}'
        return (
            f'| {self.what} | {self.term.text} | **{value}** | '
            f'{self._limit()} | {self._margin()} | {self.carried_by} |'
        )

    def _limit(self) -> str:
        if self.limit is None:
            return 'none given'
        return f'{number(self.limit.value)} {self.limit.unit}'

    def _margin(self) -> str:
        if self.limit is None:
            return '-'
        if self.missed:
            times = self.term.value / self.limit.value
            return f'**MISSED** ({number(times)} times the limit)'
        left = 100 * (1 - self.term.value / self.limit.value)
        return f'{left:.0f}% left'


HEADING = (
    '| what | arithmetic | at the target | limit | margin | carried by |\n'
    '|---|---|---|---|---|---|'
)


def table(lines: list[Line]) -> str:
    """The lines as a Markdown table."""
    return '\n'.join([HEADING, *(line.markdown() for line in lines)])


def number(value: float) -> str:
    """*value* with three digits, for people."""
    if value and not 0.001 <= abs(value) < 1e7:
        return f'{value:.2e}'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def at(slope: capacity_fit.Slope, x: float) -> Term:
    """The fitted line at *x*."""
    text = f'{number(slope.intercept)} + {number(slope.slope)} × {number(x)}'
    return Term(text, slope.intercept + slope.slope * x)


def part(slope: capacity_fit.Slope, x: float) -> Term:
    """What *x* adds to what is there anyway."""
    text = f'{number(slope.slope)} × {number(x)}'
    return Term(text, slope.slope * x)


def plain(text: str, value: float) -> Term:
    """A figure with its arithmetic as written."""
    return Term(text, value)


def measured(value: capacity_fit.Value) -> Term:
    """A figure that was measured as it stands."""
    return Term(f'measured: {value.how}', value.value)


def design(value: float, name: str) -> Term:
    """A constant of the design, not measured."""
    return Term(f'{number(value)} ({name})', value)
