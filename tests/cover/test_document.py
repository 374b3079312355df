"""An invalid document gives problems with path, value and expectation."""

import json
import typing
import unittest

from guavachute.document import check
from guavachute.document import problems
from tests.support import documents


def problems_of(raw: typing.Any) -> list[problems.Problem]:
    checked = check.check_raw(raw)
    assert isinstance(checked, list), 'the document was accepted'
    return checked


class DocumentTest(unittest.TestCase):
    def assert_problem(
        self, raw: typing.Any, path: str, value: str, expected: str
    ) -> None:
        found = [str(problem) for problem in problems_of(raw)]
        matching = [
            text
            for text in found
            if text.startswith(path) and value in text and expected in text
        ]
        self.assertTrue(matching, found)

    def test_a_valid_document_passes(self) -> None:
        checked = check.check_raw(documents.valid())
        self.assertIsInstance(checked, check.Checked)

    def test_order_and_white_space_do_not_change_the_digest(self) -> None:
        raw = documents.valid()
        reordered = dict(reversed(raw.items()))
        one = check.check_bytes(json.dumps(raw).encode())
        other = check.check_bytes(json.dumps(reordered, indent=4).encode())
        assert isinstance(one, check.Checked)
        assert isinstance(other, check.Checked)
        self.assertEqual(one.digest, other.digest)

    def test_another_value_changes_the_digest(self) -> None:
        raw = documents.valid()
        before = check.digest_of(raw)
        raw['workspaces']['uniforms']['share'] = 4
        self.assertNotEqual(before, check.digest_of(raw))

    def test_a_wrong_type_is_named(self) -> None:
        raw = documents.valid()
        raw['workspaces']['uniforms']['share'] = 'three'
        self.assert_problem(
            raw, '$.workspaces.uniforms.share', '"three"', 'number'
        )

    def test_a_number_out_of_range_is_named(self) -> None:
        raw = documents.valid()
        raw['pools']['needle']['minimum_endpoints'] = -1
        self.assert_problem(
            raw, '$.pools.needle.minimum_endpoints', '-1', 'at least 0'
        )

    def test_an_unknown_field_is_named(self) -> None:
        raw = documents.valid()
        raw['models']['needle-llm']['pol'] = 'needle'
        self.assert_problem(raw, "$.models['needle-llm']", 'pol', 'known')

    def test_a_missing_field_is_named(self) -> None:
        raw = documents.valid()
        del raw['models']['needle-llm']['pool']
        self.assert_problem(raw, "$.models['needle-llm']", '', "'pool'")

    def test_a_reference_to_no_pool_is_named(self) -> None:
        raw = documents.valid()
        raw['models']['needle-llm']['pool'] = 'nedle'
        self.assert_problem(
            raw,
            "$.models['needle-llm'].pool",
            '"nedle"',
            'desk, needle',
        )

    def test_a_pool_of_the_wrong_kind_is_named(self) -> None:
        raw = documents.valid()
        raw['services']['order-desk']['pool'] = 'needle'
        self.assert_problem(
            raw, "$.services['order-desk'].pool", 'kind model', 'kind service'
        )

    def test_a_key_in_two_workspaces_is_refused(self) -> None:
        raw = documents.valid()
        raw['workspaces']['club-shops']['api_key_digests'] = [
            documents.digest_of_key(documents.KEY)
        ]
        self.assert_problem(
            raw,
            "$.workspaces['club-shops'].api_key_digests[0]",
            '',
            'uniforms',
        )

    def test_text_that_is_not_json_is_refused(self) -> None:
        checked = check.check_bytes(b'{"models": ')
        assert isinstance(checked, list)
        self.assertEqual('$', checked[0].path)
