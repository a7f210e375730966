"""Tests of load shedding."""

import random
import unittest

from monsoonline.core.load_shedding import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    LoadShedder,
)


class TestLoadShedder(unittest.TestCase):
    """Guards against sending requests that cannot be answered in time."""

    def admits(self, best_ms, **changes):
        fields = {
            "objective_left_ms": 400.0,
            "time_left_ms": 1_000.0,
            "has_free_slot": True,
            "overloaded": False,
        }
        return LoadShedder.admits(best_ms, **(fields | changes))

    def test_request_that_would_miss_its_deadline_is_refused(self):
        self.assertFalse(self.admits(900.0))

    def test_late_request_is_admitted_without_overload(self):
        """A late response is better for the caller than a refusal."""
        self.assertTrue(self.admits(700.0))
        self.assertTrue(self.admits(700.0, has_free_slot=False))

    def test_late_request_without_a_free_slot_is_refused_under_overload(self):
        """In a burst, queues at full upstreams made every response late."""
        self.assertFalse(self.admits(700.0, has_free_slot=False, overloaded=True))
        self.assertTrue(self.admits(300.0, has_free_slot=False, overloaded=True))

    def test_refused_callers_do_not_retry_together(self):
        shedder = LoadShedder(generator=random.Random(1))
        delays = [shedder.retry_after_ms(400.0) for _ in range(200)]
        self.assertGreater(max(delays) - min(delays), 0.4 * 200.0)
        self.assertGreater(min(delays), 0.5 * MIN_RETRY_AFTER_MS)
        self.assertLess(max(delays), 1.5 * MAX_RETRY_AFTER_MS)
