"""What a handler of an HTTP request gets and gives."""

import dataclasses
import typing
import urllib.parse

import msgspec

from guavachute import outcome


@dataclasses.dataclass(slots=True)
class Request:
    """One request whose body has been read.

    :ivar headers: names in lower case
    :ivar query: the last value of each query parameter
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """A whole answer, or a streamed one where *body* is an iterator."""

    status: int
    body: bytes | typing.Iterator[bytes] = b''
    content_type: str = 'application/json'
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Detach:
    """Returned by a handler that takes the connection over.

    The worker thread forgets the connection. The new owner uses
    :class:`guavachute.http.server.Taken` to answer.
    """


DETACH = Detach()

Handler = typing.Callable[[Request, typing.Any], Response | Detach]
"""Called with the request and the connection's ``server.Exchange``."""


def json_response(value: typing.Any, status: int = 200) -> Response:
    """*value* as JSON."""
    return Response(status, msgspec.json.encode(value))


def parse_query(query: str) -> dict[str, str]:
    """The last value of each parameter of a query string."""
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


Decoded = typing.TypeVar('Decoded')


def decode_json(
    body: bytes, expected: type[Decoded]
) -> Decoded | outcome.Failure:
    """*body* checked against *expected*; the failure names the path."""
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, str(error))
    except (UnicodeDecodeError, RecursionError) as error:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, f'body is not JSON: {error}'
        )
