"""An admission gate with a clock of its own, without a network."""

import dataclasses
import heapq
import itertools
import types
import typing
from unittest import mock

from guavachute.entry.admission import gate
from guavachute.entry import loop as entry_loop
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from tests.support import quota_load


class FakeLoop:
    """Calls timers when the test lets time pass."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self._timers: list[tuple[float, int, entry_loop.Timer]] = []
        self._order = itertools.count()

    def call_after(
        self, delay_s: float, callback: typing.Callable[[], None]
    ) -> entry_loop.Timer:
        """As :meth:`entry_loop.Loop.call_after`."""
        timer = entry_loop.Timer(self.now_s + delay_s, callback)
        heapq.heappush(self._timers, (timer.due_s, next(self._order), timer))
        return timer

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self._timers and self._timers[0][0] <= end_s:
            due_s, _, timer = heapq.heappop(self._timers)
            self.now_s = max(self.now_s, due_s)
            if timer.callback is not None:
                timer.callback()
        self.now_s = end_s


@dataclasses.dataclass(eq=False)
class FakeExchange:
    """A request, as the gate sees it, and what became of it."""

    call: typing.Any
    route: typing.Any
    workspace: typing.Any
    arrived_s: float
    expires_at_s: float
    service: str = 'model'
    attempts: int = 0
    begun_s: float | None = None
    refused_s: float | None = None
    failure: outcome.Failure | None = None
    site: typing.Any = None

    def expected_first_token_s(self) -> float:
        """What the test says."""
        return self.site.first_token_s

    def dispatch(self) -> None:
        """Begin."""
        assert self.begun_s is None and self.refused_s is None
        self.begun_s = self.site.loop.now_s
        self.site.begun.append(self)
        self.attempts = 1

    def refuse(self, status: int, failure: outcome.Failure) -> None:
        """Be refused."""
        assert self.begun_s is None and self.refused_s is None
        self.refused_s = self.site.loop.now_s
        self.failure = failure
        self.site.gate.handle_ended(self, f'own {status}')


class GateSite:
    """One gate; its workspace has a quota of 1,000 a second."""

    def __init__(self, rate_per_s: float = 1_000.0) -> None:
        self.loop = FakeLoop()
        self.workspace = quota_load.workspace(rate_per_s, rate_per_s)
        self.state = types.SimpleNamespace(configuration=None)
        self.configure(self.workspace)
        self.metrics = observe_metrics.Metrics()
        self.begun: list[FakeExchange] = []
        self.first_token_s = 0.01
        self.stop_failure: outcome.Failure | None = None
        site = types.SimpleNamespace(
            bounds=types.SimpleNamespace(quota_allowance=0.0)
        )
        table = types.SimpleNamespace(counted_runs=lambda _: ({}, set()))
        self.draw = mock.Mock(return_value=0.5)
        with mock.patch('random.random', self.draw):
            self.gate = gate.Gate(
                typing.cast(typing.Any, self.loop),
                typing.cast(typing.Any, site),
                typing.cast(typing.Any, self.state),
                typing.cast(typing.Any, types.SimpleNamespace(table=table)),
                self.metrics,
                lambda _: self.stop_failure,
            )

    def configure(self, workspace: typing.Any) -> None:
        """Put a configuration with this workspace in force."""
        self.state.configuration = types.SimpleNamespace(
            workspaces={workspace.name: workspace}
        )

    def request(
        self,
        cost: int,
        objective_s: float = 1.0,
        left_s: float = 6.0,
        priority: int = 1,
        size: int = 100,
        workspace: typing.Any = None,
    ) -> FakeExchange:
        """Submit a request whose callers have six seconds at first."""
        started = FakeExchange(
            types.SimpleNamespace(
                attempt_id='a', total_tokens=cost, body=b'x' * size, parts=()
            ),
            types.SimpleNamespace(
                name=f'priority-{priority}',
                objective_s=objective_s,
                timeout_s=6.0,
                priority=priority,
                is_model=True,
            ),
            workspace or self.workspace,
            self.loop.now_s,
            self.loop.now_s + left_s,
            site=self,
        )
        self.gate.submit(typing.cast(typing.Any, started))
        return started

    def level(self) -> float:
        """What is left of the quota."""
        return self.gate.consumption()[self.workspace.name][2]

    def admitted(self) -> float:
        """What was admitted of the quota, less the refunds."""
        return self.gate.consumption()[self.workspace.name][0]
