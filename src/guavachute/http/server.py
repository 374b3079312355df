"""An HTTP server on cheroot whose connections a task can take over.

cheroot's worker threads read and check requests. A handler either
returns a whole response, or takes the connection over (the worker is
free at once), answers from the task that moves the bytes of all
streams, and hands the connection back for the next request.
"""

import contextlib
import http
import socket
import threading
import typing
import weakref

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server

from guavachute.http import message
from guavachute.kernel import task
from guavachute.observe import logs

_log = logs.logger('http')

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_TIMEOUT_S = 10
LISTEN_BACKLOG = 1024
WORKER_THREADS = 16
STOP_TIMEOUT_S = 2

ErrorBody = typing.Callable[[int, str], bytes]


class Connection(cheroot_server.HTTPConnection):
    """A connection that a task can take over from its worker thread."""

    def __init__(self, server: typing.Any, *arguments: typing.Any) -> None:
        super().__init__(server, *arguments)
        self._detached_threads: set[int] = set()
        with server.live_lock:
            server.live_connections.add(self)

    def detach_from_worker(self) -> None:
        """Let this thread's worker forget the connection."""
        self._detached_threads.add(threading.get_ident())

    def close(self) -> None:
        """Close, unless called by the worker that gave it away.

        The task may have answered and handed the connection back before
        that worker gets here, so a flag that the task resets won't do.
        """
        if threading.get_ident() in self._detached_threads:
            self._detached_threads.discard(threading.get_ident())
            return
        super().close()


class Taken:
    """A connection in the hands of a task.

    :ivar socket: non-blocking; the owner writes the whole response to it
    """

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.socket: socket.socket = connection.socket
        self.socket.setblocking(False)

    def hand_back(self) -> None:
        """Let cheroot read the next request from the connection."""
        self.socket.settimeout(self._connection.server.timeout)
        self._connection.server.put_conn(self._connection)

    def close(self) -> None:
        """End the connection."""
        with contextlib.suppress(OSError):
            self._connection.close()


class Exchange:
    """What a handler may do beside returning a response."""

    def __init__(self, request: cheroot_server.HTTPRequest) -> None:
        self._request = request

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller wants to send another request."""
        return not self._request.close_connection

    def take(self) -> Taken:
        """Take the connection over; the handler then returns DETACH."""
        connection = self._request.conn
        connection.detach_from_worker()
        self._request.close_connection = True
        # Else cheroot writes an empty answer after the handler.
        self._request.sent_headers = True
        return Taken(connection)


def _plain_error(status: int, detail: str) -> bytes:
    return f'{status} {detail}\n'.encode()


class _HttpRequest(cheroot_server.HTTPRequest):
    """Reports cheroot's own refusals in the server's error format."""

    def simple_response(self, status: str, msg: str = '') -> None:
        code, _, phrase = str(status).partition(' ')
        if int(code) < http.HTTPStatus.BAD_REQUEST:
            super().simple_response(status, msg)
            return
        self.close_connection = True
        self.status: typing.Any = str(status).encode()
        body = self.server.error_body(int(code), msg or phrase)
        self.outheaders = [
            (b'Content-Type', self.server.error_content_type.encode()),
            (b'Content-Length', str(len(body)).encode()),
            *self.server.error_headers(),
        ]
        if not self.sent_headers:
            self.sent_headers = True
            with contextlib.suppress(OSError):
                self.send_headers()
                self.conn.wfile.write(body)


Connection.RequestHandlerClass = _HttpRequest


class _Gateway(cheroot_server.Gateway):
    """Turns cheroot's request into ours and writes the response."""

    def respond(self) -> None:
        """Serve one request."""
        request = self._read_request()
        if request is None:
            return
        exchange = Exchange(self.req)
        response = self.req.server.handler(request, exchange)
        if isinstance(response, message.Response):
            self._write(response)

    def _read_request(self) -> message.Request | None:
        raw = self.req
        try:
            body = raw.rfile.read()
        except cheroot_errors.MaxSizeExceeded:
            raw.simple_response('413 Request Entity Too Large')
            return None
        except ValueError as error:
            raw.simple_response('400 Bad Request', str(error))
            return None
        length = raw.inheaders.get(b'Content-Length')
        if length is not None and len(body) < int(length):
            raw.simple_response('400 Bad Request', 'body is truncated')
            return None
        return message.Request(
            method=raw.method.decode('latin-1'),
            path=raw.path.decode('utf-8', 'replace'),
            query=message.parse_query(raw.qs.decode('latin-1')),
            headers={
                name.decode('latin-1').lower(): value.decode('latin-1')
                for name, value in raw.inheaders.items()
            },
            body=body,
        )

    def _write(self, response: message.Response) -> None:
        raw = self.req
        phrase = http.HTTPStatus(response.status).phrase
        raw.status = f'{response.status} {phrase}'.encode()
        raw.outheaders = [
            (b'Content-Type', response.content_type.encode()),
            *(
                (name.encode(), value.encode('latin-1', 'replace'))
                for name, value in response.headers.items()
            ),
        ]
        if isinstance(response.body, bytes):
            raw.outheaders.append(
                (b'Content-Length', str(len(response.body)).encode())
            )
            raw.ensure_headers_sent()
            if raw.method != b'HEAD':
                raw.write(response.body)
            return
        raw.ensure_headers_sent()
        for chunk in response.body:
            raw.write(chunk)
            raw.conn.wfile.flush()


class _CherootServer(cheroot_server.HTTPServer):
    ConnectionClass = Connection
    _connections: typing.Any
    live_connections: weakref.WeakSet[Connection]
    live_lock: threading.Lock
    handler: message.Handler
    error_body: ErrorBody = staticmethod(_plain_error)
    error_content_type = 'text/plain'
    error_headers: typing.Callable[[], list[tuple[bytes, bytes]]] = (
        staticmethod(list)
    )

    def stop(self) -> None:
        """Stop; cheroot alone would sleep on in its selector first."""
        if self.ready and self.socket is not None:
            self._connections._stop_requested = True
            with contextlib.suppress(OSError):
                socket.create_connection(
                    self.socket.getsockname(), STOP_TIMEOUT_S
                ).close()
        super().stop()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's messages to our log."""
        if traceback:
            _log.exception('{}', msg)
        else:
            _log.debug('{}', msg)


class Server(task.Task):
    """Serves HTTP at one address.

    :param host: the numeric IP to listen at
    :param port: 0 lets the kernel choose; read :attr:`address` then
    :param handler: called in a worker thread for each request
    :param error_body: formats the refusals that cheroot makes itself
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        handler: message.Handler,
        *,
        reuse_port: bool = False,
        threads: int = WORKER_THREADS,
        max_body_bytes: int = MAX_BODY_BYTES,
        read_timeout_s: int = READ_TIMEOUT_S,
    ) -> None:
        super().__init__(name)
        self._server = _CherootServer(
            (host, port),
            _Gateway,
            minthreads=threads,
            server_name='guavachute',
            reuse_port=reuse_port,
        )
        self._server.live_connections = weakref.WeakSet()
        self._server.live_lock = threading.Lock()
        self._server.handler = handler
        self._server.timeout = read_timeout_s
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.prepare()

    def format_errors(
        self,
        error_body: ErrorBody,
        content_type: str,
        headers: typing.Callable[[], list[tuple[bytes, bytes]]] = list,
    ) -> None:
        """Set how refusals of malformed requests read."""
        self._server.error_body = error_body
        self._server.error_content_type = content_type
        self._server.error_headers = headers

    @property
    def host(self) -> str:
        """The IP number listened at."""
        return self._server.bind_addr[0]

    @property
    def port(self) -> int:
        """The port listened at."""
        return self._server.bind_addr[1]

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return f'{self.host}:{self.port}'

    def run(self) -> None:
        """Serve until stopped."""
        self._server.serve()

    def request_stop(self) -> None:
        """Stop listening; requests in worker threads finish."""
        super().request_stop()
        self._server.stop()

    def abort(self) -> None:
        """End as a killed process does: every connection breaks.

        Returns at once, so that a handler may call it.
        """
        listener = self._server.socket
        sockets = [listener] if listener is not None else []
        with self._server.live_lock:
            live = list(self._server.live_connections)
        sockets += [connection.socket for connection in live]
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.request_stop, daemon=True).start()
