"""Tests of the request counts per route."""

import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.model import Route, RouteMatch, SuccessDefinition
from monsoonline.core.service_levels import WINDOWS_MS, ServiceLevels

MINUTE_MS = 60_000.0


def route(name="lookup", **success):
    """Return a route with its own success definition."""
    return Route(
        name=name,
        department="sales",
        pool="quotes",
        match=RouteMatch(),
        idempotent=True,
        success=SuccessDefinition(**success),
    )


class TestServiceLevels(unittest.TestCase):
    """Counts by the success definition of a route over sliding windows."""

    def setUp(self):
        self.clock = ManualClock(start_ms=5.0)
        self.levels = ServiceLevels(clock=self.clock)

    def counts(self, *routes):
        return self.levels.windows(routes)[0]

    def test_success_follows_the_definition_of_the_route(self):
        """Guards against counting a late, failed or refused request as a success."""
        strict = route(latency_ms=50.0, statuses=(2,))
        self.levels.record(strict, status=200, latency_ms=50.0, refused=False)
        self.levels.record(strict, status=200, latency_ms=50.1, refused=False)
        self.levels.record(strict, status=404, latency_ms=1.0, refused=False)
        self.levels.record(strict, status=200, latency_ms=1.0, refused=True)
        counts = self.counts(strict)
        self.assertEqual(counts.totals, (4,) * len(WINDOWS_MS))
        self.assertEqual(counts.goods, (1,) * len(WINDOWS_MS))

    def test_old_requests_leave_the_short_windows_first(self):
        lookup = route()
        self.levels.record(lookup, status=500, latency_ms=1.0, refused=False)
        self.clock.advance(6 * MINUTE_MS)
        self.levels.record(lookup, status=200, latency_ms=1.0, refused=False)
        self.assertEqual(self.counts(lookup).totals, (1, 2, 2, 2))
        self.clock.advance(400 * MINUTE_MS)
        self.assertEqual(self.counts(lookup).totals, (0, 0, 0, 0))

    def test_reused_buckets_start_empty(self):
        """Guards against counts that remain in a reused bucket of the ring buffer."""
        lookup = route()
        for _ in range(800):
            self.levels.record(lookup, status=200, latency_ms=1.0, refused=False)
            self.clock.advance(MINUTE_MS)
        self.assertEqual(self.counts(lookup).totals, (4, 29, 59, 359))

    def test_counts_of_deleted_routes_are_dropped(self):
        self.levels.record(route("old"), status=200, latency_ms=1.0, refused=False)
        self.levels.windows([route("new")])
        self.assertEqual(self.counts(route("old")).totals, (0, 0, 0, 0))
