"""A baseline relay that uses a worker thread for each stream."""

import itertools
import sys
import typing

import urllib3

from guavachute.cli import process
from guavachute.http import message
from guavachute.http import server
from guavachute.kernel import kernel

TIMEOUT_S = 60
SPARE_THREADS = 16


class PlainRelay:
    """Forwards each request to the next engine in turn.

    :param threads: the number of connections kept open to each engine
    """

    def __init__(self, engines: list[str], threads: int) -> None:
        self._turn = itertools.cycle(engines)
        self._pool = urllib3.PoolManager(
            num_pools=len(engines), maxsize=threads, retries=False
        )

    def handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> message.Response:
        """Forward one request and stream its answer."""
        answer: typing.Any = self._pool.request(
            request.method,
            f'http://{next(self._turn)}{request.path}',
            body=request.body,
            headers={'Content-Type': 'application/json'},
            preload_content=False,
            timeout=TIMEOUT_S,
        )
        return message.Response(
            answer.status,
            self._chunks(answer),
            content_type=answer.headers['Content-Type'],
        )

    def _chunks(self, answer: typing.Any) -> typing.Iterator[bytes]:
        yield from answer.read_chunked()
        answer.release_conn()


def main() -> None:
    """Serve until stopped.

    The arguments are the number of streams and the engines' addresses.
    """
    threads = int(sys.argv[1]) + SPARE_THREADS
    relay = PlainRelay(sys.argv[2:], threads)
    hosting = kernel.Kernel()
    serving = server.Server(
        'plain-relay', '127.0.0.1', 0, relay.handle, threads=threads
    )
    hosting.add(serving)
    with (
        process.stopped_by_signals(hosting.request_stop),
        hosting.running(),
    ):
        process.announce('plain-relay', http=serving.address)
        hosting.wait()


if __name__ == '__main__':
    main()
