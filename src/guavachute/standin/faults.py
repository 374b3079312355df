"""Faults that a test injects into a stand-in's requests."""

import enum
import threading

import msgspec

from guavachute.http import message


class Kind(enum.Enum):
    """The kind of a fault; docs/platform.md describes each kind."""

    LOSE_ANSWER = 'lose-answer'
    """Serves the request and closes the connection without an answer."""
    STALL = 'stall'
    """Delays the request; in a stream, delays the next token."""
    REFUSE = 'refuse'
    """Answers 503 without serving the request."""
    CLOSE = 'close'
    """Closes the connection without serving the request."""
    SILENT = 'silent'
    """Keeps the connection open and sends nothing more."""
    CRASH = 'crash'
    """Crashes the stand-in."""
    DOUBLE = 'double'
    """Serves the request twice; in a stream, sends each event twice."""
    FOREIGN = 'foreign'
    """Sends events of another attempt in a stream."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to inject, and the requests that it applies to.

    :ivar method: only requests of this method; None for all methods
    :ivar count: how many requests it affects; -1 for no limit
    :ivar match: only requests whose body contains this text
    :ivar after_tokens: in a stream, the fault occurs after the attempt
        has emitted this many tokens
    """

    kind: Kind
    path_prefix: str = '/'
    method: str | None = None
    count: int = 1
    delay_s: float = 0
    match: str = ''
    after_tokens: int = 0

    def applies(self, request: message.Request) -> bool:
        """Return whether the fault applies to *request*."""
        return (
            self.method in (None, request.method)
            and request.path.startswith(self.path_prefix)
            and self.match.encode() in request.body
        )


class FaultOrders(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /faults``."""

    faults: list[Fault]


class FaultTable:
    """The pending faults and counts of past ones; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: list[tuple[Fault, int]] = []
        self._injected: dict[Kind, int] = {}

    def add(self, fault: Fault) -> None:
        """Add *fault* after those that are already pending."""
        with self._lock:
            self._pending.append((fault, fault.count))

    def clear(self) -> None:
        """Discard all pending faults; the counts stay."""
        with self._lock:
            self._pending.clear()

    def injected_count(self, kind: Kind) -> int:
        """Return how many faults of *kind* have been injected."""
        with self._lock:
            return self._injected.get(kind, 0)

    def consume(self, request: message.Request) -> Fault | None:
        """Return the first fault that applies to *request*, or None.

        The fault counts as injected and uses up one of its ``count``.
        """
        with self._lock:
            for index, (fault, remaining) in enumerate(self._pending):
                if fault.applies(request):
                    self._record_injected(index, fault, remaining)
                    return fault
        return None

    def _record_injected(
        self, index: int, fault: Fault, remaining: int
    ) -> None:
        count = self._injected.get(fault.kind, 0)
        self._injected[fault.kind] = count + 1
        if remaining > 1:
            self._pending[index] = (fault, remaining - 1)
        elif remaining == 1:
            del self._pending[index]
