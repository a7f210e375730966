"""Tests of the records that make requests run at most once."""

import concurrent.futures
import threading
import time
import unittest

from monsoonline.clock import ManualClock, SystemClock
from monsoonline.core.ledger import (
    RETENTION_WINDOWS,
    WINDOW_MS,
    AdoptedRecords,
    KeyState,
    Ledger,
    LedgerExport,
    LedgerLimits,
)
from monsoonline.errors import Refusal
from monsoonline.types import Answer, Outcome

DONE = Answer(status=200, body=b"booked")
NO_SLOT = Refusal(
    "no slot", code="no-slot", outcome=Outcome.NOT_RUN, status=503, retry_after_ms=2e3
)


class TestLedger(unittest.TestCase):
    """Records of one incarnation."""

    def setUp(self):
        self.clock = ManualClock()
        self.ledger = Ledger(clock=self.clock)

    def refused(self, key, fingerprint="f", ledger=None):
        with self.assertRaises(Refusal) as caught:
            (ledger or self.ledger).begin(key, fingerprint, deadline=self.clock.now())
        return caught.exception.code, caught.exception.outcome, caught.exception.status

    def key(self, random="a"):
        return f"{self.ledger.token()}.{random}"

    def run_key(self, key, answer=DONE, ledger=None):
        ledger = ledger or self.ledger
        self.assertIsNone(ledger.begin(key, "f", deadline=1e9))
        ledger.finish(key, answer)

    def test_key_beyond_the_retention_is_unknown_and_never_starts(self):
        key = self.key()
        self.clock.advance(RETENTION_WINDOWS * WINDOW_MS)
        self.run_key(key)
        self.clock.advance(WINDOW_MS)
        self.assertEqual(self.refused(key), ("key-expired", Outcome.UNKNOWN, 409))
        self.assertEqual(self.ledger.query(key).state, KeyState.EXPIRED)

    def test_expiry_frees_memory(self):
        self.run_key(self.key("a"))
        self.ledger.query(self.key("b"))
        self.clock.advance((RETENTION_WINDOWS + 1) * WINDOW_MS)
        self.run_key(self.key("c"), Answer(status=200))
        self.assertEqual(self.ledger.record_count, 1)
        self.assertEqual(self.ledger.tombstone_count, 0)
        self.assertEqual(self.ledger.answer_bytes, 0)

    def test_future_window_and_malformed_keys_are_refused(self):
        future = f"{self.ledger.incarnation}-1.a"
        # NOT_RUN would be wrong if the request arrived again in that window.
        self.assertEqual(self.refused(future), ("key-future", Outcome.UNKNOWN, 400))
        self.assertIs(self.ledger.query(future).state, KeyState.UNDECIDED)
        for text in ("", "x", self.key("a b"), self.key("a" * 65), self.key("") + "\n"):
            with self.subTest(text):
                self.assertEqual(self.refused(text)[0], "key-invalid")

    def test_other_fingerprint_is_refused_while_running_and_after(self):
        key = self.key()
        self.ledger.begin(key, "f", deadline=0)
        self.assertEqual(self.refused(key, "g")[0], "key-reused")
        self.ledger.finish(key, DONE)
        self.assertEqual(self.refused(key, "g")[2], 422)

    def test_resend_of_a_running_key_is_unknown_at_its_own_deadline(self):
        key = self.key()
        self.ledger.begin(key, "f", deadline=1e9)
        self.assertEqual(self.refused(key), ("key-running", Outcome.UNKNOWN, 409))

    def test_full_records_refuse_new_keys_and_keep_old_ones(self):
        """Evicting the record of an accepted key would let its request run twice."""
        ledger = Ledger(
            clock=self.clock,
            incarnation=self.ledger.incarnation,
            limits=LedgerLimits(records=1, tombstones=1),
        )
        self.run_key(self.key("a"), ledger=ledger)
        code = self.refused(self.key("b"), ledger=ledger)
        # NOT_RUN would require a record, too.
        self.assertEqual(code, ("records-full", Outcome.UNKNOWN, 503))
        self.assertEqual(ledger.begin(self.key("a"), "f", deadline=0), DONE)
        self.assertEqual(ledger.query(self.key("c")).state, KeyState.NEVER_STARTED)
        self.assertEqual(ledger.query(self.key("d")).state, KeyState.UNDECIDED)

    def test_answer_above_a_limit_is_not_kept_but_never_run_again(self):
        """A response too large to record must not make its request run again."""
        limits = LedgerLimits(answer_bytes=300, total_answer_bytes=500)
        ledger = Ledger(clock=self.clock, limits=limits)
        keys = [f"{ledger.token()}.{n}" for n in "abc"]
        sizes = (301, 300, 300)
        for key, size in zip(keys, sizes, strict=True):
            self.run_key(key, Answer(status=201, body=b"x" * size), ledger=ledger)
        statuses = [ledger.begin(key, "f", deadline=0).status for key in keys]
        self.assertEqual(statuses, [409, 201, 409])
        self.assertIn(b"status 201", ledger.begin(keys[0], "f", deadline=0).body)

    def test_queried_key_that_never_started_cannot_start_later(self):
        """A delayed first request must not run after another entry reported NOT_RUN."""
        key = self.key()
        self.assertEqual(self.ledger.query(key).state, KeyState.NEVER_STARTED)
        self.assertEqual(self.refused(key), ("key-fenced", Outcome.NOT_RUN, 409))

    def test_refused_key_never_starts_and_gets_the_same_refusal(self):
        """A copy in a socket buffer must not run after the caller was told NOT_RUN."""
        key = self.key()
        self.ledger.begin(key, "f", deadline=0)
        self.ledger.refuse(key, NO_SLOT)
        for _ in range(2):
            self.assertEqual(self.refused(key), ("no-slot", Outcome.NOT_RUN, 503))
        self.ledger.finish(key, DONE)
        status = self.ledger.query(key, "f")
        self.assertIs(status.state, KeyState.REFUSED)
        self.assertEqual(status.refusal.retry_after_ms, 2000.0)
        self.assertEqual(self.refused(key, "g")[0], "key-reused")
        self.assertEqual(self.ledger.record_count, 1)

    def test_only_not_run_refusals_are_final(self):
        key = self.key()
        self.ledger.begin(key, "f", deadline=0)
        unknown = Refusal("u", code="u", outcome=Outcome.UNKNOWN, status=502)
        self.assertRaises(ValueError, self.ledger.refuse, key, unknown)

    def test_refusal_after_expiry_still_never_starts(self):
        """A request that ran for longer than the retention has no record any more."""
        key = self.key()
        self.ledger.begin(key, "f", deadline=0)
        self.clock.advance((RETENTION_WINDOWS + 1) * WINDOW_MS)
        self.run_key(self.key("b"))
        self.ledger.refuse(key, NO_SLOT)
        self.assertEqual(self.refused(key)[0], "key-expired")
        self.assertEqual(self.ledger.record_count, 1)

    def test_closed_ledger_starts_nothing_and_exports_all(self):
        self.run_key(self.key("a"))
        self.ledger.begin(self.key("b"), "f", deadline=0)
        self.ledger.query(self.key("c"))
        self.ledger.begin(self.key("e"), "f", deadline=0)
        self.ledger.refuse(self.key("e"), NO_SLOT)
        self.assertRaises(RuntimeError, self.ledger.export)
        self.ledger.close()
        self.assertEqual(self.refused(self.key("d"))[0], "entry-stopping")
        self.assertEqual(self.ledger.begin(self.key("a"), "f", deadline=0), DONE)
        export = self.ledger.export()
        self.assertEqual(export.finished, {self.key("a"): ("f", DONE)})
        self.assertEqual(list(export.refused), [self.key("e")])
        self.assertEqual(export.running, (self.key("b"),))

    def test_admission_refuses_starts_but_not_recorded_answers(self):
        allowed = [True]

        def admission():
            if not allowed[0]:
                raise Refusal("no", code="p", outcome=Outcome.NOT_RUN, status=503)

        ledger = Ledger(clock=self.clock, admission=admission)
        key = f"{ledger.token()}.a"
        self.run_key(key, ledger=ledger)
        allowed[0] = False
        self.assertEqual(ledger.begin(key, "f", deadline=0), DONE)
        self.assertEqual(self.refused(f"{ledger.token()}.b", ledger=ledger)[0], "p")
        # A copy of the refused request arrives once the entry may start again.
        allowed[0] = True
        self.assertEqual(self.refused(f"{ledger.token()}.b", ledger=ledger)[0], "p")

    def test_admission_refusal_without_room_for_its_record_is_unknown(self):
        def admission():
            raise Refusal("no", code="p", outcome=Outcome.NOT_RUN, status=503)

        limits = LedgerLimits(records=1)
        ledger = Ledger(clock=self.clock, limits=limits, admission=admission)
        keys = [f"{ledger.token()}.{n}" for n in "ab"]
        codes = [self.refused(key, ledger=ledger)[0] for key in keys]
        self.assertEqual(codes, ["p", "records-full"])


class TestLedgerThreads(unittest.TestCase):
    """Races between threads that use the same key."""

    def setUp(self):
        self.clock = SystemClock()
        self.ledger = Ledger(clock=self.clock)
        self.key = f"{self.ledger.token()}.a"

    def begin(self):
        return self.ledger.begin(self.key, "f", deadline=self.clock.now() + 5000)

    def test_one_of_many_threads_starts_and_the_others_get_its_answer(self):
        barrier = threading.Barrier(8)

        def call():
            barrier.wait()
            answer = self.begin()
            if answer is None:
                time.sleep(0.02)
                self.ledger.finish(self.key, DONE)
            return answer

        with concurrent.futures.ThreadPoolExecutor(8) as executor:
            answers = [f.result() for f in [executor.submit(call) for _ in range(8)]]
        self.assertEqual(answers.count(None), 1)
        self.assertEqual(answers.count(DONE), 7)

    def test_waiting_resend_gets_the_refusal(self):
        """Without a notification it would wait until its deadline and get unknown."""
        self.begin()
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            resend = executor.submit(self.begin)
            time.sleep(0.02)
            self.ledger.refuse(self.key, NO_SLOT)
            self.assertEqual(resend.exception().code, "no-slot")

    def test_query_and_start_exclude_each_other(self):
        """A key reported as never started must not run, in either order of calls."""
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            for number in range(300):
                key = f"{self.ledger.token()}.{number}"
                begun = executor.submit(self.ledger.begin, key, "f", deadline=0)
                fenced = self.ledger.query(key).state is KeyState.NEVER_STARTED
                self.assertEqual(fenced, begun.exception() is not None)


class TestAdoptedRecords(unittest.TestCase):
    """Records of another incarnation that has stopped."""

    def setUp(self):
        self.clock = ManualClock()
        self.adopted = AdoptedRecords(
            clock=self.clock, limits=LedgerLimits(records=3, total_answer_bytes=100)
        )

    def part(self, *names, running=()):
        finished = {self.key(name): ("f", DONE) for name in names}
        running = tuple(self.key(name) for name in running)
        return LedgerExport(
            incarnation="0" * 16, window=3, finished=finished, running=running
        )

    @staticmethod
    def key(random, window=3):
        return f"{'0' * 16}-{window}.{random}"

    def state(self, *args, **kwargs):
        status = self.adopted.query(self.key(*args, **kwargs), "f")
        return status and status.state

    def test_never_started_only_after_the_last_part(self):
        """An incomplete handover must not report a finished key as never started."""
        self.assertIsNone(self.state("a"))
        self.adopted.add_part(self.part("a"), transfer=1, index=0, count=2)
        self.assertIs(self.state("a"), KeyState.FINISHED)
        self.assertIs(self.state("b"), KeyState.UNDECIDED)
        self.adopted.add_part(self.part("b", running="r"), transfer=1, index=1, count=2)
        self.assertIs(self.state("b"), KeyState.FINISHED)
        self.assertIs(self.state("r"), KeyState.UNDECIDED)
        self.assertIs(self.state("c"), KeyState.NEVER_STARTED)

    def test_parts_of_differently_split_handovers_are_not_combined(self):
        """A key that neither part has must not be reported as never started."""
        self.adopted.add_part(self.part("a"), transfer=1, index=0, count=2)
        self.adopted.add_part(self.part("c"), transfer=2, index=1, count=2)
        self.assertIs(self.state("b"), KeyState.UNDECIDED)
        self.assertIs(self.state("c"), KeyState.FINISHED)
        self.assertEqual(self.adopted.exports(), ())

    def test_windows_advance_and_records_expire(self):
        self.adopted.add_part(self.part("a"), transfer=1, index=0, count=1)
        self.clock.advance(RETENTION_WINDOWS * WINDOW_MS)
        self.assertIs(self.state("z", window=2), KeyState.EXPIRED)
        self.assertIs(self.state("a"), KeyState.FINISHED)
        self.assertEqual(self.adopted.exports()[0].window, 3 + RETENTION_WINDOWS)
        self.clock.advance(2 * WINDOW_MS)
        self.assertIsNone(self.state("a"))
        self.assertEqual(self.adopted.record_count, 0)

    def test_limits_refuse_a_part_and_leave_the_handover_incomplete(self):
        """Keys of a part that was refused must not be reported as never started."""
        self.assertTrue(
            self.adopted.add_part(self.part(*"abc"), transfer=1, index=0, count=2)
        )
        self.assertTrue(
            self.adopted.add_part(self.part(*"abc"), transfer=1, index=0, count=2)
        )
        self.assertFalse(
            self.adopted.add_part(self.part("d"), transfer=1, index=1, count=2)
        )
        self.assertIs(self.state("d"), KeyState.UNDECIDED)
        self.assertEqual(self.adopted.exports(), ())
