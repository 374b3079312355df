"""Calls of the tests, each on a connection of its own."""

import dataclasses
import http.client
import json
import typing

TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer, or with status 0 that none came."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """The body as a plain value."""
        return json.loads(self.body)


NO_ANSWER = Answer(0, {}, b'')


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request; :data:`NO_ANSWER` when the connection ends."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(
            response.status,
            {name.lower(): value for name, value in response.headers.items()},
            _read_what_comes(response),
        )
    except (ConnectionError, http.client.HTTPException):
        return NO_ANSWER
    finally:
        connection.close()


def _read_what_comes(response: http.client.HTTPResponse) -> bytes:
    try:
        return response.read()
    except http.client.IncompleteRead as error:
        return error.partial


def events(body: bytes) -> list[dict[str, typing.Any]]:
    """The JSON events of a streamed answer, without the end mark."""
    lines = body.decode().split('\n\n')
    return [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line.startswith('data: {')
    ]


def text(body: bytes) -> str:
    """The text of a streamed completion."""
    return ''.join(event['choices'][0]['text'] for event in events(body))
