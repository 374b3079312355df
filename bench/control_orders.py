"""Places orders through routers and counts the appends that they cause."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import statistics
import time
import typing

import urllib3

from bench import control_idle
from bench import control_site
from bench import processes

CALLERS = 100
TIMEOUT_S = 10.0
SETTLE_S = 1.0
DONE = 'done'
NO_ANSWER = 'no-answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order as its caller saw it.

    :ivar outcome: the header ``Guavachute-Outcome``, or ``no-answer``
    """

    key: str
    outcome: str
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """The figures of one rate of orders.

    :ivar target_per_s: the rate at which orders were placed
    :ivar orders_per_s: the rate at which they were finished, answered or
        not
    :ivar outcomes: number of orders by outcome
    :ivar doubled: keys that the order service ran more than once
    :ivar wrong: orders answered ``done`` that didn't run, or ``not-run``
        that did
    """

    target_per_s: float
    orders_per_s: float
    appends_per_s: float
    median_s: float
    p95_s: float
    outcomes: collections.Counter[str]
    doubled: int
    wrong: int

    def line(self) -> str:
        """Return the figures as a row below ``HEADING``."""
        ends = ', '.join(f'{n} {name}' for name, n in self.outcomes.items())
        return (
            f'{self.target_per_s:9.0f} {self.orders_per_s:9.1f} '
            f'{self.appends_per_s:10.1f} {self.median_s * 1000:10.0f} '
            f'{self.p95_s * 1000:7.0f} {self.doubled:8} {self.wrong:6}  {ends}'
        )


HEADING = (
    f'{"wanted/s":>9} {"orders/s":>9} {"appends/s":>10} {"median ms":>10} '
    f'{"p95 ms":>7} {"doubled":>8} {"wrong":>6}  ends'
)


class Callers:
    """Callers that place orders at all routers in turn."""

    def __init__(
        self, site: control_site.Site, order_service: processes.Program
    ) -> None:
        self._site = site
        self._order_service = order_service
        self._http = urllib3.PoolManager(
            num_pools=len(site.routers), maxsize=CALLERS, retries=False
        )
        self._routers = [one.address for one in site.routers.values()]
        self._placed = 0

    def wait_ready(self) -> None:
        """Wait until each router has had an order run."""
        deadline_s = time.monotonic() + control_site.READY_TIMEOUT_S
        for _ in self._routers:
            while self._place_order(self._next_number()).outcome != DONE:
                assert time.monotonic() < deadline_s, (
                    'no order was run in time'
                )
                # Skip the other routers: the next order goes to the same
                # router again.
                self._placed += len(self._routers) - 1

    def load(self, orders_per_s: float, duration_s: float) -> LoadResult:
        """Place orders at a steady rate and return the figures.

        At most ``CALLERS`` orders are in progress at a time.
        """
        nodes = list(self._site.nodes.values())
        before = control_idle.sum_counters(nodes)
        start_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
            futures = []
            for number in range(int(orders_per_s * duration_s)):
                due_s = start_s + number / orders_per_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                futures.append(
                    executor.submit(self._place_order, self._next_number())
                )
            orders = [future.result() for future in futures]
        elapsed_s = time.monotonic() - start_s
        # The last answers are recorded in the log only after the callers
        # have them.
        time.sleep(SETTLE_S)
        count = control_idle.sum_counters(nodes)
        count.subtract(before)
        return self._load_result(
            orders_per_s, orders, elapsed_s, count['log.appends']
        )

    def _load_result(
        self,
        target_per_s: float,
        orders: list[Order],
        elapsed_s: float,
        appends: int,
    ) -> LoadResult:
        runs = self._runs()
        took_s = [order.took_s for order in orders]
        return LoadResult(
            target_per_s,
            len(orders) / elapsed_s,
            appends / elapsed_s,
            statistics.median(took_s),
            statistics.quantiles(took_s, n=20)[-1],
            collections.Counter(order.outcome for order in orders),
            sum(runs[order.key] > 1 for order in orders),
            sum(_is_wrong(order, runs[order.key]) for order in orders),
        )

    def _next_number(self) -> int:
        self._placed += 1
        return self._placed

    def _place_order(self, number: int) -> Order:
        key = f'order-{number}'
        router = self._routers[number % len(self._routers)]
        start_s = time.monotonic()
        order_outcome = NO_ANSWER
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = self._http.request(
                'POST',
                f'http://{router}/v1/services/order-desk/jobs',
                headers={
                    'Authorization': f'Bearer {control_site.API_KEY}',
                    'Idempotency-Key': key,
                },
                json={'order': key},
                timeout=TIMEOUT_S,
            )
            order_outcome = answer.headers.get('Guavachute-Outcome', NO_ANSWER)
        return Order(key, order_outcome, time.monotonic() - start_s)

    def _runs(self) -> collections.Counter[str]:
        answer = urllib3.request(
            'GET', f'http://{self._order_service.address}/ledger'
        )
        runs: list[dict[str, typing.Any]] = answer.json()['runs']
        return collections.Counter(run['key'] for run in runs)


def _is_wrong(order: Order, runs: int) -> bool:
    if order.outcome == DONE:
        return runs == 0
    return order.outcome == 'not-run' and runs > 0
