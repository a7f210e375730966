"""Tests of reading the store in turn with other entries."""

import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.crashes import CrashReport, CrashTracker
from monsoonline.core.fleet import Fleet
from monsoonline.core.model import Tables
from monsoonline.core.read_schedule import ReadSchedule
from monsoonline.core.registrations import Listing
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.entry.shared_state import SharedState
from monsoonline.entry.start_gate import StartGate
from monsoonline.entry.store_reader import StoreReader
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics
from monsoonline.ports import JoinedFleet, StoredState
from tests.core.test_fleet import member
from tests.core.test_registrations import registration

LOGGER = "monsoonline.entry.store_reader"


class SwitchedStore:
    """Store that can be switched between available and unavailable."""

    def __init__(self):
        self.available = True
        self.revision = 1
        self.era = 0
        self.tables_revision = 1

    def join(self, own):
        if not self.available:
            raise StoreUnavailable("status 503, expected 200")
        report = CrashReport(fingerprint="bad", incidents=("1", "2"))
        return JoinedFleet(members=(own,), crashes=(report,), era=self.era)

    def read(self, tables_revision):
        if not self.available:
            raise StoreUnavailable("status 503, expected 200")
        self.revision += 1
        return StoredState(
            tables_revision=self.tables_revision,
            tables=b"tables" if tables_revision < 1 else None,
            listing=Listing(
                revision=StoreRevision.of(era=self.era, version=self.revision),
                registrations=(registration("i1"),),
            ),
        )


class DiscardingLink:
    """Link that discards all notices."""

    def send_read_notice(self, read_at, delta):
        """Discard a read notice."""

    def announce(self):
        """Discard a heartbeat."""


class TestStoreReader(unittest.TestCase):
    """Log lines at the start and the end of a store outage."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = SwitchedStore()
        self.metrics = metrics = Metrics()
        state = SharedState(
            decode_tables=lambda content, revision: Tables(revision=revision),
            on_tables=lambda tables: None,
            on_registrations=lambda registrations: None,
            metrics=metrics,
        )
        self.schedule = ReadSchedule(name="own")
        self.crashes = CrashTracker(clock=self.clock, owner="own")
        self.gate = StartGate(clock=self.clock, state=state)
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            fleet=Fleet(own=member("own")),
            state=state,
            gate=self.gate,
            schedule=self.schedule,
            link=DiscardingLink(),
            crashes=self.crashes,
            metrics=metrics,
        )

    def test_reads_of_an_older_state_are_counted_and_logged_once(self):
        """Guards against a restored store that looks like one without changes."""
        self.read_after(0.0, available=True)
        self.read_after(700.0, available=True)
        self.store.revision = 0
        with self.assertLogs(LOGGER, "WARNING") as captured:
            for _ in range(4):
                self.read_after(700.0, available=True)
        self.assertEqual(
            [(r.message, r.registrations) for r in captured.records],
            [
                ("store older than the state in effect", "1"),
                ("store as new as the state in effect again", "3"),
            ],
        )
        self.assertEqual(self.metrics.value("store_older_reads_total"), 2)

    def test_read_of_an_older_state_counts_as_a_read(self):
        """Guards against a fleet that waits for reads whose results are dropped."""
        self.read_after(0.0, available=True)
        self.store.revision = -1
        self.read_after(700.0, available=True)
        self.assertEqual(self.schedule.read_age_ms(self.clock.boot()), 700.0)
        self.store.revision = 5
        self.read_after(700.0, available=True)
        self.assertEqual(self.schedule.read_age_ms(self.clock.boot()), 0.0)

    def test_older_tables_beside_newer_registrations_are_counted(self):
        """Guards against tables that stay late after the counter has caught up."""
        self.read_after(0.0, available=True)
        self.store.tables_revision = 0
        with self.assertLogs(LOGGER, "WARNING") as captured:
            self.read_after(700.0, available=True)
        (record,) = captured.records
        self.assertEqual((record.tables, record.known_tables), ("0", "1"))
        self.assertEqual(self.metrics.value("store_older_reads_total"), 1)

    def test_row_of_this_entry_is_written_again_after_a_drill(self):
        """Guards against entries that a restored store no longer lists."""
        self.read_after(0.0, available=True)
        self.reader._join()
        self.reader._rejoin_after_loss()
        self.assertFalse(self.reader._rejoin_requested.is_set())
        self.crashes.connection_lost("10.0.0.1:80", "worse")
        self.clock.advance(600.0)
        self.crashes.connection_lost("10.0.0.1:80", "worse")
        self.assertEqual(self.unrecorded(), {"worse"})
        self.store.era = 1
        self.read_after(700.0, available=True)
        self.reader._rejoin_after_loss()
        self.assertTrue(self.reader._rejoin_requested.is_set())
        self.reader._rejoin_requested.clear()
        self.reader._join()
        self.reader._rejoin_after_loss()
        self.assertFalse(self.reader._rejoin_requested.is_set())
        self.crashes.record_again()
        # Also what another entry has observed, which may have ended.
        self.assertEqual(self.unrecorded(), {"bad", "worse"})

    def unrecorded(self):
        return {report.fingerprint for report in self.crashes.take_unrecorded()}

    def read_after(self, duration_ms, *, available):
        self.store.available = available
        self.clock.advance(duration_ms)
        self.reader._read()

    def test_entry_that_joins_sends_a_blocked_request(self):
        """Guards against an entry that serves before it knows the blocked requests."""
        self.read_after(0.0, available=True)
        self.assertFalse(self.gate.open)
        self.reader._join()
        self.assertTrue(self.crashes.blocked("bad"))
        self.assertTrue(self.gate.open)

    def test_outage_is_logged_at_its_start_and_end(self):
        """Guards against one log line for each failed read, which fills the logs."""
        self.read_after(0.0, available=True)
        with self.assertLogs(LOGGER) as captured:
            for _ in range(4):
                self.read_after(700.0, available=False)
            self.read_after(700.0, available=True)
            self.read_after(700.0, available=True)
        messages = [record.message for record in captured.records]
        self.assertEqual(messages, ["store not readable", "store readable again"])
        self.assertEqual(captured.records[1].lost_ms, 2_800)
