"""Requests and responses of HTTP handlers."""

import dataclasses
import typing
import urllib.parse

import msgspec

from guavachute import outcome

BODILESS_STATUSES = (204, 304)
"""Answers with these have no body, and so none that could be cut off."""


@dataclasses.dataclass(slots=True)
class Request:
    """One request with its complete body.

    :ivar headers: by name in lower case
    :ivar query: the last value of each query parameter
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response, or a streamed one if *body* is an iterator."""

    status: int
    body: bytes | typing.Iterator[bytes] = b''
    content_type: str = 'application/json'
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Detach:
    """Returned by a handler that detached the connection.

    The worker thread no longer uses the connection. Its new owner writes
    the response through :class:`guavachute.http.server.DetachedConnection`.
    """


DETACH = Detach()

Handler = typing.Callable[[Request, typing.Any], Response | Detach]
"""Called with the request and the connection's ``server.Exchange``."""


def json_response(value: typing.Any, status: int = 200) -> Response:
    """A response with *value* encoded as JSON."""
    return Response(status, msgspec.json.encode(value))


def parse_query(query: str) -> dict[str, str]:
    """The last value of each parameter of a query string."""
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


Decoded = typing.TypeVar('Decoded')


def decode_json(
    body: bytes, expected: type[Decoded]
) -> Decoded | outcome.Failure:
    """Decode *body* as JSON and check it against the type *expected*.

    :returns: the value, or a failure that names the path of the first
        mismatch
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, str(error))
    except (UnicodeDecodeError, RecursionError) as error:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, f'body is not JSON: {error}'
        )
