"""Usage reports of a simulated fleet, beside what its nodes have counted.

By hand, with the name of a day, the number of nodes, the first seed and the
number of seeds::

    python -m tests.support.simulated_usage cut_at_start 74 1 4
"""

import sys
import types
import typing
from unittest import mock

from guavachute.decide.duty import usage
from guavachute.entry import peer_table
from guavachute import ids
from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import store as standin_store
from tests.support import simulated
from tests.support import simulated_fleet

WORKSPACE = ids.WorkspaceName('botany')
WINDOW_S = 5.0
DELAY_S = 10.0
BOUNDS = {
    'usage_window_s': WINDOW_S,
    'usage_delay_s': DELAY_S,
    'lease_s': 2.5,
}
REQUESTS_PER_S = 380.0
ENDPOINTS = 10


class Report(typing.NamedTuple):
    """One window: what the nodes counted, and what was reported when.

    :ivar start_s: when the window began, from the start of the day
    :ivar reported: the counts of all reports that differ; one, if all is well
    :ivar after_s: when the first report came, from the window's end
    """

    start_s: float
    true: int
    reported: tuple[int, ...]
    after_s: float

    @property
    def error(self) -> float:
        """The error of the report, as a share of the true count."""
        if not self.reported or not self.true:
            return 1.0
        return max(abs(count / self.true - 1) for count in self.reported)

    @property
    def is_right(self) -> bool:
        """Whether it is one report, in time, within 5% of the true count."""
        return (
            len(self.reported) == 1
            and self.after_s <= DELAY_S
            and self.error <= 0.05
        )


class UsageDay(simulated_fleet.Fleet):
    """A fleet whose nodes start requests all the time."""

    def __init__(
        self,
        network: simulated.Network,
        nodes: int,
        seeds: typing.Sequence[int],
    ) -> None:
        self.cloud = standin_cloud.Cloud(simulated.Loop(network))
        super().__init__(
            network,
            nodes,
            ENDPOINTS,
            seeds=seeds,
            cloud=self.cloud.address,
            bounds=BOUNDS,
        )
        self.began_s = network.now_s
        self._true: dict[int, int] = {}
        self._reported: dict[int, dict[int, float]] = {}
        self._seen = 0
        self._start_request()

    def at(self, time_s: float, act: typing.Callable[[], object]) -> None:
        """Call *act* at a time of the day."""
        self.network.schedule(self.began_s + time_s, act)

    def cut_some(self, share: float, duration_s: float) -> None:
        """Drop all packets between some nodes and the store for a while."""
        for member in self.some(share):
            self.cut_from_store(member, duration_s)

    def lose_history(self, outage_s: float) -> None:
        """Let the store come back from a copy after an outage."""
        self.store.restore_copy()
        self.store.fault = standin_store.Fault.BUSY
        self.network.schedule(
            self.network.now_s + outage_s,
            lambda: setattr(self.store, 'fault', standin_store.Fault.NONE),
        )

    def reports(self) -> list[Report]:
        """The windows whose reports were due until now."""
        last_s = self.network.now_s - DELAY_S - WINDOW_S
        return [
            Report(
                window * WINDOW_S - self.began_s,
                true,
                tuple(self._reported.get(window, ())),
                min(
                    self._reported.get(window, {}).values(),
                    default=float('inf'),
                )
                - (window + 1) * WINDOW_S,
            )
            for window, true in sorted(self._true.items())
            if window * WINDOW_S <= last_s
        ]

    def _start_request(self) -> None:
        now_s, draws = self.network.now_s, self.network.random
        _, node = draws.choice(self.running())
        node.usage.record_run(WORKSPACE)
        window = usage.window_at(now_s, WINDOW_S)
        self._true[window] = self._true.get(window, 0) + 1
        for call in self.cloud.calls[self._seen :]:
            if call.target == '/usage':
                self._reported.setdefault(
                    call.body['windowId'], {}
                ).setdefault(sum(call.body['counts'].values()), now_s)
        self._seen = len(self.cloud.calls)
        self.network.schedule(
            now_s + draws.expovariate(REQUESTS_PER_S), self._start_request
        )


def quiet(day: UsageDay) -> None:
    """Nothing happens."""


def cut_at_start(day: UsageDay) -> None:
    """A third is cut off from the store before it has read anything."""
    day.cut_some(0.35, 13.0)


def customer(day: UsageDay) -> None:
    """A third is cut off twice, and the store forgets its history."""
    cut_at_start(day)
    day.at(5.0, day.store.make_copy)
    day.at(7.0, lambda: day.lose_history(3.0))
    day.at(42.5, lambda: day.cut_some(0.35, 8.0))


def readers_cut(day: UsageDay) -> None:
    """All readers are cut off from the store, twice."""
    for time_s in (21.0, 33.3):
        day.at(
            time_s,
            lambda: [
                day.cut_from_store(reader, 9.0) for reader in day.readers()
            ],
        )


def kills(day: UsageDay) -> None:
    """A third of the nodes are killed, twice."""
    for time_s in (21.0, 33.3):
        day.at(time_s, lambda: [day.kill(item) for item in day.some(0.35)])


def lossy(day: UsageDay) -> None:
    """A fifth of the datagrams get lost while a third is cut off."""
    day.network.loss = 0.2
    customer(day)


DAYS = {
    day.__name__: day
    for day in (quiet, cut_at_start, customer, readers_cut, kills, lossy)
}


def play(
    name: str,
    nodes: int,
    seed: int,
    duration_s: float,
    seeds: typing.Sequence[int] = (0, 2, 5),
) -> list[Report]:
    """Play a day, and return the reports that were due.

    :param name: of the day
    :param seeds: numbers of the nodes that all nodes are told at their start
    """
    network = simulated.Network(seed)
    clock = types.SimpleNamespace(time=lambda: network.now_s)
    with (
        network.replacing_sockets(),
        mock.patch.object(peer_table, 'time', clock),
    ):
        day = UsageDay(network, nodes, seeds)
        DAYS[name](day)
        network.run_for(duration_s)
    return day.reports()


def main() -> int:
    """Play the days that the command line names; 1 if a report is wrong."""
    name, *numbers = sys.argv[1:]
    nodes, first, count = (int(number) for number in numbers)
    wrong = 0
    for seed in range(first, first + count):
        for report in play(name, nodes, seed, 66.0):
            wrong += not report.is_right
            print(seed, name, report, round(report.error, 3), flush=True)
    print(f'{wrong} reports are wrong')
    return 1 if wrong else 0


if __name__ == '__main__':
    sys.exit(main())
