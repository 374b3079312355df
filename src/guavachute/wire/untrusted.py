"""Decodes what comes from outside, without ever raising.

What decodes is not yet a value that the system can use: a document may be
nested too deeply for the decoder, and a number may be too large for a float,
a socket or a log position. Decoders get the bounds below in their types, and
are called through :func:`decode`.
"""

import typing

import msgspec

from guavachute import outcome

MAX_INTEGER = 2**53
"""Counts, times and positions beyond this are not exact in every decoder."""

MAX_COUNT = 1_000_000_000
"""Upper bound of requests, slots and tokens; larger ones are nonsense."""

MAX_NAME_CHARACTERS = 200
MAX_DIGITS = 15
"""Decimal numbers with more digits are not decoded."""

MAX_FLOAT = 1e300
"""Sums and products of a few numbers up to this are finite."""

Integer = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
SignedInteger = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)
]
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
"""Neither infinite nor "not a number", which lax decoders read from text."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Quantity = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
TOKEN_PATTERN = rf'^[!-~]{{1,{MAX_NAME_CHARACTERS}}}$'
"""A name that fits into a header: visible ASCII characters."""

Token = typing.Annotated[str, msgspec.Meta(pattern=TOKEN_PATTERN)]

Value = typing.TypeVar('Value')


def decode(
    decoder: typing.Callable[[bytes], Value], data: bytes, what: str
) -> Value | outcome.Failure:
    """The result of *decoder*, or why *data* can't be decoded.

    :param what: names the data in the failure
    """
    try:
        return decoder(data)
    except RecursionError:
        reason = 'it is nested too deeply'
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        # UnicodeDecodeError is a ValueError.
        reason = str(error)
    return outcome.Failure(outcome.Reason.UNREADABLE, f'{what}: {reason}')


def is_amount(*values: float) -> bool:
    """Whether all *values* are finite, not negative and within bounds."""
    return all(0 <= value <= MAX_INTEGER for value in values)


def number(text: bytes | None) -> int | None:
    """A decimal number of at most :data:`MAX_DIGITS` digits, or None."""
    if text is None:
        return None
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
