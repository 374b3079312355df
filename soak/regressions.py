"""Seeds that failed once, each with its cause."""

SEEDS: dict[int, str] = {
    4116: 'SIGHUP met a process that the machine had given no time yet to '
    'run its first line, where it is told to ignore the signal.',
}
