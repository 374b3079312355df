"""Routers with engines and an order service, in the test's process.

The test itself publishes the routers' tables, so it decides when an
endpoint leaves. The node process is tested elsewhere.
"""

import contextlib
import dataclasses
import typing

import urllib3

from guavachute.assembly import router
from guavachute.document import check
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import table_server
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import order_service
from guavachute.wire import tables
from tests.support import documents
from tests.support import waiting

MODEL = 'needle-llm'
ENGINE = engine_job.EngineSettings(
    models=[MODEL], first_token_s=0.005, token_gap_s=0.005
)


@dataclasses.dataclass
class SmallFleet:
    """Running engines, an order service and routers.

    :ivar order_service: serves the pool ``desk``
    :ivar publisher: sends tables to the routers
    :ivar leaving: names of the endpoints announced as leaving
    """

    engines: list[engine.Engine]
    order_service: order_service.OrderService
    routers: list[router.Router]
    publisher: table_server.TableServer
    leaving: set[str]
    offset: int = 1

    @property
    def router(self) -> router.Router:
        """The first router, which is the only one in most tests."""
        return self.routers[0]

    def publish(self, raw: dict[str, typing.Any] | None = None) -> None:
        """Send tables with the present endpoints to the routers.

        :param raw: the document; None for the default one
        """
        document = raw or documents.valid()
        published = tables.Tables(
            environment='test',
            offset=self.offset,
            digest=check.digest_of(document),
            document=document,
            endpoints=[
                *(
                    self._entry(one.name, one.address, 'needle')
                    for one in self.engines
                ),
                self._entry('desk', self.order_service.address, 'desk'),
            ],
            routers=[
                tables.RouterEntry(
                    node=f'n{number}',
                    address=one.address,
                    failure_domain='perth-a',
                    region='perth',
                )
                for number, one in enumerate(self.routers)
            ],
        )
        self.publisher.mailbox.send(table_server.Publish(published))

    def leave(self, name: str) -> None:
        """Announce that an endpoint leaves."""
        self.leaving.add(name)
        self.publish()

    def _entry(
        self, name: str, address: str, pool: str
    ) -> tables.EndpointEntry:
        return tables.EndpointEntry(
            endpoint=name,
            address=address,
            failure_domain='perth-a',
            region='perth',
            pool=pool,
            leaving=name in self.leaving,
            leave_in_s=30.0 if name in self.leaving else None,
        )

    def url(self, path: str, number: int = 0) -> str:
        """The URL of *path* at a router."""
        return f'http://{self.routers[number].address}{path}'

    def count(self, name: str) -> float:
        """The sum of a counter over all routers."""
        return sum(one.count.value(name) for one in self.routers)


@contextlib.contextmanager
def running(
    engines: int = 3,
    routers: int = 1,
    engine_settings: engine_job.EngineSettings = ENGINE,
    drain_limit_s: float = 30.0,
) -> typing.Iterator[SmallFleet]:
    """Runs a fleet and yields it once all routers are ready."""
    hosting = kernel.Kernel()
    count = counters.Counters()
    standins = [
        engine.Engine(f'engine-{number}', settings=engine_settings)
        for number in range(engines)
    ]
    orders = order_service.OrderService()
    publisher = table_server.TableServer(
        '127.0.0.1', 0, count, mailbox.Mailbox()
    )
    for service in (*standins, orders, publisher):
        hosting.add(service)
    with contextlib.ExitStack() as stack:
        stack.enter_context(hosting.running())
        fleet = SmallFleet(standins, orders, [], publisher, set())
        for number in range(routers):
            settings = router.RouterSettings(
                node=f'n{number}',
                failure_domain='perth-a',
                region='perth',
                node_address=publisher.address,
                drain_limit_s=drain_limit_s,
                news_delay_s=0.1,
            )
            running_router = stack.enter_context(router.running(settings))
            fleet.routers.append(running_router)
        fleet.publish()
        for number in range(routers):
            waiting.until(lambda n=number: _is_ready(fleet, n), 'ready')
        yield fleet


def _is_ready(fleet: SmallFleet, number: int) -> bool:
    url = fleet.url('/readyz', number)
    return urllib3.request('GET', url, retries=False).status == 200


def headers(key: str = documents.KEY, **others: str) -> dict[str, str]:
    """Request headers with the caller's key."""
    return {'Authorization': f'Bearer {key}', **others}
