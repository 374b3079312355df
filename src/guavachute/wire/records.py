"""The records of the platform's log, and the state that they fold into.

Records are JSON in the log and plain msgpack between nodes. Each has a
random ``record_id``: an append whose answer was lost is repeated with
the same id, so a record may stand in the log more than once.

A record that changes something names what it supersedes by offset, so
that every reader decides alike which of two rivals came first; see
:mod:`guavachute.decide.control.control_log`.
"""

import typing

import msgspec

from guavachute import ids
from guavachute import outcome

CONTROL_STREAM = 'control'
NO_OFFSET = ids.Offset(-1)
"""Superseded by the first change of an environment or lease."""


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """What all records have in common."""

    record_id: ids.RecordId


class ConfigurationChange(
    Record, frozen=True, kw_only=True, tag='configuration-change'
):
    """A document for one environment.

    :ivar supersedes_offset: where the document stands that this one
        replaces; :data:`NO_OFFSET` for the first
    :ivar document: as plain JSON values
    :ivar author: the operator, for the history
    """

    environment: ids.EnvironmentName
    supersedes_offset: ids.Offset
    document: dict[str, typing.Any]
    digest: ids.Digest
    author: str


class LeaseRecord(Record, frozen=True, kw_only=True, tag='lease'):
    """An acquisition, renewal or release of a lease.

    Its offset is the fencing number.

    :ivar name: what is leased
    :ivar holder: the process that holds it, unique to each start
    :ivar supersedes_offset: the newest record of this lease that the
        writer has read
    :ivar released: the holder has stopped acting and gives it up
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
    :ivar term_offset: where the holder's term began
    :ivar allowance: the allowance that it draws on, when it was made
        while the log was down and is written down afterwards
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


PurchaseEnd = typing.Literal['started', 'refused', 'ended']


class PurchaseResult(Record, frozen=True, kw_only=True, tag='purchase-result'):
    """What became of a purchase; its name is never ordered again.

    After ``started`` the purchase is owned; any other result closes it.

    :ivar vm: the id that the cloud gave, when one was started
    :ivar why: one line for people
    """

    vm_name: str
    result: PurchaseEnd
    vm: ids.VmId | None = None
    why: str = ''


class PurchaseDrain(Record, frozen=True, kw_only=True, tag='purchase-drain'):
    """The VM of an owned purchase is to be drained, then ended.

    :ivar why: one line for people
    """

    vm_name: str
    lease_name: str
    term_offset: ids.Offset
    why: str


class PurchaseAllowance(
    Record, frozen=True, kw_only=True, tag='purchase-allowance'
):
    """Names that one node may order while the log is down.

    A newer allowance of the same node replaces the older one. The
    names bound the bill of an outage: no other node has them.

    :ivar allowance: names this allowance
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
    """Where the roll-out of a model's version stands.

    :ivar progress: ``running``, ``done`` or ``stopped``
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
    """A purchase whose VM runs.

    :ivar vm: None when the record that it runs didn't say
    :ivar draining: why it is being drained; empty while it isn't
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

    :ivar term_offset: where the holder's unbroken run of records began
    """

    offset: ids.Offset
    term_offset: ids.Offset
    record_id: ids.RecordId
    holder: str
    duration_s: float
    released: bool = False


class ControlState(msgspec.Struct, frozen=True, kw_only=True):
    """What all records of the control stream up to a place fold into.

    The maps are never changed in place.

    :ivar through_offset: the last record folded
    :ivar configurations: by environment
    :ivar leases: by name
    :ivar open_purchases: intents without a result, by VM name
    :ivar owned_purchases: those whose VM runs, by VM name
    :ivar closed_purchases: offset of the result, by VM name, for a
        bounded stretch of the log
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

    It lags: records between that offset and its own are not in it.
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
    """A record, as plain JSON values, and its place."""

    offset: ids.Offset
    record: typing.Any


def parse(raw: typing.Any) -> ControlRecord | outcome.Failure:
    """A record of the control stream from its plain JSON values."""
    try:
        return msgspec.convert(raw, ControlRecord)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
