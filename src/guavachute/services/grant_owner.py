"""Node process: grants attempts of suspect requests that this node owns.

A suspect is the fingerprint of a request that may crash its endpoint. Its
owner is the node that grants its attempts, one at a time. All nodes that
know the same members choose the same owner: the first contact of the
failure domain that ranks highest for the fingerprint.
"""

from guavachute.decide import crash
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute.decide.requests import crash_grants
from guavachute.wire import gossip
from guavachute.wire import requests


class GrantOwner:
    """The crash statuses and the grants that this node keeps as an owner."""

    def __init__(self) -> None:
        self._crashes = crash.CrashRegistry()
        self._grants = crash_grants.Grants()

    def merge_notice(self, notice: requests.CrashNotice, now_s: float) -> None:
        """Merge a crash notice of any router, local or remote."""
        self._crashes.merge_notice(notice, now_s)

    def handle_request(
        self, request: requests.GrantRequest, now_s: float
    ) -> requests.GrantAnswer:
        """Grant or deny an attempt; this node must be the owner."""
        name = crash.Fingerprint(request.fingerprint)
        status = self._crashes.status(name, now_s)
        return self._grants.handle_request(request, status, now_s)

    def release(self, message: requests.GrantRelease) -> None:
        """End a granted attempt; this node must be the owner."""
        self._grants.release(message)

    def expire(self, now_s: float) -> None:
        """Discard expired statuses and grants; call it about each minute."""
        self._crashes.expire(now_s)
        self._grants.expire(now_s)


def remote_owner(
    fingerprint: str, snapshot: membership.Snapshot | None
) -> gossip.NodeAddress | None:
    """The node that owns *fingerprint*; None if this node does.

    Also None while *snapshot* is None, that is before the first snapshot
    of the membership: this node then acts as the owner.
    """
    if snapshot is None:
        return None
    contacts = {snapshot.failure_domain: _own_contact(snapshot)}
    for digest in snapshot.domains:
        if digest.contacts and digest.failure_domain not in contacts:
            contacts[digest.failure_domain] = digest.contacts[0]
    name = crash.Fingerprint(fingerprint)
    domain = crash_grants.owner(name, contacts)
    contact = None if domain is None else contacts[domain]
    if contact is None or contact.node == snapshot.node:
        return None
    return contact


def _own_contact(snapshot: membership.Snapshot) -> gossip.NodeAddress | None:
    addresses = {
        member.node: member.profile.address
        for member in snapshot.members
        if not member.suspect
    }
    nodes = domain_digest.contacts(snapshot.failure_domain, addresses, 1)
    if not nodes:
        return None
    return gossip.NodeAddress(nodes[0], addresses[nodes[0]])
