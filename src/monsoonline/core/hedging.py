"""Timing of hedges for requests that may be run more than once.

This module is designed for pools of which a quarter or more of the upstreams become
several times slower for half a second at a time. An upstream can slow down after a
request was sent to it, and its load reports to others show this long before the
response is overdue. A hedge that starts at once can still meet the latency objective.
"""

__all__ = ["HedgeTimer"]

# A hedge starts when the first attempt takes this multiple of the expected time.
OVERDUE_FACTOR = 1.7
# In an overloaded pool a hedge starts after this multiple of the usual service time,
# about the latency of a slow upstream.
STUCK_FACTOR = 7.0
# Time reserved for a hedge before the objective, relative to the usual service time.
HEDGE_TIME_FACTOR = 1.3
# Share of the latency objective after which a hedge starts on a route whose service
# time is not measured yet: the assumed time is far too short to detect a slow upstream.
UNMEASURED_OBJECTIVE_SHARE = 0.6
# Interval between checks of the upstream's slowdown.
CHECK_INTERVAL_MS = 40.0
# Interval between checks once a hedge can no longer meet the latency objective, but may
# still meet the deadline.
LATE_CHECK_INTERVAL_MS = 200.0
# Minimum share of the service time that is assumed to remain, however long an attempt
# has run.
MIN_REMAINING_SHARE = 0.2


class HedgeTimer:
    """Decides when the hedge of one request starts.

    :param objective_at: time in ms by which a response meets the latency objective
    :param sent_at: time in ms at which the first attempt was sent
    :param expected_ms: expected response time of the first attempt
    :param service_time: the route's
        :class:`monsoonline.core.placement.ServiceTimeEstimate`
    :param slowdown: slowdown of its upstream at that time, 1.0 for the usual speed
    """

    def __init__(self, *, objective_at, sent_at, expected_ms, service_time, slowdown):
        self._objective_at = objective_at
        self._sent_at = sent_at
        self._service_time_ms = service_time.value
        self._measured = service_time.measured
        self._initial_slowdown = max(1.0, slowdown)
        self._overdue_at = self._overdue_time(expected_ms)
        self._stuck_at = max(
            self._overdue_at, sent_at + STUCK_FACTOR * service_time.value
        )
        self.check_at = min(sent_at + CHECK_INTERVAL_MS, self._overdue_at)
        if not self._measured:
            self.check_at = self._overdue_at

    def should_hedge(self, now, *, slowdown, overloaded):
        """Return whether a hedge is worth its cost now.

        In an overloaded pool a hedge takes the slot of another request's first
        attempt, so only an attempt that appears to be stuck is hedged.

        :param now: the time in ms
        :param slowdown: current slowdown of the upstream
        :param overloaded: whether many requests find no acceptable upstream
        """
        if overloaded:
            return now >= self._stuck_at
        if now >= self._overdue_at:
            return True
        if not self._measured:
            return False
        return self._can_meet_objective(now) and self._misses_objective(now, slowdown)

    def schedule_check(self, now, *, overloaded):
        """Set the time of the next check after one that started no hedge.

        :param now: the time in ms
        :param overloaded: whether many requests find no acceptable upstream
        """
        frequent = self._can_meet_objective(now) and not overloaded
        self.check_at = now + (
            CHECK_INTERVAL_MS if frequent else LATE_CHECK_INTERVAL_MS
        )
        if now < self._overdue_at:
            self.check_at = min(self.check_at, self._overdue_at)

    def _can_meet_objective(self, now):
        """Return whether a hedge can meet the objective."""
        return now + self._service_time_ms <= self._objective_at

    def _misses_objective(self, now, slowdown):
        """Return whether the first attempt probably misses the objective."""
        # The time at which the slowdown changed is unknown; assume the midpoint.
        mean_slowdown = max(
            self._initial_slowdown, (self._initial_slowdown + slowdown) / 2
        )
        done_ms = (now - self._sent_at) / mean_slowdown
        remaining_ms = max(
            MIN_REMAINING_SHARE * self._service_time_ms, self._service_time_ms - done_ms
        )
        return now + remaining_ms * slowdown > self._objective_at

    def _overdue_time(self, expected_ms):
        if not self._measured:
            objective_left_ms = self._objective_at - self._sent_at
            return self._sent_at + UNMEASURED_OBJECTIVE_SHARE * objective_left_ms
        return max(
            self._sent_at + self._service_time_ms,
            min(
                self._sent_at + OVERDUE_FACTOR * expected_ms,
                self._objective_at - HEDGE_TIME_FACTOR * self._service_time_ms,
            ),
        )
