"""Tests of merging the shared state from all sources."""

import dataclasses
import re
import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.fleet_messages import SharedStateCopy
from monsoonline.core.registrations import Listing
from monsoonline.core.restored_registrations import REMOVAL_HOLD_MS
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.entry.shared_state import SharedState
from monsoonline.errors import Finding, FindingsError
from monsoonline.metrics import Metrics
from tests.core.test_registrations import registration


class DecodedTables(tuple):
    """Revision and content of tables, with the edition that the content names."""

    @property
    def edition(self):
        """The number after ``edition``, ``None`` without one."""
        match = re.search(rb"edition (\d+)", self[1])
        return int(match[1]) if match else None


class SharedStateCase(unittest.TestCase):
    """Makes states and applies listings to them."""

    def setUp(self):
        self.clock = ManualClock()
        self.tables = []
        self.published = []
        self.metrics = Metrics()
        self.state = self.make()

    def make(self):
        return SharedState(
            decode_tables=self.decode,
            on_tables=self.tables.append,
            on_registrations=self.published.append,
            metrics=self.metrics,
            clock=self.clock,
        )

    @staticmethod
    def decode(content, revision):
        if content == b"broken":
            finding = Finding(place="p", path=".", value="x", expected="y")
            raise FindingsError([finding])
        if content == b"unexpected":
            raise ZeroDivisionError
        return DecodedTables((revision, content))

    def listing(self, state, revision, *registrations):
        listing = Listing(revision=revision, registrations=registrations)
        return state.use_listing(
            listing, now=self.clock.now(), ms_since_store_failure=None
        )

    def copy_of(self, state, *, tables_revision=0, digest=""):
        return state.make_copy_for(
            tables_revision=tables_revision,
            digest=digest,
            read_age_ms=1.0,
            members=(),
        )


class TestSharedState(SharedStateCase):
    """The state with the higher revision wins, whatever its source."""

    def test_older_tables_never_replace_newer_ones(self):
        """Guards against outdated tables from an entry that was isolated."""
        self.state.use_tables(7, b"new")
        self.state.use_tables(5, b"old")
        self.assertEqual(self.tables, [(7, b"new")])

    def test_invalid_tables_are_counted_and_decoded_once(self):
        self.state.use_tables(7, b"new")
        self.state.use_tables(8, b"broken")
        self.state.use_tables(8, b"broken")
        self.assertEqual(self.state.tables_revision, 7)
        self.assertEqual(self.metrics.value("tables_refused_total"), 1)
        self.state.use_tables(9, b"newer")
        self.assertEqual(self.state.tables_revision, 9)

    def test_unexpected_error_in_tables_hides_no_registrations(self):
        """Guards against tables that stop all that is read with them."""
        copy = SharedStateCopy(
            tables_revision=9,
            tables=b"unexpected",
            registrations_revision=30,
            registrations=(registration("i2"),),
            read_age_ms=1.0,
            members=(),
        )
        with self.assertLogs("monsoonline.entry.shared_state", "ERROR"):
            self.state.use_copy(copy)
        self.assertEqual(list(self.published[-1]), ["i2"])
        self.assertEqual(self.state.tables_revision, 0)
        self.state.use_tables(9, b"tried again")
        self.assertEqual(self.state.tables_revision, 9)

    def test_tables_that_could_not_be_applied_are_not_in_effect(self):
        """Guards against an entry that reports tables which it does not use."""
        state = SharedState(
            decode_tables=self.decode,
            on_tables=mock.Mock(side_effect=[ZeroDivisionError, None]),
            on_registrations=self.published.append,
            metrics=self.metrics,
        )
        for revision in (0, 7):
            state.use_tables(7, b"new")
            self.assertEqual(state.tables_revision, revision)

    def test_copy_brings_another_entry_to_the_same_state(self):
        self.state.use_tables(7, b"new")
        self.listing(self.state, 20, registration("i1"))
        other = self.make()
        other.use_copy(self.copy_of(self.state))
        self.assertTrue(other.complete)
        self.assertEqual(other.registrations_digest, self.state.registrations_digest)

    def test_copy_omits_what_the_other_entry_has(self):
        self.state.use_tables(7, b"new")
        self.listing(self.state, 20, registration("i1"))
        copy = self.copy_of(
            self.state, tables_revision=7, digest=self.state.registrations_digest
        )
        self.assertEqual(copy.tables, b"")
        self.assertIsNone(copy.registrations)

    def test_older_copy_changes_nothing(self):
        old = self.make()
        self.listing(old, 10, registration("i1"))
        self.listing(self.state, 20, registration("i1", leaving=True))
        self.state.use_copy(self.copy_of(old))
        self.assertTrue(self.published[-1]["i1"].leaving)

    def test_upstream_that_left_is_never_ready_again(self):
        """Guards against a heartbeat that the store performs late.

        It makes a leaving upstream, or one that is already gone, ready again.
        """
        gone = ()
        ready, left = registration("i1", born_ms=5), registration("i1", leaving=True)
        left = dataclasses.replace(left, born_ms=5)
        for revision, listed in enumerate(((ready,), (left,), (ready,), gone), 20):
            self.listing(self.state, revision, *listed)
        self.assertEqual(self.published[-1], {})
        self.listing(self.state, 30, ready)
        self.assertTrue(self.published[-1]["i1"].leaving)
        self.assertEqual(
            [p["i1"].leaving for p in self.published if p], [False, True, True, True]
        )

    def test_state_of_another_entry_makes_no_upstream_ready_again(self):
        """Guards against the word of an entry that read a late heartbeat first."""
        other = self.make()
        ready = registration("i1", born_ms=5)
        self.listing(self.state, 20, dataclasses.replace(ready, leaving=True))
        self.listing(other, 21, ready)
        self.state.use_copy(self.copy_of(other))
        self.assertTrue(self.published[-1]["i1"].leaving)
        self.assertEqual(self.state.registrations_digest, other.registrations_digest)

    def test_notice_of_a_leaving_upstream_outlasts_what_others_say(self):
        """Guards against a row, a notice or a copy that says ready later."""
        ready = registration("i1", born_ms=5)
        self.listing(self.state, 20, ready)
        self.state.note_leaving("i1", 5)
        self.assertTrue(self.published[-1]["i1"].leaving)
        self.state.note_leaving("i1", 5)
        self.assertEqual(len(self.published), 2)
        self.listing(self.state, 21, ready, registration("i2"))
        other = self.make()
        self.listing(other, 22, ready)
        self.state.use_copy(self.copy_of(other))
        self.assertTrue(self.published[-1]["i1"].leaving)
        self.listing(self.state, 23, dataclasses.replace(ready, born_ms=6))
        self.assertFalse(self.published[-1]["i1"].leaving)

    def test_upstream_that_starts_anew_is_ready(self):
        """Guards against a restarted upstream that is never used again."""
        ready = registration("i1", born_ms=5)
        self.listing(self.state, 20, dataclasses.replace(ready, leaving=True))
        self.listing(self.state, 21, dataclasses.replace(ready, born_ms=6))
        self.assertFalse(self.published[-1]["i1"].leaving)
        self.listing(self.state, 22, dataclasses.replace(ready, born_ms=4))
        self.assertFalse(self.published[-1]["i1"].leaving)

    def test_unchanged_listing_publishes_nothing(self):
        """Guards against an update for each heartbeat of an upstream.

        Heartbeats increase the revision of the store without changing registrations.
        """
        self.listing(self.state, 20, registration("i1"))
        published = len(self.published)
        delta = self.listing(self.state, 21, registration("i1"))
        self.assertEqual(len(self.published), published)
        self.assertEqual(delta.base, delta.digest)
        self.assertEqual(self.state.registrations_revision, 21)

    def test_changes_of_the_upstreams_are_logged_with_revision_and_source(self):
        """Guards against failed requests that cannot be diagnosed from the logs.

        A failed request alone does not show which upstreams the entry knew.
        """
        logger = "monsoonline.entry.shared_state"
        with self.assertLogs(logger) as captured:
            self.listing(self.state, 5, registration("i1"), registration("i2"))
            self.listing(self.state, 6, registration("i2", leaving=True))
        first, second = captured.records
        self.assertEqual((first.joined, first.gone), (["i1", "i2"], []))
        self.assertEqual((second.leaving, second.gone), (["i2"], ["i1"]))
        self.assertEqual((second.revision, second.source), (6, "store"))
        with self.assertNoLogs(logger):
            self.listing(self.state, 7, registration("i2", leaving=True))


def revision_of(era, version):
    return StoreRevision.of(era=era, version=version)


class TestRestoredStore(SharedStateCase):
    """State in effect after the store has come back from an older copy."""

    def test_route_added_after_a_drill_is_served(self):
        """Guards against 404 for added routes until the counter catches up."""
        self.state.use_tables(100, b"edition 7")
        self.state.use_tables(revision_of(1, 26), b"edition 5")
        self.state.use_tables(revision_of(1, 27), b"edition 8")
        contents = [content for _, content in self.tables]
        self.assertEqual(contents, [b"edition 7", b"edition 8"])
        self.assertEqual(self.metrics.value("tables_postponed_total"), 1)

    def test_drill_does_not_drop_upstreams_that_register_again(self):
        """Guards against live upstreams that a restored store does not list yet."""
        self.listing(self.state, 100, registration("i1"), registration("i2"))
        self.listing(self.state, revision_of(1, 30), registration("i1"))
        self.assertEqual(set(self.published[-1]), {"i1", "i2"})
        self.clock.advance(2_000.0)
        listed = registration("i1"), registration("i2")
        self.listing(self.state, revision_of(1, 34), *listed)
        self.clock.advance(2_000.0)
        self.listing(self.state, revision_of(1, 36), registration("i1"))
        self.assertEqual(set(self.published[-1]), {"i1"})

    def test_drill_brings_no_removed_upstream_back(self):
        """Guards against requests to upstreams that the older copy still lists."""
        both = registration("i1", born_ms=5), registration("i2", born_ms=5)
        self.listing(self.state, 98, *both)
        self.listing(self.state, 100, both[0])
        self.listing(self.state, revision_of(1, 30), *both)
        self.assertEqual(set(self.published[-1]), {"i1"})
        # Neither a neighbour that has started nor the next reads bring it back.
        starting = self.make()
        self.listing(starting, revision_of(1, 31), *both)
        self.state.use_copy(self.copy_of(starting))
        self.assertEqual(set(self.published[-1]), {"i1"})
        self.clock.advance(REMOVAL_HOLD_MS + 1.0)
        self.listing(self.state, revision_of(1, 40), *both)
        self.assertEqual(set(self.published[-1]), {"i1", "i2"})

    def test_drill_makes_no_leaving_upstream_ready(self):
        ready = registration("i1", born_ms=5)
        self.listing(self.state, 100, dataclasses.replace(ready, leaving=True))
        self.listing(self.state, revision_of(1, 30), ready)
        self.assertTrue(self.published[-1]["i1"].leaving)

    def test_entry_that_starts_in_a_drill_takes_the_state_of_a_neighbour(self):
        """Guards against a new entry that serves by the older copy."""
        both = registration("i1", born_ms=5), registration("i2", born_ms=5)
        self.state.use_tables(100, b"edition 7")
        self.listing(self.state, 98, *both)
        self.listing(self.state, 100, both[0])
        starting = self.make()
        starting.use_tables(revision_of(1, 26), b"edition 5")
        self.listing(starting, revision_of(1, 30), *both)
        self.assertTrue(starting.lacks_tables(self.state.tables_revision))
        starting.use_copy(
            self.state.make_copy_for(
                tables_revision=starting.tables_revision,
                digest=starting.registrations_digest,
                read_age_ms=1.0,
                members=(),
                include_past=True,
            )
        )
        self.assertEqual(self.tables[-1], (100, b"edition 7"))
        self.listing(starting, revision_of(1, 31), *both)
        self.assertEqual(set(self.published[-1]), {"i1"})
        self.assertFalse(starting.lacks_tables(self.state.tables_revision))
        self.assertFalse(starting.lacks_tables(revision_of(1, 26)))

    def test_entry_that_starts_in_a_drill_learns_which_upstreams_leave(self):
        """Guards against a leaving upstream that the older copy shows as ready."""
        ready = registration("i1", born_ms=5)
        self.listing(self.state, 100, dataclasses.replace(ready, leaving=True))
        starting = self.make()
        self.listing(starting, revision_of(1, 30), ready)
        self.assertFalse(self.published[-1]["i1"].leaving)
        starting.use_copy(
            self.state.make_copy_for(
                tables_revision=0,
                digest="",
                read_age_ms=1.0,
                members=(),
                include_past=True,
            )
        )
        self.assertTrue(self.published[-1]["i1"].leaving)

    def test_removal_after_a_notice_of_the_same_registrations(self):
        """Guards against a removal that seems to be missing in the copy only."""
        both = registration("i1"), registration("i2")
        self.listing(self.state, 100, *both)
        reader = self.make()
        self.state.use_delta(self.listing(reader, revision_of(1, 50), *both))
        self.clock.advance(700.0)
        delta = self.listing(reader, revision_of(1, 60), both[1])
        self.assertTrue(self.state.use_delta(delta))
        self.assertEqual(set(self.published[-1]), {"i2"})

    def test_entry_that_was_cut_off_during_the_drill_takes_the_new_era(self):
        self.state.use_tables(100, b"edition 7")
        cut_off = self.make()
        cut_off.use_tables(90, b"edition 6")
        self.state.use_tables(revision_of(1, 40), b"edition 8")
        self.assertTrue(cut_off.lacks_tables(self.state.tables_revision))
        cut_off.use_copy(self.copy_of(self.state, tables_revision=90))
        self.assertEqual(cut_off.tables_revision, revision_of(1, 40))
        self.assertEqual(self.tables[-1], (revision_of(1, 40), b"edition 8"))

    def test_new_era_is_logged_once_with_both_editions(self):
        """Guards against late tables that no log can explain."""
        self.state.use_tables(100, b"edition 7")
        logger = "monsoonline.entry.shared_state"
        with self.assertLogs(logger, "WARNING") as captured:
            for _ in range(3):
                self.state.use_tables(revision_of(1, 26), b"edition 5")
        restored, postponed = captured.records
        self.assertEqual((restored.era, restored.revision), (1, 26))
        self.assertEqual((postponed.edition, postponed.edition_in_effect), (5, 7))
