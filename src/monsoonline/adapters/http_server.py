"""HTTP servers by waitress, one thread for each caller connection.

waitress's own loop parses on one thread and serves on others, which costs two
thread hand-offs for each request. Here each connection is one task of a
``concurrent.futures`` executor that reads, serves and writes with waitress's
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
from waitress.utilities import InternalServerError, build_http_date

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.http_parser import CheckedRequestParser, request_of
from monsoonline.core.model import CallerLimits
from monsoonline.types import Answer, Outcome

__all__ = ["HttpServer"]

RECEIVE_BYTES = 64 << 10
# Above the largest answer, since a channel here never waits for another thread.
OUTPUT_LIMIT_BYTES = 64 << 20
# Longest time for one answer to be taken by the caller.
TRANSFER_TIMEOUT_MS = 30_000.0
BACKLOG = 1024
# Bound of the delay with which the accepting thread notices a stop.
ACCEPT_POLL_MS = 100
# Longest time a new connection waits for one whose answer has been written to become
# idle. Only the connection's own thread has to run for that.
ROOM_WAIT_MS = 100
ROOM_POLL_MS = 0.5
NO_BODY_STATUSES = frozenset((204, 304))
FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nMonsoonline-Outcome: not-run\r\n"
    b"Content-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)

logger = logging.getLogger(__name__)


@functools.lru_cache(maxsize=2)
def http_date(second):
    """Return the Date header of a second since 1970; cached."""
    return build_http_date(second)


@functools.lru_cache(maxsize=256)
def status_line(status, reason):
    """Return the status line of an answer without line end."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
    return f"HTTP/1.1 {status} {reason}"


def encode_answer(answer: Answer, *, method, close, keep_alive=False):
    """Return the bytes of an answer.

    :param method: method of the request, which decides whether a body follows
    :param close: whether the connection ends with this answer
    :param keep_alive: whether an HTTP/1.0 caller must be told that it stays open
    """
    lines = [status_line(answer.status, answer.reason)]
    dated = False
    length = None if answer.status in NO_BODY_STATUSES else str(len(answer.body))
    for name, value in answer.headers:
        lowered = name.lower()
        if lowered == "content-length":
            # Describes the body that a GET would have returned.
            length = value if method == "HEAD" or answer.status == 304 else length
            continue
        dated = dated or lowered == "date"
        lines.append(f"{name}: {value}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if not dated:
        lines.append(f"Date: {http_date(int(time.time()))}")
    if close:
        lines.append("Connection: close")
    elif keep_alive:
        lines.append("Connection: keep-alive")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    if method == "HEAD" or answer.status in NO_BODY_STATUSES:
        return head
    return head + answer.body


def kernel_time(duration_ms):
    """Return a duration as the kernel's socket options take it."""
    seconds, milliseconds = divmod(int(duration_ms), 1000)
    return struct.pack("ll", seconds, milliseconds * 1000)


class HandlerTask(waitress.task.Task):
    """Runs the server's handler for one request."""

    def execute(self):
        """Answer the request with one write; called by waitress."""
        channel = self.channel
        parsed = self.request
        # After a hang-up by this side the socket looks as if the caller had left.
        caller = None if channel.hung_up else channel.socket
        cancellation = Cancellation(caller=caller)
        answer = channel.server.application(
            request_of(parsed, cancellation=cancellation)
        )
        connection = parsed.headers.get("CONNECTION", "").lower()
        tokens = [token.strip() for token in connection.split(",")]
        old = parsed.version == "1.0"
        close = (
            "close" in tokens
            or (old and "keep-alive" not in tokens)
            or channel.server.closing
            or channel.hung_up
        )
        self.close_on_finish = close
        self.wrote_header = True
        channel.write_soon(
            encode_answer(answer, method=parsed.command, close=close, keep_alive=old)
        )


class RefusalTask(waitress.task.ErrorTask):
    """Answers a request that waitress refused, or whose handler raised."""

    def execute(self):
        """Send the refusal; called by waitress."""
        failed = isinstance(self.request.error, InternalServerError)
        outcome = Outcome.UNKNOWN if failed else Outcome.NOT_RUN
        self.response_headers.append(("Monsoonline-Outcome", outcome.value))
        super().execute()


class ConnectionChannel(waitress.channel.HTTPChannel):
    """One caller connection, read, served and written by one thread."""

    task_class = HandlerTask
    error_task_class = RefusalTask
    parser_class = CheckedRequestParser
    idle_since = None
    # Whether this side has ended the connection for reading. A request that had
    # arrived before is still served.
    hung_up = False
    # When the last part of an answer was given to the kernel; None while no answer
    # is being written. The caller can act on the answer before this thread goes on.
    answering_since = None
    _idle_timeout_ms = None

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        # Held while the connection becomes idle, busy or is hung up, so that a request
        # begins either before a hang-up, which then does not happen, or after it.
        self._idle_lock = threading.Lock()

    def hang_up_if_idle(self):
        """End the connection if it waits for a request.

        :returns: whether it did
        """
        with self._idle_lock:
            if self.idle_since is None:
                return False
            self.idle_since = None
            self.hung_up = True
            try:
                self.socket.shutdown(socket.SHUT_RD)
            except OSError:
                logger.debug("connection was closed before")
        return True

    def use_kernel_timeouts(self):
        """Let receive and send block up to a limit without a poll before each.

        waitress makes the socket non-blocking, which costs a poll for each call.
        """
        self.socket.setblocking(True)
        send = kernel_time(TRANSFER_TIMEOUT_MS)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, send)
        self._follow_idle_timeout()

    def _follow_idle_timeout(self):
        """Use the limit in effect for the next wait for a request."""
        idle_ms = self.server.limits.idle_timeout_ms
        if idle_ms != self._idle_timeout_ms:
            self._idle_timeout_ms = idle_ms
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVTIMEO, kernel_time(idle_ms)
            )

    def serve(self):
        """Serve requests in order until either side closes the connection."""
        try:
            self.use_kernel_timeouts()
            while self.connected and not self.close_when_flushed:
                if not self._receive_request():
                    break
                while self.requests and self.connected:
                    self.service()
                    if not self._flush():
                        return
        except OSError:
            # The caller reset the connection; there is nobody left to tell.
            return
        except Exception:
            # Nothing waits for the task's result, so the error would go unseen.
            logger.exception("connection ended by an unexpected error")
        finally:
            self.handle_close()

    def write_soon(self, data):
        """Send a part of an answer; called by waitress."""
        self.answering_since = time.monotonic()
        return super().write_soon(data)

    def _receive_request(self):
        self.answering_since = None
        with self._idle_lock:
            self.idle_since = None if self.request else time.monotonic()
        if self.request is None and self.server.draining:
            return False
        self._follow_idle_timeout()
        try:
            # Blocks until bytes arrive or the kernel's receive timeout passes.
            self.handle_read()
            with self._idle_lock:
                self.idle_since = None
            if not self.requests:
                self._receive_rest()
        except BlockingIOError:
            return False
        return self.connected

    def _receive_rest(self):
        limit = time.monotonic() + self.server.limits.header_timeout_ms / 1e3
        while not self.requests and self.connected and self._flush():
            remaining_ms = (limit - time.monotonic()) * 1e3
            if remaining_ms <= 0 or not self._wait(select.POLLIN, remaining_ms):
                raise BlockingIOError("the request did not arrive in time")
            self.handle_read()

    def _flush(self):
        while self.total_outbufs_len and self.connected:
            if not self._wait(select.POLLOUT, TRANSFER_TIMEOUT_MS):
                return False
            self._flush_some(do_close=False)
        return self.connected

    def _wait(self, events, timeout_ms):
        poller = select.poll()
        poller.register(self.socket, events)
        return bool(poller.poll(timeout_ms))


class ConnectionServer(waitress.server.TcpWSGIServer):
    """Accepts connections and gives each a task of the executor.

    :param limit: connections open at once
    """

    channel_class = ConnectionChannel
    draining = False
    # Whether each connection ends with its next answer.
    closing = False
    # Whether the listening socket closes once nothing waits to be accepted.
    listener_closing = False
    limits = CallerLimits()

    def __init__(self, application, *, limit, adj):
        self._limit = limit
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=limit, thread_name_prefix="connection"
        )
        super().__init__(
            application, dispatcher=self._executor, adj=adj, sockinfo=adj.listen[0]
        )
        # waitress accepts with a non-blocking socket from its loop.
        self.socket.setblocking(True)

    def use_limits(self, limits):
        """Use :class:`monsoonline.core.model.CallerLimits` for further requests."""
        self.limits = limits
        self.adj.max_request_body_size = limits.max_body_bytes
        self.adj.max_request_header_size = limits.max_header_bytes

    def add_task(self, task):
        """Do nothing: a channel serves its requests itself."""

    def pull_trigger(self):
        """Do nothing: no loop waits."""

    def set_socket_options(self, conn):
        """Send answers without delay."""
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def accept_all(self):
        """Accept connections until the listening socket is to be closed."""
        listener = self.socket
        poller = select.poll()
        poller.register(listener, select.POLLIN)
        while not self.draining:
            # Closing a listening socket resets connections that the kernel has
            # established but nobody has accepted, so these are accepted first.
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
            self._start(connection, address)
        except OSError:
            # The caller reset the connection before it was served.
            connection.close()

    @property
    def busy_connections(self):
        """Number of connections that receive, serve or answer a request."""
        channels = list(self.active_channels.values())
        return sum(channel.idle_since is None for channel in channels)

    def stop_accepting(self):
        """Close the listening socket after accepting what has connected."""
        self.listener_closing = True

    def close_idle(self):
        """End the connections that wait for a request."""
        for channel in list(self.active_channels.values()):
            channel.hang_up_if_idle()

    def _start(self, connection, address):
        if not self._make_room():
            with connection:
                connection.setblocking(False)
                connection.send(FULL)
            return
        self.set_socket_options(connection)
        channel = self.channel_class(self, connection, address, self.adj, map={})
        self._executor.submit(channel.serve)

    def _make_room(self):
        """Close an idle connection if the limit is reached.

        Waits for connections that have just been answered, since a caller can connect
        again before the thread of its former connection notes that it is idle.

        :returns: whether another connection can be served
        """
        started = time.monotonic()
        while len(self.active_channels) >= self._limit:
            if self.close_longest_idle():
                return True
            limit = time.monotonic() - ROOM_WAIT_MS / 1e3
            answering = (c.answering_since for c in list(self.active_channels.values()))
            if started < limit or not any(at and at > limit for at in answering):
                return False
            time.sleep(ROOM_POLL_MS / 1e3)
        return True

    def close_longest_idle(self):
        """Close the connection that waits longest for a request.

        :returns: whether there was one
        """
        idle = [
            (channel.idle_since, number, channel)
            for number, channel in list(self.active_channels.items())
        ]
        idle = sorted(item for item in idle if item[0] is not None)
        return any(channel.hang_up_if_idle() for _, _, channel in idle)

    def drain(self):
        """Accept no more, close idle connections, end others after their answer."""
        if self.draining:
            return
        self.draining = True
        self.closing = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug("listening socket was shut down before")
        self.close_idle()
        self._executor.shutdown(wait=False)
        self.close()


class HttpServer:
    """One listening HTTP server.

    :param handler: called with a :class:`Request`, returns an :class:`Answer`
    :param host: IP number to listen on
    :param port: port, 0 for any free one
    :param workers: connections served at once, one thread each
    """

    def __init__(self, *, handler, host, port, workers):
        adjustments = waitress.server.Adjustments(
            host=host,
            port=port,
            ident=None,
            backlog=BACKLOG,
            max_request_body_size=CallerLimits().max_body_bytes,
            max_request_header_size=CallerLimits().max_header_bytes,
            recv_bytes=RECEIVE_BYTES,
            outbuf_high_watermark=OUTPUT_LIMIT_BYTES,
            clear_untrusted_proxy_headers=False,
            channel_request_lookahead=1,
            # A reset or an idle timeout is no error of this process.
            log_socket_errors=False,
        )
        self._server = ConnectionServer(handler, limit=workers, adj=adjustments)
        self._thread = None

    @property
    def address(self):
        """``host:port`` on which the server listens."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    @property
    def open_connections(self):
        """Number of open caller connections."""
        return len(self._server.active_channels)

    def start(self):
        """Accept connections in a thread of its own."""
        self._thread = threading.Thread(
            target=self._server.accept_all, name=f"http-{self.address}", daemon=True
        )
        self._thread.start()

    def use_limits(self, limits):
        """Bound callers' requests and connections from now on.

        :param limits: :class:`monsoonline.core.model.CallerLimits`
        """
        self._server.use_limits(limits)

    def close(self):
        """Accept no more connections; those open end between requests."""
        self._server.drain()

    @property
    def requests_in_flight(self):
        """Requests not yet answered completely.

        Requests whose caller has disconnected count while their handler runs, since
        their outcome is still to be recorded.
        """
        return self._server.busy_connections

    def stop_accepting(self):
        """Accept what has connected so far, then close the listening socket.

        Returns when the socket is closed.
        """
        self._server.stop_accepting()
        self._thread.join()

    def close_after_answer(self):
        """Close every connection after its next answer (``Connection: close``)."""
        self._server.closing = True

    def close_idle(self):
        """Close the connections on which no request is in flight."""
        self._server.close_idle()
