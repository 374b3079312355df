"""Rendezvous (highest random weight) hashing.

All processes rank the same candidates for a key in the same order
without communicating. If a candidate is added or removed, the order of
the others stays the same.
"""

import typing

import xxhash

Candidate = typing.TypeVar('Candidate')


def score(key: str, name: str) -> int:
    """The pseudorandom weight of *name* for *key*, of 64 bits."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def ranked(
    key: str,
    candidates: typing.Iterable[Candidate],
    name_of: typing.Callable[[Candidate], str],
) -> list[Candidate]:
    """*candidates* by descending score for *key*.

    :param name_of: the name of a candidate, the same in all processes
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            -score(key, name_of(candidate)),
            name_of(candidate),
        ),
    )
