"""The records of the platform's log, and the state that they fold into.

Records are JSON in the log and plain msgpack between nodes. Each has a
random ``record_id``: an append whose answer was lost is repeated with
the same id, so a record may be in the log more than once.

A record that changes something names the offset of the record that it
supersedes, so that all readers agree which of two competing records is
accepted; see :mod:`guavachute.decide.control.control_log`.
"""

import typing

import msgspec

from guavachute import ids
from guavachute import outcome

CONTROL_STREAM = 'control'
NO_OFFSET = ids.Offset(-1)
"""The offset that the first record of an environment or lease names as
superseded."""


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Base of all records of the control stream."""

    record_id: ids.RecordId


class ConfigurationChange(
    Record, frozen=True, kw_only=True, tag='configuration-change'
):
    """A new document for one environment.

    :ivar supersedes_offset: offset of the document that this one replaces;
        :data:`NO_OFFSET` for the first
    :ivar document: the document as plain JSON values
    :ivar author: the operator who published it, for the history
    """

    environment: ids.EnvironmentName
    supersedes_offset: ids.Offset
    document: dict[str, typing.Any]
    digest: ids.Digest
    author: str


class LeaseRecord(Record, frozen=True, kw_only=True, tag='lease'):
    """An acquisition, renewal or release of a lease.

    The record's offset is the fencing number.

    :ivar name: the name of the lease
    :ivar holder: the process that holds it, unique to each start
    :ivar supersedes_offset: offset of the newest record of this lease that
        the writer has read
    :ivar released: whether the holder has stopped acting and releases it
    """

    name: str
    holder: str
    supersedes_offset: ids.Offset
    duration_s: float
    released: bool = False


class PurchaseIntent(Record, frozen=True, kw_only=True, tag='purchase-intent'):
    """Written, and read back as accepted, before a VM is ordered.

    :ivar vm_name: the label of the order; unique to this purchase
    :ivar lease_name: the lease under which it is made
    :ivar term_offset: offset of the first record of the holder's term
    :ivar allowance: the allowance that the purchase uses, if it was made
        while the log was down and recorded afterwards; otherwise None
    :ivar why: one line for ``guavachute explain``
    """

    vm_name: str
    lease_name: str
    term_offset: ids.Offset
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    machine_class: str
    market: str
    allowance: str | None = None
    why: str = ''


PurchaseOutcome = typing.Literal['started', 'refused', 'ended']


class PurchaseResult(Record, frozen=True, kw_only=True, tag='purchase-result'):
    """The result of a purchase, whose name is never ordered again.

    After ``started`` the purchase is owned; any other result closes it.

    :ivar vm: the id that the cloud assigned, if a VM was started
    :ivar why: the reason in one line, for operators
    """

    vm_name: str
    result: PurchaseOutcome
    vm: ids.VmId | None = None
    why: str = ''


class PurchaseDrain(Record, frozen=True, kw_only=True, tag='purchase-drain'):
    """Requests that the VM of an owned purchase be drained, then ended.

    :ivar why: the reason in one line, for operators
    """

    vm_name: str
    lease_name: str
    term_offset: ids.Offset
    why: str


class PurchaseAllowance(
    Record, frozen=True, kw_only=True, tag='purchase-allowance'
):
    """VM names that one node may order while the log is down.

    A newer allowance of the same node replaces the older one. The names
    bound the cost of an outage, because no other node has them.

    :ivar allowance: the id of this allowance
    """

    allowance: str
    node: ids.NodeId
    lease_name: str
    term_offset: ids.Offset
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    machine_class: str
    market: str
    vm_names: list[str]


class RolloutChange(Record, frozen=True, kw_only=True, tag='rollout-change'):
    """The progress of a roll-out of a model's version.

    :ivar progress: ``running``, ``done`` or ``stopped``
    :ivar reason: the reason in one line, for operators
    """

    environment: ids.EnvironmentName
    model: ids.ModelName
    lease_name: str
    term_offset: ids.Offset
    old_version: str
    new_version: str
    step: int
    progress: str
    reason: str = ''


class OwnedPurchase(msgspec.Struct, frozen=True, kw_only=True):
    """A purchase whose VM was started.

    :ivar vm: the VM's id; None if the record of the start had none
    :ivar draining: why the VM is being drained; empty if it is not
    """

    intent: PurchaseIntent
    vm: ids.VmId | None
    draining: str = ''


class ConfigurationHead(msgspec.Struct, frozen=True, kw_only=True):
    """The document in force in one environment."""

    offset: ids.Offset
    record_id: ids.RecordId
    digest: ids.Digest
    document: dict[str, typing.Any]
    author: str


class LeaseHead(msgspec.Struct, frozen=True, kw_only=True):
    """The newest accepted record of one lease.

    :ivar term_offset: offset of the first record in the uninterrupted
        sequence of the holder's records
    """

    offset: ids.Offset
    term_offset: ids.Offset
    record_id: ids.RecordId
    holder: str
    duration_s: float
    released: bool = False


class ControlState(msgspec.Struct, frozen=True, kw_only=True):
    """The state that the control stream folds into up to an offset.

    The maps are never changed in place.

    :ivar through_offset: offset of the last record folded
    :ivar configurations: by environment
    :ivar leases: by name
    :ivar open_purchases: intents without a result, by VM name
    :ivar owned_purchases: purchases whose VM was started, by VM name
    :ivar closed_purchases: offset of the result, by VM name; only for
        results in a bounded range of the log
    :ivar allowances: by node
    :ivar rollouts: by environment and model, joined by a slash
    """

    through_offset: ids.Offset = NO_OFFSET
    configurations: dict[ids.EnvironmentName, ConfigurationHead] = {}
    leases: dict[str, LeaseHead] = {}
    open_purchases: dict[str, PurchaseIntent] = {}
    owned_purchases: dict[str, OwnedPurchase] = {}
    closed_purchases: dict[str, ids.Offset] = {}
    allowances: dict[ids.NodeId, PurchaseAllowance] = {}
    rollouts: dict[str, RolloutChange] = {}


class Snapshot(Record, frozen=True, kw_only=True, tag='snapshot'):
    """The fold of all records up to ``state.through_offset``.

    Records between that offset and the snapshot's own are not included.
    """

    state: ControlState


ControlRecord = (
    ConfigurationChange
    | LeaseRecord
    | PurchaseIntent
    | PurchaseResult
    | PurchaseAllowance
    | PurchaseDrain
    | RolloutChange
    | Snapshot
)


class Entry(msgspec.Struct, frozen=True):
    """A record, as plain JSON values, and its offset."""

    offset: ids.Offset
    record: typing.Any


def parse(raw: typing.Any) -> ControlRecord | outcome.Failure:
    """Convert plain JSON values to a record of the control stream."""
    try:
        return msgspec.convert(raw, ControlRecord)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
