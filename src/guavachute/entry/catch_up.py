"""Fetches from peers what they have read of the store beyond this node.

Nodes that do not read the store closely learn of all changes in this way.
Readers do so while the store does not answer them.
"""

import dataclasses
import random
import typing

from guavachute.decide.ingress import copy_age
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute import ids
from guavachute.observe import journal
from guavachute.wire import node_updates

AVOID_PEER_S = 5.0
"""A peer that did not answer is not queried for this long, if others have a
newer version too."""

FETCH_ANYWAY_AFTER_S = 1.0
"""A node that reads the store closely fetches from peers too if it is behind
them for this long: the store may have lost what they know."""

FAR_PEERS_AFTER_S = 1.0
"""Peers of other regions are asked only if no peer of this region has had the
newer version for this long: the link between the regions is narrow, and all
nodes would use it at once."""

FOLLOWERS_AFTER_S = 1.5
"""If no reader of the store has the newer version for this long, others are
asked. A process that has just read a snapshot can't tell which of its records
are news, so it tells the newest one's version."""

READ_STORE_AFTER_S = 2.0
"""A node that is behind its peers for this long, and gets nothing from them,
reads the store itself, as changes have to be known within three seconds."""

Done = typing.Callable[[bool], None]
"""Called with whether the peer answered."""


@dataclasses.dataclass(slots=True)
class VersionedState:
    """A part of the state that has versions and can be fetched from peers.

    :ivar is_needed: whether this node fetches it from peers now
    :ivar own_version: gives the version that this node has
    :ivar peer_version: gives the version that a peer's update names
    :ivar fetch: fetches a newer version from a peer
    :ivar read_store: reads the store directly
    :ivar age: how old it may be, if that is bounded; peers tell theirs
    :ivar confirmed_s: when the latest read of the store began that has brought
        all there was
    :ivar learn_position: called with a position before which all is known
        here, as a peer has told
    :ivar waits_for_readers: whether this node is up to date but for news that
        readers of the store tell too
    :ivar confirm: reads the store, unless it is being read for that already
    :ivar behind_since_s: loop time since which a peer is known to have a newer
        version; None if none has
    """

    is_needed: typing.Callable[[], bool]
    own_version: typing.Callable[[], int]
    peer_version: typing.Callable[[node_updates.NodeUpdate], int]
    fetch: typing.Callable[[peer_table.Peer, Done], None]
    read_store: typing.Callable[[], None]
    age: copy_age.CopyAge | None = None
    confirmed_s: typing.Callable[[], float] = lambda: float('-inf')
    confirm: typing.Callable[[], None] = lambda: None
    learn_position: typing.Callable[[ids.LogPosition], None] = (
        lambda position: None
    )
    waits_for_readers: typing.Callable[[], bool] = lambda: False
    is_fetching: bool = False
    behind_since_s: float | None = None


class CatchUp:
    """Fetches each of *states* from one peer at a time."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        table: peer_table.PeerTable,
        states: typing.Sequence[VersionedState],
    ) -> None:
        self._loop = loop
        self._table = table
        self._states = states

    def check(self) -> None:
        """Fetch newer versions that any peer has; called periodically."""
        for state in self._states:
            self._check_state(state)
            if state.age is not None:
                state.age.record_complete(state.confirmed_s(), 'store')
                self._check_age(state, state.age)

    def _check_age(self, state: VersionedState, age: copy_age.CopyAge) -> None:
        """Read the store if the copy may be too old.

        Not while the store doesn't answer those that read it closely: all
        nodes would then ask it at once.
        """
        close_readers = self._table.readers()
        is_away = close_readers and not any(
            peer.update is not None and peer.update.reaches_store
            for peer in close_readers
        )
        if not is_away and age.is_read_due(self._loop.now_s):
            age_s = round(age.age_s(self._loop.now_s), 3)
            journal.event(
                'copy',
                outcome='unproven',
                age_s=age_s,
                source=age.source,
                version=state.own_version(),
            )
            state.confirm()

    def check_update(self, update: node_updates.NodeUpdate) -> None:
        """Fetch newer versions that *update* names.

        Called with each received update, so it doesn't look at other peers
        unless this one has a newer version.
        """
        for state in self._states:
            is_newer = state.peer_version(update) > state.own_version()
            if is_newer and state.is_needed():
                self._check_state(state)
            if state.age is not None:
                self._record_proof(state, state.age, update)

    def _record_proof(
        self,
        state: VersionedState,
        age: copy_age.CopyAge,
        update: node_updates.NodeUpdate,
    ) -> None:
        """Record what a peer's update proves of this node's copy.

        All that the peer knew when it sent the update is known here if this
        node has its version. A peer without any version knows nothing,
        whatever an older build tells.
        """
        if not 0 <= state.peer_version(update) <= state.own_version():
            return
        state.learn_position(update.endpoints_position)
        age_ds = update.endpoints_age_ds
        delay_s = self._table.delay_s(update.node)
        if age_ds is not None and delay_s is not None:
            complete_s = self._loop.now_s - delay_s - age_ds / 10
            age.record_complete(complete_s, update.node)

    def _check_state(self, state: VersionedState) -> None:
        """Fetch *state* if a peer has a newer version and it is needed."""
        now_s = self._loop.now_s
        own_version = state.own_version()
        newer = [
            peer
            for peer in self._table.active_peers()
            if peer.update is not None
            and state.peer_version(peer.update) > own_version
        ]
        if not newer:
            state.behind_since_s = None
            return
        if state.behind_since_s is None:
            state.behind_since_s = now_s
        behind_s = now_s - state.behind_since_s
        is_needed = behind_s > FETCH_ANYWAY_AFTER_S or state.is_needed()
        if state.is_fetching or not is_needed:
            return
        local = [peer for peer in newer if self._table.is_local(peer)]
        if not local and behind_s < FAR_PEERS_AFTER_S:
            return
        if (
            local
            and state.waits_for_readers()
            and behind_s < FOLLOWERS_AFTER_S
            and not any(_is_reading(peer) for peer in local)
        ):
            return
        if behind_s > READ_STORE_AFTER_S and state.is_needed():
            state.behind_since_s = now_s
            state.read_store()
        newer = local or newer
        answering = [
            peer
            for peer in newer
            if now_s >= peer.last_no_answer_s + AVOID_PEER_S
        ]
        peer = random.choice(answering or newer)
        state.is_fetching = True
        state.fetch(
            peer, lambda answered: self._handle_fetched(state, peer, answered)
        )

    def _handle_fetched(
        self, state: VersionedState, peer: peer_table.Peer, answered: bool
    ) -> None:
        state.is_fetching = False
        if not answered:
            # The next check queries another peer.
            peer.last_no_answer_s = self._loop.now_s


def _is_reading(peer: peer_table.Peer) -> bool:
    """Whether a peer reads the store closely, record after record.

    Each process takes itself for a reader until it has heard others.
    """
    return (
        peer.update is not None
        and peer.update.is_reader
        and peer.update.age_s > FOLLOWERS_AFTER_S
    )
