"""The control plane in separate processes on loopback: speed and cost.

Prints one table, the slope of each figure over the number of nodes, and a
line per target met or missed.
"""

import argparse
import contextlib
import pathlib
import random
import statistics
import tempfile
import time
import typing

from bench import control_site
from bench import control_tables
from guavachute.document import check
from guavachute import ids
from guavachute.observe import counters
from guavachute.platform import configuration
from guavachute.platform import log_client

PUBLISHES = 20
PUBLISH_PAUSE_S = 0.2
TIMEOUT_S = 30.0


class Publisher:
    """Publishes one document after another, as an operator does."""

    def __init__(self, client: log_client.LogClient) -> None:
        self._client = client
        self._number = 0

    def publish(self) -> ids.Offset:
        """Bring another document into force; its offset."""
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
def publisher(site: control_site.Site) -> typing.Iterator[Publisher]:
    """A publisher to the log of *site*."""
    with log_client.connected(
        site.log.address, counters.Counters(), random.Random(1)
    ) as client:
        yield Publisher(client)


@contextlib.contextmanager
def site_of(nodes: int) -> typing.Iterator[control_site.Site]:
    """A site with *nodes* nodes and no routers."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = control_site.Site(pathlib.Path(folder), stack)
        site.add_nodes(nodes)
        yield site


def in_force_s(site: control_site.Site, source: Publisher) -> list[float]:
    """From the call to publish until all nodes told their routers."""
    addresses = [one.announced['tables'] for one in site.nodes.values()]
    spans_s = []
    with control_tables.listening(addresses) as listeners:
        listeners.wait_for_offset(source.publish(), TIMEOUT_S)
        for _ in range(PUBLISHES):
            time.sleep(PUBLISH_PAUSE_S)
            began_s = time.monotonic()
            offset = source.publish()
            came_s = listeners.wait_for_offset(offset, TIMEOUT_S)
            spans_s.append(max(came_s) - began_s)
    return spans_s


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=[9])
    for count in parser.parse_args().nodes:
        with site_of(count) as site, publisher(site) as source:
            spans_s = in_force_s(site, source)
        median_ms = statistics.median(spans_s) * 1000
        p95_ms = statistics.quantiles(spans_s, n=20)[-1] * 1000
        print(
            f'{count} nodes: in force on all after {median_ms:.0f} ms '
            f'(median), {p95_ms:.0f} ms (p95)'
        )


if __name__ == '__main__':
    main()
