"""Purchase allowances: replacing lost VMs while the log is down.

While the log is readable, the lease holder grants each node a few VM
names for one pool and offer. While the log is down no lease can be
trusted, so each node may order VMs under its own names and no others. The
total cost of an outage is bounded by the names that were granted. No two
nodes share a name, so two nodes can't order the same name.

Hashing assigns each lost VM to the nodes in a certain order. If a node
does not act in its turn, because it is dead or cut off from the cloud, the
next one does. In the worst case this buys one VM more than was lost, still
within the grants.
"""

import collections
import typing

import xxhash

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute import ids
from guavachute.wire import records

TURN_S = 20.0
"""How long each node may take to replace a lost VM before the next one
in the order does."""

LOG_DOWN_S = 30.0
"""The log counts as down when nothing was read from it for this long."""

NAMES_PER_NODE = 2


def grants(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    nodes: typing.Iterable[ids.NodeId],
    offers: typing.Mapping[ids.PoolName, typing.Sequence[market.OfferKey]],
) -> dict[ids.NodeId, tuple[ids.PoolName, market.OfferKey]]:
    """Return the pool and offer to grant to each node that needs one.

    A node needs a grant unless it holds an allowance whose names are all
    unused and whose pool is still in *offers*.

    :param offers: the offers in each pool's plan. The nodes are assigned
        to pools and offers round-robin, so that together they cover all
    """
    choices = _interleave_pools(offers)
    if not choices:
        return {}
    granted = {}
    for index, node in enumerate(sorted(nodes)):
        held = state.allowances.get(node)
        if held is not None and _is_fresh(state, environment, held, offers):
            continue
        granted[node] = choices[index % len(choices)]
    return granted


def names_to_order(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    node: ids.NodeId,
    listed: typing.Collection[purchases.ListedVm],
    lost_since_s: typing.Mapping[str, float],
    now_s: float,
) -> list[str]:
    """Return the VM names that *node* orders now, while the log is down.

    :param listed: the VMs that the cloud lists now
    :param lost_since_s: when this node first saw each owned VM missing or
        leaving, by VM name
    """
    own_allowance = state.allowances.get(node)
    if own_allowance is None or not _belongs_to(own_allowance, environment):
        return []
    pool_allowances = [
        allowance
        for allowance in state.allowances.values()
        if allowance.pool == own_allowance.pool
        and _belongs_to(allowance, environment)
    ]
    listed_names = {vm.name for vm in listed}
    ordered = sum(
        name in listed_names
        for allowance in pool_allowances
        for name in allowance.vm_names
    )
    due = sum(
        _is_due(name, own_allowance, pool_allowances, now_s - since_s)
        for name, since_s in lost_since_s.items()
        if _pool_of(state, name) == own_allowance.pool
    )
    lost = sum(
        _pool_of(state, name) == own_allowance.pool for name in lost_since_s
    )
    unused = [
        name
        for name in own_allowance.vm_names
        if name not in listed_names and not _is_used(state, name)
    ]
    own_ordered = sum(name in listed_names for name in own_allowance.vm_names)
    count = min(due - own_ordered, lost - ordered)
    return unused[: max(0, count)]


def lost_names(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    listed: typing.Iterable[purchases.ListedVm],
) -> set[str]:
    """Return the names of owned VMs that are gone or about to leave.

    VMs that are being drained on purpose are left out.
    """
    staying = {vm.name for vm in listed if not vm.leaving}
    prefix = purchases.name_prefix(environment)
    return {
        name
        for name, owned in state.owned_purchases.items()
        if name.startswith(prefix)
        and not owned.draining
        and name not in staying
    }


def _interleave_pools(
    offers: typing.Mapping[ids.PoolName, typing.Sequence[market.OfferKey]],
) -> list[tuple[ids.PoolName, market.OfferKey]]:
    """Return all pairs of pool and offer, alternating between the pools."""
    queues = {
        pool: collections.deque(sorted(keys, key=market.sort_key))
        for pool, keys in sorted(offers.items())
    }
    choices = []
    while any(queues.values()):
        for pool, queue in queues.items():
            if queue:
                choices.append((pool, queue.popleft()))
    return choices


def _is_fresh(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    held: records.PurchaseAllowance,
    offers: typing.Mapping[ids.PoolName, typing.Sequence[market.OfferKey]],
) -> bool:
    return (
        held.pool in offers
        and _belongs_to(held, environment)
        and not any(_is_used(state, name) for name in held.vm_names)
    )


def _belongs_to(
    allowance: records.PurchaseAllowance, environment: ids.EnvironmentName
) -> bool:
    prefix = purchases.name_prefix(environment)
    return all(name.startswith(prefix) for name in allowance.vm_names)


def _is_used(state: records.ControlState, name: str) -> bool:
    return (
        name in state.open_purchases
        or name in state.owned_purchases
        or name in state.closed_purchases
    )


def _pool_of(state: records.ControlState, name: str) -> ids.PoolName | None:
    owned = state.owned_purchases.get(name)
    return None if owned is None else owned.intent.pool


def _is_due(
    name: str,
    own_allowance: records.PurchaseAllowance,
    pool_allowances: list[records.PurchaseAllowance],
    lost_for_s: float,
) -> bool:
    """Return whether this node's turn to replace VM *name* has come."""

    def rank(allowance: records.PurchaseAllowance) -> int:
        return xxhash.xxh64_intdigest(f'{allowance.node}/{name}'.encode())

    turn = sorted(pool_allowances, key=rank).index(own_allowance)
    return lost_for_s >= turn * TURN_S
