"""A model of a duty: its lease in the store and its calls to the cloud.

Two nodes contend for the lease. A node's record is appended on the
condition that nothing was appended after what the node has read; it can
take effect at any time while that holds, or never. A suspended node is one
that takes no step while time passes. Each node has its own counts of one
window. Its calls to the cloud can take effect at any time after they were
sent; the cloud rejects calls with an older fencing number.

The rules are those of ``decide.lease`` and ``decide.duty.usage``.
"""

import dataclasses
import typing

from guavachute.decide.duty import usage
from guavachute.decide import lease
from guavachute import ids
from guavachute.wire import records
from spec import checking

HOLDERS = ('a', 'b')
DURATION_S = 3.0
STEP_S = 1.0
WINDOW = 7
WORKSPACE = ids.WorkspaceName('botany')
OWN_COUNTS = ({WORKSPACE: 1}, {WORKSPACE: 2})
"""The counts of the window that each node has collected; they differ."""

FIELDS = ('now', 'topic', 'nodes', 'appends', 'calls', 'cloud')

ONE_REPORT = 'the cloud never accepts two different counts of a window'
NO_RETURN = "no call of an earlier holder takes effect after a later one's"


class Record(typing.NamedTuple):
    """A record of the topic.

    :ivar counts: the decided count of the window; 0 until it is decided
    """

    record_id: str
    holder: str
    counts: int


class Node(typing.NamedTuple):
    """The state of a node.

    :ivar read: how many records of the topic it has read
    :ivar sent: how many records it has sent
    :ivar called: how many calls it has sent
    """

    contender: lease.Contender
    read: int = 0
    sent: int = 0
    called: int = 0


class Append(typing.NamedTuple):
    """An append in flight, which succeeds only at offset *at*."""

    at: int
    record: Record


class Call(typing.NamedTuple):
    """A report in flight."""

    fence: int
    term: int
    counts: int


class Cloud(typing.NamedTuple):
    """The state of the cloud.

    :ivar fence: the highest fencing number of an accepted call
    :ivar term: the highest term of an accepted call
    :ivar counts: all accepted counts of the window
    :ivar went_back: whether it accepted a call of an earlier term
    """

    fence: int = -1
    term: int = -1
    counts: frozenset[int] = frozenset()
    went_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules; a variant replaces one or two of them.

    :ivar decides_first: counts are reported only after a record has them
    :ivar decided: how the counts of a record are computed
    :ivar clock_stops: a holder's clock stops until it sends a record again
    :ivar checks_fence: the cloud rejects an older fencing number
    :ivar max_steps: how long the model runs
    :ivar max_sent: the most records that each node sends
    :ivar max_calls: the most calls that each node sends
    """

    decides_first: bool = True
    decided: typing.Callable[
        [dict[int, usage.Counts], dict[int, usage.Counts]],
        dict[int, usage.Counts],
    ] = usage.final_counts
    clock_stops: bool = False
    checks_fence: bool = True
    max_steps: int = 5
    max_sent: int = 2
    max_calls: int = 1


class DutyModel:
    """The transitions under one set of rules."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def successors(self, state: checking.State) -> checking.Successors:
        """Yield the label and the state of each possible next step."""
        now, topic, nodes, appends, calls, cloud = state
        if now < self._rules.max_steps:
            yield 'time passes', (now + 1, *state[1:])
        for index, name in enumerate(HOLDERS):
            yield from self._append(state, index, name)
            yield from self._call(state, index, name)
            if nodes[index].read < len(topic):
                yield f'{name} reads', _read(state, index)
        for append in appends:
            remaining = tuple(other for other in appends if other != append)
            if append.at == len(topic):
                appended = (*topic, append.record)
                yield (
                    f'{append.record.record_id} is appended',
                    (now, appended, nodes, remaining, calls, cloud),
                )
        for call in calls:
            remaining = tuple(other for other in calls if other != call)
            updated = self._apply_call(cloud, call)
            yield (
                f'a call with fencing number {call.fence} takes effect',
                (now, topic, nodes, appends, remaining, updated),
            )

    def _append(
        self, state: checking.State, index: int, name: str
    ) -> checking.Successors:
        now, topic, nodes, appends, calls, cloud = state
        node: Node = nodes[index]
        now_s = now * STEP_S
        if node.sent >= self._rules.max_sent:
            return
        held = self._held(node, now_s)
        before = _decided(topic[: node.read])
        decides = (
            held is not None
            and self._rules.decided(before, {WINDOW: OWN_COUNTS[index]})
            != before
        )
        if lease.next_action_s(node.contender) > now_s and not decides:
            return
        record_id = ids.RecordId(f'{name}{node.sent}')
        contender, _ = lease.build_record(node.contender, record_id, now_s)
        found = {WINDOW: OWN_COUNTS[index]} if held is not None else {}
        counts = self._rules.decided(before, found).get(WINDOW, {})
        record = Record(record_id, name, counts.get(WORKSPACE, 0))
        sent = node._replace(contender=contender, sent=node.sent + 1)
        yield (
            f'{name} sends {record_id}',
            (
                now,
                topic,
                checking.replace_at(nodes, index, sent),
                (*appends, Append(node.read, record)),
                calls,
                cloud,
            ),
        )

    def _call(
        self, state: checking.State, index: int, name: str
    ) -> checking.Successors:
        now, topic, nodes, appends, calls, cloud = state
        node: Node = nodes[index]
        held = self._held(node, now * STEP_S)
        if held is None or node.called >= self._rules.max_calls:
            return
        before = _decided(topic[: node.read])
        if not self._rules.decides_first:
            before = {WINDOW: OWN_COUNTS[index]}
        if not before:
            return
        call = Call(
            held.fencing_number, held.term_offset, before[WINDOW][WORKSPACE]
        )
        called = node._replace(called=node.called + 1)
        yield (
            f'{name} reports {call.counts}',
            (
                now,
                topic,
                checking.replace_at(nodes, index, called),
                appends,
                (*calls, call),
                cloud,
            ),
        )

    def _held(self, node: Node, now_s: float) -> lease.Held | None:
        if self._rules.clock_stops and node.contender.sent:
            now_s = node.contender.sent[-1][1]
        return lease.held(node.contender, now_s)

    def _apply_call(self, cloud: Cloud, call: Call) -> Cloud:
        if self._rules.checks_fence and call.fence < cloud.fence:
            return cloud
        return Cloud(
            max(cloud.fence, call.fence),
            max(cloud.term, call.term),
            cloud.counts | {call.counts},
            cloud.went_back or call.term < cloud.term,
        )


def _read(state: checking.State, index: int) -> checking.State:
    now, topic, nodes, *rest = state
    node: Node = nodes[index]
    read = node.read + 1
    term = read - 1
    while term and topic[term - 1].holder == topic[read - 1].holder:
        term -= 1
    head = records.LeaseHead(
        offset=ids.Offset(read - 1),
        term_offset=ids.Offset(term),
        record_id=ids.RecordId(topic[read - 1].record_id),
        holder=topic[read - 1].holder,
        duration_s=DURATION_S,
    )
    contender = lease.observe(node.contender, head, now * STEP_S)
    seen = node._replace(contender=contender, read=read)
    return (now, topic, checking.replace_at(nodes, index, seen), *rest)


def _decided(topic: tuple[Record, ...]) -> dict[int, usage.Counts]:
    if not topic or not topic[-1].counts:
        return {}
    return {WINDOW: {WORKSPACE: topic[-1].counts}}


def _one_report(state: dict[str, typing.Any]) -> bool:
    return len(state['cloud'].counts) <= 1


def _no_return(state: dict[str, typing.Any]) -> bool:
    return not state['cloud'].went_back


def _model(name: str, rules: Rules, violates: str | None) -> checking.Model:
    nodes = tuple(
        Node(lease.Contender('duty', holder, DURATION_S)) for holder in HOLDERS
    )
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(0, (), nodes, (), (), Cloud()),
        successors=DutyModel(rules).successors,
        properties={ONE_REPORT: _one_report, NO_RETURN: _no_return},
        violates=violates,
    )


def models() -> list[checking.Model]:
    """Return the model of the real rules and the faulty variants."""
    return [
        _model('duty', Rules(), None),
        _model(
            'a holder reports counts that no record has decided',
            Rules(decides_first=False),
            ONE_REPORT,
        ),
        _model(
            'a holder decides again what was already decided',
            Rules(decided=lambda before, found: {**before, **found}),
            ONE_REPORT,
        ),
        _model(
            "the cloud ignores the fence, and the holder's clock stops",
            Rules(checks_fence=False, clock_stops=True),
            NO_RETURN,
        ),
    ]
