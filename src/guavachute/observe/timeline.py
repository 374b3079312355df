"""Extracts the log lines about one request, in chronological order."""

import dataclasses
import datetime
import typing

import msgspec

MARGIN_S = 2.0
"""Background events are shown from this long before the first line."""

BACKGROUND = frozenset({
    'configuration', 'dependency', 'duty', 'endpoint', 'peer', 'reader',
    'reload', 'start', 'stop', 'store-era',
})  # fmt: skip
"""Events that change a node's state, such as its known endpoints."""

_STANDARD_FIELDS = frozenset({'time', 'node', 'level', 'event'})


class Line(msgspec.Struct, frozen=True):
    """One line of a log; *fields* has the event's own fields."""

    time: str
    node: str
    event: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The lines about a request, with background events of its nodes.

    :ivar lines: in chronological order
    :ivar unreadable: number of input lines that are not log lines
    """

    lines: list[Line]
    unreadable: int


def read(
    source: typing.Iterable[str],
) -> tuple[list[Line], int]:
    """Parse a log; returns its lines and the number of unreadable ones.

    Text before the first brace of a line, such as a log collector's
    prefix, is ignored.
    """
    lines = []
    unreadable = 0
    for text in source:
        start = text.find('{')
        if start < 0:
            unreadable += bool(text.strip())
            continue
        try:
            found = msgspec.json.decode(text[start:].encode())
            lines.append(
                Line(
                    time=found['time'],
                    node=found['node'],
                    event=found['event'],
                    fields={
                        name: value
                        for name, value in found.items()
                        if name not in _STANDARD_FIELDS and value is not None
                    },
                )
            )
        except (msgspec.DecodeError, KeyError, TypeError):
            unreadable += 1
    return lines, unreadable


def of_request(source: typing.Iterable[str], request: str) -> Timeline:
    """The lines about *request*, with background events of its nodes.

    Events of endpoints are included only for endpoints that the request
    was sent to. Without a line about *request*, the result is empty.
    """
    lines, unreadable = read(source)
    own = [line for line in lines if line.fields.get('request') == request]
    if not own:
        return Timeline([], unreadable)
    nodes = {line.node for line in own}
    sent_to = {line.fields.get('endpoint') for line in own}
    first = min(_seconds(line.time) for line in own) - MARGIN_S
    last = max(_seconds(line.time) for line in own)
    around = [
        line
        for line in lines
        if line.node in nodes
        and line.event in BACKGROUND
        and first <= _seconds(line.time) <= last
        and (line.event != 'endpoint' or line.fields['endpoint'] in sent_to)
    ]
    found = sorted(own + around, key=lambda line: line.time)
    return Timeline(found, unreadable)


def text_of(line: Line) -> str:
    """Format *line* for a person, on one line."""
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.time} {line.node} {line.event}: {fields}'


def _seconds(time: str) -> float:
    """Seconds since 1970 of a line's time, ISO 8601."""
    return datetime.datetime.fromisoformat(time).timestamp()
