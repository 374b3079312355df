"""Measures the time from publishing a document until it is in force."""

import contextlib
import random
import time
import typing

from bench import control_site
from bench import control_tables
from guavachute.cli import publish
from guavachute.clients import configuration
from guavachute.clients import in_force
from guavachute.clients import log_client
from guavachute.document import check
from guavachute import ids
from guavachute.observe import counters
from guavachute import outcome

PAUSE_S = 0.1
TIMEOUT_S = 30.0


class Publisher:
    """Publishes a series of different documents, as an operator does."""

    def __init__(self, client: log_client.LogClient) -> None:
        self._client = client
        self._number = 0

    def publish(self) -> ids.Offset:
        """Publish the next document and return its offset in the log."""
        self._number += 1
        raw = control_site.document(self._number)
        checked = check.check_raw(raw)
        assert isinstance(checked, check.Checked), checked
        change = configuration.Change(
            environment=ids.EnvironmentName(control_site.ENVIRONMENT),
            document=checked.raw,
            digest=checked.digest,
            author='bench',
        )
        deadline_s = time.monotonic() + TIMEOUT_S
        result = configuration.publish(self._client, change, deadline_s)
        assert isinstance(result, configuration.Accepted), result
        return result.offset


@contextlib.contextmanager
def publisher(log_address: str) -> typing.Iterator[Publisher]:
    """Provide a publisher with a client of the log at *log_address*."""
    with log_client.connected(
        log_address, counters.Counters(), random.Random(1)
    ) as client:
        yield Publisher(client)


def measure_in_force_s(
    site: control_site.Site, source: Publisher, publishes: int
) -> list[float]:
    """Measure until the last node has sent the tables to its routers.

    Returns the seconds from each call of ``publish``.
    """
    spans_s = []
    with control_tables.listening(_tables_addresses(site)) as listeners:
        listeners.wait_for_offset(source.publish(), TIMEOUT_S)
        for _ in range(publishes):
            time.sleep(PAUSE_S)
            start_s = time.monotonic()
            offset = source.publish()
            arrived_s = listeners.wait_for_offset(offset, TIMEOUT_S)
            spans_s.append(max(arrived_s) - start_s)
    return spans_s


def measure_reported_s(
    site: control_site.Site, source: Publisher, publishes: int
) -> list[float]:
    """Measure until one node knows that all nodes have it in force.

    Returns the seconds from each call of ``publish``. It is what
    ``publish --wait`` waits for.
    """
    addresses = _tables_addresses(site)
    wait_reported(addresses, source.publish())
    spans_s = []
    for _ in range(publishes):
        start_s = time.monotonic()
        wait_reported(addresses, source.publish())
        spans_s.append(time.monotonic() - start_s)
    return spans_s


def _tables_addresses(site: control_site.Site) -> list[str]:
    return [node.announced['tables'] for node in site.nodes.values()]


def wait_reported(addresses: list[str], offset: ids.Offset) -> None:
    """Wait until a node knows that all nodes have *offset* in force.

    :raises AssertionError: if that takes longer than ``TIMEOUT_S``
    """
    found = in_force.wait_in_force(
        lambda: _reports_of_all(addresses),
        offset,
        time.monotonic() + TIMEOUT_S,
    )
    assert isinstance(found, in_force.InForce), found
    assert not found.missing, found


def _reports_of_all(
    addresses: list[str],
) -> list[in_force.NodeReport] | outcome.Failure:
    reports = publish.node_reports(addresses)
    if isinstance(reports, outcome.Failure):
        return reports
    # A node that doesn't know all other nodes yet can't tell whether all
    # of them have the document in force.
    return reports if len(reports) >= len(addresses) else []
