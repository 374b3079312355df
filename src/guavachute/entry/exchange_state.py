"""The states of a request that an exchange serves."""

import dataclasses
import enum

from guavachute.platform import requests


class State(enum.Enum):
    """The progress of a request."""

    WAITING = 'waiting'
    SENT = 'sent'
    ANSWERING = 'answering'
    ENDED = 'ended'


class MoveState(enum.Enum):
    """Whether a move of the run to another endpoint is in progress."""

    NONE = 'none'
    REQUESTED = 'requested'
    """The endpoint was requested to stop the run and copy its KV cache."""


class AnswerMode(enum.Enum):
    """How the endpoint's current answer is processed."""

    NONE = 'none'
    FOREIGN = 'foreign'
    """The answer belongs to another request and is ignored."""
    REFUSAL = 'refusal'
    """The endpoint reports that it did not run the request."""
    BUFFERED = 'buffered'
    """The body is buffered, and forwarded when it is complete."""
    EVENTS = 'events'
    """Each complete event is forwarded at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An endpoint's answer that is passed on as a whole.

    :ivar is_framed: whether its length or chunks show that it is complete
    """

    head: requests.AnswerHead
    body: bytes
    is_framed: bool
