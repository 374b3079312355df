"""State that the parts of the membership protocol of one node share.

Merges received items, refutes wrong information about this node, and
queues updates for the other members.
"""

import dataclasses
import typing

import msgspec

from guavachute.decide.members import dissemination
from guavachute.decide.members import domain_digest
from guavachute.decide.members import member_table
from guavachute.decide.members import suspicion
from guavachute.wire import gossip

STATUS_SENDS = 3
"""How many times a status or digest is passed on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send.

    :ivar to: its node is empty if only the address is known
    :ivar fresh: send on a new connection, since the present one may be
        dead
    """

    to: gossip.NodeAddress
    message: gossip.Message
    fresh: bool = False


class ProtocolState:
    """The state shared by the parts of the membership protocol.

    :param incarnation: see
        :class:`guavachute.decide.members.membership.Membership`
    :ivar profile: this node's own profile
    :ivar status: this node's own status
    :ivar table: the other members of this failure domain
    :ivar remote_domains: digests of the other failure domains
    :ivar queue: items to pass on
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        profile: gossip.Profile,
        limits: suspicion.Limits,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.profile = profile
        self.status = gossip.Status(node, incarnation, 0)
        self.limits = limits
        self.table = member_table.Table(node, profile.failure_domain, limits)
        self.remote_domains = domain_digest.RemoteDomains(
            limits.digest_stale_s
        )
        self.queue = dissemination.Queue(limits.budget_bytes)
        self._next_status_s = 0.0
        self._queue_update(self._own_update())

    @property
    def failure_domain(self) -> str:
        """The failure domain of this node."""
        return self.profile.failure_domain

    def set_profile(self, profile: gossip.Profile) -> None:
        """Change this node's profile; queues an update if it differs."""
        if profile != self.profile:
            self.profile = profile
            self._raise_incarnation(self.incarnation)

    def set_status(self, status: gossip.Status) -> None:
        """Set the status that this node reports from the next round on.

        Its node, incarnation and sequence are replaced.
        """
        self.status = msgspec.structs.replace(
            status, node=self.node, sequence=self.status.sequence
        )

    def refresh_status(self, now_s: float) -> None:
        """Queue this node's status if its interval has passed.

        The interval grows with the number of members, because messages
        carry a fixed number of statuses per second.
        """
        if now_s < self._next_status_s:
            return
        members = 1 + len(self.table.present())
        self._next_status_s = now_s + max(
            self.limits.probe_period_s, members / self.limits.statuses_per_s
        )
        self.status = msgspec.structs.replace(
            self.status,
            incarnation=self.incarnation,
            sequence=self.status.sequence + 1,
        )
        self._queue_status(self.status)

    def merge_items(self, items: gossip.Items, now_s: float) -> None:
        """Merge received *items* and queue the new ones to pass them on."""
        for update in items.updates:
            if update.node == self.node:
                self.refute(update)
            elif self.table.merge(update, now_s):
                self._queue_update(update)
        for digest in items.digests:
            self.merge_digest(digest, now_s)
        for status in items.statuses:
            if status.node != self.node and self.table.merge_status(status):
                self._queue_status(status)

    def merge_digest(self, digest: gossip.DomainDigest, now_s: float) -> None:
        """Merge the digest of another failure domain; queue it if new."""
        if digest.failure_domain == self.failure_domain:
            return
        if self.remote_domains.merge(digest, now_s):
            self.queue.put(
                dissemination.Priority.DOMAIN,
                digest.failure_domain,
                digest,
                STATUS_SENDS,
            )

    def refute(self, update: gossip.MemberUpdate) -> None:
        """Refute *update* about this node if it is wrong.

        A wrong update of the present incarnation, or any of a later one,
        raises the incarnation above it.
        """
        outdated = update.incarnation > self.incarnation
        same = update.incarnation == self.incarnation
        wrong = update.state is not gossip.MemberState.ALIVE or (
            update.profile is not None and update.profile != self.profile
        )
        if outdated or (same and wrong):
            self._raise_incarnation(update.incarnation)
        elif wrong:
            # Refuted before, but not every member received that.
            self._queue_update(self._own_update())

    def declare(
        self,
        member: member_table.Member,
        state: gossip.MemberState,
        now_s: float,
    ) -> None:
        """Set the believed state of *member* and queue the update."""
        update = gossip.MemberUpdate(
            member.node, member.incarnation, state, member.profile
        )
        if self.table.merge(update, now_s):
            self._queue_update(update)

    def requeue(self, member: member_table.Member) -> None:
        """Queue again what is believed of *member*."""
        self._queue_update(member.as_update())

    def departure(self) -> gossip.Items:
        """The update that this node stops."""
        left = gossip.MemberUpdate(
            self.node, self.incarnation, gossip.MemberState.LEFT, self.profile
        )
        return gossip.Items(updates=(left,))

    def full_state(self, now_s: float) -> gossip.Items:
        """The full state of this node: all members, digests and statuses."""
        members = list(self.table.all_members())
        return gossip.Items(
            updates=(
                self._own_update(),
                *(member.as_update() for member in members),
            ),
            digests=tuple(self.remote_domains.fresh(now_s)),
            statuses=(
                self.status,
                *(m.status for m in members if m.status is not None),
            ),
        )

    def reported_members(self) -> list[domain_digest.ReportedMember]:
        """The present members, this node first."""
        return [
            domain_digest.ReportedMember(
                self.node,
                self.profile,
                self.status,
                leaving=self._is_leaving(self.node, self.profile),
            ),
            *self._reported_others(),
        ]

    def _reported_others(
        self,
    ) -> typing.Iterator[domain_digest.ReportedMember]:
        for member in self.table.present():
            if member.profile is not None:
                yield domain_digest.ReportedMember(
                    member.node,
                    member.profile,
                    member.status,
                    suspect=member.state is gossip.MemberState.SUSPECT,
                    leaving=self._is_leaving(member.node, member.profile),
                )

    def _is_leaving(self, node: str, profile: gossip.Profile) -> bool:
        return profile.leaving or self.table.is_listed_leaving(node)

    def _raise_incarnation(self, above: int) -> None:
        self.incarnation = above + 1
        self._queue_update(self._own_update())

    def _own_update(self) -> gossip.MemberUpdate:
        return gossip.MemberUpdate(
            self.node,
            self.incarnation,
            gossip.MemberState.ALIVE,
            self.profile,
        )

    def _queue_update(self, update: gossip.MemberUpdate) -> None:
        sends = suspicion.send_count(len(self.table.present()))
        self.queue.put(
            dissemination.Priority.MEMBER, update.node, update, sends
        )

    def _queue_status(self, status: gossip.Status) -> None:
        self.queue.put(
            dissemination.Priority.STATUS, status.node, status, STATUS_SENDS
        )
