"""The callers' HTTP interface: authentication, checks, malformed input."""

import contextlib
import json
import socket
import typing
import unittest

import openai
import urllib3

from tests.support import documents
from tests.support import small_fleet

JSON = {'Content-Type': 'application/json'}


class FrontTest(unittest.TestCase):
    fleet: small_fleet.SmallFleet

    @classmethod
    def setUpClass(cls) -> None:
        stack = contextlib.ExitStack()
        cls.addClassCleanup(stack.close)
        cls.fleet = stack.enter_context(small_fleet.running(engines=1))

    def send_request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        text = json.dumps(body) if not isinstance(body, str) else body
        return urllib3.request(
            method,
            self.fleet.url(path),
            body=None if body is None else text,
            headers=small_fleet.headers() | headers,
            retries=False,
            timeout=20,
        )

    def assert_refused(
        self, response: urllib3.BaseHTTPResponse, status: int, code: str
    ) -> str:
        self.assertEqual(status, response.status, response.data)
        self.assertEqual('not-run', response.headers['Guavachute-Outcome'])
        self.assertTrue(response.headers['X-Request-Id'])
        error = response.json()['error']
        self.assertEqual(code, error['code'])
        return error['message']

    def test_no_key_and_a_wrong_key_get_401(self) -> None:
        for given in ('', 'Bearer wrong', 'Basic a2V5'):
            response = self.send_request(
                'GET', '/v1/models', Authorization=given
            )
            self.assert_refused(response, 401, 'invalid_api_key')

    def test_models_are_those_of_the_document(self) -> None:
        listed = self.send_request('GET', '/v1/models').json()['data']
        self.assertEqual([small_fleet.MODEL], [one['id'] for one in listed])

    def test_an_unknown_model_is_named(self) -> None:
        response = self.send_request(
            'POST', '/v1/completions', {'model': 'x', 'prompt': 'hello'}
        )
        text = self.assert_refused(response, 404, 'not_found')
        self.assertIn(small_fleet.MODEL, text)

    def test_fields_of_the_wrong_kind_are_named(self) -> None:
        model = small_fleet.MODEL
        cases = {
            'prompt': {'model': model, 'prompt': ['a', 'b']},
            'max_tokens': {'model': model, 'prompt': 'a', 'max_tokens': 0},
            'stream': {'model': model, 'prompt': 'a', 'stream': 'yes'},
            'n': {'model': model, 'prompt': 'a', 'n': 2},
        }
        for field, body in cases.items():
            with self.subTest(field):
                response = self.send_request('POST', '/v1/completions', body)
                text = self.assert_refused(response, 400, 'bad_request')
                self.assertIn(field, text)

    def test_headers_out_of_range_are_named(self) -> None:
        body = {'model': small_fleet.MODEL, 'prompt': 'a'}
        cases = {
            'X-Deadline-S': 'soon',
            'X-Priority': '9',
            'Last-Event-ID': 'elsewhere',
        }
        for name, value in cases.items():
            with self.subTest(name):
                response = self.send_request(
                    'POST', '/v1/completions', body, **{name: value}
                )
                text = self.assert_refused(response, 400, 'bad_request')
                self.assertIn(name, text)

    def test_bodies_that_are_not_json_objects_get_400(self) -> None:
        for body in ('', '{"model": ', '[]', '[' * 100_000, '\x00'):
            response = self.send_request('POST', '/v1/completions', body)
            self.assert_refused(response, 400, 'bad_request')

    def test_a_body_that_is_too_large_gets_413(self) -> None:
        response = self.send_request(
            'POST', '/v1/completions', 'x' * 9_000_000
        )
        self.assert_refused(response, 413, 'body_too_large')

    def test_headers_that_are_too_large_get_4xx(self) -> None:
        response = self.send_request(
            'GET', '/v1/models', **{'X-Long': 'x' * 40_000}
        )
        self.assertIn(response.status, (413, 431))

    def test_a_truncated_body_gets_400(self) -> None:
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {documents.KEY}\r\n'
            'Content-Length: 100\r\n\r\n{"model":'
        )
        answer = self.raw_exchange(head.encode(), half_close=True)
        self.assertIn(b' 400 ', answer.split(b'\r\n')[0])
        self.assertIn(b'"code":"bad_request"', answer)

    def test_text_that_is_not_http_gets_400(self) -> None:
        answer = self.raw_exchange(b'hello\r\n\r\n', half_close=False)
        self.assertIn(b' 400 ', answer.split(b'\r\n')[0])

    def raw_exchange(self, data: bytes, half_close: bool) -> bytes:
        host, _, port = self.fleet.router.address.rpartition(':')
        with socket.create_connection((host, int(port)), 20) as raw:
            raw.sendall(data)
            if half_close:
                raw.shutdown(socket.SHUT_WR)
            parts = []
            while part := raw.recv(65536):
                parts.append(part)
            return b''.join(parts)

    def test_an_order_without_a_key_is_refused(self) -> None:
        response = self.send_request(
            'POST', '/v1/services/order-desk/jobs', {}
        )
        self.assert_refused(response, 400, 'idempotency_key_missing')

    def test_a_call_that_only_reads_reaches_the_service(self) -> None:
        response = self.send_request('GET', '/v1/services/order-desk/ledger')
        self.assertEqual(200, response.status)
        self.assertEqual('done', response.headers['Guavachute-Outcome'])
        self.assertEqual({'runs': []}, response.json())

    def test_an_unknown_service_and_path_get_404(self) -> None:
        for path in ('/v1/services/none/x', '/v1/nothing'):
            self.assert_refused(
                self.send_request('GET', path), 404, 'not_found'
            )

    def test_addresses_name_the_router(self) -> None:
        found = self.send_request('GET', '/v1/addresses').json()
        self.assertEqual(
            [self.fleet.router.address],
            [one['address'] for one in found['addresses']],
        )
        self.assertEqual(0.5, found['ttl_s'])

    def test_a_connection_serves_one_request_after_another(self) -> None:
        host, _, port = self.fleet.router.address.rpartition(':')
        pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
        body = json.dumps(
            {'model': small_fleet.MODEL, 'prompt': 'a', 'max_tokens': 2}
        )
        for _ in range(3):
            response = pool.request(
                'POST',
                '/v1/completions',
                body=body,
                headers=small_fleet.headers(),
            )
            self.assertEqual(200, response.status)
        self.assertEqual(1, pool.num_connections)


class OpenAiClientTest(unittest.TestCase):
    """OpenAI's own client works with a router unchanged."""

    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        fleet = stack.enter_context(small_fleet.running())
        self.client = stack.enter_context(
            openai.OpenAI(
                api_key=documents.KEY,
                base_url=fleet.url('/v1'),
                max_retries=0,
            )
        )

    def test_whole_and_streamed_answers_are_the_same(self) -> None:
        complete = self.client.completions.create(
            model=small_fleet.MODEL, prompt='a plan', max_tokens=8
        )
        events = self.client.completions.create(
            model=small_fleet.MODEL, prompt='a plan', max_tokens=8, stream=True
        )
        streamed = ''.join(event.choices[0].text or '' for event in events)
        self.assertEqual(complete.choices[0].text, streamed)
        self.assertEqual('length', complete.choices[0].finish_reason)
        assert complete.usage is not None
        self.assertEqual(8, complete.usage.completion_tokens)

    def test_chat_whole_and_streamed(self) -> None:
        messages: typing.Any = [{'role': 'user', 'content': 'a plan'}]
        complete = self.client.chat.completions.create(
            model=small_fleet.MODEL, messages=messages, max_tokens=8
        )
        events = self.client.chat.completions.create(
            model=small_fleet.MODEL,
            messages=messages,
            max_tokens=8,
            stream=True,
        )
        streamed = ''.join(
            event.choices[0].delta.content or '' for event in events
        )
        self.assertEqual(complete.choices[0].message.content, streamed)

    def test_errors_raise_the_classes_of_the_client(self) -> None:
        with self.assertRaises(openai.NotFoundError):
            self.client.completions.create(model='x', prompt='a')
        with self.assertRaises(openai.AuthenticationError):
            self.client.with_options(api_key='wrong').models.list()
