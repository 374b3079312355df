"""Nodes under a constant load while the operator rolls a version out."""

import itertools
import typing

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.entry import node as entry_node
from guavachute.platform import store
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import rollout as standin_rollout
from guavachute.standin.platform import version as standin_version
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site

SEND_S = 0.02
PATHS = ('/lookup/a', '/order/a', '/lookup/b')


class RolloutSite(platform_site.PlatformSite):
    """A site with endpoints of two versions of one plain service.

    :ivar steps: the target and the step of the records in the store, in
        order and without repeats
    :ivar replies: how many requests ended, by status
    """

    def __init__(self, endpoints: int = 3, work_s: float = 0.01) -> None:
        super().__init__()
        self.configure(1)
        self.replies: dict[int, int] = {}
        self.sent = 0
        self.is_loaded = False
        self._work_s = work_s
        self._count = endpoints
        self._open: list[platform_site.CallerSocket] = []
        self._paths = itertools.cycle(PATHS)
        self._due = 0.0
        self.per_s = 0.0
        self.service = platform_site.PLAIN_SERVICE
        self.old = [self._add(f'old-{i}', 'v1') for i in range(endpoints)]
        self.new: list[standin_engine.Engine] = []
        self.operator = standin_rollout.Operator(
            self.loop, self.store, self.service
        )
        self.steps: list[tuple[str, int]] = []
        self.loop.every(SEND_S, self._watch_steps)

    def _add(self, name: str, build: str) -> standin_engine.Engine:
        engine = self.add_engine(name, self.service)
        engine.build, engine.work_s = build, self._work_s
        engine.register()
        return engine

    def start_nodes(self, count: int = 2, **bounds: float) -> None:
        """Start nodes that know each other."""
        first = self.ready_node(bounds=bounds)
        for _ in range(count - 1):
            self.ready_node(seeds=(first.peers.address,), bounds=bounds)

    def roll_out(
        self, version: standin_version.Version, duration_s: float
    ) -> None:
        """Request a roll-out, and start the endpoints of the version."""
        self.operator.request(version.name, duration_s, self.old, self.new)
        self.new = self.add_version(version)
        self.operator.new = self.new

    def add_version(
        self, version: standin_version.Version
    ) -> list[standin_engine.Engine]:
        """Start endpoints of a version."""
        found = []
        for number in range(self._count):
            engine = self._add(f'{version.name}-{number}', version.name)
            engine.version = version
            found.append(engine)
        return found

    def load(self, per_s: float) -> None:
        """Send requests at a constant rate to the nodes that are ready."""
        self.per_s = per_s
        if not self.is_loaded:
            self.is_loaded = True
            self.loop.every(SEND_S, self._send_due)

    def _send_due(self) -> None:
        for caller in self._open:
            if caller.reply.has_ended:
                status = caller.reply.status
                self.replies[status] = self.replies.get(status, 0) + 1
                caller.close()
        self._open = [item for item in self._open if not item.reply.has_ended]
        nodes = [node for node in self.nodes if node.is_ready]
        self._due += self.per_s * SEND_S
        while self._due >= 1:
            self._due -= 1
            if nodes:
                self.sent += 1
                node = nodes[self.sent % len(nodes)]
                self._open.append(self.send(node, next(self._paths)))

    def kill_nodes(self) -> None:
        """End all nodes, with what they know."""
        for node in self.nodes:
            node.close()
        self.nodes.clear()

    def holder(self) -> entry_node.Node | None:
        """The node that holds the lease of the duties."""
        for node in self.nodes:
            if node.duty is not None and node.duty.is_held:
                return node
        return None

    def _watch_steps(self) -> None:
        value = self.store.newest(store.OWN_TOPIC, f'rollout/{self.service}')
        if value is None:
            return
        record = node_updates.decode_rollout(value)
        assert isinstance(record, node_updates.RolloutRecord)
        found = (record.target, record.step)
        if self.steps[-1:] != [found]:
            self.steps.append(found)

    def step(self) -> rollout_record.Step | None:
        """The step in the store; None without a record."""
        return rollout_record.Step(self.steps[-1][1]) if self.steps else None

    def wait(
        self, condition: typing.Callable[[], object], timeout_s: float = 30.0
    ) -> None:
        """Run until *condition* holds."""
        looping.run_until(self.loop, condition, timeout_s)
