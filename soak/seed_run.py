"""Runs one seed: a small site, faults, and the checks of its guarantees."""

import contextlib
import dataclasses
import os
import pathlib
import random
import time
import typing

from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute import ids
from guavachute.platform import directory
from guavachute.platform import settings
from guavachute.standin.platform import engine as standin_engine
from soak import clients as soak_clients
from soak import faults
from soak import guarantees
from soak import programs
from soak import proxy
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site
from tests.support import ports

FAULT_PHASE_S = 8.0
READY_TIMEOUT_S = 20.0
"""How long after the processes' start, or the end of the faults, all must
be ready; each process adds to it, because many start more slowly."""

RECOVERY_S = 4.0
"""How long after the last fault all bounds must hold again."""

IN_FORCE_TIMEOUT_S = 3.0
MIN_SERVED_FRACTION = 0.9
"""The minimum fraction of requests without faults that are served. It is
below 1 so that one slow answer among few requests doesn't fail a seed."""

LIMIT_RANGE_PER_S = (0.5, 5.0)
"""Limits that endpoints name, in requests per second."""

CRASHES_TO_KNOW = 5
"""After so many crashes a part that crashes engines has to be known."""

MAX_BAD_RUNS = 3
"""So many requests with the part may reach engines once it has to be known."""

PROBE_ROUTE = ('idempotent', platform_site.PLAIN_SERVICE, False)
"""Kind, service and resumability of the route that each version adds."""

HEARTBEAT_S = 1.0
CLIENTS_PER_NODE = 3
MAX_CLIENTS = 60
PLAIN_ENGINES = 3
MODEL_ENGINES = 3


@dataclasses.dataclass(slots=True)
class SeedResult:
    """The result of one seed.

    :ivar failures: the violated guarantees, one line each
    :ivar attempts: the number of requests that clients sent
    :ivar served: how many of them were answered with status 200
    :ivar folder: where the logs are
    :ivar notes: what else is reported of the seed
    """

    seed: int
    failures: list[str]
    attempts: int
    served: int
    folder: pathlib.Path
    notes: str = ''


class SeedRun:
    """The site of one seed and the phases of its run."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        folder: pathlib.Path,
        variant: str | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        # The schedule of the other faults of a seed stays as it was.
        self._limit_rng = random.Random(f'limits of {seed}')
        self._cut_rng = random.Random(f'cuts of {seed}')
        self._ports = contextlib.ExitStack()
        self.site = platform_site.PlatformSite()
        self.loop = self.site.loop
        self.store, self.cloud = self.site.store, self.site.cloud
        self.engines = self.site.engines
        self.version = 0
        self.sends_bad_part = False
        self._builds = 1
        self._retired: list[standin_engine.Engine] = []
        self.attempts: list[guarantees.Attempt] = []
        self.engine_links: list[proxy.Proxy] = []
        self.store_links: list[proxy.Proxy] = []
        self.programs: list[programs.Program] = []
        self.faults = faults.Faults(self)
        self._readiness_clients: dict[ids.Address, control_client.Client] = {}
        self._planned_from_s = float('inf')
        # Concurrent soaks, even of the same seed, must not share an
        # address.
        self._host = f'127.{1 + (seed + os.getpid()) % 250}'
        self.change_configuration()
        for number in range(PLAIN_ENGINES + MODEL_ENGINES):
            self._add_engine(number)
        self._add_programs(nodes, folder, variant)
        self.clients = soak_clients.make_clients(
            self, min(MAX_CLIENTS, CLIENTS_PER_NODE * nodes), self.attempts
        )

    def close(self) -> None:
        """Stop all processes and close all connections and servers."""
        for client in self.clients:
            client.close()
        for program in self.programs:
            program.resume()
            program.kill()
        for probe in self._readiness_clients.values():
            probe.close()
        for link in [*self.engine_links, *self.store_links]:
            link.close()
        self.site.close()
        self._ports.close()

    # -- the site ------------------------------------------------------

    def change_configuration(self) -> None:
        """Write the next version, which adds a route of its own."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the newest version again, which the store may have lost."""
        own = [
            (f'v{number}', f'/v{number}/', *PROBE_ROUTE)
            for number in range(1, self.version + 1)
        ]
        routes = [*platform_site.ROUTES, *own]
        self.site.configure(self.version, own_routes=routes)

    def restart_engine(self, engine: standin_engine.Engine) -> None:
        """Crash and restart *engine*."""
        engine.incarnation += 1
        engine.abort_connections()
        self._register(engine)

    def release(self) -> faults.Undo | None:
        """Start an endpoint of the next build; an older one leaves later."""
        old = self.rng.choice([
            engine
            for engine in self.engines
            if engine.events and engine not in self._retired
        ])  # fmt: skip
        self._builds += 1
        new = self._add_engine(len(self.engines), f'v{self._builds}')
        new.crashing_part = old.crashing_part

        def undo() -> None:
            if old not in self._retired:
                self._retired.append(old)
                old.unregister()
                old.abort_connections()

        return undo

    def has_only_planned_work(self) -> bool:
        """Return whether only planned work disturbs the site now."""
        return self.loop.now_s >= self._planned_from_s

    def _add_engine(
        self, number: int, build: str = 'v1'
    ) -> standin_engine.Engine:
        is_plain = number < PLAIN_ENGINES
        engine = self.site.add_engine(
            f'e{number}',
            platform_site.PLAIN_SERVICE
            if is_plain
            else platform_site.MODEL_SERVICE,
            events=0 if is_plain else soak_clients.STREAM_EVENTS,
        )
        engine.event_pause_s = 0.05
        engine.build = build
        engine.on_restarted = lambda: self._register(engine)
        link = proxy.Proxy(
            self.loop, ids.Address(engine.address), self._endpoints_host
        )
        self.engine_links.append(link)
        self._register(engine)
        return engine

    def _register(self, engine: standin_engine.Engine) -> None:
        if engine in self._retired:
            return
        index = self.engines.index(engine)
        engine.register(
            address=self.engine_links[index].address,
            born=engine.incarnation,
        )

    def _add_programs(
        self, nodes: int, folder: pathlib.Path, variant: str | None
    ) -> None:
        for number in range(nodes):
            link = proxy.Proxy(
                self.loop, self.store.address, f'{self._host}.1.1'
            )
            self.store_links.append(link)
            ip = f'{self._host}.{2 + number // 200}.{1 + number % 200}'
            peers_port = self._ports.enter_context(
                ports.reserved(
                    ip,
                    also=(
                        settings.METRICS_PORT_OFFSET,
                        settings.RELAY_PORT_OFFSET,
                    ),
                )
            )
            # After the ports that are chosen by number, which the operating
            # system may have given away before.
            callers, readiness = (
                self._ports.enter_context(ports.reserved(ip)) for _ in range(2)
            )
            site = platform_site.node_settings(
                f'edge-{number}',
                ip,
                link.address,
                self.cloud.address,
                peers_port,
                listen=domain_site.Listen(
                    callers=ids.Address(f'{ip}:{callers}'),
                    readiness=ids.Address(f'{ip}:{readiness}'),
                    directory=None,
                    peers_port=peers_port,
                    metrics_port=0,
                    relay_port=0,
                ),
            )
            self.programs.append(
                programs.Program(site, folder, variant, self._endpoints_host)
            )

    @property
    def _endpoints_host(self) -> str:
        return f'{self._host}.1.2'

    @property
    def notes(self) -> str:
        """What else is reported of the seed."""
        return ''

    # -- the phases ----------------------------------------------------

    def run(self) -> list[str]:
        """Run all phases; return the violated guarantees."""
        self._heartbeat()
        self._check_exits()
        for program in self.programs:
            program.start()
        failures = self._wait_until_ready('after the start')
        for client in self.clients:
            client.start()
        self.faults.start()
        self.loop.call_after(
            self._limit_rng.uniform(0.0, FAULT_PHASE_S / 2), self._name_limit
        )
        self.loop.call_after(
            self._cut_rng.uniform(0.0, FAULT_PHASE_S / 2), self._cut_nodes
        )
        looping.run_for(self.loop, FAULT_PHASE_S)
        self._open_links()
        self.faults.end()
        for program in self.programs:
            if not program.is_running:
                program.start()
        failures += self._wait_until_ready('after the faults')
        if sum(engine.crashes for engine in self.engines) < CRASHES_TO_KNOW:
            self._end_bad_part()
        limited = self._name_limit()
        cut = self._cut_nodes()
        looping.run_for(self.loop, RECOVERY_S)
        before = self._bad_runs()
        start_s = self.loop.now_s
        failures += self._check_service()
        failures += guarantees.cut_violations(
            [item for item in self.attempts if item.sent_s >= start_s],
            {program.incarnation for program in cut},
        )
        self._open_links()
        failures += guarantees.limit_violations(
            limited.name,
            float(limited.limit or 'nan'),
            [at_s for at_s in limited.arrivals if at_s >= start_s],
        )
        limited.limit = None
        if self._bad_runs() - before > MAX_BAD_RUNS:
            failures.append(
                f'{self._bad_runs() - before} requests with a part that '
                'crashes engines reached them later'
            )
        self._end_bad_part()
        failures += self._check_planned_work()
        failures += self._check_shutdown()
        failures += [
            f'unexpected exit of a process: {end}'
            for program in self.programs
            for end in program.unexpected_exits
        ]
        failures += guarantees.violations(self.attempts, self.runs)
        return failures + guarantees.duty_violations(self.cloud.calls)

    @property
    def runs(self) -> dict[str, list[standin_engine.Run]]:
        """The runs at all endpoints by attempt id."""
        runs: dict[str, list[standin_engine.Run]] = {}
        for engine in self.engines:
            for run in engine.runs:
                runs.setdefault(run.attempt_id, []).append(run)
        return runs

    def _name_limit(self) -> standin_engine.Engine:
        """Let one endpoint name a limit, and no other; returns that one."""
        for engine in self.engines:
            engine.limit = None
        limited = self._limit_rng.choice([
            engine for engine in self.engines if engine not in self._retired
        ])  # fmt: skip
        limited.limit = f'{self._limit_rng.uniform(*LIMIT_RANGE_PER_S):.1f}'
        return limited

    def _cut_nodes(self) -> list[programs.Program]:
        """Cut one to half of the nodes off from all endpoints."""
        count = self._cut_rng.randint(1, len(self.programs) // 2)
        cut = self._cut_rng.sample(self.programs, count)
        mode = self._cut_rng.choice(list(cut_links.Mode)[1:])
        self.faults.log.append(
            f'{self.loop.now_s:.3f} links to endpoints {mode.value}: '
            + ' '.join(program.site.node for program in cut)
        )
        for program in cut:
            program.cut_links(mode)
        return cut

    def _open_links(self) -> None:
        self.faults.log.append(f'{self.loop.now_s:.3f} links open')
        for program in self.programs:
            program.cut_links(cut_links.Mode.OPEN)

    def _end_bad_part(self) -> None:
        """Send no more requests with the part that crashes engines."""
        self.sends_bad_part = False
        for engine in self.engines:
            engine.crashing_part = None

    def _bad_runs(self) -> int:
        """How many requests with that part have reached engines."""
        return sum(
            soak_clients.BAD_PART in run.shared_parts
            for engine in self.engines
            for run in engine.runs
        )

    def _heartbeat(self) -> None:
        self.loop.call_after(HEARTBEAT_S, self._heartbeat)
        for engine in self.engines:
            if not engine.is_down:
                self._register(engine)

    def _check_exits(self) -> None:
        self.loop.call_after(0.05, self._check_exits)
        for program in self.programs:
            program.check_exit()

    def _wait_until_ready(self, when: str) -> list[str]:
        ready: set[ids.Address] = set()

        def request_readiness(address: ids.Address) -> None:
            client = self._readiness_clients.get(address)
            if client is None:
                client = control_client.Client(self.loop, address)
                self._readiness_clients[address] = client

            def handle_reply(
                reply: control_client.Reply | control_client.CallFailure,
            ) -> None:
                if (
                    isinstance(reply, control_client.Reply)
                    and reply.status == 200
                ):
                    ready.add(address)
                else:
                    self.loop.call_after(
                        0.2, lambda: request_readiness(address)
                    )

            path = directory.READINESS_PATH.encode()
            client.call(b'GET', path, handle_reply, 1.0)

        for program in self.programs:
            address = program.site.listen.readiness
            assert address is not None
            request_readiness(address)
        wait_s = READY_TIMEOUT_S + 0.2 * len(self.programs)
        if self._wait_for(lambda: len(ready) == len(self.programs), wait_s):
            return []
        return [f'only {len(ready)} nodes became ready {when}']

    def _wait_for(
        self, condition: typing.Callable[[], bool], limit_s: float
    ) -> bool:
        try:
            looping.run_until(self.loop, condition, limit_s)
        except AssertionError:
            return False
        return True

    def _check_service(self) -> list[str]:
        """Check that requests are served and a new version takes effect."""
        start_s = self.loop.now_s
        self.change_configuration()
        target = f'/v{self.version}/'
        looping.run_for(self.loop, IN_FORCE_TIMEOUT_S + 2.0)
        sent = [
            item
            for item in self.attempts
            if item.sent_s >= start_s and item.ended_s
        ]
        failures = [
            f'{item.incarnation} has no route {target} '
            f'{item.sent_s - start_s:.1f} s after it was written'
            for item in sent
            if item.target.startswith(target)
            and item.sent_s > start_s + IN_FORCE_TIMEOUT_S
            and item.status == 404
        ]
        ordinary = [
            item
            for item in sent
            if not item.target.startswith(target) and not item.has_bad_part
        ]
        served = sum(1 for item in ordinary if item.status == 200)
        if served < MIN_SERVED_FRACTION * len(ordinary) or not ordinary:
            failures.append(
                f'{served} of {len(ordinary)} requests served without faults'
            )
        return failures

    def _check_planned_work(self) -> list[str]:
        """Check that a node stopped without other faults ends in time.

        That it aborts no answer is checked later, for each attempt.
        """
        self._planned_from_s = self.loop.now_s
        program = self.rng.choice(self.programs)
        self.faults.log.append(f'{self.loop.now_s:.3f} planned stop')
        program.stop()
        grace_s = program.site.bounds.stop_grace_s
        has_ended = self._wait_for(lambda: not program.is_running, grace_s)
        program.kill()
        program.start()
        if has_ended:
            return []
        return [f'{program.incarnation} still runs {grace_s} s after SIGTERM']

    def _check_shutdown(self) -> list[str]:
        """Check that all answers arrive and every process ends on SIGTERM."""
        for client in self.clients:
            client.stop()
        answered = self._wait_for(
            lambda: not any(client.is_waiting for client in self.clients),
            2 * soak_clients.ANSWER_TIMEOUT_S,
        )
        failures = [] if answered else ['some clients never got an answer']
        for client in self.clients:
            client.close()
        for program in self.programs:
            program.stop()
        bound_s = max(item.site.bounds.stop_grace_s for item in self.programs)
        if not self._wait_for(
            lambda: not any(item.is_running for item in self.programs),
            bound_s,
        ):
            failures.append(f'processes still run {bound_s} s after SIGTERM')
        return failures


def run_seed(
    seed: int,
    nodes: int,
    folder: pathlib.Path,
    variant: str | None = None,
    run_type: type[SeedRun] = SeedRun,
) -> SeedResult:
    """Run one seed with *nodes* entry processes; logs go to *folder*."""
    folder.mkdir(parents=True, exist_ok=True)
    running = run_type(seed, nodes, folder, variant)
    start_s = time.monotonic()
    try:
        failures = running.run()
    finally:
        running.close()
    lines = [
        f'seed {seed}, {nodes} processes, {time.monotonic() - start_s:.0f} s',
        *running.faults.log,
        *[f'FAILED {line}' for line in failures],
        *[str(item) for item in running.attempts],
    ]
    (folder / 'play.txt').write_text('\n'.join(lines) + '\n')
    served = sum(1 for item in running.attempts if item.status == 200)
    return SeedResult(
        seed, failures, len(running.attempts), served, folder, running.notes
    )
