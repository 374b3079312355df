"""What this node's own connections show of its links to endpoints.

A failed connection says that the endpoint, its VM, or the link between it and
this node is broken. Only what other nodes get from the same endpoint tells
these apart, so both are kept: when this node last heard the endpoint, and
since when contacts with it fail.
"""

import dataclasses

from guavachute import ids

NEVER_S = float('-inf')


@dataclasses.dataclass(slots=True)
class _Link:
    """The contacts with one address.

    :ivar heard_s: when bytes came from it, or a connection was established
    :ivar failing_since_s: start of the first contact that failed since then
    :ivar failed_s: when the latest of these contacts failed
    """

    heard_s: float = NEVER_S
    failing_since_s: float | None = None
    failed_s: float = NEVER_S


class EndpointLinks:
    """The contacts of this node with the addresses of endpoints."""

    def __init__(self) -> None:
        self._links: dict[ids.Address, _Link] = {}
        self._any_heard_s = NEVER_S

    def record_heard(self, address: ids.Address, now_s: float) -> None:
        """Record bytes from an endpoint, or an established connection."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link()
        link.heard_s = self._any_heard_s = now_s
        link.failing_since_s = None

    def record_failure(
        self, address: ids.Address, since_s: float, now_s: float
    ) -> None:
        """Record a contact that was not established, or that broke.

        :param since_s: when the contact began, or was last known to work
        """
        link = self._links.setdefault(address, _Link())
        if link.failing_since_s is None:
            link.failing_since_s = since_s
        link.failed_s = now_s

    def heard_s(self, address: ids.Address) -> float:
        """When this node last heard the endpoint."""
        link = self._links.get(address)
        return NEVER_S if link is None else link.heard_s

    def failing_since_s(self, address: ids.Address) -> float | None:
        """Since when contacts with the endpoint fail; None if they don't."""
        link = self._links.get(address)
        return None if link is None else link.failing_since_s
