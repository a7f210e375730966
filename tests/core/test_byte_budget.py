"""Tests of the byte budget for gossip."""

import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.byte_budget import (
    BURST_BYTES,
    BYTES_PER_SECOND,
    DATAGRAM_OVERHEAD_BYTES,
    ByteBudget,
)


class TestByteBudget(unittest.TestCase):
    """Sent and received bytes are limited separately."""

    def test_flood_is_limited_and_leaves_replies_possible(self):
        """A flood of received datagrams must not use up the budget for replies."""
        clock = ManualClock()
        budget = ByteBudget(clock=clock)
        for _ in range(1000):
            budget.admit(1000)
            clock.advance(10)
        allowed = BYTES_PER_SECOND / 2 * 10 + BURST_BYTES
        self.assertLessEqual(budget.received_bytes, allowed)
        self.assertGreater(budget.received_bytes, allowed - 1100)
        self.assertTrue(budget.spend(1000))
        self.assertEqual(budget.sent_bytes, 1000 + DATAGRAM_OVERHEAD_BYTES)

    def test_sending_beyond_the_burst_is_refused(self):
        budget = ByteBudget(clock=ManualClock())
        sent = sum(budget.spend(1000) for _ in range(10))
        self.assertEqual(sent, BURST_BYTES // (1000 + DATAGRAM_OVERHEAD_BYTES))
