"""Tests that the load generator counts answers and detects bad ones."""

import unittest

from bench import load
from bench import load_stream
from guavachute.http import message
from guavachute.http import server
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import engine_text
from guavachute.standin import faults
from tests.support import hosting

FAST = engine_job.EngineSettings(first_token_s=0, token_gap_s=0.001)


class LoadGeneratorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = hosting.host(self, engine.Engine(settings=FAST))

    def run_load(self, requests: int, address: str = '') -> load.Figures:
        body = b'{"model":"demo","prompt":"x","max_tokens":5,"stream":true}'
        request = load_stream.Request(
            address=address or self.engine.address,
            body=body,
            expected=engine_text.expected_text('demo', 'x', 5),
            label='one',
        )
        generator = load.Generator(iter([request] * requests), 2)
        generator.run()
        return generator.figures['one']

    def test_complete_answers_are_counted_and_timed(self) -> None:
        figures = self.run_load(20)
        self.assertEqual({'complete': 20}, dict(figures.results))
        self.assertEqual(100, figures.tokens)
        self.assertEqual(20, figures.first_byte.get_total_count())
        self.assertGreater(figures.gap.get_total_count(), 0)

    def test_each_kind_of_bad_answer_is_told_apart(self) -> None:
        for kind, expected in (
            (faults.Kind.DOUBLE, 'wrong-text'),
            (faults.Kind.FOREIGN, 'wrong-text'),
            (faults.Kind.CLOSE, 'cut'),
            (faults.Kind.LOSE_ANSWER, 'cut'),
            (faults.Kind.REFUSE, 'refused'),
        ):
            self.engine.faults.add(faults.Fault(kind))
            results = self.run_load(1).results
            self.assertEqual({expected: 1}, dict(results), kind)

    def test_outcomes_are_read_from_the_header(self) -> None:
        def refuse(
            request: message.Request, exchange: server.Exchange
        ) -> message.Response:
            headers = {'Guavachute-Outcome': 'not-run'}
            return message.Response(503, b'{}', headers=headers)

        refusing = hosting.host(
            self, server.Server('refusing', '127.0.0.1', 0, refuse)
        )
        figures = self.run_load(3, refusing.address)
        self.assertEqual({'not-run': 3}, dict(figures.outcomes))
        self.assertEqual({'refused': 3}, dict(figures.results))

    def test_reports_keep_the_figures(self) -> None:
        plan = load.Plan(
            addresses=[self.engine.address],
            model='demo',
            streams=2,
            until_s=0.2,
            measure_from_s=0,
            spread_s=0,
            least_tokens=2,
            most_tokens=4,
        )
        report = load.run(plan)
        figures = report.figures()
        self.assertEqual({'complete'}, set(figures.results))
        count = figures.first_byte.get_total_count()
        self.assertEqual(figures.results['complete'], count)
