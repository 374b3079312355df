"""An engine in trouble sends bytes without end in small chunks."""

import asyncio
import pathlib
import random
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

PLAIN_TIMEOUT_MS = 1_500
PLAIN_DEADLINE_MS = 3_000
GRACE_S = 0.5
MIN_LATE = 8
"""Fewer late requests than this break no rule."""

STREAM_GAP_S = 4.0
"""A client leaves a stream after a gap of four times the objective."""

MODEL_ENGINES = 9
STREAMS_PER_S = 24.0
PLAIN_PER_S = 24.0
BEFORE_S, TROUBLE_S, AFTER_S = 5.0, 6.5, 8.0
TROUBLED_SHARE = 0.45
"""Share of the answers of the troubled engine that have no end."""

CHUNK = b'word by '
BLOCK = standins.encode_chunk(CHUNK) * 4_096


class TroubledEngine(standins.Engine):
    """Its streams go on without the end of an event while it is in trouble."""

    is_in_trouble = False
    rng = random.Random(3)

    async def answer(
        self,
        request: standins.HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send the first events, then bytes until the caller closes."""
        is_bad = self.is_in_trouble and self.rng.random() < TROUBLED_SHARE
        if not is_bad:
            await super().answer(request, reader, writer)
            return
        attempt = request.headers.get('attempt-id', '')
        self.record.line(f'engine {self.name} sends without end to {attempt}')
        writer.write(
            standins.encode_head(200, self.headers(request), None)
            + standins.encode_chunk(b'id: 1\ndata: one\n\n')
        )
        sent = 0
        try:
            while not writer.is_closing():
                writer.write(BLOCK)
                sent += len(BLOCK)
                await writer.drain()
                await asyncio.sleep(0.002)
        finally:
            self.record.line(
                f'engine {self.name} was closed by the caller of {attempt} '
                f'after {sent} bytes'
            )


class Clients:
    """Sends requests at a steady rate, each on a connection of its own."""

    def __init__(self, site: standins.Site) -> None:
        self._site = site
        self._rng = random.Random(7)
        self._tasks: list[asyncio.Task[None]] = []
        self.unanswered = 0
        self.late = 0
        self.answered = 0
        self.slowest_ready_s = 0.0
        self.own_delay_s = 0.0

    async def send_for(self, duration_s: float) -> None:
        """Send all kinds of requests for a while."""
        record = self._site.record
        end_s = record.now_s() + duration_s
        number = len(self._tasks)
        next_s = record.now_s()
        while record.now_s() < end_s:
            number += 1
            node = self._site.nodes[number // 2 % len(self._site.nodes)]
            work: typing.Coroutine[typing.Any, typing.Any, None]
            if number % 2:
                work = self._plain(node, f'plain-{number}')
            else:
                work = self._stream(node, f'stream-{number}', number)
            self._tasks.append(asyncio.create_task(work))
            next_s += 1 / (STREAMS_PER_S + PLAIN_PER_S)
            await asyncio.sleep(max(0.0, next_s - record.now_s()))

    async def wait(self) -> None:
        """Wait for the last answers."""
        await asyncio.gather(*self._tasks)

    async def watch_readiness(self, node: standins.Node) -> None:
        """Ask a process each second whether it is ready, for the record."""
        record = self._site.record
        while True:
            sent_s = record.now_s()
            is_ready = await standins.is_ready(node)
            took_s = record.now_s() - sent_s
            self.slowest_ready_s = max(self.slowest_ready_s, took_s)
            if took_s > 1:
                record.line(
                    f'{node.name} said ready={is_ready} after {took_s:.1f} s'
                )
            await asyncio.sleep(1)

    async def watch_itself(self) -> None:
        """Measure how late this process's own timers are."""
        record = self._site.record
        while True:
            due_s = record.now_s() + 0.05
            await asyncio.sleep(0.05)
            self.own_delay_s = max(self.own_delay_s, record.now_s() - due_s)

    async def _plain(self, node: standins.Node, attempt: str) -> None:
        """A request to the sound service."""
        record = self._site.record
        sent_s = record.now_s()
        reader, writer = await standins.connect(node.frontend)
        writer.write(
            standins.encode_request(
                'GET', '/lookup/x', attempt, deadline_ms=PLAIN_DEADLINE_MS
            )
        )
        waits_s = PLAIN_DEADLINE_MS / 1000
        answer = standins.Answer()
        try:
            async with asyncio.timeout(waits_s):
                answer = await standins.read_answer(reader)
        except TimeoutError:
            answer.end = 'none within the deadline'
        took_s = record.now_s() - sent_s
        writer.close()
        limit_s = PLAIN_TIMEOUT_MS / 1000
        if took_s > limit_s:
            self.unanswered += 1
        if took_s > limit_s + GRACE_S:
            self.late += 1
        self.answered += answer.is_complete
        record.line(
            f'client {attempt} at {node.name}: {answer.status} {answer.end} '
            f'after {took_s:.2f} s'
        )

    async def _stream(
        self, node: standins.Node, attempt: str, number: int
    ) -> None:
        record = self._site.record
        reader, writer = await standins.connect(node.frontend)
        parts = f'a{number % 40:x}:500,{number:x}:300'
        writer.write(
            standins.encode_request(
                'POST', '/history/x', attempt, b'question %d' % number,
                {
                    'Model': 'm', 'Token-Counts': '800,100',
                    'Prefix-Hash': parts,
                },
            )
        )  # fmt: skip
        received = 0
        end = 'ended'
        while True:
            try:
                async with asyncio.timeout(STREAM_GAP_S):
                    data = await reader.read(65_536)
            except TimeoutError:
                end = 'left by the client after a gap'
                break
            except ConnectionError:
                end = 'reset'
                break
            if not data or data.endswith(b'0\r\n\r\n'):
                break
            received += len(data)
        writer.close()
        record.line(f'client {attempt}: {received} bytes, {end}')


async def case(site: standins.Site, has_trouble: bool) -> bool:
    """Whether sound requests are answered in time."""
    for number in range(MODEL_ENGINES):
        site.add_engine(
            TroubledEngine, f'i-{number:04x}', 'guava-models', events=30
        )
    for number in range(3):
        site.add_engine(standins.Engine, f'i-1{number:03x}', 'tyrewatch-app')
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    await site.configure(
        1,
        [
            standins.Route(
                '/history/', 'streaming', 'guava-models', slo_ms=1_000,
                max_attempts=1,
            ),
            standins.Route(
                '/lookup/', 'idempotent', 'tyrewatch-app',
                timeout_ms=PLAIN_TIMEOUT_MS, slo_ms=200,
            ),
        ],
    )  # fmt: skip
    site.add_nodes(3)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    await asyncio.sleep(2)
    clients = Clients(site)
    watches = [
        asyncio.create_task(clients.watch_readiness(node))
        for node in site.nodes
    ]
    watches.append(asyncio.create_task(clients.watch_itself()))
    await clients.send_for(BEFORE_S)
    troubled = typing.cast(TroubledEngine, site.engines[0])
    if has_trouble:
        site.record.line(f'trouble begins at engine {troubled.name}')
        troubled.is_in_trouble = True
    await clients.send_for(TROUBLE_S)
    troubled.is_in_trouble = False
    site.record.line('trouble ends')
    await clients.send_for(AFTER_S)
    await clients.wait()
    for watch in watches:
        watch.cancel()
    site.record.line(
        f'plain requests: {clients.answered} answered, {clients.unanswered} '
        f'without an answer at {PLAIN_TIMEOUT_MS} ms, {clients.late} of them '
        f'half a second later; slowest readiness answer '
        f'{clients.slowest_ready_s:.1f} s, delay of the clients themselves '
        f'{clients.own_delay_s:.2f} s'
    )
    return not (
        clients.late >= MIN_LATE and clients.late * 2 > clients.unanswered
    )


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
