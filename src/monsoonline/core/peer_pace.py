"""Pace at which a peer sends or receives the bytes that a process holds for it."""

__all__ = ["FAIR_BYTES_PER_S", "PeerPace"]

# Slowest pace, in bytes per second, at which a peer never falls behind.
FAIR_BYTES_PER_S = 32 << 10


class PeerPace:
    """Measures how far a peer is behind a fair pace.

    Only the time for which this process waits for the peer counts, so that a peer is
    not blamed for a process that was busy or suspended.

    :param fair_bytes_per_s: slowest fair pace in bytes per second
    """

    __slots__ = (
        "_behind_ms",
        "_fair_bytes_per_ms",
        "_least_ms",
        "_waits_since",
        "_waits_until",
    )

    def __init__(self, *, fair_bytes_per_s=FAIR_BYTES_PER_S):
        self._fair_bytes_per_ms = fair_bytes_per_s / 1e3
        self.reset()

    def reset(self, *, credit_ms=0.0):
        """Begin another message.

        :param credit_ms: time in ms by which the peer may be ahead, and is at first
        """
        self._least_ms = self._behind_ms = -credit_ms
        self._waits_since = self._waits_until = None

    def begin_wait(self, now, timeout_ms):
        """Record that this process waits for the peer for at most ``timeout_ms``."""
        self._waits_until = now + timeout_ms
        self._waits_since = now

    def end_wait(self, now):
        """Record that this process stopped waiting."""
        self._behind_ms = self.behind_ms(now)
        self._waits_since = None

    def move(self, size):
        """Record that the peer has sent or received bytes."""
        behind_ms = self._behind_ms - size / self._fair_bytes_per_ms
        self._behind_ms = max(self._least_ms, behind_ms)

    def behind_ms(self, now):
        """Return the time in ms by which the peer is behind a fair pace.

        It is negative for a peer that is ahead.
        """
        since = self._waits_since
        if since is None:
            return self._behind_ms
        return self._behind_ms + max(0.0, min(now, self._waits_until) - since)
