"""Choice of the upstream for a request from fresh load reports.

This module is designed for upstreams with three or four slots, of which a quarter or
more are several times slower at any moment, and some slow down when their last slot is
taken. A queue length reported a second ago predicts little, and a request sent to a
slow or full upstream waits a whole service time. Probing a few upstreams right before
a request is sent costs one round trip.
"""

import dataclasses

from monsoonline.core.fleet_messages import UpstreamLoad
from monsoonline.core.trials import TrialSchedule

__all__ = [
    "ProbeResult",
    "UpstreamSearch",
    "SlotAllowance",
    "ServiceTimeEstimate",
    "choose_probe_result",
    "expected_ms",
    "has_free_slot",
    "is_acceptable",
]

# An upstream with at most this slowdown is chosen without further probes.
MAX_ACCEPTABLE_SLOWDOWN = 1.3
# An upstream with at most this slowdown is worth another probe.
MAX_PROMISING_SLOWDOWN = 2.5
# Each round costs one round trip, a fraction of a ms within a failure domain.
MAX_SEARCH_ROUNDS = 8
FIRST_ROUND_PROBES = 2
LATER_ROUND_PROBES = 3
# First round that also probes upstreams of other failure domains.
FIRST_REMOTE_ROUND = 3
# Slowdown assumed for an upstream after a cold start that has sent no load report.
COLD_START_FACTOR = 1.6
# Added for an upstream of another failure domain, which costs billed traffic and a few
# ms.
REMOTE_COST_MS = 12.0
# Assumed service time of an unmeasured route, as a share of its latency objective. The
# value is low, so that the first requests are not refused and can be measured.
INITIAL_OBJECTIVE_SHARE = 0.1
ESTIMATE_EWMA_WEIGHT = 0.1
# Latencies are capped at this multiple of the estimate: some upstreams become slow
# right after they reported the usual speed.
MAX_OUTLIER_RATIO = 2.0
# Added to the expected response time for each recent failure, and for an upstream
# that reports that it is unhealthy.
FAILURE_COST_MS = 60.0
UNHEALTHY_COST_MS = 150.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeResult:
    """An upstream's response to a probe of its load.

    :param state: the :class:`monsoonline.core.upstream_view.UpstreamState`
    :param report: its :class:`monsoonline.types.LoadReport`, ``None`` if it sent none
    :param local: whether it is in the entry's failure domain
    :param healthy: whether it reports that it is healthy, which may be wrong
    :param slowdown: its estimated slowdown, 1.0 for the usual speed
    """

    state: object
    report: object = None
    local: bool = True
    healthy: bool = True
    slowdown: float = 1.0

    @property
    def running(self):
        """Requests at the upstream, including those in flight from this entry."""
        own = self.state.in_flight
        if self.report is None:
            return own
        return max(self.report.in_flight + self.report.queued, own)

    @property
    def slots(self):
        """Requests that the upstream processes concurrently."""
        if self.report is None:
            return self.state.registration.slots
        return self.report.slots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotAllowance:
    """How many slots of an upstream a request may use.

    :param usable_share: share of the slots up to which upstreams do not slow down
    :param full_factor: slowdown of an upstream above that share
    :param reserved: slots of each upstream that are reserved for more urgent routes
    """

    usable_share: float = 1.0
    full_factor: float = 1.0
    reserved: int = 0

    def usable(self, slots):
        """Return the number of slots that the request may use."""
        # At least half of the slots are available to every route.
        return max((slots + 1) // 2, int(self.usable_share * slots) - self.reserved)


class ServiceTimeEstimate:
    """Service time of a route's requests at an idle upstream at the usual speed.

    :param objective_ms: the route's latency objective
    """

    def __init__(self, *, objective_ms):
        self._value = objective_ms * INITIAL_OBJECTIVE_SHARE
        self._measured = False
        self._trials = TrialSchedule()

    @property
    def trials(self):
        """Requests that are sent although the estimate refuses them."""
        return self._trials

    @property
    def value(self):
        """The estimate in ms."""
        return self._value

    @property
    def measured(self):
        """Whether the estimate is based on a measurement."""
        return self._measured

    def observe(self, latency_ms, *, slowdown):
        """Add the latency of a request that found a free slot.

        :param latency_ms: the measured latency
        :param slowdown: slowdown of the upstream that ran it
        """
        service_time_ms = latency_ms / max(0.1, slowdown)
        if not self._measured:
            self._measured = True
            self._value = service_time_ms
            return
        service_time_ms = min(service_time_ms, MAX_OUTLIER_RATIO * self._value)
        self._value += ESTIMATE_EWMA_WEIGHT * (service_time_ms - self._value)


def expected_ms(result, service_time_ms, allowance, *, now):
    """Return the expected response time of an upstream in ms.

    :param result: the :class:`ProbeResult`
    :param service_time_ms: service time at the usual speed
    :param allowance: the :class:`SlotAllowance` of the request
    :param now: the time in ms
    """
    cost = 0.0 if result.local else REMOTE_COST_MS
    cost += FAILURE_COST_MS * result.state.failures(now)
    if not result.healthy:
        cost += UNHEALTHY_COST_MS
    factor = result.slowdown
    if result.report is None and result.state.registration.cold:
        factor *= COLD_START_FACTOR
    waiting = result.running + 1 - result.slots
    if result.running + 1 > allowance.usable_share * result.slots:
        factor *= allowance.full_factor
    if waiting > 0:
        factor *= 1.0 + waiting / result.slots
    return cost + service_time_ms * factor


def has_free_slot(result, allowance):
    """Return whether an upstream has a free slot that the request may use."""
    return result.running < allowance.usable(result.slots)


def is_acceptable(result, allowance):
    """Return whether an upstream is free and fast enough to end the search."""
    if result.report is None or not result.healthy:
        return False
    return (
        has_free_slot(result, allowance) and result.slowdown <= MAX_ACCEPTABLE_SLOWDOWN
    )


def choose_probe_result(results, service_time_ms, allowance, *, now):
    """Return the result with the least expected time, ``None`` without results.

    Upstreams with a free slot are preferred to those without.
    """
    return min(
        results,
        key=lambda result: (
            not has_free_slot(result, allowance),
            expected_ms(result, service_time_ms, allowance, now=now),
        ),
        default=None,
    )


class UpstreamSearch:
    """Chooses the upstreams to probe for one request, in rounds.

    The first round probes two upstreams. Later rounds probe the best one again, since
    one report says little about its slowdown, and others that may be better.

    :param local: upstreams to probe first, mostly of the entry's failure domain, the
        most promising first
    :param remote: the others, the most promising first
    :param allowance: the :class:`SlotAllowance` of the request
    """

    def __init__(self, *, local, remote, allowance):
        self._local = local
        self._remote = remote
        self._allowance = allowance
        self._results = {}
        self._rounds = 0

    def next_states(self, best):
        """Return the upstreams to probe now, an empty list when the search has ended.

        :param best: result of :meth:`best`, ``None`` in the first round
        """
        self._rounds += 1
        if self._rounds > MAX_SEARCH_ROUNDS:
            return []
        if best is None:
            return self._take(FIRST_ROUND_PROBES)
        if (
            has_free_slot(best, self._allowance)
            and best.slowdown <= MAX_PROMISING_SLOWDOWN
        ):
            return [best.state, *self._take(1)]
        return self._take(LATER_ROUND_PROBES)

    def add(self, results):
        """Add the results of a round, which replace earlier ones of an upstream."""
        for result in results:
            self._results[result.state.registration.instance] = result

    def best(self, service_time_ms, *, now):
        """Return the result with the least expected time, ``None`` without results.

        Upstreams that name a limit are left out, since a request to one needs a permit.
        """
        unlimited = [r for r in self._results.values() if r.state.limit.value is None]
        return choose_probe_result(unlimited, service_time_ms, self._allowance, now=now)

    def loads(self):
        """Return the newest report of each probed upstream."""
        return tuple(
            UpstreamLoad(
                instance=instance,
                report=result.report,
                limit=result.state.limit.value,
            )
            for instance, result in self._results.items()
            if result.report is not None
        )

    def _take(self, count):
        """Return upstreams not probed yet, in later rounds also of other domains."""
        local = count if self._rounds < FIRST_REMOTE_ROUND else max(1, count - 1)
        taken, self._local = self._local[:local], self._local[local:]
        missing = count - len(taken)
        taken, self._remote = taken + self._remote[:missing], self._remote[missing:]
        missing = count - len(taken)
        taken, self._local = taken + self._local[:missing], self._local[missing:]
        return taken
