"""Synthetic prompts with shared prefixes, from a fixed seed.

Each prompt starts with one of a few instructions of its workspace. A
conversation consists of several turns; the prompt of a turn contains
those of all turns before it.
"""

import dataclasses
import random
import typing

TOKENS_PER_BLOCK = 16
INSTRUCTION_BLOCKS = 24
TURN_BLOCKS = 12
INSTRUCTIONS = 4
OPEN_CONVERSATIONS = 120
TURNS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """One request of a workspace.

    :ivar chain: the names of the prompt's blocks; prompts with a common
        prefix have the same names there
    """

    workspace: str
    chain: tuple[str, ...]
    generated_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt."""
        return len(self.chain) * TOKENS_PER_BLOCK


class _Conversation:
    def __init__(self, number: int, workspace: str, instruction: int) -> None:
        self.workspace = workspace
        self._name = f'{workspace}-{number}'
        self.turns = 0
        self._chain = [
            f'{workspace}/{instruction}/{block}'
            for block in range(INSTRUCTION_BLOCKS)
        ]

    def next_turn(self, generated_tokens: int) -> Prompt:
        """Extend the conversation by a turn and return its prompt."""
        self.turns += 1
        self._chain += [
            f'{self._name}/{self.turns}/{block}'
            for block in range(TURN_BLOCKS)
        ]
        return Prompt(self.workspace, tuple(self._chain), generated_tokens)


def prompts(
    count: int, workspaces: typing.Sequence[str], seed: int
) -> typing.Iterator[Prompt]:
    """Yield *count* prompts; earlier workspaces send more of them."""
    generator = random.Random(seed)
    weights = [1.0 / (place + 1) for place in range(len(workspaces))]
    conversations: list[_Conversation] = []
    started = 0
    for _ in range(count):
        if len(conversations) < OPEN_CONVERSATIONS:
            workspace = generator.choices(workspaces, weights)[0]
            instruction = generator.randrange(INSTRUCTIONS)
            conversations.append(
                _Conversation(started, workspace, instruction)
            )
            started += 1
            conversation = conversations[-1]
        else:
            conversation = generator.choice(conversations)
        yield conversation.next_turn(generator.randint(20, 200))
        if conversation.turns >= TURNS:
            conversations.remove(conversation)
