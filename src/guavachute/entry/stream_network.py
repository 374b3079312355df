"""The other nodes, as the node sees them that shares the streams' builds."""

import typing

from guavachute.decide.nodes import counting
from guavachute.domain import site as domain_site
from guavachute.entry import peer_table
from guavachute.entry import topic_follower
from guavachute import ids


class StreamNetwork:
    """Tells which node writes streams, and whether news would be heard.

    :param reads_closely: whether this node is a reader
    :param reaches_store: whether the store answers this node
    :param own_topic: gives the follower of the system's own topic
    """

    def __init__(
        self,
        site: domain_site.Site,
        table: peer_table.PeerTable,
        reads_closely: typing.Callable[[], bool],
        reaches_store: typing.Callable[[], bool],
        own_topic: typing.Callable[[], topic_follower.TopicFollower],
    ) -> None:
        self._site = site
        self._table = table
        self._reads_closely = reads_closely
        self._reaches_store = reaches_store
        self._own_topic = own_topic

    def is_reader(self) -> bool:
        """Whether this node reads the store closely."""
        return self._reads_closely()

    def writes_streams(self) -> bool:
        """Whether this node writes its region's streams to the store."""
        if not self._reads_closely() or not self._reaches_store():
            return False
        return all(
            self._site.node < peer.update.node
            for peer in self._table.readers()
            if peer.update is not None
            and peer.update.reaches_store
            and peer.update.is_ready
            and self._table.is_local(peer)
        )

    def has_read_own_topic(self, since_s: float) -> bool:
        """Whether a read that began since then has brought all records.

        Otherwise one is begun.
        """
        follower = self._own_topic()
        if follower.confirmed_s >= since_s:
            return True
        follower.confirm()
        return False

    def reaches_store(self) -> bool:
        """Whether the store answered this node, as far as is known."""
        return self._reaches_store()

    def hears_changes(self) -> bool:
        """Whether other nodes would have told of changes by now.

        While no node reaches the store, there are none; a node that hears
        nearly all others knows that.
        """
        active = self._table.active_peers()
        if any(
            peer.update is not None
            and peer.update.is_reader
            and peer.update.reaches_store
            for peer in active
        ):
            return True
        local = sum(self._table.is_local(peer) for peer in active)
        known = len(self._table.local_peers())
        return local >= (1 - counting.PARTITION_SHARE) * known

    def true_time_s(self) -> float:
        """The time of day that the nodes agree on, as Unix time."""
        return self._table.true_time_s()

    def own_topic_end(self) -> ids.Offset | None:
        """The offset up to which this node has read its own topic."""
        return self._own_topic().end_offset

    def extra_age_s(self) -> float:
        """How much older updates may be than with few nodes, in seconds."""
        return self._table.extra_age_s
