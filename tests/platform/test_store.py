"""Tests of the store client against a stand-in for the store."""

import unittest

from monsoonline.errors import StoreUnavailable
from monsoonline.platform.store import PlatformStore
from monsoonline.standin.row_store import RowStoreStandIn
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
        members = self.store.join(member("b"))
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
