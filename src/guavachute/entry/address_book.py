"""The addresses of entry nodes that callers are told to use."""

import typing

from guavachute.decide.nodes import addresses
from guavachute.domain import site as domain_site
from guavachute.entry import peer_table
from guavachute import ids

TTL_S = 0.1
"""The addresses for callers of a domain are computed at most this often. The
callers themselves keep an answer for seconds."""


class AddressBook:
    """Chooses among this node and the others, for callers of any domain.

    :param own: gives this node as a candidate, as of now
    :param now_s: gives the loop's time
    """

    def __init__(
        self,
        site: domain_site.Site,
        table: peer_table.PeerTable,
        own: typing.Callable[[], addresses.Candidate],
        now_s: typing.Callable[[], float],
    ) -> None:
        self._site = site
        self._table = table
        self._own = own
        self._now_s = now_s
        self._computed: dict[
            tuple[ids.FailureDomain, ids.Region, bool],
            tuple[float, list[ids.Address]],
        ] = {}

    def addresses_for(
        self, domain: ids.FailureDomain, region: ids.Region
    ) -> list[ids.Address]:
        """The addresses of nodes that a caller in *domain* should use."""
        now_s = self._now_s()
        # Callers may name any location; only real ones are kept.
        if domain not in self._site.region_of:
            domain = ids.FailureDomain('')
        if region not in self._site.region_of.values():
            region = ids.Region('')
        own = self._own()
        # Whether this node is ready has to be right at once.
        key = domain, region, own.is_ready
        computed_s, found = self._computed.get(key, (float('-inf'), []))
        if now_s - computed_s >= TTL_S:
            found = addresses.choose(
                [*self._table.candidates(), own], domain, region, now_s
            )
            self._computed[key] = now_s, found
        return found
