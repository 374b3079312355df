"""An HTTP server on cheroot whose connections can be detached.

cheroot's worker threads read and check requests. A handler either returns
a complete response, or detaches the connection, which frees the worker at
once. A task then writes the response and returns the connection to
cheroot for the next request.

With limits on what callers may hold, :mod:`guavachute.http.intake` reads the
requests, and a worker gets a connection only when its request is complete.
"""

import contextlib
import http
import socket
import threading
import typing
import weakref

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server

from guavachute.decide.ingress.intake import process_limits
from guavachute.http import intake
from guavachute.http import message
from guavachute.http import request_framing
from guavachute.kernel import receiving
from guavachute.kernel import task
from guavachute.observe import logs

_log = logs.logger('http')

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_TIMEOUT_S = 10
LISTEN_BACKLOG = 1024
WORKER_THREADS = 16
STOP_TIMEOUT_S = 2
SHORTAGE_RETRY_S = b'1'
"""Retry-After of requests that are refused as the callers hold too much."""

RequestCost = typing.Callable[[bytearray, int], int]
"""What a whole request costs in memory while it is served. Any larger number
may be returned if that exceeds the second argument."""

ErrorBody = typing.Callable[[int, str], bytes]


class Connection(cheroot_server.HTTPConnection):
    """A connection that can be detached from its worker thread."""

    def __init__(self, server: typing.Any, *arguments: typing.Any) -> None:
        super().__init__(server, *arguments)
        if server.reader is not None:
            self.rfile.close()
            self.rfile: typing.Any = request_framing.RequestFile()
        self._detached_threads: set[int] = set()
        self.widened_bytes = 0
        with server.live_lock:
            server.live_connections.add(self)

    def detach_from_worker(self) -> None:
        """Ignore the next :meth:`close` of the calling worker thread."""
        self._detached_threads.add(threading.get_ident())

    def close(self) -> None:
        """Close, unless called by the worker that detached the connection.

        The task may have answered and returned the connection to cheroot
        before that worker gets here, so a flag that the task resets
        wouldn't work; the thread's id is recorded instead.
        """
        if threading.get_ident() in self._detached_threads:
            self._detached_threads.discard(threading.get_ident())
            return
        super().close()
        if self.server.reader is not None:
            self.server.reader.forget(self)


class DetachedConnection:
    """A connection that a task owns until it releases or closes it.

    :ivar socket: non-blocking; the owner writes the whole response to it
    """

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.socket: socket.socket = connection.socket
        self.socket.setblocking(False)

    def release(self) -> None:
        """Return the connection to cheroot, which reads the next request."""
        self.socket.settimeout(self._connection.server.timeout)
        self._connection.server.put_conn(self._connection)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._connection.close()


class Exchange:
    """Access to the connection of a request, for its handler."""

    def __init__(self, request: cheroot_server.HTTPRequest) -> None:
        self._request = request

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller may send another request on the connection."""
        return not self._request.close_connection

    def detach(self) -> DetachedConnection:
        """Detach the connection; the handler must then return DETACH."""
        connection = self._request.conn
        connection.detach_from_worker()
        self._request.close_connection = True
        # Otherwise cheroot writes an empty response after the handler.
        self._request.sent_headers = True
        return DetachedConnection(connection)


def _plain_error(status: int, detail: str) -> bytes:
    return f'{status} {detail}\n'.encode()


class _HttpRequest(cheroot_server.HTTPRequest):
    """Writes cheroot's own errors in the error format of the server."""

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
    """Converts cheroot's requests and writes responses."""

    def respond(self) -> None:
        """Handle one request."""
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
    reader: intake.Intake | None = None
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
        """Stop at once, without waiting for the timeout of the selector.

        A connection to the own address wakes the selector.
        """
        if self.ready and self.socket is not None:
            self._connections._stop_requested = True
            with contextlib.suppress(OSError):
                socket.create_connection(
                    self.socket.getsockname(), STOP_TIMEOUT_S
                ).close()
        super().stop()

    def process_conn(self, conn: Connection) -> None:
        """Read a request of a connection that was accepted or is readable."""
        if self.reader is None:
            super().process_conn(conn)
        else:
            self.reader.add(conn)

    def put_conn(self, conn: Connection) -> None:
        """Read the next request of a connection."""
        if self.reader is None:
            super().put_conn(conn)
        else:
            self.reader.add(conn)

    def serve_read(self, conn: Connection) -> None:
        """Let a worker serve a request that was completely read."""
        super().process_conn(conn)

    def end_with(self, error: Exception) -> None:
        """Stop, as the thread that reads requests has failed."""
        self.interrupt: typing.Any = error

    def refusal(self, status: int, detail: str) -> bytes:
        """The answer to a request that is not served."""
        body = self.error_body(status, detail)
        phrase = http.HTTPStatus(status).phrase
        headers = [
            (b'Content-Type', self.error_content_type.encode()),
            (b'Content-Length', str(len(body)).encode()),
            (b'Connection', b'close'),
            *self.error_headers(),
        ]
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'Retry-After', SHORTAGE_RETRY_S))
        lines = [f'HTTP/1.1 {status} {phrase}'.encode()]
        lines += [b'%s: %s' % header for header in headers]
        return b'\r\n'.join(lines) + b'\r\n\r\n' + body

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Write cheroot's messages to the process's log."""
        if traceback:
            _log.exception('{}', msg)
        else:
            _log.debug('{}', msg)


class Server(task.Task):
    """Serves HTTP at one address.

    The address is bound when the server is created.

    :param host: the IP address to listen on
    :param port: 0 lets the operating system choose; see :attr:`address`
    :param handler: called in a worker thread for each request
    :param reuse_port: share the port with other processes
    :param threads: number of worker threads
    :param max_body_bytes: a larger body gets status 413
    :param read_timeout_s: timeout of each read, and of idle connections
    :param limits: what all callers together may hold; None without limits
    :param request_cost: with *limits*, estimates what a request costs
    :param count: with *limits*, increases a counter
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
        limits: process_limits.Limits | None = None,
        request_cost: RequestCost = lambda data, limit: 2 * len(data),
        count: typing.Callable[[str], None] = lambda name: None,
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
        if limits is not None:
            # The intake bounds bodies; cheroot would count chunk sizes too.
            self._server.max_request_body_size = 0
            self._server.reader = intake.Intake(
                intake.Bounds(
                    limits,
                    MAX_HEADER_BYTES,
                    max_body_bytes,
                    read_timeout_s,
                    request_cost,
                ),
                self._server.serve_read,
                self._server.refusal,
                count,
                self._server.end_with,
            )
        self._server.prepare()
        if limits is not None and self._server.socket is not None:
            receiving.limit(self._server.socket, limits.unread_bytes)

    def format_errors(
        self,
        error_body: ErrorBody,
        content_type: str,
        headers: typing.Callable[[], list[tuple[bytes, bytes]]] = list,
    ) -> None:
        """Set the format of the errors that cheroot itself returns.

        :param error_body: called with the status and the detail
        :param headers: called for additional headers
        """
        self._server.error_body = error_body
        self._server.error_content_type = content_type
        self._server.error_headers = headers

    @property
    def host(self) -> str:
        """The IP address that the server listens on."""
        return self._server.bind_addr[0]

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return f'{self.host}:{self.port}'

    def run(self) -> None:
        """Serve until stopped."""
        if self._server.reader is not None:
            self._server.reader.start()
        self._server.serve()

    def request_stop(self) -> None:
        """Stop listening; requests in worker threads are finished.

        Requests that were read in part are refused.
        """
        super().request_stop()
        if self._server.reader is not None:
            self._server.reader.stop()
        self._server.stop()
        if self._server.reader is not None:
            self._server.reader.join()

    def abort(self) -> None:
        """Shut down all connections, as if the process were killed.

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
