"""Follows the control stream and tells its state to subscribers.

A subscriber gets a :class:`ControlUpdate` with the present state, if
there is one yet, and then one for each batch of records. The state only
moves forward: what a source sends of records already folded is skipped,
and a state that has seen less of the log is not adopted.
"""

import dataclasses
import random
import selectors
import time
import typing

from guavachute.decide import control_log
from guavachute.decide import source_choice
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters as counters_module
from guavachute.observe import logs
from guavachute import outcome
from guavachute.platform import log_client
from guavachute.platform import log_source
from guavachute.wire import records

_log = logs.logger('log-follower')

TICK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """One record and what became of it.

    :ivar raw: the record as plain values, as other versions wrote it
    :ivar record: None when this version can't read it
    """

    offset: ids.Offset
    raw: typing.Any
    record: records.ControlRecord | None
    verdict: control_log.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ControlUpdate:
    """The state and the records that led to it from the last update.

    :ivar folded: empty where the follower took a whole state over; the
        records before that are then unknown
    :ivar received_s: by ``time.monotonic``, after the records arrived
    :ivar log_heard_s: when the log itself was last heard
    """

    state: records.ControlState
    folded: tuple[Folded, ...]
    received_s: float
    log_heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for updates."""

    subscriber: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class UseSources:
    """Replaces the sources, best first.

    :ivar peers: asked for their state when no source has any
    """

    sources: tuple[log_source.Source, ...]
    peers: tuple[log_source.Source, ...] = ()


class LogFollower(task.Task):
    """The fold of the control stream in this process.

    :param sources: where to read from, best first
    :param jitter: spreads the retries of many followers
    """

    def __init__(
        self,
        name: str,
        sources: typing.Sequence[log_source.Source],
        counters: counters_module.Counters,
        jitter: random.Random,
        peers: typing.Sequence[log_source.Source] = (),
    ) -> None:
        super().__init__(name)
        self._counters = counters
        self._jitter = jitter
        self._sources = tuple(sources)
        self._peers = tuple(peers)
        self._choice = source_choice.SourceChoice(len(self._sources))
        self._chosen: int | None = None
        self._heard_s = 0.0
        self._log_heard_s = 0.0
        self._state: records.ControlState | None = None
        self._subscribers: list[mailbox.Mailbox] = []
        self._selector = selectors.DefaultSelector()

    def subscribe(self, subscriber: mailbox.Mailbox) -> None:
        """Have updates sent to *subscriber*; from any thread."""
        self.mailbox.send(Subscribe(subscriber))

    def use_sources(
        self,
        sources: typing.Sequence[log_source.Source],
        peers: typing.Sequence[log_source.Source] = (),
    ) -> None:
        """Read from *sources* from now on; from any thread."""
        self.mailbox.send(UseSources(tuple(sources), tuple(peers)))

    def run(self) -> None:
        """Follow until stopped."""
        self._selector.register(
            self.mailbox.fileno(), selectors.EVENT_READ, self._on_mailbox
        )
        while not self.stopping.is_set():
            if self._chosen is None:
                self._connect(time.monotonic())
            for key, _ in self._selector.select(self._timeout_s()):
                key.data()
            self._check_source(time.monotonic())
        self._leave_source()
        self._selector.close()

    def _timeout_s(self) -> float:
        if self._chosen is not None:
            return TICK_S
        wait_s = self._choice.next_retry_s() - time.monotonic()
        return min(TICK_S, max(0.0, wait_s))

    def _on_mailbox(self) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, Subscribe):
                self._subscribers.append(message.subscriber)
                if self._state is not None:
                    message.subscriber.send(self._update(()))
            elif isinstance(message, UseSources):
                self._leave_source()
                self._sources = message.sources
                self._peers = message.peers
                self._choice = source_choice.SourceChoice(len(self._sources))

    # Sources

    def _connect(self, now_s: float) -> None:
        index = self._choice.choose(now_s)
        if index is None:
            return
        source = self._sources[index]
        events = source.begin(self._state)
        if isinstance(events, outcome.Failure):
            self._failed(index, events)
            if self._state is None:
                self._ask_peers()
            return
        self._chosen = index
        self._counters.add('log.source_changes')
        _log.info('following the log at {}', source.name)
        self._take(events)
        if self._chosen is not None:
            self._watch()

    def _watch(self) -> None:
        assert self._chosen is not None
        self._selector.register(
            self._sources[self._chosen].fileno(),
            selectors.EVENT_READ,
            self._on_source,
        )

    def _on_source(self) -> None:
        if self._chosen is None:
            return
        # A source may connect anew while it receives.
        self._unwatch()
        events = self._sources[self._chosen].receive()
        if isinstance(events, outcome.Failure):
            self._failed(self._chosen, events)
            return
        self._take(events)
        if self._chosen is not None:
            self._watch()

    def _check_source(self, now_s: float) -> None:
        if self._chosen is None:
            return
        source = self._sources[self._chosen]
        if now_s - self._heard_s > source.quiet_s:
            self._failed(
                self._chosen,
                outcome.Failure(outcome.Reason.UNAVAILABLE, 'went quiet'),
            )
        elif self._choice.should_return(now_s):
            self._leave_source()

    def _failed(self, index: int, failure: outcome.Failure) -> None:
        self._counters.add('log.source_failures')
        if self._chosen is not None:
            _log.notice('{} failed: {}', self._sources[index].name, failure)
        self._choice.failed(index, time.monotonic(), self._jitter.random())
        self._leave_source()
        self._sources[index].close()

    def _unwatch(self) -> None:
        keep = self.mailbox.fileno()
        for key in list(self._selector.get_map().values()):
            if key.fd != keep:
                self._selector.unregister(key.fd)

    def _leave_source(self) -> None:
        if self._chosen is not None:
            self._unwatch()
            self._sources[self._chosen].close()
            self._chosen = None

    def _ask_peers(self) -> None:
        """Take over the newest state that any peer has.

        Not the first: a peer may be cut off, and what is in force must
        not go back when this process starts again.
        """
        newest: log_source.Adopt | None = None
        for peer in self._peers:
            if self.stopping.is_set():
                return
            found = _state_of(peer)
            if found is not None and (
                newest is None
                or found.state.through_offset > newest.state.through_offset
            ):
                newest = found
        if newest is not None:
            self._counters.add('log.starts_from_peers')
            _log.notice('took the state over from a peer')
            self._take([newest])

    # The fold

    def _take(self, events: log_source.Events) -> None:
        self._heard_s = time.monotonic()
        for event in events:
            # Ages only grow on the way, so the newest hearing counts.
            self._log_heard_s = max(
                self._log_heard_s, self._heard_s - event.log_age_s
            )
            if isinstance(event, log_source.Adopt):
                self._adopt(event.state)
            elif not self._fold(event.entries):
                return
        if self._chosen is not None:
            self._check_age()

    def _check_age(self) -> None:
        assert self._chosen is not None
        age_s = self._heard_s - self._log_heard_s
        if age_s < source_choice.STALE_AFTER_S:
            self._choice.worked(self._chosen)
        elif self._choice.has_other(self._chosen, self._heard_s):
            # With nothing better to try it stays, to hear at once when
            # the log is back.
            self._failed(
                self._chosen,
                outcome.Failure(
                    outcome.Reason.UNAVAILABLE, 'is cut off from the log'
                ),
            )

    def _adopt(self, state: records.ControlState) -> None:
        if (
            self._state is not None
            and state.through_offset <= self._state.through_offset
        ):
            return
        self._state = state
        self._publish(())

    def _fold(self, entries: list[log_client.Entry]) -> bool:
        """Fold what is new; False when records are missing."""
        state = self._state
        assert state is not None, 'records came before any state'
        folded = []
        for entry in entries:
            if entry.offset <= state.through_offset:
                continue
            if entry.offset > state.through_offset + 1:
                self._counters.add('log.gaps')
                self._gap(entry.offset)
                return False
            record = self._parse(entry)
            state, verdict = control_log.fold(state, entry.offset, record)
            folded.append(Folded(entry.offset, entry.record, record, verdict))
        if folded:
            self._state = state
            self._counters.add('log.folded', len(folded))
            self._publish(tuple(folded))
        return True

    def _gap(self, offset: ids.Offset) -> None:
        if self._chosen is not None:
            self._failed(
                self._chosen,
                outcome.Failure(
                    outcome.Reason.RETENTION, f'skipped to {offset}'
                ),
            )

    def _parse(self, entry: log_client.Entry) -> records.ControlRecord | None:
        record = records.parse(entry.record)
        if isinstance(record, outcome.Failure):
            self._counters.add('log.unreadable_records')
            return None
        return record

    def _publish(self, folded: tuple[Folded, ...]) -> None:
        assert self._state is not None
        self._counters.set('log.through_offset', self._state.through_offset)
        update = self._update(folded)
        for subscriber in self._subscribers:
            subscriber.send(update)

    def _update(self, folded: tuple[Folded, ...]) -> ControlUpdate:
        assert self._state is not None
        return ControlUpdate(
            self._state, folded, time.monotonic(), self._log_heard_s
        )


def _state_of(peer: log_source.Source) -> log_source.Adopt | None:
    events = peer.begin(None)
    try:
        if isinstance(events, outcome.Failure):
            return None
        if not events:
            with selectors.DefaultSelector() as selector:
                selector.register(peer.fileno(), selectors.EVENT_READ)
                if not selector.select(peer.quiet_s):
                    return None
            events = peer.receive()
        if isinstance(events, outcome.Failure):
            return None
        adopts = [e for e in events if isinstance(e, log_source.Adopt)]
        return adopts[0] if adopts else None
    finally:
        peer.close()
