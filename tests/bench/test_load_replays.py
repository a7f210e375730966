"""Replays of load patterns: the decisions in use against those they replaced.

Bounds are the least gain for which a decision is worth its code; callers, upstreams
and neighbours are the same for both policies.
"""

import unittest

from monsoonline.bench.load_document import load_experiment
from monsoonline.bench.load_experiment import LoadExperiment
from monsoonline.bench.load_report import summarise_load


class TestBurst(unittest.TestCase):
    """Callers send 2.5 times the usual load for three seconds."""

    @classmethod
    def setUpClass(cls):
        cls.document = load_experiment("burst")
        cls.present = cls.play("present")

    @classmethod
    def play(cls, policy):
        experiment = LoadExperiment(document=cls.document, policy=policy, seed=1)
        return summarise_load(cls.document, experiment.run())

    def assert_gain(self, policy, factor):
        former = self.play(policy)
        for key in ("worth", "worst_window"):
            text = f"{key}: {policy} {former[key]}, now {self.present[key]}"
            self.assertGreater(self.present[key], factor * former[key], text)

    def test_requests_that_would_miss_their_goal_are_turned_away(self):
        """Queues at upstreams made nearly every answer of a burst late."""
        self.assert_gain("send-all", 1.15)

    def test_costly_last_slots_are_left_free(self):
        """Filling the last slot of an upstream slowed down the other requests."""
        self.assert_gain("equal-room", 1.1)

    def test_search_looks_further_than_two_upstreams(self):
        """The better of two is often slow or full while others are free."""
        self.assert_gain("one-round", 1.0)

    def test_urgent_requests_are_served_no_less(self):
        """Lookups without a slot of their own took those kept for bookings."""
        routes = self.present["routes"]
        share = {
            name: ends["in-time"] / sum(ends.values()) for name, ends in routes.items()
        }
        self.assertGreaterEqual(share["booking"], share["lookup"])

    def test_no_booking_runs_twice(self):
        self.assertEqual(self.present["doubled"], 0)
