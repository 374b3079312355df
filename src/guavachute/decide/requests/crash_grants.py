"""Serializes the attempts of a suspect request across all routers.

A suspect is a request whose fingerprint is suspected of crashing
endpoints. Each suspect fingerprint has an owner among the live nodes,
which is the same for all nodes that agree on which nodes are live. A
router requests a grant from the owner before each attempt and does not
start the attempt without it. Suspects are rare, and other requests need no
grant, so the exchange costs them nothing.

When the owner dies, the next node in the ranking becomes the owner. It does
not know the grants of the old owner, so an attempt may then run
concurrently with one that the old owner granted.
"""

import typing

from guavachute.decide import crash
from guavachute.decide.requests import subset
from guavachute.wire import requests

GRANT_S = 60.0
"""A grant expires this long after it was last requested."""


def owner(
    fingerprint: crash.Fingerprint, candidates: typing.Iterable[str]
) -> str | None:
    """Return which of *candidates* grants the attempts of a suspect.

    Returns None if there are no candidates.
    """
    return next(iter(subset.highest(fingerprint, candidates, 1)), None)


class Grants:
    """The grants that the owner of suspect fingerprints has given."""

    def __init__(self) -> None:
        self._held: dict[crash.Fingerprint, tuple[str, float]] = {}

    def handle_request(
        self,
        request: requests.GrantRequest,
        status: crash.CrashStatus,
        now_s: float,
    ) -> requests.GrantAnswer:
        """Grant the attempt unless another router holds the grant.

        A fingerprint that is refused gets no grant. A router sends one
        request for each attempt and repeats it if the answer was lost, so
        a grant that the same router already holds is renewed.

        :param status: from the owner's crash registry
        """
        fingerprint = crash.Fingerprint(request.fingerprint)
        held = self._held.get(fingerprint)
        held_by_other = (
            held is not None and now_s < held[1] and held[0] != request.router
        )
        granted = status is not crash.CrashStatus.REFUSED and not held_by_other
        if granted:
            self._held[fingerprint] = (request.router, now_s + GRANT_S)
        return requests.GrantAnswer(
            fingerprint=fingerprint, router=request.router, granted=granted
        )

    def release(self, message: requests.GrantRelease) -> None:
        """Release the grant of an attempt that has ended.

        The owner must apply the crash notice that precedes the message
        first, so that the next request sees the result of this attempt.
        """
        fingerprint = crash.Fingerprint(message.fingerprint)
        held = self._held.get(fingerprint)
        if held is not None and held[0] == message.router:
            del self._held[fingerprint]

    def expire(self, now_s: float) -> None:
        """Remove the grants that have expired."""
        self._held = {
            fingerprint: held
            for fingerprint, held in self._held.items()
            if now_s < held[1]
        }
