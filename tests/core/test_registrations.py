"""Tests of the registration list."""

import unittest

from monsoonline.core.registrations import Listing, Registration, RegistrationList


def registration(instance, **changes):
    fields = {
        "pool": "quotes",
        "address": f"10.0.0.1:{8000 + int(instance[1:])}",
        "failure_domain": "a",
        "slots": 3,
    }
    return Registration(instance=instance, **(fields | changes))


def listing(revision, *registrations):
    return Listing(revision=revision, registrations=registrations)


class TestRegistrationList(unittest.TestCase):
    """Guards against stale states and against early removal of registrations."""

    def known(self, *registrations, revision=10):
        known = RegistrationList()
        known.apply_listing(listing(revision, *registrations), now=0.0)
        return known

    def test_older_listing_never_replaces_a_newer_one(self):
        """A delayed response of the store would restore a leaving upstream."""
        known = self.known(registration("i1", leaving=True))
        self.assertIsNone(known.apply_listing(listing(9, registration("i1")), now=1.0))
        self.assertTrue(known.registrations["i1"].leaving)

    def test_missing_registration_is_removed_at_once_while_the_store_is_stable(self):
        known = self.known(registration("i1"), registration("i2"))
        known.apply_listing(listing(11, registration("i2")), now=1.0)
        self.assertEqual(set(known.registrations), {"i2"})

    def test_missing_registration_is_kept_for_a_time_after_a_store_failure(self):
        """Registrations expire during an outage and are renewed about 2 s after it."""
        known = self.known(registration("i1"))
        known.apply_listing(listing(11), now=100.0, ms_since_store_failure=50.0)
        self.assertIn("i1", known.registrations)
        known.apply_listing(listing(12), now=2_700.0, ms_since_store_failure=2_650.0)
        self.assertNotIn("i1", known.registrations)

    def test_kept_registration_is_removed_while_store_failures_continue(self):
        known = self.known(registration("i1"))
        known.apply_listing(listing(11), now=100.0, ms_since_store_failure=50.0)
        known.apply_listing(listing(12), now=2_700.0, ms_since_store_failure=50.0)
        self.assertNotIn("i1", known.registrations)

    def test_leaving_registration_is_not_kept_after_a_store_failure(self):
        known = self.known(registration("i1", leaving=True))
        known.apply_listing(listing(11), now=100.0, ms_since_store_failure=50.0)
        self.assertEqual(known.registrations, {})

    def test_delta_produces_the_same_state_in_another_list(self):
        reader = self.known(registration("i1"), registration("i2"))
        other = self.known(registration("i1"), registration("i2"))
        delta = reader.apply_listing(
            listing(12, registration("i2", leaving=True), registration("i3")), now=1.0
        )
        self.assertTrue(other.apply_delta(delta))
        self.assertEqual(other.digest, reader.digest)
        self.assertEqual(other.registrations, reader.registrations)
        self.assertEqual(other.revision, 12)

    def test_delta_for_another_state_requires_the_complete_state(self):
        reader = self.known(registration("i1"), registration("i2"))
        other = self.known(registration("i1"))
        delta = reader.apply_listing(listing(12, registration("i2")), now=1.0)
        self.assertFalse(other.apply_delta(delta))
        self.assertTrue(other.apply_full_state(12, reader.registrations.values()))
        self.assertEqual(other.digest, reader.digest)

    def test_older_delta_is_accepted_without_a_change(self):
        reader = self.known(registration("i1"))
        delta = reader.apply_listing(listing(11), now=1.0)
        newer = self.known(registration("i1"), revision=15)
        self.assertTrue(newer.apply_delta(delta))
        self.assertIn("i1", newer.registrations)
