"""Log events for the decisions on one request.

Every event states the decision, its inputs and the age of those inputs. The fields
become members of a log record under the same names.
"""

import dataclasses

__all__ = [
    "AttemptEnded",
    "AttemptNotSent",
    "CallerLeft",
    "DecisionTrail",
    "RequestEnded",
    "RequestRefused",
    "RouteMatched",
    "UpstreamChosen",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteMatched:
    """A request was matched to a route and a pool.

    :param route: name of the route
    :param pool: name of the pool
    :param tables_revision: revision of the tables used for the match
    :param tables_era: era of the store that issued the revision
    """

    message = "route matched"

    route: str
    pool: str
    tables_revision: int
    tables_era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChosen:
    """An upstream was chosen for an attempt that is about to be sent.

    :param upstream: id of the upstream
    :param attempt: number of the attempt, from 1
    :param second: whether it is a hedge, sent while an earlier attempt is open
    :param running: requests at the upstream, according to its load report
    :param slots: requests that the upstream processes concurrently
    :param limit: requests per second that it accepts from all entries, ``None`` without
        a limit
    :param pace: estimated slowdown of the upstream, 1.0 for the usual speed
    :param report_age_ms: age of the newest load report, ``None`` if there is none
    :param expected_ms: expected response time
    """

    message = "upstream chosen"

    upstream: str
    attempt: int
    second: bool
    running: int
    slots: int
    limit: float | None
    pace: float
    report_age_ms: float | None
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """An attempt ended.

    :param upstream: id of the upstream
    :param result: kind of the result, such as ``succeeded`` or ``connection-lost``
    :param status: status of the upstream's response, ``None`` without one
    :param took_ms: time since the attempt was sent
    """

    message = "attempt ended"

    upstream: str
    result: str
    status: int | None
    took_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNotSent:
    """A retry or a hedge was not sent.

    :param cause: refusal code that explains why
    """

    message = "attempt not placed"

    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused:
    """A request was refused.

    :param code: refusal code
    :param status: status of the response to the caller
    :param retry_after_ms: retry delay sent to the caller, ``None`` if it is told not to
        retry
    :param reason: human-readable explanation
    :param tables_revision: revision of the tables in effect, 0 before the first
    :param tables_era: era of the store that issued the revision
    :param tables_age_ms: time since they came into effect, ``None`` before the first
    :param read_age_ms: age of the newest read of the store that this entry knows of,
        its own or another's, ``None`` without one
    """

    message = "request refused"

    code: str
    status: int
    retry_after_ms: float | None
    reason: str
    tables_revision: int = 0
    tables_era: int = 0
    tables_age_ms: float | None = None
    read_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """The caller closed its connection before it received a response."""

    message = "caller left"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded:
    """The response was sent to the caller.

    :param status: status of the response
    :param took_ms: time since the request was read
    :param goal_ms: the route's latency objective, ``None`` if no route matched
    """

    message = "request ended"

    status: int
    took_ms: float
    goal_ms: float | None


class DecisionTrail:
    """Timestamped decisions on one request, relative to when it was read.

    :param clock: source of time
    :param request_id: the caller's id of the request, empty if it sent none
    """

    __slots__ = ("_clock", "_started", "request_id", "steps")

    def __init__(self, *, clock, request_id):
        self._clock = clock
        self._started = clock.now()
        self.request_id = request_id
        # Pairs of elapsed time in ms and event.
        self.steps = []

    def add(self, event):
        """Record a decision at the current time."""
        self.steps.append((self._clock.now() - self._started, event))

    def end(self, *, status, goal_ms):
        """Record the response to the caller."""
        took_ms = self._clock.now() - self._started
        event = RequestEnded(status=status, took_ms=took_ms, goal_ms=goal_ms)
        self.steps.append((took_ms, event))
