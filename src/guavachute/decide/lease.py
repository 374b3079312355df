"""When a process holds a lease, renews it, or may take it over.

Nobody compares clocks. The holder counts from the moment before it
first sent the record that stands in the log, a challenger from the
moment after it read that record, and the one is before the other. Each
allows for clocks that run at different rates; the holder stops a margin
before its end, so that an order sent at the last moment still arrives
in time.

A renewal that is repeated by the client after a lost answer counts from
its *first* sending, for a challenger may have read the first copy.
"""

import dataclasses

from guavachute import ids
from guavachute.wire import records

CLOCK_RATE_ERROR = 0.01
"""By which share of a span two clocks may differ."""
MARGIN_S = 0.5
"""How long an order may take from the check to its effect."""
RENEWALS_PER_DURATION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """What one process knows of one lease; times by its own clock.

    :ivar holder: this process
    :ivar stagger_s: waits so much longer than others before it
        challenges, so that not all do at once
    :ivar head: the newest record in the log, as read
    :ivar head_read_s: when it was read
    :ivar sent: when each of the own records was first sent
    """

    name: str
    holder: str
    duration_s: float
    stagger_s: float = 0.0
    head: records.LeaseHead | None = None
    head_read_s: float = float('-inf')
    sent: tuple[tuple[ids.RecordId, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The proof that a lease is held.

    :ivar fencing_number: goes along with each order
    :ivar term_offset: where the unbroken run of own records began
    :ivar valid_until_s: by the clock that was given
    """

    fencing_number: ids.Offset
    term_offset: ids.Offset
    valid_until_s: float


def observe(
    contender: Contender, head: records.LeaseHead | None, now_s: float
) -> Contender:
    """Take in the head that the fold tells; *now_s* is after the read."""
    if head == contender.head:
        return contender
    return dataclasses.replace(contender, head=head, head_read_s=now_s)


def held(contender: Contender, now_s: float) -> Held | None:
    """The proof that this process holds the lease now, if it does."""
    head = contender.head
    if head is None or head.released or head.holder != contender.holder:
        return None
    sent_s = dict(contender.sent).get(head.record_id)
    if sent_s is None:
        return None
    until_s = sent_s + usable_s(head.duration_s)
    if now_s >= until_s:
        return None
    return Held(head.offset, head.term_offset, until_s)


def usable_s(duration_s: float) -> float:
    """How long a holder may act, from the sending on."""
    return duration_s * (1 - CLOCK_RATE_ERROR) - MARGIN_S


def challenge_after_s(duration_s: float) -> float:
    """How long a challenger waits, from the reading on."""
    return duration_s * (1 + CLOCK_RATE_ERROR)


def next_action_s(contender: Contender) -> float:
    """When to acquire or renew, unless something is read before."""
    head = contender.head
    if head is None or head.released:
        free_s = contender.stagger_s + contender.head_read_s
        return max(free_s, _next_record_s(contender))
    if head.holder == contender.holder:
        return _next_record_s(contender)
    return (
        contender.head_read_s
        + challenge_after_s(head.duration_s)
        + contender.stagger_s
    )


def _next_record_s(contender: Contender) -> float:
    """One record each part of the duration, whatever became of it."""
    last_s = max((at_s for _, at_s in contender.sent), default=float('-inf'))
    return last_s + contender.duration_s / RENEWALS_PER_DURATION


def send(
    contender: Contender, record_id: ids.RecordId, now_s: float
) -> tuple[Contender, records.LeaseRecord]:
    """The record that acquires or renews; *now_s* is before sending."""
    head = contender.head
    record = records.LeaseRecord(
        record_id=record_id,
        name=contender.name,
        holder=contender.holder,
        supersedes_offset=records.NO_OFFSET if head is None else head.offset,
        duration_s=contender.duration_s,
    )
    # A record sent before that is of no use when it is read back.
    oldest_s = now_s - contender.duration_s
    sent = tuple(entry for entry in contender.sent if entry[1] > oldest_s)
    return (
        dataclasses.replace(contender, sent=(*sent, (record_id, now_s))),
        record,
    )


def release(
    contender: Contender, record_id: ids.RecordId
) -> tuple[Contender, records.LeaseRecord | None]:
    """Stop holding at once; the record, if any, tells the others."""
    head = contender.head
    forgotten = dataclasses.replace(contender, sent=())
    if head is None or head.holder != contender.holder or head.released:
        return forgotten, None
    record = records.LeaseRecord(
        record_id=record_id,
        name=contender.name,
        holder=contender.holder,
        supersedes_offset=head.offset,
        duration_s=head.duration_s,
        released=True,
    )
    return forgotten, record
