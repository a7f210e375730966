"""Trials of beliefs that stop traffic.

A belief that requests would fail, such as an estimate of their duration, is corrected
by the results of requests. If it refuses all of them, nothing corrects it. Therefore
one request is sent against it from time to time.
"""

__all__ = ["TrialSchedule"]

# Time between two trials of one belief of one entry.
TRIAL_INTERVAL_MS = 1_000.0


class TrialSchedule:
    """Decides which requests are sent against one belief.

    :param interval_ms: time between two trials, in ms
    """

    def __init__(self, *, interval_ms=TRIAL_INTERVAL_MS):
        self._interval_ms = interval_ms
        self._next_at = float("-inf")

    def take(self, now):
        """Return whether a request is sent as a trial, and count it as sent.

        :param now: the time in ms
        """
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_ms
        return True
