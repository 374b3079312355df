"""Chooses the endpoint for one request."""

from guavachute.decide.ingress import choice
from guavachute.domain import call as domain_call
from guavachute.domain import configuration
from guavachute.entry import endpoint_registry


def choose(
    registry: endpoint_registry.EndpointRegistry,
    route: configuration.Route,
    call: domain_call.Call,
    records: list[endpoint_registry.EndpointRecord],
    now_s: float,
) -> choice.Chosen | None:
    """The best of the endpoints of *records*; None if none can be used."""
    candidates = registry.candidates(records, call.parts, now_s)
    if route.is_model and call.tokens is not None:
        return choice.choose_engine(
            candidates,
            call.tokens.prompt,
            call.parts,
            route.objective_s,
            registry.draw,
        )
    return choice.choose_plain(candidates, registry.draw)
