"""Tests of fleet membership."""

import itertools
import unittest

from monsoonline.core.fleet import (
    CONTACT_TIMEOUT_MS,
    FORGET_TIMEOUT_MS,
    INCARNATION_BITS,
    LIVENESS_TIMEOUT_MS,
    LOST_LIFETIME_MS,
    Fleet,
    FleetMember,
    MemberAge,
)
from tests.fixtures import run_together


def member(name, **changes):
    fields = {
        "failure_domain": "a",
        "callers_address": "10.0.0.1:80",
        "peer_address": "10.0.0.1:90",
    }
    return FleetMember(name=name, **(fields | changes))


class TestFleet(unittest.TestCase):
    """Guards against stale updates that replace newer ones."""

    def setUp(self):
        self.fleet = Fleet(own=member("own"))

    def relay(self, relayed, *, now, age_ms):
        self.fleet.update_relayed(MemberAge(member=relayed, age_ms=age_ms), now=now)

    def beating(self, number, *, incarnation=1, **changes):
        beat = number << INCARNATION_BITS | incarnation
        return member("b", beat=beat, **changes)

    def test_heartbeat_that_is_relayed_again_keeps_an_ended_member_live(self):
        """Guards against callers that are sent to an entry that has ended.

        Ages do not grow while their messages wait for a paused entry, which then
        relayed the last heartbeat as a new one.
        """
        self.fleet.update(self.beating(7), now=1_000.0)
        for now in (1_400.0, 1_800.0, 2_200.0):
            for number in (7, 6):
                self.relay(self.beating(number), now=now, age_ms=100.0)
        self.assertEqual(self.fleet.age_ms("b", 2_200.0), 1_200.0)
        self.relay(self.beating(8), now=2_200.0, age_ms=100.0)
        self.assertEqual(self.fleet.age_ms("b", 2_200.0), 100.0)

    def test_member_that_starts_anew_is_live_again(self):
        """Guards against a restarted entry whose heartbeats count from one."""
        self.fleet.update(self.beating(700), now=1_000.0)
        self.relay(self.beating(1, incarnation=2), now=9_000.0, age_ms=100.0)
        self.assertEqual(self.fleet.age_ms("b", 9_000.0), 100.0)
        self.relay(self.beating(700), now=9_900.0, age_ms=0.0)
        self.assertEqual(self.fleet.age_ms("b", 9_900.0), 1_000.0)

    def test_own_heartbeats_are_counted(self):
        beats = []
        for _ in range(3):
            self.fleet.count_beat()
            beats.append(self.fleet.own.beat)
        self.assertEqual(sorted(set(beats)), beats)
        self.assertEqual(self.fleet.own, member("own"))

    def test_older_update_is_ignored(self):
        """A relayed update from before a shutdown would restore a leaving entry."""
        self.fleet.update(member("b", leaving=True), now=1_000.0)
        self.relay(member("b", ready=True), now=1_100.0, age_ms=300.0)
        self.assertTrue(self.fleet.others()[0].leaving)

    def test_members_are_read_while_messages_change_them(self):
        """Guards against requests that fail while a member joins or is forgotten."""
        numbers = itertools.count()

        def change():
            number = next(numbers)
            joined = member(f"m{number % 50}", ready=bool(number % 2))
            self.fleet.update(joined, now=float(number))
            self.fleet.forget_unresponsive(number + FORGET_TIMEOUT_MS - 20.0)

        def read():
            now = float(next(numbers))
            self.fleet.note_message("10.0.0.1:90", now)
            self.assertIsNotNone(self.fleet.remaining)
            self.fleet.alive(now)
            self.fleet.ages(now, failure_domain="a")
            self.fleet.contact_share(now)

        self.assertEqual(run_together(change, change, read, read), [])

    def test_unresponsive_member_is_not_live_and_later_forgotten(self):
        self.fleet.update(member("b"), now=0.0)
        self.assertEqual(len(self.fleet.alive(LIVENESS_TIMEOUT_MS - 1.0)), 1)
        self.assertEqual(self.fleet.alive(LIVENESS_TIMEOUT_MS + 1.0), ())
        self.assertEqual(len(self.fleet.others()), 1)
        self.assertIsNone(self.fleet.lost_member())
        self.fleet.forget_unresponsive(FORGET_TIMEOUT_MS + 1.0)
        self.assertEqual(self.fleet.others(), ())

    def test_forgotten_member_is_lost_until_it_is_heard_or_too_old(self):
        self.fleet.update(member("b"), now=0.0)
        self.fleet.forget_unresponsive(FORGET_TIMEOUT_MS + 1.0)
        self.assertEqual(self.fleet.lost_member().name, "b")
        self.fleet.update(member("b", leaving=True), now=70_000.0)
        self.assertIsNone(self.fleet.lost_member())
        self.fleet.forget_unresponsive(140_000.0)
        self.assertIsNone(self.fleet.lost_member())
        self.fleet.update(member("c"), now=140_000.0)
        self.fleet.forget_unresponsive(210_000.0)
        self.assertEqual(self.fleet.lost_member().name, "c")
        self.fleet.forget_unresponsive(210_000.0 + LOST_LIFETIME_MS + 1.0)
        self.assertIsNone(self.fleet.lost_member())

    def test_listed_member_is_known_but_not_live(self):
        """The list in the store also has entries that stopped long ago."""
        self.fleet.add_listed(member("b"), now=0.0)
        self.assertEqual(len(self.fleet.others()), 1)
        self.assertEqual(self.fleet.alive(1.0), ())

    def test_own_entry_is_not_another_member(self):
        self.fleet.update(member("own"), now=0.0)
        self.fleet.add_listed(member("own"), now=0.0)
        self.assertEqual(self.fleet.others(), ())

    def test_ages_are_summed_over_relays(self):
        self.relay(member("b"), now=1_000.0, age_ms=200.0)
        (age,) = self.fleet.ages(1_300.0, failure_domain="a")
        self.assertEqual(age.age_ms, 500.0)


class TestContactShare(unittest.TestCase):
    """An entry issues permits in proportion to the entries that it hears of."""

    def setUp(self):
        self.fleet = Fleet(own=member("own"))
        self.fleet.update(member("b"), now=0.0)
        for number in range(2):
            remote = member(
                f"c{number}", failure_domain="c", peer_address=f"10.0.1.{number}:90"
            )
            self.fleet.update(remote, now=0.0)
        self.later = CONTACT_TIMEOUT_MS + 1.0

    def test_entry_that_hears_no_other_counts_itself(self):
        self.assertEqual(self.fleet.contact_share(0.0), 1.0)
        self.assertEqual(self.fleet.contact_share(self.later), 1 / 4)

    def test_message_of_one_entry_counts_for_its_remote_domain(self):
        self.fleet.note_message("10.0.1.1:90", self.later)
        self.assertEqual(self.fleet.contact_share(self.later), 3 / 4)

    def test_message_of_a_local_entry_counts_for_no_other(self):
        self.fleet.update(member("b2", peer_address="10.0.0.2:90"), now=0.0)
        self.fleet.note_message("10.0.0.2:90", self.later)
        self.assertEqual(self.fleet.contact_share(self.later), 1 / 5)

    def test_leaving_entries_do_not_count(self):
        self.fleet.update(member("b", leaving=True), now=self.later)
        self.fleet.set_own(leaving=True)
        self.assertEqual(set(self.fleet.remaining), {"c0", "c1"})
        self.assertEqual(self.fleet.contact_share(self.later), 1 / 3)

    def test_last_entry_issues_the_whole_limit_while_it_stops(self):
        fleet = Fleet(own=member("own"))
        fleet.set_own(leaving=True)
        self.assertEqual(fleet.contact_share(0.0), 1.0)
