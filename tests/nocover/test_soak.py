"""The soak: its checks, a fault that it found, and one short seed."""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from guavachute.platform import settings
from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import settings as standin_settings
from soak import clients
from soak import guarantees
from soak import programs
from soak import seed_run
from tests.support import platform_site
from tests.support import ports

STAMP = standin_engine.STAMP.decode()
STREAM, RESUMABLE, ORDER, LOOKUP = clients.ROUTES


def attempt(route: guarantees.Route, **changes: object) -> guarantees.Attempt:
    fields: dict[str, object] = {
        'attempt_id': 'a1',
        'route': route,
        'target': route.path + '1',
        'body': b'question',
        'workspace': 'botany',
        'incarnation': 'edge-0/1',
        'sent_s': 1.0,
        'version': 1,
        'status': 200,
        'headers': {
            'attempt-id': 'a1',
            'server-stamp': STAMP + 'e1',
        },
        'answer': b'answer of e1',
        'is_complete': True,
        'ended_s': 2.0,
    }
    return guarantees.Attempt(
        **{**fields, **changes}  # type: ignore[arg-type]
    )


def run_of(sent: guarantees.Attempt, **headers: str) -> standin_engine.Run:
    return standin_engine.Run(
        sent.attempt_id,
        sent.target,
        {'tenant': sent.workspace, **headers},
        sent.body,
    )


def events(*sources: str) -> bytes:
    return b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (number, source.encode(), number)
        for number, source in enumerate(sources, start=1)
    )


class PromisesTest(unittest.TestCase):
    """Tests each check with an attempt that passes and one that fails."""

    def violations(
        self, sent: guarantees.Attempt, *runs: standin_engine.Run
    ) -> list[str]:
        return guarantees.violations([sent], {sent.attempt_id: runs})

    def assert_violated(
        self, reason: str, sent: guarantees.Attempt, *runs: standin_engine.Run
    ) -> None:
        found = self.violations(sent, *runs)
        self.assertTrue(any(reason in line for line in found), found)

    def test_a_sound_answer_breaks_nothing(self) -> None:
        sent = attempt(ORDER)
        self.assertEqual([], self.violations(sent, run_of(sent)))
        complete = attempt(STREAM, answer=events(*['e1'] * 6))
        self.assertEqual([], self.violations(complete, run_of(complete)))
        resumed = attempt(
            RESUMABLE, answer=events(*'e1 e1 e2 e2 e2 e2'.split())
        )
        self.assertEqual(
            [], self.violations(resumed, run_of(resumed), run_of(resumed))
        )

    def test_an_order_that_ran_twice(self) -> None:
        sent = attempt(ORDER)
        self.assert_violated('ran 2 times', sent, run_of(sent), run_of(sent))

    def test_a_refusal_of_what_ran(self) -> None:
        sent = attempt(ORDER, status=503, headers={}, answer=b'')
        self.assert_violated('answered as not run', sent, run_of(sent))
        self.assertEqual([], self.violations(sent))

    def test_answers_that_no_endpoint_made(self) -> None:
        for changes in (
            {'headers': {'attempt-id': 'a1'}},
            {'headers': {'server-stamp': STAMP + 'e1'}},
            {'answer': b'answer of e2'},
            {'is_malformed': True},
        ):
            sent = attempt(LOOKUP, **changes)
            self.assertTrue(self.violations(sent, run_of(sent)), changes)

    def test_streams_of_two_builds(self) -> None:
        first = attempt(RESUMABLE, answer=events('e1', 'e1'))
        again = attempt(
            RESUMABLE,
            attempt_id='a2',
            begun_as='a1',
            events_before=2,
            answer=events(*'e2 e2 e2 e2 e2 e2'.split()).split(b'\n\n', 2)[2],
        )
        for builds, expected in ((('v1', 'v1'), 0), (('v1', 'v2'), 1)):
            runs = {
                sent.attempt_id: [
                    dataclasses.replace(
                        run_of(sent), engine=(name, 1), build=build
                    )
                ]
                for sent, name, build in zip(
                    (first, again), ('e1', 'e2'), builds, strict=True
                )
            }
            found = guarantees.violations([first, again], runs)
            mixed = [line for line in found if 'of the builds' in line]
            self.assertEqual(expected, len(mixed), found)

    def test_more_requests_than_an_endpoint_named(self) -> None:
        even = [number / 2 for number in range(40)]
        self.assertEqual([], guarantees.limit_violations('e', 2.0, even))
        self.assertEqual(1, len(guarantees.limit_violations('e', 0.3, even)))

    def test_streams_with_holes_doubles_and_strangers(self) -> None:
        pieces = events(*['e1'] * 6).split(b'\n\n')
        for wrong in (
            [*pieces[:2], *pieces[3:]],
            [*pieces[:2], pieces[1], *pieces[2:]],
            pieces[:4] + [b''],
            events(*'e1 e1 e2 e2 e2 e2'.split()).split(b'\n\n'),
        ):
            sent = attempt(STREAM, answer=b'\n\n'.join(wrong))
            self.assertTrue(self.violations(sent, run_of(sent)), wrong)

    def test_a_run_that_was_moved_counts_once(self) -> None:
        sent = attempt(STREAM, answer=events(*'e1 e1 e2 e2 e2 e2'.split()))
        moved = run_of(sent, **{'kv-from': '10.0.0.1:80/h'})
        moved.engine = ('e2', 1)
        self.assertEqual([], self.violations(sent, run_of(sent), moved))
        self.assert_violated('ran 2 times', sent, run_of(sent), run_of(sent))

    def test_a_request_to_an_endpoint_that_told_its_end(self) -> None:
        first = attempt(LOOKUP)
        told = run_of(first)
        told.engine, told.has_told_end = ('e1', 3), True
        for changes, is_violated in (
            ({'sent_s': 2.5}, True),
            ({'sent_s': 1.5}, False),
            ({'sent_s': 2.5, 'incarnation': 'edge-1/1'}, False),
        ):
            later = attempt(
                LOOKUP, attempt_id='a2', ended_s=3.0, **changes,
                headers={'attempt-id': 'a2', 'server-stamp': STAMP + 'e1'},
            )  # fmt: skip
            run = run_of(later)
            run.engine = ('e1', 3)
            found = guarantees.violations(
                [first, later], {'a1': [told], 'a2': [run]}
            )
            self.assertEqual(is_violated, bool(found), found)

    def test_requests_that_were_changed_or_invented(self) -> None:
        sent = attempt(ORDER)
        self.assert_violated(
            'API key', sent, run_of(sent, authorization='Token secret')
        )
        self.assert_violated(
            'run for workspace zoology', sent, run_of(sent, tenant='zoology')
        )
        stranger = attempt(ORDER, attempt_id='a2')
        found = guarantees.violations([sent], {'a2': [run_of(stranger)]})
        self.assertIn('unexpected run: no client sent a2, but it ran', found)

    def test_a_configuration_that_goes_back(self) -> None:
        def probe(
            version: int, status: int, sent_s: float
        ) -> guarantees.Attempt:
            return attempt(
                clients.PROBE,
                target=f'/v{version}/x',
                status=status,
                headers={},
                answer=b'',
                sent_s=sent_s,
                ended_s=sent_s + 0.1,
            )

        forward = [probe(2, 404, 1.0), probe(2, 503, 2.0), probe(3, 404, 3.0)]
        self.assertEqual([], guarantees.violations(forward, {}))
        back = [*forward, probe(1, 404, 4.0)]
        self.assertIn('went back', guarantees.violations(back, {})[0])

    def test_unframed_answers_that_ended_too_early(self) -> None:
        def sent_and_run(
            body: bytes, run_is_framed: bool, **changes: object
        ) -> tuple[guarantees.Attempt, standin_engine.Run]:
            sent = attempt(STREAM, answer=body, is_framed=False, **changes)
            run = run_of(sent)
            run.is_framed = run_is_framed
            return sent, run

        whole, short = events(*['e1'] * 6), events(*['e1'] * 5)
        for body in (whole, short):
            self.assertEqual(
                [], self.violations(*sent_and_run(body, run_is_framed=False))
            )
        self.assert_violated(
            'in the middle of an event',
            *sent_and_run(short + b'id: 6', run_is_framed=False),
        )
        self.assert_violated(
            'lost its framing', *sent_and_run(whole, run_is_framed=True)
        )
        framed = attempt(STREAM, answer=short)
        self.assert_violated('5 events', framed, run_of(framed))

    def test_planned_work_that_cuts_an_answer(self) -> None:
        sent = attempt(ORDER, status=0, headers={}, is_complete=False)
        sent.during_planned_work = True
        self.assert_violated('aborted by planned work', sent, run_of(sent))
        self.assertEqual([], self.violations(sent))

    def test_duties_with_two_holders_or_two_counts(self) -> None:
        def usage(
            holder: str, fence: int, count: int
        ) -> standin_cloud.CloudCall:
            body = {'windowId': 7, 'counts': {'botany': count}}
            return standin_cloud.CloudCall('/usage', holder, fence, body)

        sound = [usage('a', 1, 3), usage('a', 1, 3), usage('b', 4, 3)]
        self.assertEqual([], guarantees.duty_violations(sound))
        for wrong in (usage('b', 1, 3), usage('b', 5, 4)):
            self.assertTrue(guarantees.duty_violations([*sound, wrong]))


class ProgramTest(unittest.TestCase):
    def test_changed_settings_do_not_end_a_process_that_starts(self) -> None:
        """SIGHUP kills a process that has not yet ignored or handled it.

        The program therefore ignores it in its first lines. Without that,
        a reload right after the start ends the process.
        """
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        ip = '127.9.%d.%d' % divmod(os.getpid() % 62_500, 250)
        wanted = platform_site.node_settings(
            'edge-1',
            ip,
            site.store.address,
            None,
            self.enterContext(
                ports.reserved(
                    ip,
                    also=(
                        settings.METRICS_PORT_OFFSET,
                        settings.RELAY_PORT_OFFSET,
                    ),
                )
            ),
        )
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'settings.yaml'
            file.write_bytes(standin_settings.encode(wanted))
            process = subprocess.Popen(
                [sys.executable, *programs.ENTRY_PROGRAM],
                env={settings.PATH_VARIABLE: str(file)},
                stdout=subprocess.PIPE,
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            assert process.stdout is not None
            self.addCleanup(process.stdout.close)
            status = pathlib.Path(f'/proc/{process.pid}/status')
            end_s = time.monotonic() + 20
            while not _ignores(status, signal.SIGHUP):
                self.assertLess(
                    time.monotonic(), end_s, 'SIGHUP is still not ignored'
                )
            process.send_signal(signal.SIGHUP)
            self.assertIn(b'listening', process.stdout.readline())


def _ignores(status: pathlib.Path, number: signal.Signals) -> bool:
    for line in status.read_text().splitlines():
        if line.startswith('SigIgn:'):
            return bool(int(line.split()[1], 16) >> (number - 1) & 1)
    return False


class SeedTest(unittest.TestCase):
    def test_a_seed_keeps_all_promises(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = seed_run.run_seed(1, 3, pathlib.Path(folder))
        self.assertEqual([], result.failures)
        self.assertGreater(result.served, 100)
