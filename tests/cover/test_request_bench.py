"""Tests of the load and the fair shares of ``bench.requests``."""

import itertools
import unittest

from bench import request_load
from bench import requests

SHARES = {'uniforms': 4, 'club-shops': 4, 'mills': 1}


def script(routers):
    callers = [
        request_load.Caller(
            workspace=name, api_key=f'key-of-{name}', requests_per_s=share
        )
        for name, share in SHARES.items()
    ]
    return request_load.Script(
        addresses=[f'127.0.0.1:{port}' for port in range(1, routers + 1)],
        model='needle-llm',
        seed=1,
        callers=callers,
        until_s=10,
        give_up_s=10,
    )


class SharesDueTest(unittest.TestCase):
    def test_what_one_leaves_goes_to_the_others_by_share(self):
        offered = {'uniforms': 100.0, 'club-shops': 900.0, 'mills': 900.0}
        due = requests.shares_due(offered, 600.0)
        self.assertEqual(
            due, {'uniforms': 100.0, 'club-shops': 400.0, 'mills': 100.0}
        )

    def test_nobody_is_due_more_than_it_offers(self):
        offered = {'uniforms': 10.0, 'club-shops': 20.0, 'mills': 30.0}
        self.assertEqual(requests.shares_due(offered, 600.0), offered)


class ScriptTest(unittest.TestCase):
    def test_any_count_of_routers_gets_the_same_requests(self):
        few, many = (
            [
                (one.at_s, one.label, one.body)
                for one in itertools.islice(
                    request_load.generate_requests(script(routers)), 200
                )
            ]
            for routers in (3, 9)
        )
        self.assertEqual(few, many)

    def test_requests_come_in_the_order_of_their_times(self):
        times = [
            one.at_s
            for one in itertools.islice(
                request_load.generate_requests(script(3)), 200
            )
        ]
        self.assertEqual(times, sorted(times))

    def test_offered_tokens_are_those_asked_for_until_then(self):
        wanted = request_load.offered_tokens(script(3), 5.0)
        asked = dict.fromkeys(SHARES, 0)
        for one in request_load.generate_requests(script(3)):
            if one.at_s >= 5.0:
                break
            asked[one.label] += len(one.expected.split())
        self.assertEqual(wanted, asked)


if __name__ == '__main__':
    unittest.main()
