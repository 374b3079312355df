"""Each command on the operations page finds the cause that the page names."""

import contextlib
import io
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import msgspec

from guavachute.observe import journal
from guavachute.standin.platform import engine as standin_engine
from tests.support import looping
from tests.support import platform_site

PAGE = pathlib.Path(__file__).parent.parent.parent / 'docs/OPERATIONS.md'
Behaviour = standin_engine.Behaviour


def commands() -> list[str]:
    """The commands in the page's shell blocks."""
    blocks = re.findall(r'```sh\n(.*?)```', PAGE.read_text(), re.DOTALL)
    return [
        line
        for block in blocks
        for line in block.splitlines()
        if line and not line.startswith('#')
    ]


class OperationsPageTest(unittest.TestCase):
    """A log file of a node with three failed requests."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.log = self.folder / 'entry.log'
        with self.logging_to(self.log):
            self.site = platform_site.PlatformSite()
            self.addCleanup(self.site.close)
            self.site.configure(1)
            self.node = self.site.ready_node()
            self.make_failures()

    @contextlib.contextmanager
    def logging_to(self, path: pathlib.Path):
        with path.open('wb') as file:
            handler = journal.LineQueue(file.fileno(), 'edge-1')
            with handler.applicationbound():
                yield

    def make_failures(self) -> None:
        refused = self.site.fetch(
            self.node, '/lookup/a', method='GET', Attempt_Id='refused-1'
        )
        self.assertEqual(503, refused.status)
        model = self.site.add_engine('m1', 'drafts', events=4)
        model.behaviour = Behaviour.BREAK
        plain = self.site.add_engine('p1', 'desk')
        plain.behaviour = Behaviour.LOSE
        looping.run_until(
            self.site.loop, lambda: len(self.node.state.table.entries) == 2
        )
        cut = self.site.fetch(self.node, '/stream/a', Attempt_Id='cut-1')
        self.assertFalse(cut.is_complete)
        unknown = self.site.fetch(
            self.node, '/order/a', Attempt_Id='unknown-1'
        )
        self.assertEqual(502, unknown.status)

    def run_command(self, command: str) -> subprocess.CompletedProcess[str]:
        folder = pathlib.Path(sys.executable).parent
        return subprocess.run(
            ['bash', '-c', command],
            cwd=self.folder,
            env={**os.environ, 'PATH': f'{folder}:{os.environ["PATH"]}'},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_each_command_finds_what_the_page_says(self) -> None:
        expected = {
            'trace refused-1': 'no endpoint of desk can be used',
            'trace cut-1': 'attempt-failed',
            'trace unknown-1': 'answer_lost',
        }
        seen = set()
        for command in commands():
            done = self.run_command(command)
            with self.subTest(command=command):
                self.assertEqual(0, done.returncode, done.stderr)
                self.assertTrue(done.stdout)
            for part, finding in expected.items():
                if part in command:
                    seen.add(part)
                    self.assertIn(finding, done.stdout)
        self.assertEqual(set(expected), seen)

    def test_a_request_without_a_line_is_said_so(self) -> None:
        done = self.run_command('guavachute trace nobody entry.log')
        self.assertEqual(1, done.returncode)
        self.assertIn('no line about request nobody', done.stderr)

    def test_every_line_is_json_with_an_outcome(self) -> None:
        lines = self.log.read_text().splitlines()
        self.assertTrue(lines)
        for line in lines:
            fields = msgspec.json.decode(line)
            self.assertLessEqual({'time', 'node', 'event'}, fields.keys())

    def test_no_line_holds_a_key(self) -> None:
        self.assertNotIn(platform_site.KEY, self.log.read_text())


class LineQueueTest(unittest.TestCase):
    """The log is written to a pipe that is full or closed."""

    def test_a_full_pipe_never_blocks_and_drops_are_counted(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        handler = journal.LineQueue(writer, 'edge-1')
        with handler.applicationbound():
            for number in range(3 * journal.MAX_WAITING_LINES):
                journal.event('test', outcome='done', number=number)
            self.assertGreater(handler.dropped, 0)
            output = io.BytesIO()
            os.set_blocking(reader, False)
            while True:
                with contextlib.suppress(BlockingIOError):
                    output.write(os.read(reader, 65_536))
                    handler.flush()
                    continue
                break
        os.close(reader)
        os.close(writer)
        lines = output.getvalue().splitlines()
        self.assertTrue(any(b'"dropped"' in line for line in lines))
        for line in lines:
            msgspec.json.decode(line)

    def test_long_lines_take_no_more_memory(self) -> None:
        """Guards against ids of requests that are as long as a head."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        handler = journal.LineQueue(writer, 'edge-1')
        with handler.applicationbound():
            for _ in range(500):
                journal.event('test', request='x' * 16_000)
        self.assertGreater(handler.dropped, 200)
        os.close(reader)
        os.close(writer)

    def test_a_closed_pipe_is_survived(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        handler = journal.LineQueue(writer, 'edge-1')
        with handler.applicationbound():
            journal.event('test', outcome='done')
        self.assertGreater(handler.dropped, 0)
        os.close(writer)
