"""The duty's lease in the store, its reports, and calls that act late.

Two nodes contend. A node's record is appended on the condition that
nothing was appended since what it has read; it may take effect at any
time while that holds, or never. A node that is suspended is one that
takes no step while time goes on. Each node has counts of its own of one
window, and its calls to the cloud may be carried out at any time after
they were sent; the cloud refuses those with an older fence.

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
"""What each node has heard of the window; they differ."""

FIELDS = ('now', 'topic', 'nodes', 'appends', 'calls', 'cloud')

ONE_REPORT = 'the cloud never takes two different counts of a window'
NO_RETURN = 'no call of an earlier holder is carried out after a later one'


class Record(typing.NamedTuple):
    """A record of the topic.

    :ivar counts: of the window as it was decided; 0 while it is not
    """

    record_id: str
    holder: str
    counts: int


class Node(typing.NamedTuple):
    """What a node knows, and how often it did something."""

    contender: lease.Contender
    read: int = 0
    sent: int = 0
    called: int = 0


class Append(typing.NamedTuple):
    """An append under way: it lands only at its offset."""

    at: int
    record: Record


class Call(typing.NamedTuple):
    """A report under way."""

    fence: int
    term: int
    counts: int


class Cloud(typing.NamedTuple):
    """What the cloud has taken."""

    fence: int = -1
    term: int = -1
    counts: frozenset[int] = frozenset()
    went_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the variants replace.

    :ivar decides_first: counts stand in a record before they are sent
    :ivar decided: how a record's counts come about
    :ivar clock_sleeps: a holder's clock stands still until it acts again
    :ivar checks_fence: the cloud refuses an older fence
    """

    decides_first: bool = True
    decided: typing.Callable[
        [dict[int, usage.Counts], dict[int, usage.Counts]],
        dict[int, usage.Counts],
    ] = usage.decided
    clock_sleeps: bool = False
    checks_fence: bool = True
    most_steps: int = 5
    most_sent: int = 2
    most_calls: int = 1


class DutyModel:
    """The transitions under one set of rules."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def successors(self, state: checking.State) -> checking.Successors:
        """All that may happen next."""
        now, topic, nodes, appends, calls, cloud = state
        if now < self._rules.most_steps:
            yield 'time passes', (now + 1, *state[1:])
        for place, name in enumerate(HOLDERS):
            yield from self._append(state, place, name)
            yield from self._call(state, place, name)
            if nodes[place].read < len(topic):
                yield f'{name} reads', _read(state, place)
        for append in appends:
            left = tuple(other for other in appends if other != append)
            if append.at == len(topic):
                landed = (*topic, append.record)
                yield (
                    f'{append.record.record_id} lands',
                    (now, landed, nodes, left, calls, cloud),
                )
        for call in calls:
            left = tuple(other for other in calls if other != call)
            taken = self._carried_out(cloud, call)
            yield (
                f'a call with fence {call.fence} is carried out',
                (now, topic, nodes, appends, left, taken),
            )

    def _append(
        self, state: checking.State, place: int, name: str
    ) -> checking.Successors:
        now, topic, nodes, appends, calls, cloud = state
        node: Node = nodes[place]
        now_s = now * STEP_S
        if node.sent >= self._rules.most_sent:
            return
        held = self._held(node, now_s)
        before = _decided(topic[: node.read])
        decides = (
            held is not None
            and self._rules.decided(before, {WINDOW: OWN_COUNTS[place]})
            != before
        )
        if lease.next_action_s(node.contender) > now_s and not decides:
            return
        record_id = ids.RecordId(f'{name}{node.sent}')
        contender, _ = lease.send(node.contender, record_id, now_s)
        found = {WINDOW: OWN_COUNTS[place]} if held is not None else {}
        counts = self._rules.decided(before, found).get(WINDOW, {})
        record = Record(record_id, name, counts.get(WORKSPACE, 0))
        sent = node._replace(contender=contender, sent=node.sent + 1)
        yield (
            f'{name} sends {record_id}',
            (
                now,
                topic,
                checking.put(nodes, place, sent),
                (*appends, Append(node.read, record)),
                calls,
                cloud,
            ),
        )

    def _call(
        self, state: checking.State, place: int, name: str
    ) -> checking.Successors:
        now, topic, nodes, appends, calls, cloud = state
        node: Node = nodes[place]
        held = self._held(node, now * STEP_S)
        if held is None or node.called >= self._rules.most_calls:
            return
        before = _decided(topic[: node.read])
        if not self._rules.decides_first:
            before = {WINDOW: OWN_COUNTS[place]}
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
                checking.put(nodes, place, called),
                appends,
                (*calls, call),
                cloud,
            ),
        )

    def _held(self, node: Node, now_s: float) -> lease.Held | None:
        if self._rules.clock_sleeps and node.contender.sent:
            now_s = node.contender.sent[-1][1]
        return lease.held(node.contender, now_s)

    def _carried_out(self, cloud: Cloud, call: Call) -> Cloud:
        if self._rules.checks_fence and call.fence < cloud.fence:
            return cloud
        return Cloud(
            max(cloud.fence, call.fence),
            max(cloud.term, call.term),
            cloud.counts | {call.counts},
            cloud.went_back or call.term < cloud.term,
        )


def _read(state: checking.State, place: int) -> checking.State:
    now, topic, nodes, *rest = state
    node: Node = nodes[place]
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
    return (now, topic, checking.put(nodes, place, seen), *rest)


def _decided(topic: tuple[Record, ...]) -> dict[int, usage.Counts]:
    if not topic or not topic[-1].counts:
        return {}
    return {WINDOW: {WORKSPACE: topic[-1].counts}}


def _one_report(state: dict[str, typing.Any]) -> bool:
    return len(state['cloud'].counts) <= 1


def _no_return(state: dict[str, typing.Any]) -> bool:
    return not state['cloud'].went_back


def _model(name: str, rules: Rules, breaks: str | None) -> checking.Model:
    nodes = tuple(
        Node(lease.Contender('duty', holder, DURATION_S)) for holder in HOLDERS
    )
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(0, (), nodes, (), (), Cloud()),
        successors=DutyModel(rules).successors,
        properties={ONE_REPORT: _one_report, NO_RETURN: _no_return},
        breaks=breaks,
    )


def models() -> list[checking.Model]:
    """The real rules and the broken variants."""
    return [
        _model('duty', Rules(), None),
        _model(
            'a holder reports what it has not decided in a record',
            Rules(decides_first=False),
            ONE_REPORT,
        ),
        _model(
            'a holder decides anew what was decided before',
            Rules(decided=lambda before, found: {**before, **found}),
            ONE_REPORT,
        ),
        _model(
            'the cloud ignores the fence, and a holder its sleep',
            Rules(checks_fence=False, clock_sleeps=True),
            NO_RETURN,
        ),
    ]
