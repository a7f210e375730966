"""Tests of the history of a request that is reconstructed from log lines."""

import json
import unittest

from monsoonline.report.explanation import explain


def log_line(message, step, *, entry="e1", request="r1", prefix="", **fields):
    document = {
        "time": "2026-01-01T00:00:00.000",
        "level": "INFO",
        "logger": "monsoonline.decision_log",
        "message": message,
        "entry": entry,
        "request": request,
        "step": step,
        "at_ms": float(step),
        **fields,
    }
    return prefix + json.dumps(document) + "\n"


def upstream_chosen(step, upstream="u1", **fields):
    defaults = {"pace": 1.0, "running": 0, "slots": 3}
    return log_line("upstream chosen", step, upstream=upstream, **(defaults | fields))


def request_ended(step, *, status=200, took_ms=100.0, goal_ms=600.0, **fields):
    return log_line(
        "request ended", step, status=status, took_ms=took_ms, goal_ms=goal_ms, **fields
    )


class TestExplain(unittest.TestCase):
    """Finding the cause from a request id and the log lines alone."""

    def cause(self, *lines):
        return explain("r1", lines).cause

    def test_steps_are_ordered_and_unrelated_lines_are_skipped(self):
        lines = [
            request_ended(3, prefix="  12.3 edge-a-1 "),
            "not a line of JSON {\n",
            log_line("route matched", 1, request="r2"),
            upstream_chosen(2),
            log_line("route matched", 1, route="read"),
        ]
        explanation = explain("r1", lines)
        self.assertEqual([step.number for step in explanation.steps], [1, 2, 3])
        self.assertEqual(explanation.steps[0].fields, {"route": "read"})

    def test_unknown_request(self):
        self.assertIsNone(explain("r9", [request_ended(1)]))

    def test_refusal_due_to_overload(self):
        cause = self.cause(
            log_line("request refused", 1, code="overload", status=503, reason="x"),
            request_ended(2, status=503),
        )
        self.assertIn("refused with 503 (overload)", cause)
        self.assertIn("did not run", cause)

    def test_lost_connection_may_have_run(self):
        cause = self.cause(
            log_line(
                "request refused", 1, code="connection-lost", status=502, reason="x"
            ),
            request_ended(2, status=502),
        )
        self.assertIn("may have run", cause)

    def test_late_response_of_slow_upstream(self):
        self.assertIn(
            "6.5 times the usual time",
            self.cause(upstream_chosen(1, pace=6.5), request_ended(2, took_ms=900.0)),
        )

    def test_late_response_of_full_upstream(self):
        self.assertIn(
            "3 requests on 3 slots",
            self.cause(upstream_chosen(1, running=3), request_ended(2, took_ms=900.0)),
        )

    def test_late_response_after_two_attempts(self):
        cause = self.cause(
            upstream_chosen(1),
            upstream_chosen(2, "u2"),
            request_ended(3, took_ms=900.0),
        )
        self.assertIn("2 attempts, at u1, u2", cause)

    def test_failed_response_of_upstream(self):
        cause = self.cause(
            upstream_chosen(1),
            log_line("attempt ended", 2, upstream="u1", result="failed-answer"),
            request_ended(3, status=500),
        )
        self.assertEqual(cause, "upstream u1 answered with 500")

    def test_log_lines_without_the_end_of_the_request(self):
        self.assertIn("end before", self.cause(upstream_chosen(1)))
