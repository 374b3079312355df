"""Queries the reports of engines, for whether and when they leave.

The notice of a reclaim is an entry in the store, which does not say how much
time is left; the report of the engine does. While the store does not answer,
only the reports announce a reclaim at all.
"""

import dataclasses
import typing

from guavachute.domain import endpoints
from guavachute.entry import control_client
from guavachute.entry import endpoint_registry
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import requests

PERIOD_S = 0.5
TIMEOUT_S = 0.4
RETRY_S = 0.5

Done = typing.Callable[[endpoints.EngineReport | None], None]
"""Called with an engine's report; None if there is none."""

OnAnnouncement = typing.Callable[
    [endpoint_registry.EndpointRecord, requests.Announcement], None
]


class ReportWatch:
    """Polls the reports of engines that run requests of this node.

    :param is_needed: whether to poll, as the store does not answer
    :param on_leaving: called with the entry of an engine that will end
    :param on_announcement: called with what an engine says of itself in the
        head of an answer
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        registry: endpoint_registry.EndpointRegistry,
        is_needed: typing.Callable[[], bool],
        on_leaving: typing.Callable[[endpoints.Endpoint], None],
        on_announcement: OnAnnouncement,
    ) -> None:
        self._loop = loop
        self._registry = registry
        self._is_needed = is_needed
        self._on_leaving = on_leaving
        self._on_announcement = on_announcement
        self._clients: dict[ids.Address, control_client.Client] = {}

    def start(self) -> None:
        """Start to poll while it is needed."""
        self._loop.every(PERIOD_S, self._poll)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _poll(self) -> None:
        if not self._is_needed():
            self.close()
            return
        for record in self._registry.engines_with_requests():
            if not record.is_leaving and self._registry.accepts_call(
                record, self._loop.now_s
            ):
                self._poll_engine(record)

    def _poll_engine(self, record: endpoint_registry.EndpointRecord) -> None:
        def handle_report(report: endpoints.EngineReport | None) -> None:
            # If an engine does not answer, its requests fail and show it.
            if (
                report is not None
                and report.state is endpoints.EndpointState.DRAINING
            ):
                self._on_leaving(
                    dataclasses.replace(
                        record.entry,
                        state=endpoints.EndpointState.DRAINING,
                        leaves_in_s=report.leaves_in_s,
                    )
                )

        address = record.entry.address
        client = self._clients.get(address)
        if client is None:
            client = control_client.Client(self._loop, address)
            self._clients[address] = client
        self._fetch_report(client, record, handle_report)

    def request_report(
        self, record: endpoint_registry.EndpointRecord, done: Done
    ) -> None:
        """Request the report of one engine once.

        An engine that wants no requests for now is not asked.
        """
        if not self._registry.accepts_call(record, self._loop.now_s):
            self._loop.call_after(0.0, lambda: done(None))
            return
        client = control_client.Client(self._loop, record.entry.address)

        def handle_report(report: endpoints.EngineReport | None) -> None:
            client.close()
            done(report)

        self._fetch_report(client, record, handle_report)

    def ask_whether_leaving(
        self, record: endpoint_registry.EndpointRecord
    ) -> None:
        """Ask an endpoint that may be leaving, until it answers.

        Any answer tells, also of a service without reports. Without one, it
        is no longer in doubt when the announcement is old.
        """
        client = control_client.Client(self._loop, record.entry.address)

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            client.close()
            now_s = self._loop.now_s
            if isinstance(reply, control_client.Reply):
                report = _report(record.entry.id, reply)
                is_draining = (
                    report is not None
                    and report.state is endpoints.EndpointState.DRAINING
                )
                self._registry.resolve_doubt(
                    record, is_draining, f'status {reply.status}', now_s
                )
            elif self._registry.remains_in_doubt(record, now_s):
                self._loop.call_after(
                    RETRY_S, lambda: self.ask_whether_leaving(record)
                )
            else:
                self._registry.resolve_doubt(
                    record, False, f'no answer: {reply.value}', now_s
                )

        if self._registry.accepts_call(record, self._loop.now_s):
            self._call(client, record, handle_reply)
        else:
            handle_reply(control_client.CallFailure.NOT_SENT)

    def _fetch_report(
        self,
        client: control_client.Client,
        record: endpoint_registry.EndpointRecord,
        done: Done,
    ) -> None:
        endpoint = record.entry.id
        self._call(
            client, record, lambda reply: done(_report(endpoint, reply))
        )

    def _call(
        self,
        client: control_client.Client,
        record: endpoint_registry.EndpointRecord,
        done: control_client.Done,
    ) -> None:
        """Request a report, and apply what the answer's head says."""

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            if isinstance(reply, control_client.Reply):
                self._on_announcement(
                    record,
                    requests.read_announcement(reply.status, reply.headers),
                )
            done(reply)

        client.call(
            b'GET', platform_endpoints.REPORT_TARGET, handle_reply, TIMEOUT_S
        )


def _report(
    endpoint: ids.EndpointId,
    reply: control_client.Reply | control_client.CallFailure,
) -> endpoints.EngineReport | None:
    """The report in *reply*; None, with a log line, if there is none."""
    if isinstance(reply, control_client.CallFailure) or reply.status != 200:
        journal.event(
            'report',
            outcome='no-answer',
            endpoint=endpoint,
            reason=str(reply),
        )
        return None
    report = platform_endpoints.decode_report(reply.body)
    if isinstance(report, outcome.Failure):
        journal.problem(
            'report',
            outcome='unreadable',
            endpoint=endpoint,
            reason=str(report),
        )
        return None
    return report
