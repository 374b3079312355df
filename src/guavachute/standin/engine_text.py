"""The text of a stand-in engine: a pure function of the prompt."""

import xxhash

CHARACTERS_PER_TOKEN = 5
"""With the space in front."""

_SYLLABLES = [
    consonant + vowel
    for consonant in 'bdfghjklmnprstvz'
    for vowel in ('a', 'e', 'i', 'o', 'u', 'y', 'w', 'r')
]
_SYLLABLE_BITS = 7
_SYLLABLE_MASK = 2**_SYLLABLE_BITS - 1


def seed(model: str, prompt: str) -> int:
    """What the tokens of an answer depend on."""
    text = f'{model}\0{prompt}'.encode('utf-8', 'surrogatepass')
    return xxhash.xxh3_64_intdigest(text)


def token(answer_seed: int, index: int) -> str:
    """Token *index* of the answer that *answer_seed* stands for."""
    number = xxhash.xxh3_64_intdigest(
        index.to_bytes(8, 'little'), seed=answer_seed
    )
    first = _SYLLABLES[number & _SYLLABLE_MASK]
    second = _SYLLABLES[number >> _SYLLABLE_BITS & _SYLLABLE_MASK]
    return f' {first}{second}'


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """The first *tokens* tokens of the unbroken answer to *prompt*."""
    answer_seed = seed(model, prompt)
    return ''.join(token(answer_seed, index) for index in range(tokens))


def count_tokens(text: str) -> int:
    """The tokens of a prompt: its words."""
    return len(text.split())
