"""The numbering of one answer's tokens over all of its attempts.

The caller sees each token once and in order, whichever endpoint made it.
An event of another request or of an earlier attempt is dropped, and a
missing token ends the attempt, so that the answer is resumed instead of
delivered with a hole.
"""

import enum
import re

import xxhash

from guavachute import ids

REQUEST_ID = re.compile('req-[A-Za-z0-9-]{1,60}')
"""Checked, for it comes back from callers and goes on to endpoints."""


class Step(enum.Enum):
    """What to do with an event from an endpoint."""

    FORWARD = 'forward'
    HIDE = 'hide'
    """The caller has this token already, from another router."""
    DROP = 'drop'
    """It belongs to another request or attempt, or came before."""
    RESUME = 'resume'
    """A token is missing; this attempt can't be trusted any more."""


class Answer:
    """How far one answer has come.

    :param deliver_from: the number of the first token that the caller
        still needs; those before came from another router
    :param known_text: the text before that, if the caller sent it along;
        without it those tokens are made again and not shown
    :ivar next_index: the number of the token that is due next
    """

    __slots__ = (
        'attempt_id', 'deliver_from', 'finished', 'next_index',
        'request_id', '_texts',
    )  # fmt: skip

    def __init__(
        self,
        request_id: ids.RequestId,
        deliver_from: int = 0,
        known_text: str | None = None,
    ) -> None:
        self.request_id = request_id
        self.attempt_id: ids.AttemptId | None = None
        self.deliver_from = deliver_from
        self.finished = False
        self.next_index = 0
        self._texts: list[str] = []
        if known_text is not None:
            self.next_index = deliver_from
            self._texts.append(known_text)

    @property
    def text(self) -> str:
        """The answer so far, what the caller sent along included."""
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
        if self.next_index <= self.deliver_from and not final:
            return Step.HIDE
        return Step.FORWARD


def event_id(request_id: str, token_index: int) -> str:
    """The SSE id of an event: all that another router needs to go on."""
    return f'{request_id}:{token_index}'


def parse_event_id(text: str) -> tuple[ids.RequestId, int] | None:
    """The request and the number of the last token that a caller saw."""
    request_id, _, index = text.strip().rpartition(':')
    if REQUEST_ID.fullmatch(request_id) is None:
        return None
    if not index.isascii() or not index.isdigit():
        return None
    return ids.RequestId(request_id), int(index)


def seed_for(request_id: ids.RequestId) -> int:
    """The sampling seed of a request whose caller gave none.

    It follows from the id, so that a router which knows only the id from
    ``Last-Event-ID`` asks for the same answer.
    """
    return xxhash.xxh32_intdigest(request_id.encode()) & 0x7FFFFFFF
