"""Tests of the corrections of a store that was restored from an older copy."""

import unittest

from monsoonline.core.registrations import EXPIRY_GRACE_MS
from monsoonline.core.restored_registrations import (
    REMOVAL_HOLD_MS,
    Removal,
    RestoredRegistrations,
)
from monsoonline.core.store_revisions import EraWatch, StoreRevision
from tests.core.test_registrations import registration


def by_instance(*registrations):
    return {r.instance: r for r in registrations}


class TestRestoredRegistrations(unittest.TestCase):
    """Upstreams that an older copy lacks, or contains again."""

    def setUp(self):
        self.eras = EraWatch()
        self.restored = RestoredRegistrations(eras=self.eras)
        self.eras.note(100, 0.0)
        self.listed = {}
        self.era = 0
        self.gone, self.stays = registration("i1", born_ms=5), registration("i2")
        self.use(self.gone, self.stays)
        self.use(self.stays)

    def use(self, *registrations, now=0.0, era=None):
        """Read registrations from the store; return the corrected ones."""
        listed = by_instance(*registrations)
        eras = (self.era, self.era if era is None else era)
        self.era = eras[1]
        self.restored.note_changes(self.listed, listed, eras=eras, now=now)
        self.restored.note_read(now)
        self.listed = listed
        return self.restored.apply(listed, now)

    def restore(self, *registrations, now=0.0, era=1):
        """Restore the store from a copy with the registrations."""
        self.eras.note(StoreRevision.of(era=era, version=10), now)
        return self.use(*registrations, now=now, era=era)

    def test_upstream_that_the_older_copy_contains_again_is_not_used(self):
        """Guards against requests to upstreams that were removed before a drill."""
        self.assertEqual(set(self.restore(self.gone, self.stays)), {"i2"})
        self.assertTrue(self.restored.correcting)
        self.assertEqual(set(self.use(self.stays, now=1.0)), {"i2"})
        self.assertFalse(self.restored.correcting)

    def test_store_is_believed_after_its_own_removals_are_due(self):
        """Guards against a belief that nothing can correct."""
        self.restore(self.gone)
        late = REMOVAL_HOLD_MS + 1.0
        self.assertEqual(set(self.use(self.gone, now=late)), {"i1"})
        self.assertFalse(self.restored.correcting)

    def test_removed_upstream_is_not_used_while_nothing_is_read(self):
        """Guards against an entry that is cut off while the store removes it again."""
        self.restore(self.gone, self.stays)
        late = REMOVAL_HOLD_MS + 1.0
        self.assertEqual(set(self.restored.apply(self.listed, late)), {"i2"})

    def test_upstream_that_starts_anew_is_used(self):
        self.assertIn("i1", self.restore(registration("i1", born_ms=6)))

    def test_upstream_that_returns_in_the_same_era_is_used(self):
        """Guards against expired registrations that are renewed in vain."""
        self.assertEqual(set(self.use(self.gone, self.stays)), {"i1", "i2"})

    def test_upstream_that_has_returned_before_the_drill_is_used_after_it(self):
        """Guards against a removal that is remembered after it was undone."""
        self.use(self.gone, self.stays)
        self.assertEqual(set(self.restore(self.gone, self.stays)), {"i1", "i2"})

    def test_upstream_that_the_copy_lacks_is_used_until_it_registers_again(self):
        """Guards against live upstreams that a restored store does not list yet."""
        self.assertEqual(set(self.restore()), {"i2"})
        self.assertEqual(set(self.use(now=EXPIRY_GRACE_MS)), {"i2"})
        self.assertEqual(set(self.use(self.stays, now=EXPIRY_GRACE_MS)), {"i2"})
        self.assertFalse(self.restored.correcting)
        self.assertEqual(set(self.use(now=EXPIRY_GRACE_MS + 1.0)), set())

    def test_upstream_lost_in_two_drills_is_used_once_it_registers_again(self):
        """Guards against a live upstream that counts as removed."""
        self.restore()
        self.assertEqual(self.use(now=EXPIRY_GRACE_MS + 1.0), {})
        applied = self.restore(self.stays, now=4_000.0, era=2)
        self.assertEqual(set(applied), {"i2"})

    def test_removal_soon_after_a_drill_takes_effect_at_once(self):
        """Guards against requests to an upstream that the restored store removed."""
        self.restore(self.stays)
        self.assertEqual(self.use(now=100.0), {})

    def test_leaving_upstream_is_not_kept(self):
        self.use(registration("i2", leaving=True))
        self.assertEqual(self.restore(), {})

    def test_newer_start_of_an_upstream_is_used_though_the_copy_has_the_older(self):
        renewed = registration("i2", born_ms=9)
        self.use(renewed)
        applied = self.restore(self.stays)
        self.assertEqual(applied["i2"], renewed)
        late = EXPIRY_GRACE_MS + 1.0
        self.assertEqual(self.use(self.stays, now=late), {})

    def test_removal_of_an_earlier_era_is_heard_of_late(self):
        """Guards against a removed upstream that counts as removed by the copy."""
        self.eras.note(StoreRevision.of(era=1, version=1), 0.0)
        self.use()
        self.assertEqual(set(self.restore(self.stays)), set())

    def test_removal_without_a_drill_takes_effect_at_once(self):
        self.assertEqual(self.use(), {})
        self.assertFalse(self.restored.correcting)

    def test_new_entry_learns_removals_of_a_neighbour(self):
        other = RestoredRegistrations(eras=self.eras)
        for removal in self.restored.latest_removals():
            other.note(removal)
        removal = Removal(instance="i1", born_ms=5, era=0)
        self.assertEqual(other.latest_removals(), (removal,))
        self.restored = other
        self.assertEqual(self.restore(self.gone), {"i2": self.stays})

    def test_memory_is_bounded(self):
        for number in range(25_000):
            self.restored.note(Removal(instance=f"n{number}", born_ms=1, era=0))
        self.assertEqual(len(self.restored._removals), 20_000)
        self.assertEqual(len(self.restored.latest_removals()), 200)
