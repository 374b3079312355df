"""Which endpoints may be used, from the entries that they renew.

An entry that is deleted names an endpoint that has left. While the
store is away entries lapse too, though their endpoints live; they are
back soon after its return. For that time a deletion is not believed.
"""

import dataclasses
import typing

from guavachute.domain import endpoints
from guavachute import ids

RETURN_GRACE_S = 2.0
"""Entries that lapsed are written again within this after an outage."""


@dataclasses.dataclass(slots=True)
class EndpointTable:
    """The endpoints by id, as folded from their entries.

    :ivar entries: those that may be used or are draining
    :ivar returned_s: when the store was last back after an outage
    """

    entries: dict[ids.EndpointId, endpoints.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    returned_s: float = float('-inf')
    _pending_deletions: dict[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )

    def put(self, entry: endpoints.Endpoint) -> bool:
        """An endpoint wrote its entry; whether that changed anything."""
        self._pending_deletions.pop(entry.id, None)
        before = self.entries.get(entry.id)
        self.entries[entry.id] = entry
        return before != entry

    def delete(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """An entry is gone; whether its endpoint is taken as gone."""
        if endpoint not in self.entries:
            return False
        if now_s - self.returned_s < RETURN_GRACE_S:
            self._pending_deletions.setdefault(
                endpoint, self.returned_s + RETURN_GRACE_S
            )
            return False
        del self.entries[endpoint]
        return True

    def may_be_gone(self, endpoint: ids.EndpointId) -> bool:
        """Whether its entry is gone, which is not believed yet."""
        return endpoint in self._pending_deletions

    def expire(self, now_s: float) -> list[ids.EndpointId]:
        """Drop the lapsed entries that did not come back."""
        gone = [
            name
            for name, due_s in self._pending_deletions.items()
            if now_s >= due_s
        ]
        for name in gone:
            del self._pending_deletions[name]
            self.entries.pop(name, None)
        return gone

    def ready(
        self, service: ids.ServiceName
    ) -> typing.Iterator[endpoints.Endpoint]:
        """The endpoints of *service* that take new work."""
        for entry in self.entries.values():
            if (
                entry.service == service
                and entry.state is endpoints.EndpointState.READY
            ):
                yield entry
