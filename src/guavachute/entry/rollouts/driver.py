"""The duty of the holder of the lease: takes the steps, and writes the status.

Each step is a record, appended under the lease and only if this node has read
the whole topic. The status is written after the record that says so, and only
in place of the status that was read before, so that a write which arrives late
has no effect.
"""

import collections
import dataclasses
import typing

from guavachute.decide.ingress.rollouts import plan
from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import results
from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute.entry import duty as entry_duty
from guavachute.entry import endpoint_registry
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry.rollouts import codec
from guavachute.entry.rollouts import counts as rollout_counts
from guavachute.entry.rollouts import tracker
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import rollouts as platform_rollouts
from guavachute.platform import store

RATE_WINDOW_S = 5.0
MIN_RATE_S = 1.5
"""The rate of requests is known after this; a new holder takes no step that
sends more requests to the target before."""

SAVE_PERIOD_S = 10.0
"""The counts are written this often, for the time after a restart of all
nodes."""

STATUS_PAUSE_S = 0.3
STATUS_TIMEOUT_S = 1.5

Status = tuple[str, ids.BuildName]


@dataclasses.dataclass(slots=True)
class _Course:
    """What the holder remembers of one roll-out.

    :ivar totals: time and number of the requests, for their rate
    :ivar sent_before: requests to the target that the nodes no longer count,
        as those that sent them have ended
    :ivar results_before: responses of the target when the step was recorded
    :ivar saved_s: when a record was last written
    :ivar confirmed: the status that is in the store, as far as is known
    :ivar tried_s: when the status was last read
    """

    request_id: str
    totals: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    step: rollout_record.Step = rollout_record.Step.HOLD
    sent_before: int = 0
    results_before: int = 0
    saved_s: float = float('-inf')
    confirmed: Status | None = None
    tried_s: float = float('-inf')


class RolloutDuty:
    """Takes the steps of all roll-outs while this node holds the lease."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        client: store_client.StoreClient,
        state: known_state.KnownState,
        registry: endpoint_registry.EndpointRegistry,
        known: tracker.Rollouts,
        true_time_s: typing.Callable[[], float],
    ) -> None:
        self._loop = loop
        self._site = site
        self._client = client
        self._state = state
        self._registry = registry
        self._known = known
        self._true_time_s = true_time_s
        self._courses: dict[ids.ServiceName, _Course] = {}
        self._is_status_pending = False
        client.on_new_era.append(self._handle_new_era)

    def _handle_new_era(self, was_known: bool) -> None:
        """The store may have lost the status."""
        for course in self._courses.values():
            course.confirmed = None

    def run(self, duty: entry_duty.Duty) -> None:
        """Take the steps that are due."""
        for rollout in self._known.all():
            course = self._course(rollout)
            if rollout.is_running:
                self._measure(rollout, course)
            found = self._due_record(rollout, course)
            if found is not None:
                self._write(duty, rollout, course, found)
            else:
                self._check_status(rollout, course)

    def _course(self, rollout: tracker.Rollout) -> _Course:
        found = self._courses.get(rollout.service)
        if found is None or found.request_id != rollout.request_id:
            found = _Course(rollout.request_id)
            self._courses[rollout.service] = found
        return found

    def _measure(self, rollout: tracker.Rollout, course: _Course) -> None:
        now_s = self._loop.now_s
        if course.totals and now_s - course.totals[-1][0] > RATE_WINDOW_S:
            # Another node has held the lease meanwhile.
            course.totals.clear()
        total = self._known.total(rollout)
        record = rollout.current
        if (
            record is not None
            and not course.totals
            and course.sent_before + total.sent < record.sent
        ):
            course.sent_before = record.sent
        course.totals.append((now_s, total.requests))
        while now_s - course.totals[0][0] > RATE_WINDOW_S:
            course.totals.popleft()
        if record is not None and record.step is not course.step:
            course.step = record.step
            course.results_before = _new_results(total.routes)

    def _due_record(
        self, rollout: tracker.Rollout, course: _Course
    ) -> rollout_record.Record | None:
        """The record that has to be written now."""
        record = rollout.current
        if record is None:
            assert rollout.request is not None
            first = rollout_record.first(
                rollout.request,
                rollout.record,
                rollout.seen_s,
                self._true_time_s(),
            )
            first = dataclasses.replace(first, old=self._old_builds(first))
            return plan.first_record(
                first, len(self._old(first)), len(self._new(first))
            )
        if rollout.stored != (record.request_id, record.step):
            # The store has lost it, or came back from an older copy.
            return record
        if record.step.is_final:
            return None
        total = self._known.total(rollout)
        requests = max(record.requests, total.requests)
        sent = max(record.sent, course.sent_before + total.sent)
        oldest_s, before = course.totals[0]
        span_s = self._loop.now_s - oldest_s
        now = self._situation(
            rollout,
            course,
            total,
            requests,
            sent,
            (total.requests - before) / span_s if span_s else 0.0,
        )
        found = plan.next_record(record, now, self._site.bounds)
        if found is not None and (
            span_s >= MIN_RATE_S or not found.step.needs_proof
        ):
            return dataclasses.replace(found, old=self._old_builds(found))
        is_due = self._loop.now_s - course.saved_s >= SAVE_PERIOD_S
        if (
            is_due
            and record.step < rollout_record.Step.FULL
            and requests > record.requests
        ):
            return dataclasses.replace(record, requests=requests, sent=sent)
        return None

    def _situation(
        self,
        rollout: tracker.Rollout,
        course: _Course,
        total: rollout_counts.Sums,
        requests: int,
        sent: int,
        per_s: float,
    ) -> plan.Situation:
        record = rollout.current
        assert record is not None
        old, new = self._old(record), self._new(record)
        behind, old_running = self._known.fleet_state(rollout)
        return plan.Situation(
            true_s=self._true_time_s(),
            totals=total.routes,
            requests=requests,
            sent=sent,
            per_s=per_s,
            bad_reason=rollout.bad or None,
            old_slots=sum(entry.slots for entry in old),
            old_endpoints=len(old),
            target_slots=sum(entry.slots for entry in new),
            target_endpoints=len(new),
            behind=behind,
            old_running=old_running,
            new_results=_new_results(total.routes) - course.results_before,
        )

    def _old(self, record: rollout_record.Record) -> list[endpoints.Endpoint]:
        """The endpoints of the versions that the target replaces."""
        return [
            entry
            for entry in self._state.table.entries.values()
            if entry.service == record.service
            and entry.build != record.target
            and entry.build not in record.withheld
        ]

    def _new(self, record: rollout_record.Record) -> list[endpoints.Endpoint]:
        """The endpoints of the target that accept work."""
        return [
            item.entry
            for item in self._registry.usable(
                record.service, (), self._loop.now_s, record.target
            )
            if item.entry.state is endpoints.EndpointState.READY
        ]

    def _old_builds(
        self, record: rollout_record.Record
    ) -> tuple[ids.BuildName, ...]:
        """The versions that the target replaces, those of old records too."""
        seen = {entry.build for entry in self._old(record)}
        found = sorted(seen - set(record.old))
        return (*record.old, *found)[: rollout_record.MAX_VERSIONS]

    def _write(
        self,
        duty: entry_duty.Duty,
        rollout: tracker.Rollout,
        course: _Course,
        record: rollout_record.Record,
    ) -> None:
        """Append a record; it takes effect when it is read."""

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            if _is_done(reply):
                course.saved_s = self._loop.now_s
            else:
                journal.event(
                    'rollout',
                    outcome='not-written',
                    service=rollout.service,
                    step=record.step.name,
                    reason=_text(reply),
                )

        duty.append(
            tracker.KEY_PREFIX + rollout.service,
            lambda fence: codec.encode(record, fence),
            handle_reply,
        )

    # -- the status ----------------------------------------------------

    def _check_status(self, rollout: tracker.Rollout, course: _Course) -> None:
        """Write the status if the store has another one."""
        record = rollout.current
        if record is None:
            return
        wanted = (record.status.value, record.target)
        now_s = self._loop.now_s
        if (
            course.confirmed == wanted
            or self._is_status_pending
            or now_s - course.tried_s < STATUS_PAUSE_S
        ):
            return
        course.tried_s = now_s
        self._is_status_pending = True
        self._read_status(rollout, course, record, None, None)

    def _read_status(
        self,
        rollout: tracker.Rollout,
        course: _Course,
        record: rollout_record.Record,
        after_key: str | None,
        end_offset: ids.Offset | None,
    ) -> None:
        """Read the status page by page, then replace it.

        :param end_offset: the end of the topic with the first page
        """
        key = platform_rollouts.KEY_PREFIX + rollout.service
        era = self._client.era

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            page = (
                store.decode_newest(reply.body, era)
                if isinstance(reply, control_client.Reply)
                and reply.status == 200
                else None
            )
            if page is None or isinstance(page, outcome.Failure):
                self._end_status(rollout, record, 'not-read', _text(reply))
                return
            end = page.end_offset if end_offset is None else end_offset
            found = [item for item in page.records if item.key == key]
            if not found and page.next_key is not None and page.next_key < key:
                self._read_status(rollout, course, record, page.next_key, end)
                return
            self._replace_status(
                rollout, course, record, found[0].value if found else None, end
            )

        self._client.call(
            store.newest(platform_rollouts.STATUS_TOPIC, after_key),
            handle_reply,
            STATUS_TIMEOUT_S,
        )

    def _replace_status(
        self,
        rollout: tracker.Rollout,
        course: _Course,
        record: rollout_record.Record,
        before: bytes | None,
        end_offset: ids.Offset,
    ) -> None:
        wanted = (record.status.value, record.target)
        if before and platform_rollouts.decode_status(before) == wanted:
            course.confirmed = wanted
            self._is_status_pending = False
            return
        if rollout.current != record or not self._known.holds_duty:
            # It is outdated; another one follows.
            self._is_status_pending = False
            return

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            if _is_done(reply):
                course.confirmed = wanted
                self._end_status(rollout, record, 'status-written', '')
            else:
                self._end_status(
                    rollout, record, 'status-not-written', _text(reply)
                )

        store_writer.append(
            self._client,
            platform_rollouts.STATUS_TOPIC,
            store.KeyedRecord(
                platform_rollouts.KEY_PREFIX + rollout.service,
                platform_rollouts.encode_status(record.status, record.target),
            ),
            end_offset,
            handle_reply,
            STATUS_TIMEOUT_S,
        )

    def _end_status(
        self,
        rollout: tracker.Rollout,
        record: rollout_record.Record,
        result: str,
        reason: str,
    ) -> None:
        self._is_status_pending = False
        journal.event(
            'rollout',
            outcome=result,
            service=rollout.service,
            state=record.status.value,
            target=record.target,
            reason=reason,
        )


def _new_results(totals: results.ByRoute) -> int:
    return sum(counts.new_done for counts in totals.values())


def _is_done(reply: control_client.Reply | control_client.CallFailure) -> bool:
    return isinstance(reply, control_client.Reply) and reply.status == 200


def _text(reply: control_client.Reply | control_client.CallFailure) -> str:
    if isinstance(reply, control_client.CallFailure):
        return reply.value
    return f'status {reply.status}'
