"""Faults that a test orders, and how each kind is carried out."""

import enum
import threading

import msgspec

from guavachute.http import message


class Kind(enum.Enum):
    """What goes wrong; docs/platform.md says how each looks."""

    LOSE_ANSWER = 'lose-answer'
    STALL = 'stall'
    REFUSE = 'refuse'
    CLOSE = 'close'
    SILENT = 'silent'
    CRASH = 'crash'
    DOUBLE = 'double'
    FOREIGN = 'foreign'


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One order for a fault.

    :ivar method: the requests it is for; None for all methods
    :ivar count: how often it happens; -1 for always
    :ivar match: happens only where the request's body holds this text
    :ivar after_tokens: for streams: the fault strikes once so many
        tokens of this attempt are out
    """

    kind: Kind
    path_prefix: str = '/'
    method: str | None = None
    count: int = 1
    delay_s: float = 0
    match: str = ''
    after_tokens: int = 0

    def applies(self, request: message.Request) -> bool:
        """Whether *request* is one of those that it is for."""
        return (
            self.method in (None, request.method)
            and request.path.startswith(self.path_prefix)
            and self.match.encode() in request.body
        )


class FaultOrders(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /faults``."""

    faults: list[Fault]


class FaultTable:
    """The faults still to happen; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._left: list[tuple[Fault, int]] = []
        self._happened: dict[Kind, int] = {}

    def add(self, fault: Fault) -> None:
        """Let *fault* happen from now on."""
        with self._lock:
            self._left.append((fault, fault.count))

    def clear(self) -> None:
        """Forget the faults that have not happened."""
        with self._lock:
            self._left.clear()

    def happened(self, kind: Kind) -> int:
        """How many faults of *kind* have struck."""
        with self._lock:
            return self._happened.get(kind, 0)

    def take(self, request: message.Request) -> Fault | None:
        """The first fault for *request*, which is counted as struck."""
        with self._lock:
            for place, (fault, left) in enumerate(self._left):
                if fault.applies(request):
                    self._count_down(place, fault, left)
                    return fault
        return None

    def _count_down(self, place: int, fault: Fault, left: int) -> None:
        count = self._happened.get(fault.kind, 0)
        self._happened[fault.kind] = count + 1
        if left > 1:
            self._left[place] = (fault, left - 1)
        elif left == 1:
            del self._left[place]
