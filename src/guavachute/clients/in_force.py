"""On how many nodes a change of configuration is in force."""

import dataclasses
import time
import typing

from guavachute import ids
from guavachute import outcome

REPORT_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node says about one environment."""

    node: ids.NodeId
    offset: ids.Offset
    digest: ids.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """On which nodes a change is in force, or a later one."""

    nodes: tuple[ids.NodeId, ...]
    missing: tuple[ids.NodeId, ...]


def wait_in_force(
    fetch_reports: typing.Callable[[], list[NodeReport] | outcome.Failure],
    offset: ids.Offset,
    deadline_s: float,
) -> InForce | outcome.Failure:
    """Ask the nodes until all have *offset*, or until the deadline.

    :param fetch_reports: reports of the live nodes, as a node knows them
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
