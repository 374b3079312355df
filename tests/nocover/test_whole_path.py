"""Tests of the complete request path with separate processes."""

import concurrent.futures
import contextlib
import pathlib
import tempfile
import typing
import unittest

import openai

from guavachute.standin import engine_text
from tests.support import documents
from tests.support import programs
from tests.support import waiting

NODES = {'entry-1': 'perth-a', 'entry-2': 'perth-b', 'entry-3': 'bunbury-a'}
TOKENS = 100
PROMPT = 'a plan'


class WholePathTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = programs.Site(pathlib.Path(folder), stack)
        for number in range(3):
            self.site.add_engine(f'engine-{number}')
        self.site.add_order_service()
        for name, domain in NODES.items():
            self.site.add_node(name, domain)
            self.site.add_router(name, domain)
        self.site.publish()
        self.site.wait_ready()

    def client(self, node: str) -> openai.OpenAI:
        client = openai.OpenAI(
            api_key=documents.KEY,
            base_url=self.site.url(node, '/v1'),
            max_retries=0,
        )
        self.addCleanup(client.close)
        return client

    def stream(self, node: str) -> typing.Iterator[str]:
        events = self.client(node).completions.create(
            model=programs.MODEL, prompt=PROMPT, max_tokens=TOKENS, stream=True
        )
        for event in events:
            yield event.choices[0].text or ''

    def expected_text(self) -> str:
        return engine_text.expected_text(programs.MODEL, PROMPT, TOKENS)

    def test_the_client_streams_through_each_router(self) -> None:
        for node in NODES:
            self.assertEqual(self.expected_text(), ''.join(self.stream(node)))

    def test_a_router_told_to_stop_finishes_its_stream(self) -> None:
        stream = self.stream('entry-1')
        text = next(stream)
        router = self.site.routers['entry-1']
        with concurrent.futures.ThreadPoolExecutor() as pool:
            status = pool.submit(router.terminate)
            others = self.site.router_addresses() - {router.announced['http']}
            waiting.until(
                lambda: self.site.addresses('entry-2') == others,
                'the stopping router to be removed from the addresses',
            )
            self.assertEqual(self.expected_text(), text + ''.join(stream))
            self.assertEqual(0, status.result())
