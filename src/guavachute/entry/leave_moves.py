"""Decides when the requests at an endpoint that will end are moved."""

from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute.entry import endpoint_registry
from guavachute.entry import ingress as entry_ingress
from guavachute.entry import loop as entry_loop
from guavachute.entry import report_watch
from guavachute.observe import journal


class LeaveMoves:
    """Schedules the moves of requests by what is known of an end.

    A reclaimed engine whose entry doesn't tell its remaining time is asked.
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        registry: endpoint_registry.EndpointRegistry,
        reports: report_watch.ReportWatch,
        ingress: entry_ingress.Ingress,
    ) -> None:
        self._loop = loop
        self._drain_s = site.bounds.drain_s
        self._registry = registry
        self._reports = reports
        self._ingress = ingress

    def schedule(self, record: endpoint_registry.EndpointRecord) -> None:
        """Schedule moves of the requests at a leaving endpoint."""
        entry = record.entry
        if record.is_gone:
            # Its entry is gone, so it accepts no work and may end at any time.
            self._ingress.schedule_moves(record, 0.0)
        elif (
            entry.is_reclaimable
            and entry.leaves_in_s is None
            and record.own.requests
            and not self._registry.call_wait_s(record, self._loop.now_s)
        ):
            self._reports.request_report(
                record, lambda report: self._handle_report(record, report)
            )
        else:
            noticed_for_s = entry.leaves_in_s or self._drain_s
            self._ingress.schedule_moves(
                record, noticed_for_s - entry_ingress.MAX_RECLAIM_NOTICE_AGE_S
            )

    def _handle_report(
        self,
        record: endpoint_registry.EndpointRecord,
        report: endpoints.EngineReport | None,
    ) -> None:
        """Schedule moves by the report of a reclaimed engine.

        :param report: None if the engine did not answer
        """
        # An engine that does not answer may end at any time.
        leaves_in_s = report.leaves_in_s if report is not None else 0.0
        journal.event(
            'endpoint',
            outcome='ends',
            endpoint=record.entry.id,
            leaves_in_s=leaves_in_s,
        )
        if leaves_in_s is None:
            leaves_in_s = self._drain_s
        self._ingress.schedule_moves(record, leaves_in_s)
