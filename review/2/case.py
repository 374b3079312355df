"""A configuration adds a tenant whose name is not Latin-1."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

NEW_TENANT = os.environ.get('TENANT', 'ǁKaras')
"""The official name of the region; the first letter is a click."""

NEW_KEY = 'key-of-karas'
ENGINES = 3
NODES = 3
CLIENTS_PER_NODE = 8
WORK_S = 0.1
NEW_PER_S = 2.0
BEFORE_S, CHANGED_S, AFTER_S = 6.0, 12.0, 3.0
RESTART_AFTER_S = 0.5
MAX_CLOSED = 3

OLD = {
    'name': standins.TENANT, 'apiKeys': [standins.KEY], 'priority': 1,
    'unit': 'tokens', 'uncachedTokens': 200, 'ratePerS': 1_000_000,
    'burst': 1_000_000,
}  # fmt: skip
NEW = {**OLD, 'name': NEW_TENANT, 'apiKeys': [NEW_KEY]}


class Clients:
    """Clients of the old tenant on kept connections, and of the new one."""

    def __init__(self, site: standins.Site) -> None:
        self._site = site
        self.answered = 0
        self.closed: list[str] = []
        self.closed_later = 0
        self.new_answered: list[int] = []
        self.first_end_s: dict[str, float] = {}

    async def keep_sending(self, node: standins.Node, name: str) -> None:
        """Send plain requests, one after the other, on kept connections."""
        number = 0
        while True:
            try:
                reader, writer = await standins.connect(node.frontend)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_kept = False
            while True:
                number += 1
                attempt = f'{name}-{number}'
                writer.write(
                    standins.encode_request(
                        'POST', '/order/x', attempt, attempt.encode(),
                        deadline_ms=3_000,
                    )
                )  # fmt: skip
                answer = await standins.read_answer(reader)
                if not answer.is_complete:
                    self._note_closed(attempt, node, answer, is_kept)
                    break
                is_kept = True
                self.answered += answer.status == 200
                if answer.headers.get('connection') == 'close':
                    break
            writer.close()

    def _note_closed(
        self,
        attempt: str,
        node: standins.Node,
        answer: standins.Answer,
        is_kept: bool,
    ) -> None:
        """Note a connection that closed without an answer.

        Those count that were kept, whose request an engine has run, and that
        the first run of a process closed.
        """
        now_s = self._site.record.now_s()
        ended_s = self.first_end_s.get(node.name, now_s)
        ran = any(
            attempt == run
            for engine in self._site.engines
            for run, _ in engine.runs
        )
        counts = ran and is_kept and now_s - ended_s < RESTART_AFTER_S
        self._site.record.line(
            f'client {attempt} at {node.name}: {answer.end}, '
            f'{"passed on to an engine" if ran else "not passed on"}'
            f'{", counts" if counts else ""}'
        )
        if counts:
            self.closed.append(attempt)
        else:
            self.closed_later += ran

    async def send_as_new_tenant(self, duration_s: float) -> None:
        """Send requests with the new key, each at the next machine."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(duration_s * NEW_PER_S)):
                group.create_task(self._send_as_new_tenant(number))
                await asyncio.sleep(1 / NEW_PER_S)

    async def _send_as_new_tenant(self, number: int) -> None:
        node = self._site.nodes[number % NODES]
        attempt = f'new-{number}'
        end = 'no connection'
        try:
            reader, writer = await standins.connect(node.frontend)
            writer.write(
                standins.encode_request(
                    'POST', '/order/x', attempt, b'%d' % number,
                    {'Authorization': f'Token {NEW_KEY}'}, 3_000,
                )
            )  # fmt: skip
            answer = await standins.read_answer(reader)
            end = f'{answer.status} {answer.end}'
            self.new_answered.append(answer.status)
            writer.close()
        except OSError:
            pass
        self._site.record.line(f'client {attempt} at {node.name}: {end}')


async def start_again(
    site: standins.Site, clients: Clients, ends: list[str]
) -> None:
    """Start processes again that have ended, as the platform does."""
    while True:
        for node in site.nodes:
            assert node.process is not None
            if node.process.poll() is not None:
                site.record.line(
                    f'node {node.name} has ended by itself, '
                    f'status {node.process.returncode}'
                )
                ends.append(node.name)
                clients.first_end_s.setdefault(node.name, site.record.now_s())
                await asyncio.sleep(RESTART_AFTER_S)
                node.start()
        await asyncio.sleep(0.02)


async def case(site: standins.Site, has_trouble: bool) -> bool:
    """Whether requests that engines run get their answers."""
    for number in range(ENGINES):
        site.add_engine(
            standins.Engine, f'i-{number:04x}', 'tyrewatch-app', work_s=WORK_S
        )
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    routes = [standins.Route('/order/', 'non_idempotent', 'tyrewatch-app')]
    await site.configure(1, routes, tenants=[OLD])
    site.add_nodes(NODES)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    ends: list[str] = []
    clients = Clients(site)
    tasks = [asyncio.create_task(start_again(site, clients, ends))]
    for node in site.nodes:
        for number in range(CLIENTS_PER_NODE):
            name = f'{node.name}-{number}'
            tasks.append(asyncio.create_task(clients.keep_sending(node, name)))
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        site.record.line(f'the operator adds the tenant {json.dumps(NEW)}')
        await site.configure(3, routes, tenants=[OLD, NEW])
    await asyncio.sleep(1.0)
    await clients.send_as_new_tenant(CHANGED_S)
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    site.record.line(
        f'processes ended by themselves {len(ends)} times: {", ".join(ends)}; '
        f'{clients.answered} requests of the old tenant answered; '
        f'{len(clients.closed)} that an engine ran lost their kept connection '
        f'without an answer when a process ended first, '
        f'{clients.closed_later} later; '
        f'answers to the new tenant: {clients.new_answered}'
    )
    return len(clients.closed) <= MAX_CLOSED


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
