"""Reads VMs, reclaim notices and prices from the cloud when due.

The list of all VMs is long in a large fleet, so it is read often only
while changes are in progress and when a reclaim notice has arrived.
"""

import typing

from guavachute.clients import cloud_client
from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import intents

OFFERS_EVERY_S = 30.0
NOTICES_EVERY_S = 2.0


class CloudState:
    """The newest list of VMs and prices; used by the fleet's task only.

    :ivar listed: the newest list; None if there is none or if it was
        discarded
    :ivar prices: the newest prices in cents per hour; kept if a later
        read fails
    """

    def __init__(
        self, client: cloud_client.CloudClient, count: counters.Counters
    ) -> None:
        self._client = client
        self._count = count
        self.listed: typing.Sequence[purchases.ListedVm] | None = None
        self.prices: dict[market.OfferKey, float] = {}
        self._listed_at_s = float('-inf')
        self._prices_at_s = float('-inf')
        self._notices_at_s = float('-inf')
        self._next_notice = 0

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def discard_list(self) -> None:
        """Discard the list, so that the next read is due at once."""
        self.listed = None
        self._listed_at_s = float('-inf')

    def read_list_if_due(
        self, now_s: float, interval_s: float
    ) -> typing.Sequence[purchases.ListedVm] | None:
        """Read and return the list; None if it wasn't due or failed.

        The list is due after *interval_s*, and at once when a reclaim
        notice has arrived.

        :param interval_s: how old the last list may become
        """
        due = now_s - self._listed_at_s >= interval_s
        if not self._has_new_notices(now_s) and not due:
            return None
        listed = self._client.vms()
        if isinstance(listed, outcome.Failure):
            self._count.add('fleet.list_failed')
            return None
        self._count.add('fleet.lists')
        self._listed_at_s = now_s
        self.listed = listed
        return listed

    def refresh_prices(self, now_s: float) -> None:
        """Read the prices if the last ones are ``OFFERS_EVERY_S`` old."""
        if now_s - self._prices_at_s < OFFERS_EVERY_S:
            return
        offers = self._client.offers()
        if isinstance(offers, outcome.Failure):
            self._count.add('fleet.offers_failed')
            return
        self._prices_at_s = now_s
        self.prices = intents.prices_by_offer(offers)

    def _has_new_notices(self, now_s: float) -> bool:
        if now_s - self._notices_at_s < NOTICES_EVERY_S:
            return False
        self._notices_at_s = now_s
        page = self._client.notices(self._next_notice)
        if isinstance(page, outcome.Failure):
            self._count.add('fleet.notices_failed')
            return False
        # Stored even if it is lower: a cloud service that was replaced
        # numbers its notices from the start.
        self._next_notice = page.next
        return bool(page.notices)
