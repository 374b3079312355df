"""Heads of requests that are within the limit arrive in several pieces."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

SEGMENT_BYTES = 1_448
"""Payload of a TCP segment on an Ethernet link."""

PAUSE_S = 0.002
"""Between two windows of a connection with a small window."""

REQUESTS = 200
PARTS = (60, 450, 800, 1_150)
"""Numbers of prompt parts that requests name, in turn; the heads have about
1, 6, 10 and 14 kB."""

MAX_HEAD_BYTES = 16_384
"""The limit in the configurations of the two small deployments."""

DENIED_ALLOWANCE = 5
DENIED_SHARE = 1 / 500


async def send(
    site: standins.Site, number: int, in_pieces: bool
) -> standins.Answer:
    """Send one request, its head at once or in pieces."""
    node = site.nodes[number % len(site.nodes)]
    parts = [
        f'{number * 4_096 + part:08x}:{part % 90 + 10}'
        for part in range(PARTS[number % len(PARTS)])
    ]
    data = standins.encode_request(
        'POST', '/note/x', f'note-{number}', b'question %d' % number,
        {
            'Model': 'm', 'Token-Counts': '9000,40',
            'Prefix-Hash': ','.join(parts),
        },
    )  # fmt: skip
    head_bytes = data.index(b'\r\n\r\n') + 4
    assert head_bytes <= MAX_HEAD_BYTES
    reader, writer = await standins.connect(node.frontend)
    step = SEGMENT_BYTES if in_pieces else len(data)
    answer = standins.Answer()
    try:
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await writer.drain()
            if in_pieces:
                await asyncio.sleep(PAUSE_S)
        answer = await standins.read_answer(reader)
    except ConnectionError as error:
        answer.end = type(error).__name__
    finally:
        writer.close()
    site.record.line(
        f'client note-{number} at {node.name}, head of {head_bytes} bytes: '
        f'{answer.status} {answer.end}'
    )
    return answer


async def case(site: standins.Site, has_trouble: bool) -> bool:
    """Whether at most a few proper requests are denied."""
    for number in range(3):
        site.add_engine(
            standins.Engine, f'i-{number:04x}', 'guava-models', events=8
        )
    for engine in site.engines:
        await engine.start(site.engine_ip(engine))
    await site.configure(
        1,
        [standins.Route('/note/', 'streaming', 'guava-models', True)],
        limits={
            'maxHeaderBytes': MAX_HEAD_BYTES, 'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000, 'idleTimeoutMs': 15_000,
        },
    )  # fmt: skip
    site.add_nodes(3)
    for node in site.nodes:
        node.start()
    await site.wait_until_ready()
    # No machine is in touch before it has run for this long.
    await asyncio.sleep(5)
    answers = []
    for number in range(REQUESTS):
        answers.append(
            asyncio.create_task(send(site, number, has_trouble))
        )
        await asyncio.sleep(0.05)
    found = [item.status for item in await asyncio.gather(*answers)]
    denied = sum(300 <= status < 500 and status not in (408, 421, 429)
                 for status in found)  # fmt: skip
    counts = {status: found.count(status) for status in sorted(set(found))}
    site.record.line(f'statuses: {counts}; {denied} denied')
    return denied <= DENIED_ALLOWANCE + DENIED_SHARE * len(found)


if __name__ == '__main__':
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
