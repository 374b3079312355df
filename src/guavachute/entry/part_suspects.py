"""Finds out, with the other nodes, which prompt parts crash engines.

A request that loses its engine before its answer has begun may have crashed
it. Whether the engine has crashed is found out at once by a call to it, as
this node may not connect to it again for seconds. Blamed parts are kept in
the store, for nodes that start later.
"""

import dataclasses
import typing

import xxhash

from guavachute.decide.ingress import crashing_parts
from guavachute.domain import call as domain_call
from guavachute.domain import endpoints
from guavachute.entry import control_client
from guavachute.entry import death_checks
from guavachute.entry import endpoint_registry
from guavachute.entry import loop as entry_loop
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import store
from guavachute.wire import node_updates

KEY_PREFIX = 'crashing-part/'

PROBE_TIMEOUT_S = 0.8
PROBES = 3
PROBE_RETRY_S = 0.2
"""An engine that is crashing may still accept a connection; it is asked again
after this pause."""

WRITE_RETRY_S = 1.0

MAX_STARTS = 1_000
"""Engines whose reported start is remembered. While the store is away, their
entries tell of an earlier one."""

SETTLED_PERIOD_S = 2.0
"""Interval at which other nodes are told what has not changed lately."""

_DECISECONDS = 10


@dataclasses.dataclass(slots=True)
class _Loss:
    """The requests of this node that lost one incarnation of an engine.

    :ivar parts: shared parts of those whose answers had not begun
    """

    record: endpoint_registry.EndpointRecord
    lost_s: float
    parts: set[str]
    probes: int = 0


class PartSuspects:
    """The suspected parts, from this node's losses and others' notices.

    :param other_nodes: gives the names of the other active nodes
    :param is_reader: whether this node reads the store closely
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        node: ids.NodeId,
        metrics: observe_metrics.Metrics,
        registry: endpoint_registry.EndpointRegistry,
        deaths: death_checks.DeathChecks,
        other_nodes: typing.Callable[[], typing.Iterable[str]],
        is_reader: typing.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._node = node
        self._metrics = metrics
        self._registry = registry
        self._deaths = deaths
        self._other_nodes = other_nodes
        self._is_reader = is_reader
        self._started_s = loop.now_s
        self._parts = crashing_parts.CrashingParts()
        self._losses: dict[ids.CrashId, _Loss] = {}
        self._start_ms: dict[ids.EndpointId, int] = {}
        self._witnessed: set[str] = set()
        self._stored: set[str] = set()
        self._written_s: dict[str, float] = {}
        self._told_all_s = float('-inf')
        self.store: store_client.StoreClient | None = None
        """Keeps the blamed parts; set before the loop's next turn."""
        metrics.gauge('blamed_parts', lambda: len(self._parts.blamed()))

    # -- requests ------------------------------------------------------

    def verdict(self, call: domain_call.Call) -> crashing_parts.Verdict:
        """What becomes of a request that is about to be sent."""
        return self._parts.verdict(
            call.attempt_id, call.shared_parts, self._may_try, self._loop.now_s
        )

    def handle_sent(self, call: domain_call.Call) -> None:
        """A request is sent to an engine."""
        self._parts.begin(call.attempt_id, call.shared_parts, self._loop.now_s)

    def handle_ended(self, call: domain_call.Call) -> None:
        """A request is no longer at an engine."""
        self._parts.end(call.attempt_id)

    def may_repeat(self, call: domain_call.Call) -> bool:
        """Whether a request that lost its engine may be sent to another.

        If it is suspected of an earlier crash, that would be one more.
        """
        return not self._parts.is_suspected(call.shared_parts)

    def handle_proven(self, call: domain_call.Call) -> None:
        """The answer to a request shows that it doesn't crash engines."""
        self._parts.end(call.attempt_id)
        for part in self._parts.record_proof(
            call.shared_parts, self._loop.now_s
        ):
            self._log('cleared', part, request=call.attempt_id)

    def handle_lost(
        self,
        call: domain_call.Call,
        record: endpoint_registry.EndpointRecord,
        has_begun: bool,
    ) -> None:
        """A request has lost its engine.

        :param has_begun: whether its answer proves that it is harmless
        """
        self._parts.end(call.attempt_id)
        if has_begun or record.is_leaving or not call.shared_parts:
            return
        crash = _crash_id(record)
        loss = self._losses.get(crash)
        if loss is not None:
            loss.parts.update(call.shared_parts)
            return
        loss = _Loss(record, self._loop.now_s, set(call.shared_parts))
        self._losses[crash] = loss
        self._probe(crash, loss)

    def _may_try(self, part: str) -> bool:
        nodes = [self._node, *self._other_nodes()]
        return crashing_parts.trial_node(part, nodes) == self._node

    # -- whether an engine has crashed ---------------------------------

    def _probe(self, crash: ids.CrashId, loss: _Loss) -> None:
        if not self._registry.accepts_call(loss.record, self._loop.now_s):
            # It has just answered that it wants no calls, or few.
            self._finish(crash, 'not asked')
            return
        loss.probes += 1
        client = control_client.Client(self._loop, loss.record.entry.address)

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            client.close()
            if reply is control_client.CallFailure.NOT_SENT:
                self._deaths.check(
                    loss.record,
                    lambda: self._confirm(crash, 'unreachable'),
                    # It may have started again; its report tells.
                    lambda: self._probe_again(
                        crash, loss, 'reached by others'
                    ),
                )
            elif isinstance(reply, control_client.Reply):
                self._handle_report(crash, loss, reply)
            else:
                self._probe_again(crash, loss, 'no answer')

        client.call(
            b'GET',
            platform_endpoints.REPORT_TARGET,
            handle_reply,
            PROBE_TIMEOUT_S,
        )

    def _probe_again(
        self, crash: ids.CrashId, loss: _Loss, reason: str
    ) -> None:
        if loss.probes < PROBES:
            self._loop.call_after(
                PROBE_RETRY_S, lambda: self._probe(crash, loss)
            )
        else:
            self._finish(crash, reason)

    def _handle_report(
        self, crash: ids.CrashId, loss: _Loss, reply: control_client.Reply
    ) -> None:
        report = platform_endpoints.decode_report(reply.body)
        entry = loss.record.entry
        known_ms = max(entry.start_ms, self._start_ms.get(entry.id, 0))
        if (
            isinstance(report, endpoints.EngineReport)
            and known_ms
            and report.start_ms > known_ms
        ):
            self._start_ms[entry.id] = report.start_ms
            if len(self._start_ms) > MAX_STARTS:
                del self._start_ms[next(iter(self._start_ms))]
            self._confirm(crash, 'started again')
        else:
            self._finish(crash, f'status {reply.status}')

    def _finish(self, crash: ids.CrashId, reason: str) -> None:
        """End the search without a result: no crash is shown."""
        loss = self._losses.pop(crash)
        journal.event(
            'crashing-part',
            outcome='no-crash',
            endpoint=loss.record.entry.id,
            reason=reason,
        )

    def _confirm(self, crash: ids.CrashId, reason: str) -> None:
        loss = self._losses.pop(crash)
        self._metrics.add('engine_crashes')
        journal.event(
            'crashing-part',
            outcome='crash',
            endpoint=loss.record.entry.id,
            parts=sorted(loss.parts),
            age_s=round(self._loop.now_s - loss.lost_s, 3),
            reason=reason,
        )
        self._witnessed |= loss.parts
        for part in self._parts.record_crash(
            crash, loss.parts, loss.lost_s, self._loop.now_s
        ):
            self._log('blamed', part, source='own')
        self._write_blamed()

    # -- other nodes ---------------------------------------------------

    def notices(self) -> list[node_updates.PartNotice]:
        """What this node knows of suspected parts, for the other nodes."""
        now_s = self._loop.now_s
        only_news = now_s - self._told_all_s < SETTLED_PERIOD_S
        if not only_news:
            self._told_all_s = now_s
        return [
            node_updates.PartNotice(
                notice.part,
                {
                    crash: _to_ds(now_s - at_s)
                    for crash, at_s in notice.crashes.items()
                },
                notice.moments,
                None
                if notice.cleared_s is None
                else _to_ds(now_s - notice.cleared_s),
            )
            for notice in self._parts.notices(now_s, only_news)
        ]

    def merge_notices(
        self, notices: typing.Iterable[node_updates.PartNotice], source: str
    ) -> None:
        """Merge what another node knows of suspected parts."""
        now_s = self._loop.now_s
        for item in notices:
            part = domain_call.part_id(item.part)
            notice = crashing_parts.Notice(
                part,
                {
                    crash: now_s - age_ds / _DECISECONDS
                    for crash, age_ds in item.crashes.items()
                },
                item.moments,
                None
                if item.cleared_ds is None
                else now_s - item.cleared_ds / _DECISECONDS,
            )
            if self._parts.merge_notice(notice, now_s):
                self._log('blamed', part, source=source)

    # -- the store -----------------------------------------------------

    def fold(self, record: store.KeyedRecord, is_snapshot: bool) -> None:
        """Fold a record of the system's own topic under the key prefix."""
        part = record.key.removeprefix(KEY_PREFIX)
        now_s = self._loop.now_s
        if record.value is None:
            # In a snapshot it is missing because the store came back from a
            # copy, and is written again.
            self._stored.discard(part)
            if not is_snapshot:
                self._parts.merge_notice(
                    crashing_parts.Notice(part, {}, 0, now_s), now_s
                )
            return
        decoded = node_updates.decode_part(record.value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'crashing-part', outcome='unreadable', reason=str(decoded)
            )
            return
        self._stored.add(part)
        # When the crashes happened is not stored. Every answer that this
        # process has seen counts as later.
        notice = crashing_parts.Notice(
            part,
            dict.fromkeys(decoded.crashes, self._started_s),
            decoded.moments,
            None,
        )
        if self._parts.merge_notice(notice, now_s):
            self._log('blamed', part, source='store')

    def handle_new_era(self) -> None:
        """The store has come back from a copy, which may lack any record."""
        self._stored.clear()

    def expire(self) -> None:
        """Forget old suspicions, and bring the store up to date."""
        self._parts.expire(self._loop.now_s)
        self._witnessed = {
            part
            for part in self._witnessed
            if self._parts.is_suspected((part,))
        }
        self._write_blamed()
        if self._is_reader():
            for part in list(self._stored):
                if not self._parts.is_blamed(part):
                    self._write(part, None)

    def _write_blamed(self) -> None:
        """Write the blamed parts that the store doesn't have.

        Few nodes write the same part: those that saw a crash, and readers.
        """
        for part in self._parts.blamed():
            is_writer = self._is_reader() or part in self._witnessed
            if is_writer and part not in self._stored:
                self._write(part, self._parts.known(part))

    def _write(self, part: str, known: crashing_parts.Notice | None) -> None:
        """Write what is known of a part; None deletes its record."""
        now_s = self._loop.now_s
        last_s = self._written_s.get(part, float('-inf'))
        if self.store is None or now_s - last_s < WRITE_RETRY_S:
            return
        self._written_s = {
            name: at_s
            for name, at_s in self._written_s.items()
            if now_s - at_s < WRITE_RETRY_S
        }
        self._written_s[part] = now_s
        value = None
        if known is not None:
            value = node_updates.encode(
                node_updates.PartRecord(
                    crashes=list(known.crashes), moments=known.moments
                )
            )

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            is_done = (
                isinstance(reply, control_client.Reply) and reply.status == 200
            )
            self._log(
                'written' if is_done else 'not-written', part, reply=str(reply)
            )
            if is_done and value is not None:
                self._stored.add(part)
            elif is_done:
                self._stored.discard(part)

        store_writer.append(
            self.store,
            store.OWN_TOPIC,
            store.KeyedRecord(KEY_PREFIX + part, value),
            None,
            handle_reply,
            WRITE_RETRY_S,
        )

    def _log(self, result: str, part: str, **fields: typing.Any) -> None:
        known = self._parts.known(part)
        journal.event(
            'crashing-part',
            outcome=result,
            part=part,
            moments=known.moments if known else 0,
            crashes=len(known.crashes) if known else 0,
            **fields,
        )


def _crash_id(record: endpoint_registry.EndpointRecord) -> ids.CrashId:
    name = ':'.join(str(item) for item in record.entry.incarnation)
    return ids.CrashId(xxhash.xxh32_intdigest(name.encode()))


def _to_ds(duration_s: float) -> int:
    return round(duration_s * _DECISECONDS)
