"""Tests of the pace of a peer."""

import unittest

from monsoonline.core.peer_pace import PeerPace


class TestPeerPace(unittest.TestCase):
    """A peer falls behind only while it is waited for and moves too little."""

    def setUp(self):
        self.pace = PeerPace(fair_bytes_per_s=1_000)

    def wait(self, start, end, *, timeout_ms=10_000.0):
        self.pace.begin_wait(start, timeout_ms)
        self.pace.end_wait(end)

    def test_time_without_a_wait_does_not_count(self):
        self.assertEqual(self.pace.behind_ms(60_000.0), 0.0)

    def test_wait_that_goes_on_counts(self):
        self.pace.begin_wait(100.0, 10_000.0)
        self.assertEqual(self.pace.behind_ms(2_100.0), 2_000.0)

    def test_wait_counts_no_longer_than_its_timeout(self):
        """Guards against peers that are blamed for a suspended process."""
        self.wait(0.0, 60_000.0, timeout_ms=250.0)
        self.assertEqual(self.pace.behind_ms(60_000.0), 250.0)

    def test_peer_at_the_fair_pace_never_falls_behind(self):
        for second in range(100):
            self.wait(1e3 * second, 1e3 * (second + 1))
            self.pace.move(1_000)
        self.assertEqual(self.pace.behind_ms(100_000.0), 0.0)

    def test_peer_that_moves_one_byte_at_a_time_falls_behind(self):
        for second in range(100):
            self.wait(1e3 * second, 1e3 * (second + 1))
            self.pace.move(1)
        self.assertGreater(self.pace.behind_ms(100_000.0), 99_000.0)

    def test_fast_start_earns_no_pause(self):
        """Guards against uploads that stop just short of their end."""
        self.pace.move(1 << 30)
        self.wait(0.0, 3_000.0)
        self.assertEqual(self.pace.behind_ms(3_000.0), 3_000.0)

    def test_reader_whose_acknowledgements_come_in_steps_falls_behind(self):
        """Guards against steady readers that lose their connection."""
        self.pace.reset(credit_ms=3_000.0)
        for step in range(50):
            self.wait(2e3 * step, 2e3 * (step + 1))
            self.assertLessEqual(self.pace.behind_ms(0.0), 0.0)
            self.pace.move(2_500)
        self.wait(100_000.0, 105_000.0)
        self.assertEqual(self.pace.behind_ms(0.0), 2_000.0)


if __name__ == "__main__":
    unittest.main()
