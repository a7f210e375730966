"""The connections of one entry to one upstream."""

import collections
import http.client
import select
import socket
import struct
import threading

__all__ = ["ConnectionLimitReached", "ConnectionPool", "ProbeTimeout"]

# A request that must not run twice starts only on a connection whose last clean
# exchange is not older than this; otherwise a new connection costs about 1 ms.
PROOF_AGE_MS = 1000.0
IDLE_LIMIT_MS = 30_000.0
# Bounds how long a connection that bypasses changed network paths stays in use.
AGE_LIMIT_MS = 600_000.0
# Most answers arrive within this time, so the first receive blocks that long in the
# kernel. Only later answers cost a poll, which also sees the caller hang up.
RECEIVE_SLICE_MS = 20.0
RECEIVE_SLICE = struct.pack("ll", 0, int(RECEIVE_SLICE_MS * 1e3))
FIRST_PROBE_MS = 250.0
SHORTEST_PROBE_MS = 50.0
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 8
LARGEST_BACKOFF = 16


class ConnectionLimitReached(OSError):
    """All connections that this entry may open to the upstream are in use."""


class ProbeTimeout:
    """How long an old connection may take until the first byte of an answer.

    A smoothed mean and deviation of the observed times, as TCP computes its
    retransmission timeout. Each probe of an upstream that was merely slow doubles
    the timeout, so a general slowdown does not double the upstream's load.
    """

    def __init__(self):
        self._mean = None
        self._deviation = 0.0
        self._backoff = 1.0

    @property
    def timeout_ms(self):
        """The current timeout in ms."""
        if self._mean is None:
            return FIRST_PROBE_MS * self._backoff
        estimate = self._mean + DEVIATIONS * self._deviation
        return max(SHORTEST_PROBE_MS, estimate) * self._backoff

    def observe(self, first_byte_ms):
        """Add the time of an answer that arrived without a probe."""
        if self._mean is None:
            self._mean = first_byte_ms
            self._deviation = first_byte_ms / 2
        error = first_byte_ms - self._mean
        self._mean += error * MEAN_WEIGHT
        self._deviation += (abs(error) - self._deviation) * DEVIATION_WEIGHT
        self._backoff = max(1.0, self._backoff * (1 - MEAN_WEIGHT))

    def back_off(self):
        """Double the timeout after a probe of an upstream that was only slow."""
        self._backoff = min(LARGEST_BACKOFF, self._backoff * 2)


class UpstreamConnection(http.client.HTTPConnection):
    """A connection that never reconnects by itself.

    :param address: ``host:port``
    :param opened: instant in ms
    """

    # A reconnection inside the library would send a request a second time.
    auto_open = 0

    def __init__(self, *, address, opened):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self.opened = opened
        self.proved = opened

    def connect(self):
        """Connect within ``timeout``, then let receives block for a slice.

        A timeout of the Python socket would add a poll to each send and receive.
        """
        super().connect()
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, RECEIVE_SLICE)

    @property
    def quiet(self):
        """Whether the peer neither closed the connection nor sent stray bytes."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)


class ConnectionPool:
    """Idle connections to one upstream and the count of those in use.

    :param address: ``host:port``
    :param clock: source of time
    :param limit: connections open at once
    :param count: called with the name of each event, for counters
    """

    def __init__(self, *, address, clock, limit, count):
        self._address = address
        self._clock = clock
        self._limit = limit
        self._count = count
        self._idle = collections.deque()
        self._open = 0
        self._suspect_before = float("-inf")
        self._lock = threading.Lock()
        self._probe = ProbeTimeout()

    @property
    def probe(self):
        """The :class:`ProbeTimeout` of the upstream."""
        return self._probe

    @property
    def open(self):
        """Number of connections, idle and in use."""
        return self._open

    @property
    def limit(self):
        """Connections open at once."""
        return self._limit

    @limit.setter
    def limit(self, value):
        self._limit = value

    def checkout(self, *, idempotent):
        """Take an idle connection, or a new one that is not connected yet.

        :param idempotent: whether a connection without recent proof will do
        :raises ConnectionLimitReached: when no connection may be opened
        """
        proof_limit = IDLE_LIMIT_MS if idempotent else PROOF_AGE_MS
        while True:
            connection = self._pop()
            if connection is None:
                return self.open_new()
            now = self._clock.now()
            reason = self._reason_to_close(connection, now, proof_limit)
            if reason is None:
                return connection
            self._count(reason)
            self.discard(connection)

    def open_new(self):
        """Return a connection that is not connected yet, counted as open.

        :raises ConnectionLimitReached: when no connection may be opened
        """
        with self._lock:
            victim = None
            if self._open >= self._limit:
                if not self._idle:
                    self._count("limit")
                    raise ConnectionLimitReached(
                        f"{self._address}: all {self._limit} connections are in use"
                    )
                victim = self._idle.popleft()
                self._open -= 1
            self._open += 1
        if victim is not None:
            victim.close()
        self._count("opened")
        return UpstreamConnection(address=self._address, opened=self._clock.now())

    def check_in(self, connection):
        """Return a connection after a clean exchange."""
        connection.proved = self._clock.now()
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

    def suspect(self):
        """Hold back the connections whose proof is older than this moment."""
        self._suspect_before = self._clock.now()

    def resolve(self, *, close):
        """End the suspicion.

        :param close: whether to close the connections that were held back
        """
        before = self._suspect_before
        self._suspect_before = float("-inf")
        if close:
            self._close_idle(lambda connection: connection.proved < before)

    def close(self):
        """Close the idle connections; those in use close when they come back."""
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
            # Held back ones are at the left, the latest proof is at the right.
            if self._idle and self._idle[-1].proved >= self._suspect_before:
                return self._idle.pop()
            return None

    @staticmethod
    def _reason_to_close(connection, now, proof_limit):
        if now - connection.proved > proof_limit:
            return "idle"
        if now - connection.opened > AGE_LIMIT_MS:
            return "age"
        return None if connection.quiet else "closed-by-peer"
