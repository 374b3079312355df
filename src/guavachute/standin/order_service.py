"""A stand-in for a plain service whose calls are not idempotent."""

import threading

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute.standin import base


class Run(msgspec.Struct, frozen=True):
    """A job that the service ran.

    :ivar key: the request's ``Idempotency-Key``, which it doesn't use
    :ivar body: the request's body as text
    """

    id: str
    key: str | None
    request_id: str | None
    body: str


class OrderService(base.StandIn):
    """Runs every job that it receives and records each run."""

    def __init__(
        self, name: str = 'orders', host: str = base.HOST, port: int = 0
    ) -> None:
        super().__init__(name, host, port)
        self._lock = threading.Lock()
        self._runs: list[Run] = []

    def ledger(self) -> list[Run]:
        """Return all runs, oldest first."""
        with self._lock:
            return list(self._runs)

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """Run a job, return one run or list all runs."""
        if request.path == '/jobs' and request.method == 'POST':
            return message.json_response(self._run(request), 201)
        if request.path == '/ledger':
            return message.json_response({'runs': self.ledger()})
        if request.path.startswith('/jobs/') and request.method == 'GET':
            run_id = request.path.removeprefix('/jobs/')
            for run in self.ledger():
                if run.id == run_id:
                    return message.json_response(run)
        return base.not_found()

    def _run(self, request: message.Request) -> Run:
        with self._lock:
            run = Run(
                id=f'job-{len(self._runs)}',
                key=request.headers.get('idempotency-key'),
                request_id=request.headers.get('x-request-id'),
                body=request.body.decode('utf-8', 'replace'),
            )
            self._runs.append(run)
        return run
