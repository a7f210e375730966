"""Tests of the probe budget that entries share."""

import unittest

from monsoonline.core.probe_allowance import ProbeAllowance

PER_UPSTREAM = 60.0


class TestProbeAllowance(unittest.TestCase):
    """Guards against entries that together exceed the probe budget."""

    def test_sum_over_entries_in_a_burst(self):
        """Without a limit, a burst caused 126 probes per second and upstream."""
        entries, upstreams, seconds = 22, 28, 10
        rate = ProbeAllowance.rate_of(
            per_upstream=PER_UPSTREAM, upstreams=upstreams, entries=entries
        )
        granted = 0
        for _ in range(entries):
            allowance = ProbeAllowance(now=0.0)
            for step in range(seconds * 1000):
                granted += allowance.take(8, float(step), rate=rate)
        self.assertLessEqual(granted, PER_UPSTREAM * upstreams * seconds)
        self.assertGreater(granted, 0.6 * PER_UPSTREAM * upstreams * seconds)

    def test_never_grants_more_than_requested(self):
        allowance = ProbeAllowance(now=0.0)
        self.assertEqual(allowance.take(2, 1_000.0, rate=50.0), 2)

    def test_first_requests_after_a_start_may_probe(self):
        """After an outage, requests were placed on random upstreams without a probe."""
        allowance = ProbeAllowance(now=0.0)
        self.assertGreaterEqual(allowance.take(8, 0.0, rate=50.0), 8)

    def test_entries_that_start_together_stay_below_one_second_of_the_budget(self):
        entries, upstreams = 18, 24
        rate = ProbeAllowance.rate_of(
            per_upstream=PER_UPSTREAM, upstreams=upstreams, entries=entries
        )
        granted = sum(
            ProbeAllowance(now=0.0).take(10_000, 0.0, rate=rate) for _ in range(entries)
        )
        self.assertLessEqual(granted, PER_UPSTREAM * upstreams)
