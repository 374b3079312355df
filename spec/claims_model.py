"""A model of order claims: one order, sent several times, via routers.

Each attempt claims the key with a record that may be appended late, twice
or never. An attempt whose claim is read as the first can be dispatched
once. A router can crash at any time; the caller then sends the order
again. Two committers read the log with different lags.

The fold is that of ``decide.orders.order_claims``. The rules by which a
router dispatches an order, gives it up or learns its result are repeated
here; ``decide.orders.order_commit`` and the routers implement them.
"""

import dataclasses
import enum
import functools
import typing

from guavachute.decide.orders import order_claims
from guavachute import ids
from guavachute.wire import order_records
from spec import checking

KEY = 'key'
BODY = 'body'
WINDOW_S = 1000.0
COMMITTER_OF = {'a': 0, 'b': 1, 'c': 0}
ATTEMPTS = tuple(COMMITTER_OF)
MAX_RECORDS = 4
COPIES = 2
FIELDS = ('log', 'read', 'phases', 'runs', 'told_not_run')

AT_MOST_ONCE = 'an order runs at most once, over all its attempts'
NOT_RUN = 'an attempt whose caller is told "not run" never runs'


class Phase(enum.IntEnum):
    """The phase of an attempt."""

    IDLE = 0
    WAITING = 1
    WON = 2
    DISPATCHED = 3
    ANSWERED = 4
    UNKNOWN = 5
    NOT_RUN = 6
    DEAD = 7
    """Its router crashed; the caller got no answer."""


CAN_DIE = (Phase.WAITING, Phase.WON, Phase.DISPATCHED)
CAN_GIVE_UP = (Phase.WAITING, Phase.WON)
Log = tuple[tuple[str, str], ...]


class _LastClaimHolds(order_claims.Claims):
    """A faulty fold in which a later claim takes the key over."""

    def apply_claim(
        self, claim: order_records.OrderClaim, now_unix_s: float
    ) -> None:
        """Discard the holder before the claim is folded."""
        self._key(claim.key_digest).holder = None
        super().apply_claim(claim, now_unix_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules; a variant replaces one of them.

    :ivar trusts_append: an attempt is dispatched as soon as its claim is
        in the log, even if it isn't the first
    :ivar gives_up_dispatched: the key of a dispatched order can be freed
    :ivar dispatches_late: an attempt can be dispatched after its caller was
        told "not run"
    """

    claims: type[order_claims.Claims] = order_claims.Claims
    trusts_append: bool = False
    gives_up_dispatched: bool = False
    dispatches_late: bool = False


def record_of(kind: str, attempt: str) -> order_records.OrderRecord:
    """Return the record of *kind*, the short form in the model's log."""
    attempt_id = ids.AttemptId(attempt)
    if kind == 'claim':
        return order_records.OrderClaim(
            key_digest=KEY,
            attempt_id=attempt_id,
            body_digest=BODY,
            claimed_unix_s=0.0,
        )
    if kind == 'give-up':
        return order_records.OrderGiveUp(key_digest=KEY, attempt_id=attempt_id)
    return order_records.OrderAnswer(
        key_digest=KEY,
        attempt_id=attempt_id,
        status=200,
        headers={},
        body=None,
    )


class ClaimsModel:
    """The transitions under one set of rules.

    A state has the log, how far each committer has read it and, for each
    attempt, its phase, how often it ran and whether its caller was told
    "not run".
    """

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._status = functools.cache(self._fold)

    def _fold(self, log: Log, attempt: str) -> order_claims.AttemptStatus:
        claims = self._rules.claims(WINDOW_S)
        for offset, (kind, name) in enumerate(log):
            claims.fold(offset, record_of(kind, name), 0.0)
        return claims.status_of(KEY, ids.AttemptId(attempt), BODY)

    def successors(self, state: checking.State) -> checking.Successors:
        """Yield the label and the state of each possible next step."""
        log, read, phases, runs, told = state
        for committer, position in enumerate(read):
            if position < len(log):
                further = checking.replace_at(read, committer, position + 1)
                yield (
                    f'committer {committer} reads',
                    (log, further, phases, runs, told),
                )
        for index, attempt in enumerate(ATTEMPTS):
            phase = phases[index]
            for label, new in self._steps(log, read, attempt, phase):
                ran = new is Phase.DISPATCHED
                tells_not_run = new is Phase.NOT_RUN
                yield (
                    f'{attempt} {label}',
                    (
                        log,
                        read,
                        checking.replace_at(phases, index, new),
                        checking.replace_at(runs, index, runs[index] + ran),
                        checking.replace_at(
                            told, index, told[index] or tells_not_run
                        ),
                    ),
                )
            for kind in self._records(phase):
                entry = (kind, attempt)
                if len(log) < MAX_RECORDS and log.count(entry) < COPIES:
                    yield (
                        f'{kind} of {attempt} is appended',
                        ((*log, entry), read, phases, runs, told),
                    )

    def _steps(
        self,
        log: Log,
        read: tuple[int, ...],
        attempt: str,
        phase: Phase,
    ) -> typing.Iterator[tuple[str, Phase]]:
        seen = log[: read[COMMITTER_OF[attempt]]]
        status = self._status(seen, attempt)
        waits = phase is Phase.WAITING
        if phase is Phase.IDLE and status is order_claims.AttemptStatus.FREE:
            yield 'is claimed', Phase.WAITING
        if waits and status is order_claims.AttemptStatus.HOLDS:
            yield 'wins', Phase.WON
        if waits and status is order_claims.AttemptStatus.LOST:
            yield 'loses', Phase.UNKNOWN
        if waits and self._rules.trusts_append and ('claim', attempt) in log:
            yield 'wins by its append', Phase.WON
        if phase is Phase.NOT_RUN and self._rules.dispatches_late:
            if status is order_claims.AttemptStatus.HOLDS:
                yield 'wins late', Phase.WON
        if phase is Phase.WON:
            yield 'is dispatched', Phase.DISPATCHED
        if phase is Phase.DISPATCHED:
            yield 'is answered', Phase.ANSWERED
        if phase in CAN_GIVE_UP:
            yield 'is given up', Phase.NOT_RUN
        if phase in CAN_DIE:
            yield "'s router crashes", Phase.DEAD

    def _records(self, phase: Phase) -> typing.Iterator[str]:
        """Yield the kinds of records that may be appended now.

        A record that was sent can be appended at any later time.
        """
        if phase is not Phase.IDLE:
            yield 'claim'
        if phase is Phase.NOT_RUN:
            yield 'give-up'
        if phase is Phase.DISPATCHED and self._rules.gives_up_dispatched:
            yield 'give-up'
        if phase is Phase.ANSWERED:
            yield 'answer'


def _not_run_holds(state: dict[str, typing.Any]) -> bool:
    return not any(
        told and runs
        for told, runs in zip(
            state['told_not_run'], state['runs'], strict=True
        )
    )


def _model(name: str, rules: Rules, violates: str | None) -> checking.Model:
    return checking.Model(
        name=name,
        fields=FIELDS,
        initial=(
            (),
            (0, 0),
            (Phase.IDLE,) * len(ATTEMPTS),
            (0,) * len(ATTEMPTS),
            (False,) * len(ATTEMPTS),
        ),
        successors=ClaimsModel(rules).successors,
        properties={
            AT_MOST_ONCE: lambda state: sum(state['runs']) <= 1,
            NOT_RUN: _not_run_holds,
        },
        violates=violates,
    )


def models() -> list[checking.Model]:
    """Return the model of the real rules and the faulty variants."""
    return [
        _model('order claims', Rules(), None),
        _model(
            'an appended claim counts as the first one',
            Rules(trusts_append=True),
            AT_MOST_ONCE,
        ),
        _model(
            'the last claim holds the key',
            Rules(claims=_LastClaimHolds),
            AT_MOST_ONCE,
        ),
        _model(
            'a dispatched order is given up',
            Rules(gives_up_dispatched=True),
            AT_MOST_ONCE,
        ),
        _model(
            'an attempt is dispatched after its caller was told "not run"',
            Rules(dispatches_late=True),
            NOT_RUN,
        ),
    ]
