"""Publishing reports the true result, whatever fails at the log."""

import threading
import time

from guavachute.clients import configuration
from guavachute.clients import in_force
from guavachute import ids
from guavachute import outcome
from guavachute.standin import faults
from guavachute.wire import records
from tests.support import control

TRIAL = ids.EnvironmentName('trial')
PRODUCTION = ids.EnvironmentName('production')


def make_change(number: int, **more: object) -> configuration.Change:
    return configuration.Change(
        TRIAL,
        {'number': number},
        ids.Digest(f'digest-{number}'),
        'operator',
        **more,
    )


class PublishTest(control.LogTest):
    def publish(
        self, change: configuration.Change, timeout_s: float = control.LONG_S
    ) -> configuration.PublishResult:
        return configuration.publish(
            self.client(), change, time.monotonic() + timeout_s
        )

    def test_the_next_change_supersedes_and_the_same_is_not_repeated(
        self,
    ) -> None:
        results = [self.publish(make_change(n)) for n in (1, 2, 2)]
        self.assertEqual(
            [
                configuration.Accepted(ids.Offset(0), ids.Digest('digest-1')),
                configuration.Accepted(ids.Offset(1), ids.Digest('digest-2')),
                configuration.Accepted(
                    ids.Offset(1), ids.Digest('digest-2'), unchanged=True
                ),
            ],
            results,
        )
        self.assertEqual(2, len(self.log.records('control')))

    def test_of_racing_operators_one_wins_and_all_others_are_told(
        self,
    ) -> None:
        first = records.NO_OFFSET
        results: list[configuration.PublishResult] = []

        def race(number: int) -> None:
            change = make_change(number, supersedes_offset=first)
            results.append(self.publish(change))

        self.fault(faults.Kind.LOSE_ANSWER, faults.Kind.DOUBLE)
        racers = [threading.Thread(target=race, args=[n]) for n in range(5)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join(control.LONG_S)
        accepted = [
            r for r in results if isinstance(r, configuration.Accepted)
        ]
        lost = [r for r in results if isinstance(r, configuration.LostRace)]
        self.assertEqual((1, 4), (len(accepted), len(lost)))
        heads = {result.head.offset for result in lost if result.head}
        self.assertEqual({accepted[0].offset}, heads)

    def test_a_refused_append_is_not_published(self) -> None:
        self.fault(faults.Kind.REFUSE, count=-1)
        result = self.publish(make_change(1), 1.0)
        self.assertIsInstance(result, configuration.NotPublished)
        self.assertEqual([], self.log.records('control'))

    def test_an_append_whose_answers_are_lost_is_found_in_the_log(
        self,
    ) -> None:
        self.fault(faults.Kind.LOSE_ANSWER, count=-1)
        result = self.publish(make_change(1), 1.0)
        self.assertEqual(
            configuration.Accepted(ids.Offset(0), ids.Digest('digest-1')),
            result,
        )

    def test_undecided_goes_on_with_the_same_record(self) -> None:
        self.log.faults.add(
            faults.Fault(
                kind=faults.Kind.CLOSE, path_prefix='/v1', method='POST',
                count=-1,
            )
        )  # fmt: skip
        result = self.publish(make_change(1), 0.5)
        assert isinstance(result, configuration.Undecided)
        self.log.faults.clear()
        again = make_change(
            1,
            record_id=result.record_id,
            supersedes_offset=result.supersedes_offset,
        )
        offsets = set()
        for _ in range(2):
            repeated = self.publish(again)
            assert isinstance(repeated, configuration.Accepted)
            offsets.add(repeated.offset)
        self.assertEqual({0}, offsets)
        self.assertEqual(1, len(self.log.records('control')))

    def test_the_same_digest_is_promoted(self) -> None:
        self.publish(make_change(1))
        deadline_s = time.monotonic() + control.LONG_S
        result = configuration.promote(
            self.client(), TRIAL, PRODUCTION, 'operator', deadline_s
        )
        self.assertIsInstance(result, configuration.Accepted)
        state = configuration.read_state(self.client(), deadline_s)
        assert isinstance(state, records.ControlState)
        self.assertEqual('digest-1', state.configurations[PRODUCTION].digest)
        other = configuration.promote(
            self.client(), TRIAL, PRODUCTION, 'operator', deadline_s,
            ids.Digest('digest-2'),
        )  # fmt: skip
        self.assertIsInstance(other, configuration.NotPublished)

    def test_a_log_that_lost_its_state_restarts_empty_on_request(self) -> None:
        deadline_s = time.monotonic() + control.LONG_S
        refused = configuration.restart_from_empty_state(
            self.client(), deadline_s
        )
        self.assertIsInstance(refused, outcome.Failure)
        self.append(*[control.change(n, n - 1) for n in range(5)])
        self.log.drop_before('control', 3)
        lost = self.publish(make_change(1), 1.0)
        self.assertIsInstance(lost, configuration.NotPublished)
        self.assertEqual(
            5,
            configuration.restart_from_empty_state(self.client(), deadline_s),
        )
        self.assertEqual(
            configuration.Accepted(ids.Offset(6), ids.Digest('digest-1')),
            self.publish(make_change(1)),
        )

    def test_waiting_counts_the_nodes(self) -> None:
        fetches: list[int] = []

        def fetch_reports() -> list[in_force.NodeReport]:
            fetches.append(1)
            return [
                in_force.NodeReport(
                    ids.NodeId(f'node-{n}'),
                    ids.Offset(3 if n < len(fetches) else 1),
                    ids.Digest('digest'),
                )
                for n in range(3)
            ]

        found = in_force.wait_in_force(
            fetch_reports, ids.Offset(2), time.monotonic() + control.LONG_S
        )
        assert not isinstance(found, outcome.Failure)
        self.assertEqual((3, ()), (len(found.nodes), found.missing))
