"""The ways of requests to endpoints: direct ones, and through other nodes."""

import typing

from guavachute.decide.ingress import endpoint_links
from guavachute.domain import configuration
from guavachute.domain import site as domain_site
from guavachute.entry import endpoint_registry
from guavachute.entry.intake import guard
from guavachute.entry import link_watch
from guavachute.entry import loop as entry_loop
from guavachute.entry import relay_client
from guavachute.entry import relay_peers
from guavachute.entry import relay_server
from guavachute.entry import upstream
from guavachute import ids
from guavachute.observe import metrics as observe_metrics


class EndpointPaths:
    """Opens connections to endpoints, and passes requests of other nodes on.

    :param caller_limits: gives the limits on the requests of callers
    :param on_announcement: called with what an endpoint says in an answer to
        another node's request
    :param intake: bounds what other nodes send, with what callers send
    :ivar on_failing: called again and again while links to endpoints fail
    :ivar on_unreachable: called with an endpoint that was not reached
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        registry: endpoint_registry.EndpointRegistry,
        peers: relay_peers.RelayPeers,
        metrics: observe_metrics.Metrics,
        caller_limits: typing.Callable[[], configuration.CallerLimits],
        on_announcement: relay_server.OnAnnouncement,
        intake: guard.Guard,
    ) -> None:
        self._loop = loop
        self._registry = registry
        self._metrics = metrics
        self.on_failing: typing.Callable[[], None] = lambda: None
        self.on_unreachable: typing.Callable[
            [endpoint_registry.EndpointRecord], None
        ] = lambda record: None
        self._pool = upstream.Pool(loop, registry.links)
        self._client = relay_client.RelayClient(loop, peers)
        registry.has_helper = self._client.has_helper
        self._server = relay_server.RelayServer(
            loop,
            ids.Address(f'{site.ip}:{site.listen.relay_port}'),
            registry,
            self._pool,
            caller_limits,
            on_announcement,
            site.bounds.stop_grace_s,
            intake,
        )
        self._watch = link_watch.LinkWatch(
            loop,
            registry,
            metrics,
            self._handle_links_changed,
            self._handle_link_lost,
            lambda: self.on_failing(),
        )
        metrics.gauge('endpoint_connections', lambda: self._pool.opened)
        metrics.gauge('relays_open', lambda: self._server.open_requests)

    @property
    def relay_address(self) -> ids.Address:
        """Where other nodes send requests to pass on."""
        return self._server.address

    @property
    def open_relays(self) -> int:
        """Requests of other nodes that are not completely answered."""
        return self._server.open_requests

    def start(self) -> None:
        """Start to watch the links to endpoints."""
        self._watch.start()

    def stop(self) -> None:
        """Close connections of other nodes after their current answer.

        After a while their requests are refused.
        """
        self._server.stop()

    def close(self) -> None:
        """Abort all connections."""
        self._watch.close()
        self._server.close()
        self._client.close()
        self._pool.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        self._pool.sweep()
        self._client.sweep()

    def connect(
        self,
        record: endpoint_registry.EndpointRecord,
        attempt_id: ids.AttemptId,
        runs_once: bool,
    ) -> relay_client.Connection:
        """A connection that takes one request to an endpoint.

        :param runs_once: whether only a connection that is known to work may
            be reused
        """
        if not self._registry.is_direct(record, self._loop.now_s):
            helper = self._client.helper(record, attempt_id)
            if helper is not None:
                self._metrics.add('relays')
                return self._client.connect(
                    helper, record, attempt_id, runs_once
                )
        return self._pool.acquire(
            record.entry.address, attempt_id, needs_proven=runs_once
        )

    def handle_unreachable(
        self,
        record: endpoint_registry.EndpointRecord,
        connection: relay_client.Connection,
    ) -> None:
        """Record a connection of :meth:`connect` that wasn't established."""
        if isinstance(connection, upstream.Connection):
            self._registry.record_unreachable(record, self._loop.now_s)
            self.on_unreachable(record)

    def _handle_links_changed(self, state: endpoint_links.LinkState) -> None:
        if state is endpoint_links.LinkState.OPEN:
            self._registry.handle_links_regained()
            return
        self._registry.handle_links_lost()
        # Idle connections may be dead without a packet that shows it.
        self._pool.close()
        self.on_failing()

    def _handle_link_lost(self, address: ids.Address) -> None:
        """Leave endpoints alone that could not be reached to test the link."""
        if not self._registry.links.is_cut:
            for record in self._registry.records_at(address):
                self._registry.record_unreachable(record, self._loop.now_s)
                self.on_unreachable(record)
