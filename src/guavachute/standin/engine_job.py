"""Requests to a stand-in engine, its jobs and its settings."""

import dataclasses
import typing

import msgspec

from guavachute.decide.requests import prefix
from guavachute.http import server
from guavachute.standin import engine_text
from guavachute.standin import faults


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of a stand-in engine.

    :ivar slots: the most jobs that run at the same time
    :ivar queue_limit: the most jobs that are queued; more are rejected
    :ivar first_token_s: latency of the first token besides the prefill
    :ivar token_gap_s: time between two tokens of a stream, with at most
        *knee_streams* streams
    :ivar gap_growth: the fraction of the gap that each stream beyond
        *knee_streams* adds
    :ivar cache_event_loss: the fraction of lost cache events, 0 to 1
    :ivar load_lag_s: the maximum age of a load report
    :ivar kv_handle_s: how long an imported cache is held once it is ready
    :ivar checks_fencing: whether orders with an old fencing number are
        rejected
    :ivar weight_store: address of the store from which the weights of a
        newly ordered model are fetched; None if none are fetched
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
        """Return the content as plain text."""
        if isinstance(self.content, list):
            return ''.join(str(part.get('text', '')) for part in self.content)
        return self.content or ''


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion request that an engine reads."""

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
        """Return the prompt, or all messages of a chat, as one text."""
        if self.messages is None:
            return self.prompt or ''
        return prefix.chat_text(
            (each.role, each.text()) for each in self.messages
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One attempt at a completion and its progress.

    :ivar chain: the hashes of the prompt's blocks
    :ivar seed: determines the tokens; deliberately a different one if
        the resumed text isn't that of the uninterrupted answer
    :ivar end: the index after the last token's
    :ivar next_token: the index of the next token
    :ivar imported_tokens: tokens of the prompt and the resumed text that
        an imported cache covers
    :ivar cached_tokens: tokens of the prompt found in the prefix cache
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
    connection: server.DetachedConnection
    keeps_alive: bool
    fault: faults.Fault | None = None
    imported_tokens: int = 0
    kv_ready_at_s: float = 0
    cached_tokens: int = 0
    text: list[str] = dataclasses.field(default_factory=list)

    @property
    def emitted(self) -> int:
        """The number of tokens that this attempt has generated."""
        return self.next_token - self.resume_from

    @property
    def held_tokens(self) -> int:
        """The number of tokens that it occupies in the engine's memory."""
        return self.prompt_tokens + self.next_token


def answer_seed(body: CompletionBody, prompt: str, has_cache: bool) -> int:
    """Return the seed of the answer's tokens.

    A resumed answer continues correctly only if the request carries the
    text so far or its cache. Without them, or with another text, the seed
    differs, so the generated tokens don't continue the original answer.
    """
    if not body.resume_from:
        return engine_text.seed(body.model, prompt)
    expected = engine_text.expected_text(body.model, prompt, body.resume_from)
    if body.resume_text == expected or (has_cache and not body.resume_text):
        return engine_text.seed(body.model, prompt)
    return engine_text.seed(body.model, prompt + (body.resume_text or '\0'))
