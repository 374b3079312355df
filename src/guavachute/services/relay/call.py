"""A model request and the relay's state of its stream."""

import dataclasses
import time
import typing

import msgspec

from guavachute.decide.requests import answer
from guavachute.decide.requests import attempts
from guavachute.decide.requests import silence
from guavachute import ids
from guavachute.observe import traces
from guavachute.services.relay import downstream
from guavachute.services.relay import events
from guavachute.services.relay import upstream
from guavachute.services.relay import work as relay_work
from guavachute.wire import tables

COUNTED_STEPS = frozenset({answer.Step.FORWARD, answer.Step.HIDE})
"""Steps for which the token of the event counts as part of the answer."""


@dataclasses.dataclass(slots=True)
class ModelCall:
    """A checked request, as the front hands it to the relay.

    :ivar chat: whether the caller used the chat format
    :ivar streamed: True for a stream of events, False for one complete
        answer
    :ivar body: the caller's fields, passed on to the engine
    :ivar resume_from: number of tokens that the caller already received
        from another router; 0 for a new request
    :ivar resume_text: the text of these tokens, if the caller sent it
    :ivar deadline_s: on the monotonic clock
    :ivar received_s: when the request arrived, on the monotonic clock
    :ivar priority: 0 is the most urgent
    :ivar caller: the response to write
    :ivar span: the trace span of the request
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    model: ids.ModelName
    pool: ids.PoolName
    chat: bool
    streamed: bool
    body: dict[str, typing.Any]
    prompt: str
    priority: int
    deadline_s: float
    received_s: float
    resume_from: int
    resume_text: str | None
    caller: downstream.Downstream
    span: traces.Span
    context: traces.Context

    @property
    def path(self) -> str:
        """The path of the engine's API for this request."""
        return '/v1/chat/completions' if self.chat else '/v1/completions'


class Stream:
    """The relay's state of one request.

    :ivar connection: to the endpoint of the running attempt, if any
    :ivar endpoint: of the running or last attempt
    :ivar span: the trace span of the running attempt
    :ivar first_token_s: when the first token arrived, over all attempts
    :ivar moving: whether the engine is exporting the stream's KV cache
    :ivar target: endpoint that has the exported KV cache, for the next
        attempt
    :ivar kv_handle: names the exported KV cache in the next request
    :ivar paused: whether reading from the endpoint is paused
    :ivar ended: whether the end of the response is queued for the caller
        or the caller is gone
    :ivar work: accounting data from admission until the stream leaves
        the gate
    """

    __slots__ = (
        'answer', 'call', 'caller', 'connection', 'endpoint', 'ended',
        'first_token_s', 'history', 'moving', 'paused', 'span', 'target',
        'watch',
        'splitter', 'usage', 'finish_reason', '_id_prefix', 'work',
        'kv_handle',
    )  # fmt: skip

    def __init__(self, call: ModelCall, now_s: float) -> None:
        self.call = call
        self.caller = call.caller
        self._id_prefix = b'id: %b:' % call.request_id.encode()
        self.answer = answer.Answer(
            call.request_id, call.resume_from, call.resume_text
        )
        self.history = attempts.History()
        self.connection: upstream.Connection | None = None
        self.endpoint: tables.EndpointEntry | None = None
        self.span: traces.Span | None = None
        self.splitter = events.Splitter()
        self.usage = events.Usage()
        self.finish_reason: str | None = None
        self.first_token_s: float | None = None
        self.watch = silence.Watch(True, 0.0, now_s)
        self.moving = False
        self.target: ids.EndpointId | None = None
        self.paused = False
        self.ended = False
        self.work: relay_work.Work | None = None
        self.kv_handle: str | None = None

    def handle_data(self, data: bytes) -> tuple[list[bytes], answer.Step]:
        """Split *data* into events and check them.

        :returns: the encoded events for the caller, and ``RESUME`` if an
            event is malformed, too long or shows that a token is missing,
            otherwise ``FORWARD``
        """
        parts: list[bytes] = []
        for event in self.splitter.feed(data):
            if event == events.DONE:
                continue
            try:
                chunk = events.decode_chunk(event)
            except (msgspec.ValidationError, msgspec.DecodeError):
                return parts, answer.Step.RESUME
            step = self._handle_chunk(chunk)
            if step is answer.Step.FORWARD:
                number = self.answer.next_index - 1
                parts.append(
                    b'%b%d\ndata: %b\n\n' % (self._id_prefix, number, event)
                )
            elif step is answer.Step.RESUME:
                return parts, step
        if self.splitter.is_too_long:
            return parts, answer.Step.RESUME
        return parts, answer.Step.FORWARD

    def _handle_chunk(self, chunk: events.Chunk) -> answer.Step:
        text, reason = events.text_and_end(chunk)
        step = self.answer.handle_event(
            chunk.id,
            chunk.attempt_id,
            chunk.token_index,
            text,
            reason is not None,
        )
        if reason is not None and step in COUNTED_STEPS:
            self.finish_reason = reason
            if chunk.usage is not None:
                self.usage = chunk.usage
        return step

    def encode_request(
        self, attempt_id: ids.AttemptId, address: str, now_s: float
    ) -> bytes:
        """Encode the HTTP request for the remaining answer.

        Uses up :attr:`kv_handle`, which is valid for one attempt.
        """
        call = self.call
        body = {**call.body, 'stream': True}
        body.setdefault('seed', answer.seed_for(call.request_id))
        if self.answer.next_index:
            body['resume_from'] = self.answer.next_index
            body['resume_text'] = self.answer.text
        if self.kv_handle is not None:
            body['kv_handle'] = self.kv_handle
            self.kv_handle = None
        remaining_s = max(call.deadline_s - now_s, 0.0)
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': call.request_id,
            'X-Attempt-Id': attempt_id,
            'X-Priority': str(call.priority),
            'X-Deadline-S': f'{remaining_s:.3f}',
        }
        if self.span is not None:
            context = traces.context_of(self.span, call.context)
            headers |= traces.headers_for(context)
        return upstream.encode_request(
            'POST', call.path, address, headers, msgspec.json.encode(body)
        )

    def complete_body(self) -> bytes:
        """The JSON body of the complete answer in OpenAI's format."""
        call = self.call
        choice: dict[str, typing.Any] = {
            'index': 0,
            'finish_reason': self.finish_reason,
            'logprobs': None,
        }
        if call.chat:
            message = {'role': 'assistant', 'content': self.answer.text}
            choice['message'] = message
        else:
            choice['text'] = self.answer.text
        usage = self.usage
        return msgspec.json.encode(
            {
                'id': call.request_id,
                'object': 'chat.completion' if call.chat
                else 'text_completion',
                'created': int(time.time()),
                'model': call.model,
                'choices': [choice],
                'usage': {
                    'prompt_tokens': usage.prompt_tokens,
                    'completion_tokens': usage.completion_tokens,
                    'total_tokens': usage.prompt_tokens
                    + usage.completion_tokens,
                    'prompt_tokens_details': {
                        'cached_tokens': usage.cached_tokens
                    },
                },
            }
        )  # fmt: skip
