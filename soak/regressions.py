"""Seeds that failed once, each with its cause."""

SEEDS: dict[int, str] = {}
