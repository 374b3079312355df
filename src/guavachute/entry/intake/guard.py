"""Keeps what callers hold within the budget of the process."""

import typing

from guavachute.decide.ingress.intake import budget
from guavachute.decide.ingress.intake import process_limits
from guavachute.entry import loop as entry_loop
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics

CHECK_PERIOD_S = 0.1
"""Interval at which bodies that wait are given room. Each check goes through
all connections."""

LEAST_PERIOD_S = 0.02
"""While the process is short, connections are not checked more often."""

LOG_PERIOD_S = 5.0
"""The log says at most this often what was done; a client can cause many
actions."""

CLOSED_AT_ONCE = 64
"""With too many connections, this part of their number is closed at a
time, as finding them takes longer with many."""


class Guarded(typing.Hashable, typing.Protocol):
    """A connection of a caller."""

    @property
    def usage(self) -> budget.Usage:
        """What it holds."""

    def stop_reading(self) -> None:
        """Leave what arrives to the operating system."""

    def read_again(self) -> None:
        """Read what arrives."""

    def refuse_unread(self) -> None:
        """Refuse what was not completely read, and close.

        Also closes where the caller doesn't read its answer, or is idle.
        """

    def give_way(self) -> None:
        """Close at once, unless a request has begun."""


class Guard:
    """The connections of all callers of an address, and their budget.

    :param name: in the log and the names of metrics
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        limits: process_limits.Limits,
        metrics: observe_metrics.Metrics | None = None,
        name: str = 'intake',
    ) -> None:
        self._loop = loop
        self._name = name
        self._limits = limits
        self._budget: budget.Budget[Guarded] = budget.Budget(limits)
        self._metrics = metrics
        self._is_checking = False
        self._is_acting = False
        self._acted_s = loop.now_s
        self._logged_s = -LOG_PERIOD_S
        self._done: dict[str, int] = {}
        if metrics is not None:
            metrics.gauge(
                f'{name}_held_bytes', lambda: self._budget.total_bytes
            )
            metrics.gauge(f'{name}_limit_bytes', lambda: limits.held_bytes)

    def add(self, connection: Guarded) -> None:
        """Count a connection that was accepted."""
        self._budget.record(connection, connection.usage, self._loop.now_s)
        if not self._budget.excess_connections:
            return
        at_once = max(1, self._limits.connections // CLOSED_AT_ONCE)
        for each in self._budget.to_close(at_once, connection):
            self._count('closed')
            each.give_way()
        if self._budget.excess_connections:
            # All others are being served. The caller of this method has not
            # finished with the connection.
            self._count('closed')
            self._loop.call_after(0, connection.give_way)

    def remove(self, connection: Guarded) -> None:
        """Forget a connection that was closed."""
        self._budget.remove(connection)

    def update(self, connection: Guarded) -> None:
        """Count what a connection holds now, and act if it is too much."""
        if self._budget.record(connection, connection.usage, self._loop.now_s):
            self._budget.mark_waiting(connection)
            self._count('waits')
            connection.stop_reading()
        if self._budget.is_over() and (
            not self._budget.is_short
            or self._loop.now_s - self._acted_s >= LEAST_PERIOD_S
        ):
            self._act()

    @property
    def unread_bytes(self) -> int:
        """What is received on a connection before it is read."""
        return self._limits.unread_bytes

    @property
    def reads_ahead(self) -> bool:
        """Whether connections are read while their request is served."""
        return self._budget.reads_ahead

    @property
    def is_short(self) -> bool:
        """Whether large bodies need room before they are read."""
        return self._budget.is_short

    def has_spare(self, extra_bytes: int) -> bool:
        """Whether nothing is restricted if so much more is held."""
        return self._budget.has_spare(extra_bytes)

    def may_begin(self, connection: Guarded, extra_bytes: int) -> bool:
        """Whether a request that was read has room to run."""
        if self._budget.may_begin(connection, extra_bytes):
            return True
        self._count('refused')
        return False

    def _act(self) -> None:
        if self._is_acting:
            return
        self._is_acting = True
        try:
            self._carry_out()
        finally:
            self._is_acting = False

    def _carry_out(self) -> None:
        self._acted_s = self._loop.now_s
        actions = self._budget.decide(
            self._loop.now_s, not self._loop.is_catching_up
        )
        for each in actions.wait:
            self._count('waits')
            each.stop_reading()
        for each in actions.refuse:
            self._count('refused')
            each.refuse_unread()
        for each in actions.read:
            each.read_again()
        if self._budget.is_short and not self._is_checking:
            self._is_checking = True
            self._loop.call_after(CHECK_PERIOD_S, self._check)

    def _check(self) -> None:
        self._is_checking = False
        self._act()

    def _count(self, name: str) -> None:
        """Count an action, and log what was done if that is due."""
        name = f'{self._name}_{name}'
        if self._metrics is not None:
            self._metrics.add(name)
        self._done[name] = self._done.get(name, 0) + 1
        if self._loop.now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = self._loop.now_s
            done, self._done = self._done, {}
            journal.problem(
                self._name,
                outcome='short',
                held_bytes=self._budget.total_bytes,
                limit_bytes=self._limits.held_bytes,
                connections=self._budget.connections,
                max_connections=self._limits.connections,
                **done,
            )
