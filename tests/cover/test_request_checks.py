"""The prompt text that the front derives from a checked request.

Guards against a router that hashes other prefix blocks than the engine,
so that prefix affinity would never match.
"""

import unittest

from guavachute.decide.requests import prefix
from guavachute.services import request_checks
from guavachute.standin import engine_job


class PromptTextTest(unittest.TestCase):
    def test_router_and_engine_hash_the_same_blocks_of_a_chat(self) -> None:
        messages = [
            {'role': 'system', 'content': 'Answer the digitiser. ' * 9},
            {
                'role': 'user',
                'content': [{'type': 'text', 'text': 'A crest? ' * 20}],
            },
        ]
        request = request_checks.check_request(
            {'model': 'needle-llm', 'messages': messages}, chat=True
        )
        assert isinstance(request, request_checks.ModelRequest)
        engine = engine_job.CompletionBody(
            model='needle-llm',
            messages=[
                engine_job.ChatMessage(each['role'], each['content'])
                for each in messages
            ],
        )
        router_blocks = prefix.block_chain(
            'needle-llm', request_checks.prompt_text(request)
        )
        engine_blocks = prefix.block_chain('needle-llm', engine.full_prompt())
        self.assertGreater(len(router_blocks), 4)
        self.assertEqual(engine_blocks, router_blocks)
