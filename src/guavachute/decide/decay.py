"""Exponentially decaying sums."""


class DecayingSum:
    """A sum in which each amount halves every *half_life_s*."""

    __slots__ = ('_half_life_s', '_sum', '_at_s')

    def __init__(self, half_life_s: float, now_s: float) -> None:
        self._half_life_s = half_life_s
        self._sum = 0.0
        self._at_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Add *amount* at *now_s*."""
        self._sum = self.value(now_s) + amount
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        """The decayed sum at *now_s*."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._sum * 0.5 ** (elapsed_s / self._half_life_s)
