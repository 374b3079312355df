"""HTTP calls of tests, each on its own connection."""

import dataclasses
import http.client
import json
import typing

TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A response; status 0 means that none arrived."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


NO_ANSWER = Answer(0, {}, b'')


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request and return the response.

    Returns :data:`NO_ANSWER` if the connection fails. A body that ends too
    early is returned as far as it arrived.
    """
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(
            response.status,
            {name.lower(): value for name, value in response.headers.items()},
            _read_available(response),
        )
    except (ConnectionError, http.client.HTTPException):
        return NO_ANSWER
    finally:
        connection.close()


def _read_available(response: http.client.HTTPResponse) -> bytes:
    try:
        return response.read()
    except http.client.IncompleteRead as error:
        return error.partial


def events(body: bytes) -> list[dict[str, typing.Any]]:
    """Return the JSON events of a streamed answer, without its end marker."""
    lines = body.decode().split('\n\n')
    return [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line.startswith('data: {')
    ]


def text(body: bytes) -> str:
    """Return the text of a streamed completion."""
    return ''.join(event['choices'][0]['text'] for event in events(body))
