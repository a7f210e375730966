"""Callers of a load experiment: when they send, and what became of each request."""

import collections
import dataclasses
import enum

__all__ = ["CallerRequest", "CallerRequestResult", "RequestEnd", "arrival_times"]


class RequestEnd(enum.Enum):
    """How a caller's request ended."""

    IN_TIME = "in-time"
    LATE = "late"
    # Not run, and the caller has no time or no further try left.
    REFUSED = "refused"
    FAILED = "failed"
    # No entry could be reached while the caller waited.
    UNREACHED = "unreached"


class CallerRequest:
    """One request of a caller over all its tries.

    :param number: unique number
    :param route: the :class:`monsoonline.bench.load_document.LoadRouteDocument`
    :param sent_at: instant of the first try in ms
    :param work_ms: time at an idle upstream
    :param returns: tries that are left after the first
    :param pressing: whether the caller ignores when it shall return
    :param failure_domain: the caller's nearest one
    """

    __slots__ = (
        "entry",
        "failure_domain",
        "number",
        "pressing",
        "refusals",
        "returns",
        "route",
        "sent_at",
        "tries",
        "work_ms",
    )

    def __init__(
        self, *, number, route, sent_at, work_ms, returns, pressing, failure_domain
    ):
        self.number = number
        self.route = route
        self.sent_at = sent_at
        self.work_ms = work_ms
        self.returns = returns
        self.pressing = pressing
        self.failure_domain = failure_domain
        self.tries = 0
        self.refusals = 0
        # The entry that has the request now.
        self.entry = None

    @property
    def deadline(self):
        """Instant in ms until which the caller waits."""
        return self.sent_at + self.route.deadline_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequestResult:
    """What became of one request.

    :param route: name of the route
    :param end: the :class:`RequestEnd`
    :param sent_at: instant of the first try in ms
    :param took_ms: time from the first try to the end
    :param refusals: times that it was refused
    :param pressing: whether the caller ignored when it should return
    """

    route: str
    end: RequestEnd
    sent_at: float
    took_ms: float
    refusals: int
    pressing: bool


def arrival_times(generator, *, rate, duration_ms, bursts):
    """Yield the instants of Poisson arrivals in ms.

    :param generator: :class:`random.Random`
    :param rate: requests per second outside bursts
    :param duration_ms: length of the experiment
    :param bursts: the bursts that apply, as
        :class:`monsoonline.bench.load_document.BurstPattern`
    """
    factors = collections.defaultdict(lambda: 1.0)
    edges = sorted({0.0, *(b.at_ms for b in bursts), *map(end_of, bursts)})
    for edge in edges:
        for burst in bursts:
            if burst.at_ms <= edge < end_of(burst):
                factors[edge] *= burst.factor
    most = max([1.0, *factors.values()])
    now = 0.0
    while True:
        now += generator.expovariate(rate * most / 1e3)
        if now >= duration_ms:
            return
        edge = max(e for e in edges if e <= now)
        # Thinning: arrivals of the highest rate, of which a part is kept.
        if generator.random() * most < factors[edge]:
            yield now


def end_of(pattern):
    """Return the instant in ms at which a pattern ends."""
    return pattern.at_ms + pattern.duration_ms
