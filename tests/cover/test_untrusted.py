"""Values from outside that decode, or nearly do, and that nothing can use.

Patterns: deep nesting, numbers beyond every type, addresses that are none, and
names that don't fit into a header; in entries of endpoints, answers of the
store and of engines, peers' datagrams, and the headers of callers.
"""

import typing
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec

from guavachute.decide.nodes import entry_writes
from guavachute.domain import call as domain_call
from guavachute.domain import net_address
from guavachute.entry import part_suspects
from guavachute import ids
from guavachute import outcome
from guavachute.platform import configuration
from guavachute.platform import endpoints
from guavachute.platform import moves
from guavachute.platform import requests
from guavachute.platform import store
from guavachute.wire import codec
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site

DEEP = b'[' * 200_000
HUGE = 10**400
ENTRY: dict[str, typing.Any] = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'state': 'ready',
    'slots': 8,
    'sequence': 1,
    'born': 5,
    'version': 'v1',
}
ODD_VALUES = (
    ('address', '10.0.0.1:99999'),
    ('address', '10.0.0.1:0'),
    ('address', '999.0.0.1:80'),
    ('address', '10.0.0.1:80\r\nA: b'),
    ('address', '010.0.0.1:80'),
    ('slots', 10**30),
    ('slots', -1),
    ('slots', 0),
    ('sequence', HUGE),
    ('sequence', -1),
    ('born', HUGE),
    ('leaves_ms', -5),
    ('leaves_ms', 1e300),
    ('service', ''),
    ('service', 'x' * 10_000),
)


def entry(**changes: typing.Any) -> bytes:
    """An entry in JSON; *changes* are values, or bytes as they are."""
    items = []
    for name, value in {**ENTRY, **changes}.items():
        if isinstance(value, bytes):
            text = value
        elif isinstance(value, int) and not isinstance(value, bool):
            # msgspec doesn't encode numbers of any size.
            text = str(value).encode()
        else:
            text = msgspec.json.encode(value)
        items.append(msgspec.json.encode(name) + b':' + text)
    return b'{' + b','.join(items) + b'}'


class DecodersTest(unittest.TestCase):
    def test_deep_nesting_is_a_failure_everywhere(self) -> None:
        msgpack_deep = b'\x91' * 200_000
        decoders: tuple[typing.Callable[[bytes], object], ...] = (
            lambda data: endpoints.decode('e', data),
            lambda data: endpoints.decode('e', b'{"odd":' + data),
            lambda data: endpoints.decode('e', entry()[:-1] + b',"x":' + data),
            endpoints.decode_report,
            configuration.decode,
            moves.decode,
            lambda data: store.decode_newest(data, ids.StoreEra(1)),
        )
        for decode in decoders:
            self.assertIsInstance(decode(DEEP), outcome.Failure)
        for decode in (
            node_updates.decode_update,
            node_updates.decode_node,
            node_updates.decode_duty,
            node_updates.decode_streams,
            node_updates.decode_endpoints,
        ):
            self.assertIsInstance(decode(msgpack_deep), outcome.Failure)
        self.assertIsNone(store.decode_first_offset(DEEP))
        decoder = codec.Decoder(node_updates.Update)
        self.assertIsInstance(decoder.feed(msgpack_deep), outcome.Failure)

    def test_entries_with_odd_values_name_no_endpoint(self) -> None:
        self.assertNotIsInstance(
            endpoints.decode('e', entry()), outcome.Failure
        )
        for name, value in ODD_VALUES:
            with self.subTest(field=name, value=str(value)[:40]):
                found = endpoints.decode('e', entry(**{name: value}))
                self.assertIsInstance(found, outcome.Failure)

    def test_odd_versions_name_no_build(self) -> None:
        for version in (HUGE, b'9' * 5_000, 'x' * 10_000, [1], None, True):
            found = endpoints.decode('e', entry(version=version))
            if not isinstance(found, outcome.Failure):
                self.assertEqual(ids.BuildName(''), found.build)

    def test_keys_that_fit_into_no_header_name_no_endpoint(self) -> None:
        for key in ('', 'a b', 'a\r\nb', 'ä', '\u2603', 'x' * 300):
            found = endpoints.decode(key, entry())
            self.assertIsInstance(found, outcome.Failure, key)

    def test_odd_reports_and_moves_are_none(self) -> None:
        for body in (
            b'{"active":%d,"queued":0}' % HUGE,
            b'{"active":0,"queued":0,"kvUsed":1e400}',
            b'{"active":0,"queued":0,"kvUsed":1e308}',
            b'{"active":0,"queued":0,"born":%d}' % HUGE,
        ):
            self.assertIsInstance(
                endpoints.decode_report(body), outcome.Failure
            )
        for handle in ('a\r\nHold: x', '', 'ä', 'x' * 300):
            body = msgspec.json.encode({'handle': handle, 'created': 1})
            self.assertIsInstance(moves.decode(body), outcome.Failure)

    def test_one_odd_record_of_a_page_costs_only_itself(self) -> None:
        body = msgspec.json.encode({
            'items': [
                {'key': 'a', 'offset': 1, 'value': 'x'},
                {'key': 'b', 'offset': 2, 'value': 'eA=='},
            ],
            'hasMore': False,
            'endOffset': 3,
        })  # fmt: skip
        page = store.decode_newest(body, ids.StoreEra(1))
        assert not isinstance(page, outcome.Failure)
        self.assertEqual(['b'], [record.key for record in page.records])

    def test_peers_with_addresses_that_are_none_are_not_believed(
        self,
    ) -> None:
        record = node_updates.NodeRecord(
            node='n', run=1, peers_address='10.0.0.1:99999'
        )
        self.assertIsInstance(
            node_updates.decode_node(node_updates.encode(record)),
            outcome.Failure,
        )

    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(sorted([*ENTRY, 'spot', 'leaves_ms', 'odd'])),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.floats(allow_nan=False, allow_infinity=False)
                | st.text(max_size=20),
                lambda inner: st.lists(inner, max_size=3),
                max_leaves=5,
            ),
        )
    )
    def test_what_decodes_can_be_used(
        self, changes: dict[str, typing.Any]
    ) -> None:
        text = entry(**changes)
        found = endpoints.decode('e', text)
        if isinstance(found, outcome.Failure):
            return
        self.assertTrue(net_address.is_connectable(found.address))
        self.assertLessEqual(found.slots * 1.0, 1e9)
        self.assertLess((found.leaves_in_s or 0.0) + 1.0, float('inf'))
        sent = requests.read_call(
            'GET', b'/a', [(b'Host', b'h'), (b'Attempt-Id', b'a')]
        )
        assert isinstance(sent, domain_call.Call)
        requests.encode_for_endpoint(
            sent,
            domain_call.Dispatch(
                found.id, found.address, None, 1.0, None, None
            ),
        )


class ConfigurationNumbersTest(unittest.TestCase):
    # Guards against processes that end, or can send no update any more, at a
    # number of the operator's document.
    def test_a_document_with_unusable_numbers_is_a_failure(self) -> None:
        for fields in (
            f'"version":{HUGE}',
            '"version":1,"services":'
            '[{"name":"s","engine":{"kvCapacity":"inf"}}]',
            '"version":1,"services":'
            '[{"name":"s","engine":{"kvCapacity":"nan"}}]',
            f'"version":1,"services":[{{"name":"s","maxConns":{HUGE}}}]',
            '"version":1,"limits":{"headerTimeoutMs":"nan"}',
            '"version":1,"tenants":[{"name":"a","ratePerS":"nan"}]',
            '"version":1,"tenants":[{"name":"a","burst":"inf"}]',
        ):
            self.assertIsInstance(
                configuration.decode(b'{' + fields.encode() + b'}'),
                outcome.Failure,
                fields[:80],
            )


class CallerHeadersTest(unittest.TestCase):
    def call(self, *headers: tuple[bytes, bytes]) -> domain_call.Call:
        found = requests.read_call(
            'GET', b'/a', [(b'Host', b'h'), (b'Attempt-Id', b'a'), *headers]
        )
        assert isinstance(found, domain_call.Call)
        return found

    def test_numbers_of_thousands_of_digits_are_absent(self) -> None:
        digits = b'9' * 5_000
        found = self.call(
            (b'Token-Counts', digits + b',' + digits),
            (b'Length-Hint', digits),
            (b'Prefix-Hash', b'ab:' + digits),
            (b'Deadline-Ms', digits),
        )
        self.assertIsNone(found.tokens)
        self.assertIsNone(found.length_hint)
        self.assertEqual((), found.parts)
        self.assertIsNone(found.deadline_s)

    # Guards against processes that end when a part with a long id is blamed
    # for crashes: its record's key has room for 255 bytes.
    def test_a_part_of_any_length_fits_into_the_key_of_a_record(self) -> None:
        names = [b'a' * 200, b'a' * 242, b'a' * 4_000, b'\xe9' * 200]
        found = self.call(
            (b'Prefix-Hash', b','.join(name + b':10' for name in names))
        )
        self.assertEqual('a' * 200, found.parts[0].id)
        self.assertEqual(4, len({part.id for part in found.parts}))
        for part in found.parts:
            key = part_suspects.KEY_PREFIX + part.id
            store.encode_keyed(store.KeyedRecord(key, b''))
            self.assertEqual(part.id, domain_call.part_id(part.id))

    def test_odd_headers_of_answers_are_absent(self) -> None:
        digits = b'9' * 5_000
        head = requests.read_answer(
            200,
            [
                (b'Instance-Load', b'1,2,' + digits),
                (b'Keep-Alive', b'timeout=' + digits),
            ],
        )
        self.assertIsNone(head.load)
        self.assertIsNone(head.idle_timeout_s)
        self.assertIsNone(store.era_of([(b'Store-Era', digits)]))


class OddEntryTest(unittest.TestCase):
    """A node that reads odd entries among those of its endpoints."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engine = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)

    # Guards against processes that end, or stop reading, at an odd entry.
    def test_a_node_goes_on_following_the_list(self) -> None:
        self.site.store.put('keyed.servers', 'deep', DEEP)
        self.site.store.put(
            'keyed.servers', 'port', entry(address='10.0.0.1:99999')
        )
        node = self.site.ready_node()
        for name, value in ODD_VALUES:
            self.site.store.put(
                'keyed.servers', f'odd {name}', entry(**{name: value})
            )
        self.site.store.put('keyed.servers', 'later', DEEP)
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        looping.run_until(
            self.site.loop, lambda: set(node.state.table.entries) >= {'e2'}
        )
        self.assertEqual({'e1', 'e2'}, set(node.state.table.entries))
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)

    # Guards against an entry with a number of writes that the endpoint itself
    # never reaches.
    def test_a_sound_entry_replaces_an_odd_one_under_its_key(self) -> None:
        node = self.site.ready_node()
        self.engine.register(sequence=10**12, slots=1)
        looping.run_until(
            self.site.loop,
            lambda: node.state.table.entries[ids.EndpointId('e1')].slots == 1,
        )
        self.engine.register()
        looping.run_until(
            self.site.loop,
            lambda: node.state.table.entries[ids.EndpointId('e1')].slots == 8,
        )
        self.engine.register(sequence=10**12)
        self.engine.unregister()
        looping.run_until(
            self.site.loop, lambda: 'e1' not in node.state.table.entries
        )
        self.engine.register()
        looping.run_until(
            self.site.loop, lambda: 'e1' in node.state.table.entries
        )

    def test_only_another_era_makes_an_entry_outdated(self) -> None:
        writes = entry_writes.EntryWrites()
        endpoint = ids.EndpointId('e')
        first, second = ids.StoreEra(1), ids.StoreEra(2)
        writes.record(endpoint, entry_writes.Write(1, 50), first)
        old = entry_writes.Write(1, 7)
        self.assertFalse(writes.is_outdated(endpoint, old, False, first))
        self.assertTrue(writes.is_outdated(endpoint, old, False, second))
        self.assertTrue(writes.is_outdated(endpoint, old, True, second))
