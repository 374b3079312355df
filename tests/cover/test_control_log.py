"""Tests that the fold is the same from a snapshot, a peer or offset 0."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from guavachute.decide.control import control_log
from guavachute.decide.control import control_reader
from guavachute.decide.control import log_start
from guavachute import ids
from guavachute import outcome
from guavachute.wire import records

small = strategies.integers(-1, 12).map(ids.Offset)
names = strategies.sampled_from(['x', 'y'])
record_ids = strategies.integers(0, 8).map(lambda n: ids.RecordId(str(n)))
terms = {'lease_name': names, 'term_offset': small}
market = {
    'pool': names,
    'failure_domain': names,
    'machine_class': names,
    'market': names,
}
plain_records = strategies.one_of(
    strategies.builds(
        records.ConfigurationChange,
        record_id=record_ids,
        environment=names,
        supersedes_offset=small,
        document=strategies.just({}),
        digest=names,
        author=names,
    ),
    strategies.builds(
        records.LeaseRecord,
        record_id=record_ids,
        name=names,
        holder=names,
        supersedes_offset=small,
        duration_s=strategies.just(1.0),
        released=strategies.booleans(),
    ),
    strategies.builds(
        records.PurchaseIntent,
        record_id=record_ids,
        vm_name=names,
        allowance=strategies.none() | names,
        **terms,
        **market,
    ),
    strategies.builds(
        records.PurchaseResult,
        record_id=record_ids,
        vm_name=names,
        result=strategies.sampled_from(['started', 'refused', 'ended']),
        vm=strategies.none() | names,
    ),
    strategies.builds(
        records.PurchaseDrain,
        record_id=record_ids,
        vm_name=names,
        why=names,
        **terms,
    ),
    strategies.builds(
        records.RolloutChange,
        record_id=record_ids,
        environment=names,
        model=names,
        old_version=names,
        new_version=names,
        step=strategies.integers(0, 3),
        progress=strategies.sampled_from(['running', 'done', 'stopped']),
        **terms,
    ),
    strategies.builds(
        records.PurchaseAllowance,
        record_id=record_ids,
        allowance=names,
        node=names,
        vm_names=strategies.lists(names, max_size=2),
        **terms,
        **market,
    ),
)


def entries_of(
    log: list[records.ControlRecord],
) -> list[records.Entry]:
    """The entries of *log* as they are read, as plain JSON values."""
    return [
        records.Entry(
            ids.Offset(offset),
            msgspec.json.decode(msgspec.json.encode(record)),
        )
        for offset, record in enumerate(log)
    ]


def folded(entries: list[records.Entry]) -> records.ControlState:
    reader = control_reader.ControlReader(records.ControlState())
    folded_entries = reader.fold_entries(entries)
    assert not isinstance(folded_entries, outcome.Failure)
    assert reader.state is not None
    return reader.state


class ControlLogTest(unittest.TestCase):
    @hypothesis.given(
        log=strategies.lists(plain_records, min_size=1, max_size=30),
        data=strategies.data(),
    )
    def test_a_start_from_any_usable_snapshot_reaches_the_same_state(
        self, log: list[records.ControlRecord], data: strategies.DataObject
    ) -> None:
        through = data.draw(strategies.integers(-1, len(log) - 1))
        place = data.draw(strategies.integers(through + 1, len(log)))
        first = data.draw(strategies.integers(0, through + 1))
        state = folded(entries_of(log)[: through + 1])
        snapshot = records.Snapshot(
            record_id=ids.RecordId('snapshot'), state=state
        )
        entries = entries_of([*log[:place], snapshot, *log[place:]])
        self.assertEqual(folded(entries), self.start(entries, first))

    def start(
        self, entries: list[records.Entry], first: int
    ) -> records.ControlState:
        window = len(entries)
        while True:
            parsed = [records.parse(e.record) for e in entries[window:]]
            step = log_start.next_step(
                ids.Offset(first),
                ids.Offset(window),
                ids.Offset(len(entries)),
                [p for p in parsed if isinstance(p, records.Snapshot)],
            )
            if isinstance(step, log_start.Begin):
                reader = control_reader.ControlReader(step.state)
                reader.fold_entries(entries[window:])
                assert reader.state is not None
                return reader.state
            assert isinstance(step, log_start.ReadBack), step
            self.assertLessEqual(step.from_offset, window)
            window = min(step.from_offset, window - 1)

    @hypothesis.given(
        log=strategies.lists(plain_records, min_size=1, max_size=20),
        steps=strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.integers(0)),
            max_size=20,
        ),
    )
    def test_a_reader_never_goes_back(
        self, log: list[records.ControlRecord], steps: list[tuple[bool, int]]
    ) -> None:
        entries = entries_of(log)
        reader = control_reader.ControlReader(records.ControlState())
        through = records.NO_OFFSET
        for adopts, number in steps:
            end = number % (len(log) + 1)
            if adopts:
                reader.adopt(folded(entries[:end]))
            else:
                reader.fold_entries(entries[:end])
            assert reader.state is not None
            self.assertGreaterEqual(reader.state.through_offset, through)
            through = reader.state.through_offset
            self.assertEqual(folded(entries[: through + 1]), reader.state)

    def test_a_purchase_is_made_in_term_and_once(self) -> None:
        def lease(
            number: int, holder: str, supersedes: int
        ) -> records.LeaseRecord:
            return records.LeaseRecord(
                record_id=ids.RecordId(f'lease-{number}'),
                name='fleet',
                holder=holder,
                supersedes_offset=ids.Offset(supersedes),
                duration_s=1.0,
            )

        def intent(vm_name: str, term: int) -> records.PurchaseIntent:
            return records.PurchaseIntent(
                record_id=ids.RecordId(vm_name),
                vm_name=vm_name,
                lease_name='fleet',
                term_offset=ids.Offset(term),
                pool=ids.PoolName('pool'),
                failure_domain=ids.FailureDomain('perth-a'),
                machine_class='a10x8',
                market='reclaimable',
            )

        ended = records.PurchaseResult(
            record_id=ids.RecordId('end'),
            vm_name='vm-1',
            result='started',
            vm=ids.VmId('vm-of-the-cloud'),
        )
        log = [
            lease(1, 'a', -1),
            lease(2, 'a', 0),
            intent('vm-1', 0),
            ended,
            intent('vm-1', 0),
            lease(3, 'b', 1),
            intent('vm-2', 0),
            intent('vm-3', 5),
        ]
        reader = control_reader.ControlReader(records.ControlState())
        folded_entries = reader.fold_entries(entries_of(log))
        assert not isinstance(folded_entries, outcome.Failure)
        verdict = control_log.Verdict
        self.assertEqual(
            [*[verdict.ACCEPTED] * 4, verdict.DUPLICATE, verdict.ACCEPTED]
            + [verdict.REFUSED, verdict.ACCEPTED],
            [entry.verdict for entry in folded_entries],
        )
        assert reader.state is not None
        self.assertEqual({'vm-3'}, set(reader.state.open_purchases))
