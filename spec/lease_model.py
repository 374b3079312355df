"""A model of a lease with pauses, lost answers and repeated appends.

Two processes contend. Time passes in steps; a paused process is one that
takes no step while time passes. Each record can take effect at any time
after it was sent, any number of times, or never, and each process reads
the log with any lag. A holder checks its lease and sends an order at once,
or after a pause between the check and the sending.

The rules are those of ``decide.lease`` and ``decide.control.control_log``.
"""

import collections.abc
import contextlib
import dataclasses
import typing
import unittest.mock

import msgspec

from guavachute.decide.control import control_log
from guavachute.decide import lease
from guavachute import ids
from guavachute.wire import records
from spec import checking

NAME = 'lease'
HOLDERS = ('a', 'b')
DURATION_S = 3.0
STEP_S = 1.0
FIELDS = ('now', 'heads', 'contenders', 'progress', 'sent', 'orders', 'engine')

ONE_HOLDER = 'two processes never hold the lease at the same time'
STALE = "no order of an earlier holder takes effect after a later one's"


class Progress(typing.NamedTuple):
    """How many heads a process has read, and records it has sent."""

    read: int = 0
    sent: int = 0


class Order(typing.NamedTuple):
    """An order whose sender has checked the lease."""

    fence: int
    term: int


class Engine(typing.NamedTuple):
    """The state of the engine that receives the orders.

    :ivar fence: the highest fencing number of an accepted order
    :ivar term: the highest term of an accepted order
    :ivar went_back: whether it accepted an order of an earlier term
    """

    fence: int = -1
    term: int = -1
    went_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules and bounds; a variant replaces some of them.

    :ivar compares: a record must name the head that it supersedes
    :ivar resend_counts: a repeated append extends the lease from when it
        was last sent, not from when it was first sent
    :ivar checks_fence: the engine rejects an older fencing number
    :ivar max_steps: how long the model runs
    :ivar max_sent: the most records that each process sends
    :ivar has_orders: whether the holders send orders
    """

    observe: typing.Callable[..., lease.Contender] = lease.observe
    challenge_after_s: typing.Callable[[float], float] = (
        lease.challenge_after_s
    )
    compares: bool = True
    resend_counts: bool = False
    checks_fence: bool = True
    max_steps: int = 6
    max_sent: int = 2
    has_orders: bool = False


class LeaseModel:
    """The transitions under one set of rules.

    A state has the time, all heads of the lease, the contenders and their
    progress, the sent records, each process's checked order and the engine.
    """

    def __init__(self, rules: Rules) -> None:
        self._rules = rules

    def successors(self, state: checking.State) -> checking.Successors:
        """Yield the label and the state of each possible next step."""
        now, heads, contenders, seen, sent, orders, engine = state
        if now < self._rules.max_steps:
            yield 'time passes', (now + 1, *state[1:])
        for index, name in enumerate(HOLDERS):
            yield from self._send(state, index, name)
            if seen[index].read < len(heads) - 1:
                yield f'{name} reads', self._read(state, index)
            if self._rules.has_orders:
                yield from self._order(state, index, name)
        for record in sent:
            yield (
                f'{record.record_id} is appended',
                self._append(state, record),
            )
            if self._rules.resend_counts:
                yield from self._resend(state, record)

    def _send(
        self, state: checking.State, index: int, name: str
    ) -> checking.Successors:
        now, heads, contenders, seen, sent, orders, engine = state
        contender = contenders[index]
        with _patched(self._rules):
            due_s = lease.next_action_s(contender)
        number = seen[index].sent
        if due_s > now * STEP_S or number >= self._rules.max_sent:
            return
        record_id = ids.RecordId(f'{name}{number}')
        contender, record = lease.build_record(
            contender, record_id, now * STEP_S
        )
        yield (
            f'{name} sends {record_id}',
            (
                now,
                heads,
                checking.replace_at(contenders, index, contender),
                checking.replace_at(
                    seen, index, seen[index]._replace(sent=number + 1)
                ),
                (*sent, record),
                orders,
                engine,
            ),
        )

    def _resend(
        self, state: checking.State, record: records.LeaseRecord
    ) -> checking.Successors:
        now, heads, contenders, seen, sent, orders, engine = state
        index = HOLDERS.index(record.holder)
        contender = contenders[index]
        times = dict(contender.sent) | {record.record_id: now * STEP_S}
        counted = dataclasses.replace(contender, sent=tuple(times.items()))
        changed = checking.replace_at(contenders, index, counted)
        yield (
            f'{record.record_id} is sent again',
            (now, heads, changed, seen, sent, orders, engine),
        )

    def _read(self, state: checking.State, index: int) -> checking.State:
        now, heads, contenders, seen, sent, orders, engine = state
        position = seen[index].read + 1
        contender = self._rules.observe(
            contenders[index], heads[position], now * STEP_S
        )
        return (
            now,
            heads,
            checking.replace_at(contenders, index, contender),
            checking.replace_at(
                seen, index, seen[index]._replace(read=position)
            ),
            sent,
            orders,
            engine,
        )

    def _append(
        self, state: checking.State, record: records.LeaseRecord
    ) -> checking.State:
        now, heads, contenders, seen, sent, *rest = state
        head = heads[-1]
        if not self._rules.compares:
            record = msgspec.structs.replace(
                record, supersedes_offset=control_log.offset_of(head)
            )
        before = records.ControlState(
            through_offset=ids.Offset(len(heads) - 2),
            leases={} if head is None else {NAME: head},
        )
        after, verdict = control_log.fold(
            before, ids.Offset(len(heads) - 1), record
        )
        # Rejected records only raise offsets; leaving them out keeps the
        # model finite.
        if verdict is not control_log.Verdict.ACCEPTED:
            return state
        new_heads = (*heads, after.leases[NAME])
        if self._rules.compares and not self._rules.resend_counts:
            # Records that name an older head can't be accepted any more.
            sent = tuple(
                other
                for other in sent
                if other.supersedes_offset == after.leases[NAME].offset
            )
        return (now, new_heads, contenders, seen, sent, *rest)

    def _order(
        self, state: checking.State, index: int, name: str
    ) -> checking.Successors:
        now, heads, contenders, seen, sent, orders, engine = state
        order = orders[index]
        if order is None:
            held = lease.held(contenders[index], now * STEP_S)
            if held is not None:
                order = Order(held.fencing_number, held.term_offset)
                checked = checking.replace_at(orders, index, order)
                yield (
                    f'{name} checks the lease',
                    (now, heads, contenders, seen, sent, checked, engine),
                )
            return
        updated = engine
        if not (self._rules.checks_fence and order.fence < engine.fence):
            went_back = engine.went_back or order.term < engine.term
            updated = Engine(
                max(order.fence, engine.fence),
                max(order.term, engine.term),
                went_back,
            )
        done = checking.replace_at(orders, index, None)
        yield (
            f'{name} orders with {order.fence}',
            (now, heads, contenders, seen, sent, done, updated),
        )


@contextlib.contextmanager
def _patched(rules: Rules) -> collections.abc.Iterator[None]:
    if rules.challenge_after_s is lease.challenge_after_s:
        yield
        return
    with unittest.mock.patch.object(
        lease, 'challenge_after_s', rules.challenge_after_s
    ):
        yield


def _observe_counting_from_read(
    contender: lease.Contender,
    head: records.LeaseHead | None,
    now_s: float,
) -> lease.Contender:
    """Observe as if a lease counted from when its record was read back."""
    if head is not None and head.holder == contender.holder:
        times = dict(contender.sent) | {head.record_id: now_s}
        contender = dataclasses.replace(contender, sent=tuple(times.items()))
    return lease.observe(contender, head, now_s)


def _one_holder(state: dict[str, typing.Any]) -> bool:
    now_s = state['now'] * STEP_S
    holding = [
        contender
        for contender in state['contenders']
        if lease.held(contender, now_s) is not None
    ]
    return len(holding) <= 1


def _not_stale(state: dict[str, typing.Any]) -> bool:
    return not state['engine'].went_back


def _model(
    name: str,
    rules: Rules,
    properties: dict[str, typing.Callable[[dict[str, typing.Any]], bool]],
    violates: str | None,
) -> checking.Model:
    contenders = tuple(
        lease.Contender(NAME, holder, DURATION_S) for holder in HOLDERS
    )
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(
            0,
            (None,),
            contenders,
            (Progress(), Progress()),
            (),
            (None, None),
            Engine(),
        ),
        successors=LeaseModel(rules).successors,
        properties=properties,
        violates=violates,
    )


def models() -> list[checking.Model]:
    """Return the models of the real rules and the faulty variants."""
    one_holder = {ONE_HOLDER: _one_holder}
    return [
        _model('lease', Rules(), one_holder, None),
        _model(
            'the lease counts from when its holder read the renewal',
            Rules(observe=_observe_counting_from_read),
            one_holder,
            ONE_HOLDER,
        ),
        _model(
            'a repeated append counts from when it was last sent',
            Rules(resend_counts=True),
            one_holder,
            ONE_HOLDER,
        ),
        _model(
            'a challenger waits half the duration',
            Rules(challenge_after_s=lambda duration_s: duration_s / 2),
            one_holder,
            ONE_HOLDER,
        ),
        _model(
            'a lease record does not name what it supersedes',
            Rules(compares=False),
            one_holder,
            ONE_HOLDER,
        ),
        _model(
            'orders to an engine that checks the fencing number',
            Rules(has_orders=True, max_sent=1),
            {STALE: _not_stale},
            None,
        ),
        _model(
            'an engine ignores the fencing number (so orders to it may only '
            'state a desired state)',
            Rules(has_orders=True, max_sent=1, checks_fence=False),
            {STALE: _not_stale},
            STALE,
        ),
    ]
