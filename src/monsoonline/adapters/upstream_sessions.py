"""Connections to upstreams, with a load probe before each request.

The probe also verifies that the connection works and which upstream it leads to, so
a request that must not run twice never starts on an unresponsive connection.
"""

import collections
import http.client
import io
import itertools
import random
import select
import socket
import threading

from monsoonline.adapters.http_response import (
    MAX_RESPONSE_BYTES,
    ResponseStream,
    read_framed_response,
)
from monsoonline.adapters.receive_budget import ReceiveBudget

__all__ = ["Probe", "SessionFailed", "SessionPool", "UpstreamSession"]

# Upstreams close idle connections after the timeout stated in Keep-Alive. The margin
# covers the transmission time of the next request.
IDLE_MARGIN_MS = 1_000.0
DEFAULT_IDLE_LIMIT_MS = 9_000.0
# The kernel closes a connection whose peer acknowledges no data for this time.
USER_TIMEOUT_MS = 3_000
# Maximum number of responses to read while waiting for the expected one. The others
# belong to earlier probes or match no request.
MAX_STRAY_RESPONSES = 8
MAX_IDLE_SESSIONS = 4
FIRST_PROBE_NUMBER_BITS = 63
# Time after the deadline in which bytes that have arrived are still read.
READ_OVERTIME_MS = 50.0
MAX_PROBE_RESPONSE_BYTES = 64 << 10
# Longest wait for the rest of a response that has begun to arrive before a probe.
DRAIN_TIMEOUT_MS = 5.0
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))
READ_EVENTS = select.POLLIN | select.POLLRDHUP


class SessionFailed(Exception):
    """A session did not yield a complete response.

    :param message: human-readable description
    :param sent: whether any byte of a request may have been sent
    :param timed_out: whether the wait timed out
    """

    def __init__(self, message, *, sent, timed_out=False):
        super().__init__(message)
        self._sent = sent
        self._timed_out = timed_out

    @property
    def sent(self):
        """Whether any byte of a request may have been sent."""
        return self._sent

    @property
    def timed_out(self):
        """Whether the wait timed out."""
        return self._timed_out


class Probe:
    """Encodes the requests that probe the load of upstreams.

    :param path: path of the probe requests
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    """

    def __init__(self, *, path, names):
        self._path = path
        self._names = names

    @property
    def path(self):
        """Path of the probe requests."""
        return self._path

    def encode(self, address, request_id, instance):
        """Return the encoded bytes of a probe request.

        :param instance: the only upstream that may respond; another one at its
            address, whose probes have another path, would run the probe as a request
        """
        return (
            f"GET {self._path} HTTP/1.1\r\nHost: {address}\r\n"
            f"{self._names.request_id}: {request_id}\r\n"
            f"{self._names.intended_instance}: {instance}\r\n\r\n"
        ).encode("latin-1")


class SessionReader(io.RawIOBase):
    """Reads from a non-blocking socket until :attr:`deadline`.

    A peer that sends without end is read only shortly beyond it.

    :param connection: the socket
    :param clock: source of time
    :param received: :class:`monsoonline.adapters.receive_budget.ReceivedBytes` of the
        session
    """

    def __init__(self, *, connection, clock, received):
        self._connection = connection
        self._received = received
        self._clock = clock
        self._poller = select.poll()
        self._poller.register(connection, READ_EVENTS)
        self.deadline = 0.0
        # Whether to read nothing from the socket, so that only buffered bytes are seen.
        self.buffer_only = False

    def readable(self):
        """Return true, as ``io`` requires."""
        return True

    def readinto(self, buffer):
        """Wait for bytes and read them; called by :class:`io.BufferedReader`."""
        if self.buffer_only:
            return None
        while True:
            wait_ms = self.deadline - self._clock.now()
            if wait_ms <= -READ_OVERTIME_MS:
                raise TimeoutError("no complete response within the time limit")
            try:
                size = self._connection.recv_into(buffer)
                self._received.add(size)
                return size
            except BlockingIOError:
                if wait_ms <= 0 or not self._poller.poll(max(1.0, wait_ms)):
                    raise TimeoutError("no response within the time limit") from None


class UpstreamSession:
    """One connection to an upstream, used by one task at a time.

    :param address: ``host:port`` with an IP address
    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param budget: :class:`monsoonline.adapters.receive_budget.ReceiveBudget`
    """

    # Random, since upstreams get probes of many processes.
    _probe_numbers = itertools.count(random.getrandbits(FIRST_PROBE_NUMBER_BITS))

    def __init__(self, *, address, clock, names, budget):
        self._received = budget.open()
        self._address = address
        self._clock = clock
        self._names = names
        self._socket = None
        self._reader = None
        self._stream = None
        # Ids of the probes whose responses were not read, the oldest first. Responses
        # need not repeat the id; they arrive in the order of the probes.
        self._unread_probe_ids = collections.deque()
        self._idle_limit_ms = DEFAULT_IDLE_LIMIT_MS
        # Set after an unexpected response, an error, or when the peer will close.
        self._close_after_use = False
        self.last_used_at = clock.now()

    @property
    def address(self):
        """``host:port`` of the upstream."""
        return self._address

    @property
    def reusable(self):
        """Whether another request may be sent after the last complete response."""
        return self._socket is not None and not self._close_after_use

    @property
    def expired(self):
        """Whether the peer may be about to close the idle connection."""
        return self._clock.now() - self.last_used_at > self._idle_limit_ms

    @property
    def connected(self):
        """Whether requests can be sent."""
        return self._stream is not None

    @property
    def connecting(self):
        """Whether connecting has started but is not complete."""
        return self._socket is not None and self._stream is None

    def fileno(self):
        """Return the file descriptor for ``poll``."""
        return self._socket.fileno()

    def begin_connect(self):
        """Start connecting without blocking."""
        host, _, port = self._address.rpartition(":")
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket = connection
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        connection.connect_ex((host, int(port)))

    def end_connect(self):
        """Complete connecting after ``poll`` reported the socket as writable.

        :raises SessionFailed: when connecting failed
        """
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise SessionFailed(f"{self._address}: connect error {error}", sent=False)
        self._reader = SessionReader(
            connection=self._socket, clock=self._clock, received=self._received
        )
        self._stream = ResponseStream(self._reader)

    def send_probe(self, probe, instance):
        """Send a load probe.

        :param probe: the :class:`Probe`
        :param instance: id of the upstream that it is for
        :raises SessionFailed: when the connection is lost or holds bytes that belong to
            no probe, such as a response written twice
        """
        self._drain()
        request_id = f"{next(self._probe_numbers):016x}"
        self._unread_probe_ids.append(request_id)
        self._send(probe.encode(self._address, request_id, instance), self._clock.now())

    def read_probe(self, *, deadline):
        """Return the response to the last probe.

        The session is not reusable after a response that belongs to no probe.

        :param deadline: clock time in ms
        :raises SessionFailed: when none was received by the deadline
        """
        for _ in range(MAX_STRAY_RESPONSES):
            response = self._read_probe_response(deadline)
            self._match_probe(response)
            if not self._unread_probe_ids:
                if self._has_unread_bytes():
                    self._close_after_use = True
                return response
        raise SessionFailed(f"{self._address}: no response to a probe", sent=True)

    def send_request(self, request, *, headers, deadline):
        """Send a caller's request.

        :param request: the :class:`monsoonline.types.Request`
        :param headers: the header pairs to send
        :param deadline: clock time in ms
        :raises SessionFailed: when the connection is lost
        """
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if request.body or request.method in BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        lines.append("\r\n")
        self._send("\r\n".join(lines).encode("latin-1") + request.body, deadline)

    def read_request(self, request, request_id, *, deadline):
        """Return the complete response to a request once the socket is readable.

        :param request: the request that was sent
        :param request_id: id of the request, which identifies its response
        :param deadline: clock time in ms by which a response must be complete
        :returns: the response, ``None`` if only responses to other requests arrived
        :raises SessionFailed: when the response is incomplete or invalid
        """
        for _ in range(MAX_STRAY_RESPONSES):
            response = self._read_one(request.method, deadline)
            received_id = response.header(self._names.request_id)
            if received_id == request_id:
                return response
            self._close_after_use = True
            if not self._has_buffered_bytes():
                return None
        raise SessionFailed(f"{self._address}: too many stray responses", sent=True)

    def close(self):
        """Close the connection; the upstream drops any work in progress for it."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send(self, content, deadline):
        view = memoryview(content)
        poller = None
        try:
            while view:
                try:
                    view = view[self._socket.send(view) :]
                    continue
                except BlockingIOError:
                    pass
                if poller is None:
                    poller = select.poll()
                    poller.register(self._socket, select.POLLOUT)
                wait_ms = deadline - self._clock.now()
                if wait_ms <= 0 or not poller.poll(max(1.0, wait_ms)):
                    raise TimeoutError(
                        "the request could not be sent before the deadline"
                    )
        except OSError as error:
            raise self._failed(error) from error

    def _read_probe_response(self, deadline):
        return self._read_one("GET", deadline, max_bytes=MAX_PROBE_RESPONSE_BYTES)

    def _read_one(self, method, deadline, *, max_bytes=MAX_RESPONSE_BYTES):
        if self._socket is None:
            raise SessionFailed(f"{self._address}: the session is closed", sent=True)
        self._reader.deadline = deadline
        try:
            framed = read_framed_response(
                self._stream,
                method=method,
                allow_close_delimited=True,
                max_bytes=max_bytes,
            )
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._failed(error) from error
        finally:
            self._received.reset()
        if not framed.keep_alive:
            self._close_after_use = True
        if framed.keep_alive_timeout_ms is not None:
            self._idle_limit_ms = max(
                0.0, framed.keep_alive_timeout_ms - IDLE_MARGIN_MS
            )
        self.last_used_at = self._clock.now()
        return framed.response

    def _match_probe(self, response):
        """Remove the probe of a response, and those before it, from the unread ones.

        Marks the session for closing after a response that belongs to no probe.
        """
        unread = self._unread_probe_ids
        received_id = response.header(self._names.request_id)
        if received_id is None:
            unread.popleft()
        elif received_id in unread:
            while unread.popleft() != received_id:
                pass
        else:
            self._close_after_use = True

    def _drain(self):
        """Read the responses to earlier probes that have arrived.

        :raises SessionFailed: when other bytes have arrived
        """
        for _ in range(MAX_STRAY_RESPONSES):
            if not self._unread_probe_ids or not self._has_unread_bytes():
                break
            deadline = self._clock.now() + DRAIN_TIMEOUT_MS
            self._match_probe(self._read_probe_response(deadline))
        if self._close_after_use or self._has_unread_bytes():
            raise SessionFailed(
                f"{self._address}: the connection holds unexpected bytes", sent=False
            )

    def _has_unread_bytes(self):
        """Return whether bytes, or the end of the connection, can be read now."""
        if self._has_buffered_bytes():
            return True
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _has_buffered_bytes(self):
        self._reader.buffer_only = True
        try:
            return bool(self._stream.peek(1))
        finally:
            self._reader.buffer_only = False

    def _failed(self, error):
        self._close_after_use = True
        return SessionFailed(
            f"{self._address}: {error!r}",
            sent=True,
            timed_out=isinstance(error, TimeoutError),
        )


class SessionPool:
    """Pool of idle sessions by upstream address.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param budget: :class:`monsoonline.adapters.receive_budget.ReceiveBudget` of all
        sessions, one with the default limit when omitted
    """

    def __init__(self, *, clock, names, budget=None):
        self._budget = budget or ReceiveBudget()
        self._clock = clock
        self._names = names
        self._idle = collections.defaultdict(collections.deque)
        self._lock = threading.Lock()

    def checkout(self, address):
        """Take an idle session, or create one that is not connected.

        The peer may have closed an idle session, which the probe before the next
        request detects.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                session = idle.pop() if idle else None
            if session is None:
                return self.open_new(address)
            if not session.expired:
                return session
            session.close()

    def open_new(self, address):
        """Create a session that is not connected."""
        return UpstreamSession(
            address=address,
            clock=self._clock,
            names=self._names,
            budget=self._budget,
        )

    def check_in(self, session):
        """Return a session to the pool, or close it if it cannot be reused."""
        if session.reusable:
            with self._lock:
                idle = self._idle[session.address]
                if len(idle) < MAX_IDLE_SESSIONS:
                    idle.append(session)
                    return
        session.close()

    def close_idle(self, address):
        """Close the idle sessions to an address."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for session in idle:
            session.close()

    def retain(self, addresses):
        """Close the idle sessions to all but the given addresses."""
        with self._lock:
            removed = [self._idle.pop(a) for a in set(self._idle) - set(addresses)]
        for idle in removed:
            for session in idle:
                session.close()

    def close(self):
        """Close all idle sessions."""
        self.retain(())
