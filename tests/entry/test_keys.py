"""Tests of idempotency keys sent to an entry other than their owner."""

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
    """Ledger, key directory and peer network of one entry."""

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

    def run(self, key, response=DONE):
        assert self.keys.begin(key, "f", deadline=0) is None
        self.keys.finish(key, response)

    def refuse(self, key):
        assert self.keys.begin(key, "f", deadline=0) is None
        self.keys.refuse(key, NO_SLOT)

    def begin(self, key, fingerprint="f", wait_ms=50.0):
        """Return the response, or the code and outcome of the refusal."""
        deadline = self.clock.now() + wait_ms
        try:
            return self.keys.begin(key, fingerprint, deadline=deadline)
        except Refusal as refusal:
            return refusal.code, refusal.outcome


class KeysTestCase(unittest.TestCase):
    """Base class with three entries in three failure domains."""

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
    """Queries while the owner is running."""

    def test_finished_key_gets_the_recorded_response_elsewhere(self):
        key = self.owner.key()
        self.owner.run(key)
        self.assertEqual(self.second.begin(key), DONE)
        self.assertEqual(self.second.begin(key, "g"), ("key-reused", Outcome.NOT_RUN))

    def test_refused_key_gets_its_refusal_elsewhere(self):
        """Guards against reporting an unknown outcome for a request that did not run.

        The caller could then not repeat its booking.
        """
        key = self.owner.key()
        self.owner.refuse(key)
        with self.assertRaises(Refusal) as caught:
            self.second.keys.begin(key, "f", deadline=self.owner.clock.now() + 50.0)
        refusal = caught.exception
        self.assertEqual((refusal.code, refusal.outcome), REFUSED)
        self.assertEqual((refusal.status, refusal.retry_after_ms), (503, 2000.0))
        self.assertEqual(self.second.begin(key, "g"), ("key-reused", Outcome.NOT_RUN))
        self.assertEqual(self.owner.begin(key), REFUSED)

    def test_key_that_never_started_is_fenced_before_not_run_is_reported(self):
        """Guards against running a key that was already reported as not run.

        The first request reaches its owner after the resend to another entry.
        """
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
        """Guards against starting a key at its owner that was reported as not run."""
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            for number in range(100):
                key = self.owner.key(str(number))
                elsewhere = executor.submit(self.second.begin, key, wait_ms=1.0)
                started = self.owner.begin(key) is None
                self.assertNotEqual(started, elsewhere.result() == FENCED)


class TestUnreachableOwner(KeysTestCase):
    """Queries while the owner is paused, stopped or not known as a member."""

    def test_paused_owner_leaves_the_outcome_unknown(self):
        """Guards against a second booking after a paused owner resumes.

        The outcome "not run" would let the caller book again.
        """
        key = self.owner.key()
        self.pause(self.owner)
        self.assertEqual(self.second.begin(key), UNREACHABLE)
        self.resume(self.owner)
        self.assertIsNone(self.owner.begin(key))

    def test_unresponsive_owner_is_not_queried_by_every_resend(self):
        """Guards against resends to a paused owner that block all worker threads."""
        self.pause(self.owner)
        queries = []
        request = self.second.peers.request

        def count(member, kind, payload, *, timeout_ms):
            queries.append(kind)
            return request(member, kind, payload, timeout_ms=timeout_ms)

        self.second.peers.request = count
        for wait_ms in (100.0, 600.0, 600.0, 100.0):
            result = self.second.begin(self.owner.key(), wait_ms=wait_ms)
            self.assertEqual(result, UNREACHABLE)
        # The deadline of the first was too short to consider the owner unresponsive.
        self.assertEqual(len(queries), 2)

    def test_killed_owner_leaves_the_outcome_unknown(self):
        key = self.owner.key()
        self.hub.leave(self.owner.incarnation)
        self.assertEqual(self.second.begin(key), UNREACHABLE)

    def test_entries_with_different_members_give_consistent_responses(self):
        """Guards against running a key when only one of two entries knows its owner."""
        key = self.owner.key()
        self.second.peers.members = lambda: (self.second.peers.member,)
        self.assertEqual(self.second.begin(key), UNREACHABLE)
        self.assertEqual(self.third.begin(key), FENCED)
        self.assertEqual(self.second.begin(key), UNREACHABLE)


class TestHandover(KeysTestCase):
    """Queries after a planned stop of the owner."""

    def test_resends_after_a_replacement_get_responses_or_not_run(self):
        key, never = self.owner.key("a"), self.owner.key("b")
        self.owner.run(key)
        self.assertEqual(len(self.stop(self.owner).holders), 2)
        newcomer = Entry(self.hub, "four")
        for entry in (self.second, self.third, newcomer):
            self.assertEqual(entry.begin(key), DONE)
            self.assertEqual(entry.begin(never), FENCED)

    def test_resend_during_the_replacement_gets_a_response_at_each_step(self):
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
        """Guards against losing refusals when all entries are replaced in turn."""
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

    def test_one_holder_is_sufficient(self):
        """Guards against a failed handover when only one peer is reachable."""
        key = self.owner.key()
        self.owner.run(key)
        self.pause(self.third)
        self.assertEqual(self.stop(self.owner).holders, ("two",))
        self.resume(self.third)
        self.assertEqual(self.third.begin(key), DONE)

    def test_holders_announce_records_of_an_entry_that_ended(self):
        """Guards against unknown holders of the records.

        The stopping entry may end before its notice has reached all entries.
        """
        key = self.owner.key()
        self.owner.run(key)
        self.owner.peers.publish = lambda kind, item_key, payload: None
        self.stop(self.owner)
        newcomer = Entry(self.hub, "four")
        self.assertEqual(newcomer.begin(key), DONE)

    def test_entry_that_has_handed_over_adopts_nothing(self):
        """Guards against losing records that an entry adopts after its own export."""
        self.second.ledger.close()
        self.assertEqual(self.stop(self.owner).holders, ("three",))

    def test_half_adopted_records_do_not_report_not_run(self):
        """Guards against "not run" from a holder without space for all the records."""
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

    def test_records_survive_the_replacement_of_all_entries(self):
        key = self.owner.key()
        self.owner.run(key)
        for number, entry in enumerate((self.owner, self.second, self.third)):
            newcomer = Entry(self.hub, f"new-{number}")
            self.stop(entry)
        self.assertEqual(newcomer.begin(key), DONE)

    def test_large_handover_is_split_into_parts_below_the_message_limit(self):
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
