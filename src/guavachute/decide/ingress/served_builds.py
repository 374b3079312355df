"""Which builds may have begun the streams of each service that still go on.

The store keeps that for each service, so that it outlives all nodes. A build
is added before its endpoints are used, and known to the nodes for a while
before: then a stream that nobody has noted was begun by the only build on
record. The record is settled, with a single build, after no other one was
seen for longer than a stream and its caller's tries last.
"""

import dataclasses

from guavachute.domain import log_position
from guavachute import ids

SETTLES_AFTER_S = 30.0
"""A build that was not seen for this long has no streams left that callers
may take up."""

HEARD_AFTER_S = 2.0
"""The other nodes have heard of a new build this long after this node has."""

Builds = frozenset[ids.BuildName]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The builds of one service, as the store holds them.

    :ivar is_settled: whether only the single one of *builds* may have begun
        streams that go on
    :ivar position: of the record in its topic
    """

    builds: Builds
    is_settled: bool
    position: ids.LogPosition


@dataclasses.dataclass(slots=True)
class _Service:
    """What this node knows of one service.

    :ivar lost: records up to this position are not in the store any more
    :ivar known_s: by build, when this node learnt that it is on record
    :ivar seen: the builds of the endpoints that exist
    :ivar seen_s: since when just those were seen
    :ivar former: the single build of the settled record before; None if that
        record was not settled, or may have been lost
    :ivar former_until_s: when that record was replaced
    """

    record: Record | None = None
    lost: ids.LogPosition = log_position.NO_POSITION
    known_s: dict[ids.BuildName, float] = dataclasses.field(
        default_factory=dict
    )
    seen: Builds = frozenset()
    seen_s: float = 0.0
    former: ids.BuildName | None = None
    former_until_s: float = 0.0


class ServedBuilds:
    """The builds on record, by service."""

    def __init__(self) -> None:
        self._services: dict[ids.ServiceName, _Service] = {}

    def observe(
        self, service: ids.ServiceName, seen: Builds, now_s: float
    ) -> None:
        """Record the builds of the endpoints of *service* that exist."""
        item = self._services.setdefault(service, _Service())
        if item.seen != seen:
            item.seen, item.seen_s = seen, now_s

    def merge(
        self, service: ids.ServiceName, record: Record, now_s: float
    ) -> bool:
        """Apply a record from the store or another node, if it is newer.

        Returns whether the service was settled before and no longer is.
        """
        item = self._services.setdefault(service, _Service())
        before = item.record
        if record.position <= item.lost:
            return False
        if before is not None and record.position <= before.position:
            return False
        if before is not None and _may_have_lost(before, record):
            item.lost = record.position
            record = Record(
                before.builds | record.builds, False, log_position.NO_POSITION
            )
            item.former = None
        elif record.is_settled:
            item.former = None
        elif before is not None and before.is_settled:
            sole = before.builds & record.builds
            item.former = next(iter(sole), None)
            item.former_until_s = now_s
        item.record = record
        item.known_s = {
            build: item.known_s.get(build, now_s) for build in record.builds
        }
        return not record.is_settled and (before is None or before.is_settled)

    def forget(self, service: ids.ServiceName) -> None:
        """Handle that the store has lost the record of a service."""
        item = self._services.get(service)
        if item is not None and item.record is not None:
            item.lost = max(item.lost, item.record.position)
            item.former = None
            item.record = dataclasses.replace(
                item.record,
                is_settled=False,
                position=log_position.NO_POSITION,
            )

    def records(self) -> dict[ids.ServiceName, Record]:
        """The records, for the other nodes."""
        return {
            service: item.record
            for service, item in self._services.items()
            if item.record is not None
            and item.record.position != log_position.NO_POSITION
        }

    def sole_build(self, service: ids.ServiceName) -> ids.BuildName | None:
        """The build that began all streams of *service*; None if several."""
        item = self._services.get(service)
        if item is None or item.record is None or not item.record.is_settled:
            return None
        (build,) = item.record.builds
        return build

    def former_sole_build(
        self, service: ids.ServiceName, within_s: float, now_s: float
    ) -> ids.BuildName | None:
        """The build that began all streams until others came on record.

        None if that was longer than *within_s* ago, or is not known.
        """
        item = self._services.get(service)
        if item is None or now_s - item.former_until_s > within_s:
            return None
        return item.former

    def is_awaited(
        self, service: ids.ServiceName, build: ids.BuildName, now_s: float
    ) -> bool:
        """Whether endpoints of *build* are not to be used yet."""
        item = self._services.get(service)
        if item is None or item.record is None:
            return False
        known_s = item.known_s.get(build)
        if known_s is None:
            return True
        is_first = len(item.record.builds) == 1
        return not is_first and now_s - known_s < HEARD_AFTER_S

    def missing(self, service: ids.ServiceName) -> Builds | None:
        """The builds to write, unsettled; None if the record has them."""
        item = self._services.get(service)
        if item is None or not item.seen:
            return None
        record = item.record
        if record is None:
            return item.seen
        if (
            item.seen <= record.builds
            and record.position != log_position.NO_POSITION
        ):
            return None
        return record.builds | item.seen

    def to_settle(
        self, service: ids.ServiceName, now_s: float
    ) -> ids.BuildName | None:
        """The build with which the record may be settled; None if none."""
        item = self._services.get(service)
        if (
            item is None
            or item.record is None
            or item.record.is_settled
            or len(item.seen) != 1
            or not item.seen <= item.record.builds
            or now_s - item.seen_s < SETTLES_AFTER_S
        ):
            return None
        (build,) = item.seen
        return build


def _may_have_lost(before: Record, record: Record) -> bool:
    """Whether *record* comes from a copy that is older than *before*.

    A store that comes back from a copy gives its records positions in a new
    era, so that an older one seems newer.
    """
    if before.position == log_position.NO_POSITION:
        return False
    era = log_position.unpack(record.position).era
    if era <= log_position.unpack(before.position).era:
        return False
    return not (
        record.builds >= before.builds
        and (before.is_settled or not record.is_settled)
    )
