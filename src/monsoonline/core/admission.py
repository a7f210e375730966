"""Admission control of a pool: bounded queues and a concurrency limit.

Each route has its own first-in first-out queue. Free slots are assigned to the
routes by round robin, so a busy route does not starve one with few requests. A
request that cannot complete before its deadline is refused immediately.
"""

import collections
import enum

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = [
    "ConcurrencyLimit",
    "RouteQueues",
    "Ticket",
    "TicketState",
    "not_run_refusal",
]

# Waiting requests per route.
QUEUE_CAPACITY = 256
MIN_RETRY_AFTER_MS = 200.0
# Largest random addition to Retry-After, as a share of it.
RETRY_AFTER_JITTER = 1.0
# Reported queue length per slot above which the pool counts as overloaded. A short
# queue at the upstreams avoids idle slots during a network round trip.
TARGET_QUEUE_PER_SLOT = 4.0
DECREASE_FACTOR = 0.9
# Additive increase per round; a round is as many responses as the limit.
INCREASE_PER_ROUND = 1.0
# Lower bound of an entry's limit, as a multiple of the slots divided by the number of
# entries. With a multiple of one, requests wait at one entry while slots in the share
# of another entry are free.
MIN_LIMIT_SHARES = 2.0
INITIAL_SLOT_SHARE = 1.0


class TicketState(enum.Enum):
    """State of a request for a slot."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


class Ticket:
    """One request for a slot.

    :param route: the matched route
    :param queue_deadline: instant in ms until which the ticket may wait
    :param deadline: deadline of the request, an instant in ms
    :param excluded: addresses of upstreams that must not be used
    :param fingerprint: digest of the request, or ``None``
    :param attempts: number of earlier attempts
    :param notify: called without arguments when a waiting ticket is granted or
        refused
    """

    __slots__ = (
        "assignment",
        "attempts",
        "deadline",
        "enqueued",
        "excluded",
        "fingerprint",
        "queue_deadline",
        "notify",
        "refusal",
        "route",
        "state",
    )

    def __init__(
        self,
        *,
        route,
        queue_deadline,
        deadline,
        excluded,
        fingerprint,
        attempts=0,
        notify,
    ):
        self.route = route
        self.queue_deadline = queue_deadline
        self.deadline = deadline
        self.excluded = excluded
        self.fingerprint = fingerprint
        self.attempts = attempts
        self.notify = notify
        self.state = TicketState.WAITING
        self.assignment = None
        self.refusal = None
        self.enqueued = 0.0


def not_run_refusal(message, *, code, status=503, retry_after_ms=None):
    """Create a :class:`Refusal` with the outcome ``NOT_RUN``."""
    return Refusal(
        message,
        code=code,
        outcome=Outcome.NOT_RUN,
        status=status,
        retry_after_ms=retry_after_ms,
    )


class ConcurrencyLimit:
    """Additive-increase, multiplicative-decrease limit of requests in flight.

    It applies to the requests of one entry to one pool. Several entries share the
    upstreams without coordination, so the limit follows feedback: it decreases when
    the upstreams report queues, and while it is fully used it grows by about one
    per round of responses.

    :param slots: slots of the pool, the upper bound of the limit
    """

    def __init__(self, *, slots):
        self._slots = max(1, slots)
        self._limit = self._slots * INITIAL_SLOT_SHARE
        self._decreased_at = -1e18
        self._min_limit = 1.0

    @property
    def value(self):
        """Number of requests that may be in flight."""
        return max(1, round(self._limit))

    @property
    def slots(self):
        """Number of slots of the pool."""
        return self._slots

    def set_entry_count(self, entry_count):
        """Set the lower bound of the limit from the number of entries.

        The lower bound is :data:`MIN_LIMIT_SHARES` even shares of the slots, because
        requests are not distributed evenly over the entries.

        :param entry_count: number of entries that share the pool
        """
        even_share = self._slots / entry_count
        self._min_limit = max(1.0, min(self._slots, MIN_LIMIT_SHARES * even_share))

    def resize(self, slots):
        """Change the number of slots of the pool."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, self._slots)

    def record_response(self, *, in_flight, queue_per_slot, shed, now, latency_ms):
        """Adjust the limit after a response.

        :param in_flight: requests in flight before the response
        :param queue_per_slot: mean reported queue length per slot
        :param shed: whether the upstreams shed load
        :param now: current time in ms
        :param latency_ms: mean latency, the minimum time between two decreases
        """
        if shed or queue_per_slot > TARGET_QUEUE_PER_SLOT:
            if now - self._decreased_at >= latency_ms:
                base = min(self._limit, max(1, in_flight))
                self._limit = max(self._min_limit, base * DECREASE_FACTOR)
                self._decreased_at = now
        elif in_flight >= self._limit - 1.0:
            self._limit = min(
                self._slots, self._limit + INCREASE_PER_ROUND / self._limit
            )


class RouteQueues:
    """Queues of waiting requests of one pool, one per route.

    :param generator: numpy random generator for the jitter of ``Retry-After``
    """

    def __init__(self, *, generator):
        self._generator = generator
        self._queues = collections.OrderedDict()
        self._waiting = 0
        self._dropped = 0
        self._release_interval_ms = None
        self._released_at = None

    @property
    def waiting(self):
        """Number of waiting requests."""
        return self._waiting

    @property
    def dropped(self):
        """Number of requests refused for a deadline or a full queue."""
        return self._dropped

    def record_release(self, now):
        """Update the mean interval between releases of slots."""
        if self._released_at is not None:
            interval = now - self._released_at
            mean = self._release_interval_ms
            self._release_interval_ms = (
                interval if mean is None else mean + 0.05 * (interval - mean)
            )
        self._released_at = now

    def expected_wait_ms(self, route):
        """Return the expected wait in ms of a new request of a route."""
        interval = self._release_interval_ms or 0.0
        own = len(self._queues.get(route.name, ())) + 1
        # Round robin: until this request is served, each other queue is served at
        # most as often as this one.
        ahead = sum(
            min(own, len(queue))
            for name, queue in self._queues.items()
            if name != route.name
        )
        return interval * (own + ahead)

    def check_admission(self, ticket, now, *, latency_ms):
        """Check whether a ticket can be queued and served in time.

        :param ticket: the :class:`Ticket`
        :param now: current time in ms
        :param latency_ms: expected time from a granted slot to the response
        :returns: ``None``, or a :class:`Refusal` when the expected wait is too long
            or the queue of the route is full
        """
        wait = self.expected_wait_ms(ticket.route)
        queue = self._queues.get(ticket.route.name, ())
        late = (
            now + wait > ticket.queue_deadline
            or now + wait + latency_ms > ticket.deadline
        )
        if not late and len(queue) < QUEUE_CAPACITY:
            return None
        self._dropped += 1
        return not_run_refusal(
            f"pool {ticket.route.pool!r} cannot serve the request in time: the "
            f"expected wait is {wait:.0f} ms",
            code="overloaded",
            retry_after_ms=self.retry_after_ms(wait),
        )

    def retry_after_ms(self, wait_ms=0.0):
        """Return a ``Retry-After`` delay in ms with jitter.

        :param wait_ms: expected wait for a slot, a lower bound of the delay
        """
        base = max(MIN_RETRY_AFTER_MS, wait_ms)
        return base * (1.0 + RETRY_AFTER_JITTER * self._generator.random())

    def push(self, ticket, *, first=False):
        """Add a ticket to the queue of its route.

        :param first: whether to add it at the head, for a request that was already
            sent to upstreams
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
        """Remove a ticket from its queue, if it is still there."""
        queue = self._queues.get(ticket.route.name)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._waiting -= 1

    def pop(self, now, *, latency_ms):
        """Remove and return the next ticket to serve.

        :param now: current time in ms
        :param latency_ms: expected time from a granted slot to the response
        :returns: the ticket or ``None``, and the list of expired tickets that were
            removed before it
        """
        expired = []
        for name in list(self._queues):
            queue = self._queues[name]
            while queue:
                ticket = queue.popleft()
                self._waiting -= 1
                if now > ticket.queue_deadline or now + latency_ms > ticket.deadline:
                    self._dropped += 1
                    expired.append(ticket)
                    continue
                self._queues.move_to_end(name)
                return ticket, expired
        return None, expired

    def put_back(self, ticket):
        """Return a popped ticket to the head of its queue, to be served next."""
        name = ticket.route.name
        self._queues[name].appendleft(ticket)
        self._queues.move_to_end(name, last=False)
        self._waiting += 1
