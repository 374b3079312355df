"""Serves one request: chooses endpoints, retries and forwards the answer."""

import typing

from guavachute.decide import crash
from guavachute.decide.ingress import choice
from guavachute.decide.ingress import crashing_parts
from guavachute.decide.ingress import event_stream
from guavachute.domain import call as domain_call
from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry.capacity import learned
from guavachute.entry.dispatch import endpoint_wait
from guavachute.entry.dispatch import refusals
from guavachute.entry.dispatch import request_log
from guavachute.entry.dispatch import selection
from guavachute.entry.dispatch import tried_endpoints
from guavachute.entry import endpoint_registry
from guavachute.entry import exchange_owner
from guavachute.entry import exchange_state
from guavachute.entry import http1
from guavachute.entry import relay_client
from guavachute.entry import stream_builds
from guavachute.entry import upstream
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import moves
from guavachute.platform import requests

MAX_IGNORED_BYTES = 1_048_576
"""The body of a refusal, or of an answer to another request, is read up to
this size; a longer one may have no end."""


class Exchange:
    """Sends a request to endpoints until its caller has an answer.

    The request is sent again only where the route or the endpoint's
    refusal allows it. The exchange ends at the deadline at the latest.

    :ivar expires_at_s: loop time at which the request times out
    :ivar attempts: how many times the request was sent to an endpoint
    :ivar first_byte_s: loop time at which the first byte of a stream went to
        the caller; None before
    :ivar has_started: whether the request was reported as running
    :ivar build: the only build of endpoints at which the stream may go on;
        None while any may serve it
    :ivar is_proven: whether the present attempt's answer shows that the
        request doesn't crash its endpoint
    """

    def __init__(
        self,
        owner: exchange_owner.Owner,
        caller: callers.CallerConnection,
        call: domain_call.Call,
        route: configuration.Route,
        service: ids.ServiceName,
        workspace: configuration.Workspace | None,
        fingerprint: crash.Fingerprint,
    ) -> None:
        self._owner = owner
        self._caller = caller
        self.call = call
        self.route = route
        self.service = service
        self.workspace = workspace
        self.fingerprint = fingerprint
        self.state = exchange_state.State.WAITING
        self.arrived_s = owner.loop.now_s
        longest_s = route.timeout_s
        if call.deadline_s is not None:
            longest_s = min(longest_s, call.deadline_s)
        self.expires_at_s = self.arrived_s + longest_s
        self.attempts = 0
        self.first_byte_s: float | None = None
        self.has_started = False
        self.is_proven = False
        self.build: ids.BuildName | None = None
        self._begun_s: float | None = None
        self._tried_endpoints = tried_endpoints.TriedEndpoints()
        self._may_have_run = False
        self._record: endpoint_registry.EndpointRecord | None = None
        self._connection: relay_client.Connection | None = None
        self._sent_s = 0.0
        self._pending_tokens = 0
        self._measured: learned.Attempt | None = None
        self._move_state = exchange_state.MoveState.NONE
        self._continues_from_copy = False
        self._answer_mode = exchange_state.AnswerMode.NONE
        self._head: requests.AnswerHead | None = None
        self._framing: http1.Framing | None = None
        self._opened: exchange_state.BufferedAnswer | None = None
        self._connection_end: str | None = None
        self._partial_bytes = 0
        self._buffered = bytearray()
        self._ignored_bytes = 0
        self._events = event_stream.EventStream()
        self._last_error: exchange_state.BufferedAnswer | None = None
        self._wait = endpoint_wait.EndpointWait(
            owner.loop, route.objective_s, self._redispatch
        )
        self._deadline_timer = owner.loop.call_at(
            self.expires_at_s, self._time_out
        )

    # -- dispatch to an endpoint ---------------------------------------

    def dispatch(self) -> None:
        """Send the request, wait for a usable endpoint, or answer 503."""
        now_s = self._owner.loop.now_s
        left_s = self.expires_at_s - now_s
        verdict = self._owner.crash_verdict(self)
        failure = refusals.before_choice(verdict, left_s)
        if failure is not None:
            self._fail_request(failure)
            return
        if verdict is crashing_parts.Verdict.WAIT:
            self._recheck_or_fail(
                'another request that may crash endpoints is running'
            )
            return
        if not self._finds_build():
            return
        records = self._owner.usable(self, self._tried_endpoints)
        chosen = self._choose(records, now_s)
        if chosen is None:
            if self._tried_endpoints.readmit_crossed():
                self.dispatch()
            else:
                self._await_endpoint(now_s)
            return
        failure = refusals.too_late(chosen, left_s)
        if failure is not None:
            self._fail_request(failure)
            return
        record = next(r for r in records if r.entry.id == chosen.endpoint)
        self._send(record, chosen, now_s)

    def expected_first_token_s(
        self, besides: endpoint_registry.EndpointRecord | None = None
    ) -> float | None:
        """Time to first token if the request began now; None if unknown.

        :param besides: an endpoint that is left out
        """
        records = self._owner.usable(self, self._tried_endpoints)
        records = [item for item in records if item is not besides]
        chosen = self._choose(records, self._owner.loop.now_s)
        return None if chosen is None else chosen.first_token_s

    def _choose(
        self, records: list[endpoint_registry.EndpointRecord], now_s: float
    ) -> choice.Chosen | None:
        return selection.choose(
            self._owner.registry, self.route, self.call, records, now_s
        )

    def _finds_build(self) -> bool:
        """Whether the request may be sent, as far as builds matter.

        Otherwise it waits, or is answered. Only a stream that goes on needs
        the build that began it.
        """
        if (
            self.build is not None
            or not self.route.is_resumable
            or self.call.last_event_id is None
        ):
            return True
        found = self._owner.find_build(self)
        if found is stream_builds.Origin.PENDING:
            self._recheck_or_fail(
                'the origin is not known', stream_builds.FIND_TIMEOUT_S
            )
        elif found is stream_builds.Origin.UNKNOWN:
            self._fail_request(
                refusals.no_capacity(
                    f'the build that began {self.call.begun_as} is not known'
                )
            )
        else:
            assert not isinstance(found, stream_builds.Origin)
            self.build = found
        return self.build is not None

    def _await_endpoint(self, now_s: float) -> None:
        failure = refusals.without_endpoint(
            self._owner.registry, self.service, self.build, now_s
        )
        if failure is not None:
            self._fail_request(failure)
            return
        self._recheck_or_fail(f'no endpoint of {self.service} can be used')

    def _recheck_or_fail(self, reason: str, least_wait_s: float = 0.0) -> None:
        """Try to dispatch again soon, unless the request waited too long."""
        if not self._wait.recheck(least_wait_s):
            self._fail_request(refusals.no_capacity(reason))

    def _redispatch(self) -> None:
        if (
            self.state is not exchange_state.State.ENDED
            and self._connection is None
        ):
            self.dispatch()

    def _send(
        self,
        record: endpoint_registry.EndpointRecord,
        chosen: choice.Chosen,
        now_s: float,
        origin: str | None = None,
    ) -> None:
        self._continues_from_copy = origin is not None
        if origin is None:
            self.attempts += 1
        self._record = record
        shows_speed = origin is None and self.attempts == 1
        self._measured = record.begin_attempt(
            chosen if shows_speed else None, now_s
        )
        self._sent_s = now_s
        self._answer_mode = exchange_state.AnswerMode.NONE
        self._framing = None
        self._connection_end = None
        self._partial_bytes = 0
        self._begun_s = None
        self.is_proven = False
        self._ignored_bytes = 0
        # The next endpoint sends an incomplete event again from its start.
        self._events.discard_partial_event()
        if self.state is exchange_state.State.WAITING:
            self.state = exchange_state.State.SENT
        prompt = self.call.tokens.prompt if self.call.tokens else 0
        self._pending_tokens = max(
            0, prompt - record.cached_tokens(self.call.parts)
        )
        self._owner.handle_request_sent(self, record, self._pending_tokens)
        record.own.requests += 1
        record.own.waiting_tokens += self._pending_tokens
        record.record_prompt(self.call.parts)
        connection = self._owner.connect(self, record)
        self._connection = connection
        dispatch = domain_call.Dispatch(
            endpoint=record.entry.id,
            address=record.entry.address,
            workspace=self.workspace.name if self.workspace else None,
            deadline_s=self.expires_at_s - now_s,
            urgency=configuration.urgency(self.route, self.workspace),
            resume_after=self._events.last_id or self.call.last_event_id
            if self.route.is_resumable or origin is not None
            else None,
            origin=origin,
        )
        request_log.log_dispatch(
            self,
            record,
            dispatch,
            chosen.first_token_s,
            self._owner.registry.entries_age_s(),
            now_s - record.reported_at_s,
        )
        connection.send_request(
            requests.encode_for_endpoint(self.call, dispatch), self
        )

    def withdraw(self, record: endpoint_registry.EndpointRecord) -> None:
        """Send the request elsewhere if it has not been sent to *record* yet.

        A connection that is still being established would bring the request to
        an endpoint that wants none by then.
        """
        if (
            self._record is record
            and self._connection is not None
            and not self._connection.is_connected
        ):
            self._release_endpoint(keeps_alive=False)
            self._after_connect_failure()

    def abandon_silent(self) -> None:
        """Give an attempt up that waits on a link which is cut.

        Only a request that can go on elsewhere is taken from its endpoint
        before its connection has ended; another one may still get its answer.
        """
        if (
            isinstance(self._connection, upstream.Connection)
            and self._record is not None
            and self._move_state is exchange_state.MoveState.NONE
            and self._owner.registry.is_abandoned(
                self._record,
                self._connection.silent_s,
                self.first_byte_s is not None,
            )
            and self._may_repeat
            and self._finds_successor()
            and self._consume_retry()
        ):
            self._connection_end = 'silent'
            self._lose_attempt()
            self._record_failed_attempt('the link to the endpoint is cut')
            self.dispatch()

    def _finds_successor(self) -> bool:
        """Whether another endpoint can go on with the request in time."""
        token_s = self.expected_first_token_s(besides=self._record)
        left_s = self.expires_at_s - self._owner.loop.now_s
        return token_s is not None and token_s <= left_s

    # -- moves to another endpoint -------------------------------------

    def is_at(self, record: endpoint_registry.EndpointRecord) -> bool:
        """Whether that incarnation of an endpoint has the request now."""
        return self._connection is not None and self._record is record

    def move_away(self) -> None:
        """Move a running stream to another endpoint before its own ends.

        Nothing is done for a request that has had no event yet, as its
        endpoint may not have started to run it.
        """
        record = self._record
        if (
            self._answer_mode is not exchange_state.AnswerMode.EVENTS
            or self._events.last_id is None
            or self._move_state is not exchange_state.MoveState.NONE
            or record is None
        ):
            return
        now_s = self._owner.loop.now_s
        records = [
            item
            for item in self._owner.usable(self, {record.entry.id})
            if not item.is_leaving
        ]
        chosen = self._choose(records, now_s)
        if chosen is None:
            return
        target = next(r for r in records if r.entry.id == chosen.endpoint)
        self._move_state = exchange_state.MoveState.REQUESTED
        journal.event(
            'move',
            outcome='asked',
            request=self.call.attempt_id,
            source=record.entry.id,
            target=target.entry.id,
            passed_events=self._events.events,
        )
        self._owner.move_run(
            self.call.attempt_id,
            record.entry.address,
            target.entry.address,
            lambda moved: self._handle_move_result(moved, record, target),
        )

    def _handle_move_result(
        self,
        moved: moves.CacheCopy | outcome.Failure,
        source: endpoint_registry.EndpointRecord,
        target: endpoint_registry.EndpointRecord,
    ) -> None:
        if (
            self.state is exchange_state.State.ENDED
            or self._move_state is not exchange_state.MoveState.REQUESTED
        ):
            return
        self._move_state = exchange_state.MoveState.NONE
        if isinstance(moved, outcome.Failure):
            journal.event(
                'move',
                outcome='failed',
                request=self.call.attempt_id,
                reason=str(moved),
            )
            if self._connection is None:
                self._after_failure(
                    'the source stopped the run without a copy'
                )
            return
        self._release_endpoint(keeps_alive=False)
        journal.event(
            'move',
            outcome='copied',
            request=self.call.attempt_id,
            target=target.entry.id,
            made_events=moved.events,
            passed_events=self._events.events,
        )
        self._send(
            target,
            choice.Chosen(target.entry.id, 0.0),
            self._owner.loop.now_s,
            origin=moves.origin(source.entry.address, moved),
        )

    # -- the endpoint's answer -----------------------------------------

    def handle_upstream_event(self, event: http1.AnswerEvent) -> None:
        """Process one parsed part of the endpoint's answer."""
        if isinstance(event, http1.AnswerStarted):
            self._handle_answer_head(event)
        elif isinstance(event, http1.AnswerBody):
            self._handle_answer_body(event.data)
        elif isinstance(event, http1.AnswerEnded):
            self._handle_answer_end(event.keeps_alive)
        elif self._move_state is exchange_state.MoveState.REQUESTED:
            self._release_endpoint(keeps_alive=False)
        else:
            self._fail_attempt('malformed answer')

    def handle_upstream_ended(
        self, is_clean: bool, was_connected: bool
    ) -> None:
        """Handle the end of the connection to the endpoint."""
        assert self._connection is not None and self._record is not None
        self._connection_end = 'closed' if is_clean else 'reset'
        self._partial_bytes = self._events.partial_bytes
        if self._move_state is exchange_state.MoveState.REQUESTED:
            # The source closes after it stopped the run, as requested. The
            # result of the move says where the run continues.
            self._release_endpoint(keeps_alive=False)
            return
        if is_clean and self._connection.ends_answer:
            self._handle_answer_end(keeps_alive=False)
            return
        if not was_connected:
            connection = self._connection
            self._release_endpoint(keeps_alive=False)
            self._owner.handle_unreachable(self._record, connection)
            self._after_connect_failure()
            return
        if self._connection.was_idle:
            self._tried_endpoints.add_crossed(self._record.entry.id)
        self._owner.handle_attempt_lost(self, self._record)
        self._fail_attempt('closed' if is_clean else 'reset')

    def _handle_answer_head(self, event: http1.AnswerStarted) -> None:
        assert self._record is not None and self._connection is not None
        head = requests.read_answer(event.status, event.headers)
        is_own = head.attempt_id == self.call.attempt_id
        self._owner.handle_announcement(
            self._record, head.announcement, self._sent_s if is_own else None
        )
        if not is_own:
            self._answer_mode = exchange_state.AnswerMode.FOREIGN
            journal.problem(
                'answer',
                outcome='foreign',
                request=self.call.attempt_id,
                endpoint=self._record.entry.id,
                status=head.status,
                answers=head.attempt_id,
            )
            return
        self._head = head
        self._framing = event.framing
        self._buffered.clear()
        self._connection.idle_timeout_s = head.idle_timeout_s
        if head.load is not None:
            self._record.record_reported_load(
                head.load, self._owner.loop.now_s
            )
        if head.has_not_run:
            self._answer_mode = exchange_state.AnswerMode.REFUSAL
            return
        self._may_have_run = True
        is_success = 200 <= head.status < 300 and self._may_follow(head)
        if is_success and (not head.is_signed or head.is_encoded):
            self._fail_attempt('unsigned or encoded answer')
        elif is_success and self._is_stream:
            self._answer_mode = exchange_state.AnswerMode.EVENTS
        elif self.first_byte_s is not None:
            # An answer of another kind can't continue a stream.
            self._fail_attempt(f'status {head.status} in place of a stream')
        else:
            self._answer_mode = exchange_state.AnswerMode.BUFFERED
            if not self._is_stream:
                self._report_start()

    def _may_follow(self, head: requests.AnswerHead) -> bool:
        """Whether an answer can continue the one that the caller reads."""
        return self._opened is None or self._opened.head.continues_with(head)

    @property
    def _is_framed(self) -> bool:
        """Whether the endpoint's answer has a length or chunks."""
        return self._framing is not http1.Framing.CONNECTION

    @property
    def _is_stream(self) -> bool:
        return self.route.kind is configuration.RouteKind.STREAMING

    def _handle_answer_body(self, data: bytes) -> None:
        if self._answer_mode is exchange_state.AnswerMode.EVENTS:
            self._forward_events(data)
        elif self._answer_mode is exchange_state.AnswerMode.BUFFERED:
            self._buffered += data
            if self._owner.keeps_too_much(self, len(self._buffered)):
                self._fail_attempt('the answer is too large to be buffered')
        else:
            self._ignored_bytes += len(data)
            if self._ignored_bytes <= MAX_IGNORED_BYTES:
                return
            if self._answer_mode is exchange_state.AnswerMode.REFUSAL:
                self._answer_mode = exchange_state.AnswerMode.NONE
                self._handle_refusal(keeps_alive=False)
            else:
                self._fail_attempt('bytes without end of another answer')

    def _forward_events(self, data: bytes) -> None:
        complete = self._events.feed(data)
        if complete:
            self._forward_chunk(complete)
        if self._owner.keeps_too_much(self, self._events.partial_bytes):
            self._fail_attempt('an event exceeds the size limit')
        elif self._caller.is_congested and self._connection is not None:
            if self._measured is not None:
                self._measured.handle_paused()
            self._connection.pause()

    def _forward_chunk(self, data: bytes) -> None:
        assert self._head is not None and self._record is not None
        now_s = self._owner.loop.now_s
        if self.first_byte_s is None:
            self.first_byte_s = now_s
            self.build = self._record.entry.build
            self._owner.handle_stream_begun(self)
            self.state = exchange_state.State.ANSWERING
            self._report_start()
            self._opened = exchange_state.BufferedAnswer(
                self._head, b'', self._is_framed
            )
            self._caller.begin_answer(
                self._head.status, self._head.headers, self._is_framed
            )
        self._record_first_token(now_s)
        if self._begun_s is None:
            self._begun_s = now_s
        elif now_s - self._begun_s >= crashing_parts.PROOF_S:
            self._record_proof()
        self._caller.answer_chunk(data)

    def _record_proof(self) -> None:
        """Record that the endpoint survived the start of this answer."""
        if not self.is_proven:
            self.is_proven = True
            self._owner.handle_answer_proven(self)

    def _record_success(self) -> None:
        assert self._record is not None
        now_s = self._owner.loop.now_s
        self._owner.handle_result(self, self._record, False, self._begun_s)
        self._record.health.record_success(
            now_s, is_direct=isinstance(self._connection, upstream.Connection)
        )
        if self._measured is not None:
            self._measured.handle_success(
                self._events.events,
                self.call.tokens.output if self.call.tokens else 0,
                self._record.entry.slots,
                now_s,
            )

    def _record_first_token(self, now_s: float) -> None:
        """Record that the endpoint has processed the whole prompt."""
        if self._pending_tokens and self._record is not None:
            record = self._record
            record.own.waiting_tokens -= self._pending_tokens
            self._pending_tokens = 0
        if self._measured is not None:
            self._measured.handle_event(now_s)

    def _report_start(self) -> None:
        if not self.has_started:
            self.has_started = True
            self._owner.handle_request_started(self)

    def _handle_answer_end(self, keeps_alive: bool) -> None:
        mode = self._answer_mode
        self._answer_mode = exchange_state.AnswerMode.NONE
        self._partial_bytes = self._events.partial_bytes
        if mode is exchange_state.AnswerMode.REFUSAL:
            self._handle_refusal(keeps_alive)
        elif mode is exchange_state.AnswerMode.EVENTS:
            self._finish_stream(keeps_alive)
        elif mode is exchange_state.AnswerMode.BUFFERED:
            self._finish_buffered(keeps_alive)
        # Otherwise it was the answer to another request. This request's own
        # answer or the end of the connection may follow.

    def _finish_stream(self, keeps_alive: bool) -> None:
        assert self._record is not None and self._head is not None
        if self._events.is_inside_event:
            self._owner.handle_attempt_lost(self, self._record)
            self._fail_attempt('ended inside an event')
            return
        if (
            self.first_byte_s is None
            and not self._is_framed
            and self.call.last_event_id is None
        ):
            self._owner.handle_attempt_lost(self, self._record)
            self._fail_attempt('closed before the first event')
            return
        if self._is_framed:
            self._record_proof()
        self._record_success()
        self._release_endpoint(keeps_alive)
        if self.first_byte_s is None:
            self._forward_answer(
                exchange_state.BufferedAnswer(self._head, b'', self._is_framed)
            )
        elif self._opened and self._opened.is_framed and not self._is_framed:
            # The caller's last chunk would say that the stream is complete,
            # which a closed connection doesn't show.
            self._finish('cut', _failure('closed without a last chunk'))
            self._caller.abort()
        else:
            self._finish('served')
            self._caller.end_answer()

    def _finish_buffered(self, keeps_alive: bool) -> None:
        assert self._record is not None and self._head is not None
        answer = exchange_state.BufferedAnswer(
            self._head, bytes(self._buffered), self._is_framed
        )
        if answer.head.status >= 500:
            self._owner.handle_result(self, self._record, True, None)
            self._record.health.record_failure(self._owner.loop.now_s)
            self._release_endpoint(keeps_alive)
            self._last_error = answer
            self._after_failure(f'status {answer.head.status}')
            return
        if answer.is_framed:
            self._record_proof()
        self._record_success()
        self._release_endpoint(keeps_alive)
        self._forward_answer(answer)

    def _handle_refusal(self, keeps_alive: bool) -> None:
        """Handle an answer which says that the request has not run."""
        assert self._record is not None and self._head is not None
        journal.event(
            'refusal',
            request=self.call.attempt_id,
            endpoint=self._record.entry.id,
            status=self._head.status,
            attempt=self.attempts,
        )
        self._release_endpoint(keeps_alive)
        if self._must_not_rerun:
            self._after_failure(
                'the endpoint refused to continue from the copied run'
            )
            return
        self._tried_endpoints.add(self._record.entry.id)
        if self.first_byte_s is not None and not self._continues_from_copy:
            # An answer that has begun goes on wherever there is room; only
            # attempts that ran are limited in number, and a copy isn't one.
            self.attempts -= 1
        if self._consume_retry():
            self.dispatch()
            return
        self._fail_request(
            refusals.no_capacity('the endpoint refused the request')
        )

    def _fail_attempt(self, reason: str) -> None:
        """Fail the attempt: it has no usable answer, and may have run."""
        self._lose_attempt()
        self._after_failure(reason)

    def _lose_attempt(self) -> None:
        assert self._record is not None
        self._may_have_run = True
        if not self._owner.registry.has_broken_link(self._record):
            self._owner.handle_result(self, self._record, True, None)
            self._record.health.record_failure(self._owner.loop.now_s)
        if not self._is_stream:
            self._report_start()
        self._release_endpoint(keeps_alive=False)

    def _record_failed_attempt(self, reason: str) -> None:
        if self._record is not None:
            self._tried_endpoints.add(self._record.entry.id)
        request_log.log_failed_attempt(
            self,
            self._record,
            reason,
            passed_events=self._events.events,
            **self._answer_end_fields(),
        )

    def _after_failure(self, reason: str) -> None:
        self._record_failed_attempt(reason)
        if self._may_repeat and self._consume_retry():
            self.dispatch()
        elif self.first_byte_s is not None:
            self._finish('cut', _failure(reason))
            self._caller.abort()
        elif self._last_error is not None:
            self._forward_answer(self._last_error)
        else:
            self._own_answer(502, _failure(reason))

    def _after_connect_failure(self) -> None:
        """Try another endpoint after a connection was not established.

        Nothing was sent, so this does not count as an attempt.
        """
        assert self._record is not None
        if self._must_not_rerun:
            self._after_failure(
                'the endpoint with the copied run was not reached'
            )
            return
        self._tried_endpoints.add(self._record.entry.id)
        if not self._continues_from_copy:
            self.attempts -= 1
        if self.first_byte_s is None and not self.attempts:
            self.state = exchange_state.State.WAITING
        self.dispatch()

    @property
    def _must_not_rerun(self) -> bool:
        """Whether the request may only continue from a copy of its run.

        An endpoint that refuses to continue from the copy says only that it
        did not run; the source may have run the request before.
        """
        return self._may_have_run and not self.route.can_run_again

    @property
    def _may_repeat(self) -> bool:
        return self.route.can_run_again and (
            self.is_proven or self._owner.may_repeat(self)
        )

    def _consume_retry(self) -> bool:
        return (
            self.attempts < self.route.max_attempts
            and self.expires_at_s - self._owner.loop.now_s
            > refusals.MIN_SEND_S
            and self._owner.consume_retry(self.service)
        )

    def _release_endpoint(self, keeps_alive: bool) -> None:
        """Release the connection, and subtract the request from the load."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        record = self._record
        assert record is not None
        self._owner.handle_released(self)
        record.record_ended(self._owner.loop.now_s - self._sent_s)
        if self._measured is not None:
            self._measured.handle_released()
        record.own.waiting_tokens -= self._pending_tokens
        self._pending_tokens = 0
        connection.release(keeps_alive)
        if self.first_byte_s is not None:
            self._wait.restart()

    # -- the answer to the caller --------------------------------------

    def handle_caller_drained(self) -> None:
        """Resume reading from the endpoint; the caller has caught up."""
        if self._connection is not None:
            self._connection.resume()

    def handle_caller_left(self) -> None:
        """Cancel the endpoint's work, as the caller closed."""
        if self.state is not exchange_state.State.ENDED:
            self._release_endpoint(keeps_alive=False)
            self._finish('caller-left')

    def end_with_process(self) -> None:
        """Give the request its final answer, as the process ends."""
        self._give_up(outcome.Reason.DRAINING, 'this node has to stop')

    def _time_out(self) -> None:
        detail = f'no answer within {self.expires_at_s - self.arrived_s:.2f} s'
        self._give_up(outcome.Reason.DEADLINE, detail)

    def _give_up(self, reason: outcome.Reason, detail: str) -> None:
        if self.state is not exchange_state.State.ENDED:
            self._may_have_run |= self._connection is not None
            self._release_endpoint(keeps_alive=False)
            self._fail_request(
                outcome.Failure(reason, detail, refusals.SHORT_RETRY_AFTER_S)
            )

    def _fail_request(self, failure: outcome.Failure) -> None:
        """Answer a request that is not tried again.

        The status is 503 only if the request certainly has not run.
        """
        if self.first_byte_s is not None:
            self._finish('cut', failure)
            self._caller.abort()
        elif self._last_error is not None:
            self._forward_answer(self._last_error)
        elif self._may_have_run:
            timed_out = failure.reason is outcome.Reason.DEADLINE
            self._own_answer(504 if timed_out else 502, failure)
        else:
            self._own_answer(503, failure)

    def _forward_answer(self, answer: exchange_state.BufferedAnswer) -> None:
        head = answer.head
        self._finish(f'status {head.status}')
        self._caller.answer(
            head.status,
            head.headers,
            answer.body,
            is_framed=answer.is_framed,
        )

    def _own_answer(self, status: int, failure: outcome.Failure) -> None:
        self._finish(f'own {status}', failure)
        headers = requests.own_answer_headers(
            self.call.attempt_id, refusals.told_retry_s(status, failure)
        )
        self._caller.answer(status, headers, b'')

    def refuse(self, status: int, failure: outcome.Failure) -> None:
        """Answer a request that has not begun, and never will.

        :param status: one that promises that the request has not run
        """
        assert self.state is exchange_state.State.WAITING
        self._own_answer(status, failure)

    def _finish(
        self, verdict: str, failure: outcome.Failure | None = None
    ) -> None:
        self.state = exchange_state.State.ENDED
        self._deadline_timer.cancel()
        self._wait.cancel()
        request_log.log_end(
            self,
            self._record,
            verdict,
            failure,
            self._owner.loop.now_s,
            events=self._events.events,
            **self._answer_end_fields(),
        )
        self._owner.handle_request_ended(self, verdict, failure)

    def _answer_end_fields(self) -> dict[str, typing.Any]:
        """What the log says about the end of the endpoint's answer."""
        return {
            'framing': self._framing and self._framing.value,
            'connection': self._connection_end,
            'partial_bytes': self._partial_bytes,
        }


def _failure(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.LOST_ANSWER, detail)
