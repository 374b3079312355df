"""Appends to the log against orders, and the latency of a claim.

Committers, their routers' gates and the log stand-in share one process,
so the times are upper bounds; the ratio of appends to orders is exact.
"""

import argparse
import concurrent.futures
import contextlib
import random
import statistics
import time
import types
import typing

import msgspec

from guavachute.clients import log_client
from guavachute.http import message
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.services import claim_gate
from guavachute.services import order_claims
from guavachute.services import plain_calls
from guavachute.standin import log_service

DURATION_S = 5.0
WINDOW_S = 600.0
DEADLINE_S = 30.0
ANSWER = plain_calls.Answer(201, {}, b'{"id": "job-1"}')


class Result(msgspec.Struct, frozen=True):
    """Figures of one load; the times are those from claim to grant."""

    committers: int
    callers: int
    orders_per_s: float
    appends_per_s: float
    claim_median_s: float
    claim_p95_s: float


def _new_call() -> typing.Any:
    return types.SimpleNamespace(
        request_id=ids.new_random_id('req'),
        workspace='club',
        pool='orders',
        request=message.Request('POST', '/jobs', {}, {}, b'ten caps'),
        idempotency_key=ids.new_random_id('key'),
        deadline_s=time.monotonic() + DEADLINE_S,
    )


def _place_orders(gate: claim_gate.ClaimGate, end_s: float) -> list[float]:
    """Place orders one after the other until *end_s*.

    Returns the seconds that each granted claim took.
    """
    times_s = []
    while time.monotonic() < end_s:
        call = _new_call()
        start_s = time.monotonic()
        if gate.claim(call, start_s) is None:
            times_s.append(time.monotonic() - start_s)
            gate.store_answer(call, ANSWER)
    return times_s


def measure(committers: int, callers: int) -> Result:
    """Measure *callers* that place orders through *committers*.

    Each caller uses one committer; they are assigned by round robin.
    """
    log = log_service.LogService()
    hosting = kernel.Kernel()
    hosting.add(log)
    with contextlib.ExitStack() as stack:
        stack.enter_context(hosting.running())
        gates = []
        for number in range(committers):
            metrics = counters.Counters()
            service = order_claims.build(
                lambda metrics=metrics: log_client.LogClient(
                    log.address, metrics, random.Random(number)
                ),
                WINDOW_S,
                metrics,
            )
            stack.callback(service.join, DEADLINE_S)
            stack.callback(service.request_stop)
            service.start()
            gates.append(claim_gate.ClaimGate(service.mailbox))
        for gate in gates:
            _place_orders(gate, time.monotonic() + 0.5)
        before = log.appends
        end_s = time.monotonic() + DURATION_S
        with concurrent.futures.ThreadPoolExecutor(callers) as executor:
            futures = [
                executor.submit(_place_orders, gates[n % committers], end_s)
                for n in range(callers)
            ]
            times_s = [t for future in futures for t in future.result()]
        appends = log.appends - before
    return Result(
        committers,
        callers,
        round(len(times_s) / DURATION_S, 1),
        round(appends / DURATION_S, 1),
        round(statistics.median(times_s), 3),
        round(statistics.quantiles(times_s, n=20)[-1], 3),
    )


def main() -> None:
    """Print one line of JSON for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--committers', type=int, default=3)
    parser.add_argument('--callers', type=int, nargs='+', default=[3, 12, 48])
    arguments = parser.parse_args()
    for callers in arguments.callers:
        result = measure(arguments.committers, callers)
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == '__main__':
    main()
