"""Tests of the offered load computed from demand sums that may jump."""

import unittest

from guavachute.decide.requests import offered_load
from guavachute.document import check
from guavachute import ids
from guavachute.wire import requests

GAP_S = 0.05


def sample(
    at_s: float, served: float, demand: float = 10.0, source: str = 'r1'
) -> offered_load.Sample:
    one = requests.DemandSum(
        source=source, demand={'club': demand}, served_tokens={'club': served}
    )
    return offered_load.Sample(at_s, (one,))


class OfferedTest(unittest.TestCase):
    def rate(
        self, before: offered_load.Sample, after: offered_load.Sample
    ) -> float:
        return offered_load.rates(before, after, GAP_S)[
            ids.WorkspaceName('club')
        ]

    def test_served_tokens_count_and_waiting_requests_too(self) -> None:
        before = sample(0.0, 1000.0)
        self.assertEqual(300, self.rate(before, sample(10.0, 4000.0)))
        self.assertEqual(200, self.rate(before, sample(10.0, 1000.0)))

    def test_jumps_and_restarts_claim_no_more_than_the_requests_can(
        self,
    ) -> None:
        before = sample(0.0, 1000.0)
        most = offered_load.MAXIMUM_TOKENS_PER_GAP * 10 / GAP_S
        self.assertEqual(most, self.rate(before, sample(10.0, 1e9)))
        self.assertEqual(200, self.rate(before, sample(10.0, 5.0)))
        joined = sample(10.0, 1e9, source='r2')
        self.assertEqual(200, self.rate(before, joined))

    def test_the_load_is_divided_by_what_runs(self) -> None:
        pool = {'kind': 'model', 'machine_classes': ['a10x8']}
        checked = check.check_raw(
            {
                'models': {'one': {'pool': 'a'}, 'two': {'pool': 'b'}},
                'services': {},
                'workspaces': {'club': {'share': 2, 'api_key_digests': []}},
                'pools': {'a': pool, 'b': pool},
            }
        )
        assert isinstance(checked, check.Checked), checked
        club = ids.WorkspaceName('club')
        running = {ids.ModelName('one'): 3, ids.ModelName('two'): 1}
        models = offered_load.by_model(
            checked.document, {club: 400.0}, running
        )
        self.assertEqual({'one': 300.0, 'two': 100.0}, models)
        pools = offered_load.by_pool(checked.document, {club: 400.0}, models)
        (load,) = pools[ids.PoolName('a')]
        self.assertEqual(
            (club, 2, 300.0), (load.workspace, load.share, load.tokens_per_s)
        )
        alike = offered_load.by_model(checked.document, {club: 400.0}, {})
        self.assertEqual({'one': 200.0, 'two': 200.0}, alike)
