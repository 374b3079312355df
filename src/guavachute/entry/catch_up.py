"""Takes over from peers what they have read of the store beyond this node.

Nodes that do not read the store closely learn all that is new in this
way, and readers what the store does not tell them while it is away.
"""

import dataclasses
import random
import typing

from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute.wire import entry_news

AVOIDED_S = 5.0
"""A peer that gave no answer is not asked for so long, if others have as
much to tell."""

READ_ITSELF_AFTER_S = 2.0
"""A node that knows for so long that it lacks something reads the store;
what is new is due in three seconds."""

Done = typing.Callable[[bool], None]
"""Called with whether the peer gave an answer."""


@dataclasses.dataclass(slots=True)
class Subject:
    """What has versions, of which peers may have a newer one.

    :ivar is_needed: whether this node takes it from peers now
    :ivar own_version: the version that this node has
    :ivar told_version: the version that a peer's news name
    :ivar fetch: asks a peer for what is new
    :ivar read_store: reads the store itself
    :ivar behind_since_s: since when a peer is known to have more; None
        if none has
    """

    is_needed: typing.Callable[[], bool]
    own_version: typing.Callable[[], int]
    told_version: typing.Callable[[entry_news.NodeNews], int]
    fetch: typing.Callable[[peer_table.Peer, Done], None]
    read_store: typing.Callable[[], None]
    is_fetching: bool = False
    behind_since_s: float | None = None


class CatchUp:
    """Asks one peer at a time about each of *subjects*."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        table: peer_table.PeerTable,
        subjects: typing.Sequence[Subject],
    ) -> None:
        self._loop = loop
        self._table = table
        self._subjects = subjects

    def ask(self) -> None:
        """Look whether peers have more; call it with each news."""
        for subject in self._subjects:
            if subject.is_needed():
                self._ask_for(subject)

    def _ask_for(self, subject: Subject) -> None:
        now_s = self._loop.now_s
        own_version = subject.own_version()
        newer = [
            peer
            for peer in self._table.heard()
            if peer.news is not None
            and subject.told_version(peer.news) > own_version
        ]
        if not newer:
            subject.behind_since_s = None
            return
        if subject.behind_since_s is None:
            subject.behind_since_s = now_s
        elif now_s - subject.behind_since_s > READ_ITSELF_AFTER_S:
            subject.behind_since_s = now_s
            subject.read_store()
        if subject.is_fetching:
            return
        answering = [
            peer for peer in newer if now_s >= peer.no_answer_s + AVOIDED_S
        ]
        peer = random.choice(answering or newer)
        subject.is_fetching = True
        subject.fetch(
            peer, lambda answered: self._fetched(subject, peer, answered)
        )

    def _fetched(
        self, subject: Subject, peer: peer_table.Peer, answered: bool
    ) -> None:
        subject.is_fetching = False
        if not answered:
            # With the next news another peer is asked.
            peer.no_answer_s = self._loop.now_s
