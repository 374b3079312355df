"""Updates the sources of the log follower when the membership changes.

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
"""Number of nodes from which a process fetches the state if it starts
while the log is down."""


class LogTree(task.Task):
    """Sets the sources of this process's follower.

    Messages: :class:`membership.MembershipChanged`.

    :param log: the source that reads the log itself
    :param identity: authenticates this node to the relays
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
        """Handle changes of the membership until stopped."""
        while not self.stopping.is_set():
            message = self.mailbox.receive()
            if isinstance(message, membership.MembershipChanged):
                self._update_sources(message.snapshot)

    def _update_sources(self, snapshot: membership_state.Snapshot) -> None:
        addresses = {
            ids.NodeId(member.node): member.profile.relay
            for member in snapshot.members
            if member.profile.relay and not member.suspect
        }
        own_node = ids.NodeId(snapshot.node)
        # The tree spans the failure domain and not the region, because
        # only some nodes of other domains are known. Each domain thus has
        # its own readers of the log.
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
        # Separate source objects, because the follower may be reading from
        # those in *sources*.
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
