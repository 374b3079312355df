"""Tests the adapter to the platform's message formats."""

import pathlib
import tempfile
import textwrap
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.domain import endpoints
from guavachute.entry import program
from guavachute import ids
from guavachute import outcome
from guavachute.platform import cloud
from guavachute.platform import configuration as platform_configuration
from guavachute.platform import directory
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import moves
from guavachute.platform import requests
from guavachute.platform import settings
from guavachute.platform import store
from tests.support import platform_site

SETTINGS = textwrap.dedent("""
    nodeName: "edge-1"
    role: "entry"
    ip: "10.1.0.14"
    zone: "here-a"
    region: "here"
    zones:
      here-a: "here"
      far-a: "far"
    listen:
      frontend: "10.1.0.14:8221"
      ready: "10.1.0.14:8224"
      directory: "10.1.0.14:8220"
    internalPorts:
      - 7600
      - 7615
    seeds:
      - "10.1.0.15:8229"
    limits:
      maxFds: 4200
    somethingNew: {a: 1}
    heartbeatMs: 1200
    bounds:
      drainMs: 3000
      graceS: 8
      ttl_max_s: 5
      retryAllowance: 54
    platform:
      address: "10.200.1.7:8225"
      writesPerS: 400
    cloudApi:
      address: "10.200.0.35:8225"
      duties: ["usage"]
      dutyPerS: 50.0
""").strip()


class SettingsTest(unittest.TestCase):
    def test_fields_are_decoded_and_unknown_ones_ignored(self) -> None:
        site = settings.decode(SETTINGS.encode(), 'settings')
        assert not isinstance(site, outcome.Failure), site
        self.assertEqual('edge-1', site.node)
        self.assertEqual('here', site.region_of[ids.FailureDomain('here-a')])
        self.assertEqual(8.0, site.bounds.stop_grace_s)
        self.assertEqual(('10.1.0.15:7600',), site.seeds)
        assert site.cloud is not None
        self.assertTrue(site.cloud.expects_usage)
        self.assertFalse(site.cloud.expects_orders)

    def test_a_wrong_field_is_named(self) -> None:
        for right, wrong, named in (
            ('"10.200.1.7:8225"', '"nowhere"', 'platform.address'),
            ('drainMs: 3000', 'drainMs: -1', 'bounds.drainMs'),
            ('nodeName: "edge-1"', 'other: 1', 'nodeName'),
            ('- 7615', '', 'internalPorts'),
        ):
            text = SETTINGS.replace(right, wrong, 1)
            failure = settings.decode(text.encode(), 'settings')
            with self.subTest(named=named):
                assert isinstance(failure, outcome.Failure)
                self.assertIn(named, failure.detail)
                self.assertNotIn('\n', failure.detail)

    def test_the_program_ends_with_a_code_and_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'settings.yaml'
            file.write_text('nodeName: [')
            self.assertEqual(program.EXIT_USAGE, program.run(file))
            missing = pathlib.Path(folder) / 'missing.yaml'
            self.assertEqual(program.EXIT_USAGE, program.run(missing))


class ConfigurationTest(unittest.TestCase):
    def decode(self, **changes: object) -> configuration.Configuration:
        text = platform_site.configuration(3, **changes)
        decoded = platform_configuration.decode(text)
        assert not isinstance(decoded, outcome.Failure), decoded
        return decoded

    def test_the_longest_prefix_wins(self) -> None:
        def route(name: str, prefix: str) -> dict[str, object]:
            return {
                'name': name, 'host': 'H.example', 'pathPrefix': prefix,
                'type': 'idempotent', 'service': 's',
            }  # fmt: skip

        found = self.decode(
            routes=[route('root', '/'), route('a', '/a/'),
                    route('ab', '/a/b/')],
        )  # fmt: skip
        for path, name in (
            ('/a/b/c', 'ab'), ('/a/b/', 'ab'), ('/a/b', 'a'),
            ('/a', 'root'), ('/', 'root'), ('/x/a/b/', 'root'),
        ):  # fmt: skip
            chosen = found.route('h.example', path)
            assert chosen is not None
            self.assertEqual(name, chosen.name, path)
        self.assertIsNone(found.route('other.example', '/'))

    def test_keys_lead_to_workspaces(self) -> None:
        found = self.decode()
        key = configuration.ApiKey(platform_site.KEY)
        self.assertEqual('botany', found.workspace_by_key[key].name)
        self.assertTrue(found.requires_key)

    def test_a_split_names_all_services(self) -> None:
        found = self.decode(
            routes=[{
                'name': 'r', 'host': 'h', 'pathPrefix': '/', 'type':
                'streaming', 'split': [
                    {'service': 's1', 'weight': 90},
                    {'service': 's2', 'weight': 10},
                ],
            }],
        )  # fmt: skip
        route = found.route('h', '/x')
        assert route is not None
        self.assertEqual(
            ['s1', 's2'], [target.service for target in route.targets]
        )
        self.assertFalse(route.can_run_again)

    def test_what_can_not_be_read_is_a_failure(self) -> None:
        for text in (b'', b'{}', b'[1]', b'\xff'):
            self.assertIsInstance(
                platform_configuration.decode(text), outcome.Failure
            )


class EndpointTest(unittest.TestCase):
    ENTRY = (
        b'{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",'
        b'"slots":48,"state":"draining","coldRemainingMs":0,"sequence":4,'
        b'"born":7,"spot":true,"leaves_ms":2100}'
    )

    def test_an_entry_is_decoded(self) -> None:
        found = platform_endpoints.decode('i-1', self.ENTRY)
        assert not isinstance(found, outcome.Failure), found
        self.assertIs(endpoints.EndpointState.DRAINING, found.state)
        self.assertEqual((True, 2.1), (
            found.is_reclaimable, found.leaves_in_s,
        ))  # fmt: skip

    @hypothesis.given(value=strategies.binary(max_size=60))
    def test_other_bytes_name_no_endpoint(self, value: bytes) -> None:
        self.assertIsInstance(
            platform_endpoints.decode('i-1', value), outcome.Failure
        )

    def test_a_report_is_decoded(self) -> None:
        report = platform_endpoints.decode_report(
            b'{"phase":"both","queued":1,"active":12,"kvUsed":41000,'
            b'"kvTotal":90000}'
        )
        self.assertEqual(endpoints.EngineReport(12, 1, 41_000, 90_000), report)


HEAD = [
    (b'Host', b'Calls.example:80'),
    (b'Attempt-Id', b'a1'),
    (b'Token-Counts', b'1460,80'),
    (b'Prefix-Hash', b'5c1e:800,91bd:410'),
    (b'Deadline-Ms', b'1500'),
    (b'Authorization', b'Token k1'),
]


class RequestTest(unittest.TestCase):
    def read(self, *headers: call.Header) -> call.Call | outcome.Failure:
        return requests.read_call('POST', b'/a/b?c', [*HEAD, *headers])

    def test_a_head_is_decoded(self) -> None:
        found = self.read()
        assert not isinstance(found, outcome.Failure)
        self.assertEqual('calls.example', found.host)
        self.assertEqual('/a/b', found.path)
        self.assertEqual(1.5, found.deadline_s)
        self.assertEqual(call.TokenCounts(1_460, 80), found.tokens)
        self.assertEqual(['5c1e', '91bd'], [part.id for part in found.parts])

    def test_figures_that_can_not_be_read_are_left_out(self) -> None:
        head = [
            (b'Host', b'h'), (b'Attempt-Id', b'a'),
            (b'Token-Counts', b'many,-1'), (b'Prefix-Hash', b'x,y:z'),
            (b'Deadline-Ms', b'nan'),
        ]  # fmt: skip
        found = requests.read_call('GET', b'/', head)
        assert not isinstance(found, outcome.Failure)
        self.assertEqual(
            (None, (), None), (found.tokens, found.parts, found.deadline_s)
        )

    def test_what_is_ambiguous_is_refused(self) -> None:
        for header in (
            (b'host', b'other'),
            (b'attempt-id', b'a2'),
            (b'TOKEN-COUNTS', b'1,1'),
        ):
            self.assertIsInstance(self.read(header), outcome.Failure)

    def test_the_endpoint_gets_what_is_left_of_the_time(self) -> None:
        found = self.read()
        assert not isinstance(found, outcome.Failure)
        found.body = b'body'
        sent = requests.encode_for_endpoint(
            found,
            call.Dispatch(
                endpoint=ids.EndpointId('e1'),
                address=ids.Address('10.0.0.1:80'),
                workspace=ids.WorkspaceName('botany'),
                deadline_s=0.75,
                urgency=1,
                resume_after=b'7',
                origin='10.0.0.2:80/h1',
            ),
        )
        head, _, body = sent.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.assertEqual(b'POST /a/b?c HTTP/1.1', lines[0])
        self.assertEqual(b'body', body)
        for line in (
            b'Deadline-Ms: 750', b'Expect-Instance: e1', b'Tenant: botany',
            b'Request-Urgency: 1', b'Last-Event-Id: 7',
            b'Kv-From: 10.0.0.2:80/h1', b'Content-Length: 4',
            b'Host: Calls.example:80', b'Attempt-Id: a1',
        ):  # fmt: skip
            self.assertEqual(1, lines.count(line), line)
        self.assertNotIn(b'k1', sent)

    def test_an_answers_head_is_decoded(self) -> None:
        found = requests.read_answer(
            503,
            [
                (b'Attempt-Id', b'a1'), (b'Not-Executed', b'1'),
                (b'Instance-Load', b'3,1,8'), (b'Keep-Alive', b'timeout=5'),
                (b'Content-Length', b'0'), (b'X', b'y'),
            ],
        )  # fmt: skip
        self.assertTrue(found.has_not_run)
        self.assertEqual(requests.EndpointLoad(3, 1, 8), found.load)
        self.assertEqual(5, found.idle_timeout_s)
        self.assertIn((b'X', b'y'), found.headers)
        self.assertNotIn((b'Content-Length', b'0'), found.headers)

    # Guards against loads that are not used because they have four figures.
    def test_the_load_of_an_endpoint_is_decoded_within_bounds(self) -> None:
        load = requests.EndpointLoad
        for text, expected in (
            (b'3,1,8', load(3, 1, 8)),
            (b' 3 , 1 , 8 ', load(3, 1, 8)),
            (b'3,1,8,100', load(3, 1, 8, 1.0)),
            (b'3,1,8,820', load(3, 1, 8, 8.2)),
            (b'3,1,8,250,7', load(3, 1, 8, 2.5)),
            (b'3,1,8,250,x', load(3, 1, 8, 2.5)),
            (b'0,0,0,1', load(0, 0, 0, 0.01)),
            (b'', None),
            (b'3', None),
            (b'3,1', None),
            (b'3,,8', None),
            (b'-3,1,8', None),
            (b'3,1,8,-100', None),
            (b'3,1,8,0', None),
            (b'3,1,8,', None),
            (b'3,1,8,nan', None),
            (b'3,1,8,inf', None),
            (b'3,1,8,1e3', None),
            (b'3,1,8,99999999999', None),
            (b'99999999999,1,8', None),
            (b'3,1,' + b'9' * 5_000, None),
        ):
            with self.subTest(text[:20]):
                found = requests.read_answer(200, [(b'Instance-Load', text)])
                self.assertEqual(expected, found.load)


class StoreTest(unittest.TestCase):
    @hypothesis.given(
        key=strategies.text(min_size=1, max_size=40),
        value=strategies.binary(min_size=1, max_size=200),
    )
    def test_keyed_records_come_back_as_written(
        self, key: str, value: bytes
    ) -> None:
        hypothesis.assume(len(key.encode('utf-8', 'replace')) < 256)
        record = store.KeyedRecord(key, value, ids.LogPosition(7))
        self.assertEqual(
            record,
            store.decode_keyed(store.encode_keyed(record), ids.LogPosition(7)),
        )

    @hypothesis.given(data=strategies.binary(max_size=80))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        for decode in (
            lambda: store.decode_read(data, ids.Offset(0)),
            lambda: store.decode_newest(data, ids.StoreEra(1)),
            lambda: store.decode_keyed(data, ids.LogPosition(0)),
        ):
            decode()

    def test_an_append_names_its_condition(self) -> None:
        request = store.append('t', [b'ab', b'c'], at=ids.Offset(5))
        self.assertIn(b'at=5', request.target)
        self.assertEqual(b'\x00\x00\x00\x02ab\x00\x00\x00\x01c', request.body)


class OtherCallsTest(unittest.TestCase):
    def test_calls_to_the_cloud(self) -> None:
        self.assertEqual(
            b'{"windowId":7,"counts":{"a":1,"b":2}}',
            cloud.encode_usage(
                7, {ids.WorkspaceName('b'): 2, ids.WorkspaceName('a'): 1}
            ),
        )
        service, domain = ids.ServiceName('s'), ids.FailureDomain('z')
        self.assertEqual(
            b'{"service":"s","zone":"z","desired":6}',
            cloud.encode_order(service, domain, 6, False),
        )
        self.assertIn(
            b'"spot":true', cloud.encode_order(service, domain, 6, True)
        )

    def test_addresses(self) -> None:
        many = [ids.Address(f'10.0.0.1:{port}') for port in range(100)]
        text = directory.encode(many, 2.0)
        self.assertEqual(directory.MAX_ADDRESSES, text.count(b'10.0.0.1'))
        self.assertIn(b'"ttlS":2.0', text)

    def test_moves(self) -> None:
        moved = moves.decode(b'{"handle":"h","created":3}')
        self.assertEqual(moves.CacheCopy('h', 3), moved)
        self.assertIsInstance(moves.decode(b'{}'), outcome.Failure)
