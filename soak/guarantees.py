"""Checks the guarantees to callers and endpoints on what they observed."""

import collections
import dataclasses
import typing

from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine

LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS_SHARE = 1.5
LIMIT_EXCESS_REQUESTS = 5
"""In each window an endpoint may get this share of the limit that it names,
and a few requests more, from all nodes together."""

MIN_CUT_SHARE = 2 / 3
MAX_CUT_FAILED = 10
MAX_CUT_FAILED_SHARE = 1 / 50
"""Nodes that are cut off from all endpoints may serve this share of what the
others do, or fail so many requests and this share of all. Each of the two is
enough."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that the request has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What a route guarantees.

    :ivar events: how many events a complete answer has; 0 for a plain one
    :ivar can_run_again: whether a request may run more than once
    """

    path: str
    events: int
    can_run_again: bool


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request of a client, and its answer.

    :ivar workspace: the workspace whose API key it carried
    :ivar incarnation: the run of the node that received it
    :ivar sent_s: when it was sent, by the loop's clock
    :ivar version: the newest configuration when it was sent
    :ivar begun_as: for a stream that is taken up, the attempt that began it
    :ivar events_before: how many events of it the client had by then
    :ivar has_bad_part: whether its prompt has the part that crashes engines
    :ivar during_planned_work: whether only planned work disturbed the
        site from its sending to its end
    :ivar status: 0 if no answer arrived
    :ivar is_complete: whether the answer ended as a complete one does
    :ivar is_framed: whether it has a length or chunks; the clean end of
        another one doesn't show that its endpoint sent all of it
    :ivar is_malformed: whether the answer was invalid HTTP
    :ivar ended_s: when it ended; 0 while it is awaited
    """

    attempt_id: str
    route: Route
    target: str
    body: bytes
    workspace: str
    incarnation: str
    sent_s: float
    version: int
    has_bad_part: bool = False
    during_planned_work: bool = False
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b''
    is_complete: bool = False
    is_framed: bool = True
    is_malformed: bool = False
    ended_s: float = 0.0
    begun_as: str = ''
    events_before: int = 0

    def __str__(self) -> str:
        """The line of the attempt in the log of the play."""
        return (
            f'{self.sent_s:.3f} {self.attempt_id} {self.target} '
            f'{self.incarnation} {self.status} complete={self.is_complete}'
        )

    @property
    def stream(self) -> str:
        """The attempt that began the stream."""
        return self.begun_as or self.attempt_id

    @property
    def events(self) -> int:
        """How many whole events the answer has."""
        if not self.route.events or self.status != 200:
            return 0
        return self.answer.count(b'\n\n')

    @property
    def is_broken_off(self) -> bool:
        """Whether the client may take the stream up after its last event."""
        return (
            self.route.events > 0
            and self.route.can_run_again
            and not self.has_bad_part
            and 0 < self.events
            and self.events_before + self.events < self.route.events
        )


Runs = typing.Mapping[str, typing.Sequence[standin_engine.Run]]
"""The runs at all endpoints by attempt id."""


def violations(attempts: typing.Sequence[Attempt], runs: Runs) -> list[str]:
    """Return the violated guarantees about requests, one line each."""
    by_id = {attempt.attempt_id: attempt for attempt in attempts}
    found = [
        f'unexpected run: no client sent {name}, but it ran'
        for name in runs.keys() - by_id.keys()
    ]
    for attempt in attempts:
        own_runs = runs.get(attempt.attempt_id, ())
        for check in (
            _check_run_count,
            _check_not_run,
            _check_request,
            _check_answer,
            _check_planned_work,
        ):
            reason = check(attempt, own_runs)
            if reason is not None:
                found.append(
                    f'{reason}: {attempt.attempt_id} {attempt.target} by '
                    f'{attempt.incarnation}, status {attempt.status}'
                )
    return (
        found
        + _configuration_regressions(attempts)
        + _runs_after_announced_end(attempts, runs)
        + _mixed_builds(attempts, runs)
    )


def duty_violations(
    calls: typing.Sequence[standin_cloud.CloudCall],
) -> list[str]:
    """Return the violated guarantees about calls to the cloud."""
    found = []
    highest: dict[str, int] = {}
    counts: dict[int, typing.Any] = {}
    holders: dict[tuple[str, int], str] = {}
    for item in calls:
        holder = holders.setdefault((item.target, item.fence), item.holder)
        if holder != item.holder:
            found.append(
                f'two holders with fencing token {item.fence}: {holder}, '
                f'{item.holder}'
            )
        if item.fence < highest.get(item.holder, item.fence):
            found.append(
                f'the fencing token of {item.holder} fell from '
                f'{highest[item.holder]} to {item.fence}'
            )
        highest[item.holder] = item.fence
        if item.target == '/usage':
            window, reported = item.body['windowId'], item.body['counts']
            if counts.setdefault(window, reported) != reported:
                found.append(
                    f'two different reports of window {window}: '
                    f'{counts[window]}, {reported}'
                )
    return found


def limit_violations(
    name: str, limit_per_s: float, arrivals_s: typing.Sequence[float]
) -> list[str]:
    """Return where an endpoint got more than the limit that it named.

    :param arrivals_s: when requests of any kind arrived while it named it
    """
    allowed = (
        LIMIT_EXCESS_SHARE * limit_per_s * LIMIT_WINDOW_S
        + LIMIT_EXCESS_REQUESTS
    )
    most = max(
        (
            sum(0 <= at_s - start_s < LIMIT_WINDOW_S for at_s in arrivals_s)
            for start_s in arrivals_s
        ),
        default=0,
    )
    if most <= allowed:
        return []
    return [
        f'endpoint {name} got {most} requests in {LIMIT_WINDOW_S} s, and had '
        f'named a limit of {limit_per_s} a second'
    ]


def _runs_after_announced_end(
    attempts: typing.Sequence[Attempt], runs: Runs
) -> list[str]:
    """Return the requests that a node sent to an endpoint that leaves.

    The node had passed on an answer in which the endpoint told it, before the
    client sent the request.
    """
    told_s: dict[tuple[str, tuple[str, int]], float] = {}
    for attempt in attempts:
        if not attempt.is_complete:
            continue
        for run in runs.get(attempt.attempt_id, ()):
            origin = standin_engine.origin(attempt.headers)
            if run.has_told_end and origin.endpoint == run.engine[0]:
                key = (attempt.incarnation, run.engine)
                told_s[key] = min(
                    attempt.ended_s, told_s.get(key, attempt.ended_s)
                )
    return [
        f'run at {run.engine[0]} after it had told {attempt.incarnation} that '
        f'it leaves: {attempt.attempt_id}'
        for attempt in attempts
        for run in runs.get(attempt.attempt_id, ())
        if attempt.sent_s
        > told_s.get((attempt.incarnation, run.engine), float('inf'))
    ]


def _mixed_builds(attempts: typing.Sequence[Attempt], runs: Runs) -> list[str]:
    """Return the streams with events from two builds of endpoints."""
    builds: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in attempts:
        if not attempt.route.events or attempt.status != 200:
            continue
        for source in _sources(attempt):
            at_source = {
                run.build
                for run in runs.get(attempt.attempt_id, ())
                if run.engine[0] == source
            }
            if len(at_source) == 1:
                builds[attempt.stream] |= at_source
    return [
        f'stream {name} has events of the builds {sorted(found)}'
        for name, found in builds.items()
        if len(found) > 1
    ]


def _sources(attempt: Attempt) -> set[str]:
    """The endpoints whose events an answer has."""
    return {
        line.removeprefix(b'data: ').rpartition(b'-')[0].decode()
        for line in attempt.answer.splitlines()
        if line.startswith(b'data: ') and line.count(b'-')
    }


def _check_run_count(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    """Check that nothing ran twice; a run that was moved counts once."""
    starts = [run for run in runs if not run.was_moved]
    if len(starts) > 1 and not attempt.route.can_run_again:
        return f'ran {len(starts)} times'
    return None


def _check_not_run(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    states_not_run = (
        attempt.status in NOT_RUN_STATUSES and not attempt.route.can_run_again
    )
    if states_not_run and runs:
        return 'answered as not run, but it ran'
    return None


def _check_request(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    for run in runs:
        if (run.target, run.body) != (attempt.target, attempt.body):
            return 'request changed on the way'
        if run.workspace != attempt.workspace:
            return f'run for workspace {run.workspace}'
        if run.has_caller_key:
            return 'API key passed on to the endpoint'
    return None


def _check_answer(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    """Check that the caller got what an endpoint produced for it."""
    origin = standin_engine.origin(attempt.headers)
    if attempt.is_malformed:
        return 'answer is not valid HTTP'
    if not attempt.status:
        return None
    engine = origin.endpoint
    if engine is None:
        if 200 <= attempt.status < 300:
            return 'success without a stamp'
        return None
    if origin.attempt_id != attempt.attempt_id:
        return 'answer to another request'
    if not attempt.is_framed and all(run.is_framed for run in runs):
        return 'answer lost its framing'
    if attempt.status == 500:
        return None if attempt.answer == b'failed' else 'failure was changed'
    if not attempt.route.events:
        expected = b'answer of ' + engine.encode()
        if not attempt.is_framed:
            expected = expected[: len(attempt.answer)]
        if attempt.is_complete and attempt.answer != expected:
            return 'answer was changed'
        return None
    targets = {run.engine[0] for run in runs if run.was_moved}
    return _check_events(attempt, {engine, *targets})


def _check_events(attempt: Attempt, engines: set[str]) -> str | None:
    """Check the events of a stream.

    :param engines: the endpoint that began the answer, and those to which the
        run was moved
    """
    events = attempt.answer.split(b'\n\n')
    if attempt.is_complete:
        if events.pop():
            return 'complete answer ends in the middle of an event'
        missing = attempt.route.events - attempt.events_before
        if attempt.is_framed and len(events) != missing:
            return f'{len(events)} events in a complete answer'
    else:
        events = events[:-1]
    for number, event in enumerate(events, start=attempt.events_before + 1):
        start = b'id: %d\ndata: ' % number
        if not event.startswith(start) or not event.endswith(b'-%d' % number):
            return f'event {number} is {event!r}'
        source = event[len(start) :].rpartition(b'-')[0].decode()
        if source not in engines and not attempt.route.can_run_again:
            return f'event {number} comes from {source}, not from {engines}'
    return None


def _check_planned_work(
    attempt: Attempt, runs: typing.Sequence[standin_engine.Run]
) -> str | None:
    """Check that planned work aborts no request that an endpoint runs."""
    if attempt.during_planned_work and runs and not attempt.is_complete:
        return 'aborted by planned work'
    return None


def _configuration_regressions(
    attempts: typing.Sequence[Attempt],
) -> list[str]:
    """Return where a run of a node fell back to an older configuration.

    The path of a probe names the version that introduced its route.
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
                f'know version {version} after version {newest}'
            )
    return found


def cut_violations(
    attempts: typing.Sequence[Attempt], cut: typing.Container[str]
) -> list[str]:
    """Check that nodes which reach no endpoint serve about as the others do.

    :param attempts: those that were sent from four seconds after the cut on
    :param cut: the runs of nodes that are cut off
    """
    ended = [item for item in attempts if item.ended_s and not item.begun_as]
    at_cut = [item for item in ended if item.incarnation in cut]
    others = [item for item in ended if item.incarnation not in cut]
    served = sum(item.status == 200 for item in at_cut)
    served_by_others = sum(item.status == 200 for item in others)
    failed = len(at_cut) - served
    is_rare = served * len(others) < (
        MIN_CUT_SHARE * served_by_others * len(at_cut)
    )
    if is_rare and failed > MAX_CUT_FAILED + MAX_CUT_FAILED_SHARE * len(ended):
        return [
            f'nodes without links to endpoints served {served} of '
            f'{len(at_cut)} requests, the others {served_by_others} of '
            f'{len(others)}'
        ]
    return []
