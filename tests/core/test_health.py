"""Tests of ejection, its cap, the half-open state and the ramp-up."""

import unittest

import numpy as np

from monsoonline.core.health import EjectionLimit, HealthState, UpstreamHealth
from monsoonline.types import AttemptKind


class TestUpstreamHealth(unittest.TestCase):
    """Health of upstreams that fail and come back."""

    def make(self, count=4):
        self.limit = EjectionLimit(size=count)
        generator = np.random.default_rng(1)
        return [
            UpstreamHealth(limit=self.limit, generator=generator) for _ in range(count)
        ]

    def fail(self, health, times=2, now=0.0):
        for _ in range(times):
            health.record(AttemptKind.FAILED_ANSWER, now)

    def test_repeated_failures_eject_and_one_does_not(self):
        health = self.make()[0]
        self.fail(health, 1)
        self.assertIs(health.state, HealthState.HEALTHY)
        self.assertGreater(health.penalty_at(0.0), 0.0)
        self.fail(health, 1)
        self.assertIs(health.state, HealthState.EJECTED)
        self.assertEqual(health.allowed(0.0, slots=3), 0)

    def test_a_bad_route_cannot_empty_a_pool(self):
        """Failures on all upstreams must leave half of the pool in use."""
        upstreams = self.make(4)
        for health in upstreams:
            self.fail(health, 10)
        states = [health.state for health in upstreams]
        self.assertEqual(states.count(HealthState.EJECTED), 2)

    def test_return_is_one_trial_and_then_a_ramp(self):
        """A server with cold caches must not get its full share at once."""
        health = self.make()[0]
        self.fail(health)
        self.assertFalse(health.expire(health.until - 1.0))
        self.assertTrue(health.expire(health.until))
        self.assertEqual(health.allowed(health.until, slots=10), 1)
        now = health.until
        health.record(AttemptKind.SUCCEEDED, now)
        self.assertEqual(self.limit.ejected, 0)
        self.assertEqual(health.allowed(now + 1_000.0, slots=10), 5)
        self.assertEqual(health.allowed(now + 2_000.0, slots=10), 10)

    def test_failed_trial_ejects_for_longer(self):
        health = self.make()[0]
        self.fail(health)
        first = health.until
        health.expire(first)
        self.fail(health, 1, now=first)
        self.assertIs(health.state, HealthState.EJECTED)
        self.assertGreater(health.until - first, first)
        self.assertEqual(self.limit.ejected, 1)

    def test_cancelled_and_shed_attempts_are_no_failures(self):
        health = self.make()[0]
        for kind in (AttemptKind.CANCELLED, AttemptKind.SHED):
            for _ in range(5):
                health.record(kind, 0.0)
        self.assertIs(health.state, HealthState.HEALTHY)
