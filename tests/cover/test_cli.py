"""Each mistake on the command line gives one line and an exit status."""

import json
import pathlib
import subprocess
import tempfile
import typing
import unittest

from tests.support import documents
from tests.support import programs


class CommandLineTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, value: typing.Any) -> str:
        path = self.folder / 'given.json'
        path.write_text(json.dumps(value))
        return str(path)

    def assert_one_line(
        self, result: subprocess.CompletedProcess[str], *parts: str
    ) -> None:
        self.assertNotEqual(0, result.returncode)
        lines = result.stderr.strip().splitlines()
        self.assertEqual(1, len(lines), result.stderr)
        for part in parts:
            self.assertIn(part, lines[0])

    def test_a_valid_document_gives_its_digest(self) -> None:
        path = self.write(documents.valid())
        result = programs.run('operator', 'validate', path)
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn('digest', result.stdout)

    def test_a_bad_document_names_path_value_and_expectation(self) -> None:
        raw = documents.valid()
        raw['workspaces']['uniforms']['share'] = 'much'
        result = programs.run('operator', 'validate', self.write(raw))
        self.assert_one_line(
            result, '$.workspaces.uniforms.share', '"much"', 'number'
        )

    def test_an_unknown_command_is_named(self) -> None:
        result = programs.run('operator', 'destroy')
        self.assert_one_line(result, 'destroy')

    def test_a_missing_file_is_named(self) -> None:
        result = programs.run('operator', 'validate', 'nowhere.json')
        self.assert_one_line(result, 'nowhere.json', 'No such file')

    def test_bad_settings_name_path_value_and_expectation(self) -> None:
        for module in ('router', 'node'):
            result = programs.run(module, self.write({'port': 'http'}))
            self.assert_one_line(result, '"http"', '$.port')

    def test_an_exporter_without_a_place_is_refused(self) -> None:
        wanted = {
            'node': 'entry-1',
            'failure_domain': 'perth-a',
            'region': 'perth',
            'node_address': '127.0.0.1:1',
            'observe': {'traces': {'exporter': 'json-lines'}},
        }
        result = programs.run('router', self.write(wanted))
        self.assert_one_line(result, '$.observe.traces', 'path', 'json-lines')

    def test_settings_that_are_not_json_are_refused(self) -> None:
        path = self.folder / 'settings.json'
        path.write_text('port: 80')
        result = programs.run('router', str(path))
        self.assert_one_line(result, 'settings.json', 'JSON')
