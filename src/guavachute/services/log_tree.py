"""Keeps the follower's sources in step with who is there.

The nodes of a failure domain form a tree: a few read the log, the others
follow a relay; see :mod:`guavachute.decide.control.relay_tree`.
"""

import typing

from guavachute.clients import log_source
from guavachute.decide.control import relay_tree
from guavachute.decide.members import membership as membership_state
from guavachute import ids
from guavachute.kernel import task
from guavachute.services import log_follower
from guavachute.services import log_relay_source
from guavachute.services import membership
from guavachute.services import peer_connection

START_PEERS = 3
"""Asked for their state by a process that starts while the log is down."""


class LogTree(task.Task):
    """Tells the follower of this process where to read.

    Messages: :class:`membership.Changed`.

    :param log: the log itself
    :param identity: proves this node to the relays
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        log: log_source.Source,
        identity: peer_connection.Identity,
    ) -> None:
        super().__init__('log-tree')
        self._follower = follower
        self._log = log
        self._identity = identity
        self._relays: dict[str, log_relay_source.RelaySource] = {}
        self._sources_in_use: tuple[typing.Any, ...] = ()

    def run(self) -> None:
        """Follow the membership until stopped."""
        while not self.stopping.is_set():
            message = self.mailbox.receive()
            if isinstance(message, membership.MembershipChanged):
                self._update_sources(message.snapshot)

    def _update_sources(self, snapshot: membership_state.View) -> None:
        addresses = {
            ids.NodeId(member.node): member.profile.relay
            for member in snapshot.members
            if member.profile.relay and not member.suspect
        }
        own_node = ids.NodeId(snapshot.me)
        # The domain and not the region: of other domains only contacts
        # are known. Each domain then has its own readers of the log.
        tree_sources = relay_tree.sources_of(
            own_node, ids.Region(snapshot.failure_domain), addresses
        )
        relays = [
            addresses[node]
            for node in tree_sources.relays
            if node in addresses
        ]
        others = sorted(
            address for node, address in addresses.items() if node != own_node
        )
        in_use = (tree_sources.reads_log, *relays, *others[:START_PEERS])
        if in_use == self._sources_in_use:
            return
        self._sources_in_use = in_use
        sources: list[log_source.Source] = [
            self._relay_source(address) for address in relays
        ]
        sources.insert(
            0 if tree_sources.reads_log else len(sources), self._log
        )
        # Sources of their own: the follower may be reading from the others.
        peers = [
            log_relay_source.RelaySource(address, self._identity)
            for address in others[:START_PEERS]
        ]
        self._follower.use_sources(sources, peers)

    def _relay_source(self, address: str) -> log_relay_source.RelaySource:
        if address not in self._relays:
            self._relays[address] = log_relay_source.RelaySource(
                address, self._identity
            )
        return self._relays[address]
