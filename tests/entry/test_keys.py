"""Tests of keys that reach another entry than their own."""

import concurrent.futures
import time
import unittest

from monsoonline.adapters.local_peers import LocalPeerHub
from monsoonline.clock import SystemClock
from monsoonline.core.ledger import AdoptedRecords, Ledger, LedgerLimits
from monsoonline.entry.keys import KeyDirectory
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Answer, Outcome
from tests.fixtures import member

DONE = Answer(
    status=201, reason="Created", headers=(("X-A", "1"), ("X-A", "2")), body=b"\0booked"
)
NO_SLOT = Refusal(
    "no slot", code="no-slot", outcome=Outcome.NOT_RUN, status=503, retry_after_ms=2e3
)
REFUSED = ("no-slot", Outcome.NOT_RUN)
UNREACHABLE = ("key-owner-unreachable", Outcome.UNKNOWN)
FENCED = ("key-of-another-entry", Outcome.NOT_RUN)


class Entry:
    """Records and peer network of one entry."""

    def __init__(self, hub, name, *, limits=None):
        self.clock = SystemClock()
        self.ledger = Ledger(clock=self.clock)
        self.peers = hub.join(member(name, self.ledger.incarnation))
        self.keys = KeyDirectory(
            ledger=self.ledger,
            peers=self.peers,
            clock=self.clock,
            metrics=Metrics(),
            adopted=AdoptedRecords(clock=self.clock, limits=limits),
        )

    @property
    def incarnation(self):
        return self.ledger.incarnation

    def key(self, random="a"):
        return f"{self.ledger.token()}.{random}"

    def run(self, key, answer=DONE):
        assert self.keys.begin(key, "f", deadline=0) is None
        self.keys.finish(key, answer)

    def refuse(self, key):
        assert self.keys.begin(key, "f", deadline=0) is None
        self.keys.refuse(key, NO_SLOT)

    def begin(self, key, fingerprint="f", wait_ms=50.0):
        """Return the answer, or code and outcome of the refusal."""
        deadline = self.clock.now() + wait_ms
        try:
            return self.keys.begin(key, fingerprint, deadline=deadline)
        except Refusal as refusal:
            return refusal.code, refusal.outcome


class KeysTestCase(unittest.TestCase):
    """Three entries in three failure domains."""

    def setUp(self):
        self.hub = LocalPeerHub()
        self.addCleanup(self.hub.close)
        self.owner, self.second, self.third = (
            Entry(self.hub, name) for name in ("one", "two", "three")
        )

    def pause(self, entry):
        self.hub.set_reachable(entry.incarnation, False)

    def resume(self, entry):
        self.hub.set_reachable(entry.incarnation, True)

    def stop(self, entry):
        entry.ledger.close()
        result = entry.keys.hand_over()
        self.hub.leave(entry.incarnation)
        return result


class TestKeyQueries(KeysTestCase):
    """The owner runs."""

    def test_finished_key_gets_the_recorded_answer_elsewhere(self):
        key = self.owner.key()
        self.owner.run(key)
        self.assertEqual(self.second.begin(key), DONE)
        self.assertEqual(self.second.begin(key, "g"), ("key-reused", Outcome.NOT_RUN))

    def test_refused_key_gets_its_refusal_elsewhere(self):
        """Unknown would leave a caller without its booking for no reason."""
        key = self.owner.key()
        self.owner.refuse(key)
        with self.assertRaises(Refusal) as caught:
            self.second.keys.begin(key, "f", deadline=self.owner.clock.now() + 50.0)
        refusal = caught.exception
        self.assertEqual((refusal.code, refusal.outcome), REFUSED)
        self.assertEqual((refusal.status, refusal.retry_after_ms), (503, 2000.0))
        self.assertEqual(self.second.begin(key, "g"), ("key-reused", Outcome.NOT_RUN))
        self.assertEqual(self.owner.begin(key), REFUSED)

    def test_key_that_never_started_is_fenced_before_not_run_is_told(self):
        """The first request arrives at its owner after the resend elsewhere."""
        key = self.owner.key()
        self.assertEqual(self.second.begin(key), FENCED)
        self.assertEqual(self.owner.begin(key), ("key-fenced", Outcome.NOT_RUN))

    def test_resend_elsewhere_waits_for_the_running_request(self):
        key = self.owner.key()
        self.owner.begin(key)
        self.assertEqual(self.second.begin(key), ("key-running", Outcome.UNKNOWN))
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            resend = executor.submit(self.second.begin, key, wait_ms=2000.0)
            time.sleep(0.02)
            self.owner.keys.finish(key, DONE)
            self.assertEqual(resend.result(), DONE)

    def test_racing_begin_and_query_never_both_win(self):
        """A key told not-run elsewhere must not start at its owner."""
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            for number in range(100):
                key = self.owner.key(str(number))
                elsewhere = executor.submit(self.second.begin, key, wait_ms=1.0)
                started = self.owner.begin(key) is None
                self.assertNotEqual(started, elsewhere.result() == FENCED)


class TestUnreachableOwner(KeysTestCase):
    """The owner is paused, gone or not in view."""

    def test_paused_owner_leaves_the_outcome_unknown(self):
        """Not-run would let the caller book again while the owner resumes."""
        key = self.owner.key()
        self.pause(self.owner)
        self.assertEqual(self.second.begin(key), UNREACHABLE)
        self.resume(self.owner)
        self.assertIsNone(self.owner.begin(key))

    def test_silent_owner_is_not_asked_by_every_resend(self):
        """Resends of a paused owner's keys would hold all worker threads."""
        self.pause(self.owner)
        asked = []
        request = self.second.peers.request

        def count(member, kind, payload, *, timeout_ms):
            asked.append(kind)
            return request(member, kind, payload, timeout_ms=timeout_ms)

        self.second.peers.request = count
        for wait_ms in (100.0, 600.0, 600.0, 100.0):
            result = self.second.begin(self.owner.key(), wait_ms=wait_ms)
            self.assertEqual(result, UNREACHABLE)
        # The first had too short a deadline to tell that the owner is silent.
        self.assertEqual(len(asked), 2)

    def test_killed_owner_leaves_the_outcome_unknown(self):
        key = self.owner.key()
        self.hub.leave(self.owner.incarnation)
        self.assertEqual(self.second.begin(key), UNREACHABLE)

    def test_entries_with_different_views_give_compatible_answers(self):
        """One entry sees the owner, the other does not; neither may run the key."""
        key = self.owner.key()
        self.second.peers.members = lambda: (self.second.peers.member,)
        self.assertEqual(self.second.begin(key), UNREACHABLE)
        self.assertEqual(self.third.begin(key), FENCED)
        self.assertEqual(self.second.begin(key), UNREACHABLE)


class TestHandover(KeysTestCase):
    """The owner was stopped as planned."""

    def test_resends_after_a_replacement_get_answers_or_not_run(self):
        key, never = self.owner.key("a"), self.owner.key("b")
        self.owner.run(key)
        self.assertEqual(len(self.stop(self.owner).holders), 2)
        newcomer = Entry(self.hub, "four")
        for entry in (self.second, self.third, newcomer):
            self.assertEqual(entry.begin(key), DONE)
            self.assertEqual(entry.begin(never), FENCED)

    def test_resend_during_the_replacement_is_answered_at_each_step(self):
        key = self.owner.key()
        self.owner.run(key)
        self.owner.ledger.close()
        self.assertEqual(self.second.begin(key), DONE)
        self.owner.keys.hand_over()
        self.assertEqual(self.second.begin(key), DONE)
        late = self.owner.begin(self.owner.key("late"))
        self.assertEqual(late, ("entry-stopping", Outcome.NOT_RUN))
        self.assertEqual(self.second.begin(self.owner.key("late")), FENCED)

    def test_refused_keys_are_handed_over(self):
        """Through all entries, so that the last one still knows the refusal."""
        keys = [self.owner.key(str(number)) for number in range(1500)]
        for key in keys:
            self.owner.refuse(key)
        self.assertEqual(self.stop(self.owner).records, 1500)
        for entry in (self.second, self.third):
            self.assertEqual({entry.begin(key) for key in keys}, {REFUSED})
        newcomer = Entry(self.hub, "four")
        self.stop(self.second)
        self.stop(self.third)
        self.assertEqual(newcomer.begin(keys[-1]), REFUSED)

    def test_key_running_at_a_forced_stop_stays_unknown(self):
        key = self.owner.key()
        self.owner.begin(key)
        self.assertEqual(self.stop(self.owner).running, 1)
        self.assertEqual(self.second.begin(key), UNREACHABLE)

    def test_one_adopter_is_enough(self):
        """The second peer is unreachable during the handover."""
        key = self.owner.key()
        self.owner.run(key)
        self.pause(self.third)
        self.assertEqual(self.stop(self.owner).holders, ("two",))
        self.resume(self.third)
        self.assertEqual(self.third.begin(key), DONE)

    def test_stopper_that_ends_before_its_notice_spreads(self):
        """The adopters announce the records too."""
        key = self.owner.key()
        self.owner.run(key)
        self.owner.peers.publish = lambda kind, item_key, payload: None
        self.stop(self.owner)
        newcomer = Entry(self.hub, "four")
        self.assertEqual(newcomer.begin(key), DONE)

    def test_entry_that_has_handed_over_adopts_nothing(self):
        """What it adopted after its own export would end with it."""
        self.second.ledger.close()
        self.assertEqual(self.stop(self.owner).holders, ("three",))

    def test_half_adopted_records_do_not_report_not_run(self):
        """An adopter without room has a part of the records only."""
        limits = LedgerLimits(total_answer_bytes=600 << 10)
        self.hub.leave(self.third.incarnation)
        fourth = Entry(self.hub, "four", limits=limits)
        self.hub.leave(self.second.incarnation)
        keys = [self.owner.key(str(number)) for number in range(20)]
        for key in keys:
            self.owner.run(key, Answer(status=200, body=b"x" * 60_000))
        self.assertEqual(self.stop(self.owner).holders, ())
        results = [fourth.begin(key) for key in keys]
        self.assertIn(UNREACHABLE, results)
        self.assertNotIn(FENCED, results)

    def test_records_outlive_the_replacement_of_all_entries(self):
        key = self.owner.key()
        self.owner.run(key)
        for number, entry in enumerate((self.owner, self.second, self.third)):
            newcomer = Entry(self.hub, f"new-{number}")
            self.stop(entry)
        self.assertEqual(newcomer.begin(key), DONE)

    def test_large_handover_is_cut_into_parts_below_the_message_limit(self):
        sizes = []
        request = self.owner.peers.request

        def measure(member, kind, payload, *, timeout_ms):
            sizes.append(len(payload))
            return request(member, kind, payload, timeout_ms=timeout_ms)

        self.owner.peers.request = measure
        for number in range(3000):
            key = self.owner.key(str(number))
            self.owner.run(key, Answer(status=200, body=b"x" * 500))
        self.assertEqual(len(self.stop(self.owner).holders), 2)
        self.assertGreater(len(sizes), 4)
        self.assertLess(max(sizes), 1 << 20)
        self.assertEqual(self.second.begin(key).body, b"x" * 500)
