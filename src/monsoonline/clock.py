"""Clocks that return time in milliseconds.

All times and durations in the package are ``float`` milliseconds. Names of durations
end in ``_ms``; points in time come from :meth:`Clock.now`.
"""

import threading
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock:
    """Base class of clocks."""

    def now(self):
        """Return the monotonic time.

        :returns: milliseconds since an arbitrary reference point of this process
        """
        raise NotImplementedError

    def boot(self):
        """Return the time since the machine started, which counts suspension.

        :returns: milliseconds since an arbitrary reference point of this machine
        """
        raise NotImplementedError

    def wall(self):
        """Return the wall-clock time, for log lines and reports only.

        It must not be used for ordering, since the wall clock may be adjusted.

        :returns: milliseconds since 1970-01-01 UTC
        """
        raise NotImplementedError

    def sleep(self, duration_ms):
        """Suspend the calling thread.

        :param duration_ms: milliseconds; zero or less returns immediately
        """
        raise NotImplementedError


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self):
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    def boot(self):
        """Return the time since the machine started in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall(self):
        """Return milliseconds since 1970-01-01 UTC."""
        return time.time_ns() / 1e6

    def sleep(self, duration_ms):
        """Suspend the calling thread for ``duration_ms``."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1e3)


class ManualClock(Clock):
    """Clock that only advances through :meth:`advance`, for tests and experiments.

    :param start_ms: initial value of :meth:`now` in milliseconds
    """

    def __init__(self, *, start_ms=0.0):
        self._now = start_ms
        self._advanced = threading.Condition()

    def now(self):
        """Return the current time of this clock in milliseconds."""
        return self._now

    def boot(self):
        """Return the same value as :meth:`now`."""
        return self._now

    def wall(self):
        """Return the same value as :meth:`now`."""
        return self._now

    def advance(self, duration_ms):
        """Advance the clock and wake threads whose sleep has ended.

        :param duration_ms: milliseconds, zero or more
        :raises ValueError: if ``duration_ms`` is negative
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms must be >= 0, got {duration_ms!r}")
        with self._advanced:
            self._now += duration_ms
            self._advanced.notify_all()

    def sleep(self, duration_ms):
        """Block until the clock has advanced by ``duration_ms``."""
        wake_at = self._now + duration_ms
        with self._advanced:
            self._advanced.wait_for(lambda: self._now >= wake_at)
