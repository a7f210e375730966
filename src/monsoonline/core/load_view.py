"""Estimates of the load of each upstream of one pool, weighted by age.

An entry knows its own requests in flight exactly and the rest of an upstream's load
only from reports, which are stale when they arrive. The estimate of the others' load
starts at the last report and decays towards the mean over the pool.
"""

import collections
import math

from monsoonline.core.health import EjectionLimit, HealthState, UpstreamHealth
from monsoonline.types import AttemptKind

__all__ = ["LoadView", "UpstreamLoad"]

# A slot is reused after about one service time, so a report is worth little after
# two of them; the scale follows the measured latency of the pool.
REPORT_LIFETIME_SHARE = 2.0
MIN_REPORT_LIFETIME_MS = 1.0
# Age in lifetimes after which an observation counts for nothing.
NEGLIGIBLE_AGE = 6.0
# A slow spell lasts 100 ms to 1 s; an old observation of it must not outlive it.
SPEED_LIFETIME_MS = 500.0
# One answer says little of the server's speed, since service times vary; an attempt
# that another one overtook says more.
SPEED_WEIGHT = 0.1
OVERTAKEN_WEIGHT = 0.8
MAX_UNANSWERED = 5
# Mean latencies after which an open attempt says that its upstream is slow. An answer
# would say so too, but only after several times that.
OVERDUE_MEANS = 2.5
MEAN_WEIGHT = 0.02
INITIAL_LATENCY_MS = 20.0
RECENT_REPORTS = 16
# Load in requests per slot that ejections by several peers stand for.
DISTRUST_LOAD = 2.0
LATENCY_KINDS = frozenset((AttemptKind.SUCCEEDED,))
LOWER_BOUND_KINDS = frozenset((AttemptKind.CANCELLED, AttemptKind.TIMED_OUT))


class UpstreamLoad:
    """What one entry knows of one upstream's load.

    Fields are read by the policies on every pick, so they are plain slots.

    :param upstream: the :class:`monsoonline.core.model.Upstream`
    :param index: position in the pool
    :param health: the :class:`UpstreamHealth`
    """

    __slots__ = (
        "distrusted",
        "health",
        "in_flight",
        "index",
        "leaving",
        "others",
        "position",
        "reported_at",
        "slots",
        "speed",
        "speed_at",
        "speed_lifetime_ms",
        "started",
        "unanswered",
        "upstream",
    )

    def __init__(self, *, upstream, index, health):
        self.upstream = upstream
        self.index = index
        self.health = health
        self.slots = upstream.slots
        self.in_flight = 0
        self.leaving = False
        self.distrusted = False
        self.others = 0.0
        self.reported_at = -math.inf
        self.speed = 1.0
        self.speed_at = -math.inf
        self.speed_lifetime_ms = SPEED_LIFETIME_MS
        self.position = -1
        self.unanswered = 0
        # Starts of the open attempts, at most one per slot.
        self.started = []

    @property
    def address(self):
        """``host:port`` of the upstream."""
        return self.upstream.address


class LoadView:
    """Load estimates of one pool.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param generator: numpy Generator
    """

    def __init__(self, *, pool, generator):
        self._generator = generator
        self._limit = EjectionLimit(size=0)
        self._by_address = {}
        self._all = []
        self._available = []
        self._ejected = []
        self._recent = collections.deque(maxlen=RECENT_REPORTS)
        self._mean_latency = None
        self._report_lifetime_ms = INITIAL_LATENCY_MS * REPORT_LIFETIME_SHARE
        self._mean_others = 0.0
        self._queue_share = 0.0
        # Whether few slots are idle. While many are, hedges rescue overdue requests,
        # and avoiding their upstreams made the tail slightly longer.
        self.saturated = False
        self.update(pool)

    def update(self, pool):
        """Use a changed pool and keep what is known of the upstreams that stay."""
        known = self._by_address
        self._limit.resize(len(pool.upstreams))
        self._by_address = {}
        self._all = []
        for index, upstream in enumerate(pool.upstreams):
            state = known.pop(upstream.address, None)
            if state is None:
                health = UpstreamHealth(limit=self._limit, generator=self._generator)
                state = UpstreamLoad(upstream=upstream, index=index, health=health)
                self._insert(state)
            state.upstream = upstream
            state.slots = upstream.slots
            state.index = index
            self._by_address[upstream.address] = state
            self._all.append(state)
        for state in known.values():
            state.health.forget()
            self._remove(state)
        self._ejected = [s for s in self._ejected if self._is_member(s)]

    @property
    def available(self):
        """States that may be picked, in no particular order."""
        return self._available

    @property
    def states(self):
        """All states in the order of the pool."""
        return self._all

    @property
    def recent(self):
        """States that reported a free slot, the latest last."""
        return self._recent

    @property
    def mean_latency_ms(self):
        """Mean latency of successful attempts."""
        return self._mean_latency or INITIAL_LATENCY_MS

    @property
    def mean_others(self):
        """Mean load that others put on an upstream, in requests per slot."""
        return self._mean_others

    @property
    def queue_share(self):
        """Mean of the reported queue length per slot."""
        return self._queue_share

    @property
    def ejected(self):
        """Number of upstreams ejected now."""
        return self._limit.ejected

    def get(self, address):
        """Return the state of an address, or ``None``."""
        return self._by_address.get(address)

    def set_leaving(self, address, *, leaving):
        """Mark an upstream as leaving, or as back."""
        state = self._by_address.get(address)
        if state is None or state.leaving == leaving:
            return
        state.leaving = leaving
        if leaving:
            self._remove(state)
        elif state.health.state is not HealthState.EJECTED:
            self._insert(state)

    def refresh(self, now):
        """Return upstreams whose ejection has ended to the available ones."""
        while self._ejected and self._ejected[0].health.until <= now:
            state = self._ejected.pop(0)
            if state.health.expire(now) and not state.leaving:
                self._insert(state)

    def expected_ms(self, state, now):
        """Return the expected time to an answer for one more request.

        :param state: an :class:`UpstreamLoad`
        :param now: the time in ms
        """
        others = self._mean_others * state.slots
        age = (now - state.reported_at) / self._report_lifetime_ms
        if age < NEGLIGIBLE_AGE:
            others += (state.others - others) * math.exp(-age)
        load = (state.in_flight + others + 1.0) / state.slots
        speed = state.speed
        if speed != 1.0:
            age = (now - state.speed_at) / state.speed_lifetime_ms
            if age < NEGLIGIBLE_AGE:
                speed = 1.0 + (speed - 1.0) * math.exp(-age)
            else:
                speed = state.speed = 1.0
        if self.saturated and state.started:
            overdue = now - state.started[0]
            overdue /= self.mean_latency_ms * OVERDUE_MEANS
            if overdue > 1.0:
                speed *= overdue
        penalty = state.health.penalty
        if penalty:
            load += state.health.penalty_at(now)
        if state.distrusted:
            load += DISTRUST_LOAD
        # Below one request per slot there is no wait, but estimates have errors:
        # the square keeps fuller upstreams less attractive.
        wait = load * load if load < 1.0 else 2.0 * load - 1.0
        return speed * (1.0 + wait)

    def start(self, state, now):
        """Count one request of this entry."""
        state.in_flight += 1
        state.started.append(now)

    def finish(self, state, result, now, *, started):
        """Learn from the end of an attempt.

        :param state: the upstream's state
        :param result: the :class:`monsoonline.types.AttemptResult`
        :param now: the time in ms
        :param started: the time of its :meth:`start`
        """
        state.in_flight -= 1
        state.started.remove(started)
        self._learn_latency(state, result, now)
        if result.load is not None:
            self.report(state, result.load, now)
        if self._is_member(state) and state.health.record(result.kind, now):
            self._remove(state)
            self._ejected.append(state)
            self._ejected.sort(key=lambda item: item.health.until)

    def report(self, state, load, now, *, age_ms=0.0):
        """Use an upstream's own report.

        :param load: the :class:`monsoonline.types.LoadReport`
        :param age_ms: how old the report is
        """
        total = load.in_flight + load.queued
        state.others = max(0.0, total - state.in_flight)
        state.reported_at = now - age_ms
        share = state.others / state.slots
        self._mean_others += MEAN_WEIGHT * (share - self._mean_others)
        queue = load.queued / state.slots
        self._queue_share += 0.05 * (queue - self._queue_share)
        if total < state.slots and self._is_member(state):
            self._recent.append(state)

    def _learn_latency(self, state, result, now):
        latency = result.latency_ms
        weight = SPEED_WEIGHT
        if result.kind in LATENCY_KINDS:
            state.unanswered = 0
            mean = self._mean_latency
            self._mean_latency = (
                latency if mean is None else mean + MEAN_WEIGHT * (latency - mean)
            )
            self._report_lifetime_ms = max(
                MIN_REPORT_LIFETIME_MS, self._mean_latency * REPORT_LIFETIME_SHARE
            )
        elif result.kind not in LOWER_BOUND_KINDS or latency < self.mean_latency_ms:
            return
        else:
            # A silent server shows only by attempts that others overtook, so each
            # further one keeps requests away for longer.
            state.unanswered = min(state.unanswered + 1, MAX_UNANSWERED)
            latency *= state.unanswered**2
            weight = OVERTAKEN_WEIGHT
        age = now - state.speed_at
        old = 1.0 + (state.speed - 1.0) * math.exp(-age / SPEED_LIFETIME_MS)
        ratio = latency / self.mean_latency_ms
        state.speed = old + weight * (ratio - old)
        state.speed_at = now
        state.speed_lifetime_ms = SPEED_LIFETIME_MS * 2.0**state.unanswered

    def _is_member(self, state):
        return self._by_address.get(state.address) is state

    def _insert(self, state):
        if state.position < 0:
            state.position = len(self._available)
            self._available.append(state)

    def _remove(self, state):
        position = state.position
        if position < 0:
            return
        last = self._available.pop()
        if last is not state:
            self._available[position] = last
            last.position = position
        state.position = -1
