"""Seeds that failed once, each with its cause."""

SEEDS: dict[int, str] = {
    4116: 'SIGHUP reached a process that had not been scheduled since its '
    'start and so had not yet executed its first line, which ignores the '
    'signal.',
    27349: 'The same as 4116.',
}
