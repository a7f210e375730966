"""Tests of the estimate of an upstream's slowdown."""

import random
import unittest

from monsoonline.core.slowdown_estimate import PoolSlowdown, SlowdownEstimate


class TestSlowdownEstimate(unittest.TestCase):
    """Guards against estimates that follow a single report."""

    def test_without_reports_the_prior_is_returned(self):
        self.assertEqual(SlowdownEstimate().value(0.0, prior=2.5), 2.5)

    def test_old_reports_count_less(self):
        estimate = SlowdownEstimate()
        estimate.observe(7.0, 0.0)
        for at in (1_000.0, 1_001.0, 1_002.0):
            estimate.observe(1.0, at)
        self.assertLess(estimate.value(1_030.0, prior=1.0), 1.5)

    def test_fresh_slow_report_counts_more_than_the_mean(self):
        estimate = SlowdownEstimate()
        for at in range(5):
            estimate.observe(1.0, float(at))
        estimate.observe(7.0, 5.0)
        self.assertGreater(estimate.value(6.0, prior=1.0), 4.0)

    def test_four_reports_identify_disturbed_upstreams_better_than_one(self):
        """Simulates machines of which half report a slowdown of 7 every second time.

        A request that meets such a machine while it is slow misses its objective. Four
        reports must at least halve the share of these requests compared with one.
        """
        generator = random.Random(3)

        def missed(reports):
            """Return the share of slow requests at upstreams whose estimate is low."""
            slow = trials = 0
            best = SlowdownEstimate()
            for at in range(reports):
                best.observe(1.0, float(at))
            limit = best.value(30.0 + reports, prior=2.5) + 0.01
            for _ in range(40_000):
                disturbed = generator.random() < 0.5
                estimate = SlowdownEstimate()
                for at in range(reports):
                    is_slow = disturbed and generator.random() < 0.5
                    estimate.observe(7.0 if is_slow else 1.0, float(at))
                if estimate.value(30.0 + reports, prior=2.5) <= limit:
                    trials += 1
                    slow += disturbed and generator.random() < 0.5
            return slow / trials

        self.assertLess(missed(4), missed(1) / 2)


class TestPoolSlowdown(unittest.TestCase):
    """Guards against a mean that does not follow the reports of the pool."""

    def test_follows(self):
        pool = PoolSlowdown()
        for _ in range(500):
            pool.observe(3.0)
        self.assertAlmostEqual(pool.mean, 3.0, places=2)
