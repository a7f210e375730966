"""Dates of reads of the shared store by other entries, on the clock of this entry.

The clocks of two entries differ, and a message may wait for long in the socket of a
paused process, so neither the time of its arrival nor an age that it states tells when
it was sent. An exchange does: an event at the peer between the request and the reply
happened after the request was sent. From then on, times of the peer's clock have a
lower bound on the clock of this entry, however long a later message takes.
"""

import collections
import dataclasses

__all__ = ["PeerReads", "Reader"]

# Clocks drift apart by less than 0.1 s in this time.
EXCHANGE_LIFETIME_MS = 100_000.0
EXCHANGE_INTERVAL_MS = 60_000.0
# After a slower exchange the bound may be far off, and another one is made. It is not
# made at once, since the reader may be slow because of the requests of all entries.
SLOW_EXCHANGE_MS = 100.0
SLOW_EXCHANGE_INTERVAL_MS = 5_000.0
# Time for a reply before the exchange is repeated.
EXCHANGE_TIMEOUT_MS = 500.0
MAX_EXCHANGES = 8
# Few entries read; the others follow in the order of reads.
MAX_READERS = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reader:
    """An entry that reads the store, since its last start.

    :param name: name of the entry
    :param incarnation: number that differs for each of its starts
    """

    name: str
    incarnation: int


class ReaderClock:
    """What is known of the clock of a reader, and its newest read."""

    __slots__ = ("exchanges", "read_at", "requested_at")

    def __init__(self):
        # Pairs of the time of the reply and the lower bound of the offset, in ms.
        self.exchanges = collections.deque(maxlen=MAX_EXCHANGES)
        # Newest read on the clock of the reader.
        self.read_at = float("-inf")
        self.requested_at = float("-inf")


class PeerReads:
    """Newest reads of other entries whose results this entry has applied.

    All times are in ms and come from clocks that also run while a machine is suspended.
    """

    def __init__(self):
        self._readers = collections.OrderedDict()

    def note_read(self, reader, read_at):
        """Record a read whose result this entry has applied.

        :param reader: the :class:`Reader`
        :param read_at: time at which the read began, on the clock of the reader
        """
        clock = self._clock_of(reader)
        clock.read_at = max(clock.read_at, read_at)

    def note_exchange(self, reader, *, sent_at, peer_time, received_at):
        """Record that a reader has replied to a request.

        :param reader: the :class:`Reader`
        :param sent_at: time at which the request was sent
        :param peer_time: time on the clock of the reader when it replied
        :param received_at: time at which the reply was received
        """
        if sent_at > received_at:
            return
        self._clock_of(reader).exchanges.append(
            (received_at, sent_at - peer_time, received_at - sent_at)
        )

    def take_request(self, reader, now):
        """Return whether to send a request to a reader, and count it as sent."""
        clock = self._clock_of(reader)
        if now - clock.requested_at < EXCHANGE_TIMEOUT_MS:
            return False
        for received_at, _, duration in clock.exchanges:
            slow = duration >= SLOW_EXCHANGE_MS
            interval = SLOW_EXCHANGE_INTERVAL_MS if slow else EXCHANGE_INTERVAL_MS
            if now - received_at < interval:
                return False
        clock.requested_at = now
        return True

    def latest(self, now):
        """Return the time of the newest read, ``None`` if no read can be dated.

        The read began at this time or later.

        :param now: current time
        """
        # An exchange may precede the first read.
        times = [
            clock.read_at + max(offsets)
            for clock in self._readers.values()
            if clock.read_at > float("-inf") and (offsets := self._offsets(clock, now))
        ]
        # The sum can exceed the present only if a clock has jumped.
        return min(now, max(times)) if times else None

    def _offsets(self, clock, now):
        return [
            offset
            for received_at, offset, _ in clock.exchanges
            if now - received_at < EXCHANGE_LIFETIME_MS
        ]

    def _clock_of(self, reader):
        clock = self._readers.get(reader)
        if clock is None:
            clock = self._readers[reader] = ReaderClock()
            if len(self._readers) > MAX_READERS:
                self._readers.popitem(last=False)
        self._readers.move_to_end(reader)
        return clock
