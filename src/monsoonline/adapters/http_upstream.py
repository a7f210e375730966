"""Exchanges with upstreams over pooled ``http.client`` connections."""

import http.client
import io
import socket
import threading

from monsoonline.adapters.cancellation import Cancellation, ExchangeCancelled
from monsoonline.adapters.connection_pool import (
    RECEIVE_SLICE_MS,
    ConnectionLimitReached,
    ConnectionPool,
)
from monsoonline.adapters.http_response import AnswerStream, read_answer

__all__ = ["ExchangeFailed", "HttpUpstreamTransport"]

DEFAULT_CONNECTIONS = 280
CONNECT_TIMEOUT_MS = 250.0
# A process that ends closes its connections and its listening socket one by one.
CRASH_CHECK_DELAY_MS = 20.0
# Fits into the empty send buffer of a connection between exchanges, so sending it
# cannot block.
UNTIMED_SEND_BYTES = 8 << 10
DEADLINE_HEADER = "Monsoonline-Deadline-Ms"
CONNECTION_LIMIT = "connection-limit"
DEADLINE_PASSED = "deadline"
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class ExchangeFailed(Exception):
    """An exchange gave no whole answer.

    :param message: text for people
    :param sent: whether any byte of the request may have been written
    :param timed_out: whether the deadline ended it
    :param cancelled: whether the answer was no longer wanted
    :param answered: whether a byte of an answer arrived
    :param own_cause: code of a cause in this entry, which says nothing about the
        upstream: ``connection-limit`` or ``deadline``; ``None`` for other causes
    """

    def __init__(
        self,
        message,
        *,
        sent,
        timed_out=False,
        cancelled=False,
        answered=False,
        own_cause=None,
    ):
        super().__init__(message)
        self._sent = sent
        self._timed_out = timed_out
        self._cancelled = cancelled
        self._answered = answered
        self._own_cause = own_cause

    @property
    def own_cause(self):
        """Code of a cause in this entry, ``None`` for a cause in the upstream."""
        return self._own_cause

    @property
    def sent(self):
        """Whether any byte of the request may have been written."""
        return self._sent

    @property
    def timed_out(self):
        """Whether the deadline ended the exchange."""
        return self._timed_out

    @property
    def cancelled(self):
        """Whether the answer was no longer wanted."""
        return self._cancelled

    @property
    def answered(self):
        """Whether a byte of an answer arrived."""
        return self._answered


class ExchangeReader(io.RawIOBase):
    """Reads an upstream socket until a deadline or a cancellation.

    :param upstream: the socket
    :param cancellation: ends the wait early
    :param clock: source of time
    :param deadline: instant in ms
    :param probe_ms: longest wait for the first byte, ``None`` for the deadline
    """

    def __init__(self, *, upstream, cancellation, clock, deadline, probe_ms):
        self._upstream = upstream
        self._cancellation = cancellation
        self._clock = clock
        self._deadline = deadline
        self._probe_ms = probe_ms
        self._started = clock.now()
        self._ended = False
        self.first_byte_ms = None

    def readable(self):
        """Return true, as ``io`` requires."""
        return True

    def end(self):
        """Read no more: what follows the answer is only looked for in the buffer."""
        self._ended = True

    def readinto(self, buffer):
        """Wait for bytes and read them; called by the stream."""
        if self._ended:
            return None
        wait_ms = self._deadline - self._clock.now()
        if self.first_byte_ms is None and self._probe_ms is not None:
            wait_ms = min(wait_ms, self._probe_ms)
        size = self._receive(buffer, wait_ms)
        if self.first_byte_ms is None and size:
            self.first_byte_ms = self._clock.now() - self._started
        return size

    def _receive(self, buffer, wait_ms):
        if wait_ms > RECEIVE_SLICE_MS:
            try:
                return self._upstream.recv_into(buffer)
            except BlockingIOError:
                wait_ms -= RECEIVE_SLICE_MS
        ready = wait_ms > 0 and self._cancellation.wait_readable(
            self._upstream, wait_ms
        )
        if not ready:
            raise TimeoutError("no answer in time")
        return self._upstream.recv_into(buffer)


def pool_failure(error, *, sent):
    """Return the :class:`ExchangeFailed` for a connection that was not to be had."""
    limited = isinstance(error, ConnectionLimitReached)
    own_cause = CONNECTION_LIMIT if limited else None
    return ExchangeFailed(str(error), sent=sent, own_cause=own_cause)


def encode_request(request, *, remaining_ms):
    """Return the bytes of a request.

    :param request: a :class:`monsoonline.types.Request` that the server has checked
    :param remaining_ms: time left, told to the upstream
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers
        if name.lower() != "monsoonline-deadline-ms"
    ]
    lines.append(f"{DEADLINE_HEADER}: {remaining_ms:.0f}")
    if request.body or request.method in BODY_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


class HttpUpstreamTransport:
    """Sends requests to upstreams and reads whole answers.

    :param clock: source of time
    :param count: called with the name of each connection event, for counters
    """

    def __init__(self, *, clock, count=lambda event: None):
        self._clock = clock
        self._count = count
        self._pools = {}
        self._limits = {}
        self._lock = threading.Lock()

    def update_tables(self, tables, *, entries=1):
        """Limit the connections to the upstreams of newly accepted tables.

        :param tables: :class:`monsoonline.core.model.Tables`
        :param entries: entries that share each pool's ``max_connections``
        """
        limits = {}
        for pool in tables.pools.values():
            share = max(1, pool.max_connections // max(1, entries))
            for upstream in pool.upstreams:
                limits[upstream.address] = min(
                    share, limits.get(upstream.address, share)
                )
        with self._lock:
            self._limits = limits
            removed = [self._pools.pop(a) for a in set(self._pools) - set(limits)]
            for address, pool in self._pools.items():
                pool.limit = limits[address]
        for pool in removed:
            pool.close()

    def close(self):
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def connections(self, address):
        """Return the :class:`ConnectionPool` of an upstream."""
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.get(address) or ConnectionPool(
                    address=address,
                    clock=self._clock,
                    limit=self._limits.get(address, DEFAULT_CONNECTIONS),
                    count=self._count,
                )
                self._pools[address] = pool
        return pool

    def is_reachable(self, upstream):
        """Tell whether an upstream that lost a connection accepts a new one.

        :param upstream: the :class:`monsoonline.core.model.Upstream`
        """
        host, _, port = upstream.address.rpartition(":")
        address = (host.strip("[]"), int(port))
        self._clock.sleep(CRASH_CHECK_DELAY_MS)
        try:
            with socket.create_connection(address, CONNECT_TIMEOUT_MS / 1e3):
                return True
        except OSError:
            return False

    def exchange(self, upstream, request, *, deadline, idempotent, cancellation=None):
        """Send a request and read the whole answer.

        An idempotent request that gets no byte of an answer over an old connection
        is sent once more over a new one.

        :param upstream: the :class:`monsoonline.core.model.Upstream`
        :param request: the :class:`monsoonline.types.Request`
        :param deadline: instant in ms
        :param idempotent: whether an unproved connection may be used
        :param cancellation: ends the exchange early, ``None`` for never
        :returns: :class:`monsoonline.types.Answer`
        :raises ExchangeFailed: when there is no whole answer
        """
        pool = self.connections(upstream.address)
        cancellation = cancellation or Cancellation()
        connection = self._checkout(pool, idempotent=idempotent)
        exchange = Exchange(
            pool=pool, clock=self._clock, request=request, cancellation=cancellation
        )
        if not idempotent or connection.sock is None:
            return exchange.run(connection, deadline=deadline)
        probe_ms = pool.probe.timeout_ms
        try:
            return exchange.run(connection, deadline=deadline, probe_ms=probe_ms)
        except ExchangeFailed as error:
            if error.answered or error.cancelled or self._clock.now() >= deadline:
                raise
            silent = error.timed_out
        if not silent:
            self._count("retried-lost")
            return exchange.run(self._open_new(pool), deadline=deadline)
        return self._probe(pool, exchange, deadline, probe_ms)

    def _probe(self, pool, exchange, deadline, probe_ms):
        """Repeat the request over a new connection and judge the old ones."""
        self._count("retried-silent")
        pool.suspect()
        silent = False
        try:
            answer = exchange.run(self._open_new(pool), deadline=deadline)
            silent = exchange.first_byte_ms <= probe_ms
        except ExchangeFailed:
            # The upstream answers nowhere: its connections are of no use, and
            # probing it at the same pace would double its load.
            pool.probe.back_off()
            pool.resolve(close=True)
            raise
        if silent:
            self._count("silent")
        else:
            pool.probe.back_off()
        pool.resolve(close=silent)
        return answer

    @staticmethod
    def _checkout(pool, *, idempotent):
        try:
            return pool.checkout(idempotent=idempotent)
        except OSError as error:
            raise pool_failure(error, sent=False) from error

    @staticmethod
    def _open_new(pool):
        try:
            return pool.open_new()
        except OSError as error:
            # The request was sent over the old connection before.
            raise pool_failure(error, sent=True) from error


class Exchange:
    """One request to one upstream, over one connection or, repeated, over two.

    :param pool: the upstream's :class:`ConnectionPool`
    :param clock: source of time
    :param request: the request
    :param cancellation: ends the wait early
    """

    def __init__(self, *, pool, clock, request, cancellation):
        self._pool = pool
        self._clock = clock
        self._request = request
        self._cancellation = cancellation
        self._sent = False
        self.first_byte_ms = None

    def run(self, connection, *, deadline, probe_ms=None):
        """Send the request over a connection and read the whole answer.

        :raises ExchangeFailed: when there is no whole answer
        """
        clean = False
        self.first_byte_ms = None
        try:
            answer, clean = self._run(connection, deadline, probe_ms)
            return answer
        except ExchangeCancelled as error:
            raise self._failed(connection, error, cancelled=True) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            cancelled = self._cancellation.cancelled
            # Also a connection attempt that only the deadline cut short.
            late = not self._sent and self._clock.now() >= deadline
            own_cause = DEADLINE_PASSED if late else None
            raise self._failed(
                connection, error, cancelled=cancelled, own_cause=own_cause
            ) from error
        finally:
            self._cancellation.detach()
            if clean:
                self._pool.check_in(connection)
            else:
                self._pool.discard(connection)

    def _run(self, connection, deadline, probe_ms):
        remaining_ms = deadline - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError("deadline passed")
        if connection.sock is None:
            connection.timeout = min(remaining_ms, CONNECT_TIMEOUT_MS) / 1e3
            connection.connect()
        upstream = connection.sock
        self._cancellation.attach(upstream)
        remaining_ms = deadline - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError("deadline passed")
        content = encode_request(self._request, remaining_ms=remaining_ms)
        self._sent = True
        self._send(connection, content, remaining_ms)
        reader = ExchangeReader(
            upstream=upstream,
            cancellation=self._cancellation,
            clock=self._clock,
            deadline=deadline,
            probe_ms=probe_ms,
        )
        return self._receive(reader)

    @staticmethod
    def _send(connection, content, remaining_ms):
        if len(content) <= UNTIMED_SEND_BYTES:
            connection.send(content)
            return
        connection.sock.settimeout(remaining_ms / 1e3)
        connection.send(content)
        connection.sock.settimeout(None)

    def _receive(self, reader):
        stream = AnswerStream(reader)
        try:
            answer, kept_open = read_answer(stream, method=self._request.method)
        finally:
            self.first_byte_ms = reader.first_byte_ms
        reader.end()
        if self.first_byte_ms is not None:
            self._pool.probe.observe(self.first_byte_ms)
        return answer, kept_open and not stream.peek(1)

    def _failed(self, connection, error, *, cancelled, own_cause=None):
        return ExchangeFailed(
            f"{connection.host}:{connection.port}: {error!r}",
            sent=self._sent,
            timed_out=isinstance(error, TimeoutError),
            cancelled=cancelled,
            answered=self.first_byte_ms is not None,
            own_cause=own_cause,
        )
