"""Counts of operations, with the highest count in any window of one second."""

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
        """Count one event at the present instant."""
        with self._lock:
            self._recent.append(self._clock.now())
            self._drop_old()
            self._total += 1
            self._maximum = max(self._maximum, len(self._recent))

    def reset(self):
        """Forget everything counted so far."""
        with self._lock:
            self._recent.clear()
            self._total = 0
            self._maximum = 0

    def snapshot(self):
        """Return ``total``, ``last_second`` and ``max_per_second``."""
        with self._lock:
            self._drop_old()
            return {
                "total": self._total,
                "last_second": len(self._recent),
                "max_per_second": self._maximum,
            }

    def _drop_old(self):
        limit = self._clock.now() - WINDOW_MS
        while self._recent and self._recent[0] <= limit:
            self._recent.popleft()
