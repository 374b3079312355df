"""CPU time of a router's decisions by size of the fleet."""

import collections
import time
import typing

from bench import prompts
from guavachute.decide.requests import load
from guavachute.decide.requests import prefix_index
from guavachute.decide.requests import routing
from guavachute.decide.requests import shares
from guavachute.decide.requests import subset
from guavachute import ids

FLEETS = (13, 280, 2800)
PROMPTS = 1_500
WORKSPACES = ('club', 'mill', 'shop', 'studio', 'yard')
QUEUED = 500


def _mean_us(calls: int, work: typing.Callable[[], None]) -> float:
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) / calls * 1e6


def routing_us(engine_count: int) -> float:
    """Return the time to route a prompt over *engine_count* engines.

    It includes the match in the prefix index, the choice and the record
    of the choice in the index, in microseconds of CPU time.
    """
    candidates = [
        routing.Candidate(
            ids.EndpointId(f'vm-{number}'),
            ids.FailureDomain('perth-a'),
            32,
            load.Load(),
        )
        for number in range(engine_count)
    ]
    index = prefix_index.PrefixIndex()
    trace = list(prompts.prompts(PROMPTS, WORKSPACES, 1))

    def work() -> None:
        for prompt in trace:
            matches = index.match(prompt.chain)
            request = routing.PlacementRequest(prompt.chain[0], matches)
            choice = routing.choose(request, candidates)
            assert isinstance(choice, routing.Choice)
            index.record_routed(choice.endpoint, prompt.chain)

    work()
    return _mean_us(PROMPTS, work)


def subset_us(engine_count: int) -> float:
    """Return the time to choose one router's subset of engines.

    The *engine_count* engines are spread over 8 failure domains. The
    router's domain has a router for each 34 engines of the fleet, as with
    82 routers and 350 engines in each domain. In microseconds of CPU
    time.
    """
    locations = [
        subset.EndpointLocation(
            ids.EndpointId(f'vm-{number}'),
            ids.FailureDomain(f'd-{number % 8}'),
        )
        for number in range(engine_count)
    ]

    names = [f'r-{number}' for number in range(max(3, engine_count // 34))]

    def work() -> None:
        for name in names[:3]:
            subset.choose(name, ids.FailureDomain('d-0'), locations, names)

    return _mean_us(3, work)


def queue_us() -> float:
    """Return the time of one offer to the queue and one start from it.

    Requests of 5 workspaces wait in the queue; in microseconds of CPU
    time.
    """
    weights = {ids.WorkspaceName(name): 1.0 for name in WORKSPACES}
    queue = shares.FairQueue(weights, QUEUED)
    requests = [
        shares.Request(
            ids.RequestId(f'r-{number}'),
            ids.WorkspaceName(WORKSPACES[number % 5]),
            100.0,
            1e9,
        )
        for number in range(20_000)
    ]
    for request in requests[:QUEUED]:
        queue.offer(request, 0)

    def work() -> None:
        for request in requests[QUEUED:]:
            queue.offer(request, 0)
            for started in queue.start_next(1):
                queue.finish(started.workspace)

    return _mean_us(len(requests) - QUEUED, work)


def coverage(
    routers: int, engines: int, by_endpoints: bool
) -> tuple[list[int], list[int]]:
    """Return how many routers use each engine, and engines per router.

    Both lists are sorted. The only failure domain holds all routers and
    engines.

    :param by_endpoints: give each engine equally many routers, instead of
        each router equally many engines
    """
    domain = ids.FailureDomain('d-0')
    locations = [
        subset.EndpointLocation(ids.EndpointId(f'vm-{number}'), domain)
        for number in range(engines)
    ]
    names = [f'r-{number}' for number in range(routers)]
    users: collections.Counter[str] = collections.Counter()
    sizes = []
    for name in names:
        known = names if by_endpoints else ()
        chosen = subset.choose(
            name, domain, locations, known, subset.INSIDE, 0
        )
        users.update(chosen)
        sizes.append(len(chosen))
    return sorted(users.values()), sorted(sizes)
