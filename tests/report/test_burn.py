"""Tests of the error-budget burn report."""

import unittest

from monsoonline.core.service_levels import RouteWindows
from monsoonline.report.burn import EntrySample, collect_samples, make_report
from monsoonline.report.render import burn_page, burn_text

# No server listens on port 1, so connections are refused.
UNREACHABLE = "127.0.0.1:1"


def sample(address, *, totals, goods, name="lookup", objective=0.99):
    """Return an entry sample with the counts of one route."""
    counts = RouteWindows(
        route=name,
        department="sales",
        objective=objective,
        latency_ms=100.0,
        totals=totals,
        goods=goods,
    )
    return EntrySample(address=address, history_ms=3e7, routes=(counts,))


class TestMakeReport(unittest.TestCase):
    """Sums over entries and the effect of unreachable entries on them."""

    def test_burn_rate_is_failures_over_allowed_failures(self):
        report = make_report(
            [
                sample("a", totals=(100, 100, 100, 500), goods=(98, 98, 98, 498)),
                sample("b", totals=(100, 100, 100, 500), goods=(100, 99, 99, 497)),
            ]
        )
        (budget,) = report.routes
        self.assertEqual(budget.requests, 1000)
        self.assertAlmostEqual(budget.burn_rates[0], 1.0)
        self.assertAlmostEqual(budget.burn_rates[1], 1.5)
        self.assertAlmostEqual(budget.budget_left, 0.5)
        self.assertEqual(budget.burn_rates, budget.worst_burn_rates)

    def test_unreachable_entry_is_listed_and_counted_in_worst_case(self):
        """Guards against a report without some entries that looks complete."""
        (missing,) = collect_samples([UNREACHABLE], timeout_ms=500.0)
        good = sample("a", totals=(100,) * 4, goods=(100,) * 4)
        report = make_report([good, missing])
        self.assertFalse(report.complete)
        self.assertEqual(report.unreached[0][0], UNREACHABLE)
        self.assertAlmostEqual(report.routes[0].worst_burn_rates[0], 50.0)
        self.assertIn("1 of 2 entries could not be read", burn_text(report))
        self.assertIn(UNREACHABLE, burn_page(report))

    def test_route_without_requests_has_no_rate(self):
        report = make_report([sample("a", totals=(0,) * 4, goods=(0,) * 4)])
        self.assertEqual(report.routes[0].burn_rates, (None,) * 4)
        self.assertIsNone(report.routes[0].budget_left)
        self.assertIn("<svg", burn_page(report))

    def test_department_objective_is_weighted_by_requests(self):
        report = make_report(
            [
                sample("a", totals=(100,) * 4, goods=(99,) * 4),
                sample(
                    "a", name="b", totals=(100,) * 4, goods=(90,) * 4, objective=0.9
                ),
            ]
        )
        (department,) = report.departments
        self.assertAlmostEqual(department.objective, 0.945)
        self.assertAlmostEqual(department.burn_rates[-1], 1.0)
