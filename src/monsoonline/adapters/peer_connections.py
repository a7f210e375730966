"""Requests between entries over TCP: one task for each peer connection.

A frame is a 4-byte length and a sealed :class:`Exchange`. Both sides first send a
greeting with a fresh nonce. Every later message is signed over both nonces and its
direction and has a growing number, so that nothing recorded on another connection,
in the other direction or earlier can be replayed.
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
# Room for the envelope and the packing of content that does not compress.
FRAME_OVERHEAD_BYTES = 4096
MAX_FRAME_BYTES = MAX_EXCHANGE_BYTES + MAX_EXCHANGE_BYTES // 8 + FRAME_OVERHEAD_BYTES
RECONNECT_MS = 20.0
CONNECT_ATTEMPTS = 3
MAX_CONNECTIONS = 64
MAX_QUEUED_REQUESTS = 64
IDLE_MS = 30_000.0
GREETING_TIMEOUT_MS = 2000.0
# A frame that has begun must be complete within this time.
FRAME_TIMEOUT_MS = 5000.0
BACKOFF_MIN_MS = 50.0
BACKOFF_MAX_MS = 2000.0
GREETING_CONTEXT = b"greeting"

logger = logging.getLogger(__name__)


def read_exactly(connection, size, *, deadline):
    """Read ``size`` bytes until ``deadline``, an instant of ``time.monotonic``.

    :raises OSError: when the peer closed or the time is over
    """
    parts = bytearray()
    while len(parts) < size:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the peer did not send in time")
        connection.settimeout(remaining)
        part = connection.recv(min(size - len(parts), 65536))
        if not part:
            raise ConnectionError("the peer closed the connection")
        parts += part
    return bytes(parts)


class Channel:
    """Framing and authentication of one connection.

    :param connection: connected socket
    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param opened: whether this side opened the connection
    """

    def __init__(self, *, connection, codec, name, opened):
        self._connection = connection
        self._codec = codec
        self._name = name
        self._opened = opened
        self._nonces = b""
        self._peer = None
        self._peer_name = ""
        self._last_sequence = -1

    @property
    def peer(self):
        """Incarnation of the other side, after the greetings."""
        return self._peer

    @property
    def peer_name(self):
        """Name of the other side, after the greetings."""
        return self._peer_name

    def greet(self, *, deadline):
        """Exchange greetings.

        :raises PeerMessageRejected: when the other side is not authentic
        :raises OSError: when the connection failed
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        greeting = Exchange(kind=ExchangeKind.GREETING, nonce=nonce, name=self._name)
        if self._opened:
            self._write(greeting, context=GREETING_CONTEXT + b"/opened")
            other = self._read(context=GREETING_CONTEXT + nonce, deadline=deadline)
        else:
            other = self._read(context=GREETING_CONTEXT + b"/opened", deadline=deadline)
            self._write(greeting, context=GREETING_CONTEXT + other.nonce)
        if other.kind != ExchangeKind.GREETING or len(other.nonce) != NONCE_BYTES:
            raise PeerMessageRejected("expected a greeting", code="malformed")
        self._peer_name = other.name
        self._nonces = nonce + other.nonce if self._opened else other.nonce + nonce

    def send(self, exchange, *, deadline):
        """Send a message after the greetings.

        :raises OSError: when the other side did not take it until ``deadline``
        """
        self._connection.settimeout(max(0.001, deadline - time.monotonic()))
        self._write(exchange, context=self._context(self._opened))

    def receive(self, *, deadline, idle_deadline=None):
        """Receive a message after the greetings.

        :param deadline: instant for a complete message, or, when ``idle_deadline``
            is given, ignored until the first byte has arrived
        :param idle_deadline: instant until which the first byte is awaited
        """
        context = self._context(not self._opened)
        return self._read(
            context=context, deadline=deadline, idle_deadline=idle_deadline
        )

    def close(self):
        """Close the connection."""
        self._connection.close()

    def _context(self, from_opener):
        return (b">" if from_opener else b"<") + self._nonces

    def _write(self, exchange, *, context):
        content = self._codec.encode_exchange(exchange, context=context)
        if len(content) > MAX_FRAME_BYTES:
            raise PeerMessageRejected(
                f"{len(content)} bytes exceed {MAX_FRAME_BYTES}", code="oversized"
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
                f"{length} bytes exceed {MAX_FRAME_BYTES}", code="oversized"
            )
        content = read_exactly(self._connection, length, deadline=deadline)
        envelope = self._codec.open(content, context=context, limit=MAX_FRAME_BYTES)
        if self._peer not in (None, envelope.sender):
            raise PeerMessageRejected("the sender changed", code="malformed")
        if envelope.sequence <= self._last_sequence:
            raise PeerMessageRejected("the message was seen before", code="replayed")
        self._peer = envelope.sender
        self._last_sequence = envelope.sequence
        return self._codec.decode_exchange(envelope)


class ReplacedPeer(PeerUnavailable):
    """Another process answers at the address than the one that was asked."""


class PeerConnection:
    """The connection to one peer and the task that uses it.

    :param address: peer address
    :param client: the :class:`PeerClient` it belongs to
    """

    def __init__(self, *, address, client):
        self._address = address
        self._client = client
        self._requests = queue.Queue(maxsize=MAX_QUEUED_REQUESTS)
        self._channel = None
        self._number = 0
        self._failures = 0
        self._not_before = 0.0
        self._failed_incarnation = ""
        self._replaced_incarnation = ""
        self._replaced_until = 0.0
        self._busy = False

    def submit(self, exchange, incarnation, deadline):
        """Queue a request; return the future of its reply.

        :raises PeerUnavailable: when too many requests wait for this peer
        """
        future = concurrent.futures.Future()
        try:
            self._requests.put_nowait((exchange, incarnation, deadline, future))
        except queue.Full:
            raise PeerUnavailable(
                f"{MAX_QUEUED_REQUESTS} requests to {self._address} wait already",
                code="peer-busy",
            ) from None
        return future

    def run(self):
        """Send the queued requests one after the other until idle for long."""
        while True:
            try:
                request = self._requests.get(timeout=IDLE_MS / 1e3)
            except queue.Empty:
                request = None
            if request is None:
                if self._client.forget(self._address, self):
                    break
                continue
            self._busy = True
            self._serve(*request)
            self._busy = False
        self._close()

    def stop(self):
        """Wake the task so that it can end."""
        channel = self._channel
        if channel is not None:
            channel.close()
        with contextlib.suppress(queue.Full):
            self._requests.put_nowait(None)

    @property
    def idle(self):
        """Whether no request waits or runs."""
        return self._requests.empty() and not self._busy

    @property
    def _must_wait(self):
        return time.monotonic() < self._not_before

    def _is_replaced(self, incarnation):
        """Whether another process answered lately in place of an incarnation."""
        lately = time.monotonic() < self._replaced_until
        return incarnation and incarnation == self._replaced_incarnation and lately

    def _serve(self, exchange, incarnation, deadline, future):
        if time.monotonic() >= deadline or self._client.closed:
            future.set_exception(PeerUnavailable(f"{self._address}: no time left"))
            return
        if self._is_replaced(incarnation):
            # Each request for a former process would cost a new connection.
            replaced = f"{self._address}: another process answers than {incarnation}"
            future.set_exception(PeerUnavailable(replaced))
            return
        if incarnation == self._failed_incarnation and self._must_wait:
            # Not counted as a failure: requests must not prolong the wait. A process
            # that has taken the place of the failed one is asked at once.
            waiting = f"{self._address}: waits before it connects again"
            future.set_exception(PeerUnavailable(waiting))
            return
        try:
            future.set_result(self._exchange(exchange, incarnation, deadline))
        except ReplacedPeer as error:
            # The connection to the present process stays in use.
            future.set_exception(error)
        except (OSError, MonsoonlineError) as error:
            self._close()
            self._failed_incarnation = incarnation
            self._failures += 1
            longest = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** min(self._failures, 10))
            wait_ms = random.uniform(BACKOFF_MIN_MS, longest)
            self._not_before = time.monotonic() + wait_ms / 1e3
            if isinstance(error, PeerMessageRejected):
                self._client.count_dropped(error.code)
            unavailable = PeerUnavailable(f"{self._address}: {error}")
            future.set_exception(unavailable)
        except Exception as error:
            self._close()
            future.set_exception(PeerUnavailable(f"{self._address}: {error!r}"))

    def _exchange(self, exchange, incarnation, deadline):
        if self._channel is not None and incarnation not in ("", self._channel.peer):
            # The kept connection may be that of an earlier process.
            self._close()
        if self._channel is None:
            self._channel = self._connect(deadline)
        if incarnation not in ("", self._channel.peer):
            self._replaced_incarnation = incarnation
            self._replaced_until = time.monotonic() + BACKOFF_MAX_MS / 1e3
            raise ReplacedPeer(f"another process answers: {self._channel.peer}")
        self._number += 1
        request = Exchange(
            kind=exchange.kind,
            name=exchange.name,
            payload=exchange.payload,
            number=self._number,
        )
        self._channel.send(request, deadline=deadline)
        reply = self._channel.receive(deadline=deadline)
        if reply.number != self._number:
            raise PeerMessageRejected("a reply to another request", code="malformed")
        self._failures = 0
        return reply

    def _connect(self, deadline):
        """Connect, again where the peer ends the connection before its greeting.

        A peer at its bound of connections does so until it has noticed that another
        one ended; no request has been sent by then.
        """
        limit = min(deadline, time.monotonic() + GREETING_TIMEOUT_MS / 1e3)
        for _ in range(CONNECT_ATTEMPTS - 1):
            try:
                return self._connect_once(limit)
            except ConnectionRefusedError:
                raise
            except ConnectionError:
                time.sleep(RECONNECT_MS / 1e3)
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
            opened=True,
        )
        try:
            channel.greet(deadline=limit)
        except BaseException:
            channel.close()
            raise
        return channel

    def _close(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None


class PeerClient:
    """Sends requests over at most one connection per peer.

    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param metrics: counters
    """

    def __init__(self, *, codec, name, metrics):
        self.codec = codec
        self.name = name
        self._metrics = metrics
        self._lock = threading.Lock()
        self._connections = {}
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            max_workers=MAX_CONNECTIONS, thread_name_prefix="peer-client"
        )
        self._closed = False

    @property
    def closed(self):
        """Whether :meth:`close` was called."""
        return self._closed

    def request(self, address, kind, payload, *, timeout_ms, incarnation=""):
        """Send a request and return the reply's payload.

        :param address: peer address
        :param kind: kind of request
        :param payload: at most 1 MiB
        :param timeout_ms: time for the whole exchange
        :param incarnation: process that must answer, any when empty
        :raises PeerUnavailable: when no reply came in time, or with the code of the
            peer's error reply
        """
        if len(payload) > MAX_EXCHANGE_BYTES:
            raise ValueError(
                f"payload has {len(payload)!r} bytes, at most {MAX_EXCHANGE_BYTES}"
            )
        deadline = time.monotonic() + timeout_ms / 1e3
        exchange = Exchange(kind=ExchangeKind.REQUEST, name=kind, payload=payload)
        future = self._submit(address, exchange, incarnation, deadline)
        try:
            reply = future.result(timeout=max(0.0, deadline - time.monotonic()))
        except concurrent.futures.TimeoutError:
            raise PeerUnavailable(f"{address}: no reply in {timeout_ms} ms") from None
        if reply.kind != ExchangeKind.REPLY:
            raise PeerUnavailable(
                f"{address}: the peer answered {reply.error!r}", code=reply.error
            )
        return reply.payload

    def forget(self, address, connection):
        """Remove an idle connection; return whether its task may end."""
        with self._lock:
            if not connection.idle and not self._closed:
                return False
            if self._connections.get(address) is connection:
                del self._connections[address]
            return True

    def count_dropped(self, cause):
        """Count a message that was not accepted."""
        self._metrics.count("peer_messages_dropped_total", cause=cause)

    def close(self):
        """End all connections."""
        with self._lock:
            self._closed = True
            connections = list(self._connections.values())
        for connection in connections:
            connection.stop()
        self._tasks.shutdown(wait=False, cancel_futures=True)

    def _submit(self, address, exchange, incarnation, deadline):
        with self._lock:
            if self._closed:
                raise PeerUnavailable("this entry is stopping")
            connection = self._connections.get(address)
            if connection is None:
                self._make_room()
                connection = PeerConnection(address=address, client=self)
                self._connections[address] = connection
                self._tasks.submit(connection.run)
            return connection.submit(exchange, incarnation, deadline)

    def _make_room(self):
        """End an idle connection when the number is at its bound."""
        if len(self._connections) < MAX_CONNECTIONS:
            return
        for address, connection in list(self._connections.items()):
            if connection.idle:
                del self._connections[address]
                connection.stop()
                return
        raise PeerUnavailable(
            f"{MAX_CONNECTIONS} peer connections are open", code="peer-busy"
        )


class PeerServer:
    """Answers requests of peers.

    :param listener: listening TCP socket
    :param codec: :class:`monsoonline.adapters.peer_codec.PeerCodec`
    :param name: name of this entry
    :param metrics: counters
    """

    def __init__(self, *, listener, codec, name, metrics):
        self._listener = listener
        self._codec = codec
        self._name = name
        self._metrics = metrics
        self._handlers = {}
        self._lock = threading.Lock()
        self._open = set()
        self._closed = False
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            max_workers=MAX_CONNECTIONS, thread_name_prefix="peer-server"
        )

    def serve(self, kind, handler):
        """Answer requests of a kind with ``handler(member_name, payload)``."""
        self._handlers[kind] = handler

    def accept(self):
        """Accept connections until the listener is closed."""
        while not self._closed:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            with self._lock:
                full = len(self._open) >= MAX_CONNECTIONS or self._closed
                if not full:
                    self._open.add(connection)
            if full:
                self._count_dropped("connection-limit")
                connection.close()
                continue
            self._tasks.submit(self._run, connection)

    def close(self):
        """Close the listener and all connections."""
        with self._lock:
            self._closed = True
            connections = list(self._open)
        self._listener.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self._tasks.shutdown(wait=False, cancel_futures=True)

    def _run(self, connection):
        try:
            self._converse(connection)
        except PeerMessageRejected as error:
            self._count_dropped(error.code)
        except OSError:
            self._metrics.count("peer_connections_closed_total")
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def _converse(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(
            connection=connection, codec=self._codec, name=self._name, opened=False
        )
        channel.greet(deadline=time.monotonic() + GREETING_TIMEOUT_MS / 1e3)
        while not self._closed:
            idle_deadline = time.monotonic() + 2 * IDLE_MS / 1e3
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
            # A fault in one handler must not end the session with all its exchanges.
            logger.exception(
                "handler of a peer's request failed", extra={"exchange": request.name}
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
