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
        self.reports = ()

    def record_crashes(self, reports):
        self.calls += 1
        if self.calls <= self.failures:
            raise StoreUnavailable("status 503, expected 200")
        self.reports = reports


class TestCrashRecorder(unittest.TestCase):
    """What this entry has observed is written, and nothing else."""

    def start(self, store):
        tracker = CrashTracker(
            clock=ManualClock(), owner="e", on_change=lambda: recorder.wake()
        )
        recorder = CrashRecorder(store=store, crashes=tracker, metrics=Metrics())
        self.addCleanup(recorder.close)
        recorder.start()
        return tracker

    def crash(self, tracker, fingerprint):
        for address in ("a:1", "b:1"):
            tracker.started(address, fingerprint)
            tracker.connection_lost(address, fingerprint)

    def test_crashes_are_forgotten_because_the_store_is_away(self):
        """Guards against a blocked request that is not written after a failed call."""
        with mock.patch.object(crash_recorder, "RETRY_MS", 5.0):
            store = FailingStore(failures=3)
            tracker = self.start(store)
            self.crash(tracker, "new")
            self.assertTrue(
                eventually(lambda: [r.fingerprint for r in store.reports] == ["new"])
            )

    def test_one_crash_is_written_by_every_entry(self):
        """Guards against a write for each crash; one alone blocks nothing."""
        store = FailingStore(failures=0)
        tracker = self.start(store)
        tracker.started("a:1", "new")
        tracker.connection_lost("a:1", "new")
        tracker.observe(CrashReport(fingerprint="other", incidents=("1", "2")))
        self.assertFalse(eventually(lambda: store.calls, within_s=0.1))
