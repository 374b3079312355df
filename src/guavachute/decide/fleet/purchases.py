"""Reconciles the purchases in the control log with the cloud's VM list.

The name of every VM is appended to the log before the VM is ordered, so
the name of a listed VM determines how it is handled:

- Name of an open intent: the answer to the order was lost or is still
  pending. The VM is recorded as started.
- Name of an owned purchase: the normal case. Further VMs with the same
  name are duplicates and are ended at once.
- Name in an allowance: bought while the log was unavailable. The
  purchase is recorded.
- Name of a closed purchase, or one that the log doesn't have: the VM has
  no owner and is ended.

The cloud treats names as labels, so an order that seemed lost may take
effect after it was repeated. Which of two VMs is kept depends only on
the log and on their ids, so all processes choose the same one.
"""

import collections
import dataclasses
import typing

from guavachute.decide.fleet import market
from guavachute import ids
from guavachute.wire import records

SETTLE_S = 30.0
"""How long after it was sent an order may take effect."""
UNKNOWN_GRACE_S = 120.0
"""How long a listed VM may have a name that the log doesn't have.

The record with the name may not have been read yet.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM on the cloud's list.

    :ivar name: the label under which it was ordered
    :ivar address: empty while the cloud gives none
    :ivar leaving: the cloud has announced that it will reclaim the VM
    """

    vm: ids.VmId
    name: str
    pool: ids.PoolName
    offer: market.OfferKey
    region: str = ''
    address: str = ''
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order the VM of an open intent; no VM with its name is listed."""

    intent: records.PurchaseIntent


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStarted:
    """Record that the VM of a purchase runs."""

    vm_name: str
    vm: ids.VmId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBought:
    """Record the purchase of a VM that was bought from an allowance."""

    vm_name: str
    allowance: records.PurchaseAllowance


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEnded:
    """Record that the VM of a purchase is no longer listed."""

    vm_name: str
    vm: ids.VmId | None
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndVm:
    """Request the cloud to end one VM."""

    vm: ids.VmId
    vm_name: str
    why: str


Action = Order | WriteStarted | WriteBought | WriteEnded | EndVm


def name_prefix(environment: ids.EnvironmentName) -> str:
    """The prefix of the names of all VMs of an environment."""
    return f'{environment}/'


def new_name(
    environment: ids.EnvironmentName, pool: ids.PoolName, unique: str
) -> str:
    """The name for a new purchase; *unique* is a random id."""
    return f'{name_prefix(environment)}{pool}/{unique}'


def vm_to_keep(
    listed: typing.Sequence[ListedVm], recorded: ids.VmId | None
) -> ListedVm:
    """Which of several VMs with the same name to keep.

    The recorded one if it is listed, otherwise the one with the lowest id.
    """
    for vm in listed:
        if vm.vm == recorded:
            return vm
    return min(listed, key=lambda vm: vm.vm)


def reconcile(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    listed: typing.Iterable[ListedVm],
    ordered_at_s: typing.Mapping[str, float],
    first_seen_s: typing.Mapping[ids.VmId, float],
    now_s: float,
) -> list[Action]:
    """The actions that make the log and the cloud's list agree.

    Names that belong to other environments are ignored.

    :param ordered_at_s: when this process last sent an order, by name;
        for a name that it never ordered, when it read the intent
    :param first_seen_s: when this process first saw each VM listed
    """
    by_name = _by_name(environment, listed)
    actions: list[Action] = []
    for name, vms in sorted(by_name.items()):
        actions.extend(
            _actions_for_listed(state, name, vms, first_seen_s, now_s)
        )
    prefix = name_prefix(environment)
    for name, intent in state.open_purchases.items():
        if not name.startswith(prefix) or name in by_name:
            continue
        if now_s - ordered_at_s.get(name, float('-inf')) >= SETTLE_S:
            actions.append(Order(intent))
    for name, owned in state.owned_purchases.items():
        if name.startswith(prefix) and name not in by_name:
            actions.append(
                WriteEnded(name, owned.vm, 'the cloud no longer lists it')
            )
    return actions


def _by_name(
    environment: ids.EnvironmentName, listed: typing.Iterable[ListedVm]
) -> dict[str, list[ListedVm]]:
    prefix = name_prefix(environment)
    by_name: dict[str, list[ListedVm]] = collections.defaultdict(list)
    for vm in listed:
        if vm.name.startswith(prefix):
            by_name[vm.name].append(vm)
    return by_name


def _actions_for_listed(
    state: records.ControlState,
    name: str,
    vms: list[ListedVm],
    first_seen_s: typing.Mapping[ids.VmId, float],
    now_s: float,
) -> typing.Iterator[Action]:
    if name in state.closed_purchases:
        for vm in vms:
            yield EndVm(vm.vm, name, 'its purchase is closed')
        return
    owned = state.owned_purchases.get(name)
    kept = vm_to_keep(vms, owned.vm if owned is not None else None)
    allowance = allowance_of(state, name)
    if owned is None and name in state.open_purchases:
        yield WriteStarted(name, kept.vm)
    elif owned is None and allowance is not None:
        yield WriteBought(name, allowance)
    elif owned is None:
        for vm in vms:
            seen_s = first_seen_s.get(vm.vm, now_s)
            if now_s - seen_s >= UNKNOWN_GRACE_S:
                yield EndVm(vm.vm, name, 'the log holds no such purchase')
        return
    elif owned.vm is not None and owned.vm != kept.vm:
        # The recorded VM is gone, but a duplicate still runs.
        yield WriteEnded(name, owned.vm, 'another VM has its name')
    for vm in vms:
        if vm.vm != kept.vm:
            yield EndVm(vm.vm, name, f'a duplicate of {kept.vm}')


def allowance_of(
    state: records.ControlState, name: str
) -> records.PurchaseAllowance | None:
    """The allowance that contains the VM name *name*; None without one."""
    for allowance in state.allowances.values():
        if name in allowance.vm_names:
            return allowance
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """The state of one VM or pending order, and why it exists.

    :ivar vm: None while no VM with the name is listed
    :ivar state: short text for operators, such as ``running``
    """

    vm: ids.VmId | None
    name: str
    offer: market.OfferKey
    pool: ids.PoolName
    state: str
    why: str


def explain(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    listed: typing.Iterable[ListedVm],
) -> list[Explained]:
    """One entry for each VM and pending order, sorted by pool and name."""
    by_name = _by_name(environment, listed)
    prefix = name_prefix(environment)
    lines = []
    for name, vms in by_name.items():
        owned = state.owned_purchases.get(name)
        kept = vm_to_keep(vms, owned.vm if owned is not None else None)
        for vm in vms:
            status, why = _status(state, name, vm, vm is kept)
            lines.append(
                Explained(vm.vm, name, vm.offer, vm.pool, status, why)
            )
    for name, intent in state.open_purchases.items():
        if name.startswith(prefix) and name not in by_name:
            lines.append(
                Explained(
                    None,
                    name,
                    offer_of(intent),
                    intent.pool,
                    'ordered',
                    intent.why,
                )
            )
    lines.sort(key=lambda line: (line.pool, line.name, line.vm or ''))
    return lines


def offer_of(intent: records.PurchaseIntent) -> market.OfferKey:
    """The offer that an intent buys."""
    return market.OfferKey(
        intent.failure_domain,
        intent.machine_class,
        market.Market(intent.market),
    )


def started_record(vm_name: str, vm: ids.VmId) -> records.PurchaseResult:
    """The record which states that the VM of an intent runs."""
    return records.PurchaseResult(
        record_id=ids.RecordId(f'started/{vm_name}/{vm}'),
        vm_name=vm_name,
        result='started',
        vm=vm,
    )


def closing_record(
    vm_name: str,
    result: records.PurchaseOutcome,
    why: str,
    vm: ids.VmId | None = None,
) -> records.PurchaseResult:
    """The record that closes a purchase."""
    return records.PurchaseResult(
        record_id=ids.RecordId(f'{result}/{vm_name}'),
        vm_name=vm_name,
        result=result,
        vm=vm,
        why=why,
    )


def bought_record(
    vm_name: str, allowance: records.PurchaseAllowance
) -> records.PurchaseIntent:
    """The intent for a VM that was bought while the log was unavailable."""
    return records.PurchaseIntent(
        record_id=ids.RecordId(f'bought/{vm_name}'),
        vm_name=vm_name,
        lease_name=allowance.lease_name,
        term_offset=allowance.term_offset,
        pool=allowance.pool,
        failure_domain=allowance.failure_domain,
        machine_class=allowance.machine_class,
        market=allowance.market,
        allowance=allowance.allowance,
        why=f'bought by {allowance.node} while the log was down',
    )


def _status(
    state: records.ControlState, name: str, vm: ListedVm, is_kept: bool
) -> tuple[str, str]:
    owned = state.owned_purchases.get(name)
    if name in state.closed_purchases:
        return 'to be ended', 'its purchase is closed'
    if not is_kept:
        return 'to be ended', 'another VM was started for the same order'
    if owned is not None:
        if owned.draining:
            return 'draining', owned.draining
        status = 'leaving' if vm.leaving else 'running'
        return status, owned.intent.why
    intent = state.open_purchases.get(name)
    if intent is not None:
        return 'started, not yet recorded', intent.why
    allowance = allowance_of(state, name)
    if allowance is not None:
        return (
            'started, not yet recorded',
            f'bought by {allowance.node} while the log was down',
        )
    return 'to be ended', 'the log holds no such purchase'
