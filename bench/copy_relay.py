"""A lower bound for a router: one selector task that only copies bytes.

It doesn't parse responses and can't resume, count or trace. What a
router costs beyond it is the cost of these functions.
"""

import dataclasses
import itertools
import selectors
import socket
import sys

from bench import load_stream
from guavachute.cli import process
from guavachute.http import message
from guavachute.http import server
from guavachute.kernel import kernel
from guavachute.kernel import task

RECEIVE_BYTES = 64 * 1024
LAST_CHUNK = b'\r\n0\r\n\r\n'
SELECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request to forward, and the connection of its waiting caller."""

    request: bytes
    engine: str
    caller: server.DetachedConnection


class CopyRelay(task.Task):
    """A task that copies the bytes of all streams."""

    def __init__(self) -> None:
        super().__init__('copy-relay')
        self._idle: dict[str, list[socket.socket]] = {}
        self._selector = selectors.DefaultSelector()

    def run(self) -> None:
        """Forward requests and copy responses until stopped."""
        self._selector.register(self.mailbox.fileno(), selectors.EVENT_READ)
        while not self.stopping.is_set():
            for key, mask in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    for job in self.mailbox.drain():
                        if isinstance(job, PendingRequest):
                            self._start(job)
                elif mask & selectors.EVENT_WRITE:
                    key.fileobj.send(key.data.request)
                    self._selector.modify(
                        key.fileobj, selectors.EVENT_READ, key.data
                    )
                else:
                    self._copy(key.fileobj, key.data)

    def _start(self, job: PendingRequest) -> None:
        idle = self._idle.setdefault(job.engine, [])
        if idle:
            upstream = idle.pop()
            upstream.send(job.request)
            self._selector.register(upstream, selectors.EVENT_READ, job)
        else:
            upstream = load_stream.connect(job.engine)
            self._selector.register(upstream, selectors.EVENT_WRITE, job)

    def _copy(self, upstream: socket.socket, job: PendingRequest) -> None:
        data = upstream.recv(RECEIVE_BYTES)
        job.caller.socket.send(data)
        if data.endswith(LAST_CHUNK):
            self._selector.unregister(upstream)
            self._idle[job.engine].append(upstream)
            job.caller.release()
        elif not data:
            self._selector.unregister(upstream)
            job.caller.close()


def main() -> None:
    """Serve until stopped; the arguments are the engines' addresses."""
    turn = itertools.cycle(sys.argv[1:])
    relay = CopyRelay()

    def handle(
        request: message.Request, exchange: server.Exchange
    ) -> message.Detach:
        engine = next(turn)
        encoded = load_stream.Request(engine, request.body).encode()
        relay.mailbox.send(PendingRequest(encoded, engine, exchange.detach()))
        return message.DETACH

    hosting = kernel.Kernel()
    serving = server.Server('copy-relay-http', '127.0.0.1', 0, handle)
    hosting.add(relay)
    hosting.add(serving)
    with (
        process.stopped_by_signals(hosting.request_stop),
        hosting.running(),
    ):
        process.announce('copy-relay', http=serving.address)
        hosting.wait()


if __name__ == '__main__':
    main()
