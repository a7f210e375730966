"""Tests of the figures of load experiments."""

import unittest

from monsoonline.bench.load_callers import CallerRequestResult, RequestEnd
from monsoonline.bench.load_experiment import LoadResults
from monsoonline.bench.load_report import (
    compare_policies,
    format_comparison,
    summarise_load,
)
from tests.bench.load_fixture import tiny_document


def result(route, end, *, sent_at=0.0, refusals=0, pressing=False):
    return CallerRequestResult(
        route=route,
        end=end,
        sent_at=sent_at,
        took_ms=10.0,
        refusals=refusals,
        pressing=pressing,
    )


class TestSummary(unittest.TestCase):
    """Worth is what was got of what was owed."""

    def summary(self, *requests):
        results = LoadResults(
            requests=requests, probes=7, attempts=3, second_attempts=1, doubled=0
        )
        return summarise_load(tiny_document(), results)

    def test_late_and_refused_requests_count_less(self):
        summary = self.summary(
            result("read", RequestEnd.IN_TIME),
            result("read", RequestEnd.LATE),
            result("book", RequestEnd.REFUSED, refusals=2),
        )
        # Owed are 1 + 1 + 2, got are 1 in time and 0.1 late.
        self.assertAlmostEqual(summary["worth"], 1.1 / 4, places=4)
        self.assertEqual(summary["refused_again"], 1)
        self.assertEqual(summary["routes"]["book"]["refused"], 1)

    def test_worst_window_is_that_of_the_first_tries(self):
        summary = self.summary(
            result("read", RequestEnd.IN_TIME),
            result("read", RequestEnd.FAILED, sent_at=700.0),
        )
        self.assertEqual(summary["windows"], {0: 1.0, 500: 0.0})
        self.assertEqual(summary["worst_window"], 0.0)

    def test_pressing_callers_are_left_out_of_the_patient_worth(self):
        summary = self.summary(
            result("read", RequestEnd.IN_TIME),
            result("read", RequestEnd.REFUSED, pressing=True),
        )
        self.assertEqual(summary["patient_worth"], 1.0)
        self.assertEqual(summary["worth"], 0.5)


class TestComparison(unittest.TestCase):
    """Policies are compared on the same requests."""

    def test_table_has_a_line_for_each_policy(self):
        comparison = compare_policies(
            tiny_document(), names=("present", "send-all"), seeds=(1, 2), jobs=1
        )
        lines = format_comparison(comparison).splitlines()
        self.assertEqual(
            [line.split()[0] for line in lines], ["policy", "present", "send-all"]
        )
        requests = [
            [s["requests"] for s in summaries]
            for summaries in comparison["policies"].values()
        ]
        self.assertEqual(requests[0], requests[1])
