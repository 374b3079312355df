"""Assembles a node process, which does all control work of an entry VM."""

import contextlib
import random
import time
import typing

from guavachute.assembly import fleet as fleet_duty
from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.document import schema
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.services import claim_server
from guavachute.services import leases
from guavachute.services import log_follower
from guavachute.services import log_relay
from guavachute.services import log_tree
from guavachute.services import log_writer
from guavachute.services import membership
from guavachute.services import node_state
from guavachute.services import order_claims
from guavachute.services import peer_connection
from guavachute.services import snapshots
from guavachute.services import table_server
from guavachute.services import vm_watch
from guavachute import settings

STAGGER_S = 10.0
"""The longest delay before a node competes for writing snapshots."""


class NodeSettings(settings.Strict, frozen=True, kw_only=True):
    """Settings of ``guavachute-node``.

    :ivar node: the id of the VM
    :ivar log_address: the platform's log service
    :ivar vm_list_address: the platform's VM list
    :ivar port: serves tables to routers and the status to operators
    :ivar peer_port: accepts the connections of other nodes
    :ivar claims_port: accepts the routers' claims of orders
    :ivar relay_port: serves the log to other nodes that follow it
        through this one
    :ivar writes_snapshots: whether this node competes for that duty; in
        a large fleet a few nodes of each failure domain are enough
    :ivar vm_list_interval_s: the time between two reads of the VM list
    :ivar peer_keys: keys shared by all nodes; a node proves its identity
        with the first and accepts each from its peers
    :ivar peer_seeds: peers to try before the VM list names any
    :ivar fleet: None for a node that doesn't take part in buying VMs
    """

    environment: str
    node: str
    failure_domain: str
    region: str
    log_address: settings.AddressText
    vm_list_address: settings.AddressText
    peer_keys: list[str]
    peer_seeds: list[settings.AddressText] = []
    host: settings.Host = '127.0.0.1'
    port: settings.Port = 0
    peer_port: settings.Port = 0
    claims_port: settings.Port = 0
    relay_port: settings.Port = 0
    writes_snapshots: bool = True
    vm_list_interval_s: settings.Seconds = 1.0
    fleet: fleet_duty.FleetSettings | None = None
    observe: settings.Observe = settings.Observe()


class Node:
    """The services of one node process, with their own kernel."""

    def __init__(
        self, node_settings: NodeSettings, count: counters.Counters
    ) -> None:
        self.count = count
        self.kernel = kernel.Kernel()
        self.order_claims = order_claims.build(
            lambda: _log_client(node_settings, count),
            schema.Policy().order_window_s,
            count,
        )
        self.claim_server = claim_server.ClaimServer(
            node_settings.host,
            node_settings.claims_port,
            self.order_claims.mailbox,
            count,
        )
        self.state = node_state.NodeState(
            self.kernel,
            node_state.NodeIdentity(
                ids.EnvironmentName(node_settings.environment),
                ids.NodeId(node_settings.node),
                ids.FailureDomain(node_settings.failure_domain),
                ids.Region(node_settings.region),
                self.claim_server.address,
            ),
            count,
        )
        inbox = self.state.mailbox
        self.table_server = table_server.TableServer(
            node_settings.host, node_settings.port, count, inbox
        )
        log = log_source.LogSource(_log_client(node_settings, count))
        self.follower = log_follower.LogFollower(
            'log-follower', [log], count, random.Random()
        )
        self.follower.subscribe(inbox)
        identity = _identity(node_settings)
        self.log_relay = log_relay.LogRelay(
            'log-relay',
            node_settings.host,
            node_settings.relay_port,
            identity,
            self.follower,
            count,
        )
        self.membership = _membership(
            node_settings, self.log_relay.address, count
        )
        self.log_tree = log_tree.LogTree(self.follower, log, identity)
        for subscriber in (inbox, self.log_tree.mailbox):
            self.membership.mailbox.send(membership.Subscribe(subscriber))
        self.writer = log_writer.LogWriter(
            'log-writer', _log_client(node_settings, count)
        )
        self.leases = leases.Leases(
            'leases',
            ids.new_random_id(node_settings.node),
            self.follower,
            self.writer,
            count,
        )
        self.snapshots = snapshots.SnapshotWriter(
            'snapshots',
            self.follower,
            self.leases,
            self.writer,
            count,
            # Spreads the challenges after a holder stopped.
            stagger_s=random.uniform(0.0, STAGGER_S),
        )
        self.vm_watch = vm_watch.VmWatch(
            node_settings.vm_list_address,
            node_settings.vm_list_interval_s,
            count,
            [inbox],
            time.monotonic,
        )
        for service in (
            self.membership,
            self.order_claims,
            self.claim_server,
            self.table_server,
            self.state,
            self.follower,
            self.log_relay,
            self.log_tree,
            self.writer,
            self.leases,
            self.vm_watch,
        ):
            self.kernel.add(service)
        if node_settings.writes_snapshots:
            self.kernel.add(self.snapshots)
        if node_settings.fleet is not None:
            self._add_fleet(node_settings, node_settings.fleet)

    def _add_fleet(
        self,
        node_settings: NodeSettings,
        fleet_settings: fleet_duty.FleetSettings,
    ) -> None:
        """Add the tasks that buy VMs, also from this node's allowance."""
        duty = fleet_duty.FleetDuty(
            fleet_settings,
            ids.EnvironmentName(node_settings.environment),
            ids.NodeId(node_settings.node),
            self.leases,
            self.writer,
            self.follower,
            self.count,
            random.Random(),
        )
        self.vm_watch.subscribe(duty.fleet.mailbox)
        for service in duty.tasks:
            self.kernel.add(service)

    @property
    def address(self) -> str:
        """``IP:PORT`` that serves routers' tables and operators' requests."""
        return self.table_server.address

    @property
    def peer_address(self) -> str:
        """``IP:PORT`` at which other nodes connect."""
        return self.membership.address


@contextlib.contextmanager
def running(node_settings: NodeSettings) -> typing.Iterator[Node]:
    """Run a node process's services for the duration of the block."""
    count = counters.connect(node_settings.observe.statsd, 'guavachute.node')
    node = Node(node_settings, count)
    with node.kernel.running():
        yield node


def _log_client(
    node_settings: NodeSettings, count: counters.Counters
) -> log_client.LogClient:
    return log_client.LogClient(
        node_settings.log_address, count, random.Random()
    )


def _identity(node_settings: NodeSettings) -> peer_connection.Identity:
    return peer_connection.Identity(
        node_settings.environment,
        node_settings.node,
        tuple(key.encode() for key in node_settings.peer_keys),
    )


def _membership(
    node_settings: NodeSettings, relay: str, count: counters.Counters
) -> membership.Membership:
    return membership.Membership(
        membership.Configuration(
            environment=node_settings.environment,
            node=node_settings.node,
            host=node_settings.host,
            port=node_settings.peer_port,
            failure_domain=node_settings.failure_domain,
            region=node_settings.region,
            keys=tuple(key.encode() for key in node_settings.peer_keys),
            seeds=tuple(node_settings.peer_seeds),
            relay=relay,
        ),
        count,
    )
