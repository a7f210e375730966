"""Token buckets that limit the gossip traffic of a node."""

__all__ = ["BURST_BYTES", "BYTES_PER_SECOND", "ByteBudget"]

# A node may send plus receive at most 4 KB/s. Including one burst per direction, the
# limit holds over any 40 s: 3800 + 2 * 4000 / 40 = 4000. Each direction gets half of
# the rate, so that a node flooded with datagrams can still reply. A burst of 2000
# bytes doubled the time in which a drain notice reached 100 entries.
BYTES_PER_SECOND = 3800.0
BURST_BYTES = 4000.0
# UDP and IPv4 headers.
DATAGRAM_OVERHEAD_BYTES = 28


class TokenBucket:
    """Token bucket that refills at a constant rate. Not thread-safe.

    :param clock: source of time
    :param rate: tokens per second
    :param burst: capacity in tokens
    """

    def __init__(self, *, clock, rate, burst):
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = clock.now()

    def available(self):
        """Return the number of tokens currently in the bucket."""
        now = self._clock.now()
        refilled = self._tokens + (now - self._updated) * self._rate / 1e3
        self._tokens = min(self._burst, refilled)
        self._updated = now
        return self._tokens

    def consume(self, amount):
        """Consume tokens if there are enough; return whether there were."""
        if self.available() < amount:
            return False
        self._tokens -= amount
        return True


class ByteBudget:
    """Limits sent and received bytes separately. Not thread-safe.

    At most ``rate * t`` bytes plus one burst per direction are sent and received in
    ``t`` seconds.

    :param clock: source of time
    :param rate: bytes per second, sent plus received
    :param burst: capacity in bytes of each direction's token bucket
    """

    def __init__(self, *, clock, rate=BYTES_PER_SECOND, burst=BURST_BYTES):
        self._sending = TokenBucket(clock=clock, rate=rate / 2, burst=burst)
        self._receiving = TokenBucket(clock=clock, rate=rate / 2, burst=burst)
        self._sent = 0
        self._received = 0

    @property
    def sent_bytes(self):
        """Bytes sent, including datagram headers."""
        return self._sent

    @property
    def received_bytes(self):
        """Bytes received and admitted, including datagram headers."""
        return self._received

    def available(self):
        """Return the content bytes that may be sent now, excluding headers."""
        return self._sending.available() - DATAGRAM_OVERHEAD_BYTES

    def spend(self, size):
        """Charge a datagram of ``size`` content bytes; return whether to send it."""
        size += DATAGRAM_OVERHEAD_BYTES
        if not self._sending.consume(size):
            return False
        self._sent += size
        return True

    def admit(self, size):
        """Charge a received datagram; return whether it may be processed."""
        size += DATAGRAM_OVERHEAD_BYTES
        if not self._receiving.consume(size):
            return False
        self._received += size
        return True
