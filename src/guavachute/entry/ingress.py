"""Admits the requests of callers and starts an exchange for each."""

import dataclasses
import typing

from guavachute.decide import crash
from guavachute.decide.ingress import crashing_parts
from guavachute.decide.ingress.intake import process_limits
from guavachute.decide.ingress import kept_bytes as answer_bytes
from guavachute.decide.ingress import retry_budget
from guavachute.decide import rendezvous
from guavachute.domain import call as domain_call
from guavachute.domain import configuration
from guavachute.domain import site as domain_site
from guavachute.entry.admission import gate
from guavachute.entry import callers
from guavachute.entry.closing import followed_limits
from guavachute.entry.closing import stop_state
from guavachute.entry import control_client
from guavachute.entry import demand_meters
from guavachute.entry.dispatch import refusals
from guavachute.entry import endpoint_paths
from guavachute.entry import endpoint_registry
from guavachute.entry import exchange
from guavachute.entry import exchange_state
from guavachute.entry import http1
from guavachute.entry.intake import guard
from guavachute.entry.intake import listener
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import part_suspects
from guavachute.entry import peers as entry_peers
from guavachute.entry import relay_client
from guavachute.entry import relay_peers
from guavachute.entry.rollouts import tracker
from guavachute.entry import stream_builds
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from guavachute.platform import moves
from guavachute.platform import requests
from guavachute.wire import node_updates
from guavachute.wire import requests as wire_requests

NO_CONFIGURATION_RETRY_S = 0.3
UNNAMEABLE_RETRY_S = 30.0
"""Retry-After where only a new configuration can help."""

MOVE_TIMEOUT_S = 1.0
MOVES_BEFORE_END_S = (1.1, 0.6)
"""Runs are moved this long before their endpoint ends. The second time is for
runs that had no event at the first. Moves are not started earlier, since a run
that ends by itself needs none, nor much later, since the copies of one
engine's runs queue up behind each other."""

MAX_RECLAIM_NOTICE_AGE_S = 0.5
"""Upper bound of the age of a reclaim notice when it is read from the
store."""

BLAME_WINDOW_S = 3.0
"""A request is suspected of having crashed an endpoint if it lost its
connection at most this long before the endpoint was found dead."""

LOGGED_FINGERPRINT = 12
"""Length of the start of a fingerprint in the log."""

MAX_CRASH_NOTICES = 20
"""Upper bound of the crash notices in one update."""

CRASH_NOTICE_TTL_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _LostAttempt:
    """A request whose connection to an endpoint broke, without its body.

    :ivar has_begun: whether its answer had begun
    :ivar parts: the ids of the parts of its prompt that others may share
    """

    lost_s: float
    record: endpoint_registry.EndpointRecord
    attempt_id: ids.AttemptId
    fingerprint: crash.Fingerprint
    has_begun: bool
    parts: tuple[str, ...]


class Ingress:
    """Serves the requests of the callers of this node.

    It checks the route, the key, the quota and the requests that are known to
    crash endpoints, then runs an exchange, which uses it as its owner.

    :ivar address: where it listens, with the port that was bound
    :ivar paths: the ways to endpoints
    :ivar admission: decides when each request begins
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        state: known_state.KnownState,
        registry: endpoint_registry.EndpointRegistry,
        peers: entry_peers.Peers,
        metrics: observe_metrics.Metrics,
        suspects: part_suspects.PartSuspects,
        builds: stream_builds.StreamBuilds,
        relays: relay_peers.RelayPeers,
        rollouts: tracker.Rollouts,
        on_run_started: typing.Callable[[ids.WorkspaceName], None],
    ) -> None:
        self.loop = loop
        self.registry = registry
        intake = guard.Guard(
            loop,
            process_limits.for_callers(
                site.memory_bytes, site.max_descriptors
            ),
            metrics,
        )
        self._site = site
        self._state = state
        self._peers = peers
        self._metrics = metrics
        self._suspects = suspects
        self._builds = builds
        self._rollouts = rollouts
        self.handle_result = rollouts.handle_result
        self.handle_released = rollouts.handle_released
        self._on_run_started = on_run_started
        self.paths = self._open_paths(relays, intake)
        self._stop = stop_state.StopState(loop, site.bounds.stop_grace_s)
        self.admission = gate.Gate(
            loop, site, state, peers, metrics, self._stop.refusal
        )
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}
        self._demand = demand_meters.DemandMeters()
        self._crashes = crash.CrashRegistry()
        self._lost_attempts: list[_LostAttempt] = []
        self._crash_notices: dict[
            str, tuple[float, wire_requests.CrashNotice]
        ] = {}
        self._exchanges: set[exchange.Exchange] = set()
        self._kept = answer_bytes.KeptBytes()
        assert site.listen.callers is not None
        self._listener = listener.CallerListener(
            loop,
            site.listen.callers,
            self,
            intake,
            idle_limits=followed_limits.follow(
                loop, state, site.bounds.configuration_s
            ),
        )
        self.address = self._listener.address
        metrics.gauge('callers', lambda: self._listener.connections)
        metrics.gauge('requests_open', lambda: len(self._exchanges))
        metrics.gauge('kept_answer_bytes', lambda: self._kept.total_bytes)

    def _open_paths(
        self, relays: relay_peers.RelayPeers, intake: guard.Guard
    ) -> endpoint_paths.EndpointPaths:
        """The ways to endpoints, also for requests of other nodes."""
        paths = endpoint_paths.EndpointPaths(
            self.loop,
            self._site,
            self.registry,
            relays,
            self._metrics,
            lambda: self.limits,
            self.handle_announcement,
            intake,
        )
        paths.on_failing = self._abandon_silent
        paths.on_unreachable = self._withdraw_from
        return paths

    # -- the callers ---------------------------------------------------

    @property
    def limits(self) -> configuration.CallerLimits:
        """The limits on the requests of callers."""
        return self._state.limits

    @property
    def is_stopping(self) -> bool:
        """Whether connections are closed after their current answer."""
        return self._stop.has_begun

    @property
    def open_requests(self) -> int:
        """The number of requests that are not completely answered."""
        return (
            len(self._exchanges)
            + self._listener.open_requests
            + self.paths.open_relays
        )

    def stop(self) -> None:
        """Stop gracefully: serve requests for a while, then answer 503."""
        self._stop.begin()
        self.paths.stop()

    def stop_accepting(self) -> None:
        """Have the operating system refuse new connections of callers."""
        self._listener.stop_accepting()

    def close_idle(self, unused_for_s: float = 0.0) -> None:
        """Close the connections that have had no request for so long."""
        self._listener.close_idle(unused_for_s)

    def close(self) -> None:
        """Stop listening, answer what is open, and abort all connections."""
        self._listener.close(self._end_requests)
        self.paths.close()

    def _end_requests(self) -> None:
        for started in list(self._exchanges):
            started.end_with_process()

    # -- requests ------------------------------------------------------

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> exchange.Exchange | None:
        """Start an exchange for a request, or reject the request.

        Returns None if the request was rejected and is answered already.
        """
        self._metrics.add('requests')
        call = requests.read_call(
            request.method, request.target, request.headers
        )
        if isinstance(call, outcome.Failure):
            self._reject(caller, None, 400, call)
            return None
        call.body = request.body
        refusal = self._node_refusal(call)
        if refusal is not None:
            self._reject(caller, call, 503, refusal)
            return None
        current = self._state.configuration
        assert current is not None
        route = current.route(call.host, call.path)
        if route is None or not route.targets:
            self._reject(caller, call, 404, _failure(
                outcome.Reason.NOT_FOUND,
                f'no route for {call.host} in version {current.version}',
            ))  # fmt: skip
            return None
        workspace = current.workspace_by_key.get(
            call.key or configuration.ApiKey('')
        )
        if (
            workspace is None
            and current.requires_key
            and not route.allows_anonymous
        ):
            self._reject(caller, call, 401, _failure(
                outcome.Reason.UNAUTHENTICATED,
                f'the key is unknown in version {current.version}',
            ))  # fmt: skip
            return None
        if workspace is not None and not requests.can_name(workspace.name):
            self._reject(caller, call, 503, _failure(
                outcome.Reason.UNAVAILABLE,
                f'no header can hold the name of workspace {workspace.name!r}',
                UNNAMEABLE_RETRY_S,
            ))  # fmt: skip
            return None
        return self._admit(caller, call, route, workspace)

    def _node_refusal(self, call: domain_call.Call) -> outcome.Failure | None:
        """Why this node serves no request now; None if it does."""
        if self._state.configuration is None:
            return _failure(
                outcome.Reason.NO_CONFIGURATION,
                'this node has not read a configuration yet',
                NO_CONFIGURATION_RETRY_S,
            )
        return self._stop.refusal(None)

    def _admit(
        self,
        caller: callers.CallerConnection,
        call: domain_call.Call,
        route: configuration.Route,
        workspace: configuration.Workspace | None,
    ) -> exchange.Exchange | None:
        now_s = self.loop.now_s
        service = _target(route, call.attempt_id)
        refusal = self._stop.refusal(service)
        if refusal is not None:
            self._reject(caller, call, 503, refusal)
            return None
        name = workspace.name if workspace else ids.WorkspaceName('')
        fingerprint = crash.fingerprint(
            name, call.path, call.body.decode('latin-1')
        )
        suspicion = self._crashes.status(fingerprint, now_s)
        if suspicion is crash.CrashStatus.REFUSED:
            self._reject(caller, call, 503, _failure(
                outcome.Reason.CRASHES_ENDPOINTS,
                'identical requests have crashed endpoints',
                refusals.CRASHING_RETRY_S,
            ))  # fmt: skip
            return None
        if self._suspects.verdict(call) is crashing_parts.Verdict.REFUSE:
            self._reject(caller, call, 503, _failure(
                outcome.Reason.CRASHES_ENDPOINTS,
                'requests with a part of this prompt have crashed endpoints',
                refusals.CRASHING_RETRY_S,
            ))  # fmt: skip
            return None
        started = exchange.Exchange(
            self, caller, call, route, service, workspace, fingerprint
        )
        self._exchanges.add(started)
        self.admission.submit(started)
        if started.state is not exchange_state.State.ENDED:
            self._budget(service).record_request(now_s)
        return started

    def usable(
        self,
        started: exchange.Exchange,
        excluded: typing.Container[ids.EndpointId],
    ) -> list[endpoint_registry.EndpointRecord]:
        """The endpoints that a request may be sent to now."""
        records = self.registry.usable(
            started.service, excluded, self.loop.now_s, started.build
        )
        return self._rollouts.select(started, records)

    def connect(
        self,
        started: exchange.Exchange,
        record: endpoint_registry.EndpointRecord,
    ) -> relay_client.Connection:
        """A connection for sending a request to an endpoint."""
        return self.paths.connect(
            record,
            started.call.attempt_id,
            runs_once=not started.route.can_run_again,
        )

    def handle_unreachable(
        self,
        record: endpoint_registry.EndpointRecord,
        connection: relay_client.Connection,
    ) -> None:
        """Record a connection to an endpoint that wasn't established."""
        self.paths.handle_unreachable(record, connection)

    def _abandon_silent(self) -> None:
        for started in list(self._exchanges):
            started.abandon_silent()

    def handle_request_sent(
        self,
        started: exchange.Exchange,
        record: endpoint_registry.EndpointRecord,
        tokens_to_read: int,
    ) -> None:
        """Record the tokens that an engine has to process for a request."""
        self._suspects.handle_sent(started.call)
        self._rollouts.handle_sent(started, record)
        call, service, now_s = started.call, started.service, self.loop.now_s
        self.registry.record_sent(record, now_s)
        if call.tokens is None:
            return
        output = call.tokens.output
        if call.length_hint is not None:
            output = min(output, call.length_hint)
        self._demand.record(service, tokens_to_read, output, now_s)

    def _reject(
        self,
        caller: callers.CallerConnection,
        call: domain_call.Call | None,
        status: int,
        failure: outcome.Failure,
    ) -> None:
        """Answer a request that was not sent to any endpoint."""
        self._metrics.add(f'refused_{status}')
        attempt_id = call.attempt_id if call else None
        journal.event(
            'request',
            outcome=f'own {status}',
            reason=str(failure),
            request=attempt_id,
            version=self._state.version,
            retry_after_s=failure.retry_after_s,
        )
        caller.answer(
            status,
            requests.own_answer_headers(attempt_id, failure.retry_after_s),
            b'',
            # The bytes after a malformed request can't be parsed reliably
            # either, so the connection is closed.
            closes=status == 400,
        )

    def load(self) -> dict[ids.ServiceName, node_updates.ServiceLoad]:
        """The tokens per second that callers request of each service here."""
        return self._demand.load(self.loop.now_s)

    # -- retries and ended requests ------------------------------------

    def consume_retry(self, service: ids.ServiceName) -> bool:
        """Consume one retry of *service*; False if its budget is empty."""
        granted = self._budget(service).consume(
            self._peers.table.count, self.loop.now_s
        )
        self._metrics.add('retries' if granted else 'retries_denied')
        return granted

    def _budget(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._site.bounds
            budget = self._budgets[service] = retry_budget.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_allowance,
                bounds.retry_window_s,
            )
        return budget

    def handle_request_started(self, started: exchange.Exchange) -> None:
        """Count a request that started to run at an endpoint."""
        if started.workspace is not None:
            self._on_run_started(started.workspace.name)

    def crash_verdict(
        self, started: exchange.Exchange
    ) -> crashing_parts.Verdict:
        """Whether parts of the request's prompt allow it to be sent."""
        return self._suspects.verdict(started.call)

    def may_repeat(self, started: exchange.Exchange) -> bool:
        """Whether a request that lost its endpoint may be sent to another."""
        return self._suspects.may_repeat(started.call)

    def find_build(
        self, started: exchange.Exchange
    ) -> ids.BuildName | stream_builds.Origin:
        """The build that began the stream which a request takes up."""
        return self._builds.find(
            started.call, started.service, started.arrived_s
        )

    def handle_stream_begun(self, started: exchange.Exchange) -> None:
        """Remember the build of a stream that its caller may take up."""
        if started.route.is_resumable and started.build is not None:
            self._builds.handle_begun(
                started.call, started.service, started.build
            )

    def keeps_too_much(
        self, started: exchange.Exchange, kept_bytes: int
    ) -> bool:
        """Whether an answer, of which so much is kept, has to be given up."""
        self._kept.record(started, kept_bytes)
        return self._kept.is_too_much(started)

    def handle_answer_proven(self, started: exchange.Exchange) -> None:
        """Record that a request doesn't crash endpoints."""
        self._suspects.handle_proven(started.call)

    def handle_attempt_lost(
        self,
        started: exchange.Exchange,
        record: endpoint_registry.EndpointRecord,
    ) -> None:
        """Record a request whose connection to an endpoint broke."""
        self._lost_attempts.append(
            _LostAttempt(
                self.loop.now_s,
                record,
                started.call.attempt_id,
                started.fingerprint,
                started.first_byte_s is not None,
                tuple(part.id for part in started.call.parts[:-1]),
            )
        )
        self._suspects.handle_lost(started.call, record, started.is_proven)
        self._rollouts.handle_lost(started)

    def handle_announcement(
        self,
        record: endpoint_registry.EndpointRecord,
        announced: requests.Announcement,
        sent_s: float | None = None,
    ) -> None:
        """Apply what an endpoint says of itself in an answer.

        :param sent_s: when the request was sent, if this is its own answer
        """
        if announced.is_leaving and not record.has_announced_end:
            self._metrics.add('endpoints_announced_end')
        if not self.registry.apply_announcement(
            record, announced, sent_s, self.loop.now_s
        ):
            return
        self._metrics.add('endpoint_pauses')
        self._withdraw_from(record)

    def _withdraw_from(self, record: endpoint_registry.EndpointRecord) -> None:
        """Send requests elsewhere that wait for a connection to it."""
        for started in list(self._exchanges):
            started.withdraw(record)

    def handle_request_ended(
        self,
        started: exchange.Exchange,
        verdict: str,
        failure: outcome.Failure | None,
    ) -> None:
        """Record the end of a request.

        A success clears the request of suspected crashes.
        """
        self._exchanges.discard(started)
        self._kept.record(started, 0)
        self._suspects.handle_ended(started.call)
        if started.first_byte_s is not None and started.route.is_resumable:
            self._builds.handle_ended(started.call, verdict == 'served')
        self._metrics.add('ended_' + verdict.replace(' ', '_'))
        if verdict == 'cut' and failure is not None:
            self._metrics.add(f'cut_{failure.reason.value}')
        now_s = self.loop.now_s
        self._metrics.observe_s('request', now_s - started.arrived_s)
        if started.first_byte_s is not None:
            self._metrics.observe_s(
                'first_byte', started.first_byte_s - started.arrived_s
            )
        if verdict == 'served' or verdict.startswith('status 2'):
            self._stop.durations.record(
                started.service, now_s - started.arrived_s
            )
            notice = self._crashes.record_success(started.fingerprint, now_s)
            if notice is not None:
                self._record_notice(notice)
        self.admission.handle_ended(started, verdict)

    # -- endpoints that leave ------------------------------------------

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
        client = control_client.Client(self.loop, source)

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            client.close()
            if isinstance(reply, control_client.CallFailure):
                done(_failure(outcome.Reason.LOST_ANSWER, reply.value))
            elif reply.status != 200:
                done(_failure(
                    outcome.Reason.NO_CAPACITY, f'status {reply.status}'
                ))  # fmt: skip
            else:
                done(moves.decode(reply.body))

        self._metrics.add('moves')
        client.call(
            b'POST',
            moves.TARGET,
            handle_reply,
            MOVE_TIMEOUT_S,
            body=moves.encode(attempt_id, target),
            headers=[(b'Content-Type', domain_call.JSON)],
        )

    def schedule_moves(
        self, record: endpoint_registry.EndpointRecord, leaves_in_s: float
    ) -> None:
        """Schedule moves of the requests at an endpoint that will end.

        :param leaves_in_s: time from now until its end, or a lower bound
        """
        for before_end_s in MOVES_BEFORE_END_S:
            self.loop.call_after(
                max(0.0, leaves_in_s - before_end_s),
                lambda: self._move_from(record),
            )

    def _move_from(self, record: endpoint_registry.EndpointRecord) -> None:
        for started in list(self._exchanges):
            # A move is a call to the engine too.
            if started.is_at(record) and self.registry.accepts_call(
                record, self.loop.now_s
            ):
                started.move_away()

    # -- requests that crash endpoints ---------------------------------

    def handle_endpoint_death(
        self, record: endpoint_registry.EndpointRecord
    ) -> None:
        """Suspect the requests that were lost when an endpoint ended.

        :param record: an incarnation that ended without notice
        """
        now_s = self.loop.now_s
        crash_id = ':'.join(str(part) for part in record.entry.incarnation)
        for lost in self._lost_attempts:
            if lost.record is record and now_s - lost.lost_s <= BLAME_WINDOW_S:
                notice = self._crashes.record_crash(
                    lost.fingerprint, crash_id, now_s
                )
                journal.event(
                    'suspect',
                    request=lost.attempt_id,
                    endpoint=record.entry.id,
                    age_s=round(now_s - lost.lost_s, 3),
                    fingerprint=lost.fingerprint[:LOGGED_FINGERPRINT],
                    crashes=len(notice.crashes),
                    has_begun=lost.has_begun,
                    parts=list(lost.parts),
                )
                self._record_notice(notice)
        self._lost_attempts = [
            lost for lost in self._lost_attempts if lost.record is not record
        ]

    def merge_crash_notice(self, notice: wire_requests.CrashNotice) -> None:
        """Merge another node's notice of a request that crashes endpoints."""
        name = crash.Fingerprint(notice.fingerprint)
        before = self._crashes.status(name, self.loop.now_s)
        self._crashes.merge_notice(notice, self.loop.now_s)
        status = self._crashes.status(name, self.loop.now_s)
        if status is not before:
            journal.event(
                'suspect',
                outcome=status.value,
                source='peer',
                fingerprint=name[:LOGGED_FINGERPRINT],
                crashes=len(notice.crashes),
            )

    def crash_notices(self) -> list[wire_requests.CrashNotice]:
        """The newest crash notices of this node, for the other nodes."""
        oldest_s = self.loop.now_s - CRASH_NOTICE_TTL_S
        self._crash_notices = {
            name: item
            for name, item in self._crash_notices.items()
            if item[0] >= oldest_s
        }
        newest = sorted(
            self._crash_notices.values(),
            key=lambda item: item[0],
            reverse=True,
        )
        return [notice for _, notice in newest[:MAX_CRASH_NOTICES]]

    def _record_notice(self, notice: wire_requests.CrashNotice) -> None:
        self._crash_notices[notice.fingerprint] = (self.loop.now_s, notice)

    def expire(self) -> None:
        """Discard expired state; called about every half second."""
        self.paths.sweep()
        self.registry.log_ended_pauses(self.loop.now_s)
        self.admission.expire()
        oldest_s = self.loop.now_s - BLAME_WINDOW_S
        for lost in self._lost_attempts:
            if lost.lost_s < oldest_s:
                journal.event(
                    'suspect',
                    outcome='not-blamed',
                    reason='the endpoint was not found dead',
                    request=lost.attempt_id,
                    endpoint=lost.record.entry.id,
                )
        self._lost_attempts = [
            lost for lost in self._lost_attempts if lost.lost_s >= oldest_s
        ]


def _target(
    route: configuration.Route, attempt_id: ids.AttemptId
) -> ids.ServiceName:
    """The service that the weights of the route assign to this request.

    The choice depends only on the attempt id, so all nodes agree on it.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    place = rendezvous.score(attempt_id, route.name) / 2**64 * total
    for target in route.targets:
        place -= target.weight
        if place < 0:
            return target.service
    return route.targets[-1].service


def _failure(
    reason: outcome.Reason, detail: str, retry_after_s: float | None = None
) -> outcome.Failure:
    return outcome.Failure(reason, detail, retry_after_s)
