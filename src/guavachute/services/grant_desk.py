"""Node process: owns some suspects and passes on what concerns others.

The owner of a fingerprint is a node that all nodes can name: the first
contact of the failure domain that ranks highest with the fingerprint.
"""

from guavachute.decide import crash
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute.decide.requests import crash_grants
from guavachute.wire import gossip
from guavachute.wire import requests


class GrantDesk:
    """The grants and the suspicions of one node."""

    def __init__(self) -> None:
        self._book = crash.CrashBook()
        self._grants = crash_grants.Grants()

    def take(self, notice: requests.CrashNotice, now_s: float) -> None:
        """What a router, here or elsewhere, has found."""
        self._book.take(notice, now_s)

    def ask(
        self, ask: requests.GrantAsk, now_s: float
    ) -> requests.GrantAnswer:
        """Answer as the owner."""
        name = crash.Fingerprint(ask.fingerprint)
        standing = self._book.standing(name, now_s)
        return self._grants.ask(ask, standing, now_s)

    def release(self, message: requests.GrantRelease) -> None:
        """As the owner, take the end of an attempt."""
        self._grants.release(message)

    def expire(self, now_s: float) -> None:
        """Forget what is too old; call it about each minute."""
        self._book.expire(now_s)
        self._grants.expire(now_s)


def owner(
    fingerprint: str, snapshot: membership.View | None
) -> gossip.NodeAddress | None:
    """The node that owns *fingerprint*; None where that is this one."""
    if snapshot is None:
        return None
    contacts = {snapshot.failure_domain: _own_contact(snapshot)}
    for digest in snapshot.domains:
        if digest.contacts and digest.failure_domain not in contacts:
            contacts[digest.failure_domain] = digest.contacts[0]
    name = crash.Fingerprint(fingerprint)
    domain = crash_grants.owner(name, contacts)
    contact = None if domain is None else contacts[domain]
    if contact is None or contact.node == snapshot.me:
        return None
    return contact


def _own_contact(snapshot: membership.View) -> gossip.NodeAddress | None:
    addresses = {
        member.node: member.profile.address
        for member in snapshot.members
        if not member.suspect
    }
    nodes = domain_digest.contacts(snapshot.failure_domain, addresses, 1)
    if not nodes:
        return None
    return gossip.NodeAddress(nodes[0], addresses[nodes[0]])
