"""What the decisions keep of one stream."""

import dataclasses

from guavachute.decide import crash
from guavachute.decide.requests import account
from guavachute.decide.requests import prefix
from guavachute.decide.requests import shares
from guavachute import ids

CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True)
class Work:
    """The place of one stream in queues, shares and suspicions.

    :ivar request: in the queue; its id is unique in this router, while
        a caller may send one request id twice
    :ivar chain: names of the prompt's blocks
    :ivar prompt_tokens: expected uncached tokens, charged at the start
    :ivar charged_index: number of the first token not yet charged
    :ivar granted: whether it holds the grant of a suspect's attempt
    :ivar disconnected: its endpoint may have died; see ``Suspects``
    :ivar attempt_id: of the present or last attempt
    :ivar tokens: of the present attempt
    :ivar pace_start_tokens: tokens at the last look at the pace, at
        *pace_start_s*
    """

    request: shares.Request
    chain: list[str]
    fingerprint: crash.Fingerprint
    prompt_tokens: float
    prompt_bytes: int
    account: account.Account
    charged_index: int = 0
    running: bool = False
    granted: bool = False
    disconnected: bool = False
    attempt_id: ids.AttemptId = ids.AttemptId('')
    first_index: int = 0
    tokens: int = 0
    pace_start_tokens: int = 0
    pace_start_s: float = 0.0

    def begin_attempt(
        self, attempt_id: ids.AttemptId, first_index: int, now_s: float
    ) -> None:
        """An attempt starts with token *first_index*."""
        self.attempt_id = attempt_id
        self.first_index = first_index
        self.tokens = 0
        self.start_pace_window(now_s)

    def start_pace_window(self, now_s: float) -> None:
        """Measure the pace from here on."""
        self.pace_start_tokens = self.tokens
        self.pace_start_s = now_s


def estimate_tokens(text: str) -> float:
    """About how many tokens *text* has."""
    return len(text) / CHARACTERS_PER_TOKEN


def tokens_in_blocks(blocks: int) -> float:
    """About how many tokens *blocks* blocks of a prompt have."""
    return blocks * prefix.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
