"""Encoding of a stand-in engine's HTTP responses."""

import http
import typing

import msgspec

from guavachute.standin import engine_job


def _chunk(data: bytes) -> bytes:
    """Return *data* as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def json_response(
    status: int,
    value: typing.Any,
    retry_after_s: int | None = None,
) -> bytes:
    """Return a complete HTTP response with a JSON body."""
    body = msgspec.json.encode(value)
    phrase = http.HTTPStatus(status).phrase
    lines = [
        f'HTTP/1.1 {status} {phrase}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    ]
    if retry_after_s is not None:
        lines.append(f'Retry-After: {retry_after_s}')
    return '\r\n'.join([*lines, '', '']).encode() + body


HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n'
)


class EventWriter:
    """Encodes the server-sent events of one attempt.

    The parts that don't change during an answer are encoded once, so that
    each token costs only one formatting operation.
    """

    def __init__(
        self, job: engine_job.Job, request_id: str, attempt_id: str
    ) -> None:
        self._job = job
        kind = 'chat.completion.chunk' if job.chat else 'text_completion'
        self._base: dict[str, typing.Any] = {
            'id': request_id,
            'object': kind,
            'created': 0,
            'model': job.model,
            'attempt_id': attempt_id,
        }
        start = msgspec.json.encode(self._base)[:-1].replace(b'%', b'%%')
        if job.chat:
            choice = b'{"index":0,"delta":{"content":"%b"},'
        else:
            choice = b'{"index":0,"text":"%b",'
        self._token = (
            b'data: '
            + start
            + b',"token_index":%d,"choices":['
            + choice
            + b'"finish_reason":null}]}\n\n'
        )

    def token_event(self, index: int, text: str) -> bytes:
        """Return the event of one token; *text* must need no escapes."""
        return _chunk(self._token % (index, text.encode()))

    def final_event(self, finish_reason: str) -> bytes:
        """Return the final event, the end marker and the last chunk."""
        piece: dict[str, typing.Any]
        piece = {'delta': {}} if self._job.chat else {'text': ''}
        event = {
            **self._base,
            'token_index': self._job.next_token,
            'choices': [{'index': 0, **piece, 'finish_reason': finish_reason}],
            'usage': usage(self._job),
        }
        data = b'data: ' + msgspec.json.encode(event) + b'\n\n'
        return _chunk(data + b'data: [DONE]\n\n') + b'0\r\n\r\n'


def usage(job: engine_job.Job) -> dict[str, int]:
    """Return the token counts of *job* so far, as in a response."""
    return {
        'prompt_tokens': job.prompt_tokens,
        'completion_tokens': job.next_token,
        'total_tokens': job.prompt_tokens + job.next_token,
        'cached_tokens': job.cached_tokens,
    }


def completion_response(job: engine_job.Job, finish_reason: str) -> bytes:
    """Return the complete response to a request without streaming."""
    text = ''.join(job.text)
    choice: dict[str, typing.Any] = {
        'index': 0,
        'finish_reason': finish_reason,
    }
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    value = {
        'id': job.request_id,
        'object': 'chat.completion' if job.chat else 'text_completion',
        'created': 0,
        'model': job.model,
        'attempt_id': job.attempt_id,
        'choices': [choice],
        'usage': usage(job),
    }
    return json_response(200, value)
