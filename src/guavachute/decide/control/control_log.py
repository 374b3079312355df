"""The fold of the control stream into the state that all nodes share.

The log has no conditional append. Instead, a change names the offset of
the record that it supersedes, and the fold accepts the change only while
that record is still the head. The fold is deterministic, so all readers
accept the same changes.

Heads only move forward, so a record that was refused or superseded is
refused forever. Duplicates of configuration changes and lease records
are therefore harmless without keeping their record ids. Purchases have
no head. The name of a closed purchase is kept for
:data:`REMEMBERED_OFFSETS` offsets, which bounds the size of the state. A
later duplicate opens the intent again; the lease holder lists the VMs by
name before it orders, finds the VM and closes the purchase once more.

A purchase whose VM runs is owned. It is kept until the VM has ended,
however long that takes, because a VM without a purchase is ended.

The fold doesn't validate documents: nodes of different versions could
reach different results and would then disagree on the state.
"""

import enum
import functools
import typing

import msgspec

from guavachute import ids
from guavachute.wire import records

REMEMBERED_OFFSETS = 10_000
"""For how many offsets the names of closed purchases are kept."""

State = records.ControlState


class Verdict(enum.Enum):
    """How the fold treated a record."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    """Another record came first, or the writer's lease has ended."""
    DUPLICATE = 'duplicate'
    IGNORED = 'ignored'
    """A snapshot or an unreadable record, which changes nothing."""


Folded = tuple[State, Verdict]


def fold(
    state: State,
    offset: ids.Offset,
    record: records.ControlRecord | None,
) -> Folded:
    """The state after the record at *offset*, and the record's verdict.

    The maps in *state* aren't changed in place.

    :param offset: must follow directly on ``state.through_offset``
    :param record: None for a record that this version can't read
    """
    assert offset == state.through_offset + 1, (
        f'offset is {offset}, expected {state.through_offset + 1}'
    )
    state, verdict = _apply(record, state, offset)
    return msgspec.structs.replace(state, through_offset=offset), verdict


@functools.singledispatch
def _apply(record: typing.Any, state: State, offset: ids.Offset) -> Folded:
    return state, Verdict.IGNORED


@_apply.register
def _(
    record: records.ConfigurationChange, state: State, offset: ids.Offset
) -> Folded:
    head = state.configurations.get(record.environment)
    if head is not None and head.record_id == record.record_id:
        return state, Verdict.DUPLICATE
    if record.supersedes_offset != offset_of(head):
        return state, Verdict.REFUSED
    new_head = records.ConfigurationHead(
        offset=offset,
        record_id=record.record_id,
        digest=record.digest,
        document=record.document,
        author=record.author,
    )
    configurations = state.configurations | {record.environment: new_head}
    return (
        msgspec.structs.replace(state, configurations=configurations),
        Verdict.ACCEPTED,
    )


@_apply.register
def _(record: records.LeaseRecord, state: State, offset: ids.Offset) -> Folded:
    head = state.leases.get(record.name)
    if head is not None and head.record_id == record.record_id:
        return state, Verdict.DUPLICATE
    if record.supersedes_offset != offset_of(head):
        return state, Verdict.REFUSED
    new_head = records.LeaseHead(
        offset=offset,
        term_offset=_term_of(head, record, offset),
        record_id=record.record_id,
        holder=record.holder,
        duration_s=record.duration_s,
        released=record.released,
    )
    leases = state.leases | {record.name: new_head}
    return msgspec.structs.replace(state, leases=leases), Verdict.ACCEPTED


@_apply.register
def _(
    record: records.PurchaseIntent, state: State, offset: ids.Offset
) -> Folded:
    if record.vm_name in state.closed_purchases:
        return state, Verdict.DUPLICATE
    if record.vm_name in state.open_purchases:
        return state, Verdict.DUPLICATE
    if record.vm_name in state.owned_purchases:
        return state, Verdict.DUPLICATE
    if not _can_purchase(state, record):
        return state, Verdict.REFUSED
    purchases = state.open_purchases | {record.vm_name: record}
    return (
        msgspec.structs.replace(state, open_purchases=purchases),
        Verdict.ACCEPTED,
    )


@_apply.register
def _(
    record: records.PurchaseResult, state: State, offset: ids.Offset
) -> Folded:
    name = record.vm_name
    if name in state.closed_purchases:
        return state, Verdict.DUPLICATE
    still_open = _without(state.open_purchases, name)
    owned = _without(state.owned_purchases, name)
    closed = state.closed_purchases
    intent = state.open_purchases.get(name)
    if record.result == 'started':
        if intent is None:
            return state, Verdict.DUPLICATE
        owned[name] = records.OwnedPurchase(intent=intent, vm=record.vm)
    else:
        closed = _with_closed(closed, name, offset)
    new_state = msgspec.structs.replace(
        state,
        open_purchases=still_open,
        owned_purchases=owned,
        closed_purchases=closed,
    )
    return new_state, Verdict.ACCEPTED


@_apply.register
def _(
    record: records.PurchaseAllowance, state: State, offset: ids.Offset
) -> Folded:
    held = state.allowances.get(record.node)
    if held is not None and held.record_id == record.record_id:
        return state, Verdict.DUPLICATE
    if not _in_term(state, record.lease_name, record.term_offset):
        return state, Verdict.REFUSED
    allowances = state.allowances | {record.node: record}
    return (
        msgspec.structs.replace(state, allowances=allowances),
        Verdict.ACCEPTED,
    )


@_apply.register
def _(
    record: records.PurchaseDrain, state: State, offset: ids.Offset
) -> Folded:
    held = state.owned_purchases.get(record.vm_name)
    if held is None or not _in_term(
        state, record.lease_name, record.term_offset
    ):
        return state, Verdict.REFUSED
    if held.draining:
        return state, Verdict.DUPLICATE
    drained = msgspec.structs.replace(held, draining=record.why)
    owned = state.owned_purchases | {record.vm_name: drained}
    return (
        msgspec.structs.replace(state, owned_purchases=owned),
        Verdict.ACCEPTED,
    )


@_apply.register
def _(
    record: records.RolloutChange, state: State, offset: ids.Offset
) -> Folded:
    if not _in_term(state, record.lease_name, record.term_offset):
        return state, Verdict.REFUSED
    name = f'{record.environment}/{record.model}'
    held = state.rollouts.get(name)
    if held is not None and held.record_id == record.record_id:
        return state, Verdict.DUPLICATE
    if held is not None and held.new_version == record.new_version:
        # A late duplicate must not return to an earlier step or undo a
        # stop.
        if held.progress == 'stopped' or record.step < held.step:
            return state, Verdict.REFUSED
    rollouts = state.rollouts | {name: record}
    return (
        msgspec.structs.replace(state, rollouts=rollouts),
        Verdict.ACCEPTED,
    )


Value = typing.TypeVar('Value')


def _without(values: dict[str, Value], name: str) -> dict[str, Value]:
    return {key: value for key, value in values.items() if key != name}


def _with_closed(
    closed: dict[str, ids.Offset], name: str, offset: ids.Offset
) -> dict[str, ids.Offset]:
    oldest = offset - REMEMBERED_OFFSETS
    kept = {
        each: closed_at
        for each, closed_at in closed.items()
        if closed_at >= oldest
    }
    kept[name] = offset
    return kept


def offset_of(
    head: records.ConfigurationHead | records.LeaseHead | None,
) -> ids.Offset:
    """The offset that a change superseding *head* must name."""
    return records.NO_OFFSET if head is None else head.offset


def _term_of(
    head: records.LeaseHead | None,
    record: records.LeaseRecord,
    offset: ids.Offset,
) -> ids.Offset:
    # A release ends the term. If the same holder acquires the lease
    # again, records of the earlier term must no longer be valid.
    if head is None or head.released or head.holder != record.holder:
        return offset
    return head.term_offset


def _in_term(state: State, lease_name: str, term_offset: ids.Offset) -> bool:
    head = state.leases.get(lease_name)
    return (
        head is not None
        and head.term_offset == term_offset
        and not head.released
    )


def _can_purchase(state: State, record: records.PurchaseIntent) -> bool:
    if record.allowance is None:
        return _in_term(state, record.lease_name, record.term_offset)
    # Bought while the log was unavailable and recorded now. The lease may
    # have a new holder, so the VM name must be in an allowance instead.
    return any(
        allowance.allowance == record.allowance
        and record.vm_name in allowance.vm_names
        for allowance in state.allowances.values()
    )


def newest(one: State, other: State) -> State:
    """The state that has folded more of the log."""
    return other if other.through_offset > one.through_offset else one
