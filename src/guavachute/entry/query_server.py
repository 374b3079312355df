"""Serves readiness, the directory, shared state for peers, and metrics."""

import typing

import msgspec

from guavachute.decide.ingress.intake import process_limits
from guavachute.domain import call
from guavachute.domain import log_position
from guavachute.domain import site as domain_site
from guavachute.entry.intake import guard
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import peers as entry_peers
from guavachute.entry import plain_server
from guavachute import ids
from guavachute.observe import metrics as observe_metrics
from guavachute.platform import directory
from guavachute.wire import node_updates

ADDRESS_TTL_S = 2.0
"""How long callers may use the addresses that they get."""

AddressesFor = typing.Callable[
    [ids.FailureDomain, ids.Region], list[ids.Address]
]

_Handler = tuple[
    str, ids.Address, plain_server.Handler, process_limits.Queries
]  # fmt: skip
"""The name of an address, it, who answers, and what is asked there."""


class QueryServer:
    """HTTP servers for the platform, callers, peers and metric collectors.

    :param is_ready: whether callers should be sent to this node
    :param addresses_for: gives the nodes that a caller in a failure domain and
        region should use
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        state: known_state.KnownState,
        metrics: observe_metrics.Metrics,
        is_ready: typing.Callable[[], bool],
        addresses_for: AddressesFor,
    ) -> None:
        self._site = site
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._addresses_for = addresses_for
        self._servers = [
            plain_server.PlainServer(
                loop,
                address,
                handler,
                guard.Guard(
                    loop,
                    process_limits.for_queries(
                        site.memory_bytes, site.max_descriptors, queries
                    ),
                    metrics,
                    f'{name}_intake',
                ),
            )
            for name, address, handler, queries in self._handlers()
        ]

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        for server in self._servers:
            server.close()

    def _handlers(self) -> list[_Handler]:
        listen, ip = self._site.listen, self._site.ip
        peers = ids.Address(f'{ip}:{listen.peers_port}')
        metrics = ids.Address(f'{ip}:{listen.metrics_port}')
        queries = process_limits.Queries
        handlers: list[_Handler] = [
            ('peers', peers, self._answer_peer, queries.PEERS),
            ('metrics', metrics, self._answer_metrics, queries.STATUS),
        ]
        if listen.directory is not None:
            handlers.append((
                'directory', listen.directory, self._answer_platform,
                queries.ADDRESSES,
            ))  # fmt: skip
        if listen.readiness not in (None, listen.directory):
            assert listen.readiness is not None
            handlers.append((
                'readiness', listen.readiness, self._answer_platform,
                queries.STATUS,
            ))  # fmt: skip
        return handlers

    def _answer_platform(
        self, request: plain_server.PlainRequest
    ) -> plain_server.Reply:
        if request.path == directory.READINESS_PATH:
            return plain_server.Reply(200 if self._is_ready() else 503)
        if request.path == directory.DIRECTORY_PATH:
            return self._answer_directory(request)
        return plain_server.NOT_FOUND

    def _answer_directory(
        self, request: plain_server.PlainRequest
    ) -> plain_server.Reply:
        query = directory.read_query(request.query)
        found = self._addresses_for(query.domain, query.region)
        self._metrics.add('address_questions')
        ttl_s = min(ADDRESS_TTL_S, self._site.bounds.address_ttl_max_s)
        return plain_server.Reply(
            200 if found else 503,
            directory.encode(found, ttl_s),
            call.JSON,
        )

    def _answer_peer(
        self, request: plain_server.PlainRequest
    ) -> plain_server.Reply:
        try:
            version = int(request.query[entry_peers.VERSION_FIELD])
        except (KeyError, ValueError):
            # Another release may query in another way; it gets everything.
            version = log_position.NO_POSITION
        shared: msgspec.Struct | None = None
        if request.path == entry_peers.CONFIGURATION_PATH:
            shared = self._state.shared_configuration(version)
        elif request.path == entry_peers.ENDPOINTS_PATH:
            shared = self._state.shared_endpoints(ids.LogPosition(version))
        if shared is None:
            return plain_server.NOT_FOUND
        return plain_server.Reply(
            200, node_updates.encode(shared), call.BINARY
        )

    def _answer_metrics(
        self, request: plain_server.PlainRequest
    ) -> plain_server.Reply:
        return plain_server.Reply(200, self._metrics.text())
