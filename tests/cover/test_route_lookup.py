"""What a caller writes into a path does not make its route hard to find."""

import itertools
import typing
import unittest

from guavachute.domain import configuration

HOST = 'calls.example'
PREFIXES = ('/', '/a/', '/a/b/', '/a/b/c/', '/long-name/')
PATH_BYTES = 16_000


def _route(prefix: str) -> configuration.Route:
    return configuration.Route(
        name=prefix,
        host=HOST,
        path_prefix=prefix,
        kind=configuration.RouteKind.IDEMPOTENT,
        targets=(),
        timeout_s=1.0,
        objective_s=1.0,
        event_gap_s=1.0,
        priority=1,
        max_attempts=1,
        allows_anonymous=True,
        is_model=False,
        is_resumable=False,
    )


class _Counted(dict[str, configuration.Route]):
    """Counts the characters of the keys that are looked up."""

    characters = 0

    def get(self, key: str, default: typing.Any = None) -> typing.Any:
        self.characters += len(key)
        return super().get(key, default)


def _configuration(
    prefixes: typing.Mapping[str, configuration.Route],
) -> configuration.Configuration:
    return configuration.Configuration(
        version=1,
        routes_by_host={HOST: prefixes},
        services={},
        workspaces={},
        workspace_by_key={},
        requires_key=False,
        limits=configuration.CallerLimits(),
    )


class RouteLookupTest(unittest.TestCase):
    def test_paths_of_many_slashes(self) -> None:
        """Guards against an event loop that stands still for seconds."""
        prefixes = _Counted({'/a/b/': _route('/a/b/'), '/x/': _route('/x/')})
        found = _configuration(prefixes)
        self.assertIsNone(found.route(HOST, '/' * PATH_BYTES))
        self.assertLessEqual(prefixes.characters, PATH_BYTES)

    def test_the_longest_prefix_wins(self) -> None:
        found = _configuration({each: _route(each) for each in PREFIXES})
        for parts in itertools.product(('a', 'b', 'c', 'long-name', ''),
                                       repeat=4):  # fmt: skip
            path = '/' + '/'.join(parts)
            expected = max(
                (each for each in PREFIXES if path.startswith(each)), key=len
            )
            route = found.route(HOST, path)
            assert route is not None
            self.assertEqual(expected, route.path_prefix, path)

    def test_a_prefix_without_its_slash_serves_nothing(self) -> None:
        found = _configuration({'/a': _route('/a')})
        self.assertIsNone(found.route(HOST, '/a'))
        self.assertIsNone(found.route('other.example', '/a/'))
