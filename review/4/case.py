"""A prompt part with a long id crashes engines."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

CRASHING_PART = 'b0' * 128
"""An id of 256 hexadecimal digits."""

SOUND_PART = 'a0' * 128
CRASH_AFTER_S = 0.03
DOWN_S = 2.0
RESTART_AFTER_S = 0.5

ENGINES = 9
NODES = 3
CRASHING_PER_S = 2.0
KEPT_PER_NODE = 8
WORK_S = 0.15
BEFORE_S, CRASHING_S, AFTER_S = 5.0, 15.0, 4.0
MAX_CLOSED = 3
CONTACT_S = 4.0


class CrashableEngine(standins.Engine):
    """Crashes when it begins to answer a prompt with the crashing part."""

    crashes = 0

    async def answer(
        self,
        request: standins.HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer, or crash and come back after some seconds."""
        if f'{CRASHING_PART}:' not in request.headers.get('prefix-hash', ''):
            await super().answer(request, reader, writer)
            return
        await asyncio.sleep(CRASH_AFTER_S)
        if self.is_listening:
            CrashableEngine.crashes += 1
            self.crash()
            self.restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        ip, _, port = self.address.rpartition(':')
        await asyncio.sleep(DOWN_S)
        await self.start(ip, int(port))


class Clients:
    """Clients of a sound service, and some of the crashing engines."""

    def __init__(self, site: standins.Site) -> None:
        self._site = site
        self.answered = 0
        self.closed: list[str] = []
        self.others_closed = 0
        self.in_touch_s = float('inf')
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
            try:
                answer = standins.Answer()
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
            except ConnectionError:
                self._note_closed(attempt, node, answer, is_kept)
            finally:
                writer.close()

    def _note_closed(
        self,
        attempt: str,
        node: standins.Node,
        answer: standins.Answer,
        is_kept: bool,
    ) -> None:
        """Note a connection that closed without an answer.

        Only kept ones count, of processes that have run since the machine was
        in touch: what one that has started again closes is left out.
        """
        now_s = self._site.record.now_s()
        ended_s = self.first_end_s.get(node.name, now_s)
        is_first_run = now_s - ended_s < RESTART_AFTER_S
        ran = any(
            attempt == run
            for engine in self._site.engines
            for run, _ in engine.runs
        )
        counts = ran and is_kept and is_first_run and now_s >= self.in_touch_s
        self._site.record.line(
            f'client {attempt} at {node.name}: {answer.end}, '
            f'{"passed on to an engine" if ran else "not passed on"}'
            f'{", counts" if counts else ""}'
        )
        if counts:
            self.closed.append(attempt)
        else:
            self.others_closed += ran

    async def send_crashing(self, duration_s: float) -> None:
        """Send requests with the crashing part, no two alike."""
        for number in range(int(duration_s * CRASHING_PER_S)):
            self._task = asyncio.create_task(self._send_crashing(number))
            await asyncio.sleep(1 / CRASHING_PER_S)

    async def _send_crashing(self, number: int) -> None:
        node = self._site.nodes[number % NODES]
        headers = {
            'Model': 'm',
            'Token-Counts': '700,150',
            'Prefix-Hash': (
                f'{SOUND_PART}:400,{CRASHING_PART}:200,{number:0256x}:100'
            ),
        }
        attempt = f'crashing-{number}'
        end = 'no connection'
        try:
            reader, writer = await standins.connect(node.frontend)
            writer.write(
                standins.encode_request(
                    'POST', '/note/x', attempt, b'%d' % number, headers
                )
            )
            answer = await standins.read_answer(reader)
            end = f'{answer.status} {answer.end}'
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
    """Whether processes stay and requests at sound engines get answers."""
    for number in range(ENGINES):
        site.add_engine(
            CrashableEngine, f'i-{number:04x}', 'guava-models', events=30
        )
    for number in range(3):
        site.add_engine(
            standins.Engine, f'i-1{number:03x}', 'tyrewatch-app',
            work_s=WORK_S,
        )  # fmt: skip
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    await site.configure(
        1,
        [
            standins.Route('/note/', 'streaming', 'guava-models', True),
            standins.Route('/order/', 'non_idempotent', 'tyrewatch-app'),
        ],
    )
    site.add_nodes(NODES)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    ends: list[str] = []
    clients = Clients(site)
    clients.in_touch_s = site.record.now_s() + CONTACT_S
    tasks = [asyncio.create_task(start_again(site, clients, ends))]
    for node in site.nodes:
        for number in range(KEPT_PER_NODE):
            tasks.append(
                asyncio.create_task(
                    clients.keep_sending(node, f'{node.name}-{number}')
                )
            )
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        await clients.send_crashing(CRASHING_S)
    else:
        await asyncio.sleep(CRASHING_S)
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    site.record.line(
        f'{CrashableEngine.crashes} crashes of engines; processes ended by '
        f'themselves {len(ends)} times: {", ".join(ends)}; '
        f'{clients.answered} plain requests answered, {len(clients.closed)} '
        'that count passed on to a sound engine and their kept connection '
        f'closed without an answer, {clients.others_closed} others'
    )
    return len(clients.closed) <= MAX_CLOSED


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
