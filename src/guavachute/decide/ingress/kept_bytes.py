"""Bounds the bytes of unfinished answers that a process keeps.

An answer that is no stream is kept until it is complete, so that the request
can be retried; of a stream, the incomplete event is kept. Each has a limit,
but a faulty endpoint may send bytes without end to many requests at once, and
a machine has little memory.
"""

import typing

MAX_ANSWER_BYTES = 1_048_576
"""Limit of one answer."""

MAX_TOTAL_BYTES = 25_165_824
"""Limit of all answers together. The smallest machines have 160 MB."""


class KeptBytes:
    """The bytes that are kept of each unfinished answer."""

    def __init__(self) -> None:
        self._by_holder: dict[typing.Hashable, int] = {}
        self.total_bytes = 0

    def record(self, holder: typing.Hashable, kept_bytes: int) -> None:
        """Record how many bytes are kept for *holder*."""
        self.total_bytes += kept_bytes - self._by_holder.get(holder, 0)
        if kept_bytes:
            self._by_holder[holder] = kept_bytes
        else:
            self._by_holder.pop(holder, None)

    def is_too_much(self, holder: typing.Hashable) -> bool:
        """Whether the answer of *holder* has to be given up.

        With too many bytes in all, those go that keep more than others.
        """
        kept_bytes = self._by_holder.get(holder, 0)
        if kept_bytes > MAX_ANSWER_BYTES:
            return True
        return (
            self.total_bytes > MAX_TOTAL_BYTES
            and kept_bytes * len(self._by_holder) >= self.total_bytes
        )
