"""Newer software joins a service while a machine is frozen.

Clients leave the frozen machine and take their streams up elsewhere.
"""

import asyncio
import contextlib
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

ENGINES = 9
NODES = 7
SETTLED_S = 38.0
"""The software of the engines has not changed for this long."""

FREEZE_S = 4.5
NEWER_AFTER_S = 0.3
EVENTS = 160
GAP_S = 0.05
CLIENTS_OF_FIRST = 30
PATIENCE_S = 2.0
"""A client leaves a stream after a gap of two seconds."""

LEAVES_AFTER_S = 3.0
RETRIES = 1
MIN_TAKEN_UP = 12
NEW_PER_S = 12.0

_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) (\S+)\n\n')


class Try:
    """One request of a client, and the events that it brought."""

    def __init__(self) -> None:
        self.status = 0
        self.ids: list[int] = []
        self.retry_after_s = 0.0
        self.is_complete = False


async def read_stream(
    node: standins.Node,
    attempt: str,
    headers: dict[str, str],
    leaves_after_s: float | None = None,
) -> Try:
    """Send a request and read its answer for as long as a client does.

    :param leaves_after_s: when the client closes, whatever has come
    """
    found = Try()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(leaves_after_s):
            await _read_stream(node, attempt, headers, found)
    return found


async def _read_stream(
    node: standins.Node, attempt: str, headers: dict[str, str], found: Try
) -> None:
    writer = None
    try:
        reader, writer = await standins.connect(node.frontend)
        writer.write(
            standins.encode_request(
                'POST', '/note/x', attempt, attempt.encode(), headers
            )
        )
        head = await asyncio.wait_for(
            reader.readuntil(b'\r\n\r\n'), PATIENCE_S
        )
        found.status = int(head.split(b' ', 2)[1])
        after = re.search(rb'(?i)retry-after: ([\d.]+)', head)
        found.retry_after_s = float(after.group(1)) if after else 0.0
        if b'chunked' not in head:
            return
        body = b''
        while True:
            line = await asyncio.wait_for(
                reader.readuntil(b'\r\n'), PATIENCE_S
            )
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            if not size:
                found.is_complete = True
                break
            body += data[:-2]
            found.ids = [int(item[0]) for item in _EVENT.findall(body)]
    except (OSError, EOFError):
        pass
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """The streams of the machine that freezes, and new ones elsewhere."""

    def __init__(self, site: standins.Site) -> None:
        self._site = site
        self.taken_up = 0
        self.went_on = 0
        self.new = 0
        self.begun = 0

    async def follow(self, number: int, leaves_after_s: float | None) -> None:
        """Read a stream of the first machine; take it up elsewhere."""
        record = self._site.record
        name = f'stream-{number}'
        headers = {
            'Model': 'm',
            'Token-Counts': '800,500',
            'Prefix-Hash': f'a{number:x}:500,{number:x}f:300',
        }
        first = await read_stream(
            self._site.nodes[0], name, headers, leaves_after_s
        )
        record.line(
            f'client {name} at {self._site.nodes[0].name}: {first.status}, '
            f'{len(first.ids)} events, complete {first.is_complete}'
        )
        if first.is_complete or not first.ids:
            return
        self.taken_up += 1
        node = self._site.nodes[1 + number % (NODES - 1)]
        for again in range(1 + RETRIES):
            attempt = f'{name}-again-{again + 1}'
            found = await read_stream(
                node,
                attempt,
                {
                    **headers,
                    'Last-Event-Id': str(first.ids[-1]),
                    'Resumes': name,
                },
            )
            record.line(
                f'client {attempt} after event {first.ids[-1]} at '
                f'{node.name}: {found.status}, events {found.ids[:1]} to '
                f'{found.ids[-1:]}'
            )
            if found.ids:
                self.went_on += 1
                return
            await asyncio.sleep(found.retry_after_s or 0.1)

    async def begin_new(self, duration_s: float) -> None:
        """Begin new streams at the other machines for a while."""
        tasks = []
        for number in range(int(duration_s * NEW_PER_S)):
            tasks.append(asyncio.create_task(self._begin(number)))
            await asyncio.sleep(1 / NEW_PER_S)
        await asyncio.gather(*tasks)

    async def _begin(self, number: int) -> None:
        node = self._site.nodes[1 + number % (NODES - 1)]
        found = await read_stream(
            node,
            f'new-{number}',
            {
                'Model': 'm',
                'Token-Counts': '800,500',
                'Prefix-Hash': f'b{number:x}:500,{number:x}e:300',
            },
        )
        self.new += 1
        self.begun += bool(found.ids)
        self._site.record.line(
            f'client new-{number} at {node.name}: {found.status}, '
            f'{len(found.ids)} events'
        )


async def case(site: standins.Site, has_trouble: bool) -> bool:
    """Whether streams that are taken up go on like new ones begin."""
    for number in range(ENGINES):
        site.add_engine(
            standins.Engine, f'i-{number:04x}', 'guava-models',
            events=EVENTS, gap_s=GAP_S,
        )  # fmt: skip
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    await site.configure(
        1, [standins.Route('/note/', 'streaming', 'guava-models', True)]
    )
    site.add_nodes(NODES)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    await asyncio.sleep(SETTLED_S)
    clients = Clients(site)
    tasks = []
    # Without the trouble, the connections of the clients break by themselves.
    leaves_after_s = None if has_trouble else LEAVES_AFTER_S
    for number in range(CLIENTS_OF_FIRST):
        tasks.append(
            asyncio.create_task(clients.follow(number, leaves_after_s))
        )
        await asyncio.sleep(0.02)
    await asyncio.sleep(1)
    tasks.append(asyncio.create_task(clients.begin_new(FREEZE_S)))
    frozen = site.nodes[0]
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(NEWER_AFTER_S)
        newer = site.add_engine(
            standins.Engine, 'i-9999', 'guava-models',
            events=EVENTS, gap_s=GAP_S,
        )  # fmt: skip
        newer.version = 'v2'
        await newer.start(site.engine_ip(newer))
        await asyncio.sleep(FREEZE_S - NEWER_AFTER_S)
        frozen.signal(signal.SIGCONT)
    await asyncio.gather(*tasks)
    site.record.line(
        f'{clients.went_on} of {clients.taken_up} streams that were taken up '
        f'went on; {clients.begun} of {clients.new} new streams began'
    )
    if clients.taken_up < MIN_TAKEN_UP or not clients.new:
        raise standins.CannotRunError('too few streams to judge')
    share = clients.went_on / clients.taken_up
    return share * 2 >= clients.begun / clients.new


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
