"""State of one request while an entry serves it, and of its open attempts."""

import enum

from monsoonline.core.fingerprints import fingerprint_of

__all__ = ["Event", "SentAttempt", "Task"]


class Event(enum.Enum):
    """Reason why the wait for a response ended."""

    READABLE = "readable"
    HEDGE = "hedge"
    CALLER_GONE = "caller-gone"
    DEADLINE = "deadline"


class SentAttempt:
    """An attempt that was sent to an upstream and has not ended.

    :param probe_result: the upstream's :class:`monsoonline.core.placement.ProbeResult`
    :param session: session on which the request was sent
    :param sent_at: instant in ms at which it was sent
    :param expected_ms: expected time until its response
    """

    __slots__ = ("expected_ms", "probe_result", "sent_at", "session")

    def __init__(self, *, probe_result, session, sent_at, expected_ms):
        self.probe_result = probe_result
        self.session = session
        self.sent_at = sent_at
        self.expected_ms = expected_ms


class Task:
    """A request and what is known of its attempts.

    :param route: the matched route
    :param pool: the :class:`monsoonline.entry.served_pools.ServedPool` that serves it
    :param request: the request
    :param request_id: identifier set by the caller, or ``None``
    :param started: instant in ms at which the request arrived
    :param deadline: instant in ms at which the wait for a response ends
    :param trail: the request's :class:`monsoonline.core.decision_events.DecisionTrail`
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
        self.open_attempts = []
        self.attempts_sent = 0
        self.excluded = set()
        self.may_have_run = False
        # Whether at most one attempt is made, whatever the route allows.
        self.single_attempt = False
        self.caller_left = False
        # Response of an upstream that reports a failed request; sent to the caller when
        # no later attempt succeeds.
        self.failure_response = None
        # :class:`monsoonline.core.hedging.HedgeTimer`, ``None`` if none may start.
        self.hedge_timer = None

    @property
    def repeatable(self):
        """Whether another attempt is safe.

        A request that is not idempotent is repeated only when no attempt can have
        run it.
        """
        return self.route.idempotent or not (self.may_have_run or self.open_attempts)

    @property
    def attempts_left(self):
        """Number of attempts that are still allowed."""
        allowed = 1 if self.single_attempt else self.route.tolerance.retries + 1
        return allowed - self.attempts_sent
