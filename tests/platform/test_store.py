"""Tests of the store client against a stand-in for the store."""

import contextlib
import json
import threading
import time
import unittest
from unittest import mock

from monsoonline.core.crashes import CrashReport
from monsoonline.errors import StoreUnavailable
from monsoonline.platform import store
from monsoonline.platform.documents import decode_registration
from monsoonline.platform.store import PlatformStore, StoreConnection
from monsoonline.standin.row_store import RowStoreStandIn
from tests.adapters.endless_replies import ENDLESS_REPLIES
from tests.adapters.scripted_upstream import Reply, ScriptedUpstream
from tests.core.test_fleet import member
from tests.platform.test_documents import CONFIGURATION, TARGET


class TestPlatformStore(unittest.TestCase):
    """Reads, registration and failures of the store."""

    def setUp(self):
        self.standin = RowStoreStandIn()
        self.standin.start()
        self.addCleanup(self.standin.close)
        self.store = PlatformStore(address=self.standin.address, timeout_ms=200.0)
        self.addCleanup(self.store.close)

    def test_reads_configuration_and_targets(self):
        revision = self.standin.write("op", "config", CONFIGURATION)
        self.standin.write("servers", "i1", TARGET)
        self.standin.write("servers", "i2", b"\xff not readable")
        stored = self.store.read(0)
        self.assertEqual(stored.tables_revision, revision)
        self.assertIsNotNone(stored.tables)
        registrations = stored.listing.registrations
        self.assertEqual([r.instance for r in registrations], ["i1"])
        self.assertGreater(stored.listing.revision, revision)

    def kept_crashes(self):
        return self.store.join(member("own")).crashes

    def test_crashes_of_several_writers_are_merged(self):
        first = CrashReport(fingerprint="f", incidents=("1", "2"), age_ms=3_000.0)
        second = CrashReport(fingerprint="f", incidents=("3",), cleared=("1",))
        self.assertEqual(self.kept_crashes(), ())
        self.store.record_crashes((first,))
        self.store.record_crashes((second,))
        (report,) = self.kept_crashes()
        self.assertEqual(report.incidents, {"1", "2", "3"})
        self.assertEqual(report.cleared, {"1"})
        self.assertLess(report.age_ms, 2_000.0)

    def test_crashes_grow_old_in_the_store(self):
        """Guards against blocks that each restart of all entries prolongs."""
        report = CrashReport(fingerprint="f", incidents=("1", "2"), age_ms=3_000.0)
        self.store.record_crashes((report,))
        time.sleep(0.05)
        (stored,) = self.kept_crashes()
        self.assertGreaterEqual(stored.age_ms, 3_040.0)
        self.assertLess(stored.age_ms, 5_000.0)

    def test_crashes_that_another_entry_writes_meanwhile_are_kept(self):
        """Guards against the loss of one of two writes at the same time."""
        reports = [
            CrashReport(fingerprint=name, incidents=("1", "2")) for name in ("f", "g")
        ]
        read = PlatformStore._read_rows

        def read_before_the_other(own, *args, **kwargs):
            found = read(own, *args, **kwargs)
            other = PlatformStore(address=self.standin.address)
            with mock.patch.object(PlatformStore, "_read_rows", read):
                other.record_crashes(reports[:1])
            return found

        with (
            mock.patch.object(PlatformStore, "_read_rows", read_before_the_other),
            self.assertRaises(StoreUnavailable),
        ):
            self.store.record_crashes(reports[1:])
        self.store.record_crashes(reports[1:])
        found = {report.fingerprint for report in self.kept_crashes()}
        self.assertEqual(found, {"f", "g"})

    def test_unreadable_crashes_are_replaced(self):
        """Guards against a row of another writer that keeps entries from starting."""
        report = CrashReport(fingerprint="f", incidents=("1", "2"))
        for content in (
            b"\xff",
            b"[]",
            b'{"requests": [{"fingerprint": 1}]}',
            b'{"requests": [{"fingerprint": "f", "incidents": [], "cleared": [],'
            b' "at": 1e400}]}',
            b"[" * 5_000,
        ):
            with self.subTest(content[:40]):
                self.standin.write("monsoonline-entries", "#requests", content)
                self.assertEqual(self.kept_crashes(), ())
                self.store.record_crashes((report,))
                self.assertEqual(len(self.kept_crashes()), 1)

    def test_odd_row_hides_no_other_row(self):
        """Guards against a row of another writer that stops all reads of the store."""
        self.standin.write("op", "config", CONFIGURATION)
        self.standin.write("servers", "i1", TARGET)
        whole = json.dumps(TARGET).encode()
        for number, content in enumerate(
            (
                b"[" * 5_000,
                whole.replace(b'"slots": 3', b'"slots": NaN'),
                whole.replace(b'"slots": 3', b'"slots": 1e400'),
                whole.replace(b":8080", b":65536"),
                b"",
            )
        ):
            self.standin.write("servers", f"odd{number}", content)
        with self.assertLogs("monsoonline.platform.store", "WARNING") as captured:
            for _ in range(3):
                stored = self.store.read(0)
                self.assertIsNotNone(stored.tables)
                self.assertEqual(
                    [r.instance for r in stored.listing.registrations], ["i1"]
                )
        self.assertEqual([record.rows for record in captured.records], [5])

    def test_error_of_a_decoder_hides_no_other_row(self):
        """Guards against a row of another writer that stops all reads of the store."""
        self.standin.write("op", "config", CONFIGURATION)
        for instance in ("i1", "odd", "i2"):
            self.standin.write("servers", instance, TARGET)

        def decode(instance, content):
            if instance == "odd":
                raise ZeroDivisionError
            return decode_registration(instance, content)

        with mock.patch("monsoonline.platform.store.decode_registration", decode):
            registrations = self.store.read(0).listing.registrations
        self.assertEqual([r.instance for r in registrations], ["i1", "i2"])

    def test_odd_rows_of_entries_hide_no_other_entry(self):
        for key, content in (("x", b"[" * 5_000), ("y", b'{"zone": NaN}')):
            self.standin.write("monsoonline-entries", key, content)
        members = self.store.join(member("a")).members
        self.assertEqual([m.name for m in members], ["a"])

    def test_configuration_with_a_known_revision_is_not_returned(self):
        revision = self.standin.write("op", "config", CONFIGURATION)
        self.assertIsNone(self.store.read(revision).tables)

    def test_targets_are_read_from_several_pages(self):
        self.standin.write("op", "config", CONFIGURATION)
        for number in range(620):
            self.standin.write("servers", f"i{number:04}", TARGET)
        self.assertEqual(len(self.store.read(0).listing.registrations), 620)

    def test_join_is_idempotent_and_returns_all_entries(self):
        self.store.join(member("a"))
        self.store.join(member("a"))
        members = self.store.join(member("b")).members
        self.assertEqual([m.name for m in members], ["a", "b"])

    def test_failures_raise_store_unavailable_and_the_next_call_works(self):
        self.standin.write("op", "config", CONFIGURATION)
        for fault in (
            {"status": 503},
            {"status": 429},
            {"lose_responses": True},
            {"delay_ms": 400.0},
        ):
            with self.subTest(fault=fault):
                for name, value in fault.items():
                    setattr(self.standin.faults, name, value)
                with self.assertRaises(StoreUnavailable):
                    self.store.read(0)
                self.standin.faults = type(self.standin.faults)()
                self.assertIsNotNone(self.store.read(0).tables)


class TestRestoredStore(unittest.TestCase):
    """Eras of a store that comes back from an older copy."""

    def setUp(self):
        self.standin = RowStoreStandIn(era=0)
        self.standin.start()
        self.addCleanup(self.standin.close)
        self.store = PlatformStore(address=self.standin.address, timeout_ms=200.0)
        self.addCleanup(self.store.close)
        self.standin.write("op", "config", CONFIGURATION)
        self.copy = self.standin.take_copy()

    def test_rows_of_a_restored_store_are_newer_than_all_before(self):
        """Guards against rows of a new era that are taken for stale."""
        for number in range(20):
            self.standin.write("servers", f"i{number}", TARGET)
        before = self.store.read(0)
        self.standin.restore(self.copy)
        after = self.store.read(before.tables_revision)
        self.assertGreater(after.listing.revision, before.listing.revision)
        self.assertGreater(after.tables_revision, before.tables_revision)
        self.assertIsNotNone(after.tables)
        self.assertEqual(after.listing.revision.era, 1)
        self.assertEqual(self.store.join(member("a")).era, 1)

    def test_row_that_a_drill_takes_back_at_once_counts_as_written(self):
        """Guards against an entry that no other one finds in the list."""
        call = StoreConnection.call

        def restore_after_the_write(own, method, *args, **options):
            document = call(own, method, *args, **options)
            if method == "POST":
                self.standin.restore(self.copy)
            return document

        with (
            mock.patch.object(StoreConnection, "call", restore_after_the_write),
            self.assertRaisesRegex(StoreUnavailable, "era 1 follows era 0"),
        ):
            self.store.join(member("a"))
        members = self.store.join(member("a")).members
        self.assertEqual([m.name for m in members], ["a"])

    def test_crashes_that_the_store_keeps_are_written_again(self):
        """Guards against a write of each entry after a drill."""
        report = CrashReport(fingerprint="f", incidents=("1", "2"))
        self.store.record_crashes((report,))
        version = self.standin.take_copy().version
        self.store.record_crashes((report,))
        self.assertEqual(self.standin.take_copy().version, version)

    def test_read_that_a_drill_interrupts_is_no_read(self):
        """Guards against tables of one era beside registrations of another."""
        self.store.read(0)
        read_rows = PlatformStore._read_rows

        def read_across_a_drill(own, connection, table, **options):
            if table == "servers":
                self.standin.restore(self.copy)
            return read_rows(own, connection, table, **options)

        with (
            mock.patch.object(PlatformStore, "_read_rows", read_across_a_drill),
            self.assertRaisesRegex(StoreUnavailable, "era 1 follows era 0"),
        ):
            self.store.read(0)
        self.assertEqual(self.store.read(0).listing.revision.era, 1)

    def test_response_of_an_earlier_era_is_no_read(self):
        self.standin.restore(self.copy)
        self.store.read(0)
        with (
            mock.patch.object(store, "parse_store_era", lambda text: 0),
            self.assertRaisesRegex(StoreUnavailable, "era 0, expected era 1"),
        ):
            self.store.read(0)
        self.assertEqual(self.store.read(0).listing.revision.era, 1)

    def test_response_without_an_era_counts_as_one_of_the_last(self):
        """Guards against entries that one odd header sets back."""
        self.standin.restore(self.copy)
        self.store.read(0)
        with mock.patch.object(store, "parse_store_era", lambda text: None):
            self.assertEqual(self.store.read(0).listing.revision.era, 1)

    def test_one_odd_response_begins_no_era(self):
        """Guards against an era that no later response reaches."""
        self.store.read(0)
        eras = iter((900, 0, 0, 0))
        with mock.patch.object(store, "parse_store_era", lambda text: next(eras)):
            with self.assertRaises(StoreUnavailable):
                self.store.read(0)
            self.assertEqual(self.store.read(0).listing.revision.era, 0)

    def test_version_that_is_no_number_is_no_read(self):
        for version in (None, "7", -1, 1 << 60, 1.5, float("nan")):
            with self.subTest(version), self.assertRaises(StoreUnavailable):
                store.make_revision(0, version)


class TestKeptConnections(unittest.TestCase):
    """The end of a kept connection is not taken for an outage of the store."""

    RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

    def connect_to(self, script):
        peer = ScriptedUpstream(script=script)
        self.addCleanup(peer.close)
        connection = StoreConnection(address=peer.address, timeout_ms=200.0)
        self.addCleanup(connection.close)
        return peer, connection

    def test_idle_connection_that_was_closed_is_an_outage(self):
        """Guards against reads that wait because of a connection that was closed."""
        peer, connection = self.connect_to(
            lambda number, count: Reply(content=self.RESPONSE, close=True)
        )
        for calls in (1, 2, 3):
            self.assertEqual(connection.call("GET", "/"), {})
            self.assertEqual(peer.connections, calls)
            time.sleep(0.05)

    def test_idle_connection_that_is_silent_is_an_outage(self):
        """Guards against reads that wait because of a connection gone silent."""
        peer, connection = self.connect_to(
            lambda number, count: self.RESPONSE if count == 1 else None
        )
        for calls in (1, 2, 3):
            self.assertEqual(connection.call("GET", "/"), {})
            self.assertEqual(peer.connections, calls)

    def test_failure_on_a_new_connection_is_not_repeated(self):
        peer, connection = self.connect_to(lambda number, count: None)
        with self.assertRaises(StoreUnavailable):
            connection.call("GET", "/")
        self.assertEqual(peer.connections, 1)

    def test_write_is_not_repeated(self):
        peer, connection = self.connect_to(
            lambda number, count: self.RESPONSE if count == 1 else None
        )
        connection.call("GET", "/")
        with self.assertRaises(StoreUnavailable):
            connection.call("POST", "/", document={})
        self.assertEqual(peer.connections, 1)


class TestEndlessResponses(unittest.TestCase):
    """A call ends although the other side sends without end."""

    def test_call_waits_for_the_end_of_a_response_without_end(self):
        """Guards against a reader of the store that is held, or fills its memory."""
        for name, reply in ENDLESS_REPLIES.items():
            with self.subTest(name):
                peer = ScriptedUpstream(script=lambda n, r, reply=reply: reply)
                self.addCleanup(peer.close)
                connection = StoreConnection(address=peer.address, timeout_ms=300.0)
                with mock.patch.object(store, "RESPONSE_TIMEOUT_MS", 500.0):
                    call = start_in_thread(lambda c=connection: c.call("GET", "/"))
                    call.join(2.0)
                ended = not call.is_alive()
                peer.close()
                call.join(5.0)
                self.assertTrue(ended)
                self.assertLess(peer.endless_bytes, 2 * store.MAX_RESPONSE_BYTES)


def start_in_thread(call):
    """Start a thread that makes a call and ignores that the store is unavailable."""

    def run():
        with contextlib.suppress(StoreUnavailable):
            call()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread
