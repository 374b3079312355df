"""A reader's position in the control stream, which never moves back."""

import dataclasses
import typing

from guavachute.decide.control import control_log
from guavachute import ids
from guavachute import outcome
from guavachute.wire import records


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """One record and its verdict.

    :ivar raw: the record as plain values, as other versions wrote it
    :ivar record: None when this version can't read it
    """

    offset: ids.Offset
    raw: typing.Any
    record: records.ControlRecord | None
    verdict: control_log.Verdict


class ControlReader:
    """Folds records in order, each of them once.

    :ivar state: None until the first state is adopted
    """

    def __init__(self, state: records.ControlState | None = None) -> None:
        self.state = state

    def adopt(self, state: records.ControlState) -> bool:
        """Replace the state by *state* if that is further along the log.

        Returns whether it was replaced.
        """
        if (
            self.state is not None
            and state.through_offset <= self.state.through_offset
        ):
            return False
        self.state = state
        return True

    def fold_entries(
        self, entries: typing.Iterable[records.Entry]
    ) -> tuple[Folded, ...] | outcome.Failure:
        """Fold the entries that follow on the state; skip earlier ones.

        Returns a failure, and leaves the state unchanged, if records
        between the state and an entry are missing. A state must have
        been adopted before.
        """
        state = self.state
        assert state is not None, 'records came before any state'
        folded = []
        for entry in entries:
            if entry.offset <= state.through_offset:
                continue
            if entry.offset > state.through_offset + 1:
                return outcome.Failure(
                    outcome.Reason.RETENTION,
                    f'record {entry.offset} follows on {state.through_offset}',
                )
            parsed = records.parse(entry.record)
            record = None if isinstance(parsed, outcome.Failure) else parsed
            state, verdict = control_log.fold(state, entry.offset, record)
            folded.append(Folded(entry.offset, entry.record, record, verdict))
        self.state = state
        return tuple(folded)
