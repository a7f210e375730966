"""Tests of the account of the memory for messages."""

import threading
import unittest

from monsoonline.clock import ManualClock, SystemClock
from monsoonline.core.memory_account import (
    CONNECTION_BYTES,
    GRACE_MS,
    OVERDRAFT_BYTES,
    RESERVE_SHARE,
    SMALL_BYTES,
    UNCOUNTED_BYTES,
    MemoryAccount,
    MemoryRefused,
    Phase,
)
from monsoonline.core.peer_pace import PeerPace

MAX_BYTES = 8 << 20
LARGE_BYTES = 2 << 20
ROOM_FOR_LARGE_BYTES = int(MAX_BYTES * (1.0 - RESERVE_SHARE))


class AccountCase(unittest.TestCase):
    """An account on a clock that the test sets."""

    def setUp(self):
        self.clock = ManualClock()
        self.account = MemoryAccount(max_bytes=MAX_BYTES, clock=self.clock)
        self.left = []

    def open(self, size, *, phase=Phase.RECEIVING, behind_ms=0.0, releases=True):
        """Return a holder of some bytes whose peer is behind by some time.

        :param releases: whether its bytes are released at once when it gives way
        """
        pace = PeerPace()
        pace.begin_wait(self.clock.now() - behind_ms, behind_ms)
        pace.end_wait(self.clock.now())

        def give_way():
            self.left.append(holder)
            return releases

        holder = self.account.open(phase=Phase.RECEIVING, pace=pace, give_way=give_way)
        holder.resize(size)
        if phase is not Phase.RECEIVING:
            holder.enter(phase)
        return holder

    def fill(self, **options):
        """Return holders of all memory for large messages."""
        count = ROOM_FOR_LARGE_BYTES // LARGE_BYTES
        return [self.open(LARGE_BYTES, **options) for _ in range(count)]


class TestLimit(AccountCase):
    """The sum over all holders stays within the limit."""

    def test_all_phases_draw_on_one_limit(self):
        """Guards against budgets that each end where the next one begins."""
        for phase in (Phase.RECEIVING, Phase.RUNNING, Phase.DELIVERING):
            self.open(LARGE_BYTES, phase=phase)
        with self.assertRaises(MemoryRefused):
            self.open(LARGE_BYTES)
        self.assertEqual(self.left, [])

    def test_bytes_are_counted_by_phase_until_they_are_released(self):
        holder = self.open(LARGE_BYTES)
        counted = LARGE_BYTES - UNCOUNTED_BYTES
        for phase in (Phase.RUNNING, Phase.DELIVERING):
            holder.enter(phase)
            self.assertEqual(self.account.held_bytes(phase), counted)
            self.assertEqual(self.account.message_bytes, counted)
        holder.release()
        self.assertEqual(self.account.total_bytes, 0)
        self.assertTrue(all(self.account.held_bytes(phase) == 0 for phase in Phase))

    def test_small_messages_use_the_reserve(self):
        self.fill(phase=Phase.RUNNING)
        small = self.open(SMALL_BYTES)
        self.assertGreater(small.counted, 0)

    def test_small_messages_together_are_limited(self):
        """Guards against a crowd of bodies that are too small to be counted."""
        with self.assertRaises(MemoryRefused):
            for _ in range(2 * MAX_BYTES // SMALL_BYTES):
                self.open(SMALL_BYTES)
        self.assertLessEqual(self.account.total_bytes, MAX_BYTES)

    def test_message_of_any_size_is_received_while_there_is_no_other_one(self):
        """Guards against a request that is refused for good."""
        self.assertTrue(self.account.take_connection())
        holder = self.open(4 * MAX_BYTES)
        with self.assertRaises(MemoryRefused):
            self.open(LARGE_BYTES)
        holder.release()
        self.open(LARGE_BYTES)

    def test_connections_are_counted(self):
        accepted = 0
        while self.account.take_connection():
            accepted += 1
        self.assertEqual(accepted, MAX_BYTES // CONNECTION_BYTES)
        self.account.release_connection()
        self.assertTrue(self.account.take_connection())

    def test_message_that_has_run_is_never_refused(self):
        self.fill(phase=Phase.RUNNING)
        holder = self.open(0, phase=Phase.RUNNING)
        holder.force(LARGE_BYTES)
        self.assertEqual(holder.counted, LARGE_BYTES - UNCOUNTED_BYTES)


class TestGivingWay(AccountCase):
    """The holder that has moved least for its bytes gives way."""

    def test_upload_that_stopped_gives_way_to_a_new_one(self):
        """Guards against clients that hold the memory just short of their end."""
        holders = self.fill()
        stopped = self.open(SMALL_BYTES, behind_ms=3.0 * GRACE_MS)
        holders[1].pace.begin_wait(self.clock.now() - 2.0 * GRACE_MS, 2.0 * GRACE_MS)
        self.open(LARGE_BYTES)
        self.assertEqual(self.left, [holders[1]])
        self.assertEqual(self.account.gave_way(Phase.RECEIVING), 1)
        with self.assertRaises(MemoryRefused):
            holders[1].enter(Phase.RUNNING)
        self.assertFalse(stopped.gave_way)

    def test_upload_within_the_grace_time_does_not_give_way(self):
        self.fill(behind_ms=GRACE_MS)
        with self.assertRaises(MemoryRefused):
            self.open(LARGE_BYTES)
        self.assertEqual(self.left, [])

    def test_running_request_does_not_give_way(self):
        self.fill(phase=Phase.RUNNING, behind_ms=60.0 * GRACE_MS)
        with self.assertRaises(MemoryRefused):
            self.open(LARGE_BYTES)
        self.assertEqual(self.left, [])

    def test_response_that_is_read_at_a_fair_pace_does_not_give_way(self):
        self.fill(phase=Phase.DELIVERING)
        with self.assertRaises(MemoryRefused):
            self.open(LARGE_BYTES)
        self.assertEqual(self.left, [])

    def test_holder_that_cannot_give_way_now_is_passed_over(self):
        """Guards against a mark that keeps bytes which are never released."""
        stuck = self.open(LARGE_BYTES, behind_ms=9e3, releases=None)
        others = [self.open(LARGE_BYTES, behind_ms=2e3) for _ in range(2)]
        self.open(LARGE_BYTES)
        self.assertFalse(stuck.gave_way)
        self.assertEqual(stuck.counted, LARGE_BYTES - UNCOUNTED_BYTES)
        self.assertEqual(sum(holder.gave_way for holder in others), 1)

    def test_slowest_message_is_the_one_that_asks(self):
        """Guards against sound uploads that end for one that hardly moves."""
        holders = self.fill(behind_ms=2.0 * GRACE_MS)
        slowest = holders[0]
        slowest.pace.begin_wait(self.clock.now() - 9.0 * GRACE_MS, 9.0 * GRACE_MS)
        with self.assertRaises(MemoryRefused):
            slowest.resize(2 * LARGE_BYTES)
        self.assertEqual(self.left, [])

    def test_released_holder_can_be_used_again(self):
        (holder, *_) = self.fill(behind_ms=2.0 * GRACE_MS)
        self.open(LARGE_BYTES)
        self.left[0].release()
        self.left[0].enter(Phase.RUNNING)
        self.assertFalse(holder.gave_way and holder.counted)

    def test_memory_of_a_slow_reader_is_waited_for(self):
        self.account = MemoryAccount(max_bytes=MAX_BYTES, clock=SystemClock())
        self.clock = SystemClock()
        readers = self.fill(
            phase=Phase.DELIVERING, behind_ms=2.0 * GRACE_MS, releases=False
        )
        threading.Timer(0.01, lambda: self.left[0].release()).start()
        self.open(LARGE_BYTES)
        self.assertEqual(len(self.left), 1)
        self.assertIn(self.left[0], readers)


class TestRoom(AccountCase):
    """A response is read on as far as there is memory for it."""

    def open_upstream(self, size):
        holder = self.account.open(phase=Phase.UPSTREAM)
        holder.force(size)
        return holder

    def test_response_is_read_while_there_is_room(self):
        holder = self.open_upstream(0)
        self.assertEqual(holder.room_for(SMALL_BYTES), SMALL_BYTES)

    def test_small_response_is_read_beside_full_memory(self):
        self.fill(phase=Phase.RUNNING)
        self.open_upstream(2 * LARGE_BYTES)
        holder = self.open_upstream(0)
        self.assertEqual(holder.room_for(SMALL_BYTES), UNCOUNTED_BYTES)

    def test_one_response_exceeds_the_limit_at_a_time(self):
        """Guards against responses that wait for each other's memory."""
        self.fill(phase=Phase.RUNNING)
        first, second = (self.open_upstream(LARGE_BYTES) for _ in range(2))
        self.assertEqual(first.room_for(SMALL_BYTES), SMALL_BYTES)
        self.assertEqual(second.room_for(SMALL_BYTES), 0)
        first.release()
        self.assertEqual(second.room_for(SMALL_BYTES), SMALL_BYTES)

    def test_response_to_a_request_beyond_the_limit_waits_for_ever(self):
        """Guards against a request that was received alone and gets no response."""
        for _ in range(MAX_BYTES // CONNECTION_BYTES):
            self.account.take_connection()
        self.open(MAX_BYTES + LARGE_BYTES, phase=Phase.RUNNING)
        self.assertGreater(self.account.total_bytes, MAX_BYTES + OVERDRAFT_BYTES)
        response = self.account.open(phase=Phase.UPSTREAM)
        response.resize(UNCOUNTED_BYTES)
        self.assertEqual(response.room_for(SMALL_BYTES), SMALL_BYTES)

    def test_overdraft_is_limited(self):
        for _ in range(MAX_BYTES // CONNECTION_BYTES):
            self.account.take_connection()
        self.open(LARGE_BYTES, phase=Phase.RUNNING)
        response = self.account.open(phase=Phase.UPSTREAM)
        response.force(SMALL_BYTES)
        before = self.account.total_bytes
        while room := response.room_for(SMALL_BYTES):
            response.force(response.size + room)
        taken = self.account.total_bytes - before
        self.assertLessEqual(taken, OVERDRAFT_BYTES)
        self.assertGreaterEqual(taken, OVERDRAFT_BYTES - SMALL_BYTES)

    def test_slow_reader_gives_way_to_a_response(self):
        self.fill(phase=Phase.DELIVERING, behind_ms=2.0 * GRACE_MS)
        holder = self.open_upstream(LARGE_BYTES)
        self.assertEqual(holder.room_for(SMALL_BYTES), SMALL_BYTES)
        self.assertGreaterEqual(self.account.gave_way(Phase.DELIVERING), 1)


if __name__ == "__main__":
    unittest.main()
