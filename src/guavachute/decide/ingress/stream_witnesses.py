"""Shows which build began a stream that nobody has listed.

While one build serves, no node lists its streams. When another build joins,
each node lists those it has, and from then on what begins at other builds. So
a stream that is not listed began at the build from before, unless its node
has begun streams of other builds that it could not list any more: it has
fallen silent, after it knew of the other build. A node that fell silent
before has none, however long it stays away.
"""

import dataclasses
import enum

from guavachute.decide.ingress import stream_origins
from guavachute import ids

Services = frozenset[ids.ServiceName]


class Proof(enum.Enum):
    """Whether what is not listed began at the build from before."""

    COMPLETE = 'complete'
    AWAITED = 'awaited'
    """A node that may have streams to list was not heard since."""
    MISSING = 'missing'
    """A node that may have had streams to list has fallen silent."""


@dataclasses.dataclass(slots=True)
class _Witness:
    """One run of a node, or the readers of another region.

    :ivar settled: services of which it knows a single build; it has begun no
        streams of another one
    :ivar unproven: services for which a node of that region has fallen silent
        that may have had streams to list; None if it doesn't say
    """

    heard_s: float
    settled: Services
    unproven: Services | None = frozenset()


class StreamWitnesses:
    """What the other nodes have told, and when, as one node has heard it."""

    def __init__(self) -> None:
        self._nodes: dict[str, _Witness] = {}
        self._regions: dict[str, _Witness] = {}

    def record_node(self, run: str, settled: Services, now_s: float) -> None:
        """Record an update of one run of a node.

        It lists all streams to list which that run had then, or has listed
        them before.
        """
        self._nodes[run] = _Witness(now_s, settled)

    def record_region(
        self,
        region: str,
        settled: Services,
        unproven: Services | None,
        now_s: float,
    ) -> None:
        """Record an update of a reader of another region about its nodes."""
        self._regions[region] = _Witness(now_s, settled, unproven)

    def prove(
        self,
        service: ids.ServiceName,
        since_s: float,
        awake_since_s: float,
        silent_after_s: float,
        now_s: float,
    ) -> Proof:
        """Whether all streams begun until *since_s* are listed.

        :param awake_since_s: what others sent before may not have been heard
        :param silent_after_s: a node that is heard has sent an update within
            this time
        """
        witnesses = [*self._nodes.values(), *self._regions.values()]
        silent_s = now_s - silent_after_s
        latest_s = max((item.heard_s for item in witnesses), default=now_s)
        if len(witnesses) > 1 and latest_s < silent_s:
            # It is rather this node that is cut off.
            return Proof.MISSING
        proof = Proof.COMPLETE
        for witness in witnesses:
            is_settled = service in witness.settled
            if not is_settled and (
                witness.unproven is None or service in witness.unproven
            ):
                return Proof.MISSING
            if witness.heard_s >= since_s:
                continue
            if max(witness.heard_s, awake_since_s) > silent_s:
                proof = Proof.AWAITED
            elif not is_settled:
                return Proof.MISSING
        return proof

    def unproven_services(
        self, services: Services, silent_after_s: float, now_s: float
    ) -> Services:
        """The services for which a node of this region has fallen silent."""
        return frozenset(
            service
            for service in services
            if any(
                service not in witness.settled
                and now_s - witness.heard_s >= silent_after_s
                for witness in self._nodes.values()
            )
        )

    def expire(self, now_s: float) -> None:
        """Forget runs that are silent for longer than streams last."""
        for witnesses in (self._nodes, self._regions):
            for name, witness in list(witnesses.items()):
                if now_s - witness.heard_s > stream_origins.KEPT_S:
                    del witnesses[name]
