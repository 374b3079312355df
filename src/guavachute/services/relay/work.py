"""The data about one stream that queues, shares and crash detection use."""

import dataclasses

from guavachute.decide import crash
from guavachute.decide.requests import account
from guavachute.decide.requests import prefix
from guavachute.decide.requests import shares
from guavachute import ids

CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True)
class Work:
    """Accounting data of one stream from admission to its end.

    :ivar request: the entry in the queue. Its id is unique in this router,
        whereas a caller may send the same request id twice.
    :ivar chain: hashes of the prompt's blocks, for prefix affinity
    :ivar fingerprint: identifies equal requests for crash detection
    :ivar prompt_tokens: expected uncached tokens, charged at the start
    :ivar prompt_bytes: size of the prompt, estimated as one byte for
        each character
    :ivar charged_index: index of the first token not yet charged
    :ivar running: whether it has left the queue and was started
    :ivar granted: whether it holds the grant of a suspect's attempt
    :ivar disconnected: whether the attempt lost its connection and the
        endpoint's probe has no result yet
    :ivar attempt_id: of the current or last attempt
    :ivar first_index: index of the attempt's first token
    :ivar tokens: number of tokens in the attempt
    :ivar pace_start_tokens: value of *tokens* when the current measurement
        of the pace started
    :ivar pace_start_s: when that was
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
        """Record an attempt that starts with token *first_index*."""
        self.attempt_id = attempt_id
        self.first_index = first_index
        self.tokens = 0
        self.start_pace_window(now_s)

    def start_pace_window(self, now_s: float) -> None:
        """Start a new measurement of the pace."""
        self.pace_start_tokens = self.tokens
        self.pace_start_s = now_s


def estimate_tokens(text: str) -> float:
    """Estimate the number of tokens in *text*."""
    return len(text) / CHARACTERS_PER_TOKEN


def tokens_in_blocks(blocks: int) -> float:
    """Estimate the number of tokens in *blocks* blocks of a prompt."""
    return blocks * prefix.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
