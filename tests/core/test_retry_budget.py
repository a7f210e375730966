"""Tests of the retry budget that entries share without messages."""

import itertools
import unittest

from monsoonline.core.retry_budget import RetryBudget, RetryLimits
from tests.fixtures import run_together

LIMITS = RetryLimits(ratio=0.2, slack=75.0, window_ms=10_000.0)


class TestRetryBudget(unittest.TestCase):
    """Guards against entries that together exceed the retry budget."""

    def test_sum_over_entries_stays_within_the_budget(self):
        entries = 18
        budgets = [RetryBudget(limits=LIMITS) for _ in range(entries)]
        first_attempts = retries = 0
        for step in range(10_000):
            now = float(step)
            # Distributes requests unevenly among entries.
            budget = budgets[min(entries - 1, (step * step) % 23)]
            if step % 10 == 0:
                budget.record_first_attempt(now)
                first_attempts += 1
            retries += budget.try_acquire(now, entries=entries)
        self.assertLessEqual(retries, LIMITS.ratio * first_attempts + LIMITS.slack)
        self.assertGreater(
            retries, 0.5 * (LIMITS.ratio * first_attempts + LIMITS.slack)
        )

    def test_attempts_expire_while_others_are_counted(self):
        """Guards against requests that fail because two threads expire one time."""
        budget = RetryBudget(limits=LIMITS)
        times = itertools.count(step=5_000)

        def count():
            now = float(next(times))
            budget.record_first_attempt(now)
            budget.try_acquire(now, entries=1)
            budget.release()

        self.assertEqual(run_together(*[count] * 4), [])

    def test_first_attempts_without_a_retry_expire(self):
        """Guards against memory that grows with each request of a pool."""
        budget = RetryBudget(limits=LIMITS)
        for now in range(100_000):
            budget.record_first_attempt(float(now))
        self.assertLessEqual(len(budget._first_attempts), LIMITS.window_ms + 1)

    def test_retries_are_allowed_again_after_the_window(self):
        budget = RetryBudget(limits=LIMITS)
        while budget.try_acquire(0.0, entries=18):
            pass
        self.assertFalse(budget.try_acquire(9_999.0, entries=18))
        self.assertTrue(budget.try_acquire(10_001.0, entries=18))

    def test_hedges_leave_budget_for_rejected_requests(self):
        budget = RetryBudget(limits=LIMITS)
        while budget.try_acquire(0.0, entries=5, hedge=True):
            pass
        self.assertTrue(budget.try_acquire(0.0, entries=5))
