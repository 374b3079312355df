"""Tests the detection of requests that crash endpoints.

One request crashes at most two endpoints, and other requests that ran
on them are cleared again.
"""

import random
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide import crash
from guavachute.decide.requests import crash_grants
from guavachute import ids
from guavachute.wire import requests

WORKSPACE = ids.WorkspaceName('large')
BAD = crash.fingerprint(WORKSPACE, 'm', 'crashes')
GOOD = crash.fingerprint(WORKSPACE, 'm', 'harmless')
LATE = crash.fingerprint(WORKSPACE, 'm', 'proven before')
CLEAN = crash.CrashStatus.CLEAN
SUSPECT = crash.CrashStatus.SUSPECT
REFUSED = crash.CrashStatus.REFUSED


def endpoint(number: int) -> ids.EndpointId:
    return ids.EndpointId(f'vm-{number}')


def start(
    registry: crash.CrashRegistry,
    attempt: str,
    name: crash.Fingerprint,
    where: int,
) -> ids.AttemptId:
    attempt_id = ids.AttemptId(attempt)
    registry.record_start(attempt_id, name, endpoint(where), 0)
    return attempt_id


class CrashBookTest(unittest.TestCase):
    def test_the_second_crash_refuses_and_the_neighbour_is_cleared(
        self,
    ) -> None:
        registry = crash.CrashRegistry()
        start(registry, 'a', BAD, 1)
        start(registry, 'b', GOOD, 1)
        self.assertEqual(
            2, len(registry.record_endpoint_crash(endpoint(1), 'c-1', 0))
        )
        self.assertIs(SUSPECT, registry.status(GOOD, 0))
        start(registry, 'c', BAD, 2)
        good = start(registry, 'd', GOOD, 3)
        self.assertEqual(
            {endpoint(2), endpoint(3)}, registry.endpoints_with_suspects()
        )
        self.assertIsNotNone(registry.record_completion(good, 0))
        registry.record_endpoint_crash(endpoint(2), 'c-2', 0)
        self.assertIs(REFUSED, registry.status(BAD, 0))
        self.assertIs(CLEAN, registry.status(GOOD, 0))

    def test_one_crash_seen_by_two_routers_counts_once(self) -> None:
        registries = [crash.CrashRegistry(), crash.CrashRegistry()]
        notices = []
        for registry in registries:
            start(registry, 'a', BAD, 1)
            notices += registry.record_endpoint_crash(endpoint(1), 'c-1', 0)
        for registry in registries:
            for notice in notices:
                registry.merge_notice(notice, 0)
            self.assertIs(SUSPECT, registry.status(BAD, 0))

    def test_a_proven_suspect_is_not_blamed_beside_an_unproven_one(
        self,
    ) -> None:
        registry = crash.CrashRegistry()
        start(registry, 'a', LATE, 1)
        start(registry, 'b', BAD, 1)
        registry.record_endpoint_crash(endpoint(1), 'c-1', 0)
        registry.record_proven(start(registry, 'c', LATE, 2))
        self.assertEqual(frozenset(), registry.endpoints_with_suspects())
        start(registry, 'd', BAD, 2)
        start(registry, 'e', GOOD, 2)
        registry.record_endpoint_crash(endpoint(2), 'c-2', 0)
        statuses = [registry.status(name, 0) for name in (LATE, BAD, GOOD)]
        self.assertEqual([SUSPECT, REFUSED, SUSPECT], statuses)

    def test_equal_requests_stay_together_until_they_are_suspect(
        self,
    ) -> None:
        registry = crash.CrashRegistry()
        first = start(registry, 'a', BAD, 4)
        self.assertEqual(endpoint(4), registry.running_on(BAD))
        notice = requests.CrashNotice(fingerprint=BAD, crashes=['c-1'])
        self.assertEqual([first], registry.merge_notice(notice, 0))
        registry.record_end(first)
        self.assertIsNone(registry.running_on(BAD))
        start(registry, 'b', BAD, 5)
        self.assertEqual([], registry.merge_notice(notice, 0))

    def test_times_and_the_operator_end_it(self) -> None:
        registry = crash.CrashRegistry()
        notice = requests.CrashNotice(
            fingerprint=BAD, crashes=['c-1', 'c-2'], refused=True
        )
        registry.merge_notice(notice, 0)
        registry.merge_notice(
            requests.CrashNotice(fingerprint=GOOD, crashes=['c-1']), 0
        )
        self.assertIs(CLEAN, registry.status(GOOD, crash.SUSPECT_S))
        last_s = crash.REFUSED_S - 1
        self.assertIs(REFUSED, registry.status(BAD, last_s))
        self.assertIs(REFUSED, registry.status(BAD, last_s + last_s))
        registry.clear(BAD)
        self.assertIs(CLEAN, registry.status(BAD, 0))

    @hypothesis.given(
        strategies.permutations(
            [
                requests.CrashNotice(fingerprint=BAD, crashes=['c-1']),
                requests.CrashNotice(fingerprint=BAD, crashes=['c-1', 'c-2']),
                requests.CrashNotice(fingerprint=BAD, crashes=['c-2']),
            ]
        )
    )
    def test_the_order_of_notices_does_not_matter(
        self, notices: list[requests.CrashNotice]
    ) -> None:
        registry = crash.CrashRegistry()
        for notice in notices:
            registry.merge_notice(notice, 0)
        self.assertIs(REFUSED, registry.status(BAD, 0))


class Routers:
    """Routers with delayed notices, and a request that crashes endpoints."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.registries = [crash.CrashRegistry() for _ in range(4)]
        self.grants = crash_grants.Grants()
        self.delayed: list[requests.CrashNotice] = []
        self.lost = 0

    def resend(self, number: int) -> None:
        """Send the request to a random router.

        The notice of the first crash reaches all routers; later ones
        reach only router 0, which grants the attempts of suspects.
        """
        router = self.random.randrange(len(self.registries))
        registry = self.registries[router]
        status = registry.status(BAD, 0)
        if status is REFUSED:
            return
        grant_request = requests.GrantRequest(
            fingerprint=BAD, router=str(router)
        )
        if status is SUSPECT:
            known = self.registries[0].status(BAD, 0)
            if not self.grants.handle_request(grant_request, known, 0).granted:
                return
        start(registry, f'a-{number}', BAD, number)
        self.lost += 1
        notices = registry.record_endpoint_crash(
            endpoint(number), f'c-{number}', 0
        )
        if status is SUSPECT:
            release = requests.GrantRelease(
                fingerprint=BAD, router=str(router)
            )
            self.registries[0].merge_notice(notices[0], 0)
            self.grants.release(release)
            self.delayed += notices
        else:
            # The first notice arrives before the second crash.
            for other in self.registries:
                other.merge_notice(notices[0], 0)


class ResendTest(unittest.TestCase):
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_twenty_resends_to_any_router_lose_two_endpoints(
        self, seed: int
    ) -> None:
        routers = Routers(seed)
        for number in range(20):
            routers.resend(number)
        self.assertEqual(2, routers.lost)

    def test_a_grant_is_for_one_at_a_time_and_lapses(self) -> None:
        grants = crash_grants.Grants()

        def is_granted(router: str, now_s: float) -> bool:
            message = requests.GrantRequest(fingerprint=BAD, router=router)
            return grants.handle_request(message, SUSPECT, now_s).granted

        self.assertTrue(is_granted('r-1', 0))
        self.assertFalse(is_granted('r-2', 1))
        self.assertTrue(is_granted('r-2', crash_grants.GRANT_S))
        release = requests.GrantRelease(fingerprint=BAD, router='r-1')
        grants.release(release)
        self.assertFalse(is_granted('r-1', crash_grants.GRANT_S))
