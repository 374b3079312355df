"""Names that a document may hold, and that some encoding can't.

Patterns: a workspace named outside Latin-1, one whose name would add a header,
and one that differs from another only by its encoding.
"""

import typing
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec

from guavachute.domain import call as domain_call
from guavachute import ids
from guavachute import outcome
from guavachute.platform import configuration
from guavachute.platform import requests
from guavachute.wire import header_text
from tests.support import platform_site

FIT = ('ǁKaras', 'Omaheke-é', 'two words', '微', '')
UNFIT = ('a\r\nHold: x', 'a\nb', ' a', 'a ', 'a\x00', 'a\x7f', '\ta')


def tenant(name: str, key: str) -> dict[str, typing.Any]:
    return {'name': name, 'apiKeys': [key]}


class EncodingTest(unittest.TestCase):
    def test_names_are_utf_8_or_have_no_encoding(self) -> None:
        for name in FIT:
            self.assertEqual(name.encode(), header_text.encode(name))
        for name in (*UNFIT, 'a\ud800'):
            self.assertIsNone(header_text.encode(name))

    # Guards against processes that end at a name of the operator's document,
    # and against names that add headers of their own.
    @hypothesis.given(st.text(max_size=30))
    def test_any_name_of_a_document_is_one_header_or_refused(
        self, name: str
    ) -> None:
        try:
            text = msgspec.json.encode(
                {'version': 1, 'tenants': [tenant(name, 'k')]}
            )
        except UnicodeEncodeError:
            return
        found = configuration.decode(text)
        assert not isinstance(found, outcome.Failure)
        (workspace,) = found.workspaces
        if not requests.can_name(workspace):
            return
        sent = requests.read_call(
            'GET', b'/a', [(b'Host', b'h'), (b'Attempt-Id', b'a')]
        )
        assert isinstance(sent, domain_call.Call)
        head = requests.encode_for_endpoint(
            sent,
            domain_call.Dispatch(
                ids.EndpointId('e'),
                ids.Address('127.0.0.1:1'),
                workspace,
                1.0,
                None,
                None,
            ),
        )
        lines = head.split(b'\r\n')
        values = [
            line.partition(b':')[2].strip(b' \t')
            for line in lines
            if line.startswith(b'Tenant:')
        ]
        self.assertEqual([name], [value.decode() for value in values])
        self.assertNotIn(b'\n', head.replace(b'\r\n', b''))


class ServedNamesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.engine = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)

    # Guards against processes that end when a workspace is named outside
    # Latin-1: all requests under way lost their connection.
    def test_a_workspace_with_any_name_that_fits_is_served(self) -> None:
        names = [name for name in FIT if name]
        self.site.configure(
            1, tenants=[tenant(name, f'k-{name!a}') for name in names]
        )
        node = self.site.ready_node()
        for name in names:
            key = f'k-{name!a}'
            reply = self.site.fetch(node, '/order/a', key=key)
            self.assertEqual(200, reply.status)
            self.assertEqual(name, self.engine.runs[-1].workspace)

    # Guards against a name that becomes a header of its own at endpoints.
    def test_a_name_that_fits_no_header_costs_only_its_requests(self) -> None:
        self.site.configure(
            1,
            tenants=[
                tenant('botany', platform_site.KEY),
                *(tenant(name, f'k{i}') for i, name in enumerate(UNFIT)),
            ],
        )
        node = self.site.ready_node()
        for number in range(len(UNFIT)):
            reply = self.site.fetch(node, '/order/a', key=f'k{number}')
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers['retry-after']), 1.0)
        self.assertEqual([], self.engine.runs)
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)
