"""``guavachute plan``: shows what the fleet duty would order."""

import concurrent.futures
import dataclasses
import pathlib
import time
import typing

import cappa
import msgspec

from guavachute.cli import arguments
from guavachute.cli import fleet_sources
from guavachute.cli import operator_settings
from guavachute.cli import process
from guavachute.cli import validate
from guavachute.clients import engine_orders
from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import fleet_text
from guavachute.decide.fleet import purchases
from guavachute.document import check
from guavachute.document import schema
from guavachute import ids
from guavachute import outcome
from guavachute.services.fleet import intents
from guavachute.wire import records

MAX_STARTS = 64
"""The most starts that one plan orders."""
ENGINE_READERS = 16


@cappa.command(name='plan', help='Show what would be bought and ended.')
@dataclasses.dataclass
class PlanCommand:
    """Plan an environment's fleet and print the plan; nothing is ordered.

    The command reads the current log, the cloud's prices and VMs, and the
    engines' reports. It doesn't have the observed reclaim rates and the
    load forecast, which only the lease holder knows. It therefore plans
    as if no reclaim had been observed and with the load stated by
    ``--load``; a model without ``--load`` gets its minimum number of
    endpoints.
    """

    environment: arguments.Environment
    file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long=True, help='Plan this document, not the published one.'
        ),
    ] = None
    load: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='Load of a model, as MODEL=TOKENS_PER_S.'),
    ] = dataclasses.field(default_factory=list)
    settings: arguments.SettingsPath = None
    json: arguments.AsJson = False

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        settings = operator_settings.load(self.settings)
        state = fleet_sources.read_control_state(settings)
        document = self._document(state)
        client = fleet_sources.create_cloud_client(settings)
        found = fleet_sources.list_vms(client)
        offers = fleet_sources.require_answer(client.offers())
        client.close()
        known = fleet_state.FleetInputs(
            ids.EnvironmentName(self.environment),
            document,
            state,
            tuple(found),
            frozenset(vm.vm for vm in found if not vm.leaving),
            read_reports(found),
            forecasts=parse_loads(self.load, document),
        )
        plan = fleet_plan.plan(
            fleet_state.pool_states(known),
            fleet_plan.MarketState(intents.prices_by_offer(offers), {}, {}),
            document.policy,
            MAX_STARTS,
            time.monotonic(),
        )
        shown = fleet_text.report(plan)
        if self.json:
            print(msgspec.json.encode(shown).decode())
        else:
            print('\n'.join(fleet_text.lines(shown)))
        return 0

    def _document(self, state: records.ControlState) -> schema.Document:
        if self.file is not None:
            return validate.load_document(self.file).document
        name = ids.EnvironmentName(self.environment)
        head = state.configurations.get(name)
        if head is None:
            process.fail(f'environment {name!r} has no published document')
        checked = check.check_raw(head.document)
        if not isinstance(checked, check.Checked):
            process.fail(f'the document in force is invalid: {checked[0]}')
        return checked.document


def parse_loads(
    entries: list[str], document: schema.Document
) -> dict[ids.ModelName, demand.Forecast]:
    """Parse loads stated as ``MODEL=TOKENS_PER_S`` into forecasts.

    Ends the program if an entry is malformed or names no known model.
    """
    forecasts = {}
    for entry in entries:
        model, _, text = entry.partition('=')
        try:
            load = float(text)
        except ValueError:
            load = -1.0
        if model not in document.models or load < 0:
            process.fail(
                f'--load {entry}: expected MODEL=TOKENS_PER_S with a model '
                f'of {sorted(document.models)}',
                process.EXIT_USAGE,
            )
        forecasts[ids.ModelName(model)] = demand.Forecast(
            level_tokens_per_s=load, at_s=0.0, recent=((0.0, load),)
        )
    return forecasts


def read_reports(
    listed: list[purchases.ListedVm],
) -> dict[ids.EndpointId, fleet_state.EngineReport]:
    """Request the engines' reports; those that don't answer are left out."""

    def read(vm: purchases.ListedVm) -> fleet_state.EngineReport | None:
        load = engine_orders.fetch_load(ids.Address(vm.address))
        if isinstance(load, outcome.Failure):
            return None
        models = tuple(ids.ModelName(model) for model in load.models)
        return fleet_state.EngineReport(
            ids.EndpointId(vm.vm), models, running=load.running
        )

    reachable = [vm for vm in listed if vm.address]
    with concurrent.futures.ThreadPoolExecutor(ENGINE_READERS) as readers:
        reports = [each for each in readers.map(read, reachable) if each]
    return {each.endpoint: each for each in reports}
