"""Operation counters that also track the highest rate per second."""

import collections
import threading

__all__ = ["RateCounter"]

WINDOW_MS = 1000.0


class RateCounter:
    """Counts events in total and in a sliding window of 1 s.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._recent = collections.deque()
        self._total = 0
        self._maximum = 0

    def record(self):
        """Count one event at the current time."""
        with self._lock:
            self._recent.append(self._clock.now())
            self._remove_expired()
            self._total += 1
            self._maximum = max(self._maximum, len(self._recent))

    def reset(self):
        """Set all counts to zero."""
        with self._lock:
            self._recent.clear()
            self._total = 0
            self._maximum = 0

    def snapshot(self):
        """Return ``total``, ``last_second`` and ``max_per_second``."""
        with self._lock:
            self._remove_expired()
            return {
                "total": self._total,
                "last_second": len(self._recent),
                "max_per_second": self._maximum,
            }

    def _remove_expired(self):
        window_start = self._clock.now() - WINDOW_MS
        while self._recent and self._recent[0] <= window_start:
            self._recent.popleft()
