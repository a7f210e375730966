"""Tests of the arrivals of load experiments."""

import random
import unittest

from monsoonline.bench.load_callers import arrival_times
from monsoonline.bench.load_document import BurstPattern


class TestArrivals(unittest.TestCase):
    """Arrivals follow the rate and its bursts."""

    def times(self, *bursts):
        return list(
            arrival_times(
                random.Random(1), rate=1_000.0, duration_ms=10_000.0, bursts=bursts
            )
        )

    def test_rate_outside_bursts(self):
        self.assertAlmostEqual(len(self.times()), 10_000, delta=400)

    def test_overlapping_bursts_multiply(self):
        times = self.times(
            BurstPattern(kind="burst", at_ms=2_000.0, duration_ms=4_000.0, factor=2.0),
            BurstPattern(kind="burst", at_ms=4_000.0, duration_ms=4_000.0, factor=1.5),
        )
        counts = [sum(t // 2_000 == n for t in times) for n in range(5)]
        for count, factor in zip(counts, (1.0, 2.0, 3.0, 1.5, 1.0), strict=True):
            self.assertAlmostEqual(count, 2_000 * factor, delta=250)

    def test_fewer_requests_than_usual_are_possible(self):
        times = self.times(
            BurstPattern(kind="burst", at_ms=0.0, duration_ms=10_000.0, factor=0.5)
        )
        self.assertAlmostEqual(len(times), 5_000, delta=300)
