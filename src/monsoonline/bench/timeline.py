"""Virtual time: a clock that an event heap moves."""

import heapq
import itertools

from monsoonline.clock import Clock

__all__ = ["Timeline"]


class Timeline(Clock):
    """Events in order of time; ties in order of scheduling.

    :param start_ms: the first time
    """

    def __init__(self, *, start_ms=0.0):
        self._now = start_ms
        self._events = []
        self._serial = itertools.count()

    def now(self):
        """Return the virtual time in ms."""
        return self._now

    def wall(self):
        """Return the same value as :meth:`now`."""
        return self._now

    def sleep(self, duration_ms):
        """Nothing sleeps in virtual time.

        :raises RuntimeError: always
        """
        raise RuntimeError("a timeline cannot sleep; schedule an event")

    def after(self, delay_ms, action, *arguments):
        """Call ``action(*arguments)`` after a delay in ms."""
        event = (self._now + delay_ms, next(self._serial), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        """Run the events up to a time."""
        events = self._events
        while events and events[0][0] <= until_ms:
            self._now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self._now = until_ms
