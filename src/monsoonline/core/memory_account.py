"""One account of the memory for all messages that a process holds.

Requests that arrive, requests that run, responses from upstreams and responses that
wait for their callers draw on the same limit, so that no mixture of them exceeds the
memory of the machine. When it is used up, the peer that is furthest behind a fair pace
for the most bytes gives way, not the message that comes next.
"""

import collections
import enum
import threading

__all__ = [
    "CONNECTION_BYTES",
    "MemoryAccount",
    "MemoryHolder",
    "MemoryRefused",
    "Phase",
]

# Bytes of each holder that are not counted: they are part of CONNECTION_BYTES, and
# small messages need no lock.
UNCOUNTED_BYTES = 16 << 10
# Memory of a connection with its thread, what its holder does not count, and what the
# kernel has received.
CONNECTION_BYTES = 96 << 10
# Messages up to this size may use the reserve.
SMALL_BYTES = 64 << 10
# Share of the limit that only connections and small messages may use.
RESERVE_SHARE = 0.125
# Bytes by which the limit may be exceeded to complete one response at a time.
OVERDRAFT_BYTES = 8 << 20
# Time in ms by which a peer may be behind before its message may give way.
GRACE_MS = 1_000.0
# Longest wait in ms for memory of the connections that were told to give way.
RELEASE_WAIT_MS = 100.0
# Time in ms until holders are searched again after none of them could give way.
SEARCH_INTERVAL_MS = 50.0


class MemoryRefused(Exception):
    """The messages in progress leave no memory for another one."""


class Phase(enum.Enum):
    """What a holder keeps its bytes for."""

    RECEIVING = "receiving"
    RUNNING = "running"
    UPSTREAM = "upstream"
    DELIVERING = "delivering"


class MemoryHolder:
    """The bytes that one connection holds.

    Used by one thread at a time, except that any thread may tell it to give way.

    :param account: the :class:`MemoryAccount`
    :param phase: the first :class:`Phase`
    :param pace: :class:`monsoonline.core.peer_pace.PeerPace` of the peer, ``None`` for
        a holder that never gives way
    :param give_way: called, with the account locked, when the holder gives way; returns
        whether the bytes are already released, ``None`` if it cannot give way now
    """

    __slots__ = (
        "_account",
        "_first_phase",
        "counted",
        "finishes",
        "gave_way",
        "give_way",
        "pace",
        "phase",
        "size",
    )

    def __init__(self, *, account, phase, pace=None, give_way=None):
        self._account = account
        self._first_phase = phase
        self.phase = phase
        self.pace = pace
        self.give_way = give_way
        # Bytes that are held, and those of them that the account counts.
        self.size = 0
        self.counted = 0
        # Whether the bytes must be dropped.
        self.gave_way = False
        # Whether the holder may exceed the limit.
        self.finishes = False

    def resize(self, size):
        """Change the number of bytes that are held.

        :raises MemoryRefused: when there is no memory for more, or the holder gave way
        """
        if self.counted or size > UNCOUNTED_BYTES:
            self._account.resize(self, size)
        else:
            self.size = size

    def force(self, size):
        """Change the number of bytes that are held; never refused."""
        if self.counted or size > UNCOUNTED_BYTES:
            self._account.resize(self, size, force=True)
        else:
            self.size = size

    def enter(self, phase):
        """Change the phase.

        :raises MemoryRefused: when the holder gave way before
        """
        if self.counted or self.gave_way:
            self._account.enter(self, phase)
        else:
            self.phase = phase

    def release(self):
        """Release all bytes; the holder can be used for another message."""
        if self.counted or self.gave_way or self.finishes:
            self._account.release(self)
        self.size = 0
        self.phase = self._first_phase

    def room_for(self, size):
        """Return how many more bytes of a response may be received now.

        :param size: largest number of bytes wanted
        """
        return self._account.room_for(self, size)


class MemoryAccount:
    """Counts the bytes of all holders and decides which of them gives way.

    :param max_bytes: limit of their sum
    :param clock: source of time
    """

    def __init__(self, *, max_bytes, clock):
        self._max_bytes = max_bytes
        self._max_large_bytes = int(max_bytes * (1.0 - RESERVE_SHARE))
        self._clock = clock
        self._condition = threading.Condition()
        self._holders = set()
        self._held = dict.fromkeys(Phase, 0)
        self._total = 0
        self._connections = 0
        # The holder of a response that may exceed the limit.
        self._finisher = None
        self._finisher_limit = max_bytes
        self._gave_way = collections.Counter()
        # Time until which no holder is expected that could give way.
        self._search_at = float("-inf")

    @property
    def max_bytes(self):
        """Limit of the bytes of all holders and connections."""
        return self._max_bytes

    @property
    def total_bytes(self):
        """Bytes that are counted now, with those of connections."""
        return self._total

    @property
    def message_bytes(self):
        """Bytes that holders have counted now."""
        return self._total - self._connections

    def held_bytes(self, phase):
        """Return the bytes that are counted now in a :class:`Phase`."""
        return self._held[phase]

    def gave_way(self, phase):
        """Return the number of holders that gave way in a :class:`Phase`."""
        return self._gave_way[phase]

    def open(self, *, phase, pace=None, give_way=None):
        """Return a :class:`MemoryHolder`, see there for the parameters."""
        return MemoryHolder(account=self, phase=phase, pace=pace, give_way=give_way)

    def take_connection(self, *, force=False):
        """Count a connection.

        :param force: whether it is counted although there is no memory
        :returns: whether there is memory for it
        """
        with self._condition:
            # Connections are accepted by one thread, which must not wait.
            has_room = self._make_room(None, CONNECTION_BYTES, small=True, wait_ms=0.0)
            if not (has_room or force or self._leaving_bytes() >= CONNECTION_BYTES):
                return False
            self._total += CONNECTION_BYTES
            self._connections += CONNECTION_BYTES
            return True

    def release_connection(self):
        """Stop counting a connection."""
        with self._condition:
            self._total -= CONNECTION_BYTES
            self._connections -= CONNECTION_BYTES
            self._condition.notify_all()

    def resize(self, holder, size, *, force=False):
        """Change what a holder counts; called by the holder."""
        with self._condition:
            if holder.gave_way and not force:
                raise MemoryRefused("the message gave way to others")
            counted = max(0, size - UNCOUNTED_BYTES)
            growth = counted - holder.counted
            small = size <= SMALL_BYTES
            has_room = self._make_room(
                holder, growth, small=small, wait_ms=0.0 if force else RELEASE_WAIT_MS
            )
            if not has_room and not force:
                raise MemoryRefused(
                    f"{growth} bytes more than the {self._total} bytes in use would "
                    f"exceed {self._max_bytes} bytes"
                )
            holder.size = size
            self._count(holder, counted)

    def enter(self, holder, phase):
        """Change the phase of a holder; called by the holder."""
        with self._condition:
            if holder.gave_way:
                raise MemoryRefused("the message gave way to others")
            self._held[holder.phase] -= holder.counted
            self._held[phase] += holder.counted
            holder.phase = phase

    def release(self, holder):
        """Release the bytes of a holder; called by the holder."""
        with self._condition:
            self._count(holder, 0)
            holder.gave_way = False
            if holder.finishes:
                holder.finishes = False
                self._finisher = None

    def room_for(self, holder, size):
        """Return how many bytes of a response may be received; called by the holder.

        One response at a time may exceed the limit, so that responses that each hold a
        part of the memory do not wait for each other.
        """
        if self._total + size <= self._max_large_bytes:
            return size
        if holder.size < UNCOUNTED_BYTES:
            return min(size, UNCOUNTED_BYTES - holder.size)
        if holder.size < SMALL_BYTES and self._total + size <= self._max_bytes:
            return min(size, SMALL_BYTES - holder.size)
        with self._condition:
            if self._make_room(holder, size, small=False, wait_ms=0.0):
                return size
            if self._finisher is None:
                self._finisher = holder
                holder.finishes = True
                # A request that was received alone may exceed the limit already.
                running = self._held[Phase.RUNNING] + self._connections
                used = max(self._max_bytes, running)
                self._finisher_limit = used + OVERDRAFT_BYTES
            if holder.finishes and self._total + size <= self._finisher_limit:
                return size
        return 0

    def _count(self, holder, counted):
        shrinks = counted < holder.counted
        self._held[holder.phase] += counted - holder.counted
        self._total += counted - holder.counted
        holder.counted = counted
        if counted:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        if shrinks:
            self._condition.notify_all()

    def _fits(self, holder, growth, *, small):
        if growth <= 0:
            return True
        limit = self._max_bytes if small else self._max_large_bytes
        # A message of any size is received while there is no other one.
        alone = holder is not None and holder.counted == self.message_bytes
        return alone or self._total + growth <= limit

    def _make_room(self, holder, growth, *, small, wait_ms=RELEASE_WAIT_MS):
        """Let holders give way until there is room; return whether there is."""
        if self._fits(holder, growth, small=small):
            return True
        ends_at = self._clock.now() + wait_ms
        passed_over = set()
        limit = self._max_bytes if small else self._max_large_bytes
        while True:
            leaving = self._leaving_bytes()
            if self._total + growth - leaving > limit:
                slowest = self._find_slowest(holder, passed_over)
                if slowest is not None:
                    if not self._let_give_way(slowest):
                        passed_over.add(slowest)
                    if self._fits(holder, growth, small=small):
                        return True
                    continue
            remaining_ms = ends_at - self._clock.now()
            if remaining_ms <= 0 or not leaving:
                return False
            self._condition.wait(remaining_ms / 1e3)
            if self._fits(holder, growth, small=small):
                return True

    def _leaving_bytes(self):
        """Return the bytes of holders that gave way and release them soon."""
        return sum(holder.counted for holder in self._holders if holder.gave_way)

    def _find_slowest(self, asking, passed_over):
        """Return the holder that has moved least for its bytes, ``None`` without one.

        :param asking: the holder that needs memory, which gives way by a refusal
        :param passed_over: holders that cannot give way now
        """
        now = self._clock.now()
        if now < self._search_at:
            return None
        slowest, most = None, 0.0
        for holder in self._holders - passed_over:
            cost = self._cost(holder, now)
            if cost > most:
                slowest, most = holder, cost
        if slowest is None:
            self._search_at = now + SEARCH_INTERVAL_MS
        return None if slowest is asking else slowest

    @staticmethod
    def _cost(holder, now):
        """Return the bytes of a holder times how far it is behind, 0 within grace."""
        if holder.gave_way or holder.pace is None:
            return 0.0
        if holder.phase not in (Phase.RECEIVING, Phase.DELIVERING):
            return 0.0
        behind_ms = holder.pace.behind_ms(now)
        return behind_ms * holder.counted if behind_ms > GRACE_MS else 0.0

    def _let_give_way(self, holder):
        """Let a holder give way; return whether it does."""
        released = holder.give_way()
        if released is None:
            return False
        holder.gave_way = True
        self._gave_way[holder.phase] += 1
        if released:
            holder.size = 0
            self._count(holder, 0)
        return True
