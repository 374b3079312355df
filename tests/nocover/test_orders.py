"""A thousand orders, each sent several times, under faults and kills.

Guards against an order that runs twice, and against one that was reported
as ``not-run`` and ran, while the log fails and routers are killed.
"""

import collections
import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import random
import tempfile
import threading
import unittest

import urllib3

from tests.support import documents
from tests.support import programs
from tests.support import waiting

NODES = {'entry-1': 'perth-a', 'entry-2': 'perth-b', 'entry-3': 'bunbury-a'}
ORDERS = 1000
SENDS_PER_ORDER = 5
CALLERS = 24
KILLS = 6
FAULT_KINDS = ('lose-answer', 'double', 'refuse', 'close', 'stall')
REFUSALS = 40
"""Refused requests in a row; together an outage of some seconds."""

NEVER_RUN = ['not-run'] * SENDS_PER_ORDER
CALL_TIMEOUT_S = 20.0


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = programs.Site(pathlib.Path(folder), stack)
        self.order_service = self.site.add_order_service()
        for name, domain in NODES.items():
            self.site.add_node(name, domain)
            self.site.add_router(name, domain)
        self.site.publish()
        self.site.wait_ready()
        self.outcomes_of: dict[str, list[str]] = collections.defaultdict(list)
        self.http = urllib3.PoolManager(maxsize=CALLERS)
        self.addCleanup(self.http.clear)

    def send(self, key: str, node: str) -> str:
        """Send the order *key* to the router on *node*; the outcome."""
        try:
            response = self.http.request(
                'POST',
                self.site.url(node, '/v1/services/order-desk/jobs'),
                headers={
                    'Authorization': f'Bearer {documents.KEY}',
                    'Idempotency-Key': key,
                },
                json={'order': key},
                timeout=CALL_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return 'no-answer'
        return response.headers.get('Guavachute-Outcome', 'no-outcome')

    def send_repeatedly(self, number: int) -> None:
        """Send one order several times, each to a random router."""
        key = f'order-{number}'
        chooser = random.Random(number)
        for _ in range(SENDS_PER_ORDER):
            node = chooser.choice(sorted(NODES))
            self.outcomes_of[key].append(self.send(key, node))

    def log_faults(self, done: threading.Event) -> None:
        """Make appends and reads of the log fail, one after another."""
        address = self.site.log.announced['http']
        chooser = random.Random(1)
        while not done.wait(0.3):
            kind = chooser.choice(FAULT_KINDS)
            fault = {
                'path_prefix': '/v1/streams/claims',
                'method': chooser.choice(['POST', 'POST', 'GET']),
                'kind': kind,
                'count': REFUSALS if kind == 'refuse' else 2,
                'delay_s': 0.5,
            }
            urllib3.request(
                'POST', f'http://{address}/faults', json={'faults': [fault]}
            )
        urllib3.request('DELETE', f'http://{address}/faults')

    def kill_routers(self, done: threading.Event) -> None:
        """Kill a router each time that a further share of orders was sent."""
        names = itertools.cycle(NODES)
        for kill in range(1, KILLS + 1):
            while len(self.outcomes_of) < kill * ORDERS // (KILLS + 2):
                if done.wait(0.02):
                    return
            name = next(names)
            self.site.routers[name].kill()
            self.site.add_router(name, NODES[name])

    def runs(self) -> collections.Counter[str]:
        """How often the order service ran each key."""
        address = self.order_service.announced['http']
        response = urllib3.request('GET', f'http://{address}/ledger')
        ledger = json.loads(response.data)['runs']
        return collections.Counter(run['key'] for run in ledger)

    def test_each_order_runs_at_most_once_and_no_not_run_ran(self) -> None:
        done = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(CALLERS + 2) as executor:
            disturbers = [
                executor.submit(self.log_faults, done),
                executor.submit(self.kill_routers, done),
            ]
            senders = [
                executor.submit(self.send_repeatedly, n) for n in range(ORDERS)
            ]
            concurrent.futures.wait(senders)
            done.set()
            for future in [*senders, *disturbers]:
                future.result()
        runs = self.runs()
        outcomes = collections.Counter(
            itertools.chain(*self.outcomes_of.values())
        )
        print(f'sends by outcome: {dict(outcomes)}; keys run: {len(runs)}')
        self.assertEqual(ORDERS, len(self.outcomes_of))
        self.assertEqual({}, {k: n for k, n in runs.items() if n > 1})
        self.assertGreater(outcomes['not-run'], 0)
        self.assertGreater(outcomes['unknown'], 0)
        for key, received in self.outcomes_of.items():
            if 'done' in received:
                self.assertEqual(1, runs[key], (key, received))
        self.check_that_not_run_can_run(runs)

    def check_that_not_run_can_run(
        self, runs: collections.Counter[str]
    ) -> None:
        """A key with only 'not-run' outcomes has not run, and can run now."""
        refused = [
            key
            for key, received in self.outcomes_of.items()
            if received == NEVER_RUN
        ]
        self.assertEqual({}, {k: runs[k] for k in refused if runs[k]})
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
            list(executor.map(self.send_until_done, refused))
        runs = self.runs()
        self.assertEqual({}, {k: runs[k] for k in refused if runs[k] != 1})
        self.assertEqual({}, {k: n for k, n in runs.items() if n > 1})

    def send_until_done(self, key: str) -> None:
        """Send *key* to the routers in turn until it is done."""
        nodes = itertools.cycle(NODES)
        waiting.until(
            lambda: self.send(key, next(nodes)) == 'done', f'{key} is done'
        )

    def test_an_order_refused_while_the_log_was_down_runs_later(
        self,
    ) -> None:
        address = self.site.log.announced['http']
        fault = {
            'path_prefix': '/v1/streams/claims',
            'kind': 'refuse',
            'count': -1,
        }
        urllib3.request(
            'POST', f'http://{address}/faults', json={'faults': [fault]}
        )
        self.assertEqual('not-run', self.send('late', 'entry-1'))
        urllib3.request('DELETE', f'http://{address}/faults')
        waiting.until(
            lambda: self.send('late', 'entry-2') == 'done', 'the order runs'
        )
        self.assertEqual({'late': 1}, dict(self.runs()))
