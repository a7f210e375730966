"""Tests of the circuit breaker and the budgets."""

import unittest

import numpy

from monsoonline.adapters.circuit_breaker import (
    BreakerState,
    CircuitBreaker,
    RateBudget,
    RetryBudget,
)
from monsoonline.clock import ManualClock
from monsoonline.errors import StoreUnavailable


class TestCircuitBreaker(unittest.TestCase):
    """States closed, open and half-open."""

    def test_one_probe_after_the_pause_decides(self):
        """Guards against a herd of calls at a service that has just come back."""
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
    """Budgets of calls and retries."""

    def test_rate_budget_refuses_beyond_burst_and_refills(self):
        clock = ManualClock()
        budget = RateBudget(clock=clock, per_second=2.0, burst=1.0)
        self.assertTrue(budget.take(wait_ms=0.0))
        self.assertFalse(budget.take(wait_ms=0.0))
        clock.advance(500.0)
        self.assertTrue(budget.take(wait_ms=0.0))

    def test_retries_stay_a_share_of_the_calls(self):
        """Guards against retries that multiply the load of an outage."""
        budget = RetryBudget()
        retries = 0
        for _ in range(100):
            budget.record_call()
            retries += budget.take() + budget.take()
        self.assertLessEqual(retries, 25)
