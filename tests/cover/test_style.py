"""Checks of project conventions that no linter covers."""

import ast
import importlib.util
import pathlib
import typing
import unittest

ROOT = pathlib.Path(__file__).parent.parent.parent
SOURCES = sorted((ROOT / 'src').rglob('*.py'))
ALL = SOURCES + sorted(
    path for name in ('tests', 'bench', 'spec')
    for path in (ROOT / name).rglob('*.py')
)  # fmt: skip
DEFINITIONS = (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def public_definitions(
    body: list[ast.stmt], inside: str = ''
) -> typing.Iterator[tuple[str, ast.stmt]]:
    for item in body:
        if isinstance(item, DEFINITIONS) and not item.name.startswith('_'):
            yield inside + item.name, item
            if isinstance(item, ast.ClassDef):
                yield from public_definitions(item.body, f'{item.name}.')


def is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


class StyleTest(unittest.TestCase):
    def test_modules_and_public_items_have_docstrings(self) -> None:
        undocumented = []
        for path in SOURCES:
            tree = ast.parse(path.read_text())
            if not ast.get_docstring(tree):
                undocumented.append(str(path.relative_to(ROOT)))
            for name, item in public_definitions(tree.body):
                if not ast.get_docstring(item):
                    undocumented.append(f'{path.relative_to(ROOT)}: {name}')
        self.assertEqual([], undocumented)

    def test_modules_are_imported_not_names(self) -> None:
        names = []
        for path in ALL:
            for item in ast.walk(ast.parse(path.read_text())):
                if isinstance(item, ast.ImportFrom):
                    for alias in item.names:
                        full = f'{item.module}.{alias.name}'
                        if not is_module(full):
                            names.append(f'{path.relative_to(ROOT)}: {full}')
        self.assertEqual([], names)

    def test_decisions_read_no_clock_and_open_no_socket(self) -> None:
        forbidden = {'time', 'socket', 'threading', 'selectors', 'urllib3'}
        found = []
        for path in sorted((ROOT / 'src/guavachute/decide').rglob('*.py')):
            for item in ast.walk(ast.parse(path.read_text())):
                if isinstance(item, ast.Import):
                    found += [
                        f'{path.name}: {alias.name}'
                        for alias in item.names
                        if alias.name in forbidden
                    ]
        self.assertEqual([], found)
