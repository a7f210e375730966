"""Tests of the selection of requests whose decisions are logged."""

import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.decision_events import (
    DecisionTrail,
    RequestRefused,
    RouteMatched,
    UpstreamChosen,
)
from monsoonline.decision_log import BURST_MS, MAX_LINES_PER_SECOND, DecisionLog
from monsoonline.metrics import Metrics


def upstream_chosen(attempt=1):
    return UpstreamChosen(
        upstream="u1",
        attempt=attempt,
        second=attempt > 1,
        running=1,
        slots=3,
        limit=None,
        pace=1.0,
        report_age_ms=2.0,
        expected_ms=160.0,
    )


class TestDecisionLog(unittest.TestCase):
    """Failed requests are always selected, within the rate limit."""

    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.log = DecisionLog(clock=self.clock, metrics=self.metrics)

    def trail(self, *events, status=200, took_ms=100.0):
        trail = DecisionTrail(clock=self.clock, request_id="r1")
        trail.add(RouteMatched(route="read", pool="p", tables_revision=7))
        for event in events:
            trail.add(event)
        self.clock.advance(took_ms)
        trail.end(status=status, goal_ms=600.0)
        return trail

    def written_records(self, trail):
        with self.assertLogs("monsoonline.decision_log") as captured:
            self.log.write(trail)
        return captured.records

    def test_failed_late_and_retried_requests_are_logged_completely(self):
        refused = RequestRefused(
            code="overload", status=503, retry_after_ms=200.0, reason="full"
        )
        self.assertEqual(len(self.written_records(self.trail(refused, status=503))), 3)
        self.assertEqual(
            len(self.written_records(self.trail(upstream_chosen(), took_ms=700.0))), 3
        )
        self.assertEqual(
            len(
                self.written_records(self.trail(upstream_chosen(), upstream_chosen(2)))
            ),
            4,
        )

    def test_lines_contain_the_inputs_of_the_decision(self):
        records = self.written_records(self.trail(upstream_chosen(), took_ms=700.0))
        self.assertEqual([r.step for r in records], [1, 2, 3])
        self.assertEqual({r.request for r in records}, {"r1"})
        self.assertEqual((records[1].pace, records[1].report_age_ms), (1.0, 2.0))

    def test_one_of_a_hundred_ordinary_requests_is_logged(self):
        with self.assertLogs("monsoonline.decision_log") as captured:
            for _ in range(200):
                self.log.write(self.trail(upstream_chosen()))
        self.assertEqual(len(captured.records), 2 * 3)

    def test_excess_lines_are_dropped_and_counted(self):
        """Guards against log lines for a burst of refusals that use up CPU time.

        The CPU time is needed for the requests that are served.
        """
        with self.assertLogs("monsoonline.decision_log") as captured:
            for _ in range(1_000):
                self.log.write(self.trail(upstream_chosen(), status=503, took_ms=0.0))
        max_lines = MAX_LINES_PER_SECOND * BURST_MS / 1e3
        self.assertLessEqual(len(captured.records), max_lines)
        dropped = self.metrics.value("decision_lines_dropped_total")
        self.assertEqual(len(captured.records) + dropped, 3_000)
