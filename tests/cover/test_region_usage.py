"""Usage that the readers of another region tell."""

import unittest

from guavachute.wire import node_updates
from tests.support import platform_site


class RegionUsageTest(unittest.TestCase):
    # Guards against usage reports without the requests of a region: a node
    # that was its reader for a moment, and lacked the counts of the others,
    # was chosen by its name, and the sums of the complete reader were ignored.
    def test_the_most_complete_reader_counts(self) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        node = site.ready_node()
        window = node.usage._window()
        for name, count in (('a', 1), ('b', 40), ('a', 2)):
            node.peers._handle_region_update(
                node_updates.RegionUpdate(
                    region='elsewhere',
                    node=name,
                    run=1,
                    sequence=count,
                    readers=[],
                    age_s=10.0,
                    nodes=30,
                    ready=[],
                    wall_s=0.0,
                    spent={},
                    load={},
                    usage={window: {'w': count}},
                    update_ages_ds=[],
                    crashes=[],
                )
            )
        self.assertEqual({'w': 40}, node.usage.total(window))
