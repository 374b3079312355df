"""Measures the work that callers of this node request of each service."""

import dataclasses

from guavachute.decide.ingress import quota
from guavachute import ids
from guavachute.wire import node_updates


@dataclasses.dataclass(frozen=True, slots=True)
class _RateMeters:
    """Rates of the tokens that callers request of a service."""

    prompt: quota.RateMeter
    output: quota.RateMeter


class DemandMeters:
    """The tokens per second that callers request, by service."""

    def __init__(self) -> None:
        self._meters: dict[ids.ServiceName, _RateMeters] = {}

    def record(
        self,
        service: ids.ServiceName,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Record a request that is sent to an endpoint.

        :param prompt_tokens: those that the endpoint has to read
        """
        meters = self._meters.get(service)
        if meters is None:
            meters = self._meters[service] = _RateMeters(
                quota.RateMeter(now_s), quota.RateMeter(now_s)
            )
        meters.prompt.add(prompt_tokens, now_s)
        meters.output.add(output_tokens, now_s)

    def load(
        self, now_s: float
    ) -> dict[ids.ServiceName, node_updates.ServiceLoad]:
        """The rates, as nodes tell them."""
        return {
            service: node_updates.ServiceLoad(
                round(meters.prompt.per_s(now_s), 1),
                round(meters.output.per_s(now_s), 1),
            )
            for service, meters in self._meters.items()
        }
