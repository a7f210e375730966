"""HTTP server on top of waitress with one thread for each caller connection.

waitress's own loop parses requests on one thread and handles them on others, which
costs two thread hand-offs for each request. Here, each connection is one task of a
``concurrent.futures`` executor. The task reads, handles and writes with waitress's
channel, parser and task classes.
"""

import concurrent.futures
import functools
import http
import logging
import select
import socket
import struct
import threading
import time

import waitress.channel
import waitress.server
import waitress.task
from waitress.utilities import (
    InternalServerError,
    RequestEntityTooLarge,
    build_http_date,
)

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.http_parser import (
    BodiesTooLarge,
    StrictRequestParser,
    to_request,
)
from monsoonline.adapters.socket_queue import unacknowledged_bytes
from monsoonline.clock import SystemClock
from monsoonline.core.memory_account import MemoryAccount, MemoryRefused, Phase
from monsoonline.core.model import CallerLimits
from monsoonline.core.peer_pace import PeerPace
from monsoonline.types import Answer, Outcome

__all__ = ["HttpServer"]

RECEIVE_BYTES = 64 << 10
# Bytes to receive at the start of a request, which bounds what a caller pipelines.
FIRST_RECEIVE_BYTES = 16 << 10
# Kernel memory for received bytes of a connection.
RECEIVE_BUFFER_BYTES = 32 << 10
# Larger bodies of responses are sent apart from the head, which saves a copy.
MAX_JOINED_BODY_BYTES = 64 << 10
# Longest wait for a caller until the thread of its connection checks its state.
WAIT_SLICE_MS = 500.0
# Time in ms by which a caller may be behind before its connection may be closed for
# another one.
BEHIND_MS = 1_000.0
# Time in ms by which a reader may be ahead of a fair pace, and is at first: what it has
# read is acknowledged in steps, which may be seconds apart.
READER_CREDIT_MS = 3_000.0
# Maximum time for a caller to receive all buffered bytes of a response.
TRANSFER_TIMEOUT_MS = 30_000.0
BACKLOG = 1024
# Maximum delay until the accept loop detects a stop.
ACCEPT_POLL_MS = 100
# Maximum time that a new connection at the limit waits for another one, whose response
# has been written, to become idle. Only that connection's thread has to run for this.
IDLE_WAIT_MS = 100
IDLE_POLL_MS = 0.5
# Limit of all messages in progress, unless the server is given an account.
DEFAULT_MESSAGE_BYTES = 256 << 20
# Exceeds each body. A file would count as memory and be copied.
UNLIMITED_BYTES = 1 << 40
# Delay after which a request may be repeated that found no memory.
BODY_RETRY_AFTER_S = 1
BODY_ERRORS = (BodiesTooLarge, RequestEntityTooLarge)
# Time for which a refused body is still received: closing a connection with unread
# bytes would reset it, and the caller would lose the response.
LINGER_MS = 5_000.0
# Time without a byte of a refused body after which the connection is closed.
LINGER_IDLE_MS = 1_000.0
NO_BODY_STATUSES = frozenset((204, 304))
CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nMonsoonline-Outcome: not-run\r\n"
    b"Content-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)

logger = logging.getLogger(__name__)


@functools.lru_cache(maxsize=2)
def http_date(second):
    """Return the Date header for a Unix time in seconds; cached."""
    return build_http_date(second)


@functools.lru_cache(maxsize=256)
def status_line(status, reason):
    """Return the status line of a response without the line ending; cached."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
    return f"HTTP/1.1 {status} {reason}"


def encode_head(response: Answer, *, method, close, keep_alive=False):
    """Return the encoded head of a response.

    :param method: method of the request
    :param close: whether the connection is closed after this response
    :param keep_alive: whether to send ``Connection: keep-alive``, as HTTP/1.0 callers
        require for a connection that stays open
    """
    lines = [status_line(response.status, response.reason)]
    has_date = False
    length = None if response.status in NO_BODY_STATUSES else str(len(response.body))
    for name, value in response.headers:
        lower_name = name.lower()
        if lower_name == "content-length":
            # For HEAD and 304, this is the length of the body of a GET response.
            length = value if method == "HEAD" or response.status == 304 else length
            continue
        has_date = has_date or lower_name == "date"
        lines.append(f"{name}: {value}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if not has_date:
        lines.append(f"Date: {http_date(int(time.time()))}")
    if close:
        lines.append("Connection: close")
    elif keep_alive:
        lines.append("Connection: keep-alive")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")


def to_timeval(duration_ms):
    """Return a duration as a packed ``timeval`` for socket options."""
    seconds, milliseconds = divmod(int(duration_ms), 1000)
    return struct.pack("ll", seconds, milliseconds * 1000)


class HandlerTask(waitress.task.Task):
    """Runs the request handler of the server for one request."""

    def execute(self):
        """Handle the request and send its response in one write; called by waitress."""
        channel = self.channel
        parsed = self.request
        # After this side shuts down reading, the socket looks as if the caller had
        # closed the connection.
        caller = None if channel.read_shut_down else channel.socket
        cancellation = Cancellation(caller=caller)
        response = channel.server.application(
            to_request(parsed, cancellation=cancellation, memory=channel.memory)
        )
        parsed.drop_body()
        channel.begin_delivery(len(response.body))
        connection = parsed.headers.get("CONNECTION", "").lower()
        tokens = [token.strip() for token in connection.split(",")]
        http_1_0 = parsed.version == "1.0"
        close = (
            "close" in tokens
            or (http_1_0 and "keep-alive" not in tokens)
            or channel.server.closing
            or channel.read_shut_down
        )
        self.close_on_finish = close
        self.wrote_header = True
        head = encode_head(
            response, method=parsed.command, close=close, keep_alive=http_1_0
        )
        body = response.body
        if parsed.command == "HEAD" or response.status in NO_BODY_STATUSES:
            body = b""
        if len(body) <= MAX_JOINED_BODY_BYTES:
            channel.write_soon(head + body)
        else:
            channel.write_soon(head)
            if channel.connected:
                channel.write_soon(body)


class RefusalTask(waitress.task.ErrorTask):
    """Responds to a request that waitress rejected or whose handler raised."""

    def execute(self):
        """Send the refusal; called by waitress."""
        failed = isinstance(self.request.error, InternalServerError)
        outcome = Outcome.UNKNOWN if failed else Outcome.NOT_RUN
        self.response_headers.append(("Monsoonline-Outcome", outcome.value))
        if isinstance(self.request.error, BodiesTooLarge):
            self.channel.server.bodies_refused += 1
            self.response_headers.append(("Retry-After", str(BODY_RETRY_AFTER_S)))
        if isinstance(self.request.error, BODY_ERRORS):
            self.channel.body_refused = True
        super().execute()


class ConnectionChannel(waitress.channel.HTTPChannel):
    """One caller connection; a single thread reads, handles and writes."""

    task_class = HandlerTask
    error_task_class = RefusalTask
    parser_class = StrictRequestParser
    idle_since = None
    # Whether this side has shut down reading. A request that arrived before is still
    # handled.
    read_shut_down = False
    # Whether a request was refused for its body, which may still arrive.
    body_refused = False
    # Time of the last write of a response, None while no response is being written.
    # The caller can act on the response before this thread continues.
    last_write_at = None
    # Whether a request was received from this connection.
    used = False
    # Time by which the bytes of a response must be sent.
    _send_deadline = 0.0
    _idle_timeout_ms = None
    # Bytes sent that the caller has not acknowledged.
    _unread = 0
    # Input that follows the request in progress.
    _unparsed = b""
    # Whether the connection may be closed, since no request runs.
    _interruptible = False
    # Whether the connection was closed for another one.
    _interrupted = False

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        # Held while the connection becomes idle or busy or is closed as idle. Closing
        # therefore either happens before a request begins or does not happen.
        self._idle_lock = threading.Lock()
        self._pace = PeerPace()
        self.memory = self.adj.memory_account.open(
            phase=Phase.RECEIVING, pace=self._pace, give_way=self._give_way
        )

    @property
    def behind_ms(self):
        """Time in ms by which the caller is behind, 0 while a request runs."""
        if not self._interruptible:
            return 0.0
        return self._pace.behind_ms(self.server.clock.now())

    def interrupt(self):
        """Close the connection unless a request is waited for or runs.

        :returns: whether it was closed
        """
        with self._idle_lock:
            if not self._interruptible:
                return False
            self._interruptible = False
            self._interrupted = True
            try:
                self.socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                logger.debug("connection was already closed")
        return True

    def del_channel(self, map=None):
        """Stop counting the connection; called by waitress when it is closed."""
        if self.server.active_channels.get(self._fileno) is self:
            self.adj.memory_account.release_connection()
        super().del_channel(map)

    def begin_delivery(self, size):
        """Count the response in place of the request.

        :param size: size of the body of the response
        """
        # What the caller took for its request is no delay of the response.
        self._pace.reset()
        self.memory.enter(Phase.DELIVERING)
        self.memory.force(size + len(self._unparsed))

    def _give_way(self):
        """Drop the request that is being received, or close the connection."""
        if self.memory.phase is Phase.RECEIVING:
            request = self.request
            if request is not None:
                request.drop_body()
            return True
        return False if self.interrupt() else None

    def close_if_idle(self):
        """Shut down reading if the connection is waiting for a request.

        :returns: whether it was waiting
        """
        with self._idle_lock:
            if self.idle_since is None:
                return False
            self.idle_since = None
            self.read_shut_down = True
            try:
                self.socket.shutdown(socket.SHUT_RD)
            except OSError:
                logger.debug("connection was already closed")
        return True

    def use_blocking_receives(self):
        """Use blocking receives with a timeout in the kernel.

        waitress makes the socket non-blocking, which costs a poll for each call.
        """
        self.socket.setblocking(True)
        self._apply_idle_timeout()

    def _apply_idle_timeout(self):
        """Apply the current idle timeout to the next wait for a request."""
        idle_ms = self.server.limits.idle_timeout_ms
        if idle_ms != self._idle_timeout_ms:
            self._idle_timeout_ms = idle_ms
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVTIMEO, to_timeval(idle_ms)
            )

    def serve(self):
        """Handle requests in order until either side closes the connection."""
        try:
            self.use_blocking_receives()
            while self.connected and not self.close_when_flushed:
                if not self._receive_request():
                    break
                self._handle_requests()
                if self.total_outbufs_len:
                    # Left by an unexpected error that waitress has logged.
                    return
            if self.body_refused and self.connected:
                self._unparsed = b""
                self._discard_input()
        except OSError:
            # The caller reset the connection, so no response can be sent.
            return
        except Exception:
            # No code reads the result of the task, so the error would be lost.
            logger.exception("connection ended by an unexpected error")
        finally:
            for request in (*self.requests, self.request):
                if request is not None:
                    request.close()
            self.memory.release()
            self.handle_close()

    def _handle_requests(self):
        """Handle the requests that have been received, one after another."""
        while self.requests and self.connected:
            self.service()
            if self.total_outbufs_len:
                return
            if self._interrupted:
                self.close_when_flushed = True
            if not self.close_when_flushed:
                self._parse_next()

    def recv(self, buffer_size):
        """Receive some bytes; called by waitress."""
        return super().recv(
            FIRST_RECEIVE_BYTES if self.request is None else buffer_size
        )

    def received(self, data):
        """Parse received bytes up to the end of one request; called by waitress."""
        self._pace.move(len(data))
        self._unparsed += data
        self._parse_next()

    def write_soon(self, data):
        """Send a part of a response; called by waitress.

        Closes the connection if it is lost or the caller does not receive in time.
        """
        if not self.connected:
            raise waitress.channel.ClientDisconnected
        self.last_write_at = time.monotonic()
        view = memoryview(data)
        try:
            view = view[self.socket.send(view, socket.MSG_DONTWAIT) :]
        except BlockingIOError:
            pass
        except OSError as error:
            logger.debug("connection lost", extra={"error": repr(error)})
            self.handle_close()
            return 0
        if view:
            self._send_slowly(view)
        return len(data)

    def _send_slowly(self, view):
        """Send the rest of a part of a response, for which the caller is waited for."""
        self._send_deadline = time.monotonic() + TRANSFER_TIMEOUT_MS / 1e3
        self._pace.reset(credit_ms=READER_CREDIT_MS)
        self._unread = unacknowledged_bytes(self.socket)
        self._interruptible = True
        while view and (sent := self.send(view)):
            view = view[sent:]
            self._note_progress(sent)
        with self._idle_lock:
            self._interruptible = False

    def _note_progress(self, sent):
        """Record what the caller has received since the last call."""
        unread = unacknowledged_bytes(self.socket)
        self._pace.move(max(0, self._unread + sent - unread))
        self._unread = unread

    def send(self, data, do_close=True):
        """Send some bytes, waiting until the caller receives them.

        Closes the connection if it is lost or the caller does not receive in time.
        waitress leaves bytes that cannot be sent in its buffers for its own loop.

        :returns: number of bytes sent, 0 after closing the connection
        """
        while True:
            try:
                return self.socket.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                remaining_ms = (self._send_deadline - time.monotonic()) * 1e3
                if remaining_ms > 0:
                    self._wait_for_caller(select.POLLOUT, remaining_ms)
                    self._note_progress(0)
                    continue
            except OSError as error:
                logger.debug("connection lost", extra={"error": repr(error)})
            self.handle_close()
            return 0

    def _flush_some(self, do_close=True):
        """Send all buffered bytes, or close the connection; called by waitress."""
        self._send_deadline = time.monotonic() + TRANSFER_TIMEOUT_MS / 1e3
        return super()._flush_some(do_close=do_close)

    def _parse_next(self):
        """Parse the received bytes up to the end of one request."""
        while self._unparsed and not self.requests:
            if self.request is None:
                self.request = self.parser_class(self.adj, memory=self.memory)
            request = self.request
            consumed = request.received(self._unparsed)
            self._unparsed = self._unparsed[consumed:]
            if (
                request.expect_continue
                and request.headers_finished
                and not self.sent_continue
            ):
                self.send_continue()
            if request.completed:
                self._complete_request(request)

    def _complete_request(self, request):
        self.sent_continue = False
        self.request = None
        if request.empty:
            request.close()
            return
        if request.error is None:
            try:
                self.memory.enter(Phase.RUNNING)
            except MemoryRefused as error:
                request.refuse(str(error))
            else:
                if self._unparsed:
                    self.memory.force(self.memory.size + len(self._unparsed))
        else:
            # Refused, so that its body is not needed.
            request.close()
        self.used = True
        self.requests.append(request)

    def _receive_request(self):
        self.last_write_at = None
        if self.request is None and not self._receive_first_bytes():
            return False
        if not self.requests and self.connected:
            try:
                self._receive_remainder()
            except BlockingIOError:
                return False
        return self.connected

    def _receive_first_bytes(self):
        """Wait for a request; return whether it has begun."""
        with self._idle_lock:
            self.idle_since = time.monotonic()
        if self.server.draining:
            return False
        self._apply_idle_timeout()
        # Blocks until bytes arrive or the kernel's receive timeout expires.
        self.handle_read()
        with self._idle_lock:
            self.idle_since = None
        return self.connected

    def _receive_remainder(self):
        """Receive the rest of a request.

        The head must arrive within the time limit; a body may take longer as long as
        its caller is not behind by more than that.
        """
        limit_ms = self.server.limits.header_timeout_ms
        deadline = time.monotonic() + limit_ms / 1e3
        self._pace.reset()
        self._interruptible = True
        try:
            while not self.requests and self.connected:
                remaining_ms = (deadline - time.monotonic()) * 1e3
                if self.request is not None and self.request.headers_finished:
                    behind_ms = self._pace.behind_ms(self.server.clock.now())
                    remaining_ms = limit_ms - behind_ms
                if remaining_ms <= 0:
                    raise BlockingIOError("the request did not arrive in time")
                self._receive_some(remaining_ms)
        finally:
            with self._idle_lock:
                self._interruptible = False
        if self._interrupted:
            raise BlockingIOError("the connection was closed for another one")

    def _receive_some(self, timeout_ms):
        """Receive bytes of a request, unless it gave way while they were awaited."""
        if self._wait_for_caller(select.POLLIN, timeout_ms):
            self.handle_read()
        elif self.memory.gave_way:
            request = self.request
            request.refuse("the request gave way to others")
            self._complete_request(request)

    def _discard_input(self):
        """Receive for a short time what the caller sends after a refusal."""
        self.socket.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_MS / 1e3
        self._pace.reset()
        self._interruptible = True
        while (remaining_ms := (deadline - time.monotonic()) * 1e3) > 0:
            if not self._wait(select.POLLIN, min(remaining_ms, LINGER_IDLE_MS)):
                return
            if not self.socket.recv(RECEIVE_BYTES):
                return

    def _wait_for_caller(self, events, timeout_ms):
        """Wait for a short time, which counts as time that the caller takes."""
        timeout_ms = min(timeout_ms, WAIT_SLICE_MS)
        self._pace.begin_wait(self.server.clock.now(), timeout_ms)
        ready = self._wait(events, timeout_ms)
        self._pace.end_wait(self.server.clock.now())
        return ready

    def _wait(self, events, timeout_ms):
        poller = select.poll()
        poller.register(self.socket, events)
        return bool(poller.poll(timeout_ms))


class ConnectionServer(waitress.server.TcpWSGIServer):
    """Accepts connections and runs each as a task of an executor.

    :param limit: maximum number of open connections
    :param essential: whether connections are accepted although there is no memory
    """

    channel_class = ConnectionChannel
    draining = False
    # Whether each connection is closed after its next response.
    closing = False
    # Whether to close the listening socket once its accept queue is empty.
    listener_closing = False
    # Number of requests that found no memory for their bodies.
    bodies_refused = 0
    # Number of connections that were closed for another one as the slowest.
    connections_interrupted = 0
    limits = CallerLimits()

    def __init__(self, application, *, limit, adj, essential=False):
        self._limit = limit
        self._essential = essential
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=limit, thread_name_prefix="connection"
        )
        self.clock = SystemClock()
        super().__init__(
            application, dispatcher=self._executor, adj=adj, sockinfo=adj.listen[0]
        )
        # Inherited by the connections that are accepted.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        # Reverts the non-blocking mode that waitress sets for its own loop.
        self.socket.setblocking(True)

    def use_limits(self, limits):
        """Apply :class:`monsoonline.core.model.CallerLimits` to later requests."""
        self.limits = limits
        self.adj.max_body_bytes = limits.max_body_bytes
        self.adj.max_request_header_size = limits.max_header_bytes

    def add_task(self, task):
        """Do nothing, since the thread of a channel handles its requests."""

    def pull_trigger(self):
        """Do nothing, since waitress's loop is not used."""

    def set_socket_options(self, conn):
        """Disable Nagle's algorithm, so that responses are sent without delay."""
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run_accept_loop(self):
        """Accept connections until the server drains or closes its listening socket."""
        listener = self.socket
        poller = select.poll()
        poller.register(listener, select.POLLIN)
        while not self.draining:
            # Closing a listening socket resets established connections in its accept
            # queue, so these are accepted first.
            closing = self.listener_closing
            if not poller.poll(0 if closing else ACCEPT_POLL_MS):
                if closing:
                    listener.close()
                    return
                continue
            self._accept_one(listener)

    def _accept_one(self, listener):
        try:
            connection, address = listener.accept()
        except OSError:
            if not self.draining:
                logger.warning("accept failed", exc_info=True)
                time.sleep(0.01)
            return
        if self.draining:
            connection.close()
            return
        try:
            self._start_connection(connection, address)
        except Exception as error:
            # The caller has reset the connection, or no thread could be started.
            if not isinstance(error, OSError):
                logger.exception("connection not served")
            connection.close()

    @property
    def busy_connections(self):
        """Number of connections that are receiving or handling a request."""
        channels = list(self.active_channels.values())
        return sum(channel.idle_since is None for channel in channels)

    def stop_accepting(self):
        """Close the listening socket after accepting the established connections."""
        self.listener_closing = True

    def close_idle(self):
        """Close the connections that are waiting for a request."""
        for channel in list(self.active_channels.values()):
            channel.close_if_idle()

    def _start_connection(self, connection, address):
        if not self._ensure_capacity():
            with connection:
                connection.setblocking(False)
                connection.send(CONNECTION_LIMIT_RESPONSE)
            return
        try:
            self.set_socket_options(connection)
            channel = self.channel_class(self, connection, address, self.adj, map={})
        except BaseException:
            self.adj.memory_account.release_connection()
            raise
        try:
            self._executor.submit(channel.serve)
        except RuntimeError:
            channel.handle_close()
            raise

    def _ensure_capacity(self):
        """Count a connection, closing another one if there is no place for it.

        Waits for connections whose response has just been written: a caller can connect
        again before the thread of its previous connection marks that one as idle.

        :returns: whether another connection can be accepted
        """
        started = time.monotonic()
        while len(self.active_channels) >= self._limit:
            if self.close_longest_idle() or self.close_slowest():
                return self._count_connection()
            cutoff = time.monotonic() - IDLE_WAIT_MS / 1e3
            write_times = (c.last_write_at for c in list(self.active_channels.values()))
            if started < cutoff or not any(at and at > cutoff for at in write_times):
                return False
            time.sleep(IDLE_POLL_MS / 1e3)
        return self._count_connection()

    def _count_connection(self):
        """Draw the memory of a connection; return whether there is enough."""
        account = self.adj.memory_account
        if account.take_connection(force=self._essential):
            return True
        if self.close_longest_idle() or self.close_slowest():
            return account.take_connection(force=True)
        return False

    def close_longest_idle(self):
        """Close the connection that has been idle for the longest time.

        Connections that have sent no request for some time are closed first.

        :returns: whether there was an idle connection
        """
        recently = time.monotonic() - BEHIND_MS / 1e3
        idle = []
        for number, channel in list(self.active_channels.items()):
            since = channel.idle_since
            if since is not None:
                silent = not channel.used and since < recently
                idle.append((not silent, since, number, channel))
        return any(channel.close_if_idle() for *_, channel in sorted(idle))

    def close_slowest(self):
        """Close the connection whose caller is furthest behind a fair pace.

        :returns: whether there was one
        """
        behind = [
            (channel.behind_ms, number, channel)
            for number, channel in list(self.active_channels.items())
        ]
        behind = sorted((item for item in behind if item[0] > BEHIND_MS), reverse=True)
        closed = any(channel.interrupt() for _, _, channel in behind)
        self.connections_interrupted += closed
        return closed

    def drain(self):
        """Stop accepting, close idle connections and others after their response."""
        if self.draining:
            return
        self.draining = True
        self.closing = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug("listening socket was already shut down")
        self.close_idle()
        self._executor.shutdown(wait=False)
        self.close()


class HttpServer:
    """An HTTP server with one listening socket.

    :param handler: called with a :class:`Request`, returns an :class:`Answer`
    :param host: IP address to listen on
    :param port: port to listen on, 0 for any free port
    :param workers: maximum number of connections, each with one thread
    :param account: :class:`monsoonline.core.memory_account.MemoryAccount`, one with
        the default limit when omitted
    :param essential: whether connections are accepted although there is no memory
    """

    def __init__(self, *, handler, host, port, workers, account=None, essential=False):
        adjustments = waitress.server.Adjustments(
            host=host,
            port=port,
            ident=None,
            backlog=BACKLOG,
            # The parser applies the limit, since waitress counts the framing too.
            max_request_body_size=UNLIMITED_BYTES,
            max_request_header_size=CallerLimits().max_header_bytes,
            recv_bytes=RECEIVE_BYTES,
            clear_untrusted_proxy_headers=False,
            channel_request_lookahead=1,
            # Connection resets and idle timeouts are not errors of this process.
            log_socket_errors=False,
            inbuf_overflow=UNLIMITED_BYTES,
        )
        adjustments.max_body_bytes = CallerLimits().max_body_bytes
        adjustments.memory_account = account or MemoryAccount(
            max_bytes=DEFAULT_MESSAGE_BYTES, clock=SystemClock()
        )
        self._server = ConnectionServer(
            handler, limit=workers, adj=adjustments, essential=essential
        )
        self._thread = None

    @property
    def address(self):
        """``host:port`` on which the server listens."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    @property
    def open_connections(self):
        """Number of open caller connections."""
        return len(self._server.active_channels)

    @property
    def bodies_refused(self):
        """Number of requests that found no memory for their bodies."""
        return self._server.bodies_refused

    @property
    def connections_interrupted(self):
        """Number of connections that were closed for another one as the slowest."""
        return self._server.connections_interrupted

    def start(self):
        """Start accepting connections in a separate thread."""
        self._thread = threading.Thread(
            target=self._server.run_accept_loop,
            name=f"http-{self.address}",
            daemon=True,
        )
        self._thread.start()

    def use_limits(self, limits):
        """Apply limits to later requests and connections of callers.

        :param limits: :class:`monsoonline.core.model.CallerLimits`
        """
        self._server.use_limits(limits)

    def close(self):
        """Stop accepting connections and close open ones between requests."""
        self._server.drain()

    @property
    def requests_in_flight(self):
        """Number of requests whose response is not yet complete.

        Includes requests whose caller has disconnected while their handler runs, since
        their outcome still has to be recorded.
        """
        return self._server.busy_connections

    def stop_accepting(self):
        """Accept the established connections, then close the listening socket.

        Blocks until the socket is closed.
        """
        self._server.stop_accepting()
        self._thread.join()

    def close_after_response(self):
        """Close every connection after its next response (``Connection: close``)."""
        self._server.closing = True

    def close_idle(self):
        """Close the connections without a request in flight."""
        self._server.close_idle()
