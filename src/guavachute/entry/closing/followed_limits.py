"""Follows the idle limits of the configurations that come into force."""

from guavachute.decide.ingress.closing import idle_limits
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop


def follow(
    loop: entry_loop.Loop, state: known_state.KnownState, known_for_s: float
) -> idle_limits.IdleLimits:
    """The idle limits that callers may know, kept up to date.

    :param known_for_s: how long callers may know a limit that was replaced
    """
    limits = idle_limits.IdleLimits(state.limits.idle_timeout_s, known_for_s)
    state.on_limits = lambda newest: limits.record(
        newest.idle_timeout_s, loop.now_s
    )
    return limits
