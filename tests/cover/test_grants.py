"""Suspects run one after another, whichever routers ask."""

import unittest

from guavachute.decide import crash
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute.services import grant_desk
from guavachute.services.relay import granter
from guavachute.wire import gossip
from guavachute.wire import requests

NAME = crash.Fingerprint('f')


class Wired:
    """Two routers whose messages reach one owner at once."""

    def __init__(self) -> None:
        self.desk = grant_desk.GrantDesk()
        self.now_s = 0.0
        self.reachable = True
        self.routers = {
            name: granter.RemoteGranter(name, self.send)
            for name in ('r-1', 'r-2')
        }

    def send(self, message: requests.Grant) -> None:
        if not self.reachable:
            return
        if isinstance(message, requests.GrantAsk):
            answer = self.desk.ask(message, self.now_s)
            for router in self.routers.values():
                router.answered(answer, self.now_s)
        elif isinstance(message, requests.GrantRelease):
            self.desk.release(message)

    def may_start(self, router: str) -> bool:
        """Whether *router* may, asking as often as it takes."""
        asked = self.routers[router]
        return any(asked.ask(NAME, self.now_s) for _ in range(2))


class GrantTest(unittest.TestCase):
    def test_the_second_router_waits_for_the_first(self) -> None:
        wired = Wired()
        self.assertTrue(wired.may_start('r-1'))
        self.assertFalse(wired.may_start('r-2'))
        wired.now_s = 10.0
        self.assertFalse(wired.may_start('r-2'))
        wired.routers['r-1'].release(NAME)
        wired.now_s = 11.0
        self.assertTrue(wired.may_start('r-2'))

    def test_a_refused_one_is_granted_to_nobody(self) -> None:
        wired = Wired()
        notice = requests.CrashNotice(
            fingerprint=NAME, crashes=['c-1', 'c-2'], refused=True
        )
        wired.desk.take(notice, 0)
        self.assertFalse(wired.may_start('r-1'))

    def test_without_any_answer_a_router_decides_alone(self) -> None:
        wired = Wired()
        wired.reachable = False
        self.assertFalse(wired.may_start('r-1'))
        wired.now_s = granter.UNANSWERED_S
        self.assertTrue(wired.may_start('r-1'))

    def test_a_grant_that_nobody_takes_is_given_back(self) -> None:
        wired = Wired()
        wired.routers['r-1'].ask(NAME, 0)
        wired.routers['r-1'].expire(granter.UNUSED_S)
        wired.now_s = granter.UNUSED_S
        self.assertTrue(wired.may_start('r-2'))


class OwnerTest(unittest.TestCase):
    def view(self, me: str, domain: str) -> membership.View:
        """What *me* sees of two domains with three nodes each."""
        members = tuple(
            domain_digest.Reported(
                f'{domain}-{number}',
                gossip.Profile(f'{domain}:{number}', domain, 'perth'),
                None,
            )
            for number in range(3)
        )
        other = 'b' if domain == 'a' else 'a'
        contact = domain_digest.contacts(
            other, [f'{other}-{number}' for number in range(3)], 1
        )[0]
        address = gossip.NodeAddress(contact, f'{other}:{contact[-1]}')
        digest = gossip.DomainDigest(
            other, 'perth', contact, 1, 1, 3, contacts=(address,)
        )
        return membership.View(me, domain, 'perth', members, (digest,))

    def test_all_nodes_name_the_same_owner(self) -> None:
        owners = set()
        for fingerprint in map(str, range(20)):
            named = set()
            for domain in 'ab':
                for number in range(3):
                    me = f'{domain}-{number}'
                    found = grant_desk.owner(
                        fingerprint, self.view(me, domain)
                    )
                    named.add(me if found is None else found.node)
            self.assertEqual(1, len(named))
            owners |= named
        self.assertEqual(2, len(owners))
