"""Time in milliseconds.

All times and durations of the package are ``float`` milliseconds. Names of
durations end in ``_ms``; instants are read from :meth:`Clock.now`.
"""

import threading
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock:
    """Source of time; the base class of all clocks."""

    def now(self):
        """Return the monotonic time.

        :returns: milliseconds since an arbitrary start of this process's clock
        """
        raise NotImplementedError

    def wall(self):
        """Return the time of day, for log lines and reports only.

        :returns: milliseconds since 1970-01-01 UTC; never used for ordering
        """
        raise NotImplementedError

    def sleep(self, duration_ms):
        """Suspend the calling thread.

        :param duration_ms: milliseconds; values below zero return at once
        """
        raise NotImplementedError


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self):
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    def wall(self):
        """Return milliseconds since 1970-01-01 UTC."""
        return time.time_ns() / 1e6

    def sleep(self, duration_ms):
        """Suspend the calling thread for ``duration_ms``."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1e3)


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and experiments.

    :param start_ms: the first value of :meth:`now`
    """

    def __init__(self, *, start_ms=0.0):
        self._now = start_ms
        self._moved = threading.Condition()

    def now(self):
        """Return the current manual time in milliseconds."""
        return self._now

    def wall(self):
        """Return the same value as :meth:`now`."""
        return self._now

    def advance(self, duration_ms):
        """Move the clock forward and wake the sleepers.

        :param duration_ms: milliseconds, zero or more
        :raises ValueError: when ``duration_ms`` is negative
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms must be >= 0, got {duration_ms!r}")
        with self._moved:
            self._now += duration_ms
            self._moved.notify_all()

    def sleep(self, duration_ms):
        """Block until :meth:`advance` has moved the clock far enough."""
        end = self._now + duration_ms
        with self._moved:
            self._moved.wait_for(lambda: self._now >= end)
