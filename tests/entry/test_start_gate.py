"""Tests of the decision when a starting entry may serve."""

import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.model import Tables
from monsoonline.core.registrations import Listing
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.entry.shared_state import SharedState
from monsoonline.entry.start_gate import START_LIMIT_MS, StartGate
from monsoonline.errors import Finding, FindingsError
from monsoonline.metrics import Metrics


def decode(content, revision):
    if content == b"broken":
        raise FindingsError([Finding(place="p", path=".", value="x", expected="y")])
    return Tables(revision=revision)


class TestStartGate(unittest.TestCase):
    """A starting entry serves by the newest tables that it has heard of."""

    def setUp(self):
        self.clock = ManualClock()
        self.state = SharedState(
            decode_tables=decode,
            on_tables=lambda tables: None,
            on_registrations=lambda registrations: None,
            metrics=Metrics(),
        )
        self.clock.advance(5_000.0)
        self.gate = StartGate(clock=self.clock, state=self.state)
        self.gate.note_crashes_known()

    def apply(self, revision, content=b"tables"):
        self.state.use_tables(revision, content)
        listing = Listing(revision=revision, registrations=())
        self.state.use_listing(listing, now=0.0, ms_since_store_failure=None)

    def test_state_without_a_read_since_the_start_may_be_old(self):
        """Guards against routes confirmed long before that a new entry lacks."""
        self.apply(5)
        self.gate.note_revision(5)
        self.gate.note_read(self.clock.now() - 1.0)
        self.assertFalse(self.gate.open)
        self.gate.note_read(self.clock.now())
        self.assertTrue(self.gate.open)

    def test_entry_that_does_not_know_the_blocked_requests_serves(self):
        """Guards against a blocked request that a new entry sends to upstreams."""
        gate = StartGate(clock=self.clock, state=self.state)
        self.apply(5)
        gate.note_read(self.clock.now())
        self.assertFalse(gate.open)
        gate.note_crashes_known()
        self.assertTrue(gate.open)

    def test_newer_tables_that_were_heard_of_are_applied_first(self):
        """Guards against routes confirmed long before that a new entry lacks."""
        self.apply(5)
        self.gate.note_read(self.clock.now())
        self.gate.note_revision(7)
        self.assertFalse(self.gate.open)
        self.apply(6)
        self.assertFalse(self.gate.open)
        self.apply(7)
        self.assertTrue(self.gate.open)

    def test_invalid_tables_are_not_waited_for(self):
        self.apply(5)
        self.gate.note_read(self.clock.now())
        self.gate.note_revision(6)
        self.state.use_tables(6, b"broken")
        self.assertTrue(self.gate.open)

    def test_outage_of_the_store_is_not_waited_for(self):
        """Guards against entries that cannot restart while the store is away."""
        self.clock.advance(START_LIMIT_MS)
        self.assertFalse(self.gate.open)
        self.apply(5)
        self.gate.note_revision(9)
        self.assertTrue(self.gate.open)

    def test_read_of_a_store_that_was_restored_just_now_is_taken_for_the_newest(self):
        """Guards against a new entry that serves by the older copy."""
        self.apply(StoreRevision.of(era=1, version=5))
        self.gate.note_read(self.clock.now())
        self.assertFalse(self.gate.open)
        self.gate.note_peer_state()
        self.assertTrue(self.gate.open)

    def test_entry_that_starts_alone_waits_for_others(self):
        self.apply(StoreRevision.of(era=1, version=5))
        self.gate.note_read(self.clock.now())
        self.clock.advance(START_LIMIT_MS)
        self.assertTrue(self.gate.open)

    def test_new_era_that_is_heard_of_meanwhile_ends_the_check(self):
        """Guards against revisions that change while they are compared."""
        self.apply(5)
        self.gate.note_read(self.clock.now())
        self.gate.note_revision(5)
        lacks_tables = self.state.lacks_tables

        def lacks_and_hears(revision):
            self.gate.note_revision(StoreRevision.of(era=1, version=3))
            return lacks_tables(revision)

        with mock.patch.object(self.state, "lacks_tables", lacks_and_hears):
            self.assertTrue(self.gate.open)
