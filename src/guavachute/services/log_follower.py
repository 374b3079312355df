"""Follows the control stream and publishes its state to subscribers.

A subscriber receives a :class:`ControlUpdate` with the current state, if
there is one yet, and then one for each batch of records. The state only
moves forward: records already folded are skipped, and a state that is
older than the current one is not adopted.
"""

import dataclasses
import random
import selectors
import typing

from guavachute.clients import log_source
from guavachute.decide.control import control_reader
from guavachute.decide.control import source_choice
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters as counters_module
from guavachute.observe import logs
from guavachute import outcome
from guavachute.wire import records

_log = logs.logger('log-follower')

CHECK_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlUpdate:
    """The state and the records folded into it since the last update.

    :ivar folded: empty where the follower adopted a complete state; the
        records that led to it are then unknown
    :ivar received_s: by ``clock.now_s``, after the records arrived
    :ivar log_contact_s: time of the last contact with the log itself,
        also through relays, by ``clock.now_s``
    :ivar first_retained_offset: of the log; 0 while it is unknown
    """

    state: records.ControlState
    folded: tuple[control_reader.Folded, ...]
    received_s: float
    log_contact_s: float
    first_retained_offset: ids.Offset = ids.Offset(0)


@dataclasses.dataclass(frozen=True, slots=True)
class LogContact:
    """Reports contact with the log, also where no record is new.

    :ivar log_contact_s: as in :class:`ControlUpdate`
    """

    log_contact_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Adds *subscriber* to the receivers of updates."""

    subscriber: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class UseSources:
    """Replaces the sources, best first.

    :ivar peers: their states are fetched when this follower has no state
        and a source can't be reached
    """

    sources: tuple[log_source.Source, ...]
    peers: tuple[log_source.Source, ...] = ()


class LogFollower(task.Task):
    """Folds the control stream for this process.

    :param sources: where to read from, best first
    :param jitter: spreads the retries of many followers
    :param peers: as in :class:`UseSources`
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
        self._last_received_s = 0.0
        self._log_contact_s = 0.0
        self._reader = control_reader.ControlReader()
        self._first_retained_offset = ids.Offset(0)
        self._subscribers: list[mailbox.Mailbox] = []
        self._selector = selectors.DefaultSelector()

    def subscribe(self, subscriber: mailbox.Mailbox) -> None:
        """Send updates to *subscriber* from now on; from any thread."""
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
            self.mailbox.fileno(), selectors.EVENT_READ, self._handle_mailbox
        )
        while not self.stopping.is_set():
            if self._chosen is None:
                self._connect(clock.now_s())
            for key, _ in self._selector.select(self._timeout_s()):
                key.data()
            self._check_source(clock.now_s())
        self._close_source()
        self._selector.close()

    def _timeout_s(self) -> float:
        if self._chosen is not None:
            return CHECK_INTERVAL_S
        wait_s = self._choice.next_retry_s() - clock.now_s()
        return min(CHECK_INTERVAL_S, max(0.0, wait_s))

    def _handle_mailbox(self) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, Subscribe):
                self._subscribers.append(message.subscriber)
                if self._reader.state is not None:
                    message.subscriber.send(self._build_update(()))
            elif isinstance(message, UseSources):
                self._close_source()
                self._sources = message.sources
                self._peers = message.peers
                self._choice = source_choice.SourceChoice(len(self._sources))

    # Choice of the source

    def _connect(self, now_s: float) -> None:
        index = self._choice.choose(now_s)
        if index is None:
            return
        source = self._sources[index]
        events = source.begin(self._reader.state)
        if isinstance(events, outcome.Failure):
            self._handle_source_failure(index, events)
            if self._reader.state is None:
                self._adopt_from_peers()
            return
        self._chosen = index
        self._counters.add('log.source_changes')
        _log.info('reading the control stream from {}', source.name)
        self._handle_events(events)
        if self._chosen is not None:
            self._watch()

    def _watch(self) -> None:
        assert self._chosen is not None
        self._selector.register(
            self._sources[self._chosen].fileno(),
            selectors.EVENT_READ,
            self._handle_source,
        )

    def _handle_source(self) -> None:
        if self._chosen is None:
            return
        # A source may open a new connection while it receives, and its
        # descriptor then changes.
        self._unwatch()
        events = self._sources[self._chosen].receive()
        if isinstance(events, outcome.Failure):
            self._handle_source_failure(self._chosen, events)
            return
        self._handle_events(events)
        if self._chosen is not None:
            self._watch()

    def _check_source(self, now_s: float) -> None:
        if self._chosen is None:
            return
        source = self._sources[self._chosen]
        if now_s - self._last_received_s > source.silence_timeout_s:
            self._handle_source_failure(
                self._chosen, _unavailable('no message within the timeout')
            )
        elif self._choice.should_return(now_s):
            self._close_source()

    def _handle_source_failure(
        self, index: int, failure: outcome.Failure
    ) -> None:
        self._counters.add('log.source_failures')
        if self._chosen is not None:
            _log.notice(
                'log source {} failed: {}', self._sources[index].name, failure
            )
        self._choice.record_failure(
            index, clock.now_s(), self._jitter.random()
        )
        self._close_source()
        self._sources[index].close()

    def _unwatch(self) -> None:
        mailbox_fd = self.mailbox.fileno()
        for key in list(self._selector.get_map().values()):
            if key.fd != mailbox_fd:
                self._selector.unregister(key.fd)

    def _close_source(self) -> None:
        if self._chosen is not None:
            self._unwatch()
            self._sources[self._chosen].close()
            self._chosen = None

    def _adopt_from_peers(self) -> None:
        """Adopt the newest state that any peer has.

        Not the first one found: a peer may be cut off from the log, and a
        restart of this process must not bring an older configuration back
        in force.
        """
        newest: log_source.StateReceived | None = None
        for peer in self._peers:
            if self.stopping.is_set():
                return
            found = _fetch_state(peer)
            if found is not None and (
                newest is None
                or found.state.through_offset > newest.state.through_offset
            ):
                newest = found
        if newest is not None:
            self._counters.add('log.starts_from_peers')
            _log.notice('adopted the control state of a peer')
            self._handle_events([newest])

    # Folding records

    def _handle_events(self, events: log_source.Events) -> None:
        self._last_received_s = clock.now_s()
        for event in events:
            # An age only grows on its way through relays, so the latest
            # time of contact counts.
            self._log_contact_s = max(
                self._log_contact_s, self._last_received_s - event.log_age_s
            )
            if isinstance(event, log_source.StateReceived):
                if self._reader.adopt(event.state):
                    self._publish(())
            elif not self._fold(event):
                return
        self._send_to_subscribers(LogContact(self._log_contact_s))
        if self._chosen is not None:
            self._check_age(self._chosen)

    def _check_age(self, index: int) -> None:
        age_s = self._last_received_s - self._log_contact_s
        if age_s < source_choice.STALE_AFTER_S:
            self._choice.record_success(index)
        elif self._choice.has_alternative(index, self._last_received_s):
            # Without an alternative the follower stays with this source,
            # to learn at once when the log is available again.
            self._handle_source_failure(
                index, _unavailable('cut off from the log')
            )

    def _fold(self, arrived: log_source.RecordsReceived) -> bool:
        """Fold new records; False when records before them are missing."""
        if arrived.first_retained_offset is not None:
            self._first_retained_offset = arrived.first_retained_offset
        if not arrived.entries:
            return True
        folded = self._reader.fold_entries(arrived.entries)
        if isinstance(folded, outcome.Failure):
            self._counters.add('log.gaps')
            if self._chosen is not None:
                self._handle_source_failure(self._chosen, folded)
            return False
        if folded:
            unreadable = sum(entry.record is None for entry in folded)
            self._counters.add('log.unreadable_records', unreadable)
            self._counters.add('log.folded', len(folded))
            self._publish(folded)
        return True

    def _publish(self, folded: tuple[control_reader.Folded, ...]) -> None:
        update = self._build_update(folded)
        self._counters.set('log.through_offset', update.state.through_offset)
        self._send_to_subscribers(update)

    def _send_to_subscribers(
        self, message: ControlUpdate | LogContact
    ) -> None:
        for subscriber in self._subscribers:
            subscriber.send(message)

    def _build_update(
        self, folded: tuple[control_reader.Folded, ...]
    ) -> ControlUpdate:
        assert self._reader.state is not None
        return ControlUpdate(
            self._reader.state,
            folded,
            clock.now_s(),
            self._log_contact_s,
            self._first_retained_offset,
        )


def _unavailable(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.UNAVAILABLE, detail)


def _fetch_state(peer: log_source.Source) -> log_source.StateReceived | None:
    events = peer.begin(None)
    try:
        if isinstance(events, outcome.Failure):
            return None
        if not events:
            with selectors.DefaultSelector() as selector:
                selector.register(peer.fileno(), selectors.EVENT_READ)
                if not selector.select(peer.silence_timeout_s):
                    return None
            events = peer.receive()
        if isinstance(events, outcome.Failure):
            return None
        adopts = [e for e in events if isinstance(e, log_source.StateReceived)]
        return adopts[0] if adopts else None
    finally:
        peer.close()
