"""A retry budget that all entries share without exchanging messages.

Each entry may retry a share of its own first attempts, plus its part of a constant
that is divided by the number of entries. The sum over all entries therefore stays
within the budget of the pool, however callers are distributed.
"""

import collections
import dataclasses
import threading

__all__ = ["RetryBudget", "RetryLimits"]

# Share of the budget that is used; the rest covers requests that other entries count in
# a different window, and entries that do not know of each other yet.
BUDGET_SHARE = 0.85
# Share of the budget that hedges may use; the rest is left for retries of rejected
# requests.
HEDGE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """The retry budget of one pool, for all entries together.

    :param ratio: retries allowed per first attempt
    :param slack: additional retries allowed per window
    :param window_ms: length of the sliding window
    """

    ratio: float
    slack: float
    window_ms: float


class RetryBudget:
    """Counts first attempts and retries of one pool in a sliding window.

    :param limits: the :class:`RetryLimits`
    """

    def __init__(self, *, limits):
        self._limits = limits
        self._lock = threading.Lock()
        self._first_attempts = collections.deque()
        self._retries = collections.deque()

    def use_limits(self, limits):
        """Replace the :class:`RetryLimits`."""
        self._limits = limits

    def record_first_attempt(self, now):
        """Count a first attempt."""
        with self._lock:
            self._expire(now)
            self._first_attempts.append(now)

    def try_acquire(self, now, *, entries, hedge=False):
        """Return whether the budget allows one more retry, and count it if so.

        :param now: the time in ms
        :param entries: number of entries that share the budget
        :param hedge: whether the retry is a hedge
        """
        with self._lock:
            self._expire(now)
            allowed = BUDGET_SHARE * (
                self._limits.ratio * len(self._first_attempts)
                + self._limits.slack / max(1, entries)
            )
            if hedge:
                allowed *= HEDGE_SHARE
            if len(self._retries) + 1 > allowed:
                return False
            self._retries.append(now)
            return True

    def release(self):
        """Return the newest retry to the budget, after no upstream was found for it."""
        with self._lock:
            if self._retries:
                self._retries.pop()

    def _expire(self, now):
        oldest = now - self._limits.window_ms
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest:
                times.popleft()
