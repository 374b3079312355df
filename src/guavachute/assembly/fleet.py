"""Assembles the tasks of the fleet duty for one node process."""

import random
import typing

from guavachute.clients import cloud_client
from guavachute.document import schema
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import cloud_worker
from guavachute.services.fleet import engine_orders
from guavachute.services.fleet import messages
from guavachute.services.fleet import task as fleet_task
from guavachute.services import leases
from guavachute.services import log_follower
from guavachute.services import log_writer
from guavachute import settings

WORKERS = 4
"""How many orders to the cloud can be in flight at once."""


class FleetSettings(settings.Strict, frozen=True, kw_only=True):
    """The fleet part of a node's settings.

    :ivar cloud_address: ``IP:PORT`` of the cloud API
    :ivar store_bytes_per_s: the total throughput of the weight store
    :ivar lease_s: how long the others wait after a holder died
    :ivar round_s: the time between the rounds of the fleet's task
    :ivar contends: whether this node competes for the lease; a node that
        doesn't still buys from its allowance while the log is down
    """

    cloud_address: settings.AddressText
    store_bytes_per_s: schema.Positive = 1e9
    lease_s: settings.Seconds = leases.DURATION_S
    round_s: settings.Seconds = fleet_task.ROUND_S
    contends: bool = True


class FleetDuty:
    """The tasks of the fleet duty.

    The caller adds :attr:`tasks` to the node's kernel and subscribes
    ``fleet.mailbox`` to the VM watch.
    """

    def __init__(
        self,
        fleet_settings: FleetSettings,
        environment: ids.EnvironmentName,
        node: ids.NodeId,
        lease_task: leases.Leases,
        writer: log_writer.LogWriter,
        follower: log_follower.LogFollower,
        count: counters.Counters,
        jitter: random.Random,
    ) -> None:
        self._lease_task = lease_task
        self._lease_name = fleet_task.lease_name(environment)
        self.workers = [
            cloud_worker.CloudWorker(
                f'cloud-worker-{number}',
                cloud_client.CloudClient(fleet_settings.cloud_address),
                self.held_now,
                count,
            )
            for number in range(WORKERS)
        ]
        self.engine_orders = engine_orders.EngineOrders(
            'engine-orders', self.held_now, count
        )
        self.fleet = fleet_task.Fleet(
            fleet_task.FleetSettings(
                environment,
                node,
                fleet_settings.store_bytes_per_s,
                fleet_settings.round_s,
            ),
            cloud_client.CloudClient(fleet_settings.cloud_address),
            writer.append,
            self.held_now,
            [worker.mailbox for worker in self.workers],
            self.engine_orders.mailbox,
            count,
            jitter,
        )
        follower.subscribe(self.fleet.mailbox)
        if fleet_settings.contends:
            # Spreads the challenges after a holder stopped.
            lease_task.contend(
                self._lease_name,
                fleet_settings.lease_s,
                stagger_s=jitter.random(),
            )

    @property
    def tasks(self) -> typing.Sequence[task.Task]:
        """The tasks in the order in which they are started."""
        return [*self.workers, self.engine_orders, self.fleet]

    def held_now(self) -> messages.HeldLease | None:
        """Return the lease if it is held at this moment, else None.

        Can be called from any thread.
        """
        held = self._lease_task.held_lease(self._lease_name)
        if isinstance(held, outcome.Failure):
            return None
        return messages.HeldLease(
            self._lease_name, held.term_offset, held.fencing_number
        )
