"""One budget for what all connections of callers hold in a process.

It counts the bytes of heads and bodies that are being read, of requests that
wait or run, and of unsent answers. Nothing is restricted while half of the
budget is free. With less, the process is *short*: a large body is read only
if all of it has room, those that are nearest to their end first; the others
wait in the buffers of the operating system, which count too. Where a body
waits for room, the requests that arrive slowest are refused. A request that
has begun is given up only if its caller reads nothing of its answer.
"""

import dataclasses
import enum
import math
import typing

from guavachute.decide.ingress.intake import process_limits

SHORT_FRACTION = 0.5
"""Above this fraction of the budget, large bodies need room before they are
read."""

RELIEVED_FRACTION = 0.4
"""Below this fraction, nothing is restricted any more."""

LARGE_FRACTION = 0.75
"""Up to this fraction of the budget, large bodies have room to be read."""

BEGIN_FRACTION = 0.9
"""Up to this fraction, large requests may begin; the rest of the budget is for
small ones."""

TINY_BEGIN_FRACTION = 1.1
"""The same for requests of up to :data:`TINY_BYTES`."""

SMALL_BYTES = 65_536
"""Requests of up to this size are read also when the process is short, but not
beyond the whole budget."""

TINY_BYTES = 4_096
"""What is read of each request even then."""

LONE_FRACTION = 1.5
"""A request that is almost alone may hold this multiple of the budget."""

RATED_AFTER_S = 0.5
"""A request is called slow only after it could be sent for this long."""

READ_ANSWER_S = 5.0
"""The same for an answer that the caller has to read: it is delivered if the
caller reads at all."""

OVER_FRACTION = 1.25
"""Above this fraction of the budget, answers are given up as soon as requests
that arrive slowly."""

MAX_WAIT_S = 2.0
"""A body that has waited for room this long is refused: its caller can come
back in time, and the buffers of the operating system are freed."""

SLOW_BYTES_PER_S = 65_536
"""Requests that arrive more slowly than this are refused when others wait for
room. At this rate, a body of the default limit takes a minute, four times the
time that a caller has for it."""

CONNECTION_BYTES = 6_144
"""What a connection costs by itself: its objects, parser and timers."""

HEADER_BYTES = 176
"""What a header costs beyond its text: two strings, their pair and a place in
a list."""

REQUEST_BYTES = 512
"""What a request costs beyond its headers and its body."""


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'
    """A request has begun; it is given up only if its answer isn't read."""
    SENDING = 'sending'
    """The answer is complete, and the caller has not read all of it."""
    LINGERING = 'lingering'
    """The last answer was sent, and the connection is being closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a connection holds.

    :ivar remaining_bytes: how much more the request that is being read may
        hold; an upper bound where its length is unknown
    :ivar moved_bytes: all bytes that were read from the connection; where the
        caller has to read an answer, all bytes that were sent
    :ivar unsent_bytes: of an answer that is sent while it is made; a part of
        what is held
    """

    phase: Phase
    held_bytes: int
    remaining_bytes: int = 0
    moved_bytes: int = 0
    unsent_bytes: int = 0


Key = typing.TypeVar('Key', bound=typing.Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Actions(typing.Generic[Key]):
    """What to do with the connections, in order.

    :ivar refuse: answer that the request has not run, and close
    :ivar wait: stop reading
    :ivar read: read again
    """

    refuse: list[Key]
    wait: list[Key]
    read: list[Key]


@dataclasses.dataclass(slots=True)
class _Account:
    usage: Usage
    since_s: float
    has_room: bool = False
    waits: bool = False
    waits_since_s: float = math.inf
    rated_from_s: float = 0.0
    rated_from_bytes: int = 0
    was_slow: bool = False

    def needed_bytes(self, copies: int) -> int:
        """How much more a body holds when it is complete and served."""
        remaining = self.usage.remaining_bytes
        return remaining + copies * (self.usage.held_bytes + remaining)

    @property
    def is_large(self) -> bool:
        """Whether it needs room for its body before it is read."""
        return (
            self.usage.phase is Phase.READING
            and self.usage.held_bytes + self.usage.remaining_bytes
            > SMALL_BYTES
        )

    def start_rating(self, now_s: float) -> None:
        """Rate the bytes that are moved from now on."""
        self.rated_from_s = now_s
        self.rated_from_bytes = self.usage.moved_bytes

    @property
    def is_rated(self) -> bool:
        """Whether its caller has something to send or to read."""
        phase = self.usage.phase
        return phase in (Phase.READING, Phase.SENDING) or (
            phase is Phase.SERVING and self.usage.unsent_bytes > 0
        )

    def is_slow(self, now_s: float, is_over: bool) -> bool:
        """Whether little was moved, though there was time to move it."""
        elapsed_s = now_s - self.rated_from_s
        phase = self.usage.phase
        reads_answer = phase is not Phase.READING
        least_s = RATED_AFTER_S
        if phase is Phase.SERVING or (reads_answer and not is_over):
            least_s = READ_ANSWER_S
        if self.waits or elapsed_s < least_s:
            return self.was_slow and not self.waits
        moved = self.usage.moved_bytes - self.rated_from_bytes
        if phase is Phase.SERVING:
            # A stream may be slow by itself.
            self.was_slow = not moved
        else:
            self.was_slow = moved < SLOW_BYTES_PER_S * elapsed_s
        self.start_rating(now_s)
        return self.was_slow


class Budget(typing.Generic[Key]):
    """What each connection holds, and what has to be done about it.

    :param copies: how often a body is copied to serve it
    :ivar total_bytes: what all connections hold
    :ivar is_short: whether large bodies need room before they are read
    """

    def __init__(
        self, allowed: process_limits.Limits, copies: int = 1
    ) -> None:
        self._limits = allowed
        self._copies = copies
        self._accounts: dict[Key, _Account] = {}
        self.total_bytes = 0
        self.is_short = False

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._accounts)

    @property
    def excess_connections(self) -> int:
        """How many connections have to be closed."""
        return max(0, len(self._accounts) - self._limits.connections)

    def record(self, key: Key, usage: Usage, now_s: float) -> bool:
        """Record what a connection holds; whether it has to wait.

        A large body that has no room has to wait until :meth:`decide` names
        it again.
        """
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(usage, now_s)
            account.start_rating(now_s)
            self.total_bytes += CONNECTION_BYTES + usage.held_bytes
        else:
            before, account.usage = account.usage, usage
            self.total_bytes += usage.held_bytes - before.held_bytes
            if usage.phase is not before.phase:
                account.since_s = now_s
                account.has_room = False
            if usage.phase is not before.phase or (
                bool(usage.unsent_bytes) is not bool(before.unsent_bytes)
            ):
                account.was_slow = False
                account.start_rating(now_s)
            if usage.phase is not Phase.READING:
                self._set_waiting(account, False)
        if self.total_bytes <= SHORT_FRACTION * self._limits.held_bytes:
            return False
        return (
            self.is_short
            and not account.has_room
            and self._needs_room(account)
        )

    def mark_waiting(self, key: Key) -> None:
        """Record that a connection is not read."""
        self._set_waiting(self._accounts[key], True)

    def remove(self, key: Key) -> None:
        """Record that a connection has been closed."""
        account = self._accounts.pop(key, None)
        if account is not None:
            self._set_waiting(account, False)
            self.total_bytes -= CONNECTION_BYTES + account.usage.held_bytes

    def _set_waiting(self, account: _Account, waits: bool) -> None:
        """What is not read fills the buffers of the operating system."""
        if waits is not account.waits:
            account.waits = waits
            account.waits_since_s = math.inf
            sign = 1 if waits else -1
            self.total_bytes += sign * self._limits.unread_bytes

    @property
    def is_full(self) -> bool:
        """Whether the connections hold more than they may."""
        return self.total_bytes > self._limits.held_bytes

    @property
    def reads_ahead(self) -> bool:
        """Whether a connection is read while its request is served."""
        return self.total_bytes <= SHORT_FRACTION * self._limits.held_bytes

    def has_spare(self, extra_bytes: int) -> bool:
        """Whether nothing is restricted if so much more is held."""
        return not self.is_short and (
            self.total_bytes + extra_bytes
            <= RELIEVED_FRACTION * self._limits.held_bytes
        )

    def _needs_room(self, account: _Account) -> bool:
        """Whether a request is read only if it has room to its end."""
        return account.is_large or (
            self.is_full
            and account.usage.phase is Phase.READING
            and account.usage.held_bytes > TINY_BYTES
        )

    def is_over(self) -> bool:
        """Whether :meth:`decide` is due at once."""
        limit = self._limits.held_bytes
        if self.is_short:
            return self.total_bytes > limit
        return self.total_bytes > SHORT_FRACTION * limit

    def may_begin(self, key: Key, extra_bytes: int) -> bool:
        """Whether a request may begin, which then holds so much more.

        A request that is alone always may.
        """
        account = self._accounts[key]
        limit = self._limits.held_bytes
        needed = account.usage.held_bytes + extra_bytes
        if needed <= TINY_BYTES:
            fraction = TINY_BEGIN_FRACTION
        else:
            fraction = 1.0 if needed <= SMALL_BYTES else BEGIN_FRACTION
        if self.total_bytes + extra_bytes <= round(fraction * limit):
            return True
        others = self.total_bytes - account.usage.held_bytes
        return (
            others <= RELIEVED_FRACTION * limit
            and needed <= LONE_FRACTION * limit
        )

    def decide(self, now_s: float, may_rate: bool = True) -> Actions[Key]:
        """Which connections are read, wait or are refused.

        :param may_rate: False where the process itself was too slow to read
        """
        limit = self._limits.held_bytes
        fraction = RELIEVED_FRACTION if self.is_short else SHORT_FRACTION
        self.is_short = self.total_bytes > fraction * limit
        if not self.is_short:
            return Actions([], [], self._resume(self._accounts, now_s))
        slow = self._slow(now_s) if may_rate else []
        chosen, others, room = self._give_room(set(slow))
        victims = self._victims(slow, chosen, others, room)
        refused = set(victims)
        remaining = [key for key in others if key not in refused]
        wait = self._make_wait(remaining, now_s)
        if may_rate:
            victims += self._waited_too_long(remaining, now_s)
        return Actions(
            self._idle_holders() + victims,
            wait,
            self._resume(self._waiting_small() + chosen, now_s),
        )

    def _give_room(self, slow: set[Key]) -> tuple[list[Key], list[Key], int]:
        """The bodies that have room, the others, and the room that is left.

        Those that are nearest to their end come first.

        :param slow: get no room
        """
        limit = self._limits.held_bytes
        room = round(LARGE_FRACTION * limit) - self.total_bytes
        large = sorted(
            (
                (key, account)
                for key, account in self._accounts.items()
                if self._needs_room(account) and key not in slow
            ),
            key=lambda item: item[1].usage.remaining_bytes,
        )
        chosen: list[Key] = []
        others: list[Key] = []
        for key, account in large:
            needed = account.needed_bytes(self._copies)
            if needed <= room:
                room -= needed
                chosen.append(key)
            else:
                others.append(key)
        if others and not chosen:
            account = self._accounts[others[0]]
            if self.total_bytes - account.usage.held_bytes <= (
                RELIEVED_FRACTION * limit
            ):
                # It is almost alone, and larger than all of the room.
                chosen.append(others.pop(0))
        for key in chosen:
            self._accounts[key].has_room = True
        for key in others:
            self._accounts[key].has_room = False
        return chosen, others, room

    def _make_wait(self, keys: list[Key], now_s: float) -> list[Key]:
        """Have bodies wait for room; those that did not wait before."""
        begun = []
        for key in keys:
            account = self._accounts[key]
            if not account.waits:
                self._set_waiting(account, True)
                begun.append(key)
            account.waits_since_s = min(account.waits_since_s, now_s)
        return begun

    def _waited_too_long(self, keys: list[Key], now_s: float) -> list[Key]:
        return [
            key
            for key in keys
            if now_s - self._accounts[key].waits_since_s >= MAX_WAIT_S
        ]

    def _waiting_small(self) -> list[Key]:
        """Requests that waited as the process was full, and it isn't now."""
        return [
            key
            for key, account in self._accounts.items()
            if account.waits and not self._needs_room(account)
        ]

    def to_close(self, count: int, newest: Key) -> list[Key]:
        """The connections to close where there are too many.

        Those that are being closed go first, then those that have been idle
        or have sent an incomplete request for longest.

        :param newest: has only been accepted, and is not closed
        """
        candidates = [
            (account.usage.phase is not Phase.LINGERING, account.since_s, key)
            for key, account in self._accounts.items()
            if account.usage.phase not in (Phase.SERVING, Phase.SENDING)
            and key is not newest
        ]
        candidates.sort(key=lambda item: item[:2])
        return [key for _, _, key in candidates[:count]]

    def _resume(self, keys: typing.Iterable[Key], now_s: float) -> list[Key]:
        resumed = []
        for key in keys:
            account = self._accounts[key]
            if account.waits:
                self._set_waiting(account, False)
                account.was_slow = False
                account.start_rating(now_s)
                resumed.append(key)
        return resumed

    def _slow(self, now_s: float) -> list[Key]:
        """Requests that arrive slowly, and answers that are read slowly.

        Those that hold most come first, and those that are served last.
        """
        is_over = self.total_bytes > OVER_FRACTION * self._limits.held_bytes
        found = [
            (account.usage.phase is Phase.SERVING, -account.usage.held_bytes,
             key)
            for key, account in self._accounts.items()
            if account.is_rated and account.is_slow(now_s, is_over)
        ]  # fmt: skip
        found.sort(key=lambda item: item[:2])
        return [key for _, _, key in found]

    def _idle_holders(self) -> list[Key]:
        """Idle connections that keep a large buffer."""
        return [
            key
            for key, account in self._accounts.items()
            if account.usage.phase is Phase.IDLE and account.usage.held_bytes
        ]

    def _victims(
        self, slow: list[Key], chosen: list[Key], others: list[Key], room: int
    ) -> list[Key]:
        """The requests to refuse, so that the next body has room."""
        if not others and room >= 0:
            return []
        needed = -room
        if others:
            nearest = self._accounts[others[0]]
            needed += max(0, nearest.needed_bytes(self._copies))
        refused: list[Key] = []
        for key in slow + self._farthest(chosen, others, needed):
            if needed <= 0:
                break
            refused.append(key)
            needed -= self._accounts[key].usage.held_bytes
        return refused

    def _farthest(
        self, chosen: list[Key], others: list[Key], needed: int
    ) -> list[Key]:
        """The bodies that give way where nobody is slow.

        Those that are farthest from their end come first. None does if
        bodies that are being read, or requests that are being served, will
        make the room.
        """
        if chosen:
            return []
        ending = sum(
            account.usage.held_bytes
            for account in self._accounts.values()
            if account.usage.phase in (Phase.SERVING, Phase.SENDING)
        )
        return [] if ending >= needed else list(reversed(others[1:]))
