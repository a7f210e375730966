"""Tests of the retry and hedge budgets of routes."""

import unittest

from monsoonline.core.retries import RouteBudgets
from monsoonline.types import AttemptKind
from tests.core.decision_fixtures import make_route, result_of


class TestRouteBudgets(unittest.TestCase):
    """Retry and hedge budgets of one route."""

    def test_complete_failure_of_a_pool_causes_no_retry_storm(self):
        """Guards against retries that exceed a tenth of the traffic plus a reserve."""
        budgets = RouteBudgets()
        route = make_route()
        lost = result_of(AttemptKind.CONNECTION_LOST)
        retries = 0
        for _ in range(1_000):
            budgets.record_first_attempt()
            retries += budgets.may_retry(route, attempts=1, result=lost)
        self.assertLessEqual(retries, 110)
        self.assertGreaterEqual(retries, 90)

    def test_booking_that_may_have_run_is_never_repeated(self):
        budgets = RouteBudgets()
        booking = make_route("booking", idempotent=False)
        for kind in AttemptKind:
            allowed = budgets.may_retry(booking, attempts=1, result=result_of(kind))
            certain = kind in (AttemptKind.SHED, AttemptKind.CONNECT_FAILED)
            self.assertEqual(allowed, certain, kind)
        self.assertFalse(budgets.may_hedge(booking))

    def test_hedges_stay_within_their_share(self):
        budgets = RouteBudgets()
        hedges = 0
        for _ in range(1_000):
            budgets.record_first_attempt()
            hedges += budgets.may_hedge(make_route())
        self.assertLessEqual(hedges, 110)

    def test_hedges_for_idle_slots_stay_within_their_share(self):
        """Guards against hedges that double the load of a slow pool."""
        budgets = RouteBudgets()
        hedges = 0
        for _ in range(1_000):
            budgets.record_first_attempt()
            hedges += budgets.may_hedge(make_route(), spare=True)
            hedges += budgets.may_hedge(make_route(), spare=True)
        self.assertLessEqual(hedges, 320)
        self.assertGreaterEqual(hedges, 290)

    def test_hedge_delay_follows_a_high_quantile(self):
        budgets = RouteBudgets()
        for index in range(5_000):
            budgets.observe(10.0 if index % 20 else 100.0)
        self.assertGreater(budgets.hedge_delay_ms, 9.0)
        self.assertLess(budgets.hedge_delay_ms, 60.0)
