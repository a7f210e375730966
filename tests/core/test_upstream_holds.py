"""Tests of the times for which upstreams want nothing."""

import random
import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.upstream_holds import (
    MAX_HOLD_MS,
    MAX_SPREAD_MS,
    UpstreamHolds,
    parse_retry_after,
)
from tests.core.test_registrations import registration


class TestParseRetryAfter(unittest.TestCase):
    """Only numbers of seconds are read."""

    def test_seconds_and_fractions(self):
        self.assertEqual(parse_retry_after("2"), 2_000.0)
        self.assertEqual(parse_retry_after("0.25"), 250.0)
        self.assertEqual(parse_retry_after("0"), 0.0)

    def test_other_values_are_no_time(self):
        for text in (
            "",
            "-1",
            "nan",
            "inf",
            "1e400",
            "1e3",
            "1_0",
            "\u0661",
            "Sat, 05 Dec 2026 12:00:00 GMT",
            "9" * 400,
        ):
            with self.subTest(text):
                self.assertIsNone(parse_retry_after(text))


class TestUpstreamHolds(unittest.TestCase):
    """Holds last as long as asked for, for one start of an upstream."""

    def setUp(self):
        self.clock = ManualClock()
        self.holds = UpstreamHolds(clock=self.clock, generator=random.Random(1))
        self.upstream = registration("i1", born_ms=5)

    def test_hold_lasts_as_long_as_asked_for(self):
        self.holds.hold(self.upstream, 2_000.0)
        self.clock.advance(1_999.0)
        self.assertGreater(self.holds.remaining_ms(self.upstream), 0.0)
        self.clock.advance(501.0)
        self.assertEqual(self.holds.remaining_ms(self.upstream), 0.0)

    def test_shorter_hold_does_not_end_a_longer_one(self):
        """Guards against requests in a time for which an upstream wants nothing."""
        self.holds.hold(self.upstream, 10_000.0)
        self.clock.advance(100.0)
        self.holds.hold(self.upstream, 1_000.0)
        self.clock.advance(9_800.0)
        self.assertGreater(self.holds.remaining_ms(self.upstream), 0.0)

    def test_hold_ends_with_a_new_start(self):
        self.holds.hold(self.upstream, 10_000.0)
        restarted = registration("i1", born_ms=6)
        self.assertEqual(self.holds.remaining_ms(restarted), 0.0)
        self.assertEqual(self.holds.remaining_ms(registration("i2", born_ms=5)), 0.0)

    def test_very_long_hold_is_bounded(self):
        self.holds.hold(self.upstream, 1e12)
        longest = MAX_HOLD_MS + MAX_SPREAD_MS
        self.assertLessEqual(self.holds.remaining_ms(self.upstream), longest)

    def test_entries_that_were_refused_together_return_apart(self):
        """Guards against all entries that send in the same millisecond."""
        ends = set()
        for seed in range(50):
            holds = UpstreamHolds(clock=self.clock, generator=random.Random(seed))
            holds.hold(self.upstream, 4_000.0)
            ends.add(round(holds.remaining_ms(self.upstream) / 20.0))
        self.assertGreater(len(ends), 25)
        self.assertGreaterEqual(min(ends), 200)

    def test_ended_holds_are_forgotten(self):
        for number in range(3_000):
            self.holds.hold(registration("i1", born_ms=number), 10.0)
            self.clock.advance(20.0)
        self.assertLess(len(self.holds._ends), 1_100)
