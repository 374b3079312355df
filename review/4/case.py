"""Clients send heads of over half of the limit in two pieces."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

LIMIT_BYTES = 16_384
HEADER_TIMEOUT_S = 3.0
LARGE_PARTS, SMALL_PARTS = 750, 3
"""A prompt of 12,000 tokens with a part for each block of 16, and a prompt
with the parts of the sheet."""

LAST_BYTES = 200
PAUSE_S = 0.2
NODES = 3
REQUESTS = 60
PER_S = 12.0


def encode(number: int) -> bytes:
    """A request; each second one has a large head."""
    count = LARGE_PARTS if number % 2 else SMALL_PARTS
    parts = [f'{number:03x}{place:05x}:16' for place in range(count)]
    headers = {
        'Model': 'm',
        'Token-Counts': f'{16 * count},100',
        'Prefix-Hash': ','.join(parts),
    }
    return standins.encode_request(
        'POST', '/note/x', f's-{number}', b'%d' % number, headers
    )


async def send(
    site: standins.Site, number: int, has_trouble: bool, statuses: list[int]
) -> None:
    """Send a request, with the trouble in two pieces."""
    node = site.nodes[number % NODES]
    request = encode(number)
    head_bytes = request.index(b'\r\n\r\n') + 4
    reader, writer = await standins.connect(node.frontend)
    first = head_bytes - LAST_BYTES if has_trouble else len(request)
    writer.write(request[:first])
    if has_trouble:
        await asyncio.sleep(PAUSE_S)
        writer.write(request[first:])
    try:
        answer = await standins.read_answer(reader)
    finally:
        writer.close()
    statuses.append(answer.status)
    pieces = f'{first} and {len(request) - first}' if has_trouble else 'all'
    site.record.line(
        f'client s-{number} at {node.name}, head of {head_bytes} bytes, '
        f'sent {pieces}: {answer.status} {answer.end}'
    )


async def case(site: standins.Site, has_trouble: bool) -> bool:
    """Whether proper requests are not rejected."""
    for number in range(3):
        site.add_engine(
            standins.Engine, f'i-{number:04x}', 'guava-models', events=10
        )
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    route = standins.Route('/note/', 'streaming', 'guava-models', True)
    await site.configure(1, [route])
    site.add_nodes(NODES)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    await asyncio.sleep(5.0)
    statuses: list[int] = []
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            group.create_task(send(site, number, has_trouble, statuses))
            await asyncio.sleep(1 / PER_S)
    denied = [
        status
        for status in statuses
        if 300 <= status < 500 and status not in (408, 421, 429)
    ]
    site.record.line(
        f'{len(statuses)} proper requests, {statuses.count(200)} answered '
        f'200, {len(denied)} denied: {sorted(set(denied))}'
    )
    return len(denied) <= 5 + len(statuses) / 500


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
