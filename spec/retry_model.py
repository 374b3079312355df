"""A model of the retry budget over several nodes, in sliding windows.

Two nodes serve callers of one service. In each time step a burst of
requests may arrive at either node, and each node retries as often as its
budget allows. The nodes can't reach each other, and each can restart with
empty state once in a window.

The rules are those of ``decide.ingress.retry_budget`` and
``decide.nodes.counting``.
"""

import dataclasses
import typing
import unittest.mock

from guavachute.decide.ingress import retry_budget
from guavachute.decide.nodes import counting
from spec import checking

NODES = ('a', 'b')
WINDOW_STEPS = 2
RATIO = 0.5
ALLOWANCE = 4.0
BURST = 4
"""The number of requests that arrive at a node together."""

FIELDS = ('nodes', 'requests', 'retries')
BOUND = 'no window has more retries than the bound allows'

Count = tuple[int, int]
"""Requests and retries of one step."""


class Node(typing.NamedTuple):
    """The state of a run of a node.

    :ivar steps: its counts, the current step last
    :ivar age: steps since it started, at most a window
    """

    steps: tuple[Count, ...] = ((0, 0),) * WINDOW_STEPS
    age: int = WINDOW_STEPS


def _all_known(last_heard_s: dict[str, float], now_s: float) -> set[str]:
    return counting.counted_nodes(last_heard_s, now_s)


def _all_reachable(last_heard_s: dict[str, float], now_s: float) -> set[str]:
    """Count only the reachable nodes as sharing the allowance."""
    return {
        name
        for name, at_s in last_heard_s.items()
        if now_s - at_s <= counting.COUNTED_S
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules; a variant replaces one of them.

    :ivar counted: which other nodes share the allowance
    :ivar used_part: the part of its share that each run of a node uses
    """

    counted: typing.Callable[[dict[str, float], float], set[str]] = _all_known
    used_part: float = retry_budget.USED_PART


class RetryModel:
    """The transitions under one set of rules."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def successors(self, state: checking.State) -> checking.Successors:
        """Yield the label and the state of each possible next step."""
        nodes, requests, retries = state
        yield (
            'time passes',
            (
                tuple(sorted(_aged(node) for node in nodes)),
                (*requests[1:], 0),
                (*retries[1:], 0),
            ),
        )
        for index, name in enumerate(NODES):
            node: Node = nodes[index]
            if not node.steps[-1][0]:
                arrived = _replace_node(
                    nodes, index, _with_count(node, (BURST, 0))
                )
                yield (
                    f'requests arrive at {name}',
                    (arrived, _add_to_last(requests, BURST), retries),
                )
            if self._can_retry(node):
                sent = _replace_node(nodes, index, _with_count(node, (0, 1)))
                yield (
                    f'{name} retries',
                    (sent, requests, _add_to_last(retries, 1)),
                )
            if node.age >= WINDOW_STEPS and any(map(any, node.steps)):
                started = _replace_node(nodes, index, Node(age=0))
                yield f'{name} restarts', (started, requests, retries)

    def _can_retry(self, node: Node) -> bool:
        budget = retry_budget.RetryBudget(
            RATIO, ALLOWANCE, float(WINDOW_STEPS)
        )
        heard_s = -2 * counting.COUNTED_S
        others = self._rules.counted({'other': heard_s}, 0.0)
        with unittest.mock.patch.object(
            retry_budget, 'USED_PART', self._rules.used_part
        ):
            for step, (requests, retries) in enumerate(node.steps):
                for _ in range(requests):
                    budget.record_request(float(step))
                for _ in range(retries):
                    # It was granted at the time, so it is granted now too,
                    # unless its requests are out of the window by now.
                    budget.consume(1, float(step))
            return budget.consume(1 + len(others), float(WINDOW_STEPS - 1))


def _aged(node: Node) -> Node:
    return Node((*node.steps[1:], (0, 0)), min(WINDOW_STEPS, node.age + 1))


def _with_count(node: Node, count: Count) -> Node:
    requests, retries = node.steps[-1]
    newest = (requests + count[0], retries + count[1])
    return node._replace(steps=(*node.steps[:-1], newest))


def _add_to_last(steps: tuple[int, ...], number: int) -> tuple[int, ...]:
    return (*steps[:-1], steps[-1] + number)


def _replace_node(
    nodes: tuple[Node, ...], index: int, node: Node
) -> typing.Any:
    # The nodes are interchangeable; sorting them merges equal states.
    return tuple(sorted(checking.replace_at(nodes, index, node)))


def _in_bound(state: dict[str, typing.Any]) -> bool:
    """Check the window that ends now.

    Its retries are compared with the requests of this window, of the one
    half a window earlier or of the one before it, whichever has the most.
    """
    by_step: tuple[int, ...] = state['requests']
    requests = max(
        sum(by_step[-WINDOW_STEPS - earlier : len(by_step) - earlier])
        for earlier in (0, WINDOW_STEPS // 2, WINDOW_STEPS)
    )
    return sum(state['retries']) <= RATIO * requests + ALLOWANCE


def _model(name: str, rules: Rules, violates: str | None) -> checking.Model:
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(
            (Node(),) * len(NODES),
            (0,) * (2 * WINDOW_STEPS),
            (0,) * WINDOW_STEPS,
        ),
        successors=RetryModel(rules).successors,
        properties={BOUND: _in_bound},
        violates=violates,
    )


def models() -> list[checking.Model]:
    """Return the model of the real rules and the faulty variants."""
    return [
        _model('retry budget', Rules(), None),
        _model(
            'a node that reaches no other uses the whole allowance',
            Rules(counted=_all_reachable),
            BOUND,
        ),
        _model(
            'each run of a node uses all of its share',
            Rules(used_part=1.0),
            BOUND,
        ),
    ]
