"""Tests of keeping blocked requests in the shared store."""

import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.crashes import CrashReport, CrashTracker
from monsoonline.entry import crash_recorder
from monsoonline.entry.crash_recorder import CrashRecorder
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics
from tests.entry.test_fleet_service import eventually


class FailingStore:
    """Store that fails a number of calls before it performs one."""

    def __init__(self, *, failures):
        self.failures = failures
        self.calls = 0
        self.reports = (CrashReport(fingerprint="known", incidents=("1", "2")),)

    def _fail(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise StoreUnavailable("status 503, expected 200")

    def read_crashes(self):
        self._fail()
        return self.reports

    def record_crashes(self, reports):
        self._fail()
        self.reports = reports


class TestCrashRecorder(unittest.TestCase):
    """Reading at the start, and writing what was observed."""

    def start(self, store):
        self.gate = mock.Mock()
        tracker = CrashTracker(
            clock=ManualClock(), owner="e", on_change=lambda: recorder.wake()
        )
        recorder = CrashRecorder(
            store=store, crashes=tracker, gate=self.gate, metrics=Metrics()
        )
        self.addCleanup(recorder.close)
        recorder.start()
        return tracker

    def crash(self, tracker, fingerprint):
        for address in ("a:1", "b:1"):
            tracker.started(address, fingerprint)
            tracker.connection_lost(address, fingerprint)

    def test_store_that_is_away_delays_what_is_read_and_written(self):
        """Guards against crashes that are forgotten because a call failed."""
        with mock.patch.object(crash_recorder, "RETRY_MS", 5.0):
            store = FailingStore(failures=2)
            tracker = self.start(store)
            self.assertTrue(eventually(lambda: tracker.blocked("known")))
            self.gate.note_crashes_known.assert_called_once_with()
            store.failures = store.calls + 2
            self.crash(tracker, "new")
            self.assertTrue(
                eventually(lambda: [r.fingerprint for r in store.reports] == ["new"])
            )

    def test_one_crash_is_written_by_every_entry(self):
        """Guards against a write for each crash; one alone blocks nothing."""
        store = FailingStore(failures=0)
        tracker = self.start(store)
        self.assertTrue(eventually(lambda: store.calls == 1))
        tracker.started("a:1", "new")
        tracker.connection_lost("a:1", "new")
        for report in store.reports:
            tracker.observe(report)
        self.assertFalse(eventually(lambda: store.calls > 1, within_s=0.1))
