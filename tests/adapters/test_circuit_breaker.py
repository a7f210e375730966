"""Tests of the circuit breaker, the rate limit and the retry limit."""

import unittest

import numpy

from monsoonline.adapters.circuit_breaker import (
    BreakerState,
    CircuitBreaker,
    RetryBudget,
    TokenBucket,
)
from monsoonline.clock import ManualClock
from monsoonline.errors import StoreUnavailable


class TestCircuitBreaker(unittest.TestCase):
    """Transitions between closed, open and half-open."""

    def test_half_open_breaker_admits_one_call(self):
        """Guards against a burst of calls to a service that has just recovered."""
        clock = ManualClock()
        breaker = CircuitBreaker(
            clock=clock, generator=numpy.random.default_rng(1), failure_limit=2
        )
        breaker.record_failure()
        breaker.admit()
        breaker.record_failure()
        self.assertRaises(StoreUnavailable, breaker.admit)
        clock.advance(3000.0)
        breaker.admit()
        self.assertEqual(breaker.state, BreakerState.HALF_OPEN)
        self.assertRaises(StoreUnavailable, breaker.admit)
        breaker.record_failure()
        self.assertEqual(breaker.state, BreakerState.OPEN)
        clock.advance(3000.0)
        breaker.admit()
        breaker.record_success()
        breaker.admit()
        self.assertEqual(breaker.state, BreakerState.CLOSED)


class TestBudgets(unittest.TestCase):
    """Limits on calls and retries."""

    def test_token_bucket_rejects_calls_beyond_burst_and_refills(self):
        clock = ManualClock()
        bucket = TokenBucket(clock=clock, per_second=2.0, burst=1.0)
        self.assertTrue(bucket.take(wait_ms=0.0))
        self.assertFalse(bucket.take(wait_ms=0.0))
        clock.advance(500.0)
        self.assertTrue(bucket.take(wait_ms=0.0))

    def test_retries_are_limited_to_a_share_of_calls(self):
        """Guards against retries that multiply the load during an outage."""
        budget = RetryBudget()
        retries = 0
        for _ in range(100):
            budget.record_call()
            retries += budget.take() + budget.take()
        self.assertLessEqual(retries, 25)
