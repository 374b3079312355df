"""Nodes discover each other, restart, leave and reject invalid peers."""

import contextlib
import socket
import typing
import unittest

from guavachute.decide.members import member_table
from guavachute.decide.members import membership as membership_state
from guavachute.decide.members import suspicion
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import membership
from guavachute.services import peer_connection
from guavachute.wire import codec
from guavachute.wire import gossip
from guavachute.wire import requests
from tests.support import waiting

LIMITS = suspicion.Limits(probe_period_s=0.1, direct_timeout_s=0.04)
KEY = b'a key of the tests'
STOP_S = 10.0


class Node:
    """One node, and what its subscriber last received."""

    def __init__(
        self,
        node: str,
        *,
        domain: str = 'perth-a',
        port: int = 0,
        keys: tuple[bytes, ...] = (KEY,),
        environment: str = 'trial',
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.node = node
        self.domain = domain
        self.metrics = counters.Counters()
        self.task = membership.Membership(
            membership.Configuration(
                environment,
                node,
                '127.0.0.1',
                port,
                domain,
                'perth',
                keys,
                seeds,
                LIMITS,
            ),
            self.metrics,
        )
        self.inbox = mailbox.Mailbox()
        self.snapshot: membership_state.Snapshot | None = None
        self.notices: list[requests.CrashNotice] = []
        self.task.mailbox.send(membership.Subscribe(self.inbox))

    def present_nodes(self) -> set[str]:
        """The members of its failure domain that it knows."""
        for message in self.inbox.drain():
            if isinstance(message, membership.CrashReceived):
                self.notices.append(message.notice)
            else:
                self.snapshot = message.snapshot
        return (
            {m.node for m in self.snapshot.members} if self.snapshot else set()
        )

    def listed(self) -> member_table.ListedVm:
        """Its entry in the platform's VM list."""
        return member_table.ListedVm(
            self.node, self.task.address, self.domain, 'perth'
        )

    def kill(self) -> None:
        """Stop it without the announcement that it leaves."""
        self.task.stopping.set()
        self.task.join(STOP_S)

    def stop(self) -> None:
        """Stop it regularly; it announces that it leaves."""
        self.task.request_stop()
        self.task.join(STOP_S)


@contextlib.contextmanager
def running(*nodes: Node) -> typing.Iterator[None]:
    """Start *nodes* with a list of all of them; stop them at the end."""
    listed = membership.SetListedVms(tuple(node.listed() for node in nodes))
    for node in nodes:
        node.task.mailbox.send(listed)
        node.task.start()
    try:
        yield
    finally:
        for node in nodes:
            node.stop()


def wait_for(nodes: typing.Iterable[Node], expected: set[str]) -> None:
    """Wait until all of *nodes* know the members *expected*."""
    for node in nodes:
        waiting.until(
            lambda node=node: node.present_nodes() == expected,
            f'{node.node} knows {sorted(expected)}',
        )


def is_closed(endpoint: socket.socket) -> bool:
    """Whether the other side closes; discards what it sends before."""
    endpoint.settimeout(STOP_S)
    with contextlib.suppress(ConnectionError):
        while endpoint.recv(4096):
            pass
    return True


class CrashNoticeTest(unittest.TestCase):
    def test_a_notice_reaches_all_nodes_of_all_domains(self) -> None:
        local = [Node(f'vm-{number}') for number in range(3)]
        remote = [
            Node(f'far-{number}', domain='perth-b') for number in range(3)
        ]
        self.enterContext(running(*local, *remote))
        wait_for(local, {node.node for node in local})
        wait_for(remote, {node.node for node in remote})
        first = local[0]
        waiting.until(
            lambda: (
                first.present_nodes()
                and first.snapshot
                and first.snapshot.domains
            ),
            'the other domain is known',
        )
        notice = requests.CrashNotice(
            fingerprint='f', crashes=['c-1', 'c-2'], refused=True
        )
        first.task.mailbox.send(membership.BroadcastCrash(notice))
        for node in local[1:] + remote:
            waiting.until(
                lambda node=node: node.present_nodes() and node.notices,
                f'{node.node} has received the notice',
            )
            self.assertEqual([notice], node.notices)


class MembershipServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes = [Node(f'vm-{number}') for number in range(4)]
        self.all = {node.node for node in self.nodes}
        self.enterContext(running(*self.nodes))
        wait_for(self.nodes, self.all)

    def test_a_killed_node_goes_and_comes_back_as_a_new_process(self) -> None:
        killed, *others = self.nodes
        killed.kill()
        wait_for(others, self.all - {killed.node})
        port = int(killed.task.address.rpartition(':')[2])
        restarted = Node(
            killed.node, port=port, seeds=(others[0].task.address,)
        )
        restarted.task.start()
        self.addCleanup(restarted.stop)
        wait_for([restarted, *others], self.all)

    def test_a_stopping_node_leaves_without_being_suspected(self) -> None:
        leaving, *others = self.nodes
        leaving.stop()
        wait_for(others, self.all - {leaving.node})

    def test_profiles_and_statuses_reach_the_others(self) -> None:
        sender, receiver, *_ = self.nodes
        sender.task.mailbox.send(membership.SetRouters(('127.0.0.1:9',), True))
        sender.task.mailbox.send(
            membership.SetStatus(
                gossip.Status('', 0, 0, 7, 'ab', 3, {'club': 40})
            )
        )

        def has_arrived() -> bool:
            receiver.present_nodes()
            member = next(
                m for m in receiver.snapshot.members if m.node == sender.node
            )
            return (
                member.leaving
                and member.profile.routers == ('127.0.0.1:9',)
                and member.status is not None
                and member.status.used_tokens == {'club': 40}
                and member.status.offset == 7
            )

        waiting.until(has_arrived, 'the status arrives')

    def test_a_node_with_another_key_or_environment_stays_out(self) -> None:
        seeds = (self.nodes[0].task.address,)
        for stranger in (
            Node('vm-8', keys=(b'guessed',), seeds=seeds),
            Node('vm-9', environment='production', seeds=seeds),
        ):
            stranger.task.start()
            self.addCleanup(stranger.stop)
            before = self.nodes[0].metrics.value('membership.refused')
            waiting.until(
                lambda before=before: (
                    self.nodes[0].metrics.value('membership.refused') > before
                ),
                'the stranger is refused',
            )
            self.assertEqual({stranger.node}, stranger.present_nodes())
            self.assertEqual(self.all, self.nodes[0].present_nodes())

    def test_either_of_two_keys_is_taken_while_they_are_replaced(
        self,
    ) -> None:
        seeds = (self.nodes[0].task.address,)
        newer = Node('vm-4', keys=(KEY, b'next'), seeds=seeds)
        newer.task.start()
        self.addCleanup(newer.stop)
        wait_for([newer, *self.nodes], self.all | {'vm-4'})

    def test_messages_before_the_handshake_and_garbage_are_refused(
        self,
    ) -> None:
        host, _, port = self.nodes[0].task.address.rpartition(':')
        sync = gossip.Sync(gossip.Items(), True)
        too_long = b'\xc1' * (peer_connection.HANDSHAKE_LIMIT_BYTES + 1)
        for data in (codec.encode(sync), b'GET / HTTP/1.1\r\n\r\n', too_long):
            with socket.create_connection((host, int(port))) as endpoint:
                endpoint.sendall(data)
                self.assertTrue(is_closed(endpoint))
        self.assertEqual(self.all, self.nodes[0].present_nodes())


class DomainsServiceTest(unittest.TestCase):
    def test_domains_exchange_digests(self) -> None:
        nodes = [
            Node(f'{domain}-{number}', domain=domain)
            for domain in ('perth-a', 'perth-b')
            for number in range(2)
        ]
        with running(*nodes):
            for node in nodes:
                node.task.mailbox.send(membership.SetRouters(('127.0.0.1:9',)))

            def has_digest(node: Node) -> bool:
                node.present_nodes()
                return node.snapshot is not None and any(
                    digest.nodes == 2 and len(digest.routers) == 2
                    for digest in node.snapshot.domains
                )

            for node in nodes:
                waiting.until(lambda node=node: has_digest(node), 'a digest')
