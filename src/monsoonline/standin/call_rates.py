"""Limits on the rate of calls, summed over all callers."""

import collections
import threading
import time

__all__ = ["CallRateLimiter"]

WINDOW_S = 1.0


class CallRateLimiter:
    """Limits the calls in a sliding window of 1 s.

    :param limit: maximum calls per second; ``None`` for no limit
    """

    def __init__(self, *, limit=None):
        self._limit = limit
        self._times = collections.deque()
        self._lock = threading.Lock()

    def try_acquire(self):
        """Count one call and return whether it is within the limit."""
        if self._limit is None:
            return True
        now = time.monotonic()
        with self._lock:
            while self._times and self._times[0] <= now - WINDOW_S:
                self._times.popleft()
            if len(self._times) >= self._limit:
                return False
            self._times.append(now)
            return True
