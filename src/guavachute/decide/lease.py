"""Decides when a process holds a lease, renews it or can take it over.

The clocks of processes are not compared. The holder measures the
duration from before it first sent the record that is in the log, a
challenger from after it read that record, which is later. Both allow
for clocks that run at different rates. The holder stops a margin before
the end, so that an order sent at the last moment still arrives in time.

A renewal that the client repeats after a lost answer counts from its
*first* sending, since a challenger may have read the first copy.
"""

import dataclasses

from guavachute import ids
from guavachute.wire import records

CLOCK_RATE_ERROR = 0.01
"""Largest relative difference between the rates of two clocks."""
MARGIN_S = 0.5
"""Longest time from the check of the lease to the effect of an order."""
RENEWALS_PER_DURATION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """The state of one process that contends for a lease.

    All times are by the clock of this process.

    :ivar name: of the lease
    :ivar holder: identifies this process
    :ivar duration_s: of the lease when this process holds it
    :ivar stagger_s: added to the wait before a challenge, so that not
        all processes challenge at once
    :ivar head: the latest record in the log, as read
    :ivar head_read_s: when *head* was first read
    :ivar sent: for each of the own records, when it was first sent
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
    """Proof that this process holds a lease.

    :ivar fencing_number: sent with each order; a higher one supersedes it
    :ivar term_offset: offset of the first record of this unbroken tenure
    :ivar valid_until_s: by the clock of this process
    """

    fencing_number: ids.Offset
    term_offset: ids.Offset
    valid_until_s: float


def observe(
    contender: Contender, head: records.LeaseHead | None, now_s: float
) -> Contender:
    """Apply the latest record of the log.

    :param head: the folded state of the lease; None without a record
    :param now_s: a time after the log was read
    """
    if head == contender.head:
        return contender
    return dataclasses.replace(contender, head=head, head_read_s=now_s)


def held(contender: Contender, now_s: float) -> Held | None:
    """Proof that this process holds the lease now, or None."""
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


def void(contender: Contender, now_s: float) -> Contender:
    """Discard the records of the lease, which the log has lost.

    Another process may hold the lease by a lost record, for as long as a
    challenger would wait. A process that holds it now need not wait: all
    others do, from when they learnt of the loss.
    """
    was_held = held(contender, now_s) is not None
    wait_s = 0.0 if was_held else challenge_after_s(contender.duration_s)
    return dataclasses.replace(
        contender, head=None, head_read_s=now_s + wait_s, sent=()
    )


def usable_s(duration_s: float) -> float:
    """How long a holder may act after it sent its record."""
    return duration_s * (1 - CLOCK_RATE_ERROR) - MARGIN_S


def challenge_after_s(duration_s: float) -> float:
    """How long a challenger waits after it read the holder's record."""
    return duration_s * (1 + CLOCK_RATE_ERROR)


def next_action_s(contender: Contender) -> float:
    """When to acquire or renew, unless a new record is read before."""
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
    """When the next record can be sent, whatever the last one's result.

    :data:`RENEWALS_PER_DURATION` records are sent per duration.
    """
    last_s = max((at_s for _, at_s in contender.sent), default=float('-inf'))
    return last_s + contender.duration_s / RENEWALS_PER_DURATION


def build_record(
    contender: Contender, record_id: ids.RecordId, now_s: float
) -> tuple[Contender, records.LeaseRecord]:
    """Build the record that acquires or renews the lease.

    The caller appends it to the log.

    :param now_s: a time before the record is sent
    """
    head = contender.head
    record = records.LeaseRecord(
        record_id=record_id,
        name=contender.name,
        holder=contender.holder,
        supersedes_offset=records.NO_OFFSET if head is None else head.offset,
        duration_s=contender.duration_s,
    )
    # A record that was sent before this has expired when it is read back.
    oldest_s = now_s - contender.duration_s
    sent = tuple(entry for entry in contender.sent if entry[1] > oldest_s)
    return (
        dataclasses.replace(contender, sent=(*sent, (record_id, now_s))),
        record,
    )


def release(
    contender: Contender, record_id: ids.RecordId
) -> tuple[Contender, records.LeaseRecord | None]:
    """Stop holding the lease at once.

    Returns the record that releases it in the log, or None if the log
    doesn't name this process as the holder.
    """
    head = contender.head
    stopped = dataclasses.replace(contender, sent=())
    if head is None or head.holder != contender.holder or head.released:
        return stopped, None
    record = records.LeaseRecord(
        record_id=record_id,
        name=contender.name,
        holder=contender.holder,
        supersedes_offset=head.offset,
        duration_s=head.duration_s,
        released=True,
    )
    return stopped, record
