"""The endpoints that can be used, from their entries in the store.

Endpoints renew their entries. A deleted entry means that the endpoint
has left. During an outage of the store, entries of live endpoints
expire as well; the endpoints write them again soon after the outage.
Deletions in that time are therefore applied only after a grace period.
"""

import dataclasses
import typing

from guavachute.domain import endpoints
from guavachute import ids

RETURN_GRACE_S = 2.0
"""After an outage, live endpoints write their entries again within this."""


@dataclasses.dataclass(slots=True)
class EndpointTable:
    """The endpoints by id, folded from the entries in the store.

    :ivar entries: endpoints that can be used or are draining
    :ivar store_returned_s: when the latest outage of the store ended
    """

    entries: dict[ids.EndpointId, endpoints.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    store_returned_s: float = float('-inf')
    _pending_deletions: dict[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )

    def put(self, entry: endpoints.Endpoint) -> bool:
        """Add or replace an entry; True if it differs from the last one."""
        self._pending_deletions.pop(entry.id, None)
        before = self.entries.get(entry.id)
        self.entries[entry.id] = entry
        return before != entry

    def delete(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Apply the deletion of an entry; True if it is removed.

        False if there is none, or if its removal has to wait for the
        grace period after an outage of the store.
        """
        if endpoint not in self.entries:
            return False
        if now_s - self.store_returned_s < RETURN_GRACE_S:
            self._pending_deletions.setdefault(
                endpoint, self.store_returned_s + RETURN_GRACE_S
            )
            return False
        del self.entries[endpoint]
        return True

    def is_deletion_pending(self, endpoint: ids.EndpointId) -> bool:
        """Whether its entry was deleted within the grace period."""
        return endpoint in self._pending_deletions

    def expire(self, now_s: float) -> list[ids.EndpointId]:
        """Remove deleted entries whose grace period has ended.

        Returns the ids of their endpoints.
        """
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
        """The endpoints of *service* that accept new requests."""
        for entry in self.entries.values():
            if (
                entry.service == service
                and entry.state is endpoints.EndpointState.READY
            ):
                yield entry
