"""Node process: combines the state that routers, peers and operators need.

Receives updates of the log follower, the VM list, the membership and the
routers' reports. After each change it publishes tables to the routers and
this node's status to its peers.
"""

import collections
import dataclasses
import functools
import time

import msgspec

from guavachute.clients import vm_list
from guavachute.decide.fleet import demand_sums
from guavachute.decide.members import address_answer
from guavachute.decide.members import member_table
from guavachute.decide.members import membership as membership_state
from guavachute.document import schema
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute.services.fleet import messages as fleet_messages
from guavachute.services import grant_owner
from guavachute.services import log_follower
from guavachute.services import membership
from guavachute.services import order_claims
from guavachute.services import status_reply
from guavachute.services import table_server
from guavachute.services import vm_watch
from guavachute.wire import gossip
from guavachute.wire import records
from guavachute.wire import requests
from guavachute.wire import tables

DIGEST_CHARACTERS = 12
SUMS_INTERVAL_S = 1.0
"""Shortest time between two sums of demand for the routers and the fleet."""

_log = logs.logger('node')


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The identity and the location of this node.

    :ivar claims_address: ``IP:PORT`` of the committer that its routers
        claim orders at
    """

    environment: ids.EnvironmentName
    node: ids.NodeId
    failure_domain: ids.FailureDomain
    region: ids.Region
    claims_address: str = ''


class NodeState(task.Task):
    """Owns the assembled state of the node.

    Messages: :class:`log_follower.ControlUpdate`,
    :class:`log_follower.LogContact`, :class:`vm_watch.VmsSeen`,
    :class:`membership.MembershipChanged`,
    :class:`membership.CrashReceived`, :class:`membership.GrantReceived`,
    :class:`table_server.RoutersChanged`, :class:`table_server.LocalCrash`,
    :class:`table_server.LocalGrantMessage`,
    :class:`table_server.StatusQuery`.
    """

    def __init__(
        self,
        hosting: kernel.Kernel,
        identity: NodeIdentity,
        count: counters.Counters,
    ) -> None:
        super().__init__('node-state')
        self._kernel = hosting
        self._identity = identity
        self._count = count
        self._head: records.ConfigurationHead | None = None
        self._through_offset = -1
        self._log_contact_s: float | None = None
        self._vms: tuple[vm_list.Vm, ...] = ()
        self._vms_read_s = 0.0
        self._draining: frozenset[str] = frozenset()
        self._reports: tuple[tables.RouterReport, ...] = ()
        self._membership: membership_state.Snapshot | None = None
        self._listed: tuple[member_table.ListedVm, ...] = ()
        self._endpoints: list[tables.EndpointEntry] = []
        self._published: tables.Tables | None = None
        self._sent_routers: membership.SetRouters | None = None
        self._sent_status: gossip.Status | None = None
        self._next_sums_s = 0.0
        self._grants = grant_owner.GrantOwner()

    def run(self) -> None:
        """Handle messages until stopped."""
        while not self.stopping.is_set():
            message = self.mailbox.receive()
            if message is not None:
                self._handle(message)

    @functools.singledispatchmethod
    def _handle(self, message: mailbox.Message) -> None:
        assert isinstance(message, task.Stop), message

    @_handle.register
    def _handle_update(self, message: log_follower.ControlUpdate) -> None:
        state = message.state
        self._through_offset = state.through_offset
        self._update_draining(state)
        head = state.configurations.get(self._identity.environment)
        if head is None:
            return
        if self._head is None or head.offset > self._head.offset:
            self._head = head
            self._count.add('configuration.accepted')
            _log.notice('configuration {} accepted', head.offset)
            self._send_order_window(head)
            self._publish_changes()

    def _update_draining(self, state: records.ControlState) -> None:
        """Mark endpoints that the fleet drains, which get no new work."""
        draining = frozenset(
            owned.vm
            for owned in state.owned_purchases.values()
            if owned.draining and owned.vm is not None
        )
        if draining != self._draining:
            self._draining = draining
            self._update_endpoints()
            self._publish_changes()

    @_handle.register
    def _handle_log_contact(self, message: log_follower.LogContact) -> None:
        self._log_contact_s = message.log_contact_s

    @_handle.register
    def _handle_vms(self, message: vm_watch.VmsSeen) -> None:
        self._vms_read_s = message.at_s
        # Almost every read returns the same list object as the one before.
        if message.vms is not self._vms:
            self._vms = message.vms
            self._update_listed()
            self._update_endpoints()
        self._kernel.send(
            membership.NAME, membership.SetListedVms(self._listed)
        )
        self._publish_changes()

    @_handle.register
    def _handle_reports(self, message: table_server.RoutersChanged) -> None:
        self._reports = message.reports
        self._publish_changes()

    @_handle.register
    def _handle_membership(
        self, message: membership.MembershipChanged
    ) -> None:
        self._membership = message.snapshot
        self._publish_changes()

    @_handle.register
    def _handle_local_crash(self, message: table_server.LocalCrash) -> None:
        self._grants.merge_notice(message.notice, time.monotonic())
        outgoing = membership.BroadcastCrash(message.notice)
        self._kernel.send(membership.NAME, outgoing)

    @_handle.register
    def _handle_remote_crash(self, message: membership.CrashReceived) -> None:
        self._grants.merge_notice(message.notice, time.monotonic())
        forwarded = table_server.SendToRouters(message.notice)
        self._kernel.send('table-server', forwarded)

    @_handle.register
    def _handle_local_grant(
        self, message: table_server.LocalGrantMessage
    ) -> None:
        owner = grant_owner.remote_owner(
            message.message.fingerprint, self._membership
        )
        if owner is not None:
            outgoing = membership.SendGrant(owner, message.message)
            self._kernel.send(membership.NAME, outgoing)
            return
        answer = self._decide_grant(message.message)
        if answer is not None:
            self._kernel.send(
                'table-server', table_server.SendToRouters(answer)
            )

    @_handle.register
    def _handle_remote_grant(self, message: membership.GrantReceived) -> None:
        if isinstance(message.message, requests.GrantAnswer):
            forwarded = table_server.SendToRouters(message.message)
            self._kernel.send('table-server', forwarded)
            return
        answer = self._decide_grant(message.message)
        if answer is not None:
            outgoing = membership.SendGrant(message.sender, answer)
            self._kernel.send(membership.NAME, outgoing)

    def _decide_grant(
        self, message: requests.GrantRequest | requests.GrantRelease
    ) -> requests.GrantAnswer | None:
        """This node's answer as the owner; None for a release."""
        if isinstance(message, requests.GrantRequest):
            return self._grants.handle_request(message, time.monotonic())
        self._grants.release(message)
        return None

    @_handle.register
    def _handle_status_query(self, message: table_server.StatusQuery) -> None:
        message.reply(
            status_reply.build_reply(
                status_reply.StatusInputs(
                    environment=self._identity.environment,
                    node=self._identity.node,
                    head=self._head,
                    through_offset=self._through_offset,
                    log_age_s=self._log_age_s(time.monotonic()),
                    membership=self._membership,
                    vms=self._vms,
                    reports=self._reports,
                    counters=self._count.snapshot(),
                )
            )
        )

    def _log_age_s(self, now_s: float) -> float | None:
        if self._log_contact_s is None:
            return None
        return max(now_s - self._log_contact_s, 0.0)

    def _publish_changes(self) -> None:
        now_s = time.monotonic()
        self._send_to_membership()
        self._publish(now_s)
        if now_s >= self._next_sums_s:
            self._next_sums_s = now_s + SUMS_INTERVAL_S
            self._grants.expire(now_s)
            sums = demand_sums.demand_by_source(
                self._reports, self._membership
            )
            forwarded = table_server.SendToRouters(
                requests.DemandSums(sums=sums)
            )
            self._kernel.send('table-server', forwarded)
            if self._kernel.has('fleet'):
                demand_seen = fleet_messages.DemandReported(tuple(sums))
                self._kernel.send('fleet', demand_seen)

    # Messages to the membership task, which sends them to the peers.

    def _send_to_membership(self) -> None:
        routers = membership.SetRouters(
            tuple(sorted(report.address for report in self._reports)),
            # A VM with several routers leaves when all of them drain.
            bool(self._reports)
            and all(report.draining for report in self._reports),
        )
        if routers != self._sent_routers:
            self._sent_routers = routers
            self._kernel.send(membership.NAME, routers)
        status = self._status()
        if status != self._sent_status:
            self._sent_status = status
            self._kernel.send(membership.NAME, membership.SetStatus(status))

    def _status(self) -> gossip.Status:
        used: collections.Counter[str] = collections.Counter()
        demand: collections.Counter[str] = collections.Counter()
        for report in self._reports:
            for workspace, tokens in report.used_tokens.items():
                used[workspace] += int(tokens)
            for workspace, amount in report.demand.items():
                demand[workspace] += int(amount)
        return gossip.Status(
            node=self._identity.node,
            incarnation=0,
            sequence=0,
            offset=self._offset_in_force(),
            digest=self._head.digest[:DIGEST_CHARACTERS] if self._head else '',
            active_requests=sum(
                report.active_requests for report in self._reports
            ),
            used_tokens=dict(used),
            demand=dict(demand),
        )

    def _offset_in_force(self) -> int:
        """The oldest configuration that a router of this VM has in force.

        Without a router, the configuration of this node; -1 for none.
        """
        if self._reports:
            return min(report.offset for report in self._reports)
        return -1 if self._head is None else self._head.offset

    def _send_order_window(self, head: records.ConfigurationHead) -> None:
        if self._kernel.has(order_claims.NAME):
            policy = msgspec.convert(
                head.document.get('policy', {}), schema.Policy
            )
            self._kernel.send(
                order_claims.NAME,
                order_claims.SetWindow(policy.order_window_s),
            )

    # Tables for the routers.

    def _publish(self, now_s: float) -> None:
        if self._head is None:
            return
        current = tables.Tables(
            environment=self._identity.environment,
            offset=self._head.offset,
            digest=self._head.digest,
            document=self._head.document,
            endpoints=self._endpoints,
            routers=self._routers(),
            claims_address=self._identity.claims_address,
        )
        if current != self._published:
            self._published = current
            update = self._with_remaining_times(current, now_s)
            self._kernel.send('table-server', table_server.Publish(update))

    def _update_listed(self) -> None:
        self._listed = tuple(
            member_table.ListedVm(
                vm.vm,
                vm.address,
                vm.failure_domain,
                vm.region,
                vm.state is vm_list.VmState.LEAVING,
            )
            for vm in self._vms
            if vm.kind is vm_list.VmKind.ENTRY
        )

    def _update_endpoints(self) -> None:
        """Build the entries, without the remaining times of endpoints.

        These times change without an event and are added when the tables
        are published. There are thousands of endpoints, so the entries
        are built when the VM list has changed and not for each change of
        the members.
        """
        self._endpoints = [
            tables.EndpointEntry(
                endpoint=vm.vm,
                address=vm.address,
                failure_domain=vm.failure_domain,
                region=vm.region,
                pool=vm.pool,
                leaving=vm.state is vm_list.VmState.LEAVING
                or vm.vm in self._draining,
            )
            for vm in self._vms
            if vm.kind is vm_list.VmKind.ENDPOINT
        ]

    def _with_remaining_times(
        self, current: tables.Tables, now_s: float
    ) -> tables.Tables:
        """*current* with the seconds until each leaving endpoint is gone."""
        age_s = now_s - self._vms_read_s
        remaining_s = {
            vm.vm: max(vm.leave_in_s - age_s, 0.0)
            for vm in self._vms
            if vm.leave_in_s is not None
        }
        if not remaining_s:
            return current
        endpoints = [
            msgspec.structs.replace(
                entry, leave_in_s=remaining_s.get(entry.endpoint)
            )
            for entry in current.endpoints
        ]
        return msgspec.structs.replace(current, endpoints=endpoints)

    def _routers(self) -> list[tables.RouterEntry]:
        if self._membership is None:
            return []
        return [
            tables.RouterEntry(
                node=router.node,
                address=router.address,
                failure_domain=router.failure_domain,
                region=router.region,
                leaving=router.leaving,
                suspect=router.suspect,
            )
            for router in address_answer.known_routers(self._membership)
        ]
