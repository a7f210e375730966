"""Tests of the permits that keep the fleet within an upstream's limit."""

import unittest

from monsoonline.core.permits import (
    CHECK_INTERVAL_MS,
    CHECK_TIMEOUT_MS,
    MAX_FORECAST_AGE_MS,
    OwnerContact,
    PermitBucket,
    PermitForecast,
    PermitIssuer,
    owner_order,
)

# The rule for upstreams: at most this many requests of all entries in 4 s.
WINDOW_MS = 4_000.0


def allowed_in_window(limit):
    return 1.5 * limit * WINDOW_MS / 1e3 + 5


def issue_all(limit, *, rank=0, until=20_000, share=1.0, step=5):
    """Ask a new bucket for permits all the time; return when they were issued."""
    bucket = PermitBucket(now=0.0)
    return [
        now
        for now in range(0, until, step)
        if bucket.take(float(now), limit=limit, share=share, rank=rank)
    ]


class TestPermitBucket(unittest.TestCase):
    """Permits are issued at the rate of the limit, urgent ones first."""

    def test_new_bucket_is_empty(self):
        self.assertGreaterEqual(issue_all(1.0)[0], 1_000)

    def test_whole_rate_is_issued_at_each_rank(self):
        for limit in (0.5, 1.0, 4.7, 60.0):
            for rank in (0, 1, 2, 5):
                issued = issue_all(limit, rank=rank)
                self.assertGreaterEqual(len(issued), 0.85 * limit * 20 - 2)
                self.assertLessEqual(len(issued), limit * 20)

    def test_pause_does_not_save_more_than_the_rule_allows(self):
        for limit in (0.1, 1.0, 5.5, 200.0):
            bucket = PermitBucket(now=0.0)
            bucket.take(60_000.0, limit=limit, share=1.0, rank=9)
            issued = sum(
                bucket.take(60_000.0 + now, limit=limit, share=1.0, rank=0)
                for now in range(0, int(WINDOW_MS), 2)
            )
            self.assertLessEqual(issued, allowed_in_window(limit))

    def test_zero_and_tiny_limits_issue_almost_nothing(self):
        self.assertEqual(issue_all(0.0), [])
        self.assertEqual(issue_all(0.01), [])

    def test_limit_that_falls_applies_at_once(self):
        bucket = PermitBucket(now=0.0)
        bucket.take(10_000.0, limit=100.0, share=1.0, rank=0)
        issued = sum(
            bucket.take(10_000.0 + now, limit=1.0, share=1.0, rank=0)
            for now in range(0, 4_000, 10)
        )
        self.assertLessEqual(issued, allowed_in_window(1.0))

    def test_urgent_requests_take_what_others_leave(self):
        bucket, counts = PermitBucket(now=0.0), {0: 0, 2: 0}
        for now in range(0, 20_000, 10):
            for rank in counts:
                counts[rank] += bucket.take(float(now), limit=2.0, share=1.0, rank=rank)
        self.assertGreater(counts[0], 30)
        self.assertLess(counts[2], 3)

    def test_unused_permit_is_available_again(self):
        issuer = PermitIssuer()
        arguments = {"limit": 1.0, "share": 1.0, "rank": 0}
        issuer.issue("u", 0.0, **arguments)
        self.assertTrue(issuer.issue("u", 1_000.0, **arguments)[0])
        issuer.take_back("u")
        self.assertTrue(issuer.issue("u", 1_001.0, **arguments)[0])
        for _ in range(50):
            issuer.take_back("u")
        issued = sum(issuer.issue("u", 1_002.0, **arguments)[0] for _ in range(50))
        self.assertLessEqual(issued, 3)


class TestHandover(unittest.TestCase):
    """Old and new owners together stay within the rule."""

    def test_overlapping_owners_stay_within_the_rule(self):
        for limit in (0.2, 1.0, 4.0):
            old = issue_all(limit, until=20_000)
            overlap_ms = 2_000
            first = [t for t in old if t < 10_000]
            second = [10_000 - overlap_ms + t for t in issue_all(limit, until=10_000)]
            times = sorted(first + second)
            most = max(sum(s <= t < s + WINDOW_MS for t in times) for s in times)
            self.assertLessEqual(most, allowed_in_window(limit))


class TestOwnerOrder(unittest.TestCase):
    """Entries agree on owners without an election."""

    names = tuple(f"entry-{number}" for number in range(22))

    def test_order_does_not_depend_on_the_order_of_members(self):
        self.assertEqual(
            owner_order("i1", self.names, 3), owner_order("i1", self.names[::-1], 3)
        )

    def test_owners_are_spread_over_entries(self):
        owners = [owner_order(f"i-{n}", self.names, 1)[0] for n in range(2_200)]
        counts = [owners.count(name) for name in self.names]
        self.assertGreater(min(counts), 50)
        self.assertLess(max(counts), 200)

    def test_departure_changes_only_the_owners_of_its_upstreams(self):
        remaining = self.names[1:]
        for number in range(300):
            before, after = (
                owner_order(f"i-{number}", names, 1)[0]
                for names in (self.names, remaining)
            )
            if before != self.names[0]:
                self.assertEqual(before, after)


class TestOwnerContact(unittest.TestCase):
    """An entry takes over only from one that does not respond to itself."""

    def test_entry_is_silent_after_a_check_without_response(self):
        contact = OwnerContact()
        self.assertTrue(contact.start_check(0.0))
        self.assertFalse(contact.start_check(10.0))
        self.assertFalse(contact.silent)
        contact.start_check(CHECK_TIMEOUT_MS)
        self.assertTrue(contact.silent)

    def test_responding_entry_is_not_silent(self):
        contact = OwnerContact()
        contact.start_check(0.0)
        contact.record_response(5.0)
        self.assertFalse(contact.start_check(CHECK_TIMEOUT_MS))
        self.assertFalse(contact.silent)

    def test_silent_entry_is_checked_until_it_responds(self):
        contact = OwnerContact()
        contact.record_silence(0.0)
        self.assertFalse(contact.start_check(10.0))
        self.assertTrue(contact.start_check(CHECK_INTERVAL_MS))
        contact.record_response(CHECK_INTERVAL_MS + 1)
        self.assertFalse(contact.silent)


class TestPermitForecast(unittest.TestCase):
    """Owners are asked only when a permit may be available."""

    def test_owner_is_not_asked_before_a_permit_is_expected(self):
        forecast = PermitForecast(tokens=0.5, as_of=0.0)
        self.assertFalse(forecast.allows(400.0, limit=1.0, rank=0))
        self.assertTrue(forecast.allows(500.0, limit=1.0, rank=0))

    def test_end_of_a_zero_limit_is_noticed(self):
        forecast = PermitForecast(tokens=0.0, as_of=0.0)
        self.assertFalse(forecast.allows(999.0, limit=0.0, rank=0))
        self.assertTrue(forecast.allows(MAX_FORECAST_AGE_MS, limit=0.0, rank=0))


if __name__ == "__main__":
    unittest.main()
