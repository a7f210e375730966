"""Bounded queues in front of a pool and the limit of its requests in flight.

Each route has its own first-in first-out queue. Free slots go to the routes in
turn, so a route with few requests is not starved by one with many. A request that
cannot be answered before its deadline is refused at once.
"""

import collections
import enum

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = ["ConcurrencyLimit", "RouteQueues", "Ticket", "TicketState", "refuse"]

QUEUE_CAPACITY = 256
MIN_RETRY_AFTER_MS = 200.0
RETRY_AFTER_JITTER = 1.0
# Reported queue per slot above which the pool counts as overloaded. It leaves some
# queue at the upstreams, so that no slot stays idle for a network round trip.
QUEUE_TARGET = 4.0
DECREASE = 0.9
INCREASE = 1.0
# Even shares of the slots below which the limit of an entry does not fall. With one
# share, requests wait at one entry while another one's share is free.
FLOOR_SHARE = 2.0
INITIAL_SLOT_SHARE = 1.0


class TicketState(enum.Enum):
    """How far a request for a slot has come."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


class Ticket:
    """One request for a slot.

    :param route: the route
    :param limit: instant in ms after which it is refused
    :param deadline: instant in ms of the request's deadline
    :param excluded: addresses not to use
    :param fingerprint: digest of the request, or ``None``
    :param attempts: attempts made before
    :param notify: called without arguments when the ticket leaves the queue
    """

    __slots__ = (
        "assignment",
        "attempts",
        "deadline",
        "enqueued",
        "excluded",
        "fingerprint",
        "limit",
        "notify",
        "refusal",
        "route",
        "state",
    )

    def __init__(
        self, *, route, limit, deadline, excluded, fingerprint, attempts=0, notify
    ):
        self.route = route
        self.limit = limit
        self.deadline = deadline
        self.excluded = excluded
        self.fingerprint = fingerprint
        self.attempts = attempts
        self.notify = notify
        self.state = TicketState.WAITING
        self.assignment = None
        self.refusal = None
        self.enqueued = 0.0


def refuse(message, *, code, status=503, retry_after_ms=None):
    """Return a :class:`Refusal` of a request that has not run."""
    return Refusal(
        message,
        code=code,
        outcome=Outcome.NOT_RUN,
        status=status,
        retry_after_ms=retry_after_ms,
    )


class ConcurrencyLimit:
    """Limit of one entry's requests in flight to one pool.

    It grows by about one per round of answers while it is in use and shrinks when
    the upstreams report queues, as several entries share them without a common view.

    :param slots: slots of the pool, the largest limit
    """

    def __init__(self, *, slots):
        self._slots = max(1, slots)
        self._limit = self._slots * INITIAL_SLOT_SHARE
        self._decreased_at = -1e18
        self._floor = 1.0

    @property
    def value(self):
        """Requests that may be in flight."""
        return max(1, round(self._limit))

    @property
    def slots(self):
        """Slots of the pool."""
        return self._slots

    def share(self, entries):
        """Use the number of entries that share the pool.

        The limit does not fall below :data:`FLOOR_SHARE` even shares of the slots,
        because the requests do not arrive evenly at the entries.
        """
        share = self._slots / entries
        self._floor = max(1.0, min(self._slots, FLOOR_SHARE * share))

    def resize(self, slots):
        """Use a new number of slots."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, self._slots)

    def answered(self, *, in_flight, queue_share, shed, now, latency_ms):
        """Adjust the limit to an answer.

        :param in_flight: requests in flight before the answer
        :param queue_share: reported queue per slot, averaged
        :param shed: whether the upstream refused the request for its load
        :param now: the time in ms
        :param latency_ms: mean latency, the shortest time between two decreases
        """
        if shed or queue_share > QUEUE_TARGET:
            if now - self._decreased_at >= latency_ms:
                base = min(self._limit, max(1, in_flight))
                self._limit = max(self._floor, base * DECREASE)
                self._decreased_at = now
        elif in_flight >= self._limit - 1.0:
            self._limit = min(self._slots, self._limit + INCREASE / self._limit)


class RouteQueues:
    """The waiting requests of one pool, first-in first-out per route.

    :param generator: numpy Generator for the jitter of ``Retry-After``
    """

    def __init__(self, *, generator):
        self._generator = generator
        self._queues = collections.OrderedDict()
        self._waiting = 0
        self._dropped = 0
        self._interval_ms = None
        self._released_at = None

    @property
    def waiting(self):
        """Number of requests waiting."""
        return self._waiting

    @property
    def dropped(self):
        """Requests dropped because they could not meet their deadline."""
        return self._dropped

    def released(self, now):
        """Learn the interval between two released slots."""
        if self._released_at is not None:
            gap = now - self._released_at
            old = self._interval_ms
            self._interval_ms = gap if old is None else old + 0.05 * (gap - old)
        self._released_at = now

    def expected_wait_ms(self, route):
        """Return how long a new request of a route would wait."""
        interval = self._interval_ms or 0.0
        own = len(self._queues.get(route.name, ())) + 1
        # Routes take turns: each other queue passes at most as many as this one.
        ahead = sum(
            min(own, len(queue))
            for name, queue in self._queues.items()
            if name != route.name
        )
        return interval * (own + ahead)

    def check(self, ticket, now, *, latency_ms):
        """Return a :class:`Refusal` when a ticket cannot be served in time.

        :param latency_ms: expected time from a granted slot to the answer
        """
        wait = self.expected_wait_ms(ticket.route)
        queue = self._queues.get(ticket.route.name, ())
        late = now + wait > ticket.limit or now + wait + latency_ms > ticket.deadline
        if not late and len(queue) < QUEUE_CAPACITY:
            return None
        self._dropped += 1
        return refuse(
            f"pool {ticket.route.pool!r} has no slot in time, the expected wait is "
            f"{wait:.0f} ms",
            code="overloaded",
            retry_after_ms=self.retry_after_ms(wait),
        )

    def retry_after_ms(self, wait_ms=0.0):
        """Return a jittered time after which a refused caller may try again."""
        base = max(MIN_RETRY_AFTER_MS, wait_ms)
        return base * (1.0 + RETRY_AFTER_JITTER * self._generator.random())

    def push(self, ticket, *, first=False):
        """Add a ticket to its route's queue.

        :param first: whether it goes to the head, as it has waited before
        """
        name = ticket.route.name
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = collections.deque()
        if first:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        self._waiting += 1

    def remove(self, ticket):
        """Take out a ticket that no longer waits."""
        queue = self._queues.get(ticket.route.name)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._waiting -= 1

    def pop(self, now, *, latency_ms):
        """Return the next ticket to serve and the tickets refused on the way.

        :param latency_ms: expected time from a granted slot to the answer
        :returns: the ticket or ``None``, and a list of expired tickets
        """
        expired = []
        for name in list(self._queues):
            queue = self._queues[name]
            while queue:
                ticket = queue.popleft()
                self._waiting -= 1
                if now > ticket.limit or now + latency_ms > ticket.deadline:
                    self._dropped += 1
                    expired.append(ticket)
                    continue
                self._queues.move_to_end(name)
                return ticket, expired
        return None, expired

    def put_back(self, ticket):
        """Return a popped ticket to the head of its queue and its turn."""
        name = ticket.route.name
        self._queues[name].appendleft(ticket)
        self._queues.move_to_end(name, last=False)
        self._waiting += 1
