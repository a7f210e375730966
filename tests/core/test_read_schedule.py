"""Tests of the order in which entries read the store."""

import itertools
import unittest

from monsoonline.core.read_schedule import (
    MAX_RANK,
    PERIOD_MS,
    RANK_DELAY_MS,
    ReadSchedule,
    read_rank,
)

NAMES = tuple(f"entry-{number}" for number in range(20))
# Time within which a leaving upstream must be known to all entries.
KNOWN_EVERYWHERE_MS = 2_000.0


class Reader:
    """Simulated entry that reads by its schedule.

    :param name: name of the entry
    """

    def __init__(self, name):
        self.name = name
        self.schedule = ReadSchedule(name=name)
        self.reads = []
        self.alive = True
        self.failing = False


def simulate(readers, *, until_ms, without_announcements=frozenset()):
    """Simulate the reads of entries in steps of 5 ms; announcements take no time.

    :param readers: list of :class:`Reader`
    :param until_ms: duration in ms
    :param without_announcements: names of entries that receive no announcements
    """
    now = 0.0
    while now < until_ms:
        names = [reader.name for reader in readers if reader.alive]
        for reader in readers:
            if not reader.alive or reader.schedule.due_in_ms(now, names) > 0:
                continue
            reader.schedule.record_attempt(now)
            if reader.failing:
                reader.schedule.record_failure(now)
                continue
            reader.reads.append(now)
            for other in readers:
                if other is reader or other.name not in without_announcements:
                    other.schedule.record_read(now)
        now += 5.0


class TestReadSchedule(unittest.TestCase):
    """One entry reads for all, and is replaced in time if it fails."""

    def readers(self):
        return [Reader(name) for name in NAMES]

    def all_reads(self, readers):
        return sorted(at for reader in readers for at in reader.reads)

    def test_one_entry_reads_for_all(self):
        """Guards against every entry reading, which would exhaust the shared calls."""
        readers = self.readers()
        simulate(readers, until_ms=10_000.0)
        reads = self.all_reads(readers)
        self.assertLessEqual(len(reads), 10_000.0 / PERIOD_MS + 2)
        gaps = [later - earlier for earlier, later in itertools.pairwise(reads)]
        self.assertLess(max(gaps), PERIOD_MS + RANK_DELAY_MS)

    def test_another_entry_reads_after_the_reader_has_ended(self):
        readers = self.readers()
        first = min(readers, key=lambda r: read_rank(r.name, NAMES))
        simulate(readers, until_ms=3_000.0)
        reads_before = len(self.all_reads(readers))
        first.alive = False
        start = max(self.all_reads(readers))
        simulate(readers, until_ms=8_000.0)
        later = [at for at in self.all_reads(readers)[reads_before:] if at > start]
        self.assertLess(later[0] - start, KNOWN_EVERYWHERE_MS / 2)

    def test_entries_with_failing_reads_add_one_delay_each(self):
        """Guards against late reads if the store refuses a third of the entries."""
        readers = self.readers()
        for reader in sorted(readers, key=lambda r: read_rank(r.name, NAMES))[:7]:
            reader.failing = True
        simulate(readers, until_ms=10_000.0)
        reads = self.all_reads(readers)
        gaps = [later - earlier for earlier, later in itertools.pairwise(reads)]
        self.assertLess(max(gaps), KNOWN_EVERYWHERE_MS / 1.5)

    def test_entry_without_announcements_reads_for_itself(self):
        readers = self.readers()
        isolated = readers[5]
        simulate(readers, until_ms=10_000.0, without_announcements={isolated.name})
        gaps = [b - a for a, b in itertools.pairwise(isolated.reads)]
        self.assertLessEqual(max(gaps), PERIOD_MS + MAX_RANK * RANK_DELAY_MS + 10.0)

    def test_older_read_does_not_replace_a_newer_one(self):
        schedule = ReadSchedule(name="a")
        schedule.record_read(100.0)
        schedule.record_read(50.0)
        self.assertEqual(schedule.read_at, 100.0)

    def test_read_recorded_meanwhile_has_a_negative_age(self):
        """Guards against a state of an entry that others reject."""
        schedule = ReadSchedule(name="a")
        schedule.record_read(100.0)
        self.assertEqual(schedule.read_age_ms(41.0), 0.0)
