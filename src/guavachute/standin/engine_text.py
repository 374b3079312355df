"""The text that a stand-in engine generates.

It is a pure function of the model and the prompt, so that a test can
compute the expected answer.
"""

import xxhash

CHARACTERS_PER_TOKEN = 5
"""Including the leading space."""

_SYLLABLES = [
    consonant + vowel
    for consonant in 'bdfghjklmnprstvz'
    for vowel in ('a', 'e', 'i', 'o', 'u', 'y', 'w', 'r')
]
_SYLLABLE_BITS = 7
_SYLLABLE_MASK = 2**_SYLLABLE_BITS - 1


def seed(model: str, prompt: str) -> int:
    """Return the seed of the answer to *prompt*."""
    text = f'{model}\0{prompt}'.encode('utf-8', 'surrogatepass')
    return xxhash.xxh3_64_intdigest(text)


def token(answer_seed: int, index: int) -> str:
    """Return the token at *index* of the answer with *answer_seed*."""
    number = xxhash.xxh3_64_intdigest(
        index.to_bytes(8, 'little'), seed=answer_seed
    )
    first = _SYLLABLES[number & _SYLLABLE_MASK]
    second = _SYLLABLES[number >> _SYLLABLE_BITS & _SYLLABLE_MASK]
    return f' {first}{second}'


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the first *tokens* tokens of the complete answer."""
    answer_seed = seed(model, prompt)
    return ''.join(token(answer_seed, index) for index in range(tokens))


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt, one for each word."""
    return len(text.split())
