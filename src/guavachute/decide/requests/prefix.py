"""Hash chains over the blocks of a prompt, for matching shared prefixes.

Engines and routers compute the same chain. Two prompts for the same model
share their first n blocks exactly if the first n hashes of their chains
are equal.
"""

import typing

import xxhash

BLOCK_CHARACTERS = 64


def block_chain(model: str, text: str) -> list[str]:
    """Return the hash chain over the full blocks of *text*, in hexadecimal.

    Each hash depends on the model, its block and all blocks before it. A
    last block that is not full is left out.
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
    """Return the prompt for a conversation of (role, content) pairs.

    The prompt of the conversation's next turn starts with this prompt
    followed by its answer.
    """
    lines = [f'{role}:{content}\n' for role, content in messages]
    return ''.join(lines) + 'assistant:'
