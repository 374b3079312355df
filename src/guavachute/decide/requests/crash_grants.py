"""Keeps the attempts of a suspect one after another, over all routers.

Each suspect fingerprint has an owner among the live nodes, the same for
all that agree on who lives. A router asks it before an attempt and
makes none without its answer. Suspects are rare, so clean requests pay
nothing for this. When the owner dies the next in rank takes over and
knows no grants; an attempt may then run beside one that the dead owner
had granted.
"""

import typing

from guavachute.decide import crash
from guavachute.decide.requests import subset
from guavachute.wire import requests

GRANT_S = 60.0
"""A grant whose holder is silent lapses after this."""


def owner(
    name: crash.Fingerprint, candidates: typing.Iterable[str]
) -> str | None:
    """Which of *candidates* grants the attempts of suspect *name*."""
    return next(iter(subset.highest(name, candidates, 1)), None)


class Grants:
    """The attempts that the owner of suspects has granted."""

    def __init__(self) -> None:
        self._held: dict[crash.Fingerprint, tuple[str, float]] = {}

    def ask(
        self, ask: requests.GrantAsk, standing: crash.Standing, now_s: float
    ) -> requests.GrantAnswer:
        """Grant an attempt if no other router makes one.

        A router asks once for each attempt and again when the answer
        was lost, so its own grant stands in no way.

        :param standing: by the owner's :class:`crash.CrashBook`
        """
        name = crash.Fingerprint(ask.fingerprint)
        held = self._held.get(name)
        taken = held is not None and now_s < held[1] and held[0] != ask.router
        granted = standing is not crash.Standing.REFUSED and not taken
        if granted:
            self._held[name] = (ask.router, now_s + GRANT_S)
        return requests.GrantAnswer(
            fingerprint=name, router=ask.router, granted=granted
        )

    def release(self, message: requests.GrantRelease) -> None:
        """An attempt has ended.

        The owner's book has to take the message's notice first.
        """
        name = crash.Fingerprint(message.fingerprint)
        held = self._held.get(name)
        if held is not None and held[0] == message.router:
            del self._held[name]

    def expire(self, now_s: float) -> None:
        """Forget lapsed grants."""
        self._held = {
            name: held for name, held in self._held.items() if now_s < held[1]
        }
