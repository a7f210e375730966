"""Tests of overload detection and slot limits."""

import unittest

from monsoonline.core.overload import OverloadDetector


class TestOverloadDetector(unittest.TestCase):
    """Guards against filling last slots that slow an upstream down."""

    def measured(self, full_ratio):
        detector = OverloadDetector()
        for _ in range(40):
            detector.observe(1.0, used_share=0.5)
            detector.observe(full_ratio, used_share=1.0)
        return detector

    def test_last_slot_is_unused_if_it_slows_the_upstream(self):
        allowance = self.measured(1.7).slot_allowance(urgent=True)
        self.assertEqual(allowance.usable(4), 3)
        self.assertEqual(allowance.usable(3), 2)

    def test_last_slot_is_used_if_it_costs_nothing(self):
        allowance = self.measured(1.0).slot_allowance(urgent=True)
        self.assertEqual(allowance.usable(4), 4)

    def test_single_slot_is_always_usable(self):
        self.assertEqual(self.measured(1.7).slot_allowance(urgent=False).usable(1), 1)

    def test_overloaded_pool_reserves_slots_for_urgent_routes(self):
        """In a burst, lookups took the slots that more urgent bookings needed."""
        detector = self.measured(1.0)
        self.assertEqual(detector.slot_allowance(urgent=False).usable(4), 4)
        for _ in range(20):
            detector.record_search(False)
        self.assertEqual(detector.slot_allowance(urgent=False).usable(4), 3)
        self.assertEqual(detector.slot_allowance(urgent=True).usable(4), 4)

    def test_queued_requests_are_not_measured(self):
        detector = OverloadDetector()
        for _ in range(40):
            detector.observe(1.0, used_share=0.5)
            detector.observe(3.0, used_share=1.5)
            detector.observe(1.0, used_share=1.0)
        self.assertEqual(detector.full_factor, 1.0)
