"""Connections to upstreams, with a load probe before each request.

The probe also verifies that the connection works and which upstream it leads to, so
a request that must not run twice never starts on an unresponsive connection.
"""

import collections
import http.client
import itertools
import random
import select
import socket
import threading

from monsoonline.adapters.http_response import MAX_RESPONSE_BYTES
from monsoonline.adapters.response_assembly import ResponseAssembler
from monsoonline.adapters.socket_queue import unacknowledged_bytes
from monsoonline.core.memory_account import MemoryAccount, Phase

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
RECEIVE_BYTES = 64 << 10
# Bytes to receive before other connections are served again.
MAX_RECEIVED_AT_ONCE_BYTES = 1 << 20
MAX_PROBE_RESPONSE_BYTES = 64 << 10
# Bytes of probe responses to receive before they are checked.
MAX_PROBE_RECEIVED_BYTES = 128 << 10
# Longest wait for the rest of a response that has begun to arrive before a probe.
DRAIN_TIMEOUT_MS = 5.0
# A larger body is sent by itself, which saves a copy.
MAX_JOINED_BODY_BYTES = 64 << 10
# Limit of the responses in progress, unless the pool is given an account.
DEFAULT_BYTES = 32 << 20
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


class UpstreamSession:
    """One connection to an upstream, used by one task at a time.

    Reading never waits: a response is returned once it is complete, so that an upstream
    that sends slowly, or without end, does not hold the task.

    :param address: ``host:port`` with an IP address
    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param account: :class:`monsoonline.core.memory_account.MemoryAccount`
    """

    # Random, since upstreams get probes of many processes.
    _probe_numbers = itertools.count(random.getrandbits(FIRST_PROBE_NUMBER_BITS))

    def __init__(self, *, address, clock, names, account):
        self._memory = account.open(phase=Phase.UPSTREAM)
        self._address = address
        self._clock = clock
        self._names = names
        self._socket = None
        self._assembler = None
        # Time of the first byte of an incomplete response, None without one.
        self._receiving_since = None
        self._stray_responses = 0
        self._paused_at = None
        # Whether sending failed, which takes the error of a reset from the socket.
        self._send_failed = False
        # Whether a reset ended the connection, which is no end of a response.
        self._lost = False
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
        return self._assembler is not None

    @property
    def receiving_since(self):
        """Time in ms at which an incomplete response began, ``None`` without one."""
        return self._receiving_since

    @property
    def paused_at(self):
        """Time in ms at which there was no memory to read on, ``None`` if there was."""
        return self._paused_at

    @property
    def connecting(self):
        """Whether connecting has started but is not complete."""
        return self._socket is not None and self._assembler is None

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
        self._assembler = ResponseAssembler(memory=self._memory)

    def send_probe(self, probe, instance):
        """Send a load probe.

        :param probe: the :class:`Probe`
        :param instance: id of the upstream that it is for
        :raises SessionFailed: when the connection is lost or holds bytes that belong to
            no probe, such as a response written twice
        """
        self._drain()
        self._stray_responses = 0
        request_id = f"{next(self._probe_numbers):016x}"
        self._unread_probe_ids.append(request_id)
        self._send(probe.encode(self._address, request_id, instance), self._clock.now())

    def read_probe(self):
        """Return the response to the last probe once it is complete.

        The session is not reusable after a response that belongs to no probe.

        :returns: the response, ``None`` while it is incomplete
        :raises SessionFailed: when the response is cut off or invalid
        """
        self._receive()
        while (response := self._take_probe_response()) is not None:
            self._match_probe(response)
            if not self._unread_probe_ids:
                if self._has_unread_bytes():
                    self._close_after_use = True
                return response
            self._count_stray_response()
        self._check_lost()
        return None

    def send_request(self, request, *, headers, deadline):
        """Send a caller's request.

        :param request: the :class:`monsoonline.types.Request`
        :param headers: the header pairs to send
        :param deadline: clock time in ms
        :raises SessionFailed: when the connection is lost
        """
        self._stray_responses = 0
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if request.body or request.method in BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        lines.append("\r\n")
        head = "\r\n".join(lines).encode("latin-1")
        if len(request.body) <= MAX_JOINED_BODY_BYTES:
            self._send(head + request.body, deadline)
        else:
            self._send(head, deadline)
            self._send(request.body, deadline)

    def read_request(self, request, request_id):
        """Return the response to a request once it is complete.

        :param request: the request that was sent
        :param request_id: id of the request, which identifies its response
        :returns: the response, ``None`` while it is incomplete
        :raises SessionFailed: when the response is cut off or invalid
        """
        self._receive(limited=True)
        while (response := self._take(request.method)) is not None:
            if response.header(self._names.request_id) == request_id:
                if request.memory is not None:
                    request.memory.force(request.memory.size + len(response.body))
                return response
            self._close_after_use = True
            self._count_stray_response()
        self._check_lost()
        return None

    def close(self):
        """Close the connection; the upstream drops any work in progress for it."""
        self._memory.release()
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
            self._send_failed = True
            raise self._failed(error) from error

    def _receive(self, *, limited=False):
        """Receive the bytes that have arrived, without waiting for others.

        :param limited: whether bytes for which there is no memory stay with the kernel,
            so that the upstream sends no more
        :raises SessionFailed: when the connection is lost
        """
        if self._socket is None:
            raise SessionFailed(f"{self._address}: the session is closed", sent=True)
        received = 0
        max_bytes = MAX_RECEIVED_AT_ONCE_BYTES if limited else MAX_PROBE_RECEIVED_BYTES
        try:
            while received < max_bytes:
                room = self._find_room() if limited else RECEIVE_BYTES
                if not room:
                    return
                content = self._socket.recv(room)
                if not content:
                    if self._is_reset():
                        self._lost = True
                    else:
                        self._assembler.feed_end()
                    return
                self._assembler.feed(content)
                if self._receiving_since is None:
                    self._receiving_since = self._clock.now()
                received += len(content)
                if len(content) < room:
                    return
        except BlockingIOError:
            return
        except (OSError, http.client.HTTPException) as error:
            raise self._failed(error) from error

    def _find_room(self):
        """Return how many bytes may be received; the session pauses at 0."""
        room = self._memory.room_for(RECEIVE_BYTES)
        self._paused_at = None if room else self._clock.now()
        return room

    def _is_reset(self):
        """Return whether the connection, whose end was read, was reset.

        The upstream may have closed its side first. The end is reported then, and not
        the reset that followed it, or that will follow once it gets what it has not
        read of the request.
        """
        return (
            self._send_failed
            or self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            or unacknowledged_bytes(self._socket) > 0
        )

    def _check_lost(self):
        if self._lost:
            raise self._failed(ConnectionError("lost before the whole response"))

    def _take_probe_response(self):
        return self._take("GET", max_bytes=MAX_PROBE_RESPONSE_BYTES)

    def _take(self, method, *, max_bytes=MAX_RESPONSE_BYTES):
        """Return the next response that has arrived, ``None`` while it is incomplete.

        :raises SessionFailed: when it is cut off or invalid
        """
        try:
            framed = self._assembler.take(method=method, max_bytes=max_bytes)
        except (http.client.HTTPException, ValueError) as error:
            raise self._failed(error) from error
        if framed is None:
            return None
        now = self._clock.now()
        self._paused_at = None
        self._receiving_since = None if self._assembler.empty else now
        if not framed.keep_alive:
            self._close_after_use = True
        if framed.keep_alive_timeout_ms is not None:
            self._idle_limit_ms = max(
                0.0, framed.keep_alive_timeout_ms - IDLE_MARGIN_MS
            )
        self.last_used_at = now
        return framed.response

    def _count_stray_response(self):
        self._stray_responses += 1
        if self._stray_responses >= MAX_STRAY_RESPONSES:
            raise SessionFailed(f"{self._address}: too many stray responses", sent=True)

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
        """Read the responses to earlier probes that have arrived, or begun to arrive.

        :raises SessionFailed: when other bytes have arrived
        """
        self._stray_responses = 0
        deadline = self._clock.now() + DRAIN_TIMEOUT_MS
        while self._unread_probe_ids and self._has_unread_bytes():
            self._receive()
            response = self._take_probe_response()
            if response is not None:
                self._match_probe(response)
                self._count_stray_response()
            elif not self._wait_readable(deadline - self._clock.now()):
                break
        if self._close_after_use or self._has_unread_bytes():
            raise SessionFailed(
                f"{self._address}: the connection holds unexpected bytes", sent=False
            )

    def _wait_readable(self, timeout_ms):
        poller = select.poll()
        poller.register(self._socket, READ_EVENTS)
        return timeout_ms > 0 and bool(poller.poll(timeout_ms))

    def _has_unread_bytes(self):
        """Return whether bytes, or the end of the connection, can be read now."""
        if not self._assembler.empty:
            return True
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _failed(self, error):
        self._close_after_use = True
        self._memory.release()
        return SessionFailed(
            f"{self._address}: {error!r}",
            sent=True,
            timed_out=isinstance(error, TimeoutError),
        )


class SessionPool:
    """Pool of idle sessions by upstream address.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param account: :class:`monsoonline.core.memory_account.MemoryAccount`, one with
        the default limit when omitted
    """

    def __init__(self, *, clock, names, account=None):
        self._account = account or MemoryAccount(max_bytes=DEFAULT_BYTES, clock=clock)
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
            account=self._account,
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
