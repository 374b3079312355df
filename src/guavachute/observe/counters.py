"""Counters and gauges, kept in the process and sent to statsd.

They are kept in the process as well, so that ``guavachute status`` and
the tests can read them without a statsd server.
"""

import threading

import statsd


class Counters:
    """The counters of one process; safe to use from any thread.

    :param client: the statsd client; None keeps them in the process only
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._lock = threading.Lock()
        self._values: dict[str, float] = {}

    def add(self, name: str, amount: float = 1) -> None:
        """Increase the counter *name* by *amount*."""
        with self._lock:
            self._values[name] = self._values.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def set(self, name: str, value: float) -> None:
        """Set the gauge *name* to *value*."""
        with self._lock:
            self._values[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def observe_s(self, name: str, duration_s: float) -> None:
        """Report a duration to statsd; only its count is kept here."""
        self.add(f'{name}.count')
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)

    def value(self, name: str) -> float:
        """The current value of *name*; 0 if it was never set."""
        with self._lock:
            return self._values.get(name, 0)

    def snapshot(self) -> dict[str, float]:
        """All values, by name."""
        with self._lock:
            return dict(sorted(self._values.items()))


def connect(address: str | None, prefix: str) -> Counters:
    """Counters that are sent to the statsd server at *address*.

    :param address: as ``IP:PORT``; None keeps them in the process only
    :param prefix: put before the names that are sent
    """
    if address is None:
        return Counters()
    host, _, port = address.rpartition(':')
    return Counters(statsd.StatsClient(host, int(port), prefix))
