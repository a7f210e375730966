"""Tests of revisions over the eras of the store."""

import unittest

from monsoonline.core.store_revisions import MAX_ERA, EraWatch, StoreRevision


class TestStoreRevision(unittest.TestCase):
    """Order of versions that a restored store issues again."""

    def test_version_of_a_restored_store_is_newer_than_all_before(self):
        """Guards against rows of a restored store that are taken for stale."""
        before = StoreRevision.of(era=1, version=5_000_000)
        after = StoreRevision.of(era=2, version=1)
        self.assertGreater(after, before)
        self.assertGreater(StoreRevision.of(era=2, version=2), after)

    def test_revision_without_eras_is_the_version(self):
        self.assertEqual(StoreRevision.of(era=0, version=12), 12)
        self.assertEqual(StoreRevision(12).describe(), "12")

    def test_revision_is_taken_apart_after_a_message(self):
        revision = StoreRevision(int(StoreRevision.of(era=MAX_ERA, version=7)))
        self.assertEqual((revision.era, revision.version), (MAX_ERA, 7))
        self.assertEqual(revision.describe(), f"{MAX_ERA}.7")
        self.assertEqual(int(str(revision)), revision)
        self.assertLess(revision, 2**63)

    def test_numbers_out_of_range_are_quoted(self):
        for era, version in ((-1, 0), (MAX_ERA + 1, 0), (0, -1), (0, 1 << 48)):
            with self.subTest(era=era, version=version):
                with self.assertRaises(ValueError) as caught:
                    StoreRevision.of(era=era, version=version)
                wrong = version if 0 <= era <= MAX_ERA else era
                self.assertIn(repr(wrong), str(caught.exception))


class TestEraWatch(unittest.TestCase):
    """Time since a new era was first heard of."""

    def test_first_era_is_no_change(self):
        watch = EraWatch()
        self.assertFalse(watch.note(StoreRevision.of(era=3, version=9), 100.0))
        self.assertEqual(watch.era, 3)
        self.assertEqual(watch.ms_since_seen(150.0), 50.0)

    def test_earlier_era_changes_nothing(self):
        watch = EraWatch()
        watch.note(5, 0.0)
        self.assertTrue(watch.note(StoreRevision.of(era=1, version=2), 100.0))
        self.assertFalse(watch.note(900, 200.0))
        self.assertEqual(watch.era, 1)
        self.assertEqual(watch.ms_since_seen(300.0), 200.0)
