"""Connection pool of one entry for one upstream."""

import collections
import http.client
import select
import socket
import struct
import threading

__all__ = ["ConnectionLimitReached", "ConnectionPool", "FirstByteTimeout"]

# A request that must not run twice reuses only a connection whose last clean exchange
# is at most this old. Opening a new connection instead costs about 1 ms.
NON_IDEMPOTENT_IDLE_LIMIT_MS = 1000.0
IDLE_LIMIT_MS = 30_000.0
# Limits how long a connection keeps using a network path that has been replaced.
AGE_LIMIT_MS = 600_000.0
# Most responses arrive within this time, so the first receive blocks that long in the
# kernel. Only slower responses need a poll, which also detects a closed caller
# connection.
RECEIVE_TIMEOUT_MS = 20.0
RECEIVE_TIMEVAL = struct.pack("ll", 0, int(RECEIVE_TIMEOUT_MS * 1e3))
INITIAL_TIMEOUT_MS = 250.0
MIN_TIMEOUT_MS = 50.0
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 8
MAX_BACKOFF_FACTOR = 16


class ConnectionLimitReached(OSError):
    """All connections that this entry may open to an upstream are in use."""


class FirstByteTimeout:
    """Adaptive timeout for the first byte of a response on a reused connection.

    Computed from the smoothed mean and deviation of the observed times, like TCP's
    retransmission timeout. After the timeout, the request is retried on a new
    connection. A retry that finds the upstream slow rather than the connection broken
    doubles the timeout, so a general slowdown does not double the upstream's load.
    """

    def __init__(self):
        self._mean = None
        self._deviation = 0.0
        self._backoff = 1.0

    @property
    def timeout_ms(self):
        """The current timeout in ms."""
        if self._mean is None:
            return INITIAL_TIMEOUT_MS * self._backoff
        estimate = self._mean + DEVIATION_FACTOR * self._deviation
        return max(MIN_TIMEOUT_MS, estimate) * self._backoff

    def observe(self, first_byte_ms):
        """Add the first-byte time of a successful exchange."""
        if self._mean is None:
            self._mean = first_byte_ms
            self._deviation = first_byte_ms / 2
        error = first_byte_ms - self._mean
        self._mean += error * MEAN_WEIGHT
        self._deviation += (abs(error) - self._deviation) * DEVIATION_WEIGHT
        self._backoff = max(1.0, self._backoff * (1 - MEAN_WEIGHT))

    def back_off(self):
        """Double the timeout after a retry that found the upstream to be slow."""
        self._backoff = min(MAX_BACKOFF_FACTOR, self._backoff * 2)


class UpstreamConnection(http.client.HTTPConnection):
    """A connection that never reconnects automatically.

    :param address: ``host:port``
    :param opened_at: creation time in ms
    """

    # Automatic reconnection in http.client would send a request twice.
    auto_open = 0

    def __init__(self, *, address, opened_at):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self.opened_at = opened_at
        self.last_used_at = opened_at

    def connect(self):
        """Connect within ``timeout``, then set the kernel's receive timeout.

        A Python socket timeout would add a poll to each send and receive.
        """
        super().connect()
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, RECEIVE_TIMEVAL)

    @property
    def reusable(self):
        """Whether the peer neither closed the connection nor sent unexpected bytes."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)


class ConnectionPool:
    """Idle connections to one upstream and the number of open connections.

    :param address: ``host:port``
    :param clock: source of time
    :param limit: maximum number of open connections
    :param count: called with the name of each connection event, for metrics
    """

    def __init__(self, *, address, clock, limit, count):
        self._address = address
        self._clock = clock
        self._limit = limit
        self._count = count
        self._idle = collections.deque()
        self._open = 0
        self._held_before = float("-inf")
        self._lock = threading.Lock()
        self._first_byte_timeout = FirstByteTimeout()

    @property
    def first_byte_timeout(self):
        """The :class:`FirstByteTimeout` of the upstream."""
        return self._first_byte_timeout

    @property
    def open(self):
        """Number of open connections, idle or in use."""
        return self._open

    @property
    def limit(self):
        """Maximum number of open connections."""
        return self._limit

    @limit.setter
    def limit(self, value):
        self._limit = value

    def checkout(self, *, idempotent):
        """Take an idle connection, or create one that is not connected yet.

        :param idempotent: whether the request may run twice, which allows a connection
            that has been idle for longer
        :raises ConnectionLimitReached: when all connections are in use
        """
        idle_limit_ms = IDLE_LIMIT_MS if idempotent else NON_IDEMPOTENT_IDLE_LIMIT_MS
        while True:
            connection = self._pop()
            if connection is None:
                return self.open_new()
            now = self._clock.now()
            reason = self._close_reason(connection, now, idle_limit_ms)
            if reason is None:
                return connection
            self._count(reason)
            self.discard(connection)

    def open_new(self):
        """Create a connection that is not connected yet but counts as open.

        At the limit, the idle connection unused for longest is closed instead.

        :raises ConnectionLimitReached: when all connections are in use
        """
        with self._lock:
            evicted = None
            if self._open >= self._limit:
                if not self._idle:
                    self._count("limit")
                    raise ConnectionLimitReached(
                        f"{self._address}: all {self._limit} connections are in use"
                    )
                evicted = self._idle.popleft()
                self._open -= 1
            self._open += 1
        if evicted is not None:
            evicted.close()
        self._count("opened")
        return UpstreamConnection(address=self._address, opened_at=self._clock.now())

    def check_in(self, connection):
        """Return a connection to the pool after a clean exchange."""
        connection.last_used_at = self._clock.now()
        with self._lock:
            if self._open <= self._limit:
                self._idle.append(connection)
                return
        self.discard(connection)

    def discard(self, connection):
        """Close a connection that must not be used again."""
        connection.close()
        with self._lock:
            self._open -= 1

    def hold_idle(self):
        """Do not hand out the connections that are idle now until :meth:`end_hold`."""
        self._held_before = self._clock.now()

    def end_hold(self, *, close):
        """Make the connections held by :meth:`hold_idle` available again.

        :param close: whether to close them instead
        """
        held_before = self._held_before
        self._held_before = float("-inf")
        if close:
            self._close_idle(lambda connection: connection.last_used_at < held_before)

    def close(self):
        """Close idle connections now, and those in use when they are returned."""
        self._limit = 0
        self._close_idle(lambda connection: True)

    def _close_idle(self, condition):
        with self._lock:
            closing = [c for c in self._idle if condition(c)]
            self._idle = collections.deque(c for c in self._idle if not condition(c))
            self._open -= len(closing)
        for connection in closing:
            connection.close()

    def _pop(self):
        with self._lock:
            # Connections are ordered by last use, so those held are on the left.
            if self._idle and self._idle[-1].last_used_at >= self._held_before:
                return self._idle.pop()
            return None

    @staticmethod
    def _close_reason(connection, now, idle_limit_ms):
        if now - connection.last_used_at > idle_limit_ms:
            return "idle"
        if now - connection.opened_at > AGE_LIMIT_MS:
            return "age"
        return None if connection.reusable else "closed-by-peer"
