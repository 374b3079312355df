"""Requests for roll-outs and their status, as the platform defines them."""

import unittest

import msgspec

from guavachute.domain import log_position
from guavachute.domain import rollouts
from guavachute import ids
from guavachute import outcome
from guavachute.platform import rollouts as platform_rollouts
from guavachute.platform import store
from guavachute.wire import node_updates

FIELDS = {'service': 'desk', 'target': 'v2', 'durationS': 60}


def record(key: str = 'rollout/desk', **changes: object) -> store.KeyedRecord:
    position = log_position.pack(ids.StoreEra(1), ids.Offset(7))
    value = msgspec.json.encode({**FIELDS, **changes})
    return store.KeyedRecord(key, value, position)


class RequestTest(unittest.TestCase):
    def test_a_request_with_unknown_fields_is_decoded(self) -> None:
        found = platform_rollouts.decode_request(record(added={'a': 1}))
        assert isinstance(found, rollouts.Request)
        self.assertEqual('desk', found.service)
        self.assertEqual('v2', found.target)
        self.assertEqual(60.0, found.duration_s)

    def test_a_version_may_be_a_number_like_that_of_an_endpoint(self) -> None:
        found = platform_rollouts.decode_request(record(target=3))
        assert isinstance(found, rollouts.Request)
        self.assertEqual('3', found.target)

    def test_invalid_values_are_no_request(self) -> None:
        """Guards against a request that stops or misleads the duty holder."""
        for bad in (
            record(service='other'),
            record(service=''),
            record(target=''),
            record(target='v' * 201),
            record(target=None),
            record(target=[1]),
            record(target=2**60),
            record(durationS=0),
            record(durationS=-1),
            record(durationS=1e30),
            record(durationS='long'),
            record(key='rollout/' + 'é' * 150, service='é' * 150),
            store.KeyedRecord('rollout/a', b'[' * 5_000, record().position),
        ):
            with self.subTest(value=bad.value):
                self.assertIsInstance(
                    platform_rollouts.decode_request(bad), outcome.Failure
                )

    def test_a_request_keeps_its_id_in_a_copy_of_the_store(self) -> None:
        """Guards against a roll-out that starts again in a new era."""
        first = platform_rollouts.decode_request(record())
        position = log_position.pack(ids.StoreEra(2), ids.Offset(7))
        copied = platform_rollouts.decode_request(
            store.KeyedRecord('rollout/desk', record().value, position)
        )
        assert isinstance(first, rollouts.Request)
        assert isinstance(copied, rollouts.Request)
        self.assertEqual(first.id, copied.id)

    def test_a_proof_is_not_in_the_future(self) -> None:
        """Guards against a proof that never expires."""
        notice = ['desk', 'r', 1, 'v2', 60.0, b'', 0, -1]
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert(notice, node_updates.RolloutNotice)

    def test_the_status_has_the_states_of_the_protocol(self) -> None:
        found = [
            msgspec.json.decode(
                platform_rollouts.encode_status(state, ids.BuildName('v2'))
            )
            for state in rollouts.Status
        ]
        self.assertEqual(
            ['in_progress', 'completed', 'rolled_back'],
            [item['state'] for item in found],
        )
        self.assertEqual({'v2'}, {item['target'] for item in found})
