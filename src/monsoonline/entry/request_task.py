"""One request on its way through an entry, and the attempts that were sent."""

import enum

from monsoonline.core.fingerprints import fingerprint_of

__all__ = ["Event", "Leg", "Task"]


class Event(enum.Enum):
    """Why the wait for an answer ended."""

    READABLE = "readable"
    HEDGE = "hedge"
    CALLER_GONE = "caller-gone"
    DEADLINE = "deadline"


class Leg:
    """One attempt that was sent.

    :param offer: the :class:`monsoonline.core.placement.ProbeResult` that was taken
    :param session: the session on which it was sent
    :param sent_at: instant in ms
    :param expected_ms: expected time of its answer
    """

    __slots__ = ("expected_ms", "offer", "sent_at", "session")

    def __init__(self, *, offer, session, sent_at, expected_ms):
        self.offer = offer
        self.session = session
        self.sent_at = sent_at
        self.expected_ms = expected_ms


class Task:
    """One request on its way.

    :param route: the matched route
    :param pool: the :class:`monsoonline.entry.served_pools.ServedPool` that serves it
    :param request: the request
    :param request_id: the caller's id of it, or ``None``
    :param started: instant in ms of its arrival
    :param deadline: instant in ms until which it is awaited
    :param trail: its :class:`monsoonline.core.decision_events.DecisionTrail`
    """

    def __init__(self, *, route, pool, request, request_id, started, deadline, trail):
        self.route = route
        self.pool = pool
        self.request = request
        self.request_id = request_id
        self.started = started
        self.deadline = deadline
        self.trail = trail
        self.fingerprint = fingerprint_of(request)
        self.legs = []
        self.sends = 0
        self.excluded = set()
        self.may_have_run = False
        self.caller_left = False
        # An upstream's own statement that the request failed.
        self.failure = None
        # :class:`monsoonline.core.hedging.HedgeTimer`, ``None`` for no second attempt.
        self.hedge = None

    @property
    def repeatable(self):
        """Whether another attempt cannot run the request a second time."""
        return self.route.idempotent or not (self.may_have_run or self.legs)

    @property
    def sends_left(self):
        """Attempts that the route still allows."""
        return self.route.tolerance.retries + 1 - self.sends
