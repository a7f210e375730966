"""Tests of outlier detection: ejection, its cap, half-open state and ramp-up."""

import unittest

import numpy as np

from monsoonline.core.health import EjectionLimit, HealthState, UpstreamHealth
from monsoonline.types import AttemptKind


class TestUpstreamHealth(unittest.TestCase):
    """Health of upstreams that fail and recover."""

    def make(self, count=4):
        self.limit = EjectionLimit(size=count)
        generator = np.random.default_rng(1)
        return [
            UpstreamHealth(limit=self.limit, generator=generator) for _ in range(count)
        ]

    def fail(self, health, times=2, now=0.0):
        for _ in range(times):
            health.record(AttemptKind.FAILED_RESPONSE, now)

    def test_repeated_failures_eject_and_one_does_not(self):
        health = self.make()[0]
        self.fail(health, 1)
        self.assertIs(health.state, HealthState.HEALTHY)
        self.assertGreater(health.penalty_at(0.0), 0.0)
        self.fail(health, 1)
        self.assertIs(health.state, HealthState.EJECTED)
        self.assertEqual(health.max_in_flight(0.0, slots=3), 0)

    def test_failing_route_cannot_eject_a_whole_pool(self):
        """Guards against ejecting more than half of a pool."""
        upstreams = self.make(4)
        for health in upstreams:
            self.fail(health, 10)
        states = [health.state for health in upstreams]
        self.assertEqual(states.count(HealthState.EJECTED), 2)

    def test_recovery_is_one_trial_request_and_a_ramp_up(self):
        """Guards against sending a full share to a server with cold caches."""
        health = self.make()[0]
        self.fail(health)
        self.assertFalse(health.expire(health.ejected_until - 1.0))
        self.assertTrue(health.expire(health.ejected_until))
        self.assertEqual(health.max_in_flight(health.ejected_until, slots=10), 1)
        now = health.ejected_until
        health.record(AttemptKind.SUCCEEDED, now)
        self.assertEqual(self.limit.ejected, 0)
        self.assertEqual(health.max_in_flight(now + 1_000.0, slots=10), 5)
        self.assertEqual(health.max_in_flight(now + 2_000.0, slots=10), 10)

    def test_failed_trial_ejects_for_longer(self):
        health = self.make()[0]
        self.fail(health)
        first = health.ejected_until
        health.expire(first)
        self.fail(health, 1, now=first)
        self.assertIs(health.state, HealthState.EJECTED)
        self.assertGreater(health.ejected_until - first, first)
        self.assertEqual(self.limit.ejected, 1)

    def test_cancelled_and_shed_attempts_are_not_failures(self):
        health = self.make()[0]
        for kind in (AttemptKind.CANCELLED, AttemptKind.SHED):
            for _ in range(5):
                health.record(kind, 0.0)
        self.assertIs(health.state, HealthState.HEALTHY)
