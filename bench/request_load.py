"""The callers of ``bench.requests``: an open load for each workspace.

As a program it reads a :class:`Script` as JSON from standard input and
prints a ``load.Report`` for each label as JSON.
"""

import heapq
import itertools
import random
import sys
import typing

import msgspec

from bench import load
from bench import load_stream
from guavachute.standin import engine_text

INSTRUCTIONS = 3
INSTRUCTION_WORDS = 160
TURN_WORDS = 40
TURNS = 5
OPEN_CONVERSATIONS = 8
MAX_STREAMS = 2000

LATE = 'late'
"""The result of a request that its caller cancelled."""


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """The callers of one workspace.

    Requests arrive as a Poisson process and belong to conversations, in
    which each prompt extends the one before.
    """

    workspace: str
    api_key: str
    requests_per_s: float
    least_tokens: int = 20
    most_tokens: int = 60


class Single(msgspec.Struct, frozen=True, kw_only=True):
    """One additional request, such as a long or crashing one."""

    label: str
    api_key: str
    at_s: float
    prompt: str
    tokens: int


class Script(msgspec.Struct, frozen=True, kw_only=True):
    """All requests of one run.

    :ivar measure_from_s: requests that start earlier are counted, but
        their times aren't recorded
    :ivar until_s: no request starts later
    :ivar give_up_s: timeout after which callers cancel a request
    """

    addresses: list[str]
    model: str
    seed: int
    callers: list[Caller]
    singles: list[Single] = []
    measure_from_s: float = 0
    until_s: float
    give_up_s: float


class _TokenLimit(msgspec.Struct):
    max_tokens: int


class Callers(load.Generator):
    """A generator that cancels requests after the script's timeout.

    Its figures ``first_byte`` hold the time to the first token instead of
    that to the first byte.
    """

    def __init__(
        self, requests: typing.Iterator[load_stream.Request], script: Script
    ) -> None:
        super().__init__(
            requests, MAX_STREAMS, script.measure_from_s, script.until_s
        )
        self._timeout_s = script.give_up_s
        self._cancelling = False

    def _start_due(self) -> None:
        super()._start_due()
        now_s = self._now_s()
        for key in list(self._selector.get_map().values()):
            exchange = key.data
            if now_s - exchange.start_s <= self._timeout_s:
                continue
            if exchange.first_byte_s is None:
                # Without a first byte, a reused connection would count as
                # closed by the server and the request be sent again.
                exchange.first_byte_s = now_s
            self._cancelling = True
            self._finish(exchange)
            self._cancelling = False

    def _record(
        self, exchange: load_stream.Exchange, figures: load.Figures
    ) -> None:
        first_token_s = exchange.first_token_s
        if exchange.status == 200 and first_token_s is None:
            first_token_s = self._now_s()
        exchange.first_byte_s = first_token_s
        super()._record(exchange, figures)
        if self._cancelling:
            figures.results[exchange.result().value] -= 1
            figures.results[LATE] += 1


def _words(chance: random.Random, count: int) -> str:
    return ' '.join(f'w{chance.randrange(10**4)}' for _ in range(count))


def _generate_for_caller(
    caller: Caller, script: Script
) -> typing.Iterator[load_stream.Request]:
    chance = random.Random(f'{script.seed} {caller.workspace}')
    instructions = [
        _words(chance, INSTRUCTION_WORDS) for _ in range(INSTRUCTIONS)
    ]
    conversations: list[tuple[str, str, int]] = []
    at_s = 0.0
    while True:
        at_s += chance.expovariate(caller.requests_per_s)
        if len(conversations) < OPEN_CONVERSATIONS:
            # This draws the same random numbers for any number of
            # addresses, so that the other choices don't depend on it.
            turn = int(chance.random() * len(script.addresses))
            address = script.addresses[turn]
            conversations.append((address, chance.choice(instructions), 0))
        place = chance.randrange(len(conversations))
        address, prompt, turns = conversations.pop(place)
        prompt = f'{prompt} {_words(chance, TURN_WORDS)}'
        if turns + 1 < TURNS:
            conversations.append((address, prompt, turns + 1))
        single = Single(
            label=caller.workspace,
            api_key=caller.api_key,
            at_s=at_s,
            prompt=prompt,
            tokens=chance.randint(caller.least_tokens, caller.most_tokens),
        )
        yield _encode_request(single, address, script.model)


def _encode_request(
    single: Single, address: str, model: str
) -> load_stream.Request:
    body = {
        'model': model,
        'prompt': single.prompt,
        'max_tokens': single.tokens,
        'stream': True,
    }
    return load_stream.Request(
        address=address,
        body=msgspec.json.encode(body),
        at_s=single.at_s,
        label=single.label,
        headers={'Authorization': f'Bearer {single.api_key}'},
        expected=engine_text.expected_text(
            model, single.prompt, single.tokens
        ),
    )


def generate_requests(script: Script) -> typing.Iterator[load_stream.Request]:
    """Yield the requests of all callers in the order of their times.

    Equal seeds give equal requests.
    """
    turns = itertools.cycle(script.addresses)
    singles = (
        _encode_request(single, next(turns), script.model)
        for single in script.singles
    )
    return heapq.merge(
        singles,
        *(_generate_for_caller(caller, script) for caller in script.callers),
        key=lambda request: request.at_s,
    )


def offered_tokens(script: Script, until_s: float) -> dict[str, int]:
    """Return the tokens requested before *until_s*, by label."""
    offered: dict[str, int] = {}
    for request in generate_requests(script):
        if request.at_s >= until_s:
            break
        tokens = msgspec.json.decode(request.body, type=_TokenLimit).max_tokens
        offered[request.label] = offered.get(request.label, 0) + tokens
    return offered


def main() -> None:
    """Run the script read from standard input and print its reports."""
    script = msgspec.json.decode(sys.stdin.buffer.read(), type=Script)
    callers = Callers(generate_requests(script), script)
    callers.run()
    reports = {
        label: load.encode_report(figures)
        for label, figures in callers.figures.items()
    }
    print(msgspec.json.encode(reports).decode())


if __name__ == '__main__':
    main()
