"""Sends requests to endpoints through nodes that reach them."""

import collections

from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress import relay_choice
from guavachute.entry import endpoint_registry
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import relay_peers
from guavachute.entry import upstream
from guavachute import ids
from guavachute.observe import journal
from guavachute.wire import relay_requests

HELPER_PAUSE_S = 1.0
"""A node whose connection failed is not asked to pass requests on for this
long."""

REFUSAL_PAUSE_S = 0.5
"""A node that could not send a request to an endpoint is not asked for that
endpoint for this long."""

MAX_HELPERS = 3
"""So many nodes are asked in turn to pass the same request on."""


class RelayClient:
    """Connections to the other nodes, which pass requests on.

    :param peers: the other nodes
    """

    def __init__(
        self, loop: entry_loop.Loop, peers: relay_peers.RelayPeers
    ) -> None:
        self.loop = loop
        self._peers = peers
        # What these connections show says nothing of links to endpoints.
        self._pool = upstream.Pool(loop, endpoint_links.EndpointLinks())
        self._open: collections.Counter[ids.Address] = collections.Counter()
        self._paused_until_s: dict[
            tuple[ids.Address, ids.EndpointId | None], float
        ] = {}

    def helper(
        self, record: endpoint_registry.EndpointRecord, request: str
    ) -> relay_choice.Helper | None:
        """The node that should pass a request on; None if none can."""
        now_s = self.loop.now_s
        endpoint = record.entry.id
        return relay_choice.choose(
            (
                item
                for item in self._peers.helpers(endpoint, self._open)
                if not self._is_paused(item.address, endpoint)
            ),
            request,
            now_s,
        )

    def has_helper(self, record: endpoint_registry.EndpointRecord) -> bool:
        """Whether a node can pass a request on to an endpoint."""
        heard_s = self._peers.heard_s(record.entry.id)
        if self.loop.now_s - heard_s > relay_choice.PROOF_S:
            return False
        # Which nodes are paused matters only if some are.
        return (
            not self._paused_until_s
            or self.helper(record, record.entry.id) is not None
        )

    def _is_paused(
        self, address: ids.Address, endpoint: ids.EndpointId
    ) -> bool:
        now_s = self.loop.now_s
        return any(
            self._paused_until_s.get(key, now_s) > now_s
            for key in ((address, None), (address, endpoint))
        )

    def connect(
        self,
        helper: relay_choice.Helper,
        record: endpoint_registry.EndpointRecord,
        attempt_id: ids.AttemptId,
        runs_once: bool,
    ) -> 'RelayConnection':
        """A connection that takes one request to *record* via *helper*."""
        return RelayConnection(self, helper, record, attempt_id, runs_once)

    def acquire(
        self,
        address: ids.Address,
        attempt_id: ids.AttemptId,
        runs_once: bool,
    ) -> upstream.Connection:
        """A connection to a node; ended by :meth:`handle_released`."""
        self._open[address] += 1
        return self._pool.acquire(address, attempt_id, needs_proven=runs_once)

    def handle_released(self, address: ids.Address) -> None:
        """A request is no longer at a node."""
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def pause(
        self,
        address: ids.Address,
        endpoint: ids.EndpointId | None,
        pause_s: float,
    ) -> None:
        """Don't ask a node for a while; None for all endpoints."""
        now_s = self.loop.now_s
        self._paused_until_s = {
            key: until_s
            for key, until_s in self._paused_until_s.items()
            if until_s > now_s
        }
        self._paused_until_s[address, endpoint] = now_s + pause_s

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        self._pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


class RelayConnection:
    """The way of one request to an endpoint through another node.

    It behaves as a connection to the endpoint. If a node refuses, others are
    asked; when all have, it looks like a connection that was not established,
    as nothing was sent.
    """

    def __init__(
        self,
        client: RelayClient,
        helper: relay_choice.Helper,
        record: endpoint_registry.EndpointRecord,
        attempt_id: ids.AttemptId,
        runs_once: bool,
    ) -> None:
        self._client = client
        self._record = record
        self._attempt_id = attempt_id
        self._runs_once = runs_once
        self._asked = 0
        self._request = b''
        self._listener: upstream.Listener | None = None
        self._refusal: str | None = None
        self._is_released = False
        self.idle_timeout_s: float | None = None
        self._use(helper)

    def _use(self, helper: relay_choice.Helper) -> None:
        self._helper = helper
        self._asked += 1
        self._refusal = None
        self._is_released = False
        self._connection = self._client.acquire(
            helper.address, self._attempt_id, self._runs_once
        )
        journal.event(
            'relay',
            outcome='asked',
            request=self._attempt_id,
            endpoint=self._record.entry.id,
            peer=helper.node,
            open_requests=helper.open_requests,
            heard_age_s=round(self._client.loop.now_s - helper.heard_s, 3),
        )

    @property
    def is_connected(self) -> bool:
        """Whether the request may have been sent."""
        return self._connection.is_connected

    @property
    def was_idle(self) -> bool:
        """Whether the endpoint may have closed it for having been idle."""
        return False

    @property
    def ends_answer(self) -> bool:
        """Whether the current answer ends with the connection."""
        return self._connection.ends_answer

    def send_request(
        self, request: bytes, listener: upstream.Listener
    ) -> None:
        """Send *request*, as it is for the endpoint."""
        self._listener = listener
        self._request = relay_requests.encode(
            relay_requests.RelayRequest(
                self._record.entry.id,
                self._record.entry.start_ms,
                self._attempt_id,
                self._runs_once,
                request,
            )
        )
        self._connection.send_request(self._request, self)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        self._connection.pause()

    def resume(self) -> None:
        """Read again."""
        self._connection.resume()

    def release(self, keeps_alive: bool) -> None:
        """End the use by the request."""
        self._listener = None
        self._release_helper(keeps_alive)

    def _release_helper(self, keeps_alive: bool) -> None:
        if not self._is_released:
            self._is_released = True
            self._client.handle_released(self._helper.address)
            self._connection.release(keeps_alive)

    def handle_upstream_event(self, event: http1.AnswerEvent) -> None:
        """Hand a part of the answer on, unless nothing was sent."""
        if isinstance(event, http1.AnswerStarted):
            self._refusal = relay_requests.refusal(event.headers)
        if self._refusal is None:
            if self._listener is not None:
                self._listener.handle_upstream_event(event)
        elif isinstance(event, http1.AnswerEnded):
            self._handle_not_sent(self._refusal, event.keeps_alive)

    def handle_upstream_ended(
        self, is_clean: bool, was_connected: bool
    ) -> None:
        """Handle the end of the connection to the other node."""
        if not was_connected:
            self._client.pause(self._helper.address, None, HELPER_PAUSE_S)
            self._handle_not_sent('the node is unreachable', False)
        elif self._listener is not None:
            self._listener.handle_upstream_ended(is_clean, True)

    def _handle_not_sent(self, reason: str, keeps_alive: bool) -> None:
        journal.event(
            'relay',
            outcome='not-sent',
            request=self._attempt_id,
            endpoint=self._record.entry.id,
            peer=self._helper.node,
            reason=reason,
        )
        endpoint = self._record.entry.id
        self._client.pause(self._helper.address, endpoint, REFUSAL_PAUSE_S)
        self._release_helper(keeps_alive)
        if self._listener is None:
            return
        helper = self._client.helper(self._record, self._attempt_id)
        if helper is not None and self._asked < MAX_HELPERS:
            self._use(helper)
            self._connection.send_request(self._request, self)
        else:
            self._listener.handle_upstream_ended(False, False)


Connection = upstream.Connection | RelayConnection
"""The way of a request to an endpoint: its own, or through another node."""
