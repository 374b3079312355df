"""Runs a faulty variant of the entry program: ``soak.broken NAME``.

Each variant violates one guarantee, which the soak must detect.
"""

import sys
import typing

from guavachute.decide.ingress import crashing_parts
from guavachute.decide.ingress import named_limits
from guavachute.domain import configuration
from guavachute.entry.closing import late_bytes
from guavachute.entry import endpoint_registry
from guavachute.entry import exchange
from guavachute.entry import known_state
from guavachute.entry import program
from guavachute.entry import relay_client
from guavachute import ids
from guavachute import outcome
from soak import cut_entry


def order_twice() -> None:
    """Resend requests after a failure that must run at most once."""
    configuration.Route.can_run_again = property(  # type: ignore[assignment]
        lambda route: True
    )


def false_not_run() -> None:
    """Answer "not run" to requests that may have run."""

    real = exchange.Exchange._after_failure

    def after_failure(self: typing.Any, reason: str) -> None:
        if self.first_byte_s is None:
            lost = outcome.Failure(outcome.Reason.LOST_ANSWER, reason)
            self._own_answer(503, lost)
        else:
            real(self, reason)

    setattr(exchange.Exchange, '_after_failure', after_failure)


def configuration_back() -> None:
    """Replace every third configuration by the one two versions before."""
    real = known_state.KnownState.apply_configuration
    texts: list[bytes] = []

    def apply_configuration(
        self: typing.Any,
        text: bytes,
        source: str,
        next_position: ids.LogPosition,
    ) -> None:
        texts.append(text)
        if len(texts) % 3 == 0:
            self.configuration = None
            text = texts[-3]
        real(self, text, source, next_position)

    setattr(known_state.KnownState, 'apply_configuration', apply_configuration)


def bad_part_unknown() -> None:
    """Send all requests, whatever crashed engines before."""

    def verdict(*_: typing.Any) -> crashing_parts.Verdict:
        return crashing_parts.Verdict.SEND

    setattr(crashing_parts.CrashingParts, 'verdict', verdict)


def limit_unknown() -> None:
    """Send as many requests as there are, whatever limit is named."""

    def wait_s(*_: typing.Any) -> float:
        return 0.0

    setattr(named_limits.NamedLimits, 'wait_s', wait_s)


def build_unknown() -> None:
    """Go on with streams at any endpoint, whatever its build."""
    real = endpoint_registry.EndpointRegistry.usable

    def usable(
        self: typing.Any,
        service: ids.ServiceName,
        excluded: typing.Container[ids.EndpointId],
        now_s: float,
        build: ids.BuildName | None = None,
    ) -> list[endpoint_registry.EndpointRecord]:
        return real(self, service, excluded, now_s)

    setattr(endpoint_registry.EndpointRegistry, 'usable', usable)


def links_unknown() -> None:
    """Judge endpoints by this node's own links alone."""

    def has_helper(*_: typing.Any) -> bool:
        return False

    setattr(relay_client.RelayClient, 'has_helper', has_helper)


def late_bytes_read() -> None:
    """Read and discard what crosses the close of a connection."""
    late_bytes.Reason.reads_on = property(  # type: ignore[assignment]
        lambda reason: True
    )


VARIANTS: dict[str, typing.Callable[[], None]] = {
    'order-twice': order_twice,
    'false-not-run': false_not_run,
    'configuration-back': configuration_back,
    'bad-part-unknown': bad_part_unknown,
    'limit-unknown': limit_unknown,
    'build-unknown': build_unknown,
    'links-unknown': links_unknown,
    'late-bytes-read': late_bytes_read,
}


if __name__ == '__main__':
    VARIANTS[sys.argv[1]]()
    cut_entry.install()
    sys.exit(program.run(None))
