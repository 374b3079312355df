"""What the exchange of a request needs of the ingress that started it."""

import typing

from guavachute.decide.ingress import crashing_parts
from guavachute.entry import endpoint_registry
from guavachute.entry import loop as entry_loop
from guavachute.entry import relay_client
from guavachute.entry import stream_builds
from guavachute import ids
from guavachute import outcome
from guavachute.platform import moves
from guavachute.platform import requests

if typing.TYPE_CHECKING:
    from guavachute.entry import exchange


class Owner(typing.Protocol):
    """The ingress, as an exchange uses it."""

    loop: entry_loop.Loop
    registry: endpoint_registry.EndpointRegistry

    def usable(
        self,
        exchange: 'exchange.Exchange',
        excluded: typing.Container[ids.EndpointId],
    ) -> list[endpoint_registry.EndpointRecord]:
        """The endpoints that the request may be sent to now."""

    def handle_result(
        self,
        exchange: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
        has_failed: bool,
        begun_s: float | None,
    ) -> None:
        """The endpoint of *record* has responded, or failed to.

        :param begun_s: loop time of the first event; None if there is none
        """

    def handle_released(self, exchange: 'exchange.Exchange') -> None:
        """No endpoint has the request any more; after any result."""

    def connect(
        self,
        exchange: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
    ) -> relay_client.Connection:
        """A connection for sending the request to an endpoint.

        It leads through another node if the endpoint isn't reached from here.
        """

    def handle_unreachable(
        self,
        record: endpoint_registry.EndpointRecord,
        connection: relay_client.Connection,
    ) -> None:
        """The connection was not established, so that nothing was sent."""

    def handle_request_sent(
        self,
        exchange: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
        tokens_to_read: int,
    ) -> None:
        """The request is about to be sent to the endpoint of *record*.

        :param tokens_to_read: prompt tokens that are probably not cached there
        """

    def consume_retry(self, service: ids.ServiceName) -> bool:
        """Consume one retry from the retry budget of *service*.

        Returns whether the budget allowed it.
        """

    def move_run(
        self,
        attempt_id: ids.AttemptId,
        source: ids.Address,
        target: ids.Address,
        done: typing.Callable[[moves.CacheCopy | outcome.Failure], None],
    ) -> None:
        """Have an engine stop a run and copy its KV cache to another.

        *done* is called once, with the copy or with the failure.
        """

    def handle_request_started(self, exchange: 'exchange.Exchange') -> None:
        """The request has started to run; called at most once."""

    def crash_verdict(
        self, exchange: 'exchange.Exchange'
    ) -> crashing_parts.Verdict:
        """What becomes of the request, which may crash endpoints."""

    def may_repeat(self, exchange: 'exchange.Exchange') -> bool:
        """Whether a request that lost its endpoint may be sent to another."""

    def find_build(
        self, exchange: 'exchange.Exchange'
    ) -> ids.BuildName | stream_builds.Origin:
        """The build that began the stream which the request takes up."""

    def handle_stream_begun(self, exchange: 'exchange.Exchange') -> None:
        """The first event goes to the caller; called at most once."""

    def keeps_too_much(
        self, exchange: 'exchange.Exchange', kept_bytes: int
    ) -> bool:
        """Whether the answer, of which so much is kept, has to be given up."""

    def handle_answer_proven(self, exchange: 'exchange.Exchange') -> None:
        """The answer shows that the request doesn't crash endpoints."""

    def handle_attempt_lost(
        self,
        exchange: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
    ) -> None:
        """The connection broke while an endpoint had the request."""

    def handle_announcement(
        self,
        record: endpoint_registry.EndpointRecord,
        announced: requests.Announcement,
        sent_s: float | None,
    ) -> None:
        """An endpoint said in an answer what it wants.

        :param sent_s: when the request was sent, if this is its own answer
        """

    def handle_request_ended(
        self,
        exchange: 'exchange.Exchange',
        verdict: str,
        failure: outcome.Failure | None,
    ) -> None:
        """The exchange is over, and its caller is answered or gone.

        :param verdict: the outcome as it is logged
        :param failure: why it has no answer of an endpoint, if it has none
        """
