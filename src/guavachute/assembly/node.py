"""A node process: all control of one entry VM."""

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


class NodeSettings(settings.Strict, frozen=True, kw_only=True):
    """Settings of ``guavachute-node``.

    :ivar node: the id of the VM
    :ivar log_address: the platform's log service
    :ivar vm_list_address: the platform's VM list
    :ivar port: where routers get their tables and operators ask
    :ivar peer_port: where other nodes connect
    :ivar claims_port: where routers have their orders decided
    :ivar relay_port: where other nodes follow the log through this one
    :ivar writes_snapshots: whether this node may take that duty; in a
        large fleet a few nodes of each failure domain are enough
    :ivar peer_keys: shared by all nodes; the first is used, any accepted
    :ivar peer_seeds: peers to try before the VM list names any
    :ivar fleet: None for a node that takes no part in buying VMs
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
    """The services of one node process, on a kernel of their own."""

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
            node_state.Place(
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
        self.snapshots = snapshots.Snapshots(
            'snapshots',
            self.follower,
            self.leases,
            self.writer,
            count,
            # Spreads the contenders after a holder's end.
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
        """Let this node buy VMs, or spend its allowance."""
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
        """Where routers get their tables and operators ask."""
        return self.table_server.address

    @property
    def peer_address(self) -> str:
        """Where other nodes connect."""
        return self.membership.address


@contextlib.contextmanager
def running(node_settings: NodeSettings) -> typing.Iterator[Node]:
    """A node process's services, started."""
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
