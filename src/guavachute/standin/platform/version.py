"""Versions of an endpoint's software, which may be bad in several ways."""

import dataclasses
import enum


class Fault(enum.Enum):
    """When requests to a version go wrong."""

    NEVER = 'never'
    AT_ONCE = 'at-once'
    LATE = 'late'
    """After :attr:`Version.late_s`."""
    UNDER_LOAD = 'under-load'
    """With more than :attr:`Version.load_per_s` requests at one endpoint."""
    ONE_ROUTE = 'one-route'
    """On paths that start with :attr:`Version.path`."""


@dataclasses.dataclass
class Version:
    """One version of a service's software.

    :ivar late_s: after this time since its first request
    :ivar every: one of this many requests goes wrong where the fault applies
    :ivar slow_s: such a request takes this much longer; None if it fails
    :ivar runs: the requests that its endpoints ran
    :ivar bad_s: loop times of those that went wrong
    :ivar last_run_s: loop time of the latest
    """

    name: str
    fault: Fault = Fault.NEVER
    late_s: float = 0.0
    load_per_s: float = 0.0
    path: str = ''
    every: int = 2
    slow_s: float | None = None
    runs: int = 0
    bad_s: list[float] = dataclasses.field(default_factory=list)
    last_run_s: float = 0.0
    _first_run_s: float | None = None
    _applicable: int = 0

    def goes_wrong(self, target: str, recent_runs: int, now_s: float) -> bool:
        """Record a request, and return whether it goes wrong.

        :param recent_runs: the requests of its endpoint in the last second
        """
        self.runs += 1
        self.last_run_s = now_s
        if self._first_run_s is None:
            self._first_run_s = now_s
        applies = {
            Fault.NEVER: False,
            Fault.AT_ONCE: True,
            Fault.LATE: now_s - self._first_run_s >= self.late_s,
            Fault.UNDER_LOAD: recent_runs > self.load_per_s,
            Fault.ONE_ROUTE: target.startswith(self.path),
        }[self.fault]
        self._applicable += applies
        is_bad = applies and self._applicable % self.every == 0
        if is_bad:
            self.bad_s.append(now_s)
        return is_bad
