"""Tests that attempts of suspects run one at a time across routers."""

import unittest

from guavachute.decide import crash
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute.services import grant_owner
from guavachute.services.relay import granter
from guavachute.wire import gossip
from guavachute.wire import requests

NAME = crash.Fingerprint('f')


class DirectNetwork:
    """Two routers whose messages are delivered to one owner immediately."""

    def __init__(self) -> None:
        self.owner = grant_owner.GrantOwner()
        self.now_s = 0.0
        self.reachable = True
        self.routers = {
            name: granter.RemoteGranter(name, self.send)
            for name in ('r-1', 'r-2')
        }

    def send(self, message: requests.Grant) -> None:
        if not self.reachable:
            return
        if isinstance(message, requests.GrantRequest):
            answer = self.owner.handle_request(message, self.now_s)
            for router in self.routers.values():
                router.handle_answer(answer, self.now_s)
        elif isinstance(message, requests.GrantRelease):
            self.owner.release(message)

    def can_start(self, router: str) -> bool:
        """Return whether *router* gets a grant.

        The first call sends the request, the second finds the answer.
        """
        remote_granter = self.routers[router]
        return any(
            remote_granter.try_acquire(NAME, self.now_s) for _ in range(2)
        )


class GrantTest(unittest.TestCase):
    def test_the_second_router_waits_for_the_first(self) -> None:
        network = DirectNetwork()
        self.assertTrue(network.can_start('r-1'))
        self.assertFalse(network.can_start('r-2'))
        network.now_s = 10.0
        self.assertFalse(network.can_start('r-2'))
        network.routers['r-1'].release(NAME)
        network.now_s = 11.0
        self.assertTrue(network.can_start('r-2'))

    def test_a_refused_one_is_granted_to_nobody(self) -> None:
        network = DirectNetwork()
        notice = requests.CrashNotice(
            fingerprint=NAME, crashes=['c-1', 'c-2'], refused=True
        )
        network.owner.merge_notice(notice, 0)
        self.assertFalse(network.can_start('r-1'))

    def test_without_any_answer_a_router_decides_alone(self) -> None:
        network = DirectNetwork()
        network.reachable = False
        self.assertFalse(network.can_start('r-1'))
        network.now_s = granter.ANSWER_TIMEOUT_S
        self.assertTrue(network.can_start('r-1'))

    def test_a_grant_that_nobody_takes_is_given_back(self) -> None:
        network = DirectNetwork()
        network.routers['r-1'].try_acquire(NAME, 0)
        network.routers['r-1'].expire(granter.UNUSED_GRANT_TIMEOUT_S)
        network.now_s = granter.UNUSED_GRANT_TIMEOUT_S
        self.assertTrue(network.can_start('r-2'))


class OwnerTest(unittest.TestCase):
    def snapshot(self, me: str, domain: str) -> membership.Snapshot:
        """Return the state at node *me* of two domains of three nodes each."""
        members = tuple(
            domain_digest.ReportedMember(
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
        return membership.Snapshot(me, domain, 'perth', members, (digest,))

    def test_all_nodes_name_the_same_owner(self) -> None:
        owners = set()
        for fingerprint in map(str, range(20)):
            named = set()
            for domain in 'ab':
                for number in range(3):
                    me = f'{domain}-{number}'
                    found = grant_owner.remote_owner(
                        fingerprint, self.snapshot(me, domain)
                    )
                    named.add(me if found is None else found.node)
            self.assertEqual(1, len(named))
            owners |= named
        self.assertEqual(2, len(owners))
