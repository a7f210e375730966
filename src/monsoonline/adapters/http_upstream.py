"""Request transport to upstreams over pooled ``http.client`` connections."""

import http.client
import io
import itertools
import random
import socket
import threading

from monsoonline.adapters.cancellation import Cancellation, ExchangeCancelled
from monsoonline.adapters.connection_pool import (
    RECEIVE_TIMEOUT_MS,
    ConnectionLimitReached,
    ConnectionPool,
)
from monsoonline.adapters.http_response import ResponseStream, read_response
from monsoonline.adapters.receive_budget import ReceiveBudget
from monsoonline.core.response_classification import NOT_RUN_STATUSES

__all__ = ["ExchangeFailed", "HttpUpstreamTransport"]

DEFAULT_CONNECTION_LIMIT = 280
CONNECT_TIMEOUT_MS = 250.0
# A terminating process closes its connections and its listening socket one by one, so
# the listening socket may outlive a lost connection for a moment.
CRASH_CHECK_DELAY_MS = 20.0
# A request of this size fits into the empty send buffer of a connection between
# exchanges, so sending it cannot block.
MAX_UNTIMED_SEND_BYTES = 8 << 10
DEADLINE_HEADER = "Monsoonline-Deadline-Ms"
# Differs for each send, also of the same request. An upstream that repeats it in its
# response makes a late copy of an earlier response recognizable.
EXCHANGE_HEADER = "Monsoonline-Exchange-Id"
REPLACED_HEADERS = frozenset((DEADLINE_HEADER.lower(), EXCHANGE_HEADER.lower()))
EXCHANGE_ID_PREFIX = f"{random.getrandbits(64):016x}"
# Maximum number of responses to other exchanges that are skipped.
MAX_STRAY_RESPONSES = 8
CONNECTION_LIMIT = "connection-limit"
DEADLINE_PASSED = "deadline"
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class ExchangeFailed(Exception):
    """An exchange did not yield a complete response.

    :param message: human-readable description
    :param sent: whether any byte of the request may have been sent
    :param timed_out: whether the exchange timed out
    :param cancelled: whether the exchange was cancelled
    :param response_started: whether any byte of a response was received
    :param own_cause: code of a cause within this entry, which implies nothing about the
        upstream: ``connection-limit`` or ``deadline``; ``None`` for other causes
    """

    def __init__(
        self,
        message,
        *,
        sent,
        timed_out=False,
        cancelled=False,
        response_started=False,
        own_cause=None,
    ):
        super().__init__(message)
        self._sent = sent
        self._timed_out = timed_out
        self._cancelled = cancelled
        self._response_started = response_started
        self._own_cause = own_cause

    @property
    def own_cause(self):
        """Code of a cause within this entry, ``None`` for other causes."""
        return self._own_cause

    @property
    def sent(self):
        """Whether any byte of the request may have been sent."""
        return self._sent

    @property
    def timed_out(self):
        """Whether the exchange timed out."""
        return self._timed_out

    @property
    def cancelled(self):
        """Whether the exchange was cancelled."""
        return self._cancelled

    @property
    def response_started(self):
        """Whether any byte of a response was received."""
        return self._response_started


class ExchangeReader(io.RawIOBase):
    """Reads from an upstream socket until a deadline or a cancellation.

    :param upstream: the socket
    :param cancellation: the :class:`Cancellation` of the exchange
    :param clock: source of time
    :param deadline: clock time in ms
    :param first_byte_timeout_ms: maximum wait for the first byte, ``None`` to wait
        until the deadline
    :param received: :class:`monsoonline.adapters.receive_budget.ReceivedBytes` of the
        exchange
    """

    def __init__(
        self,
        *,
        upstream,
        cancellation,
        clock,
        deadline,
        first_byte_timeout_ms,
        received,
    ):
        self._received = received
        self._upstream = upstream
        self._cancellation = cancellation
        self._clock = clock
        self._deadline = deadline
        self._first_byte_timeout_ms = first_byte_timeout_ms
        self._started = clock.now()
        self._stopped = False
        self.first_byte_ms = None

    def readable(self):
        """Return true, as ``io`` requires."""
        return True

    def stop(self):
        """Stop reading from the socket; only buffered bytes remain readable."""
        self._stopped = True

    def readinto(self, buffer):
        """Wait for bytes and read them; called by :class:`io.BufferedReader`."""
        if self._stopped:
            return None
        wait_ms = self._deadline - self._clock.now()
        if self.first_byte_ms is None and self._first_byte_timeout_ms is not None:
            wait_ms = min(wait_ms, self._first_byte_timeout_ms)
        size = self._receive(buffer, wait_ms)
        self._received.add(size)
        if self.first_byte_ms is None and size:
            self.first_byte_ms = self._clock.now() - self._started
        return size

    def _receive(self, buffer, wait_ms):
        if wait_ms > RECEIVE_TIMEOUT_MS:
            try:
                return self._upstream.recv_into(buffer)
            except BlockingIOError:
                wait_ms -= RECEIVE_TIMEOUT_MS
        ready = wait_ms > 0 and self._cancellation.wait_readable(
            self._upstream, wait_ms
        )
        if not ready:
            raise TimeoutError("no response within the time limit")
        return self._upstream.recv_into(buffer)


def to_exchange_failed(error, *, sent):
    """Convert an error on taking a connection to :class:`ExchangeFailed`."""
    limit_reached = isinstance(error, ConnectionLimitReached)
    own_cause = CONNECTION_LIMIT if limit_reached else None
    return ExchangeFailed(str(error), sent=sent, own_cause=own_cause)


def encode_request(request, *, remaining_ms, exchange_id):
    """Return the encoded bytes of a request.

    :param request: a :class:`monsoonline.types.Request` that the server has validated
    :param remaining_ms: time until the deadline, sent to the upstream
    :param exchange_id: identifies this send
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers
        if name.lower() not in REPLACED_HEADERS
    ]
    lines.append(f"{DEADLINE_HEADER}: {remaining_ms:.0f}")
    lines.append(f"{EXCHANGE_HEADER}: {exchange_id}")
    if request.body or request.method in BODY_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


class HttpUpstreamTransport:
    """Sends requests to upstreams and reads complete responses.

    :param clock: source of time
    :param count: called with the name of each connection event, for metrics
    """

    def __init__(self, *, clock, count=lambda event: None):
        self._budget = ReceiveBudget()
        self._clock = clock
        self._count = count
        self._pools = {}
        self._limits = {}
        self._lock = threading.Lock()

    def update_tables(self, tables, *, entries=1):
        """Apply the connection limits of newly accepted tables.

        Closes the connections to upstreams that the tables no longer contain.

        :param tables: :class:`monsoonline.core.model.Tables`
        :param entries: number of entries sharing the ``max_connections`` of each pool
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
                    limit=self._limits.get(address, DEFAULT_CONNECTION_LIMIT),
                    count=self._count,
                )
                self._pools[address] = pool
        return pool

    def is_reachable(self, upstream):
        """Return whether an upstream accepts a connection after one was lost.

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
        """Send a request and read the complete response.

        An idempotent request that receives no byte of a response on a reused connection
        is retried once on a new connection.

        :param upstream: the :class:`monsoonline.core.model.Upstream`
        :param request: the :class:`monsoonline.types.Request`
        :param deadline: clock time in ms
        :param idempotent: whether the request may be sent twice
        :param cancellation: the :class:`Cancellation` of the exchange, ``None`` for one
            that is never cancelled
        :returns: :class:`monsoonline.types.Answer`
        :raises ExchangeFailed: when no complete response was received
        """
        pool = self.connections(upstream.address)
        cancellation = cancellation or Cancellation()
        connection = self._checkout(pool, idempotent=idempotent)
        exchange = Exchange(
            pool=pool,
            clock=self._clock,
            request=request,
            cancellation=cancellation,
            budget=self._budget,
        )
        if not idempotent or connection.sock is None:
            return exchange.run(connection, deadline=deadline)
        first_byte_timeout_ms = pool.first_byte_timeout.timeout_ms
        try:
            return exchange.run(
                connection,
                deadline=deadline,
                first_byte_timeout_ms=first_byte_timeout_ms,
            )
        except ExchangeFailed as error:
            if (
                error.response_started
                or error.cancelled
                or self._clock.now() >= deadline
            ):
                raise
            unresponsive = error.timed_out
        if not unresponsive:
            self._count("retried-lost")
            return exchange.run(self._open_new(pool), deadline=deadline)
        return self._retry_unresponsive(pool, exchange, deadline, first_byte_timeout_ms)

    def _retry_unresponsive(self, pool, exchange, deadline, first_byte_timeout_ms):
        """Retry an unresponsive exchange on a new connection.

        The idle connections are closed if the retry succeeds in time or fails, and kept
        if the upstream turns out to be slow.
        """
        self._count("retried-silent")
        pool.hold_idle()
        unresponsive = False
        try:
            response = exchange.run(self._open_new(pool), deadline=deadline)
            unresponsive = exchange.first_byte_ms <= first_byte_timeout_ms
        except ExchangeFailed:
            # The upstream does not respond on a new connection either, so its idle
            # connections are useless. Retrying at the same rate would double its load.
            pool.first_byte_timeout.back_off()
            pool.end_hold(close=True)
            raise
        if unresponsive:
            self._count("silent")
        else:
            pool.first_byte_timeout.back_off()
        pool.end_hold(close=unresponsive)
        return response

    @staticmethod
    def _checkout(pool, *, idempotent):
        try:
            return pool.checkout(idempotent=idempotent)
        except OSError as error:
            raise to_exchange_failed(error, sent=False) from error

    @staticmethod
    def _open_new(pool):
        try:
            return pool.open_new()
        except OSError as error:
            # The request was already sent on the reused connection.
            raise to_exchange_failed(error, sent=True) from error


class Exchange:
    """One request to one upstream; a retry runs on a second connection.

    :param pool: the :class:`ConnectionPool` of the upstream
    :param clock: source of time
    :param request: the :class:`monsoonline.types.Request`
    :param cancellation: the :class:`Cancellation` of the exchange
    :param budget: :class:`monsoonline.adapters.receive_budget.ReceiveBudget`
    """

    _numbers = itertools.count(1)

    def __init__(self, *, pool, clock, request, cancellation, budget):
        self._received = budget.open()
        self._pool = pool
        self._clock = clock
        self._request = request
        self._exchange_id = None
        self._cancellation = cancellation
        self._sent = False
        self.first_byte_ms = None

    def run(self, connection, *, deadline, first_byte_timeout_ms=None):
        """Send the request on a connection and read the complete response.

        :raises ExchangeFailed: when no complete response was received
        """
        reusable = False
        self.first_byte_ms = None
        try:
            response, reusable = self._run(connection, deadline, first_byte_timeout_ms)
            return response
        except ExchangeCancelled as error:
            raise self._failed(connection, error, cancelled=True) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            cancelled = self._cancellation.cancelled
            # Includes a connection attempt that the deadline interrupted.
            deadline_passed = not self._sent and self._clock.now() >= deadline
            own_cause = DEADLINE_PASSED if deadline_passed else None
            raise self._failed(
                connection, error, cancelled=cancelled, own_cause=own_cause
            ) from error
        finally:
            self._cancellation.detach()
            if reusable:
                self._pool.check_in(connection)
            else:
                self._pool.discard(connection)

    def _run(self, connection, deadline, first_byte_timeout_ms):
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
        self._exchange_id = f"{EXCHANGE_ID_PREFIX}-{next(self._numbers)}"
        content = encode_request(
            self._request, remaining_ms=remaining_ms, exchange_id=self._exchange_id
        )
        self._sent = True
        self._send(connection, content, remaining_ms)
        reader = ExchangeReader(
            upstream=upstream,
            cancellation=self._cancellation,
            clock=self._clock,
            deadline=deadline,
            first_byte_timeout_ms=first_byte_timeout_ms,
            received=self._received,
        )
        return self._receive(reader)

    @staticmethod
    def _send(connection, content, remaining_ms):
        if len(content) <= MAX_UNTIMED_SEND_BYTES:
            connection.send(content)
            return
        connection.sock.settimeout(remaining_ms / 1e3)
        connection.send(content)
        connection.sock.settimeout(None)

    def _receive(self, reader):
        stream = ResponseStream(reader)
        try:
            response, reusable = self._read_own_response(stream)
        finally:
            self._received.reset()
            self.first_byte_ms = reader.first_byte_ms
        reader.stop()
        if self.first_byte_ms is not None:
            self._pool.first_byte_timeout.observe(self.first_byte_ms)
        return response, reusable and not stream.peek(1)

    def _read_own_response(self, stream):
        """Return the response to this exchange and whether the connection is reusable.

        Responses that name another exchange are skipped. The connection of a refusal is
        not reused: a second copy of it would pass for the refusal of the next request.
        """
        reusable = True
        for _ in range(MAX_STRAY_RESPONSES):
            response, keep_alive = read_response(stream, method=self._request.method)
            if response.header(EXCHANGE_HEADER) in (None, self._exchange_id):
                refused = response.status in NOT_RUN_STATUSES
                return response, reusable and keep_alive and not refused
            reusable = False
        raise http.client.HTTPException(
            f"{MAX_STRAY_RESPONSES} responses to other exchanges"
        )

    def _failed(self, connection, error, *, cancelled, own_cause=None):
        return ExchangeFailed(
            f"{connection.host}:{connection.port}: {error!r}",
            sent=self._sent,
            timed_out=isinstance(error, TimeoutError),
            cancelled=cancelled,
            response_started=self.first_byte_ms is not None,
            own_cause=own_cause,
        )
