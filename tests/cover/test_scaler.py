"""Orders over time, as the holder of the duties sends them."""

import types
import typing
import unittest

import msgspec

from guavachute.decide.duty import scaling
from guavachute.entry import control_client
from guavachute.entry import known_state
from guavachute.entry import scaler
from guavachute import ids
from guavachute.platform import store
from tests.support import platform_site

DOMAINS = [ids.FailureDomain(f'here-{name}') for name in 'abc']


class Cloud:
    """Takes all orders and keeps the latest of each kind."""

    def __init__(self) -> None:
        self.on_demand: dict[str, int] = {}
        self.reclaimable: dict[str, int] = {}

    def call_cloud(
        self, target: bytes, body: bytes, got: control_client.Done
    ) -> None:
        order = msgspec.json.decode(body)
        kind = self.reclaimable if order.get('spot') else self.on_demand
        kind[order['zone']] = order['desired']
        got(control_client.Reply(200, b''))


class ScalerTest(unittest.TestCase):
    """Traffic begins that needs more engines than stand there."""

    def setUp(self) -> None:
        self.loop = types.SimpleNamespace(now_s=100.0)
        self.state = known_state.KnownState(self.loop)
        service = {
            'name': platform_site.MODEL_SERVICE,
            'healthPath': '/healthz',
            'maxConns': 100,
            'engine': {'slots': 8, 'kvCapacity': 100_000},
            'scaling': {
                'min': 1,
                'max': 12,
                'bootS': 4.0,
                'spotPrice': 0.15,
                'zonePrices': dict.fromkeys(DOMAINS, 1.0),
            },
        }
        self.state.take_configuration(
            platform_site.configuration(1, services=[service]),
            'store',
            ids.Offset(1),
        )
        self.offset = 0
        self.demand = scaling.Demand(0.0, 0.0)
        self.cloud = Cloud()
        self.scaler = scaler.Scaler(
            self.loop, self.state, DOMAINS, lambda service: self.demand
        )

    def engine(
        self,
        domain: str,
        name: str,
        state: str = 'ready',
        is_reclaimable: bool = True,
    ) -> None:
        entry = {
            'service': platform_site.MODEL_SERVICE,
            'address': '127.0.0.1:9',
            'zone': domain,
            'state': state,
            'slots': 8,
            'sequence': 1,
            'spot': is_reclaimable,
        }
        self.offset += 1
        self.state.fold_endpoint(
            store.KeyedRecord(
                name, msgspec.json.encode(entry), ids.Offset(self.offset)
            ),
            False,
        )
        self.state.have_read(ids.Offset(self.offset + 1))

    def act(self, after_s: float) -> None:
        self.loop.now_s += after_s
        self.scaler.act(typing.cast(typing.Any, self.cloud))

    def press(self) -> None:
        """A second of traffic with a demand of nine engines."""
        for domain in DOMAINS:
            self.engine(domain, f'first-{domain}')
        self.act(scaler.SETTLE_S + 0.5)
        self.demand = scaling.Demand(9 * scaling.READ_TOKENS_PER_S, 0.0)
        self.act(1.0)
        self.act(1.0)

    def test_what_starts_is_not_ordered_on_demand_as_well(self) -> None:
        self.press()
        self.assertGreaterEqual(sum(self.cloud.reclaimable.values()), 9)
        self.assertLessEqual(sum(self.cloud.on_demand.values()), 1)

    def test_what_did_not_start_is_ordered_on_demand(self) -> None:
        self.press()
        self.act(4.0 + scaler.START_MARGIN_S)
        self.assertGreaterEqual(sum(self.cloud.on_demand.values()), 6)

    def test_what_is_reclaimed_while_it_starts_is_not_waited_for(self) -> None:
        self.press()
        for domain in DOMAINS:
            self.engine(domain, f'first-{domain}', 'draining')
        self.act(0.5)
        self.assertGreaterEqual(sum(self.cloud.on_demand.values()), 8)

    def test_a_new_holder_gives_up_nothing_that_is_needed(self) -> None:
        """All nodes were killed while no reclaimable engine can be had."""
        for number in range(9):
            self.engine(
                DOMAINS[number % 3], f'first-{number}', is_reclaimable=False
            )
        self.demand = scaling.Demand(9 * scaling.READ_TOKENS_PER_S, 0.0)
        self.act(scaler.SETTLE_S + 0.5)
        self.assertEqual(9, sum(self.cloud.on_demand.values()))
