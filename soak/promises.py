"""What callers and endpoints may rely on, checked on what they saw."""

import collections
import dataclasses
import typing

from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run, nor ever will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What a route promises.

    :ivar events: how many events a whole answer has; 0 for a plain one
    """

    path: str
    events: int
    may_run_again: bool


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request of a client, and what became of it.

    :ivar incarnation: the run of the node that got it
    :ivar workspace: whose key it bore
    :ivar is_planned: whether nothing but planned work went on around it
    """

    attempt_id: str
    route: Route
    target: str
    body: bytes
    workspace: str
    incarnation: str
    sent_s: float
    version: int
    is_planned: bool = False
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b''
    is_whole: bool = False
    is_malformed: bool = False
    ended_s: float = 0.0


Runs = typing.Mapping[str, typing.Sequence[standin_engine.Run]]
"""What endpoints ran, by attempt."""


def broken(attempts: typing.Sequence[Attempt], runs: Runs) -> list[str]:
    """The promises about requests that were not kept, one line each."""
    by_id = {attempt.attempt_id: attempt for attempt in attempts}
    found = [
        f'unasked: {name} ran, and nobody sent it'
        for name in runs.keys() - by_id.keys()
    ]
    for attempt in attempts:
        own_runs = runs.get(attempt.attempt_id, ())
        for check in (_run_once, _not_run, _as_sent, _as_made, _not_lost):
            reason = check(attempt, own_runs)
            if reason is not None:
                found.append(
                    f'{reason}: {attempt.attempt_id} {attempt.target} by '
                    f'{attempt.incarnation}, status {attempt.status}'
                )
    return found + _configuration_went_back(attempts)


def broken_duties(
    calls: typing.Sequence[standin_cloud.CloudCall],
) -> list[str]:
    """The promises about calls to the cloud that were not kept."""
    found = []
    counts: dict[int, typing.Any] = {}
    holders: dict[tuple[str, int], str] = {}
    for item in calls:
        holder = holders.setdefault((item.target, item.fence), item.holder)
        if holder != item.holder:
            found.append(
                f'two holders with fence {item.fence}: {holder}, {item.holder}'
            )
        if item.target == '/usage':
            window, told = item.body['windowId'], item.body['counts']
            if counts.setdefault(window, told) != told:
                found.append(
                    f'two reports of {window}: {counts[window]}, {told}'
                )
    return found


def _run_once(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    if len(runs) > 1 and not attempt.route.may_run_again:
        return f'twice: {len(runs)} runs'
    return None


def _not_run(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    is_promise = attempt.status in NOT_RUN and not attempt.route.may_run_again
    if is_promise and runs:
        return 'a false "not run"'
    return None


def _as_sent(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    for run in runs:
        if (run.target, run.body) != (attempt.target, attempt.body):
            return 'changed on the way'
        if run.workspace != attempt.workspace:
            return f'run for {run.workspace}'
        if run.has_caller_key:
            return 'the key was passed on'
    return None


def _as_made(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    """What reaches the caller is what an endpoint made for it."""
    origin = standin_engine.origin(attempt.headers)
    if attempt.is_malformed:
        return 'bytes that are no answer'
    if not attempt.status:
        return None
    engine = origin.endpoint
    if engine is None:
        if 200 <= attempt.status < 300:
            return 'a success without a stamp'
        return None
    if origin.attempt_id != attempt.attempt_id:
        return 'the answer to another request'
    if attempt.status == 500:
        return None if attempt.answer == b'failed' else 'a changed failure'
    if not attempt.route.events:
        whole = b'answer of ' + engine.encode()
        if attempt.is_whole and attempt.answer != whole:
            return 'a changed answer'
        return None
    return _events_as_made(attempt, engine)


def _events_as_made(attempt: Attempt, engine: str) -> str | None:
    events = attempt.answer.split(b'\n\n')
    if attempt.is_whole:
        if events.pop():
            return 'a whole answer with half an event'
        if len(events) != attempt.route.events:
            return f'{len(events)} events in a whole answer'
    else:
        events = events[:-1]
    for number, event in enumerate(events, start=1):
        begin = b'id: %d\ndata: ' % number
        if not event.startswith(begin) or not event.endswith(b'-%d' % number):
            return f'event {number} is {event!r}'
        source = event[len(begin) :].rpartition(b'-')[0].decode()
        if source != engine and not attempt.route.may_run_again:
            return f'event {number} of {source} in an answer of {engine}'
    return None


def _not_lost(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    """Planned work cuts nothing that an endpoint is at work on."""
    if attempt.is_planned and runs and not attempt.is_whole:
        return 'cut by planned work'
    return None


def _configuration_went_back(
    attempts: typing.Sequence[Attempt],
) -> list[str]:
    """A run of a node never forgets a version.

    The path of a probe names the version that brought its route.
    """
    seen: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    probes = [item for item in attempts if item.target.startswith('/v')]
    for probe in probes:
        if probe.status and probe.status != 404:
            version = int(probe.target.split('/')[1][1:])
            seen[probe.incarnation].append((probe.ended_s, version))
    found = []
    for probe in probes:
        version = int(probe.target.split('/')[1][1:])
        newest = max(
            (
                known
                for at_s, known in seen[probe.incarnation]
                if at_s < probe.sent_s
            ),
            default=0,
        )
        if probe.status == 404 and version <= newest:
            found.append(
                f'the configuration went back: {probe.incarnation} does not '
                f'know {version} after {newest}'
            )
    return found
