"""Creates the records that must be in the log before a VM is ordered.

These are the purchase intents of a plan and the nodes' allowances, from
which VMs are bought while the log is down.
"""

import typing

from guavachute.clients import cloud_client
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.decide.requests import allowances
from guavachute import ids
from guavachute.services.fleet import messages
from guavachute.wire import records

GRANT_INTERVAL_S = 60.0
"""The shortest time between two allowances for one node."""


def intents_of_plan(
    plan: fleet_plan.FleetPlan,
    environment: ids.EnvironmentName,
    held: messages.HeldLease,
) -> list[records.PurchaseIntent]:
    """Return an intent for each VM that *plan* starts, with a new name."""
    decisions = {each.pool: each for each in plan.decisions}
    intents = []
    for start in plan.starts:
        decision = decisions[start.pool]
        intents.append(
            records.PurchaseIntent(
                record_id=ids.RecordId(ids.new_random_id('intent')),
                vm_name=_new_name(environment, start.pool),
                lease_name=held.name,
                term_offset=held.term_offset,
                pool=start.pool,
                failure_domain=start.offer.failure_domain,
                machine_class=start.offer.machine_class,
                market=start.offer.market.value,
                why=_why(decision, start.offer),
            )
        )
    return intents


def prices_by_offer(
    offers: typing.Iterable[cloud_client.OfferEntry],
) -> dict[market.OfferKey, float]:
    """Return the price of each offer, in cents per hour."""
    return {
        market.OfferKey(
            ids.FailureDomain(offer.failure_domain),
            offer.machine_class,
            offer.market,
        ): offer.price_cents_per_hour
        for offer in offers
    }


class AllowanceGrants:
    """Creates the records of allowances.

    A node gets at most one in :data:`GRANT_INTERVAL_S`, which leaves
    time to read the record back.
    """

    def __init__(self, environment: ids.EnvironmentName) -> None:
        self._environment = environment
        self._granted_s: dict[ids.NodeId, float] = {}

    def due_allowances(
        self,
        plan: fleet_plan.FleetPlan,
        state: records.ControlState,
        nodes: typing.Iterable[ids.NodeId],
        held: messages.HeldLease,
        now_s: float,
    ) -> typing.Iterator[records.PurchaseAllowance]:
        """Yield the allowances to write now.

        :param nodes: the live entry nodes
        """
        offers = {
            decision.pool: list(decision.plan.counts)
            for decision in plan.decisions
        }
        grants = allowances.grants(state, self._environment, nodes, offers)
        for node, (pool, offer) in grants.items():
            granted_s = self._granted_s.get(node, float('-inf'))
            if now_s - granted_s < GRANT_INTERVAL_S:
                continue
            self._granted_s[node] = now_s
            yield self._allowance(node, pool, offer, held)

    def _allowance(
        self,
        node: ids.NodeId,
        pool: ids.PoolName,
        offer: market.OfferKey,
        held: messages.HeldLease,
    ) -> records.PurchaseAllowance:
        unique = ids.new_random_id('allowance')
        return records.PurchaseAllowance(
            record_id=ids.RecordId(unique),
            allowance=unique,
            node=node,
            lease_name=held.name,
            term_offset=held.term_offset,
            pool=pool,
            failure_domain=offer.failure_domain,
            machine_class=offer.machine_class,
            market=offer.market.value,
            vm_names=[
                _new_name(self._environment, pool)
                for _ in range(allowances.NAMES_PER_NODE)
            ],
        )


def _new_name(environment: ids.EnvironmentName, pool: ids.PoolName) -> str:
    return purchases.new_name(environment, pool, ids.new_random_id('vm'))


def _why(decision: fleet_plan.PoolDecision, offer: market.OfferKey) -> str:
    held = decision.held.get(offer, 0)
    desired = decision.plan.counts[offer]
    return (
        f'{held} of {desired} held there, for '
        f'{decision.need.tokens_per_s:.0f} tokens/s: {decision.plan.reason}'
    )
