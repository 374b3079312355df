"""A table of figures over several sizes, with slopes and targets."""

import collections
import dataclasses
import statistics
import typing

NAME_WIDTH = 40
WIDTH = 11


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value at one size."""

    name: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The highest value allowed for the figure called *name*."""

    name: str
    limit: float


class Table:
    """Figures by the number of nodes."""

    def __init__(self) -> None:
        self._sizes: list[int] = []
        self._rows: dict[str, dict[int, float]] = collections.defaultdict(dict)

    def add(self, nodes: int, figures: typing.Iterable[Figure]) -> None:
        """Add the figures of a site with *nodes* nodes."""
        if nodes not in self._sizes:
            self._sizes.append(nodes)
        for figure in figures:
            self._rows[figure.name][nodes] = figure.value

    def lines(self) -> typing.Iterator[str]:
        """Yield the table's lines; the last column is the slope per node."""
        sizes = ''.join(f'{size:>{WIDTH}}' for size in self._sizes)
        yield f'{"nodes":{NAME_WIDTH}}{sizes}{"slope":>{WIDTH}}'
        for name, row in self._rows.items():
            cells = [_format(row.get(size)) for size in self._sizes]
            cells.append(_format(slope(row)))
            yield f'{name:{NAME_WIDTH}}' + ''.join(
                f'{cell:>{WIDTH}}' for cell in cells
            )

    def verdicts(
        self, nodes: int, targets: typing.Iterable[Target]
    ) -> typing.Iterator[str]:
        """Yield a line for each target: met, missed or not measured.

        :param nodes: the size for which the targets hold
        """
        for target in targets:
            value = self._rows[target.name].get(nodes)
            if value is None:
                verdict = 'not measured'
            else:
                verdict = 'met' if value <= target.limit else 'MISSED'
            yield (
                f'{verdict:12} {target.name} at {nodes} nodes: '
                f'{_format(value)}, wanted at most {target.limit:g}'
            )


def slope(row: dict[int, float]) -> float | None:
    """Return the least-squares slope over the sizes.

    None with fewer than two sizes.
    """
    if len(row) < 2:
        return None
    return statistics.linear_regression(list(row), list(row.values())).slope


def _format(value: float | None) -> str:
    return '-' if value is None else f'{value:.4g}'
