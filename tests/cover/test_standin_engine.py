"""Tests of the stand-in engine: text, cache, batching, resume and faults."""

import http.client
import json
import threading
import unittest

from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import engine_text
from guavachute.standin import faults
from tests.support import hosting
from tests.support import http_calls
from tests.support import waiting

PROMPT = 'one two three four five six seven eight ' * 8
COMPLETIONS = '/v1/completions'
FAST = engine_job.EngineSettings(
    first_token_s=0.001,
    token_gap_s=0.001,
    load_lag_s=0.001,
    cache_event_delay_s=0,
    slots=1,
    queue_limit=0,
)


class EngineCase(unittest.TestCase):
    def start(self, **settings: object) -> engine.Engine:
        created = engine.Engine(settings=FAST)
        created.change(**settings)
        return hosting.host(self, created)

    def complete(
        self, served: engine.Engine, attempt: str = 'att', **body: object
    ) -> http_calls.Answer:
        body = {'model': 'demo', 'prompt': PROMPT, 'stream': True, **body}
        headers = {'X-Request-Id': 'req', 'X-Attempt-Id': attempt}
        return http_calls.call(
            served.address, 'POST', COMPLETIONS, body, headers
        )

    def occupy_slot(self, served: engine.Engine) -> None:
        """Start a stream that occupies a slot and has sent a token."""
        threading.Thread(
            target=self.complete,
            args=[served, 'held'],
            kwargs={'max_tokens': 10**9},
            daemon=True,
        ).start()
        waiting.until(
            lambda: (
                served.streams.load.running
                and served.streams.load.generated_tokens
            ),
            'the first token of the stream',
        )


class EngineTest(EngineCase):
    def test_the_text_is_a_function_of_the_prompt(self) -> None:
        answer = self.complete(self.start(), max_tokens=9)
        events = http_calls.events(answer.body)
        indexes = [event['token_index'] for event in events]
        self.assertEqual(list(range(10)), indexes)
        expected = engine_text.expected_text('demo', PROMPT, 9)
        self.assertEqual(expected, http_calls.text(answer.body))
        ids = {(event['id'], event['attempt_id']) for event in events}
        self.assertEqual({('req', 'att')}, ids)
        self.assertEqual(64, events[-1]['usage']['prompt_tokens'])
        self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))

    def test_a_resumed_answer_goes_on_as_the_unbroken_one(self) -> None:
        served = self.start()
        text_so_far = engine_text.expected_text('demo', PROMPT, 5)
        expected = engine_text.expected_text('demo', PROMPT, 9)
        for resume_text in (text_so_far, 'something else'):
            answer = self.complete(
                served,
                max_tokens=9,
                resume_from=5,
                resume_text=resume_text,
            )
            complete_text = text_so_far + http_calls.text(answer.body)
            self.assertEqual(
                resume_text == text_so_far, complete_text == expected
            )

    def test_a_second_prompt_finds_its_blocks_in_the_cache(self) -> None:
        served = self.start()
        usages = [
            http_calls.events(self.complete(served).body)[-1]['usage']
            for _ in range(2)
        ]
        self.assertEqual(0, usages[0]['cached_tokens'])
        self.assertGreater(usages[1]['cached_tokens'], 0)
        published = http_calls.call(
            served.address, 'GET', '/v1/cache_events?from=0'
        ).json()
        self.assertEqual('stored', published['events'][0]['kind'])
        self.assertEqual(published['next'], len(published['events']))

    def test_a_full_engine_refuses_before_running(self) -> None:
        served = self.start()
        self.occupy_slot(served)
        answer = self.complete(served)
        self.assertEqual(429, answer.status)
        self.assertTrue(answer.json()['not_run'])
        self.assertIn('retry-after', answer.headers)

    def test_the_queue_goes_by_priority_and_cancel_frees_the_slot(
        self,
    ) -> None:
        served = self.start(queue_limit=2)
        self.occupy_slot(served)
        cancel = {'attempt_id': 'held'}
        answer = http_calls.call(served.address, 'POST', '/v1/cancel', cancel)
        self.assertTrue(answer.json()['cancelled'])
        self.assertEqual(200, self.complete(served).status)

    def test_a_closed_connection_cancels(self) -> None:
        served = self.start()
        connection = http.client.HTTPConnection(served.address, timeout=20)
        body = {'model': 'demo', 'prompt': 'x', 'max_tokens': 10**9}
        connection.request('POST', COMPLETIONS, json.dumps(body))
        waiting.until(
            lambda: (
                served.streams.load.running
                and served.streams.load.generated_tokens
            ),
            'the first token of the stream',
        )
        connection.close()
        waiting.until(
            lambda: not served.streams.load.running, 'the stream to end'
        )

    def test_an_exported_cache_saves_the_recomputation(self) -> None:
        # The first token is slow because the export must happen after it:
        # the exported cache has to contain that token.
        source = self.start(first_token_s=0.2)
        self.occupy_slot(source)
        target = self.start()
        order = {'attempt_id': 'held', 'to': target.address}
        exported = http_calls.call(
            source.address, 'POST', '/v1/kv/export', order
        ).json()
        self.assertGreater(exported['size_bytes'], 0)
        more = {'max_tokens': 2, 'resume_from': 1}
        text_so_far = engine_text.expected_text('demo', PROMPT, 1)
        more['resume_text'] = text_so_far
        answer = self.complete(target, kv_handle=exported['kv_handle'], **more)
        self.assertEqual(200, answer.status)
        load = target.streams.load
        self.assertEqual(0, load.recomputed_tokens)

    def test_old_fencing_numbers_are_refused_where_checked(self) -> None:
        for checks, expected in ((True, 409), (False, 200)):
            settings = engine_job.EngineSettings(checks_fencing=checks)
            served = hosting.host(self, engine.Engine(settings=settings))
            wish = {'models': ['demo', 'other']}
            statuses = [
                http_calls.call(
                    served.address,
                    'POST',
                    '/v1/orders',
                    {'fencing_number': number, 'wish': wish},
                ).status
                for number in (7, 6)
            ]
            self.assertEqual([200, expected], statuses)
            self.assertEqual(['demo', 'other'], served.orders.models())


class EngineFaultsTest(EngineCase):
    def complete_with_fault(
        self, kind: faults.Kind, **more: object
    ) -> http_calls.Answer:
        self.served = self.start()
        self.served.faults.add(
            faults.Fault(kind, path_prefix=COMPLETIONS, **more)
        )
        return self.complete(self.served, max_tokens=5)

    def test_a_stream_breaks_after_some_tokens(self) -> None:
        answer = self.complete_with_fault(faults.Kind.CLOSE, after_tokens=3)
        self.assertEqual(3, len(http_calls.events(answer.body)))

    def test_a_crash_in_a_stream_ends_the_engine(self) -> None:
        answer = self.complete_with_fault(faults.Kind.CRASH, after_tokens=2)
        self.assertEqual(2, len(http_calls.events(answer.body)))
        refused = self.complete(self.served)
        self.assertEqual(http_calls.NO_ANSWER, refused)

    def test_double_and_foreign_events_come_through(self) -> None:
        doubled = self.complete_with_fault(faults.Kind.DOUBLE)
        indexes = [
            event['token_index'] for event in http_calls.events(doubled.body)
        ]
        self.assertEqual([0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5], indexes)
        foreign = self.complete_with_fault(faults.Kind.FOREIGN)
        ids = [event['id'] for event in http_calls.events(foreign.body)]
        self.assertEqual(['req-of-another', 'req'] * 5 + ['req'], ids)

    def test_a_lost_answer_was_generated(self) -> None:
        answer = self.complete_with_fault(faults.Kind.LOSE_ANSWER)
        self.assertEqual(http_calls.NO_ANSWER, answer)
        waiting.until(
            lambda: self.served.streams.load.generated_tokens == 5,
            'five tokens to be generated',
        )

    def test_a_silent_stream_says_nothing_more(self) -> None:
        served = self.start()
        served.faults.add(faults.Fault(faults.Kind.SILENT, after_tokens=2))
        connection = http.client.HTTPConnection(served.address, timeout=20)
        self.addCleanup(connection.close)
        body = {'model': 'demo', 'prompt': 'x', 'stream': True}
        connection.request('POST', COMPLETIONS, json.dumps(body))
        response = connection.getresponse()
        for _ in range(2):
            self.assertIn(b'token_index', response.readline())
            response.readline()
        waiting.until(
            lambda: (
                served.streams.load.generated_tokens == 2
                and not served.streams.load.running
            ),
            'the slot to be free while the connection stays',
        )
        served.request_stop()
        self.assertEqual(b'', response.readline())
