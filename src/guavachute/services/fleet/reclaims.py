"""Observes how often VMs are reclaimed in relation to their running time."""

import collections
import dataclasses

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import reclaim_rate
from guavachute.wire import records

EVENT_WINDOW_S = 30.0
"""VMs of one offer that are lost within this time count as one event."""


@dataclasses.dataclass(slots=True)
class _Event:
    since_s: float
    running: int
    lost: int = 0


class Reclaims:
    """The reclaims that this process observed.

    A new holder starts without observations, and so with the cautious
    prior, until it has observed the offers itself.

    :ivar observed: the reclaims and the running time of each offer
    """

    def __init__(self) -> None:
        self.observed: dict[market.OfferKey, reclaim_rate.Observed] = {}
        self._counted: set[str] = set()
        self._events: dict[market.OfferKey, _Event] = {}

    def record(
        self, state: records.ControlState, lost: set[str], now_s: float
    ) -> None:
        """Record the running time of owned VMs and the loss of some.

        :param lost: the names of owned VMs that are no longer listed
        """
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
            # VMs of the event's first loss are already missing from the
            # running ones.
            before = event.running + event.lost
            self.observed[key] = reclaim_rate.record_reclaims(
                seen, event.lost, before, now_s
            )
