"""Which endpoint a request goes to; owned by the relay's task."""

import dataclasses

from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.wire import tables

NO_ENDPOINT_RETRY_S = 1.0


@dataclasses.dataclass(slots=True)
class Load:
    """This router's own work at one endpoint."""

    outstanding: int = 0


class Balancer:
    """Chooses endpoints by their failure domain and outstanding work.

    :param region: this router's; endpoints elsewhere are the last choice
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._entries: dict[str, tables.EndpointEntry] = {}
        self._loads: dict[str, Load] = {}

    def update(self, view: tables.Tables) -> None:
        """Take the endpoints of new tables."""
        self._entries = {entry.endpoint: entry for entry in view.endpoints}
        self._loads = {
            endpoint: load
            for endpoint, load in self._loads.items()
            if load.outstanding or endpoint in self._entries
        }

    def choose(
        self, stream: relay_call.Stream
    ) -> tables.EndpointEntry | outcome.Failure:
        """The endpoint for the next attempt of *stream*."""
        pool = stream.call.pool
        candidates = [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and not entry.leaving
        ]
        fresh = [
            entry
            for entry in candidates
            if entry.endpoint not in stream.history.endpoints
        ]
        if not candidates:
            return outcome.Failure(
                outcome.Reason.NO_CAPACITY,
                f'no endpoint of pool {pool} is live',
                NO_ENDPOINT_RETRY_S,
            )
        return min(fresh or candidates, key=self._cost)

    def started(self, endpoint: str) -> None:
        """An attempt begins at *endpoint*."""
        self._loads.setdefault(endpoint, Load()).outstanding += 1

    def ended(self, endpoint: str) -> None:
        """An attempt at *endpoint* is over."""
        load = self._loads[endpoint]
        load.outstanding -= 1
        assert load.outstanding >= 0, endpoint
        if not load.outstanding and endpoint not in self._entries:
            del self._loads[endpoint]

    def is_leaving(self, endpoint: str) -> bool:
        """Whether *endpoint* is leaving or no longer listed."""
        entry = self._entries.get(endpoint)
        return entry is None or entry.leaving

    def _cost(self, entry: tables.EndpointEntry) -> tuple[bool, int, str]:
        load = self._loads.get(entry.endpoint, Load())
        far = entry.region != self._region
        return far, load.outstanding, entry.endpoint
