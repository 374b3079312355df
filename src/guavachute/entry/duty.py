"""Contends for the lease of the duties, and performs them while it is held.

The duties are usage reports and orders to the cloud. The lease is a record
under one key of the system's own topic, appended on the condition that nothing
was appended since the last read. Its position plus one is the fencing token,
so no two holders share a token, and tokens only grow, also when the store has
come back from a copy and assigns offsets again. The counts to report are
decided in that record before they are sent.

When the store has come back from a copy, no earlier record is a lease. Nobody
acts until a record of the new era is read.
"""

import random
import typing

from guavachute.decide.duty import usage
from guavachute.decide import lease
from guavachute.domain import call
from guavachute.domain import log_position
from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute.entry import topic_follower
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import cloud
from guavachute.platform import store
from guavachute.wire import node_updates
from guavachute.wire import records

KEY = 'duty'
TICK_S = 0.25
CALL_TIMEOUT_S = 1.5
WRITE_TIMEOUT_S = 1.5

MAX_STAGGER_S = 1.0
"""Upper bound of the random delay after which a node contends for a free
lease."""

WRITE_PAUSE_S = 0.5
"""Minimum time between two records of one node."""

RESEND_AFTER_S = 1.0
"""A report without an answer is sent again after this."""


class DutyTask(typing.Protocol):
    """A further task of the holder, besides the usage reports."""

    def run(self, duty: 'Duty') -> None:
        """Perform the task; called several times a second while held."""


class Duty:
    """Contends for the lease, and performs the duties while it holds it.

    :param totals: gives the counts of a window, over all nodes
    :param true_time_s: gives the Unix time that the nodes agree on
    :param last_update_times_s: gives the Unix time of the latest update of
        each other node
    :param tasks: what the holder does besides usage reports; those that are
        None are left out
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        cloud_site: domain_site.Cloud,
        client: store_client.StoreClient,
        follower: topic_follower.TopicFollower,
        totals: typing.Callable[[int], usage.Counts],
        true_time_s: typing.Callable[[], float],
        last_update_times_s: typing.Callable[[], list[float]],
        *tasks: DutyTask | None,
    ) -> None:
        self._loop = loop
        self._site = site
        self._client = client
        self._follower = follower
        self._totals = totals
        self._true_time_s = true_time_s
        self._last_update_times_s = last_update_times_s
        self._tasks = [task for task in tasks if task is not None]
        self._expects_usage = cloud_site.expects_usage
        self._cloud = control_client.Client(loop, cloud_site.address)
        self._contender = lease.Contender(
            name=KEY,
            holder=f'{site.node}/{random.SystemRandom().getrandbits(40):x}',
            duration_s=site.bounds.lease_s,
            stagger_s=random.uniform(0.0, MAX_STAGGER_S),
        )
        self._record: node_updates.DutyRecord | None = None
        self._term: tuple[str, ids.Offset] | None = None
        self._decided: dict[int, usage.Counts] = {}
        self._first_reportable_window = 0
        self._is_writing = False
        self._written_at_s = float('-inf')
        self._was_held = False
        self._is_stopping = False
        self._is_contending = True
        self._confirmed: set[int] = set()
        self._report_sent_s: dict[int, float] = {}
        self._refused_fence = -1

    def start(self) -> None:
        """Start to contend, after a random delay."""
        self._loop.call_after(
            self._contender.stagger_s,
            lambda: self._loop.every(TICK_S, self._tick),
        )

    def set_contending(self, is_contending: bool) -> None:
        """Set whether to acquire a free lease, or only to renew a held one."""
        self._is_contending = is_contending

    def stop(self) -> None:
        """Stop contending; a held lease expires by itself."""
        self._is_stopping = True

    def close(self) -> None:
        """Stop contending, and close the connections to the cloud."""
        self.stop()
        self._cloud.close()

    @property
    def is_held(self) -> bool:
        """Whether this node holds the lease now."""
        return self._held() is not None

    def handle_new_era(self) -> None:
        """Give up the lease, as the store may have lost its records.

        Another holder may have decided counts that the store has lost, so this
        node does not decide windows that have ended by now, unless it is the
        one that held the lease.
        """
        now_s = self._loop.now_s
        if self._held() is None:
            self._first_reportable_window = usage.window_at(
                self._true_time_s(), self._site.bounds.usage_window_s
            )
        self._contender = lease.void(self._contender, now_s)
        self._term = None
        journal.event('duty', outcome='void', era=self._client.era)

    def fold(self, record: store.KeyedRecord) -> None:
        """Fold a record of the lease's key."""
        if record.value is None or record.position is None:
            return
        decoded = node_updates.decode_duty(record.value)
        if isinstance(decoded, outcome.Failure):
            journal.problem('duty', outcome='unreadable', reason=str(decoded))
            return
        self._decided = usage.merge_decisions(self._decided, decoded.usage)
        if decoded.era != log_position.unpack(record.position).era:
            journal.event(
                'duty',
                outcome='other-era',
                holder=decoded.holder,
                era=decoded.era,
                position=record.position,
            )
            return
        # Fencing tokens have to grow over all eras, as positions do.
        offset = ids.Offset(record.position)
        if self._term is None or self._term[0] != decoded.holder:
            self._term = (decoded.holder, offset)
            journal.event(
                'duty',
                outcome='holder',
                holder=decoded.holder,
                offset=offset,
            )
        self._record = decoded
        self._first_reportable_window = decoded.first_window
        head = records.LeaseHead(
            offset=offset,
            term_offset=self._term[1],
            record_id=ids.RecordId(decoded.record_id),
            holder=decoded.holder,
            duration_s=decoded.duration_s,
        )
        self._contender = lease.observe(
            self._contender, head, self._loop.now_s
        )

    def call_cloud(
        self, target: bytes, body: bytes, done: control_client.Done
    ) -> bool:
        """Call the cloud with the fencing token, if the lease is held now.

        Returns whether the call was sent; *done* is called only if it was.
        Nothing is sent if the cloud refused a usage report with the same
        token, as the lease has been acquired by another node.
        """
        held = self._held()
        if held is None:
            return False
        fence = held.fencing_number + 1
        if fence <= self._refused_fence:
            return False

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            is_superseded = (
                isinstance(reply, control_client.Reply)
                and reply.status == cloud.SUPERSEDED_STATUS
            )
            if is_superseded and target == cloud.USAGE_TARGET:
                self._refused_fence = max(self._refused_fence, fence)
            done(reply)

        self._cloud.call(
            b'POST',
            target,
            handle_reply,
            CALL_TIMEOUT_S,
            body=body,
            headers=[
                (b'Content-Type', call.JSON),
                *cloud.duty_headers(self._site.node, fence),
            ],
        )
        return True

    def append(
        self,
        key: str,
        value: typing.Callable[[int], bytes],
        done: control_client.Done,
    ) -> bool:
        """Append a record to the own topic, if the lease is held now.

        It is appended only if nobody has appended anything that this node
        doesn't know, so also no record of another holder. Returns whether it
        was sent; *done* is called only then. Whatever the reply is, the
        records in the topic decide.

        :param value: gives the value of the record for a fencing token
        """
        held = self._held()
        if (
            held is None
            or self._is_writing
            or self._follower.end_offset is None
            or self._follower.lost_since_s is not None
        ):
            return False
        self._is_writing = True

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            self._is_writing = False
            done(reply)
            self._follower.read_now()

        store_writer.append(
            self._client,
            self._follower.topic,
            store.KeyedRecord(key, value(held.fencing_number + 1)),
            self._follower.end_offset,
            handle_reply,
            WRITE_TIMEOUT_S,
        )
        return True

    def _held(self) -> lease.Held | None:
        return lease.held(self._contender, self._loop.now_s)

    def _tick(self) -> None:
        if self._is_stopping or self._follower.end_offset is None:
            return
        held = self._held()
        if (held is not None) != self._was_held:
            self._was_held = held is not None
            journal.event('duty', outcome='held' if held else 'not-held')
        now_s = self._loop.now_s
        if held is not None:
            self._report_usage()
            for task in self._tasks:
                task.run(self)
        is_due = now_s >= lease.next_action_s(self._contender)
        can_write = (
            (self._is_contending or held is not None)
            and not self._is_writing
            and self._follower.lost_since_s is None
            and now_s >= self._written_at_s + WRITE_PAUSE_S
        )
        if can_write and (is_due or self._has_new_decisions(held)):
            self._written_at_s = now_s
            self._write()

    # -- the lease -----------------------------------------------------

    def _has_new_decisions(self, held: lease.Held | None) -> bool:
        return held is not None and bool(self._undecided_counts())

    def _write(self) -> None:
        """Append the record that acquires, renews or extends the lease."""
        record_id = ids.RecordId(ids.new_random_id('duty'))
        self._contender, _ = lease.build_record(
            self._contender, record_id, self._loop.now_s
        )
        found = self._undecided_counts() if self._held() is not None else {}
        value = node_updates.encode(
            node_updates.DutyRecord(
                record_id=record_id,
                holder=self._contender.holder,
                duration_s=self._contender.duration_s,
                usage=usage.final_counts(self._decided, found),
                era=self._client.era,
                first_window=self._first_reportable_window,
            )
        )
        self._is_writing = True
        store_writer.append(
            self._client,
            self._follower.topic,
            store.KeyedRecord(KEY, value),
            self._follower.end_offset,
            self._handle_write_reply,
            WRITE_TIMEOUT_S,
        )

    def _handle_write_reply(
        self, reply: control_client.Reply | control_client.CallFailure
    ) -> None:
        self._is_writing = False
        if isinstance(reply, control_client.CallFailure):
            journal.event('duty', outcome='write-lost', reason=reply.value)
        elif reply.status != 200:
            journal.event('duty', outcome='write-refused', status=reply.status)
        # Whatever the reply was, the records in the topic decide.
        self._follower.read_now()

    # -- usage ---------------------------------------------------------

    def _undecided_counts(self) -> dict[int, usage.Counts]:
        """Counts of complete windows that no record has decided yet."""
        if not self._expects_usage:
            return {}
        bounds = self._site.bounds
        true_s = self._true_time_s()
        newest = max(self._decided, default=-1)
        found = {}
        for window in usage.due_windows(
            true_s,
            self._last_update_times_s(),
            bounds.usage_window_s,
            bounds.usage_delay_s,
            max(newest + 1, self._first_reportable_window),
        ):
            counts = self._totals(window)
            if counts:
                found[window] = counts
        return found

    def _report_usage(self) -> None:
        """Send the decided counts that the cloud has not confirmed."""
        if self._record is None or self._record.holder != (
            self._contender.holder
        ):
            return
        now_s = self._loop.now_s
        for window, counts in self._record.usage.items():
            if window in self._confirmed:
                continue
            if (
                now_s - self._report_sent_s.get(window, float('-inf'))
                < RESEND_AFTER_S
            ):
                continue
            self._report_sent_s[window] = now_s
            self._send_report(window, counts)

    def _send_report(self, window: int, counts: usage.Counts) -> None:
        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            answer: typing.Any = (
                reply.value
                if isinstance(reply, control_client.CallFailure)
                else reply.status
            )
            journal.event(
                'usage', outcome=answer, window=window, counts=counts
            )
            if answer == 200:
                self._confirmed.add(window)

        self.call_cloud(
            cloud.USAGE_TARGET,
            cloud.encode_usage(window, counts),
            handle_reply,
        )
