"""One node's table of the members of its failure domain."""

import dataclasses
import typing

from guavachute.decide.members import suspicion
from guavachute.wire import gossip


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry VM on the platform's list.

    :ivar address: where its node process accepts peers
    :ivar leaving: the platform will reclaim the VM
    """

    node: str
    address: str
    failure_domain: str
    region: str
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Member:
    """What this node believes of one member.

    :ivar profile: None for a dead member that was never seen alive
    :ivar since_s: when this node last changed the member's state
    """

    node: str
    incarnation: int
    state: gossip.MemberState
    profile: gossip.Profile | None
    since_s: float
    status: gossip.Status | None = None

    @property
    def address(self) -> gossip.NodeAddress:
        """Where to reach the member, whose profile must be known."""
        assert self.profile is not None, self.node
        return gossip.NodeAddress(self.node, self.profile.address)

    def as_update(self) -> gossip.MemberUpdate:
        """The update that passes on what is believed of the member."""
        return gossip.MemberUpdate(
            self.node, self.incarnation, self.state, self.profile
        )


class Table:
    """All members of this node's failure domain except the node itself.

    Two sources are merged: the members' updates, which are fast but can
    be wrong for a while, and the platform's list of VMs, which lags but
    is eventually right about which VMs exist.

    :param node: this node
    :param failure_domain: members of other domains are ignored
    """

    def __init__(
        self, node: str, failure_domain: str, limits: suspicion.Limits
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._limits = limits
        self._members: dict[str, Member] = {}
        self._listed: dict[str, ListedVm] = {}
        self._absent_since_s: dict[str, float] = {}
        self._dropped: set[str] = set()

    def get(self, node: str) -> Member | None:
        """The member *node*, dead or alive; None if it is unknown."""
        return self._members.get(node)

    def all_members(self) -> typing.Iterator[Member]:
        """All known members, including those dead or left."""
        return iter(self._members.values())

    def present(self) -> list[Member]:
        """The members that are alive or suspected."""
        return [
            member
            for member in self._members.values()
            if member.state in suspicion.PRESENT
        ]

    def merge(self, update: gossip.MemberUpdate, now_s: float) -> bool:
        """Apply *update* if it supersedes the table's state.

        Returns whether it did. Updates about this node, other failure
        domains or dropped members are ignored.
        """
        if not self._is_relevant(update):
            return False
        known = self._members.get(update.node)
        if known is not None and not suspicion.supersedes(
            update, known.incarnation, known.state
        ):
            return False
        profile = update.profile
        if profile is None and known is not None:
            profile = known.profile
        self._members[update.node] = Member(
            update.node,
            update.incarnation,
            update.state,
            profile,
            now_s,
            known.status if known is not None else None,
        )
        return True

    def merge_status(self, status: gossip.Status) -> bool:
        """Store the status of a known member if it is newer.

        Returns whether it was stored.
        """
        member = self._members.get(status.node)
        if member is None:
            return False
        known = member.status
        if known is not None and (status.incarnation, status.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return False
        member.status = status
        return True

    def overdue_suspects(self, now_s: float) -> list[Member]:
        """Suspects that didn't refute the suspicion in time."""
        suspects = [
            member
            for member in self._members.values()
            if member.state is gossip.MemberState.SUSPECT
        ]
        if not suspects:
            return []
        timeout_s = suspicion.timeout_s(self._limits, len(self.present()))
        return [
            member
            for member in suspects
            if now_s - member.since_s >= timeout_s
        ]

    def restart_suspicions(self, now_s: float) -> None:
        """Restart the time that every suspect has to refute.

        For a node that was paused itself: refutations may be waiting
        unread in its sockets.
        """
        for member in self._members.values():
            if member.state is gossip.MemberState.SUSPECT:
                member.since_s = now_s

    def expire_tombstones(self, now_s: float) -> None:
        """Remove the dead once no node can have old updates about them."""
        self._members = {
            node: member
            for node, member in self._members.items()
            if suspicion.is_present(member.state)
            or now_s - member.since_s < self._limits.tombstone_s
        }

    def observe_list(
        self, listed: typing.Iterable[ListedVm], now_s: float
    ) -> bool:
        """Apply the platform's list; returns False if it isn't trusted.

        A list without this node itself is outdated or truncated, so no
        members may be dropped because of it.
        """
        by_node = {vm.node: vm for vm in listed}
        if self._node not in by_node:
            return False
        self._listed = by_node
        self._dropped -= by_node.keys()
        for node in list(self._members):
            if node in by_node:
                self._absent_since_s.pop(node, None)
            else:
                self._drop_if_long_absent(node, now_s)
        return True

    def is_listed_leaving(self, node: str) -> bool:
        """Whether the list says that the platform will reclaim *node*."""
        vm = self._listed.get(node)
        return vm is not None and vm.leaving

    def is_dropped(self, node: str) -> bool:
        """Whether *node* was dropped because the list lacked it for long."""
        return node in self._dropped

    def unknown_vms(self) -> list[ListedVm]:
        """Listed VMs of this failure domain that aren't known as members."""
        return [
            vm
            for vm in self._listed.values()
            if vm.failure_domain == self._failure_domain
            and vm.node != self._node
            and vm.node not in self._members
        ]

    def listed_in_other_domains(self) -> dict[str, list[gossip.NodeAddress]]:
        """Listed VMs of the other failure domains, by domain."""
        addresses: dict[str, list[gossip.NodeAddress]] = {}
        for vm in self._listed.values():
            if vm.failure_domain != self._failure_domain:
                address = gossip.NodeAddress(vm.node, vm.address)
                addresses.setdefault(vm.failure_domain, []).append(address)
        return addresses

    def _is_relevant(self, update: gossip.MemberUpdate) -> bool:
        if update.node == self._node or update.node in self._dropped:
            return False
        if update.profile is None:
            return not suspicion.is_present(update.state)
        return update.profile.failure_domain == self._failure_domain

    def _drop_if_long_absent(self, node: str, now_s: float) -> None:
        since_s = self._absent_since_s.setdefault(node, now_s)
        if now_s - since_s >= self._limits.absent_s:
            del self._absent_since_s[node]
            del self._members[node]
            self._dropped.add(node)
