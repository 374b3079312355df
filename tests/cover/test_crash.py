"""At most two endpoints are lost to a request; neighbours recover."""

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
CLEAN = crash.Standing.CLEAN
SUSPECT = crash.Standing.SUSPECT
REFUSED = crash.Standing.REFUSED


def endpoint(number: int) -> ids.EndpointId:
    return ids.EndpointId(f'vm-{number}')


def start(
    book: crash.CrashBook, attempt: str, name: crash.Fingerprint, where: int
) -> ids.AttemptId:
    attempt_id = ids.AttemptId(attempt)
    book.started(attempt_id, name, endpoint(where), 0)
    return attempt_id


class CrashBookTest(unittest.TestCase):
    def test_the_second_crash_refuses_and_the_neighbour_is_cleared(
        self,
    ) -> None:
        book = crash.CrashBook()
        start(book, 'a', BAD, 1)
        start(book, 'b', GOOD, 1)
        self.assertEqual(2, len(book.crashed(endpoint(1), 'c-1', 0)))
        self.assertIs(SUSPECT, book.standing(GOOD, 0))
        start(book, 'c', BAD, 2)
        good = start(book, 'd', GOOD, 3)
        self.assertEqual({endpoint(2), endpoint(3)}, book.with_suspects())
        self.assertIsNotNone(book.completed(good, 0))
        book.crashed(endpoint(2), 'c-2', 0)
        self.assertIs(REFUSED, book.standing(BAD, 0))
        self.assertIs(CLEAN, book.standing(GOOD, 0))

    def test_one_crash_seen_by_two_routers_counts_once(self) -> None:
        books = [crash.CrashBook(), crash.CrashBook()]
        notices = []
        for book in books:
            start(book, 'a', BAD, 1)
            notices += book.crashed(endpoint(1), 'c-1', 0)
        for book in books:
            for notice in notices:
                book.take(notice, 0)
            self.assertIs(SUSPECT, book.standing(BAD, 0))

    def test_a_proven_suspect_is_not_blamed_beside_an_unproven_one(
        self,
    ) -> None:
        book = crash.CrashBook()
        start(book, 'a', LATE, 1)
        start(book, 'b', BAD, 1)
        book.crashed(endpoint(1), 'c-1', 0)
        book.proven(start(book, 'c', LATE, 2))
        self.assertEqual(frozenset(), book.with_suspects())
        start(book, 'd', BAD, 2)
        start(book, 'e', GOOD, 2)
        book.crashed(endpoint(2), 'c-2', 0)
        standings = [book.standing(name, 0) for name in (LATE, BAD, GOOD)]
        self.assertEqual([SUSPECT, REFUSED, SUSPECT], standings)

    def test_equal_requests_stay_together_until_they_are_suspect(
        self,
    ) -> None:
        book = crash.CrashBook()
        first = start(book, 'a', BAD, 4)
        self.assertEqual(endpoint(4), book.running_on(BAD))
        notice = requests.CrashNotice(fingerprint=BAD, crashes=['c-1'])
        self.assertEqual([first], book.take(notice, 0))
        book.ended(first)
        self.assertIsNone(book.running_on(BAD))
        start(book, 'b', BAD, 5)
        self.assertEqual([], book.take(notice, 0))

    def test_times_and_the_operator_end_it(self) -> None:
        book = crash.CrashBook()
        notice = requests.CrashNotice(
            fingerprint=BAD, crashes=['c-1', 'c-2'], refused=True
        )
        book.take(notice, 0)
        book.take(requests.CrashNotice(fingerprint=GOOD, crashes=['c-1']), 0)
        self.assertIs(CLEAN, book.standing(GOOD, crash.SUSPECT_S))
        last_s = crash.REFUSED_S - 1
        self.assertIs(REFUSED, book.standing(BAD, last_s))
        self.assertIs(REFUSED, book.standing(BAD, last_s + last_s))
        book.clear(BAD)
        self.assertIs(CLEAN, book.standing(BAD, 0))

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
        book = crash.CrashBook()
        for notice in notices:
            book.take(notice, 0)
        self.assertIs(REFUSED, book.standing(BAD, 0))


class Routers:
    """Routers whose notices arrive late, and a crashing request."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.books = [crash.CrashBook() for _ in range(4)]
        self.grants = crash_grants.Grants()
        self.late: list[requests.CrashNotice] = []
        self.lost = 0

    def resend(self, number: int) -> None:
        """The caller sends it to a router; its notices stay under way."""
        router = self.random.randrange(len(self.books))
        book = self.books[router]
        standing = book.standing(BAD, 0)
        if standing is REFUSED:
            return
        ask = requests.GrantAsk(fingerprint=BAD, router=str(router))
        if standing is SUSPECT:
            known = self.books[0].standing(BAD, 0)
            if not self.grants.ask(ask, known, 0).granted:
                return
        start(book, f'a-{number}', BAD, number)
        self.lost += 1
        notices = book.crashed(endpoint(number), f'c-{number}', 0)
        if standing is SUSPECT:
            release = requests.GrantRelease(
                fingerprint=BAD, router=str(router)
            )
            self.books[0].take(notices[0], 0)
            self.grants.release(release)
            self.late += notices
        else:
            # The first notice is there before the second crash.
            for other in self.books:
                other.take(notices[0], 0)


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

        def ask(router: str, now_s: float) -> bool:
            message = requests.GrantAsk(fingerprint=BAD, router=router)
            return grants.ask(message, SUSPECT, now_s).granted

        self.assertTrue(ask('r-1', 0))
        self.assertFalse(ask('r-2', 1))
        self.assertTrue(ask('r-2', crash_grants.GRANT_S))
        release = requests.GrantRelease(fingerprint=BAD, router='r-1')
        grants.release(release)
        self.assertFalse(ask('r-1', crash_grants.GRANT_S))
