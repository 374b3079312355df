"""What one node believes of the members of its failure domain."""

import dataclasses
import typing

from guavachute.decide.members import suspicion
from guavachute.wire import gossip


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry VM on the platform's list.

    :ivar address: where its node process takes peers
    """

    node: str
    address: str
    failure_domain: str
    region: str
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Member:
    """One member as this node sees it.

    :ivar profile: None for a dead one that was never met alive
    :ivar since_s: when this state was taken up here
    """

    node: str
    incarnation: int
    state: gossip.MemberState
    profile: gossip.Profile | None
    since_s: float
    status: gossip.Status | None = None

    @property
    def address(self) -> gossip.NodeAddress:
        """Where to reach it; it must have been met alive."""
        assert self.profile is not None, self.node
        return gossip.NodeAddress(self.node, self.profile.address)

    def as_update(self) -> gossip.MemberUpdate:
        """The news to pass on."""
        return gossip.MemberUpdate(
            self.node, self.incarnation, self.state, self.profile
        )


class Table:
    """All members but this node itself.

    Two sources are merged: the members' own news, which is fast and can
    be wrong for a while, and the platform's list of VMs, which lags but
    in the end is right about who exists.

    :param node: this node
    :param failure_domain: members of any other are not taken in
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
        """The member *node*, also when dead."""
        return self._members.get(node)

    def everyone(self) -> typing.Iterator[Member]:
        """All that are known, the dead too."""
        return iter(self._members.values())

    def present(self) -> list[Member]:
        """Those alive or suspected."""
        return [
            member
            for member in self._members.values()
            if member.state in suspicion.PRESENT
        ]

    def merge(self, news: gossip.MemberUpdate, now_s: float) -> bool:
        """Take *news* in if it counts; True if it changed anything."""
        if not self._concerns_us(news):
            return False
        known = self._members.get(news.node)
        if known is not None and not suspicion.supersedes(
            news, known.incarnation, known.state
        ):
            return False
        profile = news.profile
        if profile is None and known is not None:
            profile = known.profile
        self._members[news.node] = Member(
            news.node,
            news.incarnation,
            news.state,
            profile,
            now_s,
            known.status if known is not None else None,
        )
        return True

    def merge_status(self, status: gossip.Status) -> bool:
        """Take *status* in if it is newer; True if it was."""
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
        """Suspects that have had their time to refute."""
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
        """Give every suspect its whole time again.

        For a node that was paused itself: the refutations may be waiting
        unread in its sockets.
        """
        for member in self._members.values():
            if member.state is gossip.MemberState.SUSPECT:
                member.since_s = now_s

    def forget_old_dead(self, now_s: float) -> None:
        """Drop the dead that nobody can have old news of any more."""
        self._members = {
            node: member
            for node, member in self._members.items()
            if suspicion.is_present(member.state)
            or now_s - member.since_s < self._limits.tombstone_s
        }

    def observe_list(
        self, listed: typing.Iterable[ListedVm], now_s: float
    ) -> bool:
        """Take in the platform's list; False if it is not to be trusted.

        A list that lacks this very node is late or cut short. It would
        be wrong to drop members for it.
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
        """Whether the platform is about to take the VM *node* away."""
        vm = self._listed.get(node)
        return vm is not None and vm.leaving

    def is_dropped(self, node: str) -> bool:
        """Whether *node* was dropped for its absence from the list."""
        return node in self._dropped

    def strangers(self) -> list[ListedVm]:
        """Listed VMs of this failure domain that were never met."""
        return [
            vm
            for vm in self._listed.values()
            if vm.failure_domain == self._failure_domain
            and vm.node != self._node
            and vm.node not in self._members
        ]

    def listed_elsewhere(self) -> dict[str, list[gossip.NodeAddress]]:
        """Listed VMs of the other failure domains, by domain."""
        elsewhere: dict[str, list[gossip.NodeAddress]] = {}
        for vm in self._listed.values():
            if vm.failure_domain != self._failure_domain:
                address = gossip.NodeAddress(vm.node, vm.address)
                elsewhere.setdefault(vm.failure_domain, []).append(address)
        return elsewhere

    def _concerns_us(self, news: gossip.MemberUpdate) -> bool:
        if news.node == self._node or news.node in self._dropped:
            return False
        if news.profile is None:
            return not suspicion.is_present(news.state)
        return news.profile.failure_domain == self._failure_domain

    def _drop_if_long_absent(self, node: str, now_s: float) -> None:
        since_s = self._absent_since_s.setdefault(node, now_s)
        if now_s - since_s >= self._limits.absent_s:
            del self._absent_since_s[node]
            del self._members[node]
            self._dropped.add(node)
