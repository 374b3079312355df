"""Numbers the tokens of one answer across all of its attempts.

The caller receives each token once and in order, whichever endpoint
generated it. Events of another request or of an earlier attempt are
dropped. A missing token ends the attempt: the answer is resumed, so that
it is not delivered with a gap.
"""

import enum
import re

import xxhash

from guavachute import ids

REQUEST_ID = re.compile('req-[A-Za-z0-9-]{1,60}')
"""The format of request ids. Ids are checked against it, because callers
send them back and the router passes them on to endpoints."""


class Step(enum.Enum):
    """What the router does with an event from an endpoint."""

    FORWARD = 'forward'
    """Pass it on to the caller."""
    HIDE = 'hide'
    """Count it, but don't send it: the caller already received this token
    from another router."""
    DROP = 'drop'
    """Ignore it: it belongs to another request or attempt, or is a
    duplicate."""
    RESUME = 'resume'
    """A token is missing; the attempt ends and the answer is resumed."""


class Answer:
    """The progress of one answer.

    :param deliver_from: index of the first token that the caller still
        needs; another router delivered those before it
    :param known_text: the text before that token, if the caller sent it.
        Without it those tokens are generated again and not sent
    :ivar attempt_id: the current attempt, or None before the first
    :ivar finished: whether the final event has been handled
    :ivar next_index: index of the next expected token
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
        """The text so far, including the text that the caller sent."""
        return ''.join(self._texts)

    def begin_attempt(self, attempt_id: ids.AttemptId) -> None:
        """Accept only events of *attempt_id* from now on."""
        self.attempt_id = attempt_id

    def handle_event(
        self,
        request_id: str,
        attempt_id: str,
        token_index: int,
        text: str | None,
        final: bool,
    ) -> Step:
        """Decide what to do with an event; append its token if expected.

        :param token_index: index of the token in the event
        :param text: text of that token; None or empty if the event has
            none
        :param final: whether the event ends the answer
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
    """Return the SSE id of an event.

    It holds all that another router needs to continue the answer.
    """
    return f'{request_id}:{token_index}'


def parse_event_id(text: str) -> tuple[ids.RequestId, int] | None:
    """Parse an SSE id into the request id and the token index.

    Returns None if *text* is not an id made by :func:`event_id`.
    """
    request_id, _, index = text.strip().rpartition(':')
    if REQUEST_ID.fullmatch(request_id) is None:
        return None
    if not index.isascii() or not index.isdigit():
        return None
    return ids.RequestId(request_id), int(index)


def seed_for(request_id: ids.RequestId) -> int:
    """Return the sampling seed of a request whose caller gave none.

    It is a hash of the id, so that a router that only knows the id from
    ``Last-Event-ID`` requests the same answer.
    """
    return xxhash.xxh32_intdigest(request_id.encode()) & 0x7FFFFFFF
