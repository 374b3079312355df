"""Rendezvous hashing: everyone picks the same few out of many.

When a candidate comes or goes, only the picks that it wins or had won
change; no ring and no agreement are needed.
"""

import typing

import xxhash

Candidate = typing.TypeVar('Candidate')


def score(key: str, name: str) -> int:
    """How strongly *key* is drawn to *name*."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def ranked(
    key: str,
    candidates: typing.Iterable[Candidate],
    name_of: typing.Callable[[Candidate], str],
) -> list[Candidate]:
    """*candidates*, those that *key* is drawn to most first."""
    return sorted(
        candidates,
        key=lambda candidate: (
            -score(key, name_of(candidate)),
            name_of(candidate),
        ),
    )
