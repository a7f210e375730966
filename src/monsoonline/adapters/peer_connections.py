"""Requests between entries over TCP, with one task per peer connection.

A frame is a 4-byte length and a signed :class:`Exchange`. Both sides first send a
greeting with a fresh nonce. The signature of every later message covers both nonces
and the direction, and sequence numbers increase. A message recorded on another
connection, in the other direction or earlier is therefore rejected as a replay.
"""

import concurrent.futures
import contextlib
import logging
import queue
import random
import secrets
import socket
import threading
import time

from monsoonline.adapters.peer_codec import (
    MAX_EXCHANGE_BYTES,
    Exchange,
    ExchangeKind,
)
from monsoonline.errors import MonsoonlineError, PeerMessageRejected, PeerUnavailable

__all__ = ["PeerClient", "PeerServer"]

NONCE_BYTES = 16
LENGTH_BYTES = 4
# Overhead of the envelope and of packing content that does not compress.
FRAME_OVERHEAD_BYTES = 4096
MAX_FRAME_BYTES = MAX_EXCHANGE_BYTES + MAX_EXCHANGE_BYTES // 8 + FRAME_OVERHEAD_BYTES
RECONNECT_DELAY_MS = 20.0
CONNECT_ATTEMPTS = 3
MAX_CONNECTIONS = 64
# Pause after a connection could not be accepted.
ACCEPT_RETRY_MS = 10.0
MAX_QUEUED_REQUESTS = 64
IDLE_TIMEOUT_MS = 30_000.0
HANDSHAKE_TIMEOUT_MS = 2000.0
# Time limit for the rest of a frame once its first byte has arrived.
FRAME_TIMEOUT_MS = 5000.0
BACKOFF_MIN_MS = 50.0
BACKOFF_MAX_MS = 2000.0
GREETING_CONTEXT = b"greeting"

logger = logging.getLogger(__name__)


def read_exactly(connection, size, *, deadline):
    """Read ``size`` bytes before a deadline.

    :param connection: connected socket
    :param size: number of bytes
    :param deadline: deadline as a value of ``time.monotonic()``, in seconds
    :raises OSError: when the peer closed the connection or the deadline passed
    """
    received = bytearray()
    while len(received) < size:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError(
                f"received {len(received)} of {size} bytes before the deadline"
            )
        connection.settimeout(remaining)
        chunk = connection.recv(min(size - len(received), 65536))
        if not chunk:
            raise ConnectionError(
                f"peer closed the connection after {len(received)} of {size} bytes"
            )
        received += chunk
    return bytes(received)


class Channel:
    """Framing and authentication of one connection.

    :param connection: connected socket
    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param is_initiator: whether this side opened the connection
    """

    def __init__(self, *, connection, codec, name, is_initiator):
        self._connection = connection
        self._codec = codec
        self._name = name
        self._is_initiator = is_initiator
        self._nonces = b""
        self._peer = None
        self._peer_name = ""
        self._last_sequence = -1

    @property
    def peer(self):
        """Incarnation of the peer, ``None`` before the handshake."""
        return self._peer

    @property
    def peer_name(self):
        """Name of the peer, empty before the handshake."""
        return self._peer_name

    def handshake(self, *, deadline):
        """Exchange greetings with the peer.

        :param deadline: deadline as a value of ``time.monotonic()``, in seconds
        :raises PeerMessageRejected: when the peer cannot be authenticated
        :raises OSError: when the connection failed
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        greeting = Exchange(kind=ExchangeKind.GREETING, nonce=nonce, name=self._name)
        if self._is_initiator:
            self._write(greeting, context=GREETING_CONTEXT + b"/opened")
            peer_greeting = self._read(
                context=GREETING_CONTEXT + nonce, deadline=deadline
            )
        else:
            peer_greeting = self._read(
                context=GREETING_CONTEXT + b"/opened", deadline=deadline
            )
            self._write(greeting, context=GREETING_CONTEXT + peer_greeting.nonce)
        if (
            peer_greeting.kind != ExchangeKind.GREETING
            or len(peer_greeting.nonce) != NONCE_BYTES
        ):
            raise PeerMessageRejected(
                f"expected a greeting with a nonce of {NONCE_BYTES} bytes, received "
                f"{peer_greeting.kind.value!r} with {len(peer_greeting.nonce)} bytes",
                code="malformed",
            )
        self._peer_name = peer_greeting.name
        self._nonces = (
            nonce + peer_greeting.nonce
            if self._is_initiator
            else peer_greeting.nonce + nonce
        )

    def send(self, exchange, *, deadline):
        """Send a message after the handshake.

        :param exchange: the :class:`Exchange`
        :param deadline: deadline as a value of ``time.monotonic()``, in seconds
        :raises OSError: when the message could not be sent before the deadline
        """
        self._connection.settimeout(max(0.001, deadline - time.monotonic()))
        self._write(exchange, context=self._signing_context(self._is_initiator))

    def receive(self, *, deadline, idle_deadline=None):
        """Receive a message after the handshake.

        Deadlines are values of ``time.monotonic()``, in seconds.

        :param deadline: deadline for the complete message; not used when
            ``idle_deadline`` is given
        :param idle_deadline: deadline for the first byte; the rest of the frame must
            then arrive within ``FRAME_TIMEOUT_MS``
        :returns: the :class:`Exchange`
        """
        context = self._signing_context(not self._is_initiator)
        return self._read(
            context=context, deadline=deadline, idle_deadline=idle_deadline
        )

    def close(self):
        """Close the connection."""
        self._connection.close()

    def _signing_context(self, from_initiator):
        return (b">" if from_initiator else b"<") + self._nonces

    def _write(self, exchange, *, context):
        content = self._codec.encode_exchange(exchange, context=context)
        if len(content) > MAX_FRAME_BYTES:
            raise PeerMessageRejected(
                f"frame of {len(content)} bytes exceeds {MAX_FRAME_BYTES} bytes",
                code="oversized",
            )
        self._connection.sendall(len(content).to_bytes(LENGTH_BYTES, "big") + content)

    def _read(self, *, context, deadline, idle_deadline=None):
        first = read_exactly(self._connection, 1, deadline=idle_deadline or deadline)
        if idle_deadline is not None:
            deadline = time.monotonic() + FRAME_TIMEOUT_MS / 1e3
        rest = read_exactly(self._connection, LENGTH_BYTES - 1, deadline=deadline)
        length = int.from_bytes(first + rest, "big")
        if length > MAX_FRAME_BYTES:
            raise PeerMessageRejected(
                f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes",
                code="oversized",
            )
        content = read_exactly(self._connection, length, deadline=deadline)
        envelope = self._codec.open(content, context=context, limit=MAX_FRAME_BYTES)
        if self._peer not in (None, envelope.sender):
            raise PeerMessageRejected(
                f"message from {envelope.sender} on a connection of {self._peer}",
                code="malformed",
            )
        if envelope.sequence <= self._last_sequence:
            raise PeerMessageRejected(
                f"sequence number {envelope.sequence} is not above "
                f"{self._last_sequence}",
                code="replayed",
            )
        self._peer = envelope.sender
        self._last_sequence = envelope.sequence
        return self._codec.decode_exchange(envelope)


class ReplacedPeer(PeerUnavailable):
    """The process at the address is not the one the request was meant for."""


class PeerConnection:
    """Connection to one peer, with a queue of requests and the task that sends them.

    :param address: ``host:port`` of the peer
    :param client: the :class:`PeerClient` that owns the connection
    """

    def __init__(self, *, address, client):
        self._address = address
        self._client = client
        self._requests = queue.Queue(maxsize=MAX_QUEUED_REQUESTS)
        self._channel = None
        self._last_request_number = 0
        self._failures = 0
        self._backoff_until = 0.0
        self._failed_incarnation = ""
        self._replaced_incarnation = ""
        self._replaced_until = 0.0
        self._busy = False

    def submit(self, exchange, incarnation, deadline):
        """Queue a request and return the future of its reply.

        :param exchange: the request as an :class:`Exchange`
        :param incarnation: incarnation that must reply, any when empty
        :param deadline: deadline as a value of ``time.monotonic()``, in seconds
        :raises PeerUnavailable: when the request queue of this peer is full
        """
        future = concurrent.futures.Future()
        try:
            self._requests.put_nowait((exchange, incarnation, deadline, future))
        except queue.Full:
            raise PeerUnavailable(
                f"{MAX_QUEUED_REQUESTS} requests to {self._address} are already queued",
                code="peer-busy",
            ) from None
        return future

    def run(self):
        """Send queued requests one at a time until idle for ``IDLE_TIMEOUT_MS``."""
        while True:
            try:
                request = self._requests.get(timeout=IDLE_TIMEOUT_MS / 1e3)
            except queue.Empty:
                request = None
            if request is None:
                if self._client.remove_if_idle(self._address, self):
                    break
                continue
            self._busy = True
            self._process(*request)
            self._busy = False
        self._close()

    def stop(self):
        """Close the connection and wake the task so that it can end."""
        channel = self._channel
        if channel is not None:
            channel.close()
        with contextlib.suppress(queue.Full):
            self._requests.put_nowait(None)

    @property
    def idle(self):
        """Whether no request is queued or in progress."""
        return self._requests.empty() and not self._busy

    @property
    def _is_backing_off(self):
        return time.monotonic() < self._backoff_until

    def _is_replaced(self, incarnation):
        """Return whether another process was recently found in place of this one.

        :param incarnation: incarnation that a request is for
        """
        recently = time.monotonic() < self._replaced_until
        return incarnation and incarnation == self._replaced_incarnation and recently

    def _process(self, exchange, incarnation, deadline, future):
        if time.monotonic() >= deadline or self._client.closed:
            future.set_exception(
                PeerUnavailable(
                    f"{self._address}: deadline passed, or this entry is stopping"
                )
            )
            return
        if self._is_replaced(incarnation):
            # Otherwise each request for a former process would open a new connection.
            reason = f"{self._address}: another process has replaced {incarnation}"
            future.set_exception(PeerUnavailable(reason))
            return
        if incarnation == self._failed_incarnation and self._is_backing_off:
            # Not counted as a failure, so that requests do not extend the backoff. The
            # backoff does not apply to a process that replaced the failed one.
            reason = f"{self._address}: backing off before the next connection attempt"
            future.set_exception(PeerUnavailable(reason))
            return
        try:
            future.set_result(self._exchange(exchange, incarnation, deadline))
        except ReplacedPeer as error:
            # Keep the connection, since it belongs to the current process.
            future.set_exception(error)
        except (OSError, MonsoonlineError) as error:
            self._close()
            self._failed_incarnation = incarnation
            self._failures += 1
            max_backoff_ms = min(
                BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** min(self._failures, 10)
            )
            wait_ms = random.uniform(BACKOFF_MIN_MS, max_backoff_ms)
            self._backoff_until = time.monotonic() + wait_ms / 1e3
            if isinstance(error, PeerMessageRejected):
                self._client.count_dropped(error.code)
            unavailable = PeerUnavailable(f"{self._address}: {error}")
            future.set_exception(unavailable)
        except Exception as error:
            self._close()
            future.set_exception(PeerUnavailable(f"{self._address}: {error!r}"))

    def _exchange(self, exchange, incarnation, deadline):
        if self._channel is not None and incarnation not in ("", self._channel.peer):
            # The open connection may belong to a previous process at the address.
            self._close()
        if self._channel is None:
            self._channel = self._connect(deadline)
        if incarnation not in ("", self._channel.peer):
            self._replaced_incarnation = incarnation
            self._replaced_until = time.monotonic() + BACKOFF_MAX_MS / 1e3
            raise ReplacedPeer(
                f"{self._address}: another process, {self._channel.peer}, has replaced "
                f"{incarnation}"
            )
        self._last_request_number += 1
        request = Exchange(
            kind=exchange.kind,
            name=exchange.name,
            payload=exchange.payload,
            number=self._last_request_number,
        )
        self._channel.send(request, deadline=deadline)
        reply = self._channel.receive(deadline=deadline)
        if reply.number != self._last_request_number:
            raise PeerMessageRejected(
                f"reply is to request {reply.number}, expected "
                f"{self._last_request_number}",
                code="malformed",
            )
        self._failures = 0
        return reply

    def _connect(self, deadline):
        """Connect, and retry when the peer closes the connection before its greeting.

        A peer at its connection limit does so until it detects that another
        connection has ended. Retrying is safe since no request has been sent yet.

        :param deadline: deadline as a value of ``time.monotonic()``, in seconds
        """
        limit = min(deadline, time.monotonic() + HANDSHAKE_TIMEOUT_MS / 1e3)
        for _ in range(CONNECT_ATTEMPTS - 1):
            try:
                return self._connect_once(limit)
            except ConnectionRefusedError:
                raise
            except ConnectionError:
                time.sleep(RECONNECT_DELAY_MS / 1e3)
        return self._connect_once(limit)

    def _connect_once(self, limit):
        host, _, port = self._address.rpartition(":")
        remaining = max(0.001, limit - time.monotonic())
        connection = socket.create_connection((host, int(port)), timeout=remaining)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(
            connection=connection,
            codec=self._client.codec,
            name=self._client.name,
            is_initiator=True,
        )
        try:
            channel.handshake(deadline=limit)
        except BaseException:
            channel.close()
            raise
        return channel

    def _close(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None


class PeerClient:
    """Sends requests over at most one connection per peer address.

    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param metrics: :class:`monsoonline.metrics.Metrics`
    """

    def __init__(self, *, codec, name, metrics):
        self.codec = codec
        self.name = name
        self._metrics = metrics
        self._lock = threading.Lock()
        self._connections = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=MAX_CONNECTIONS, thread_name_prefix="peer-client"
        )
        self._closed = False

    @property
    def closed(self):
        """Whether :meth:`close` was called."""
        return self._closed

    def request(self, address, kind, payload, *, timeout_ms, incarnation=""):
        """Send a request and return the reply's payload.

        :param address: ``host:port`` of the peer
        :param kind: kind of request
        :param payload: content of the request, at most 1 MiB
        :param timeout_ms: time limit for the whole exchange, with connecting
        :param incarnation: incarnation that must reply, any when empty
        :raises ValueError: when the payload is too large
        :raises PeerUnavailable: when no reply arrived in time, or with the code of
            the peer's failure reply
        """
        if len(payload) > MAX_EXCHANGE_BYTES:
            raise ValueError(
                f"payload has {len(payload)!r} bytes, maximum {MAX_EXCHANGE_BYTES}"
            )
        deadline = time.monotonic() + timeout_ms / 1e3
        exchange = Exchange(kind=ExchangeKind.REQUEST, name=kind, payload=payload)
        future = self._submit(address, exchange, incarnation, deadline)
        try:
            reply = future.result(timeout=max(0.0, deadline - time.monotonic()))
        except concurrent.futures.TimeoutError:
            raise PeerUnavailable(
                f"{address}: no reply within {timeout_ms} ms"
            ) from None
        if reply.kind != ExchangeKind.REPLY:
            raise PeerUnavailable(
                f"{address}: peer replied with error {reply.error!r}", code=reply.error
            )
        return reply.payload

    def remove_if_idle(self, address, connection):
        """Remove a connection if it is idle; return whether its task may end.

        After :meth:`close` connections are removed even if they are not idle.
        """
        with self._lock:
            if not connection.idle and not self._closed:
                return False
            if self._connections.get(address) is connection:
                del self._connections[address]
            return True

    def count_dropped(self, cause):
        """Count a rejected message by its cause."""
        self._metrics.count("peer_messages_dropped_total", cause=cause)

    def close(self):
        """Close all connections."""
        with self._lock:
            self._closed = True
            connections = list(self._connections.values())
        for connection in connections:
            connection.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, address, exchange, incarnation, deadline):
        with self._lock:
            if self._closed:
                raise PeerUnavailable("this entry is stopping")
            connection = self._connections.get(address)
            if connection is None:
                self._close_idle_connection()
                connection = PeerConnection(address=address, client=self)
                self._connections[address] = connection
                self._executor.submit(connection.run)
            return connection.submit(exchange, incarnation, deadline)

    def _close_idle_connection(self):
        """Close one idle connection when ``MAX_CONNECTIONS`` are open.

        :raises PeerUnavailable: when all connections are in use
        """
        if len(self._connections) < MAX_CONNECTIONS:
            return
        for address, connection in list(self._connections.items()):
            if connection.idle:
                del self._connections[address]
                connection.stop()
                return
        raise PeerUnavailable(
            f"all {MAX_CONNECTIONS} peer connections are in use", code="peer-busy"
        )


class PeerServer:
    """Accepts peer connections and handles their requests.

    :param listener: listening TCP socket
    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param metrics: :class:`monsoonline.metrics.Metrics`
    """

    def __init__(self, *, listener, codec, name, metrics):
        self._listener = listener
        self._codec = codec
        self._name = name
        self._metrics = metrics
        self._handlers = {}
        self._lock = threading.Lock()
        self._open_connections = set()
        self._closed = False
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=MAX_CONNECTIONS, thread_name_prefix="peer-server"
        )

    def serve(self, kind, handler):
        """Handle requests of a kind with ``handler(member_name, payload)``."""
        self._handlers[kind] = handler

    def accept(self):
        """Accept connections until the listener is closed."""
        while not self._closed:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if not self._closed:
                    # The peer has reset the connection, or no descriptor is free.
                    self._count_dropped("accept-failed")
                    logger.warning("accept failed", extra={"error": repr(error)})
                    time.sleep(ACCEPT_RETRY_MS / 1e3)
                continue
            with self._lock:
                full = len(self._open_connections) >= MAX_CONNECTIONS or self._closed
                if not full:
                    self._open_connections.add(connection)
            if full:
                self._count_dropped("connection-limit")
                connection.close()
                continue
            self._executor.submit(self._run, connection)

    def close(self):
        """Close the listener and all connections."""
        with self._lock:
            self._closed = True
            connections = list(self._open_connections)
        self._listener.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, connection):
        try:
            self._serve_requests(connection)
        except PeerMessageRejected as error:
            self._count_dropped(error.code)
        except OSError:
            self._metrics.count("peer_connections_closed_total")
        finally:
            with self._lock:
                self._open_connections.discard(connection)
            connection.close()

    def _serve_requests(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(
            connection=connection,
            codec=self._codec,
            name=self._name,
            is_initiator=False,
        )
        channel.handshake(deadline=time.monotonic() + HANDSHAKE_TIMEOUT_MS / 1e3)
        while not self._closed:
            idle_deadline = time.monotonic() + 2 * IDLE_TIMEOUT_MS / 1e3
            request = channel.receive(
                deadline=idle_deadline, idle_deadline=idle_deadline
            )
            reply = self._reply(channel, request)
            channel.send(reply, deadline=time.monotonic() + FRAME_TIMEOUT_MS / 1e3)

    def _reply(self, channel, request):
        handler = self._handlers.get(request.name)
        if request.kind != ExchangeKind.REQUEST or handler is None:
            return self._failure(request, "unknown-request")
        try:
            payload = bytes(handler(channel.peer_name, request.payload))
        except MonsoonlineError as error:
            return self._failure(request, error.code)
        except Exception:
            # An error in one handler must not close the connection, which also
            # serves other kinds of requests.
            logger.exception(
                "handler of a peer request failed", extra={"exchange": request.name}
            )
            self._metrics.count("peer_handler_failures_total", kind=request.name)
            return self._failure(request, "handler-failed")
        if len(payload) > MAX_EXCHANGE_BYTES:
            return self._failure(request, "reply-oversized")
        return Exchange(kind=ExchangeKind.REPLY, number=request.number, payload=payload)

    @staticmethod
    def _failure(request, code):
        return Exchange(kind=ExchangeKind.FAILURE, number=request.number, error=code)

    def _count_dropped(self, cause):
        self._metrics.count("peer_messages_dropped_total", cause=cause)
