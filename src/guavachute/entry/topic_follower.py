"""Follows a keyed topic in the platform's store."""

import random
import typing

from guavachute.decide import backoff
from guavachute.domain import log_position
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import store_client
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import store

RETRY = backoff.Policy(initial_s=0.1, maximum_s=0.8)
"""Pauses between failed reads. They are short, since changes have to be known
within seconds."""

ANSWER_MARGIN_S = 0.9
"""How much longer than the requested wait the store may take to answer."""

MIN_PERIOD_S = 0.02
"""Pause between reads that find records, so that one read gets several."""


class Snapshot(typing.NamedTuple):
    """The newest record of each key, as it was read page by page.

    :ivar keys: the keys that have a record
    :ivar end: every record before it is in the snapshot, or a later one is
    :ivar next: where reading goes on
    """

    keys: set[str]
    end: ids.LogPosition
    next: ids.LogPosition


MissingKeys = typing.Callable[[Snapshot], set[str]]
"""Gives the known keys that were deleted before the end of a snapshot."""

Fold = typing.Callable[[store.KeyedRecord, bool], None]
"""Called with each record; the flag tells whether the record comes from a
snapshot."""


class TopicFollower:
    """Reads the newest record of each key of a topic, then all new records.

    Failed reads are retried until :meth:`stop`. If the records after the
    offset are gone, or the store has come back from a copy, the newest record
    of each key is read again; a key that is then missing is folded as a
    deletion, whoever told its records.

    :param wait_s: how long a read waits for new records at the store; 0 to
        read every *period_s*
    :param period_s: the pause between reads
    :param on_folded: called after one or more records were folded
    :param missing_keys: called at the end of each snapshot, if others tell
        records too; without, all known keys come from this follower
    :ivar end_offset: all records before it have been folded, in the store's
        present era; None before the first complete snapshot of the era
    :ivar last_reply_s: loop time at which the store last answered a read
    :ivar lost_since_s: loop time since which reads fail; None if they do not
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        client: store_client.StoreClient,
        topic: str,
        fold: Fold,
        on_folded: typing.Callable[[], None],
        wait_s: float,
        period_s: float = 0.0,
        missing_keys: MissingKeys | None = None,
    ) -> None:
        self._loop = loop
        self._are_records_told = missing_keys is not None
        self._missing_keys = missing_keys or (
            lambda snapshot: self._known_keys - snapshot.keys
        )
        self._client = client
        self.topic = topic
        self._fold = fold
        self._on_folded = on_folded
        self._wait_s = wait_s
        self._period_s = max(period_s, MIN_PERIOD_S)
        self._failures = 0
        self._page_keys: set[str] = set()
        self._known_keys: set[str] = set()
        self._snapshot_end: ids.Offset | None = None
        self._told_position = log_position.NO_POSITION
        self._cancel_read: typing.Callable[[], None] = lambda: None
        self._is_reading = False
        self._is_read_due = False
        self._is_stopped = False
        self._timer: entry_loop.Timer | None = None
        self.end_offset: ids.Offset | None = None
        self.last_reply_s: float | None = None
        self.lost_since_s: float | None = loop.now_s
        self.confirmed_s = float('-inf')
        """When the latest read began that has brought all there was."""
        self._is_confirming = False
        self._began_s = self._snapshot_began_s = float('-inf')
        self.on_recovered: typing.Callable[[], None] = lambda: None
        """Called when a read succeeds after failures, before its records are
        folded."""

    def start(self) -> None:
        """Start reading."""
        self._request_page(None)

    def set_intervals(self, wait_s: float, period_s: float) -> None:
        """Set the wait and the pause; if they get shorter, read at once."""
        before_s = self._wait_s + self._period_s
        self._wait_s = wait_s
        self._period_s = max(period_s, MIN_PERIOD_S)
        is_shorter = self._wait_s + self._period_s < before_s
        if is_shorter and self.end_offset is not None:
            self.read_now()

    @property
    def end_position(self) -> ids.LogPosition | None:
        """The position of :attr:`end_offset`."""
        if self.end_offset is None:
            return None
        return log_position.pack(self._client.era, self.end_offset)

    def skip_to(self, position: ids.LogPosition) -> None:
        """Skip the records before *position*, which came from a peer.

        If peers tell all records, and the first snapshot of the era is not
        read yet, the records after *position* are read behind it: a snapshot
        doesn't show what was written and deleted between.
        """
        if self._are_records_told:
            self._told_position = max(self._told_position, position)
        end = self.end_position
        if end is None or position <= end:
            return
        place = log_position.unpack(position)
        if place.era != self._client.era:
            return
        self.end_offset = place.offset
        if self._is_reading:
            # The records of the pending read are already known.
            self._cancel_read()
            self._schedule(self._period_s)

    def learn_position(self, position: ids.LogPosition) -> bool:
        """Go on from *position*, as nothing before it is unknown.

        False without effect if it brings nothing, is of another era, or a
        read has begun.
        """
        end = self.end_position
        if self._is_reading or end is None or position <= end:
            return False
        self.skip_to(position)
        return self.end_position == position

    def read_after(self, delay_s: float) -> None:
        """Read after *delay_s*; once, if called again before."""
        if not self._is_read_due:
            self._is_read_due = True
            self._loop.call_after(delay_s, self._read_due)

    def _read_due(self) -> None:
        self._is_read_due = False
        self.read_now()

    def handle_new_era(self, reads_now: bool) -> None:
        """Start again from a snapshot, as the store has lost records.

        :param reads_now: whether to read it at once, and not after the usual
            pause
        """
        if self._is_stopped:
            return
        self._cancel_read()
        self._is_reading = self._is_confirming = False
        self.end_offset = None
        self._schedule(0.0 if reads_now else self._period_s + self._wait_s)

    def read_now(self) -> None:
        """Start a read now, in place of a pending one.

        Without effect after :meth:`stop`.
        """
        if self._is_stopped:
            return
        self._cancel_read()
        if self._timer is not None:
            self._timer.cancel()
        self._read_next()

    def confirm(self) -> None:
        """Read what there is now, without waiting for new records.

        That updates :attr:`confirmed_s`, unless the store doesn't answer.
        """
        if self._is_stopped or self._is_confirming or self.end_offset is None:
            return
        self._cancel_read()
        if self._timer is not None:
            self._timer.cancel()
        self._call(
            store.read(self.topic, self.end_offset, 0.0),
            0.0,
            self._handle_records,
        )
        self._is_confirming = True

    def stop(self) -> None:
        """Stop reading, and cancel a pending read."""
        self._is_stopped = True
        self._cancel_read()
        if self._timer is not None:
            self._timer.cancel()

    def _read_next(self) -> None:
        if self.end_offset is None:
            self._request_page(None)
        else:
            self._request_records(self.end_offset)

    def _request_page(self, after_key: str | None) -> None:
        if after_key is None:
            self._snapshot_end = None
            self._page_keys = set()
            self._snapshot_began_s = self._loop.now_s
        self._call(store.newest(self.topic, after_key), 0.0, self._handle_page)

    def _request_records(self, offset: ids.Offset) -> None:
        self._call(
            store.read(self.topic, offset, self._wait_s),
            self._wait_s,
            self._handle_records,
        )

    def _call(
        self, request: store.Request, wait_s: float, done: control_client.Done
    ) -> None:
        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            self._is_reading = self._is_confirming = False
            done(reply)

        self._began_s = self._loop.now_s
        self._is_reading = True
        self._is_confirming = False
        self._cancel_read = self._client.call(
            request, handle_reply, wait_s + ANSWER_MARGIN_S
        )

    def _handle_page(
        self, reply: control_client.Reply | control_client.CallFailure
    ) -> None:
        era = self._client.era
        page = self._decode_reply(
            reply, lambda body: store.decode_newest(body, era)
        )
        if page is None:
            return
        if self._snapshot_end is None:
            # The pages are not read at one moment. Changes between them come
            # again, as reading continues from the end offset of the first
            # page.
            self._snapshot_end = page.end_offset
        for record in page.records:
            self._page_keys.add(record.key)
            if not self._is_read_again(record):
                self._fold(record, True)
        if page.next_key is not None:
            self._request_page(page.next_key)
            return
        next_offset = self._first_unread(self._snapshot_end)
        end = log_position.pack(era, self._snapshot_end)
        missing = self._missing_keys(
            Snapshot(self._page_keys, end, log_position.pack(era, next_offset))
        )
        journal.event(
            'store-read',
            outcome='snapshot',
            topic=self.topic,
            keys=len(self._page_keys),
            missing=len(missing),
            position=end,
        )
        # It was deleted by the last record at the latest. The next one may
        # be of any key, and is not known yet.
        deleted_at = ids.LogPosition(end - 1)
        for key in missing:
            self._fold(store.KeyedRecord(key, None, deleted_at), True)
        self._known_keys = self._page_keys
        self.end_offset = next_offset
        if next_offset == self._snapshot_end:
            # Only the first page shows all that was there then.
            self.confirmed_s = self._snapshot_began_s
        self._on_folded()
        self._schedule(MIN_PERIOD_S)

    @property
    def _told_offset(self) -> ids.Offset | None:
        """Up to where peers have told all records of the present era."""
        if self._told_position < 0:
            return None
        told = log_position.unpack(self._told_position)
        return told.offset if told.era == self._client.era else None

    def _first_unread(self, snapshot_end: ids.Offset) -> ids.Offset:
        """From where to read after a snapshot that ends at *snapshot_end*."""
        told_offset = self._told_offset
        if told_offset is None:
            return snapshot_end
        return min(told_offset, snapshot_end)

    def _is_read_again(self, record: store.KeyedRecord) -> bool:
        """Whether a record of a snapshot comes again, after those before it.

        The snapshot doesn't show what the key went through until then.
        """
        return (
            self._told_offset is not None
            and record.position is not None
            and record.position >= self._told_position
        )

    def _handle_records(
        self, reply: control_client.Reply | control_client.CallFailure
    ) -> None:
        if (
            isinstance(reply, control_client.Reply)
            and reply.status == store.TRIMMED_STATUS
        ):
            journal.event('store-read', outcome='trimmed', topic=self.topic)
            self.end_offset = None
            self._told_position = log_position.NO_POSITION
            self._schedule(MIN_PERIOD_S)
            return
        offset = self.end_offset
        if offset is None:
            # The store has begun a new era, and a snapshot is due.
            return
        found = self._decode_reply(
            reply, lambda body: store.decode_read(body, offset)
        )
        if found is None:
            return
        if found.end_offset < offset:
            # The topic ends before an offset up to which it was already read.
            journal.problem('store-read', outcome='gap', topic=self.topic)
            self.end_offset = None
            self._told_position = log_position.NO_POSITION
            self._schedule(MIN_PERIOD_S)
            return
        for record_offset, content in enumerate(found.records, start=offset):
            record = store.decode_keyed(
                content,
                log_position.pack(self._client.era, ids.Offset(record_offset)),
            )
            if isinstance(record, outcome.Failure):
                journal.problem(
                    'store-record', outcome=str(record), topic=self.topic
                )
                continue
            if record.value is None:
                self._known_keys.discard(record.key)
            else:
                self._known_keys.add(record.key)
            self._fold(record, False)
        if self.end_offset == offset:
            self.end_offset = found.next_offset
        if found.records:
            self._on_folded()
        if found.next_offset < found.end_offset:
            # The answer had no room for the rest.
            self._schedule(MIN_PERIOD_S)
            return
        self.confirmed_s = self._began_s
        self._schedule(self._period_s)

    def _decode_reply(
        self,
        reply: control_client.Reply | control_client.CallFailure,
        decode: typing.Callable[[bytes], typing.Any],
    ) -> typing.Any:
        """The decoded reply; None after a failure, which is retried."""
        if reply is control_client.CallFailure.OTHER_ERA:
            # A new era has scheduled a read already; a late answer has not.
            if self._timer is None or self._timer.callback is None:
                self._schedule(MIN_PERIOD_S)
            return None
        if isinstance(reply, control_client.CallFailure):
            self._handle_failure(reply.value)
            return None
        if reply.status != 200:
            self._handle_failure(f'status {reply.status}')
            return None
        decoded = decode(reply.body)
        if isinstance(decoded, outcome.Failure):
            self._handle_failure(str(decoded))
            return None
        if self.lost_since_s is not None:
            journal.event(
                'dependency',
                outcome='regained',
                dependency=f'store {self.topic}',
                lost_s=round(self._loop.now_s - self.lost_since_s, 3),
            )
            self.lost_since_s = None
            self.on_recovered()
        self._failures = 0
        self.last_reply_s = self._loop.now_s
        return decoded

    def _handle_failure(self, reason: str) -> None:
        if self.lost_since_s is None:
            self.lost_since_s = self._loop.now_s
            journal.problem(
                'dependency',
                outcome='lost',
                dependency=f'store {self.topic}',
                reason=reason,
            )
        self._failures += 1
        pause_s = backoff.delay_s(RETRY, self._failures, random.random())
        self._schedule(pause_s)

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_after(delay_s, self._read_next)
