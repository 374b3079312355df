"""The numbering of one answer's tokens over all of its attempts.

The caller sees each token once and in order, whichever endpoint made it.
An event of another request or of an earlier attempt is dropped, and a
missing token ends the attempt, so that the answer is resumed instead of
delivered with a hole.
"""

import enum

import xxhash

from guavachute import ids


class Step(enum.Enum):
    """What to do with an event from an endpoint."""

    FORWARD = 'forward'
    DROP = 'drop'
    """It belongs to another request or attempt, or came before."""
    RESUME = 'resume'
    """A token is missing; this attempt can't be trusted any more."""


class Answer:
    """How far one answer has come.

    :ivar next_index: the number of the token that the caller needs next
    :ivar text: of the tokens that this process has seen
    """

    __slots__ = (
        'attempt_id', 'finished', 'first_index', 'next_index', 'request_id',
        '_texts',
    )  # fmt: skip

    def __init__(self, request_id: ids.RequestId, next_index: int = 0) -> None:
        self.request_id = request_id
        self.attempt_id: ids.AttemptId | None = None
        self.first_index = next_index
        self.next_index = next_index
        self.finished = False
        self._texts: list[str] = []

    @property
    def text(self) -> str:
        """What this process has seen of the answer."""
        return ''.join(self._texts)

    def begin(self, attempt_id: ids.AttemptId) -> None:
        """From now on only events of *attempt_id* count."""
        self.attempt_id = attempt_id

    def take(
        self,
        request_id: str,
        attempt_id: str,
        token_index: int,
        text: str | None,
        final: bool,
    ) -> Step:
        """Judge an event and, if it is the next one, count it in.

        :param token_index: of the token in the event
        :param text: of that token; None or empty where there is none
        :param final: the event ends the answer
        """
        if self.finished or request_id != self.request_id:
            return Step.DROP
        if attempt_id != self.attempt_id:
            return Step.DROP
        if text:
            if token_index < self.next_index:
                return Step.DROP
            if token_index > self.next_index:
                return Step.RESUME
            self._texts.append(text)
            self.next_index += 1
        self.finished = final
        return Step.FORWARD


def event_id(request_id: str, token_index: int) -> str:
    """The SSE id of an event: all that another router needs to go on."""
    return f'{request_id}:{token_index}'


def parse_event_id(text: str) -> tuple[ids.RequestId, int] | None:
    """The request and the number of the last token that a caller saw."""
    request_id, _, index = text.strip().rpartition(':')
    if not request_id.startswith('req-') or not index.isascii():
        return None
    if not index.isdigit():
        return None
    return ids.RequestId(request_id), int(index)


def seed_for(request_id: ids.RequestId) -> int:
    """The sampling seed of a request whose caller gave none.

    It follows from the id, so that a router which knows only the id from
    ``Last-Event-ID`` asks for the same answer.
    """
    return xxhash.xxh32_intdigest(request_id.encode()) & 0x7FFFFFFF
