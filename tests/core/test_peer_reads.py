"""Tests of dating the reads of other entries."""

import unittest

from monsoonline.core.peer_reads import (
    EXCHANGE_INTERVAL_MS,
    EXCHANGE_LIFETIME_MS,
    EXCHANGE_TIMEOUT_MS,
    MAX_READERS,
    SLOW_EXCHANGE_INTERVAL_MS,
    SLOW_EXCHANGE_MS,
    PeerReads,
    Reader,
)

READER = Reader(name="a", incarnation=1)
# The clock of the reader is ahead by this time.
AHEAD_MS = 5_000.0


class TestPeerReads(unittest.TestCase):
    """A read is never dated later than it began."""

    def setUp(self):
        self.reads = PeerReads()

    def exchange(self, *, sent_at, replied_at, received_at, reader=READER):
        self.reads.note_exchange(
            reader,
            sent_at=sent_at,
            peer_time=replied_at + AHEAD_MS,
            received_at=received_at,
        )

    def test_read_counts_before_the_clock_of_its_reader_is_known(self):
        self.reads.note_read(READER, 900.0 + AHEAD_MS)
        self.assertIsNone(self.reads.latest(1_000.0))
        self.exchange(sent_at=1_001.0, replied_at=1_002.0, received_at=1_003.0)
        self.assertEqual(self.reads.latest(1_003.0), 899.0)

    def test_slow_exchange_makes_a_read_seem_newer(self):
        """Guards against a request or a reply that waited in a paused process."""
        self.reads.note_read(READER, 900.0 + AHEAD_MS)
        self.exchange(sent_at=1_000.0, replied_at=1_400.0, received_at=1_800.0)
        self.assertEqual(self.reads.latest(1_800.0), 500.0)
        self.exchange(sent_at=2_000.0, replied_at=2_001.0, received_at=2_400.0)
        self.assertEqual(self.reads.latest(2_400.0), 899.0)

    def test_clock_of_an_earlier_start_dates_a_read(self):
        """Guards against a restarted machine whose clock starts anew."""
        self.exchange(sent_at=1_000.0, replied_at=1_001.0, received_at=1_002.0)
        self.reads.note_read(Reader(name="a", incarnation=2), 900.0)
        self.assertIsNone(self.reads.latest(1_002.0))

    def test_exchange_before_the_first_read_dates_a_read(self):
        """Guards against an infinite age, which no message can state."""
        self.exchange(sent_at=1_000.0, replied_at=1_001.0, received_at=1_002.0)
        self.assertIsNone(self.reads.latest(1_002.0))

    def test_exchange_is_repeated_when_it_was_slow_lost_or_long_ago(self):
        self.assertTrue(self.reads.take_request(READER, 0.0))
        self.assertFalse(self.reads.take_request(READER, 1.0))
        at = EXCHANGE_TIMEOUT_MS
        self.assertTrue(self.reads.take_request(READER, at))
        self.exchange(
            sent_at=at, replied_at=at, received_at=at + SLOW_EXCHANGE_MS + 1.0
        )
        at += EXCHANGE_TIMEOUT_MS
        self.assertFalse(self.reads.take_request(READER, at))
        at += SLOW_EXCHANGE_INTERVAL_MS
        self.assertTrue(self.reads.take_request(READER, at))
        self.exchange(sent_at=at, replied_at=at, received_at=at + 2.0)
        self.assertFalse(self.reads.take_request(READER, at + EXCHANGE_TIMEOUT_MS))
        at += EXCHANGE_INTERVAL_MS + 2.0
        self.assertTrue(self.reads.take_request(READER, at))

    def test_old_exchanges_date_no_read(self):
        """Guards against clocks that drift apart."""
        self.exchange(sent_at=0.0, replied_at=1.0, received_at=2.0)
        self.reads.note_read(READER, EXCHANGE_LIFETIME_MS + AHEAD_MS)
        self.assertIsNone(self.reads.latest(EXCHANGE_LIFETIME_MS + 3.0))

    def test_readers_are_bounded(self):
        for number in range(3 * MAX_READERS):
            self.reads.note_read(Reader(name="a", incarnation=number), 1.0)
        self.assertEqual(len(self.reads._readers), MAX_READERS)
