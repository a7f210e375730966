"""Schedule of reads from the shared store, coordinated among entries.

All entries share one budget of calls to the store. Therefore one entry reads for all
and announces the result. There is no lease: each entry reads once the newest read it
knows of is older than a period plus a delay proportional to its rank. The next entry
in rank thus takes over if the first has ended, is paused, is disconnected or is
refused by the store.
"""

import hashlib

__all__ = ["ReadSchedule", "read_rank"]

# A leaving upstream must be known to all entries within 2 s, which leaves time for two
# periods and a few rank delays.
PERIOD_MS = 700.0
# Exceeds the latency of an announcement between failure domains.
RANK_DELAY_MS = 60.0
# Ranks above it read at the same time, so that no entry in reach of the store goes
# without a new read for more than 1.7 s, whatever it hears from others.
MAX_RANK = 16
# Added to the rank of an entry whose read failed. It still reads if no other does.
FAILED_READ_RANK_PENALTY = 12
FAILED_READ_PENALTY_MS = 4_000.0


def read_rank(name, members):
    """Return the position of an entry in the order in which entries read, from 0.

    :param name: name of the entry
    :param members: names of the live entries; may include this one
    """
    return sum(rank_hash(other) < rank_hash(name) for other in members if other != name)


def rank_hash(name):
    """Return the hash of a name; it spreads similar names evenly over the order."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class ReadSchedule:
    """Determines when this entry reads from the store.

    All times are in ms on a clock that also runs while the machine is suspended.

    :param name: name of the entry
    :param period_ms: time between two reads, in ms
    """

    def __init__(self, *, name, period_ms=PERIOD_MS):
        self._name = name
        self._period_ms = period_ms
        self._read_at = None
        self._attempted_at = float("-inf")
        self._failed_at = float("-inf")

    @property
    def read_at(self):
        """Start in ms of the newest known successful read, ``None`` without one."""
        return self._read_at

    def read_age_ms(self, now):
        """Return the age of the newest known successful read, ``None`` without one.

        :param now: current time in ms; another thread may have recorded a read since
        """
        return None if self._read_at is None else max(0.0, now - self._read_at)

    def record_read(self, at):
        """Record a successful read by this or another entry.

        Its result must be in effect at this entry.

        :param at: time in ms at which the read started, or an earlier one
        """
        if self._read_at is None or at > self._read_at:
            self._read_at = at

    def record_attempt(self, at):
        """Record that this entry started a read.

        :param at: time in ms at which the read started
        """
        self._attempted_at = at

    def record_failure(self, now):
        """Record that a read by this entry failed.

        For a few seconds other entries read before this one.

        :param now: current time in ms
        """
        self._failed_at = now

    def due_in_ms(self, now, members):
        """Return the time in ms until this entry's next read; due if not positive.

        :param now: current time in ms
        :param members: names of the live entries
        """
        rank = min(MAX_RANK, read_rank(self._name, members))
        if now - self._failed_at < FAILED_READ_PENALTY_MS:
            rank += FAILED_READ_RANK_PENALTY
        last = max(
            self._attempted_at,
            float("-inf") if self._read_at is None else self._read_at,
        )
        return last + self._period_ms + rank * RANK_DELAY_MS - now
