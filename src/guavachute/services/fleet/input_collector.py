"""Collects the inputs for planning: log, VM list, engines and demand."""

import collections
import functools
import typing

from guavachute.clients import vm_list
from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import replacement_wave
from guavachute.decide.requests import offered_load
from guavachute.document import check
from guavachute.document import schema
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.services.fleet import drains
from guavachute.services.fleet import messages
from guavachute.services import log_follower
from guavachute.services import vm_watch
from guavachute.wire import records


SAMPLE_EVERY_S = 5.0
"""The shortest time between two samples of the callers' demand."""


class InputCollector:
    """Keeps the newest inputs for planning; used by the fleet's task only.

    :param now_s: the time of creation, which counts as contact with the
        log until the log is read
    :ivar state: the folded control stream; None before it was first read
    :ivar log_contact_s: the time of the last contact with the log
    :ivar nodes: the entry nodes whose VMs are live
    :ivar start_ups: the measured start-up times of VMs
    """

    def __init__(self, environment: ids.EnvironmentName, now_s: float) -> None:
        self._environment = environment
        self.state: records.ControlState | None = None
        self.log_contact_s = now_s
        self.nodes: frozenset[ids.NodeId] = frozenset()
        self.start_ups = drains.StartUps()
        self._sample: offered_load.Sample | None = None
        self._document: schema.Document | None = None
        self._document_offset = records.NO_OFFSET
        self._live: frozenset[ids.VmId] = frozenset()
        self._reports: dict[ids.EndpointId, fleet_state.EngineReport] = {}
        self._forecasts: dict[ids.ModelName, demand.Forecast] = {}
        self._loads: typing.Mapping[
            ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]
        ] = {}

    @property
    def reports(
        self,
    ) -> typing.Mapping[ids.EndpointId, fleet_state.EngineReport]:
        """The last report of each engine."""
        return self._reports

    def plan_inputs(
        self,
        listed: typing.Sequence[purchases.ListedVm],
        awaited: tuple[records.PurchaseIntent, ...],
    ) -> fleet_state.FleetInputs | None:
        """Return the inputs for a plan, or None without a valid document.

        Reports of engines that aren't in *listed* are discarded.

        :param listed: the VMs that the cloud lists
        :param awaited: intents that were written and not yet read back
        """
        if self._document is None or self.state is None:
            return None
        present = {ids.EndpointId(vm.vm) for vm in listed}
        self._reports = {
            endpoint: report
            for endpoint, report in self._reports.items()
            if endpoint in present
        }
        return fleet_state.FleetInputs(
            self._environment,
            self._document,
            self.state,
            tuple(listed),
            self._live,
            self._reports,
            awaited,
            self._forecasts,
            self._loads,
            self.start_ups.by_pool(),
        )

    @functools.singledispatchmethod
    def handle_message(self, message: mailbox.Message, now_s: float) -> None:
        """Apply one message; messages of other types are ignored."""

    @handle_message.register
    def _(self, message: log_follower.ControlUpdate, now_s: float) -> None:
        self.state = message.state
        self.log_contact_s = message.log_contact_s
        head = message.state.configurations.get(self._environment)
        if head is None or head.offset == self._document_offset:
            return
        checked = check.check_raw(head.document)
        if isinstance(checked, check.Checked):
            self._document = checked.document
            self._document_offset = head.offset

    @handle_message.register
    def _(self, message: log_follower.LogContact, now_s: float) -> None:
        self.log_contact_s = message.log_contact_s

    @handle_message.register
    def _(self, message: messages.EngineReported, now_s: float) -> None:
        self._reports[message.report.endpoint] = message.report
        self.start_ups.record_report(message.report, now_s)

    @handle_message.register
    def _(self, message: messages.DemandReported, now_s: float) -> None:
        before, document = self._sample, self._document
        if before is not None and now_s - before.at_s < SAMPLE_EVERY_S:
            return
        self._sample = offered_load.Sample(now_s, message.sums)
        if before is None or document is None or not document.models:
            return
        gap_s = min(
            model.token_gap_target_s for model in document.models.values()
        )
        rates = offered_load.rates(before, self._sample, gap_s)
        models = offered_load.by_model(document, rates, self._running())
        pools = offered_load.by_pool(document, rates, models)
        self._update_forecasts(messages.OfferedLoad(models, pools), now_s)

    def _running(self) -> dict[ids.ModelName, int]:
        running: collections.Counter[ids.ModelName] = collections.Counter()
        for report in self._reports.values():
            for model in report.models:
                running[model] += report.running
        return dict(running)

    @handle_message.register
    def _(self, message: messages.OfferedLoad, now_s: float) -> None:
        self._update_forecasts(message, now_s)

    def _update_forecasts(
        self, message: messages.OfferedLoad, now_s: float
    ) -> None:
        self._loads = message.by_pool
        for model, tokens_per_s in message.by_model.items():
            self._forecasts[model] = demand.observe(
                self._forecasts.get(model, demand.Forecast()),
                tokens_per_s,
                self.start_ups.of_model(model, self._document),
                now_s,
            )

    @handle_message.register
    def _(self, message: vm_watch.VmsSeen, now_s: float) -> None:
        live = [vm for vm in message.vms if vm.state is vm_list.VmState.LIVE]
        self._live = frozenset(ids.VmId(vm.vm) for vm in live)
        self.nodes = frozenset(
            ids.NodeId(vm.vm) for vm in live if vm.kind is vm_list.VmKind.ENTRY
        )
