"""What a stand-in engine is asked, and the settings it runs with."""

import dataclasses
import typing

import msgspec

from guavachute.decide.requests import prefix
from guavachute.http import server
from guavachute.standin import engine_text
from guavachute.standin import faults


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a stand-in engine behaves.

    :ivar slots: streams that run at the same time
    :ivar queue_limit: streams that wait; more are refused
    :ivar first_token_s: what the first token takes beside the prefill
    :ivar token_gap_s: between two tokens up to *knee_streams* streams
    :ivar gap_growth: each stream beyond the knee adds this share of the
        gap
    :ivar load_lag_s: how old a load report may be
    :ivar cache_event_loss: the share of events never told, 0 to 1
    :ivar checks_fencing: whether old fencing numbers are refused
    :ivar weight_store: fetch a newly wished model's weights there first
    """

    models: list[str] = msgspec.field(default_factory=lambda: ['demo'])
    slots: int = 32
    queue_limit: int = 64
    first_token_s: float = 0.02
    token_gap_s: float = 0.02
    prompt_tokens_per_s: float = 5000
    knee_streams: int = 32
    gap_growth: float = 0.05
    cache_blocks: int = 4096
    cache_event_delay_s: float = 0.5
    cache_event_loss: float = 0
    load_lag_s: float = 0.5
    kv_tokens: int = 400_000
    kv_bytes_per_token: int = 100_000
    kv_bytes_per_s: float = 1e9
    kv_handle_s: float = 30
    checks_fencing: bool = True
    weight_store: str | None = None
    seed: int = 0


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[dict[str, typing.Any]] | None = None

    def text(self) -> str:
        """The content as plain text."""
        if isinstance(self.content, list):
            return ''.join(str(part.get('text', '')) for part in self.content)
        return self.content or ''


class CompletionBody(msgspec.Struct, frozen=True):
    """What an engine reads of a completion's body."""

    model: str
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    resume_from: int = 0
    resume_text: str | None = None
    kv_handle: str | None = None

    def full_prompt(self) -> str:
        """The prompt, also that of a chat, as one text."""
        if self.messages is None:
            return self.prompt or ''
        return prefix.chat_text(
            (each.role, each.text()) for each in self.messages
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One attempt at an answer, and how far it got.

    :ivar seed: what the tokens depend on; wrong on purpose where the
        resumed text is not that of the unbroken answer
    :ivar end: one more than the last token's number
    :ivar next_token: the number of the token that comes next
    :ivar known_tokens: of prompt and resumed text, in an imported cache
    """

    request_id: str
    attempt_id: str
    model: str
    prompt: str
    prompt_tokens: int
    chain: list[str]
    chat: bool
    stream: bool
    seed: int
    end: int
    next_token: int
    resume_from: int
    resume_text: str
    priority: int
    deadline_s: float | None
    taken: server.Taken
    keeps_alive: bool
    fault: faults.Fault | None = None
    known_tokens: int = 0
    kv_ready_at_s: float = 0
    cached_tokens: int = 0
    text: list[str] = dataclasses.field(default_factory=list)

    @property
    def emitted(self) -> int:
        """Tokens that this attempt generated."""
        return self.next_token - self.resume_from

    @property
    def held_tokens(self) -> int:
        """Tokens that this stream keeps in the engine's memory."""
        return self.prompt_tokens + self.next_token


def answer_seed(body: CompletionBody, prompt: str, has_cache: bool) -> int:
    """The seed of the answer's tokens.

    A resume is only as good as what comes with it: without the text so
    far, or with another one, the rest doesn't fit what was said.
    """
    if not body.resume_from:
        return engine_text.seed(body.model, prompt)
    said = engine_text.expected_text(body.model, prompt, body.resume_from)
    if body.resume_text == said or (has_cache and not body.resume_text):
        return engine_text.seed(body.model, prompt)
    return engine_text.seed(body.model, prompt + (body.resume_text or '\0'))
