"""The base class of all stand-ins: an HTTP server that injects faults."""

import abc
import contextlib
import threading
import typing

from guavachute.http import message
from guavachute.http import server
from guavachute import outcome
from guavachute.standin import faults

HOST = '127.0.0.1'

Reply = message.Response | message.Detach


def error(
    status: int, reason: str, retry_after_s: int | None = None
) -> message.Response:
    """Return an error response whose JSON body is ``{"error": reason}``."""
    response = message.json_response({'error': reason}, status)
    if retry_after_s is not None:
        response.headers['Retry-After'] = str(retry_after_s)
    return response


def not_found() -> message.Response:
    """Return the 404 response for a path that the stand-in doesn't serve."""
    return error(404, 'not_found')


def bad_request(failure: outcome.Failure) -> message.Response:
    """Return the 400 response for a body that can't be decoded."""
    return error(400, failure.detail)


class StandIn(server.Server, abc.ABC):
    """An HTTP service that injects the faults that a test configures.

    Every stand-in also serves ``POST /faults``, ``DELETE /faults`` and
    ``GET /healthz``.

    :ivar faults: the pending faults, which ``POST /faults`` adds to
    :ivar on_crash: called when a fault crashes the stand-in; the default
        closes all connections and stops listening
    """

    def __init__(
        self, name: str, host: str = HOST, port: int = 0, threads: int = 16
    ) -> None:
        super().__init__(name, host, port, self._handle, threads=threads)
        self.faults = faults.FaultTable()
        self.on_crash: typing.Callable[[], None] = self.abort
        self._silent_connections: list[server.DetachedConnection] = []
        self._silent_lock = threading.Lock()

    @abc.abstractmethod
    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> Reply:
        """Answer *request* without a fault; called in a worker thread."""

    def implements_fault(
        self, request: message.Request, fault: faults.Fault
    ) -> bool:
        """Return whether :meth:`serve_with_fault` implements *fault*."""
        return False

    def serve_with_fault(
        self,
        request: message.Request,
        exchange: server.Exchange,
        fault: faults.Fault,
    ) -> Reply:
        """Answer *request* and inject *fault*.

        Called only if :meth:`implements_fault` returned True.
        """
        raise NotImplementedError

    def crash(self) -> None:
        """Call :attr:`on_crash`, which simulates a killed VM."""
        self.on_crash()

    def request_stop(self) -> None:
        """Stop listening and close the connections left unanswered."""
        with self._silent_lock:
            for connection in self._silent_connections:
                connection.close()
            self._silent_connections.clear()
        super().request_stop()

    def _handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> Reply:
        if request.path == '/faults':
            return self._configure_faults(request)
        fault = self.faults.consume(request)
        if fault is None and request.path == '/healthz':
            return message.json_response({'ok': True})
        if fault is None:
            return self.serve(request, exchange)
        if self.implements_fault(request, fault):
            return self.serve_with_fault(request, exchange, fault)
        return self._inject_fault(request, exchange, fault)

    def _configure_faults(self, request: message.Request) -> message.Response:
        if request.method == 'DELETE':
            self.faults.clear()
            return message.json_response({})
        orders = message.decode_json(request.body, faults.FaultOrders)
        if isinstance(orders, outcome.Failure):
            return bad_request(orders)
        for fault in orders.faults:
            self.faults.add(fault)
        return message.json_response({})

    def _inject_fault(
        self,
        request: message.Request,
        exchange: server.Exchange,
        fault: faults.Fault,
    ) -> Reply:
        match fault.kind:
            case faults.Kind.REFUSE:
                return error(503, 'refused_as_ordered')
            case faults.Kind.STALL:
                self.stopping.wait(fault.delay_s)
                return self.serve(request, exchange)
            case faults.Kind.FOREIGN:
                return self.serve(request, exchange)
            case faults.Kind.DOUBLE:
                self.serve(request, exchange)
                return self.serve(request, exchange)
            case faults.Kind.LOSE_ANSWER:
                self.serve(request, exchange)
                self.stopping.wait(fault.delay_s)
        connection = exchange.detach()
        if fault.kind is faults.Kind.SILENT:
            with self._silent_lock:
                self._silent_connections.append(connection)
            return message.DETACH
        if fault.kind is faults.Kind.CRASH:
            self.crash()
        with contextlib.suppress(OSError):
            connection.close()
        return message.DETACH
