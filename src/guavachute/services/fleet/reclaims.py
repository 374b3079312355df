"""Counts reclaims against the time that VMs ran, by offer."""

import collections
import dataclasses

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import reclaim_rate
from guavachute.wire import records

EVENT_WINDOW_S = 30.0
"""What is lost within this time is one event."""


@dataclasses.dataclass(slots=True)
class _Event:
    since_s: float
    running: int
    lost: int = 0


class Reclaims:
    """What was seen of each offer by this process.

    A new holder starts without observations, and so with the cautious
    prior, until it has watched for itself.
    """

    def __init__(self) -> None:
        self.observed: dict[market.OfferKey, reclaim_rate.Observed] = {}
        self._counted: set[str] = set()
        self._events: dict[market.OfferKey, _Event] = {}

    def record(
        self, state: records.ControlState, lost: set[str], now_s: float
    ) -> None:
        """Account for the owned VMs, of which *lost* are gone."""
        running = collections.Counter(
            purchases.offer_of(owned.intent)
            for name, owned in state.owned_purchases.items()
            if name not in lost
        )
        newly_lost = lost - self._counted
        self._counted = set(lost)
        for name in newly_lost:
            key = purchases.offer_of(state.owned_purchases[name].intent)
            event = self._events.setdefault(key, _Event(now_s, running[key]))
            event.lost += 1
        for key in running.keys() | self.observed.keys():
            seen = self.observed.get(key)
            if seen is None:
                seen = reclaim_rate.Observed(at_s=now_s)
            self.observed[key] = reclaim_rate.advance(
                seen, running[key], now_s
            )
        self._close_events(now_s)

    def _close_events(self, now_s: float) -> None:
        for key, event in list(self._events.items()):
            if now_s - event.since_s < EVENT_WINDOW_S:
                continue
            del self._events[key]
            if key.market is not market.Market.RECLAIMABLE:
                continue
            seen = self.observed.get(key)
            if seen is None:
                seen = reclaim_rate.Observed(at_s=now_s)
            # Those lost first are no longer among the running.
            before = event.running + event.lost
            self.observed[key] = reclaim_rate.reclaimed(
                seen, event.lost, before, now_s
            )
