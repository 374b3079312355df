"""Prompts as chains of blocks, so that a shared prefix can be found.

Engines and routers compute the same chain: two prompts of one model
share their first n blocks exactly when the chains agree in the first n
places.
"""

import typing

import xxhash

BLOCK_CHARACTERS = 64


def block_chain(model: str, text: str) -> list[str]:
    """The hash chain over the whole blocks of *text*, hexadecimal.

    Each value depends on the model and on everything before the block.
    A last block that is not full is left out.
    """
    chain = []
    state = xxhash.xxh3_64(model.encode())
    last = len(text) - BLOCK_CHARACTERS
    for start in range(0, last + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS]
        state.update(block.encode('utf-8', 'surrogatepass'))
        chain.append(state.hexdigest())
    return chain


def chat_text(messages: typing.Iterable[tuple[str, str]]) -> str:
    """The prompt that (role, content) pairs make.

    The prompt of a conversation's next turn starts with that of this
    one followed by its answer.
    """
    lines = [f'{role}:{content}\n' for role, content in messages]
    return ''.join(lines) + 'assistant:'
