"""A model of compare-and-set configuration changes over a plain log.

The log has no conditional append. Two operators race to replace the
document in force. Each append can take effect late, or twice after a lost
answer. The retention drops old records; one of the readers writes a
snapshot, which lags. A reader can restart at any time and starts from the
log or from the other reader.

The model calls the programs' own functions of ``control_reader``,
``control_log`` and ``log_start``.
"""

import dataclasses
import functools
import typing

import msgspec

from guavachute.decide.control import control_log
from guavachute.decide.control import control_reader
from guavachute.decide.control import log_start
from guavachute import ids
from guavachute.wire import records
from spec import checking

ENVIRONMENT = ids.EnvironmentName('e')
OPERATORS = ('p', 'q')
COPIES = 2
MAX_RECORDS = 5
FIELDS = ('log', 'first', 'operators', 'readers', 'went_back')

ONE_HEAD = 'readers of the same records have the same document in force'
NOT_BACK = 'a running reader never returns to an older document'
ONCE = 'each change comes into force at most once'
RACE = 'an operator loses the race only to another change'
TRUTH = "each operator's verdict agrees with the complete log"

Fold = typing.Callable[..., control_log.Folded]


class Operator(typing.NamedTuple):
    """The state of an operator.

    :ivar base: how many records it read before its change; -1 before that
    :ivar copies: how many times its change was appended
    :ivar verdict: 'accepted' or 'lost', once it knows
    """

    base: int = -1
    copies: int = 0
    verdict: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules; a variant replaces one of them.

    :ivar fold: how a record changes the state
    :ivar adopts_older: a reader adopts even an older state of a peer
    :ivar starts_at_snapshot: a start continues after the snapshot's own
        offset instead of after the last offset that the snapshot covers
    """

    fold: Fold = control_log.fold
    adopts_older: bool = False
    starts_at_snapshot: bool = False


def change(name: str, supersedes: int) -> records.ConfigurationChange:
    """Return the change of operator *name*."""
    return records.ConfigurationChange(
        record_id=ids.RecordId(name),
        environment=ENVIRONMENT,
        supersedes_offset=ids.Offset(supersedes),
        document={},
        digest=ids.Digest(name),
        author=name,
    )


@functools.cache
def parse(entry: tuple[typing.Any, ...]) -> records.ControlRecord:
    """Return the record of a short form in the model's log."""
    if entry[0] == 'snapshot':
        return records.Snapshot(
            record_id=ids.RecordId('snapshot'), state=state_of(entry[1])
        )
    return change(entry[0], entry[1])


def state_of(short: tuple[typing.Any, ...]) -> records.ControlState:
    """Return the state of a short form.

    It has the last folded offset, and the offset and the name of the head.
    """
    through, head_offset, name = short
    heads = {}
    if name:
        heads[ENVIRONMENT] = records.ConfigurationHead(
            offset=head_offset,
            record_id=ids.RecordId(name),
            digest=ids.Digest(name),
            document={},
            author=name,
        )
    return records.ControlState(through_offset=through, configurations=heads)


def short_of(state: records.ControlState) -> tuple[typing.Any, ...]:
    """Return the short form of a state."""
    head = state.configurations.get(ENVIRONMENT)
    if head is None:
        return (state.through_offset, records.NO_OFFSET, '')
    return (state.through_offset, head.offset, head.record_id)


class FoldModel:
    """The transitions under one set of rules.

    A state has the log, its first retained offset, the operators, each
    reader's state in short form and whether a reader has gone back.
    """

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._fold_all = functools.cache(self._fold_from)

    def _fold_from(
        self,
        short: tuple[typing.Any, ...],
        log: tuple[typing.Any, ...],
    ) -> tuple[tuple[typing.Any, ...], tuple[tuple[str, bool], ...]]:
        """Fold the remaining records of *log* into *short*.

        Returns the state, and for each record its name and whether it was
        accepted.
        """
        state = state_of(short)
        verdicts = []
        for offset in range(state.through_offset + 1, len(log)):
            record = parse(log[offset])
            state, verdict = self._rules.fold(
                state, ids.Offset(offset), record
            )
            accepted = verdict is control_log.Verdict.ACCEPTED
            verdicts.append((log[offset][0], accepted))
        return short_of(state), tuple(verdicts)

    def reference(
        self, log: tuple[typing.Any, ...]
    ) -> tuple[tuple[typing.Any, ...], tuple[tuple[str, bool], ...]]:
        """Fold the complete log, including what was dropped."""
        return self._fold_all((-1, -1, ''), log)

    def successors(self, state: checking.State) -> checking.Successors:
        """Yield the label and the state of each possible next step."""
        yield from self._operators(state)
        yield from self._readers(state)
        log, first, *rest = state
        if first < len(log) - 1:
            yield 'the retention drops a record', (log, first + 1, *rest)

    def _operators(self, state: checking.State) -> checking.Successors:
        log, first, operators, readers, back = state
        for index, name in enumerate(OPERATORS):
            operator = operators[index]
            if operator.base < 0:
                reading = operator._replace(base=len(log))
                yield (
                    f'{name} reads the head',
                    (
                        log,
                        first,
                        checking.replace_at(operators, index, reading),
                        readers,
                        back,
                    ),
                )
            elif not operator.verdict:
                yield from self._publish(state, index, name)
            if 0 < operator.copies < COPIES and len(log) < MAX_RECORDS:
                # A copy can also be appended late, after the verdict.
                yield (
                    f'{name} is appended again',
                    self._append_change(state, index, name),
                )

    def _publish(
        self, state: checking.State, index: int, name: str
    ) -> checking.Successors:
        log, first, operators, readers, back = state
        operator = operators[index]
        if operator.copies == 0:
            if len(log) < MAX_RECORDS:
                yield (
                    f'{name} is appended',
                    self._append_change(state, index, name),
                )
            return
        base, _ = self.reference(log[: operator.base])
        _, verdicts = self._fold_all(base, log)
        accepted = dict(reversed(verdicts))[name]
        decided = operator._replace(verdict='accepted' if accepted else 'lost')
        yield (
            f'{name} receives the verdict {decided.verdict}',
            (
                log,
                first,
                checking.replace_at(operators, index, decided),
                readers,
                back,
            ),
        )

    def _append_change(
        self, state: checking.State, index: int, name: str
    ) -> checking.State:
        log, first, operators, readers, back = state
        operator = operators[index]
        (_, head_offset, _), _ = self.reference(log[: operator.base])
        appended = operator._replace(copies=operator.copies + 1)
        return (
            (*log, (name, head_offset)),
            first,
            checking.replace_at(operators, index, appended),
            readers,
            back,
        )

    def _readers(self, state: checking.State) -> checking.Successors:
        log, first, operators, readers, back = state
        for index, reader in enumerate(readers):
            for label, new in self._reader_steps(state, index):
                worse = reader is not None and new[1] < reader[1]
                yield (
                    f'reader {index} {label}',
                    (
                        log,
                        first,
                        operators,
                        checking.replace_at(readers, index, new),
                        back or worse,
                    ),
                )
            # Only reader 1 restarts. Reader 0 writes the snapshots; its
            # restart would be like reader 1's and make the model larger.
            if reader is not None and index == 1:
                crashed = checking.replace_at(readers, index, None)
                yield (
                    f'reader {index} crashes',
                    (log, first, operators, crashed, back),
                )
        writer = readers[0]
        has_snapshot = any(entry[0] == 'snapshot' for entry in log)
        if writer and not has_snapshot and len(log) < MAX_RECORDS:
            entry = ('snapshot', writer)
            yield (
                'reader 0 writes a snapshot',
                ((*log, entry), first, operators, readers, back),
            )

    def _reader_steps(
        self, state: checking.State, index: int
    ) -> typing.Iterator[tuple[str, tuple[typing.Any, ...]]]:
        log, first, _, readers, _ = state
        reader = readers[index]
        other = readers[1 - index]
        if other is not None:
            # A follower that changes its source receives a complete state.
            yield 'adopts the state of the other', self._adopt(reader, other)
        if reader is None:
            started = self._start(log, first)
            if started is not None:
                yield 'starts from the log', started
        elif first <= reader[0] + 1 < len(log):
            yield 'reads', self._fold_all(reader, log[: reader[0] + 2])[0]
        elif reader[0] + 1 < first:
            started = self._start(log, first)
            if started is not None:
                yield 'starts from the log again', self._adopt(reader, started)

    def _adopt(
        self,
        mine: tuple[typing.Any, ...] | None,
        other: tuple[typing.Any, ...],
    ) -> tuple[typing.Any, ...]:
        if mine is None or self._rules.adopts_older:
            return other
        reader = control_reader.ControlReader(state_of(mine))
        reader.adopt(state_of(other))
        assert reader.state is not None
        return short_of(reader.state)

    def _start(
        self, log: tuple[typing.Any, ...], first: int
    ) -> tuple[typing.Any, ...] | None:
        """Find the start like a new process, searching from the end."""
        window = len(log)
        while True:
            found = [parse(entry) for entry in log[window:]]
            snapshots = [f for f in found if isinstance(f, records.Snapshot)]
            step = log_start.next_step(
                ids.Offset(first),
                ids.Offset(window),
                ids.Offset(len(log)),
                snapshots,
            )
            if isinstance(step, log_start.StateLost):
                return None
            if isinstance(step, log_start.Begin):
                return self._begin(step.state, log)
            # The programs move the window by hundreds of records, the
            # model by one.
            window = min(window - 1, step.from_offset)

    def _begin(
        self, state: records.ControlState, log: tuple[typing.Any, ...]
    ) -> tuple[typing.Any, ...]:
        if self._rules.starts_at_snapshot and state.through_offset >= 0:
            position = [entry[0] for entry in log].index('snapshot')
            state = msgspec.structs.replace(state, through_offset=position)
        return self._fold_all(short_of(state), log)[0]


def _fold_without_comparison(
    state: records.ControlState,
    offset: ids.Offset,
    record: records.ControlRecord,
) -> control_log.Folded:
    if isinstance(record, records.ConfigurationChange):
        head = state.configurations.get(ENVIRONMENT)
        record = msgspec.structs.replace(
            record, supersedes_offset=control_log.offset_of(head)
        )
    return control_log.fold(state, offset, record)


def _fold_with_snapshot_moving_head(
    state: records.ControlState,
    offset: ids.Offset,
    record: records.ControlRecord,
) -> control_log.Folded:
    through, head_offset, name = short_of(state)
    if isinstance(record, records.Snapshot) and name:
        state = state_of((through, offset, name))
    return control_log.fold(state, offset, record)


def _model(name: str, rules: Rules, violates: str | None) -> checking.Model:
    model = FoldModel(rules)

    def one_head(state: dict[str, typing.Any]) -> bool:
        return all(
            reader == model.reference(state['log'][: reader[0] + 1])[0]
            for reader in state['readers']
            if reader is not None
        )

    def once(state: dict[str, typing.Any]) -> bool:
        _, verdicts = model.reference(state['log'])
        accepted = [name for name, was in verdicts if was]
        return len(accepted) == len(set(accepted))

    def truth(state: dict[str, typing.Any]) -> bool:
        _, verdicts = model.reference(state['log'])
        accepted = {name for name, was in verdicts if was}
        return all(
            (operator.verdict == 'accepted') == (name in accepted)
            for name, operator in zip(
                OPERATORS, state['operators'], strict=True
            )
            if operator.verdict
        )

    def race(state: dict[str, typing.Any]) -> bool:
        _, verdicts = model.reference(state['log'])
        return all(
            any(was for _, was in verdicts[operator.base :])
            for operator in state['operators']
            if operator.verdict == 'lost'
        )

    first_document = ('old', -1)
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(
            (first_document,),
            0,
            (Operator(), Operator()),
            ((-1, -1, ''), (-1, -1, '')),
            False,
        ),
        successors=model.successors,
        properties={
            ONE_HEAD: one_head,
            NOT_BACK: lambda state: not state['went_back'],
            ONCE: once,
            RACE: race,
            TRUTH: truth,
        },
        violates=violates,
    )


def models() -> list[checking.Model]:
    """Return the model of the real rules and the faulty variants."""
    return [
        _model('fold with compare-and-set', Rules(), None),
        _model(
            'a change does not name what it supersedes',
            Rules(fold=_fold_without_comparison),
            ONCE,
        ),
        _model(
            'a reader adopts any state of a peer',
            Rules(adopts_older=True),
            NOT_BACK,
        ),
        _model(
            'a start continues after the snapshot, not after what it covers',
            Rules(starts_at_snapshot=True),
            ONE_HEAD,
        ),
        _model(
            'a snapshot moves the head that a change must name',
            Rules(fold=_fold_with_snapshot_moving_head),
            RACE,
        ),
    ]
