"""Callers get the complete answer to their own request despite faults."""

import concurrent.futures
import contextlib
import json
import threading
import typing
import unittest

import urllib3

from guavachute.standin import engine_job
from guavachute.standin import engine_text
from guavachute.standin import faults
from tests.support import small_fleet
from tests.support import waiting

TOKENS = 40


def request_body(
    prompt: str, tokens: int = TOKENS, stream: bool = True
) -> str:
    return json.dumps(
        {
            'model': small_fleet.MODEL,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': stream,
        }
    )


def expected_text_of(prompt: str, tokens: int = TOKENS) -> str:
    return engine_text.expected_text(small_fleet.MODEL, prompt, tokens)


class Answer(typing.NamedTuple):
    """What a caller has received.

    :ivar numbers: the token indexes in the event ids
    :ivar done: whether the final event arrived
    :ivar last_id: id of the last event, for ``Last-Event-ID``
    """

    text: str
    numbers: list[int]
    done: bool
    last_id: str | None


def read_events(response: urllib3.BaseHTTPResponse) -> Answer:
    """Read a stream of events until it ends or its connection is lost."""
    texts, numbers, done, last_id = [], [], False, None
    data = b''
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        for part in response.stream():
            data += part
    for block in data.decode().split('\n\n'):
        fields = dict(
            line.split(': ', 1) for line in block.splitlines() if ': ' in line
        )
        if fields.get('data') == '[DONE]':
            done = True
        elif 'id' in fields:
            last_id = fields['id']
            event = json.loads(fields['data'])
            if event['choices'][0]['text']:
                texts.append(event['choices'][0]['text'])
                numbers.append(int(last_id.rpartition(':')[2]))
    return Answer(''.join(texts), numbers, done, last_id)


class RelayTest(unittest.TestCase):
    def start(self, **options: typing.Any) -> small_fleet.SmallFleet:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        return stack.enter_context(small_fleet.running(**options))

    def send_request(
        self,
        fleet: small_fleet.SmallFleet,
        body: str,
        number: int = 0,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        return urllib3.request(
            'POST',
            fleet.url('/v1/completions', number),
            body=body,
            headers=small_fleet.headers() | headers,
            preload_content=False,
            retries=False,
            timeout=30,
        )

    def assert_complete(self, answer: Answer, prompt: str) -> None:
        self.assertEqual(expected_text_of(prompt), answer.text)
        self.assertEqual(list(range(TOKENS)), answer.numbers)
        self.assertTrue(answer.done)

    def add_fault_to_all_engines(
        self, fleet: small_fleet.SmallFleet, **fault: typing.Any
    ) -> None:
        for one in fleet.engines:
            one.faults.add(
                faults.Fault(
                    path_prefix='/v1/completions', method='POST', **fault
                )
            )

    def test_a_stream_cut_in_the_middle_is_resumed(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(
            fleet, kind=faults.Kind.CLOSE, after_tokens=7, count=1
        )
        answer = read_events(self.send_request(fleet, request_body('a plan')))
        self.assert_complete(answer, 'a plan')
        self.assertGreaterEqual(fleet.count('attempts.resumed'), 1)

    def test_a_whole_answer_is_resumed_as_well(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(
            fleet, kind=faults.Kind.CLOSE, after_tokens=7, count=1
        )
        response = self.send_request(
            fleet, request_body('a plan', stream=False)
        )
        text = response.json()['choices'][0]['text']
        self.assertEqual(expected_text_of('a plan'), text)
        self.assertEqual('done', response.headers['Guavachute-Outcome'])

    def test_an_engine_that_dies_takes_no_answer_with_it(self) -> None:
        fleet = self.start()
        prompts = [f'plan {number}' for number in range(12)]
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            answers = [
                pool.submit(
                    lambda p=prompt: read_events(
                        self.send_request(fleet, request_body(p))
                    )
                )
                for prompt in prompts
            ]
            waiting.until(
                lambda: fleet.count('first_token.count') >= 6,
                'streams have started',
            )
            fleet.engines[0].crash()
            for prompt, answer in zip(prompts, answers, strict=True):
                self.assert_complete(answer.result(), prompt)

    def test_events_of_another_request_are_dropped(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(
            fleet, kind=faults.Kind.FOREIGN, after_tokens=5, count=1
        )
        answer = read_events(self.send_request(fleet, request_body('a plan')))
        self.assert_complete(answer, 'a plan')

    def test_events_that_come_twice_are_dropped(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(
            fleet, kind=faults.Kind.DOUBLE, after_tokens=5, count=1
        )
        answer = read_events(self.send_request(fleet, request_body('a plan')))
        self.assert_complete(answer, 'a plan')

    def test_a_refusal_is_tried_elsewhere(self) -> None:
        fleet = self.start()
        fleet.engines[0].faults.add(
            faults.Fault(kind=faults.Kind.REFUSE, count=-1)
        )
        for number in range(4):
            prompt = f'plan {number}'
            answer = read_events(
                self.send_request(fleet, request_body(prompt))
            )
            self.assert_complete(answer, prompt)

    def test_when_every_engine_refuses_the_answer_is_not_run(self) -> None:
        fleet = self.start()
        self.add_fault_to_all_engines(fleet, kind=faults.Kind.REFUSE, count=-1)
        response = self.send_request(fleet, request_body('a plan'))
        response.read()
        self.assertEqual(503, response.status)
        self.assertEqual('not-run', response.headers['Guavachute-Outcome'])
        self.assertTrue(response.headers['Retry-After'])

    def test_a_caller_that_hangs_up_cancels_its_request(self) -> None:
        fleet = self.start(engines=1)
        response = self.send_request(
            fleet, request_body('a plan', tokens=100_000)
        )
        response.read(10)
        response.close()
        waiting.until(
            lambda: fleet.count('requests.cancelled') == 1,
            'the request is cancelled',
        )
        waiting.until(
            lambda: self._running_count(fleet) == 0, 'the engine is idle'
        )

    def test_many_that_hang_up_as_tokens_come_end_nobody_else(self) -> None:
        """Callers that disconnect while tokens arrive don't break the relay.

        Both events of a stream can be ready in the same iteration; the
        endpoint's connection is then closed by the first handler.
        """
        quick = engine_job.EngineSettings(
            models=[small_fleet.MODEL],
            first_token_s=0.0,
            token_gap_s=0.0005,
            slots=200,
            queue_limit=500,
        )
        fleet = self.start(engines=1, engine_settings=quick)
        body = request_body('a plan', tokens=5000)

        def hang_up() -> None:
            for _ in range(20):
                response = self.send_request(fleet, body)
                response.read(10)
                response.close()

        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            for ended in [pool.submit(hang_up) for _ in range(10)]:
                ended.result()
        self.assertIsNone(fleet.router.kernel.broken_task)
        answer = read_events(self.send_request(fleet, request_body('a plan')))
        self.assert_complete(answer, 'a plan')

    def _running_count(self, fleet: small_fleet.SmallFleet) -> int:
        url = f'http://{fleet.engines[0].address}/v1/load'
        return urllib3.request('GET', url, retries=False).json()['running']

    def test_another_router_goes_on_from_the_last_event(self) -> None:
        fleet = self.start(routers=2, drain_limit_s=3)
        response = self.send_request(
            fleet, request_body('a plan', tokens=1200)
        )
        waiting.until(
            lambda: fleet.count('first_token.count') == 1,
            'the stream has started',
        )
        drain = threading.Thread(target=fleet.router.drain)
        drain.start()
        first = read_events(response)
        drain.join()
        self.assertFalse(first.done)
        assert first.last_id is not None
        second = read_events(
            self.send_request(
                fleet,
                request_body('a plan', tokens=1200),
                number=1,
                **{'Last-Event-ID': first.last_id},
            )
        )
        self.assertTrue(second.done)
        self.assertEqual(list(range(1200)), first.numbers + second.numbers)
        self.assertEqual(
            expected_text_of('a plan', 1200), first.text + second.text
        )

    def test_a_text_sent_along_is_not_computed_again(self) -> None:
        fleet = self.start(engines=1)
        body = json.loads(request_body('a plan'))
        body['resume_text'] = expected_text_of('a plan', 10)
        answer = read_events(
            self.send_request(
                fleet,
                json.dumps(body),
                **{'Last-Event-ID': 'req-of-another-router:9'},
            )
        )
        self.assertEqual(list(range(10, TOKENS)), answer.numbers)
        text = body['resume_text'] + answer.text
        self.assertEqual(expected_text_of('a plan'), text)

    def test_a_drain_cuts_nothing_off(self) -> None:
        fleet = self.start()
        prompts = [f'plan {number}' for number in range(8)]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = [
                pool.submit(
                    lambda p=prompt: read_events(
                        self.send_request(fleet, request_body(p))
                    )
                )
                for prompt in prompts
            ]
            waiting.until(
                lambda: fleet.count('requests.accepted') == 8,
                'all requests are accepted',
            )
            fleet.router.drain()
            for prompt, answer in zip(prompts, answers, strict=True):
                self.assert_complete(answer.result(), prompt)
        self.assertEqual(0, fleet.router.relay.active)

    def test_no_endpoint_is_a_truthful_not_run(self) -> None:
        fleet = self.start(engines=1)
        fleet.leave('engine-0')
        waiting.until(
            lambda: self._is_rejected(fleet),
            'the router knows that the endpoint is leaving',
        )

    def _is_rejected(self, fleet: small_fleet.SmallFleet) -> bool:
        response = self.send_request(fleet, request_body('a plan', tokens=1))
        response.read()
        return (
            response.status == 503
            and response.headers['Guavachute-Outcome'] == 'not-run'
        )
