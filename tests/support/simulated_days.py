"""Days of a simulated fleet, each in many draws.

By hand, with the number of nodes, the first seed and the number of seeds::

    python -m tests.support.simulated_days 59 100 50
"""

import sys

from tests.support import simulated
from tests.support import simulated_fleet

ENDPOINTS = 30
START_S = 8.0
BURSTS = 3
BURST_WITHIN_S = 0.15
WATCHED_S = 9.0
"""How long each burst of leaves is watched: all nodes have heard long before
that, and disruptions excuse none of them any more."""


def leaves_among_disruptions(
    seed: int, nodes: int, bursts: int = BURSTS
) -> simulated_fleet.Fleet:
    """Play bursts of leaves, each amid four kinds of disruption.

    Half of the endpoints that leave delete their entries.
    """
    network = simulated.Network(seed)
    with network.replacing_sockets():
        fleet = simulated_fleet.Fleet(network, nodes, ENDPOINTS)
        fleet.play(START_S)
        for _ in range(bursts):
            for disrupt in network.random.sample(_DISRUPTIONS, 4):
                disrupt(fleet)
            fleet.play(network.random.uniform(0.5, 2.5))
            fleet.leave_some(0.25, BURST_WITHIN_S)
            fleet.play(WATCHED_S)
            network.loss = 0.0
    return fleet


def _restart_many(fleet: simulated_fleet.Fleet) -> None:
    for member in fleet.some(0.3):
        fleet.kill(member)


def _restart_more(fleet: simulated_fleet.Fleet) -> None:
    fleet.later(
        2.0, lambda: [fleet.kill(member) for member in fleet.some(0.2)]
    )


def _freeze_readers(fleet: simulated_fleet.Fleet) -> None:
    duration_s = fleet.network.random.uniform(0.5, 4.0)
    fleet.later(
        2.0,
        lambda: [
            fleet.freeze(member, duration_s) for member in fleet.readers()[:2]
        ],
    )


def _cut_reader(fleet: simulated_fleet.Fleet) -> None:
    duration_s = fleet.network.random.uniform(1.0, 4.0)
    fleet.later(
        2.0,
        lambda: [
            fleet.cut_from_store(member, duration_s)
            for member in fleet.readers()[:1]
        ],
    )


def _fill_links(fleet: simulated_fleet.Fleet) -> None:
    for member in fleet.some(0.2):
        fleet.fill_link(member, 0.5, 6.0)


def _lose_datagrams(fleet: simulated_fleet.Fleet) -> None:
    fleet.network.loss = 0.05


def _add_endpoints(fleet: simulated_fleet.Fleet) -> None:
    for _ in range(4):
        fleet.later(3.0, fleet.add_endpoint)


_DISRUPTIONS = (
    _restart_many,
    _restart_more,
    _freeze_readers,
    _cut_reader,
    _fill_links,
    _lose_datagrams,
    _add_endpoints,
)


def main() -> int:
    """Play the days that the command line names; 1 if a rule was broken."""
    nodes, first, count = (int(argument) for argument in sys.argv[1:4])
    failed = 0
    for seed in range(first, first + count):
        late = leaves_among_disruptions(seed, nodes).late
        failed += bool(late)
        oldest_s = max((use.age_s for use in late), default=0.0)
        print(
            f'seed {seed}: {len({use[:2] for use in late})} late uses, the '
            f'last {oldest_s} s after the leave; {late[:1]}',
            flush=True,
        )
    print(f'{failed} of {count} seeds broke the rule')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
