"""What the other nodes tell of the endpoints that they reach."""

import typing

from guavachute.decide.ingress import choice
from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress import relay_choice
from guavachute.domain import site as domain_site
from guavachute.entry import peer_table
from guavachute import ids
from guavachute.wire import node_updates

UPDATE_TTL_S = 1.2
"""Nodes from which no update came for this long are not asked to pass requests
on; the time is longer where they send less often."""

COMPUTED_TTL_S = 0.1
"""The nodes that can pass requests on are computed at most this often."""

MAX_TOLD_HELPERS = 6
"""Upper bound of the nodes that are named to other regions."""

MAX_TOLD_ENDPOINTS = 100
"""Upper bound of the endpoints that are named to other regions, those heard
last first."""


class _Source(typing.NamedTuple):
    """A node that passes requests on, and what it heard when."""

    node: ids.NodeId
    address: ids.Address
    nearness: choice.Nearness
    heard_s: typing.Callable[[str], float]


class _HeardInRegion:
    """What the nodes of another region heard, by its update."""

    def __init__(
        self, update: node_updates.RegionUpdate, received_s: float
    ) -> None:
        self._update = update
        self._received_s = received_s

    def heard_s(self, endpoint: str) -> float:
        """When one of them last heard an endpoint."""
        age_ds = self._update.heard.get(ids.EndpointId(endpoint))
        if age_ds is None:
            return endpoint_links.NEVER_S
        return self._received_s - age_ds / 10


class RelayPeers:
    """The other nodes, as helpers on the way to endpoints.

    :param now_s: gives the loop's time
    """

    def __init__(
        self,
        site: domain_site.Site,
        table: peer_table.PeerTable,
        now_s: typing.Callable[[], float],
    ) -> None:
        self._site = site
        self._table = table
        self._now_s = now_s
        self._sources: list[_Source] = []
        self._heard_s: dict[str, float] = {}
        self._computed_s = endpoint_links.NEVER_S

    def heard_s(self, endpoint: ids.EndpointId) -> float:
        """When a node that passes requests on last heard an endpoint."""
        self._compute()
        found = self._heard_s.get(endpoint)
        if found is None:
            found = self._heard_s[endpoint] = max(
                (source.heard_s(endpoint) for source in self._sources),
                default=endpoint_links.NEVER_S,
            )
        return found

    def helpers(
        self,
        endpoint: ids.EndpointId,
        open_requests: typing.Mapping[ids.Address, int],
    ) -> list[relay_choice.Helper]:
        """The nodes that may pass a request on to an endpoint.

        :param open_requests: by address, what each passes on already
        """
        self._compute()
        return [
            relay_choice.Helper(
                source.node,
                source.address,
                source.nearness,
                source.heard_s(endpoint),
                open_requests.get(source.address, 0),
            )
            for source in self._sources
        ]

    def told_helpers(self) -> list[tuple[str, str, str]]:
        """Nodes of this region that pass requests on, for other regions.

        The items are the node, the address and the failure domain.
        """
        return [
            (
                peer.update.node,
                peer.update.relay_address,
                peer.update.domain,
            )
            for peer in self._table.active_peers()
            if _is_able(peer)
            and peer.update is not None
            and self._table.is_local(peer)
        ][:MAX_TOLD_HELPERS]

    def told_endpoints(
        self, own: typing.Mapping[ids.EndpointId, float]
    ) -> dict[ids.EndpointId, int]:
        """How long ago this region heard endpoints, in tenths of a second.

        :param own: when this node heard them
        """
        now_s = self._now_s()
        heard = {
            endpoint: max(at_s, self.heard_s(endpoint))
            for endpoint, at_s in own.items()
        }
        newest = sorted(
            (
                endpoint
                for endpoint, at_s in heard.items()
                if now_s - at_s <= relay_choice.PROOF_S
            ),
            key=lambda endpoint: -heard[endpoint],
        )
        return {
            endpoint: int(10 * (now_s - heard[endpoint])) + 1
            for endpoint in newest[:MAX_TOLD_ENDPOINTS]
        }

    def _compute(self) -> None:
        now_s = self._now_s()
        if now_s - self._computed_s < COMPUTED_TTL_S:
            return
        self._computed_s = now_s
        self._heard_s = {}
        self._sources = [
            _Source(
                ids.NodeId(peer.update.node),
                ids.Address(peer.update.relay_address),
                self._nearness(peer.update.domain, peer.update.region),
                peer.heard_s,
            )
            for peer in self._table.active_peers(UPDATE_TTL_S)
            if _is_able(peer) and peer.update is not None
        ]
        for update, received_s in self._table.region_updates():
            heard = _HeardInRegion(update, received_s)
            self._sources += [
                _Source(
                    ids.NodeId(node),
                    ids.Address(address),
                    choice.Nearness.OTHER_REGION,
                    heard.heard_s,
                )
                for node, address, _ in update.relays
            ]

    def _nearness(self, domain: str, region: str) -> choice.Nearness:
        if domain == self._site.domain:
            return choice.Nearness.SAME_DOMAIN
        if region == self._site.region:
            return choice.Nearness.SAME_REGION
        return choice.Nearness.OTHER_REGION


def _is_able(peer: peer_table.Peer) -> bool:
    """Whether a node passes requests on, by its own word."""
    update = peer.update
    return (
        update is not None
        and bool(update.relay_address)
        and update.reaches_endpoints
        and update.is_ready
    )
