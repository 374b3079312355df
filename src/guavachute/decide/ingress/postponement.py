"""Whether a request waits here until an engine is less occupied.

An engine reads prompts in the order in which they come. While callers
ask for more than all engines can read, its queue grows until every first
token is late, though the engines do as much as they can. So what waits
at an engine is bounded, and the rest waits at the nodes. Of that, what
can still be on time goes first.
"""

QUEUE_PART = 0.7
"""Part of the service's shortest objective that may wait at an engine;
the rest of it is for the request's own prompt, and for error."""

LATE_QUEUE_PART = 0.3
"""The same before a request that will be late in any case."""

LONGEST_PART = 1.5
"""A request is sent in any case when it has waited for this part of its
objective. Callers give a stream up after four times their objective."""


def is_postponed(
    queue_s: float,
    first_token_s: float,
    waited_s: float,
    objective_s: float,
    shortest_objective_s: float,
) -> bool:
    """Whether the request is to wait for an engine's queue to shrink.

    :param queue_s: what waits at the best engine
    :param first_token_s: when that engine would give the first token
    :param waited_s: how long the request has been here
    :param shortest_objective_s: of all requests to the service
    """
    if waited_s >= LONGEST_PART * objective_s:
        return False
    is_late = waited_s + first_token_s > objective_s
    part = LATE_QUEUE_PART if is_late else QUEUE_PART
    return queue_s > part * shortest_objective_s
