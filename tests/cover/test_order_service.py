"""Claims of orders against the log stand-in, with its faults.

Guards against an order that is dispatched twice, and against a key that
can't run again although its outcome was ``not-run``.
"""

import concurrent.futures
import random
import time
import unittest
import unittest.mock

from guavachute.clients import log_client
from guavachute.http import message
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services import claim_client
from guavachute.services import claim_gate
from guavachute.services import claim_server
from guavachute.services import order_claims
from guavachute.services import plain_calls
from guavachute.standin import faults
from guavachute.standin import log_service
from tests.support import hosting
from tests.support import waiting

WINDOW_S = 600.0
ANSWER = plain_calls.Answer(201, {'Content-Type': 'text/plain'}, b'job-1')


def order(
    key: str, body: bytes = b'ten caps', wait_s: float = 20.0
) -> plain_calls.PlainCall:
    """A call that is not idempotent."""
    return plain_calls.PlainCall(
        request_id=ids.RequestId(ids.new_random_id('req')),
        workspace=ids.WorkspaceName('club'),
        pool=ids.PoolName('orders'),
        request=message.Request('POST', '/jobs', {}, {}, body),
        idempotency_key=key,
        deadline_s=time.monotonic() + wait_s,
        caller=unittest.mock.Mock(),
        span=unittest.mock.Mock(),
        context=traces.Context(),
    )


class OrderServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = hosting.host(self, log_service.LogService())
        self.metrics: list[counters.Counters] = []
        self.servers: list[claim_server.ClaimServer] = []
        self.clients: list[claim_client.ClaimClient] = []
        self.one = self.router()
        self.two = self.router()

    def router(self) -> claim_gate.ClaimGate:
        """A router whose committer accepts orders."""
        gate = self.gate()
        self.claim_until_accepted(gate, ids.new_random_id('warm-up'))
        return gate

    def gate(self) -> claim_gate.ClaimGate:
        """A gate with a committer of its own, connected by TCP."""
        metrics = counters.Counters()
        service = order_claims.build(
            lambda: log_client.LogClient(
                self.log.address, metrics, random.Random(1)
            ),
            WINDOW_S,
            metrics,
        )
        hosting.host(self, service)
        server = claim_server.ClaimServer(
            '127.0.0.1', 0, service.mailbox, metrics
        )
        hosting.host(self, server)
        client = hosting.host(self, claim_client.ClaimClient(metrics))
        client.mailbox.send(claim_client.UseCommitter(server.address))
        self.metrics.append(metrics)
        self.servers.append(server)
        self.clients.append(client)
        return claim_gate.ClaimGate(client.mailbox)

    def claim(
        self, gate: claim_gate.ClaimGate, call: plain_calls.PlainCall
    ) -> plain_calls.Answer | outcome.Verdict | None:
        """The stored answer or the verdict; None to dispatch *call*."""
        result = gate.claim(call, time.monotonic())
        if isinstance(result, plain_calls.Failed):
            return result.verdict
        return result

    def claim_until_accepted(
        self, gate: claim_gate.ClaimGate, key: str
    ) -> None:
        """Claim *key* until it can be dispatched.

        The verdict of each attempt before is not-run or unknown.
        """

        def is_accepted() -> bool:
            result = self.claim(gate, order(key))
            self.assertIn(
                result,
                (None, outcome.Verdict.NOT_RUN, outcome.Verdict.UNKNOWN),
            )
            return result is None

        waiting.until(is_accepted, f'{key} can be dispatched')

    def fault(self, kind: str, count: int = 1) -> None:
        """Inject *count* faults into the next appends."""
        self.log.faults.add(
            faults.Fault(
                path_prefix='/v1/streams',
                method='POST',
                kind=faults.Kind(kind),
                count=count,
            )
        )

    def test_a_key_is_dispatched_once_and_its_answer_is_kept(self) -> None:
        call = order('key')
        self.assertIsNone(self.claim(self.one, call))
        self.assertIs(
            outcome.Verdict.UNKNOWN, self.claim(self.two, order('key'))
        )
        self.one.store_answer(call, ANSWER)
        for gate in (self.one, self.two):
            waiting.until(
                lambda gate=gate: self.claim(gate, order('key')) == ANSWER,
                'the stored answer',
            )
        self.assertIs(
            outcome.Verdict.NOT_RUN,
            self.claim(self.two, order('key', body=b'other')),
        )

    def test_one_of_two_routers_that_get_it_at_once_dispatches(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(16) as executor:
            for number in range(5):
                calls = [order(f'key-{number}') for _ in range(16)]
                gates = [self.one, self.two] * 8
                results = list(executor.map(self.claim, gates, calls))
                self.assertEqual(1, results.count(None), results)

    def test_lost_answers_and_doubled_appends_do_no_harm(self) -> None:
        for kind in ('lose-answer', 'double', 'refuse', 'close'):
            self.fault(kind)
            self.assertIsNone(self.claim(self.one, order(f'key-{kind}')))
            self.assertIs(
                outcome.Verdict.UNKNOWN,
                self.claim(self.two, order(f'key-{kind}')),
            )

    def test_while_the_log_is_down_nothing_runs_and_then_it_does(
        self,
    ) -> None:
        self.log.set_down(True)
        self.assertIs(
            outcome.Verdict.NOT_RUN,
            self.claim(self.one, order('key', wait_s=0.3)),
        )
        self.log.set_down(False)
        self.claim_until_accepted(self.two, 'key')

    def test_a_not_run_whose_claim_was_written_can_run_later(self) -> None:
        self.fault('lose-answer', count=-1)
        stalled = faults.Fault(
            path_prefix='/v1/streams',
            method='GET',
            kind=faults.Kind.REFUSE,
            count=-1,
        )
        self.log.faults.add(stalled)
        # Ends the long polls that are under way: a fault only affects
        # requests that start later.
        self.log.append('claims-0', [{}])
        waiting.until(
            lambda: self.metrics[0].value('orders.read_failures'),
            'the reads of the first router fail',
        )
        self.assertIs(
            outcome.Verdict.NOT_RUN,
            self.claim(self.one, order('key', wait_s=1.0)),
        )
        self.log.faults.clear()
        self.claim_until_accepted(self.two, 'key')

    def test_a_router_that_loses_its_committer_refuses_and_runs_later(
        self,
    ) -> None:
        self.log.faults.add(
            faults.Fault(
                path_prefix='/v1/streams',
                method='POST',
                kind=faults.Kind.STALL,
                delay_s=1.0,
                count=1,
            )
        )
        before = self.metrics[0].value('orders.claims')
        with concurrent.futures.ThreadPoolExecutor() as executor:
            claimed = executor.submit(self.claim, self.one, order('key'))
            waiting.until(
                lambda: self.metrics[0].value('orders.claims') > before,
                'the committer has the claim',
            )
            self.servers[0].request_stop()
            self.assertIs(outcome.Verdict.NOT_RUN, claimed.result())
        address = self.servers[1].address
        self.clients[0].mailbox.send(claim_client.UseCommitter(address))
        self.claim_until_accepted(self.one, 'key')

    def test_an_order_that_reached_nobody_can_be_sent_again(self) -> None:
        call = order('key')
        self.assertIsNone(self.claim(self.one, call))
        self.one.release_claim(call)
        self.claim_until_accepted(self.two, 'key')

    def test_a_router_that_died_with_its_claim_leaves_it_unknown(
        self,
    ) -> None:
        self.assertIsNone(self.claim(self.one, order('key')))
        third = self.router()
        for gate in (self.two, third):
            self.assertIs(
                outcome.Verdict.UNKNOWN, self.claim(gate, order('key'))
            )

    def test_keys_are_carried_forward_before_the_log_drops_them(self) -> None:
        self.assertIsNone(self.claim(self.one, order('key')))
        self.log.drop_before('claims-0', 2)
        self.assertIsNone(self.claim(self.one, order('next')))

        def places() -> list[int]:
            records = self.log.records('claims-0')
            return [
                place
                for place, record in enumerate(records)
                if record['kind'] == 'order-snapshot-part'
            ]

        place = waiting.until(places, 'a snapshot')[0]
        self.log.drop_before('claims-0', 2 + place)
        third = self.router()
        self.assertIs(outcome.Verdict.UNKNOWN, self.claim(third, order('key')))

    def test_records_dropped_without_a_snapshot_stop_plain_keys(self) -> None:
        self.assertIsNone(self.claim(self.one, order('key')))
        end = len(self.log.records('claims-0'))
        self.log.drop_before('claims-0', end)
        gate = self.gate()
        metrics = self.metrics[-1]
        waiting.until(
            lambda: metrics.value('orders.memory_lost'), 'the loss is detected'
        )
        self.assertIs(outcome.Verdict.NOT_RUN, self.claim(gate, order('key')))
