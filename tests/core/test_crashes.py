"""Tests of the detection of poison requests, which crash upstreams."""

import itertools
import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.crashes import (
    MAX_RECORDED_REPORTS,
    CrashReport,
    CrashTracker,
    merge_reports,
)
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind
from tests.core.decision_fixtures import (
    make_dispatcher,
    make_pool,
    make_route,
    result_of,
)


class TestCrashTracker(unittest.TestCase):
    """Counting of crashes per fingerprint."""

    def setUp(self):
        self.clock = ManualClock()
        self.trackers = [
            CrashTracker(clock=self.clock, owner=f"entry-{i}") for i in range(3)
        ]

    def crash(self, tracker, address, fingerprint):
        tracker.started(address, fingerprint)
        tracker.connection_lost(address, fingerprint)

    def share(self, tracker):
        for report in tracker.take_reports():
            payload = report.encode()
            self.assertLessEqual(len(payload), 512)
            for other in self.trackers:
                if other is not tracker:
                    other.observe(CrashReport.decode(payload))

    def test_two_crashes_seen_by_different_entries_block_everywhere(self):
        first, second, third = self.trackers
        self.crash(first, "a:1", "bad")
        self.share(first)
        self.assertFalse(third.blocked("bad"))
        self.crash(second, "b:1", "bad")
        self.share(second)
        self.assertTrue(all(t.blocked("bad") for t in self.trackers))

    def test_harmless_request_is_blocked_for_all_callers_after_two_crashes(self):
        """Guards against a block that nothing can end before its time."""
        first, second, third = self.trackers
        self.crash(first, "a:1", "harmless")
        self.crash(first, "b:1", "harmless")
        self.share(first)
        self.clock.advance(4_900.0)
        self.assertFalse(second.take_trial("harmless", is_owner=lambda f: True))
        self.clock.advance(200.0)
        self.assertFalse(third.take_trial("harmless", is_owner=lambda f: False))
        self.assertTrue(second.take_trial("harmless", is_owner=lambda f: True))
        # One at a time, also while the trial runs.
        self.assertFalse(second.take_trial("harmless", is_owner=lambda f: True))
        second.started("c:1", "harmless")
        second.finished("c:1", "harmless", completed=True)
        self.share(second)
        self.assertFalse(any(t.blocked("harmless") for t in self.trackers))

    def test_trial_that_crashes_an_upstream_is_not_repeated_soon(self):
        first, second, _ = self.trackers
        self.crash(first, "a:1", "bad")
        self.crash(first, "b:1", "bad")
        self.clock.advance(5_000.0)
        self.assertTrue(first.take_trial("bad", is_owner=lambda f: True))
        self.crash(first, "c:1", "bad")
        self.share(first)
        self.clock.advance(179_000.0)
        for tracker in (first, second):
            self.assertTrue(tracker.blocked("bad"))
            self.assertFalse(tracker.take_trial("bad", is_owner=lambda f: True))

    def test_entries_that_observed_the_crashes_record_the_blocked_request(self):
        """Guards against one write of each entry for each crash."""
        first, second, third = self.trackers
        self.crash(first, "a:1", "bad")
        self.share(first)
        self.assertEqual(first.take_unrecorded(), ())
        self.crash(second, "b:1", "bad")
        self.share(second)
        for tracker in (first, second):
            (report,) = tracker.take_unrecorded()
            self.assertTrue(report.blocks)
            self.assertEqual(tracker.take_unrecorded(), ())
        self.assertEqual(third.take_unrecorded(), ())
        tracker.restore_unrecorded((report,))
        self.assertEqual(len(tracker.take_unrecorded()), 1)

    def test_completion_of_a_blocked_request_is_recorded(self):
        """Guards against a harmless request that is blocked after each restart."""
        first, _, third = self.trackers
        for address in ("a:1", "b:1"):
            self.crash(first, address, "harmless")
        self.share(first)
        stored = merge_reports((), first.take_unrecorded())
        third.started("c:1", "harmless")
        third.finished("c:1", "harmless", completed=True)
        stored = merge_reports(stored, third.take_unrecorded())
        started = CrashTracker(clock=self.clock, owner="started")
        for report in stored:
            started.observe(report)
        self.assertFalse(started.blocked("harmless"))

    def test_recorded_reports_are_bounded_and_expire(self):
        """Guards against a row that grows with each request that crashes upstreams."""
        blocking = CrashReport(fingerprint="b", incidents=("1", "2"), age_ms=9_000.0)
        stored = (
            CrashReport(fingerprint="old", incidents=("3", "4"), age_ms=700_000.0),
            blocking,
        )
        changed = tuple(
            CrashReport(fingerprint=f"f{n}", incidents=(str(n),), age_ms=float(n))
            for n in range(MAX_RECORDED_REPORTS)
        )
        merged = merge_reports(stored, changed)
        self.assertEqual(merged[0].fingerprint, "b")
        self.assertEqual(len(merged), MAX_RECORDED_REPORTS)
        self.assertNotIn("old", [report.fingerprint for report in merged])

    def test_merging_is_idempotent_and_independent_of_order(self):
        """Guards against miscounts: gossip repeats and reorders shared items."""
        reports = [
            CrashReport(fingerprint="f", incidents=["1"]),
            CrashReport(fingerprint="f", incidents=["2"]),
            CrashReport(fingerprint="f", incidents=["1"], cleared=["1"]),
        ]
        for order in itertools.permutations(reports):
            tracker = CrashTracker(clock=self.clock, owner="x")
            for report in (*order, *order):
                tracker.observe(report)
            self.assertFalse(tracker.blocked("f"))
            self.assertTrue(tracker.suspected("f"))

    def test_every_lost_connection_of_a_crash_is_told_to_all_entries(self):
        """Guards against many messages for each upstream that ends under load."""
        calls = []
        tracker = CrashTracker(
            clock=self.clock, owner="e", on_change=lambda: calls.append(None)
        )
        for number in range(4):
            tracker.started("a:1", f"f{number}")
        for number in range(4):
            tracker.connection_lost("a:1", f"f{number}")
        self.assertEqual(len(calls), 1)
        self.assertEqual(len(tracker.take_reports()), 4)

    def test_lost_connections_of_one_crash_count_once(self):
        tracker = self.trackers[0]
        for _ in range(3):
            tracker.started("a:1", "f")
        for _ in range(3):
            tracker.connection_lost("a:1", "f")
        self.assertFalse(tracker.blocked("f"))

    def test_common_request_at_unrelated_crashes_is_not_blocked(self):
        """Guards against blocking a request that completes between crashes."""
        first = self.trackers[0]
        for number in range(5):
            self.crash(first, f"a:{number}", "common")
            self.share(first)
            first.started("b:1", "common")
            first.finished("b:1", "common", completed=True)
            self.share(first)
            self.clock.advance(120_000.0)
        self.assertFalse(any(t.blocked("common") for t in self.trackers))

    def test_block_expires(self):
        tracker = self.trackers[0]
        self.crash(tracker, "a:1", "f")
        self.crash(tracker, "b:1", "f")
        self.assertTrue(tracker.blocked("f"))
        self.clock.advance(600_001.0)
        self.assertFalse(tracker.blocked("f"))

    def test_repeated_reports_do_not_prolong_a_block(self):
        """Guards against entries that teach each other a block for ever."""
        first, second, third = self.trackers
        self.crash(first, "a:1", "bad")
        self.crash(first, "b:1", "bad")
        for elapsed_ms in (0, 300_000, 599_000):
            self.clock.advance(elapsed_ms - self.clock.now())
            for teacher, learner in ((first, second), (second, third), (third, first)):
                for report in teacher.reports_to_repeat(8):
                    learner.observe(CrashReport.decode(report.encode()))
            self.assertTrue(all(t.blocked("bad") for t in self.trackers))
        self.clock.advance(2_000.0)
        self.assertFalse(any(t.blocked("bad") for t in self.trackers))
        self.assertEqual([t.reports_to_repeat(8) for t in self.trackers], [()] * 3)

    def test_reports_of_most_crashes_are_repeated_first(self):
        tracker = self.trackers[0]
        for number in range(20):
            self.crash(tracker, f"a:{number}", f"once{number}")
        self.crash(tracker, "b:1", "bad")
        self.crash(tracker, "b:2", "bad")
        reports = tracker.reports_to_repeat(8)
        self.assertEqual((len(reports), reports[0].fingerprint), (8, "bad"))

    def test_malformed_report_is_rejected(self):
        whole = b'{"fingerprint":"f","incidents":[],"cleared":[],"age_ms":%s}'
        CrashReport.decode(whole % b"5")
        for payload in (
            b"",
            b"[]",
            b'{"fingerprint": 1}',
            b"\xff",
            whole % b"-1",
            whole % b"1e400",
            whole % b'"5"',
            whole % b"NaN",
        ):
            with self.assertRaises(ValueError):
                CrashReport.decode(payload)


class TestBlockedRequest(unittest.TestCase):
    """Refusal of a poison request by the dispatcher."""

    def test_request_is_refused_as_not_run_after_two_crashes(self):
        dispatcher = make_dispatcher(make_pool(targets=6))
        route = make_route()
        for _ in range(2):
            assignment = dispatcher.acquire(
                route, deadline=1_000.0, fingerprint="crashing"
            )
            dispatcher.release(assignment, result_of(AttemptKind.CONNECTION_LOST))
            self.assertGreater(dispatcher.response_delay_ms("crashing"), 0.0)
        with self.assertRaises(Refusal) as caught:
            dispatcher.acquire(route, deadline=1_000.0, fingerprint="crashing")
        self.assertEqual(caught.exception.code, "crashing-request")
        dispatcher.acquire(route, deadline=1_000.0, fingerprint="other")
        self.assertEqual(dispatcher.response_delay_ms("other"), 0.0)
