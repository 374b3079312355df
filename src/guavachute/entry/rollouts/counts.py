"""Counts the requests and responses of one roll-out, over all nodes."""

import dataclasses
import typing

from guavachute.decide.ingress.rollouts import results
from guavachute import ids

MAX_ROUTES = 32
"""Upper bound of the routes that are counted separately."""

OTHER_ROUTES = '(other routes)'


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """What one source has counted, or several.

    :ivar requests: requests to the service
    :ivar sent: those that were sent to the target
    """

    requests: int = 0
    sent: int = 0
    routes: results.ByRoute = dataclasses.field(default_factory=dict)


class Source(typing.NamedTuple):
    """A run of a node, or the readers of a region if *run* is empty."""

    region: str
    run: str


class RolloutCounts:
    """The counts of this node, and the latest of all others.

    Counts of runs that have ended stay.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.sent = 0
        self._routes: dict[str, results.Counts] = {}
        self._sources: dict[Source, Sums] = {}

    def record(
        self,
        route: str,
        is_new: bool,
        has_failed: bool,
        is_slow: bool,
        total_s: float | None,
        first_s: float | None,
    ) -> None:
        """Count a response; see :func:`results.recorded`."""
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        self._routes[route] = results.recorded(
            self._routes.get(route, results.Counts()),
            is_new,
            has_failed,
            is_slow,
            total_s,
            first_s,
        )

    def merge(self, source: Source, told: Sums) -> None:
        """Keep the counts that a source has told.

        The readers of a region may know of different runs that have ended.
        """
        before = self._sources.get(source)
        if before is None or before.requests <= told.requests:
            self._sources[source] = told

    @property
    def own(self) -> Sums:
        """The counts of this node."""
        return Sums(self.requests, self.sent, self._routes)

    def of_region(self, region: str) -> Sums:
        """The counts of the nodes of this node's region."""
        return _sum([self.own, *self._nodes_of(region)])

    def total(self, own_region: ids.Region) -> Sums:
        """The counts of all nodes."""
        found = [self.own, *self._nodes_of(own_region)]
        regions = {source.region for source in self._sources} - {own_region}
        for region in regions:
            told = self._sources.get(Source(region, ''), Sums())
            nodes = _sum(self._nodes_of(region))
            # Either may be missing, depending on the number of nodes.
            found.append(told if told.requests >= nodes.requests else nodes)
        return _sum(found)

    def _nodes_of(self, region: str) -> list[Sums]:
        return [
            sums
            for source, sums in self._sources.items()
            if source.region == region and source.run
        ]


def _sum(parts: typing.Sequence[Sums]) -> Sums:
    return Sums(
        sum(part.requests for part in parts),
        sum(part.sent for part in parts),
        results.add(part.routes for part in parts),
    )
