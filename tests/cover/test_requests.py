"""Requests through a router, with faults of stand-in engines."""

import concurrent.futures
import contextlib
import json
import typing
import unittest

import urllib3

from guavachute.standin import engine_job
from guavachute.standin import engine_text
from guavachute.standin import faults
from tests.support import documents
from tests.support import small_fleet
from tests.support import waiting

RESENDS = 20
SLOW = engine_job.EngineSettings(
    models=[small_fleet.MODEL],
    slots=2,
    first_token_s=0.005,
    token_gap_s=0.01,
)


class Answer(typing.NamedTuple):
    """A complete answer as its caller receives it."""

    status: int
    outcome: str
    retry_after: str | None
    text: str


class RequestsTest(unittest.TestCase):
    def start(self, **options: typing.Any) -> small_fleet.SmallFleet:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        return stack.enter_context(small_fleet.running(**options))

    def send_request(
        self,
        fleet: small_fleet.SmallFleet,
        prompt: str,
        tokens: int = 40,
        number: int = 0,
        **headers: str,
    ) -> Answer:
        body = {
            'model': small_fleet.MODEL,
            'prompt': prompt,
            'max_tokens': tokens,
        }
        response = urllib3.request(
            'POST',
            fleet.url('/v1/completions', number),
            body=json.dumps(body),
            headers=small_fleet.headers() | headers,
            retries=False,
            timeout=60,
        )
        parsed = response.json()
        text = parsed['choices'][0]['text'] if response.status == 200 else ''
        return Answer(
            response.status,
            response.headers['Guavachute-Outcome'],
            response.headers.get('Retry-After'),
            text,
        )

    def add_fault_to_all_engines(
        self,
        fleet: small_fleet.SmallFleet,
        kind: faults.Kind,
        **more: typing.Any,
    ) -> None:
        for one in fleet.engines:
            one.faults.add(
                faults.Fault(kind=kind, path_prefix='/v1/completions', **more)
            )

    def crash_count(self, fleet: small_fleet.SmallFleet) -> int:
        return sum(
            one.faults.injected_count(faults.Kind.CRASH)
            for one in fleet.engines
        )

    def test_a_crashing_request_loses_two_endpoints_however_often_sent(
        self,
    ) -> None:
        fleet = self.start(engines=6)
        self.add_fault_to_all_engines(
            fleet, faults.Kind.CRASH, match='poison', count=-1
        )
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            others = [
                pool.submit(self.send_request, fleet, f'a plan {number}', 200)
                for number in range(8)
            ]
            waiting.until(
                lambda: fleet.count('first_token.count') >= 8, 'all run'
            )
            answers = [
                self.send_request(fleet, 'poison') for _ in range(RESENDS)
            ]
            for number, other in enumerate(others):
                expected = engine_text.expected_text(
                    small_fleet.MODEL, f'a plan {number}', 200
                )
                self.assertEqual(expected, other.result().text)
        self.assertEqual(2, self.crash_count(fleet))
        self.assertEqual('unknown', answers[0].outcome)
        self.assertEqual(
            {(422, 'not-run')},
            {(each.status, each.outcome) for each in answers[1:]},
        )

    def test_another_router_refuses_what_crashed_here(self) -> None:
        fleet = self.start(engines=5, routers=2)
        self.add_fault_to_all_engines(
            fleet, faults.Kind.CRASH, match='poison', count=-1
        )
        self.assertEqual('unknown', self.send_request(fleet, 'poison').outcome)
        waiting.until(
            lambda: self._is_refused_by_other(fleet),
            'the other router knows of the crashes',
        )
        self.assertEqual(2, self.crash_count(fleet))

    def _is_refused_by_other(self, fleet: small_fleet.SmallFleet) -> bool:
        """Whether the other router refuses the request as crashing.

        Before it knows of the crash, it must not start the request
        either: the owner of the fingerprint grants no attempt, and the
        status is 503.
        """
        resent = self.send_request(fleet, 'poison', number=1)
        self.assertEqual('not-run', resent.outcome)
        self.assertIn(resent.status, (422, 503))
        return resent.status == 422

    def test_half_of_the_endpoints_gone_at_once_loses_no_answer(self) -> None:
        fleet = self.start(engines=6)
        prompts = [f'plan {number}' for number in range(18)]
        with concurrent.futures.ThreadPoolExecutor(18) as pool:
            pending = [
                pool.submit(self.send_request, fleet, prompt, 150)
                for prompt in prompts
            ]
            waiting.until(
                lambda: fleet.count('first_token.count') >= 18, 'all run'
            )
            for one in fleet.engines[:3]:
                one.crash()
            for prompt, each in zip(prompts, pending, strict=True):
                expected = engine_text.expected_text(
                    small_fleet.MODEL, prompt, 150
                )
                self.assertEqual(expected, each.result().text)
        resent = [self.send_request(fleet, prompt, 1) for prompt in prompts]
        self.assertEqual({200}, {each.status for each in resent})

    def test_a_slow_endpoint_is_ejected(self) -> None:
        fleet = self.start(engines=4)
        slow = fleet.engines[0]
        slow.change(token_gap_s=0.1)
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            pending = [
                pool.submit(self.send_request, fleet, f'plan {number}', 400)
                for number in range(16)
            ]
            waiting.until(
                lambda: fleet.count('endpoints.ejected.slow') >= 1,
                'the slow endpoint is ejected',
            )
            fleet.leave(slow.name)
            for each in pending:
                self.assertEqual(200, each.result().status)

    def test_a_silent_stream_is_probed_and_resumed(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(
            fleet, faults.Kind.SILENT, after_tokens=9
        )
        answer = self.send_request(fleet, 'a plan')
        expected = engine_text.expected_text(small_fleet.MODEL, 'a plan', 40)
        self.assertEqual(expected, answer.text)
        self.assertGreaterEqual(fleet.count('probes.sent'), 1)
        self.assertEqual(0, fleet.count('crashes.endpoints'))

    def test_overload_refuses_at_once_and_finishes_what_it_took(
        self,
    ) -> None:
        fleet = self.start(engines=1, engine_settings=SLOW)
        waiting.until(
            lambda: fleet.router.relay.free_slots('needle') == SLOW.slots,
            'the engine has reported its slots',
        )
        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            pending = [
                pool.submit(self.send_request, fleet, f'plan {number}', 150)
                for number in range(40)
            ]
            answers = [each.result() for each in pending]
        refused = [each for each in answers if each.status != 200]
        self.assertTrue(refused)
        for each in refused:
            self.assertEqual((429, 'not-run'), (each.status, each.outcome))
            self.assertTrue(each.retry_after)
        self.assertGreater(len(answers), len(refused))
        self.assertEqual(0, fleet.count('attempts.refused'))

    def test_a_limit_of_the_workspace_holds(self) -> None:
        fleet = self.start()
        document = documents.valid()
        limits = {'requests_per_s': 0.01}
        document['workspaces']['uniforms']['limits'] = limits
        fleet.offset += 1
        fleet.publish(document)
        waiting.until(
            lambda: self.send_request(fleet, 'a plan', 1).status == 429,
            'the limit applies',
        )
        answer = self.send_request(fleet, 'a plan', 1)
        self.assertEqual('not-run', answer.outcome)
        self.assertGreater(int(answer.retry_after or 0), 1)

    def test_long_streams_leave_with_their_cache(self) -> None:
        fleet = self.start(engines=2)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            pending = [
                pool.submit(self.send_request, fleet, f'plan {number}', 900)
                for number in range(4)
            ]
            waiting.until(
                lambda: fleet.count('first_token.count') >= 4, 'all run'
            )
            leaving = max(
                fleet.engines,
                key=lambda one: fleet.router.relay.outstanding(one.name),
            )
            fleet.leave(leaving.name)
            for number, each in enumerate(pending):
                expected = engine_text.expected_text(
                    small_fleet.MODEL, f'plan {number}', 900
                )
                self.assertEqual(expected, each.result().text)
        self.assertGreaterEqual(fleet.count('moves.exported'), 1)
        self.assertEqual(0, fleet.count('moves.export_failed'))
