"""Tests of the fold of purchase and roll-out records.

A purchase is owned until it is closed, and changes need the lease term.
"""

import unittest

from guavachute.decide.control import control_log
from guavachute import ids
from guavachute.wire import records

NAME = 'trial/needle/one'


class PurchaseRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = records.ControlState()
        self.add(
            records.LeaseRecord(
                record_id=ids.RecordId('lease'),
                name='fleet',
                holder='node-1',
                supersedes_offset=records.NO_OFFSET,
                duration_s=10,
            )
        )

    def add(self, record: records.ControlRecord) -> control_log.Verdict:
        offset = ids.Offset(self.state.through_offset + 1)
        self.state, verdict = control_log.fold(self.state, offset, record)
        return verdict

    def intend(self) -> control_log.Verdict:
        return self.add(
            records.PurchaseIntent(
                record_id=ids.RecordId('intent'),
                vm_name=NAME,
                lease_name='fleet',
                term_offset=ids.Offset(0),
                pool=ids.PoolName('needle'),
                failure_domain=ids.FailureDomain('perth-a'),
                machine_class='a10x8',
                market='reclaimable',
            )
        )

    def end(self, result: records.PurchaseOutcome) -> control_log.Verdict:
        return self.add(
            records.PurchaseResult(
                record_id=ids.RecordId(result),
                vm_name=NAME,
                result=result,
                vm=ids.VmId('vm-1'),
            )
        )

    def drain(self, term: int) -> control_log.Verdict:
        return self.add(
            records.PurchaseDrain(
                record_id=ids.RecordId('drain'),
                vm_name=NAME,
                lease_name='fleet',
                term_offset=ids.Offset(term),
                why='dear',
            )
        )

    def roll(self, step: int, progress: str) -> control_log.Verdict:
        return self.add(
            records.RolloutChange(
                record_id=ids.RecordId(f'{step}/{progress}'),
                environment=ids.EnvironmentName('trial'),
                model=ids.ModelName('needle'),
                lease_name='fleet',
                term_offset=ids.Offset(0),
                old_version='1',
                new_version='2',
                step=step,
                progress=progress,
            )
        )

    def test_a_vm_that_runs_is_owned_for_as_long_as_it_runs(self) -> None:
        self.intend()
        self.end('started')
        later = control_log.REMEMBERED_OFFSETS + 10
        self.state = records.msgspec.structs.replace(
            self.state, through_offset=ids.Offset(later)
        )
        self.assertIs(control_log.Verdict.DUPLICATE, self.intend())
        self.assertEqual('vm-1', self.state.owned_purchases[NAME].vm)
        self.end('ended')
        self.assertEqual({}, self.state.owned_purchases)
        self.assertIn(NAME, self.state.closed_purchases)
        self.assertIs(control_log.Verdict.DUPLICATE, self.end('started'))
        self.assertEqual({}, self.state.owned_purchases)

    def test_a_drain_needs_the_term(self) -> None:
        self.intend()
        self.assertIs(control_log.Verdict.REFUSED, self.drain(0))
        self.end('started')
        self.assertIs(control_log.Verdict.REFUSED, self.drain(7))
        self.assertIs(control_log.Verdict.ACCEPTED, self.drain(0))
        self.assertEqual('dear', self.state.owned_purchases[NAME].draining)

    def test_a_stopped_roll_out_stays_stopped(self) -> None:
        self.roll(1, 'running')
        self.assertIs(control_log.Verdict.REFUSED, self.roll(0, 'running'))
        self.roll(1, 'stopped')
        self.assertIs(control_log.Verdict.REFUSED, self.roll(2, 'running'))
        held = self.state.rollouts['trial/needle']
        self.assertEqual('stopped', held.progress)
