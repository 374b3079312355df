"""Lines of the capacity page: a figure, its arithmetic and its limit."""

import dataclasses

from bench import capacity_fit


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A figure together with its arithmetic as readable text."""

    text: str
    value: float

    def __add__(self, other: 'Term') -> 'Term':
        return Term(f'{self.text} + {other.text}', self.value + other.value)

    def times(self, factor: float, why: str = '') -> 'Term':
        """Return this term times *factor*; *why* names the factor."""
        named = f' {why}' if why else ''
        return Term(
            f'({self.text}) × {number(factor)}{named}',
            self.value * factor,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """The highest value that a figure can have."""

    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One row of a table of the page.

    :ivar what: the quantity
    :ivar carried_by: the mechanism that keeps the figure at this size
    :ivar limit: None if there is none
    """

    what: str
    term: Term
    unit: str
    carried_by: str
    limit: Limit | None = None

    @property
    def exceeds_limit(self) -> bool:
        """Whether the figure exceeds its limit."""
        return self.limit is not None and self.term.value > self.limit.value

    def markdown(self) -> str:
        """Return the line as a row of a Markdown table."""
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
        if self.exceeds_limit:
            times = self.term.value / self.limit.value
            return f'**MISSED** ({number(times)} times the limit)'
        left = 100 * (1 - self.term.value / self.limit.value)
        return f'{left:.0f}% left'


HEADING = (
    '| what | arithmetic | at the target | limit | margin | carried by |\n'
    '|---|---|---|---|---|---|'
)


def table(lines: list[Line]) -> str:
    """Return the lines as a Markdown table."""
    return '\n'.join([HEADING, *(line.markdown() for line in lines)])


def number(value: float) -> str:
    """Format *value* with three significant digits.

    From 100 on it has all digits before the decimal point, from ten
    million on and below a thousandth an exponent.
    """
    if value and not 0.001 <= abs(value) < 1e7:
        return f'{value:.2e}'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def at(slope: capacity_fit.Slope, x: float) -> Term:
    """Return the value of the fitted line at *x*."""
    text = f'{number(slope.intercept)} + {number(slope.slope)} × {number(x)}'
    return Term(text, slope.intercept + slope.slope * x)


def increment(slope: capacity_fit.Slope, x: float) -> Term:
    """Return what *x* adds to the intercept of the fitted line."""
    text = f'{number(slope.slope)} × {number(x)}'
    return Term(text, slope.slope * x)


def plain(text: str, value: float) -> Term:
    """Return a term whose arithmetic is given as *text*."""
    return Term(text, value)


def measured(value: capacity_fit.Value) -> Term:
    """Return a measured figure as a term, without arithmetic."""
    return Term(f'measured: {value.how}', value.value)


def design(value: float, name: str) -> Term:
    """Return a constant of the design as a term; it isn't measured."""
    return Term(f'{number(value)} ({name})', value)
