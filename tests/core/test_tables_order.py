"""Tests of the order of tables over the eras of the store."""

import unittest

from monsoonline.core.store_revisions import EraWatch, StoreRevision
from monsoonline.core.tables_order import TABLES_HOLD_MS, Decision, TablesOrder


def revision_of(era, version):
    return StoreRevision.of(era=era, version=version)


class TestTablesOrder(unittest.TestCase):
    """Which tables take effect after the store was restored from a copy."""

    def setUp(self):
        self.eras = EraWatch()
        self.order = TablesOrder(eras=self.eras)

    def offer(self, era, version, edition, *, now=0.0, stored=True):
        """Offer tables; return whether they take effect.

        :param stored: whether the store provides them, not another entry
        """
        revision = revision_of(era, version)
        self.eras.note(revision, now)
        if not self.order.lacks(revision, now, stored=stored):
            return False
        decision = self.order.decide(revision, edition, now, stored=stored)
        if decision is Decision.USE:
            self.order.note_used(revision, edition)
            return True
        self.order.note_postponed(revision)
        return False

    def test_tables_written_again_take_effect_though_their_version_is_lower(self):
        """Guards against added routes that are refused until the counter catches up."""
        self.assertTrue(self.offer(0, 100, edition=7))
        self.assertTrue(self.offer(1, 27, edition=7))
        self.assertTrue(self.offer(1, 28, edition=9))
        self.assertEqual(self.order.revision, revision_of(1, 28))

    def test_tables_of_the_older_copy_do_not_take_effect(self):
        """Guards against acknowledged changes that revert when the store returns."""
        self.offer(0, 100, edition=7)
        self.assertFalse(self.offer(1, 26, edition=5))
        self.assertFalse(self.order.lacks(revision_of(1, 26), 0.0, stored=False))
        self.assertEqual(self.order.edition, 7)

    def test_versions_that_are_written_again_one_by_one_change_nothing(self):
        """Guards against tables that go back while the operator repeats its edits."""
        self.offer(0, 100, edition=7)
        taken = [self.offer(1, 20 + edition, edition) for edition in (5, 6, 7, 8)]
        self.assertEqual(taken, [False, False, True, True])

    def test_new_entry_prefers_the_newer_tables_of_a_neighbour(self):
        """Guards against an entry that starts with the older copy and keeps it."""
        self.assertTrue(self.offer(1, 26, edition=5))
        self.assertTrue(self.order.lacks(revision_of(0, 100), 0.0, stored=False))
        self.assertTrue(self.offer(0, 100, edition=7))
        self.assertFalse(self.order.lacks(revision_of(1, 26), 0.0, stored=False))
        self.assertTrue(self.offer(1, 30, edition=7))

    def test_neighbour_with_older_tables_changes_nothing(self):
        self.offer(1, 26, edition=5)
        self.assertFalse(self.offer(0, 90, edition=4, stored=False))
        self.assertFalse(self.order.lacks(revision_of(0, 90), 0.0, stored=False))
        self.assertTrue(self.offer(1, 27, edition=6))

    def test_entry_cut_off_since_an_earlier_era_brings_nothing_back(self):
        """Guards against a state that is handed on long after it was lost."""
        self.offer(0, 100, edition=7)
        self.offer(1, 30, edition=7, now=1_000.0)
        late = 2_000.0 + TABLES_HOLD_MS
        self.assertFalse(self.offer(0, 120, edition=9, now=late, stored=False))
        self.assertFalse(self.order.lacks(revision_of(0, 130), late, stored=False))

    def test_operator_that_writes_nothing_again_is_believed_in_the_end(self):
        """Guards against a belief that nothing can correct."""
        self.offer(0, 100, edition=7)
        self.assertFalse(self.offer(1, 26, edition=5, now=1_000.0))
        self.assertFalse(self.offer(1, 26, edition=5, now=TABLES_HOLD_MS))
        self.assertTrue(self.offer(1, 26, edition=5, now=1_001.0 + TABLES_HOLD_MS))
        self.assertEqual(self.order.revision, revision_of(1, 26))

    def test_late_message_of_an_entry_reverts_nothing(self):
        """Guards against an entry that is cut off while the operator writes again."""
        self.offer(0, 100, edition=7)
        self.assertFalse(self.offer(1, 26, edition=5, now=1_000.0, stored=False))
        late = 2_000.0 + TABLES_HOLD_MS
        self.assertFalse(self.offer(1, 27, edition=6, now=late, stored=False))
        self.assertEqual(self.order.edition, 7)
        self.assertTrue(self.offer(1, 28, edition=7, now=late, stored=False))

    def test_two_restorations_in_a_row(self):
        self.offer(0, 100, edition=7)
        self.assertFalse(self.offer(1, 26, edition=5))
        self.assertFalse(self.offer(2, 20, edition=4, now=3_000.0))
        self.assertTrue(self.offer(2, 21, edition=8, now=4_000.0))
        self.assertFalse(self.offer(1, 90, edition=7, now=4_000.0))

    def test_tables_without_editions_follow_the_era(self):
        self.offer(0, 100, edition=None)
        self.assertTrue(self.offer(1, 26, edition=None))
        self.assertFalse(self.offer(0, 101, edition=None))

    def test_invalid_tables_hide_no_later_ones(self):
        self.offer(0, 100, edition=7)
        self.order.note_invalid(revision_of(0, 101))
        self.assertFalse(self.order.lacks(revision_of(0, 101), 0.0, stored=True))
        self.assertTrue(self.offer(1, 5, edition=8))
        self.assertTrue(self.offer(1, 6, edition=9))

    def test_invalid_tables_of_a_later_era_are_decoded_once(self):
        """Guards against a read that never counts because of invalid tables."""
        self.offer(0, 100, edition=7)
        self.eras.note(revision_of(1, 26), 0.0)
        self.order.note_invalid(revision_of(1, 26))
        late = 1.0 + TABLES_HOLD_MS
        self.assertFalse(self.order.lacks(revision_of(1, 26), late, stored=True))
        self.assertTrue(self.order.lacks(revision_of(1, 27), late, stored=True))

    def test_every_entry_reads_once_at_the_end_of_a_hold(self):
        """Guards against entries that keep different tables for ever."""
        self.offer(0, 100, edition=7)
        self.assertFalse(self.order.awaits_read(0.0))
        self.offer(1, 26, edition=5)
        self.assertFalse(self.order.awaits_read(TABLES_HOLD_MS))
        late = 1.0 + TABLES_HOLD_MS
        self.assertTrue(self.order.awaits_read(late))
        self.order.note_read(late)
        self.assertFalse(self.order.awaits_read(late))
