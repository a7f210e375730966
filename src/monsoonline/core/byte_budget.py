"""Token buckets for the bytes that a node spends on gossip."""

__all__ = ["BURST_BYTES", "BYTES_PER_SECOND", "ByteBudget"]

# Requirement: at most 4 KB/s sent plus received per node. With the bursts of both
# directions it holds over each 40 s: 3800 + 2 * 4000 / 40 = 4000. Half is for each
# direction, so that a node that receives too much can still reply. A burst of 2000
# took twice as long to spread a drain notice over 100 entries.
BYTES_PER_SECOND = 3800.0
BURST_BYTES = 4000.0
# A datagram's UDP and IPv4 headers are counted with it.
DATAGRAM_OVERHEAD_BYTES = 28


class TokenBucket:
    """Tokens that grow with time up to a burst. Not safe under threads.

    :param clock: source of time
    :param rate: tokens per second
    :param burst: tokens saved up at most
    """

    def __init__(self, *, clock, rate, burst):
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = clock.now()

    def available(self):
        """Return the tokens there are now."""
        now = self._clock.now()
        grown = self._tokens + (now - self._updated) * self._rate / 1e3
        self._tokens = min(self._burst, grown)
        self._updated = now
        return self._tokens

    def take(self, amount):
        """Take tokens when there are enough; return whether there were."""
        if self.available() < amount:
            return False
        self._tokens -= amount
        return True


class ByteBudget:
    """Limits sent and received bytes. Not safe under threads.

    Over ``t`` seconds at most ``rate * t`` plus a burst for each direction are used.

    :param clock: source of time
    :param rate: bytes per second, sent plus received
    :param burst: bytes saved up at most in each direction
    """

    def __init__(self, *, clock, rate=BYTES_PER_SECOND, burst=BURST_BYTES):
        self._sending = TokenBucket(clock=clock, rate=rate / 2, burst=burst)
        self._receiving = TokenBucket(clock=clock, rate=rate / 2, burst=burst)
        self._sent = 0
        self._received = 0

    @property
    def sent_bytes(self):
        """Bytes sent, with datagram headers."""
        return self._sent

    @property
    def received_bytes(self):
        """Bytes received and admitted, with datagram headers."""
        return self._received

    def available(self):
        """Return the content bytes that may be sent now."""
        return self._sending.available() - DATAGRAM_OVERHEAD_BYTES

    def spend(self, size):
        """Count a datagram to be sent; return whether it may be sent."""
        size += DATAGRAM_OVERHEAD_BYTES
        if not self._sending.take(size):
            return False
        self._sent += size
        return True

    def admit(self, size):
        """Count a received datagram; return whether it may be processed."""
        size += DATAGRAM_OVERHEAD_BYTES
        if not self._receiving.take(size):
            return False
        self._received += size
        return True
