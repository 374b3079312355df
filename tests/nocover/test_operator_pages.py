"""Every command on the operators' pages runs as it is written there."""

import contextlib
import json
import pathlib
import re
import shlex
import subprocess
import tempfile
import unittest

from tests.support import documents
from tests.support import programs

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGES = [ROOT / 'README.md', *sorted((ROOT / 'docs/operators').glob('*.md'))]
COMMAND = re.compile(r'^ *(guavachute [a-z].*)$', re.MULTILINE)
PLACEHOLDERS = {'FILE': 'document.json'}


def commands() -> list[str]:
    """Return the distinct commands on the pages, in order."""
    found = [
        line for page in PAGES for line in COMMAND.findall(page.read_text())
    ]
    return list(dict.fromkeys(found))


class OperatorPagesTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        site = programs.Site(self.folder, stack)
        cloud = site.start('standin', 'cloud')
        site.add_node('entry-1')
        site.add_node('entry-2', environment='production')
        document = json.dumps(documents.valid())
        for name in ('document.json', 'new.json'):
            (self.folder / name).write_text(document)
        settings = {
            'log_address': site.log.announced['http'],
            'cloud_address': cloud.announced['http'],
            'nodes': {
                'trial': [site.nodes['entry-1'].announced['tables']],
                'production': [site.nodes['entry-2'].announced['tables']],
            },
        }
        (self.folder / 'guavachute.json').write_text(json.dumps(settings))

    def run_as_shown(self, command: str) -> subprocess.CompletedProcess[str]:
        words = shlex.split(command)[1:]
        return subprocess.run(
            programs.command(
                'operator', *(PLACEHOLDERS.get(word, word) for word in words)
            ),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=programs.EXIT_LIMIT_S,
            check=False,
        )

    def test_every_command_runs(self) -> None:
        shown = commands()
        kinds = {shlex.split(command)[1] for command in shown}
        self.assertLessEqual(
            {'validate', 'publish', 'promote', 'status', 'plan', 'explain'},
            kinds,
        )
        # The publishing commands run first; the others show their result.
        order = {'validate': 0, 'publish': 1, 'promote': 2}
        shown.sort(key=lambda line: order.get(shlex.split(line)[1], 3))
        for command in shown:
            with self.subTest(command):
                result = self.run_as_shown(command)
                self.assertEqual(0, result.returncode, result.stderr)
                self.assertTrue(result.stdout.strip())

    def test_status_shows_what_is_in_force(self) -> None:
        published = self.run_as_shown(
            'guavachute publish document.json --environment trial --wait'
        )
        self.assertIn('in force on 1 of 1 nodes', published.stdout)
        shown = self.run_as_shown(
            'guavachute status --environment trial --json'
        )
        status = json.loads(shown.stdout)
        digest = published.stdout.split('digest ')[1].split()[0]
        self.assertTrue(status['digest'].startswith(digest))
        self.assertEqual(['entry-1'], [n['node'] for n in status['nodes']])
        self.assertEqual(
            status['offset'], status['nodes'][0]['offset'], status
        )

    def test_the_second_of_two_racing_operators_is_told(self) -> None:
        first = self.run_as_shown(
            'guavachute publish document.json --environment trial'
        )
        self.assertEqual(0, first.returncode, first.stderr)
        changed = documents.valid()
        changed['workspaces']['uniforms']['share'] = 9
        (self.folder / 'new.json').write_text(json.dumps(changed))
        second = self.run_as_shown(
            'guavachute publish new.json --environment trial --supersedes -1'
        )
        self.assertEqual(1, second.returncode)
        self.assertIn('was first', second.stderr)
