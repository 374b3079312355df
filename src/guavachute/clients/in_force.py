"""Determines on which nodes a configuration change is in force."""

import dataclasses
import time
import typing

from guavachute import ids
from guavachute import outcome

REPORT_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReport:
    """The configuration that is in force on a node, by its own report."""

    node: ids.NodeId
    offset: ids.Offset
    digest: ids.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The nodes on which a change, or a later one, is in force.

    :ivar missing: the nodes on which an earlier one is in force
    """

    nodes: tuple[ids.NodeId, ...]
    missing: tuple[ids.NodeId, ...]


def wait_in_force(
    fetch_reports: typing.Callable[[], list[NodeReport] | outcome.Failure],
    offset: ids.Offset,
    deadline_s: float,
) -> InForce | outcome.Failure:
    """Wait until *offset* is in force on all nodes, or for the deadline.

    :param fetch_reports: fetches the reports of all live nodes, as far
        as one node knows them
    :param deadline_s: when to stop waiting, by ``time.monotonic``
    :returns: the state at the last fetch; a failure if the last fetch
        before the deadline failed
    """
    while True:
        reports = fetch_reports()
        if not isinstance(reports, outcome.Failure):
            found = _in_force(reports, offset)
            if reports and not found.missing:
                return found
        if time.monotonic() + REPORT_PERIOD_S >= deadline_s:
            if isinstance(reports, outcome.Failure):
                return reports
            return found
        time.sleep(REPORT_PERIOD_S)


def _in_force(reports: list[NodeReport], offset: ids.Offset) -> InForce:
    return InForce(
        tuple(r.node for r in reports if r.offset >= offset),
        tuple(r.node for r in reports if r.offset < offset),
    )
