"""Tests of the stand-ins as processes: their announcement and their end."""

import json
import signal
import subprocess
import sys
import unittest

from tests.support import http_calls

PROGRAM = [sys.executable, '-m', 'guavachute.cli.standin']
LIMIT_S = 60


def start(*arguments: str) -> subprocess.Popen[str]:
    """Start a stand-in without waiting for its announcement."""
    return subprocess.Popen(
        [*PROGRAM, *arguments], stdout=subprocess.PIPE, text=True
    )


class StandinProcessTest(unittest.TestCase):
    def started(self, *arguments: str) -> tuple[subprocess.Popen, str]:
        process = start(*arguments)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        return process, json.loads(process.stdout.readline())['http']

    def test_every_kind_serves_and_ends_by_sigterm(self) -> None:
        kinds = ('engine', 'log', 'vm-list', 'orders', 'cloud', 'weights')
        processes = [self.started(kind) for kind in kinds]
        for process, address in processes:
            answer = http_calls.call(address, 'GET', '/healthz')
            self.assertEqual(200, answer.status)
            process.send_signal(signal.SIGTERM)
        for process, _ in processes:
            self.assertEqual(0, process.wait(LIMIT_S))

    def test_a_crash_kills_the_process(self) -> None:
        process, address = self.started('engine')
        fault = {'kind': 'crash', 'match': 'boom'}
        http_calls.call(address, 'POST', '/faults', {'faults': [fault]})
        body = {'model': 'demo', 'prompt': 'boom'}
        answer = http_calls.call(address, 'POST', '/v1/completions', body)
        self.assertEqual(http_calls.NO_ANSWER, answer)
        self.assertEqual(137, process.wait(LIMIT_S))
