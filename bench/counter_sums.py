"""A statsd server that sums the counters of all processes of a site."""

import collections
import socket
import threading

RECEIVE_BYTES = 64 * 1024
RECEIVE_TIMEOUT_S = 0.2
COUNTER = 'c'


class CounterSums:
    """A statsd server on UDP that sums counters by name over all senders.

    :ivar address: of the server, ``IP:PORT``
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.settimeout(RECEIVE_TIMEOUT_S)
        self._sums: collections.Counter[str] = collections.Counter()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        host, port = self._socket.getsockname()
        self.address = f'{host}:{port}'

    def start(self) -> None:
        """Start the thread that receives."""
        self._thread.start()

    def stop(self) -> collections.Counter[str]:
        """Stop receiving and return the sums."""
        self._stopping.set()
        self._thread.join()
        self._socket.close()
        return self._sums

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except TimeoutError:
                continue
            for line in data.decode().splitlines():
                self._add_line(line)

    def _add_line(self, line: str) -> None:
        name, _, rest = line.partition(':')
        value, _, kind = rest.partition('|')
        if kind == COUNTER:
            self._sums[name] += round(float(value))
