"""A node's table of its peers, by their updates."""

import unittest

from guavachute.entry import peer_table
from guavachute import ids
from guavachute.wire import node_updates


def region_update_of(
    node: str, sequence: int, region: str = 'there'
) -> node_updates.RegionUpdate:
    return node_updates.RegionUpdate(
        region=region,
        node=node,
        run=1,
        sequence=sequence,
        readers=[],
        age_s=0.0,
        nodes=9,
        ready=[],
        wall_s=0.0,
        spent={},
        load={},
        usage={},
        update_ages_ds=[],
        crashes=[],
    )


class ListenedReaderTest(unittest.TestCase):
    """All readers of a region send the same sums; one of them is chosen."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.table = peer_table.PeerTable(
            ids.Region('here'), lambda: self.now_s
        )

    def merge_updates(self, *nodes: str, until_s: float) -> list[str]:
        """Merge an update of each node every 0.25 s; the chosen nodes."""
        chosen = []
        while self.now_s < until_s:
            self.now_s += 0.25
            for node in nodes:
                self.table.merge_region_update(
                    region_update_of(node, int(self.now_s * 100))
                )
            ((update, _),) = self.table.region_updates()
            chosen.append(update.node)
        return chosen

    def test_the_same_reader_is_chosen_while_it_sends(self) -> None:
        chosen = self.merge_updates('b', 'a', 'c', until_s=110.0)
        self.assertEqual({'a'}, set(chosen))

    def test_one_that_stopped_reading_is_left_within_seconds(self) -> None:
        """After a start all nodes send sums, and most of them then stop."""
        self.merge_updates('a', until_s=100.25)
        chosen = self.merge_updates('b', 'c', until_s=101.75)
        self.assertEqual('b', chosen[-1])
