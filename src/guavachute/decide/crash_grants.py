"""Keeps the attempts of a suspect one after another, over all routers.

Each suspect fingerprint has an owner among the live routers, the same
for all that agree on who lives. A router asks it before an attempt and
makes none without its answer. Suspects are rare, so clean requests pay
nothing for this. When the owner dies the next in rank takes over and
knows no grants; an attempt may then run beside one that the dead owner
had granted.
"""

import typing

import msgspec

from guavachute.decide import crash
from guavachute.decide import subset
from guavachute.wire import requests

GRANT_S = 60.0
"""A grant whose holder is silent lapses after this."""


class GrantAsk(msgspec.Struct, frozen=True, kw_only=True, tag='grant-ask'):
    """A router asks the owner of a fingerprint for an attempt."""

    fingerprint: str
    router: str


class GrantAnswer(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-answer'
):
    """The owner's answer; without it the attempt is not made."""

    fingerprint: str
    granted: bool


class GrantRelease(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-release'
):
    """The attempt has ended; *notice* is what came of it, if anything."""

    fingerprint: str
    router: str
    notice: requests.CrashNotice | None = None


def owner(
    name: crash.Fingerprint, routers: typing.Iterable[str]
) -> str | None:
    """The live router that grants attempts of suspect *name*."""
    return next(iter(subset.highest(name, routers, 1)), None)


class Grants:
    """The attempts that the owner of suspects has granted."""

    def __init__(self) -> None:
        self._held: dict[crash.Fingerprint, tuple[str, float]] = {}

    def ask(
        self, ask: GrantAsk, standing: crash.Standing, now_s: float
    ) -> GrantAnswer:
        """Grant an attempt if none is under way.

        :param standing: by the owner's :class:`crash.CrashBook`
        """
        name = crash.Fingerprint(ask.fingerprint)
        held = self._held.get(name)
        taken = held is not None and now_s < held[1]
        granted = standing is not crash.Standing.REFUSED and not taken
        if granted:
            self._held[name] = (ask.router, now_s + GRANT_S)
        return GrantAnswer(fingerprint=name, granted=granted)

    def release(self, message: GrantRelease) -> None:
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
