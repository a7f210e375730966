"""Load estimates of the upstreams of one pool.

An entry knows its own requests in flight exactly, but the load that other entries
put on an upstream only from reports, which are stale on arrival. The estimate of
that load starts at the last report and decays towards the mean of the pool.
"""

import collections
import math

from monsoonline.core.health import EjectionLimit, HealthState, UpstreamHealth
from monsoonline.types import AttemptKind

__all__ = ["LoadView", "UpstreamLoad"]

# Decay time of a report in mean latencies of the pool. A slot is reused after about
# one service time, so a report says little after two of them.
REPORT_LIFETIME_LATENCIES = 2.0
MIN_REPORT_LIFETIME_MS = 1.0
# Age in lifetimes after which an observation is ignored.
NEGLIGIBLE_AGE_LIFETIMES = 6.0
# Slow spells of a server last 100 ms to 1 s; observations must expire with them.
SLOWDOWN_LIFETIME_MS = 500.0
# Weights of one observation in the moving average of the slowdown. Service times
# vary, so one response carries little information; an attempt that timed out or was
# cancelled because another one finished first carries more.
SLOWDOWN_WEIGHT = 0.1
LOWER_BOUND_WEIGHT = 0.8
# Maximum number of consecutive attempts without a response that increase the slowdown.
MAX_CONSECUTIVE_UNANSWERED = 5
# Age in mean latencies from which a pending attempt marks its upstream as slow. Waiting
# for the response would detect the slowness several times later.
OVERDUE_LATENCIES = 2.5
# Weight of one observation in the moving averages over the pool.
MEAN_WEIGHT = 0.02
INITIAL_LATENCY_MS = 20.0
MAX_RECENTLY_FREE = 16
# Load in requests per slot added to an upstream that several peers have ejected.
PEER_EJECTION_LOAD = 2.0
LATENCY_KINDS = frozenset((AttemptKind.SUCCEEDED,))
LOWER_BOUND_KINDS = frozenset((AttemptKind.CANCELLED, AttemptKind.TIMED_OUT))


class UpstreamLoad:
    """Load state of one upstream as known to one entry.

    The policies read the attributes on every selection, so they are plain slots
    rather than properties. ``other_load`` is the load from other entries in
    requests, and ``slowdown`` the ratio of latency to the mean of the pool.

    :param upstream: the :class:`monsoonline.core.model.Upstream`
    :param index: position in the pool
    :param health: the :class:`UpstreamHealth` of the upstream
    """

    __slots__ = (
        "ejected_by_peers",
        "health",
        "in_flight",
        "index",
        "leaving",
        "other_load",
        "available_index",
        "reported_at",
        "slots",
        "slowdown",
        "slowdown_at",
        "slowdown_lifetime_ms",
        "start_times",
        "consecutive_unanswered",
        "upstream",
    )

    def __init__(self, *, upstream, index, health):
        self.upstream = upstream
        self.index = index
        self.health = health
        self.slots = upstream.slots
        self.in_flight = 0
        self.leaving = False
        self.ejected_by_peers = False
        self.other_load = 0.0
        self.reported_at = -math.inf
        self.slowdown = 1.0
        self.slowdown_at = -math.inf
        self.slowdown_lifetime_ms = SLOWDOWN_LIFETIME_MS
        # Position in the list of available upstreams, -1 when not in it.
        self.available_index = -1
        self.consecutive_unanswered = 0
        # Start times in ms of the pending attempts, at most one per slot.
        self.start_times = []

    @property
    def address(self):
        """``host:port`` of the upstream."""
        return self.upstream.address


class LoadView:
    """Load estimates of the upstreams of one pool.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param generator: numpy random generator
    """

    def __init__(self, *, pool, generator):
        self._generator = generator
        self._ejection_limit = EjectionLimit(size=0)
        self._by_address = {}
        self._all = []
        self._available = []
        self._ejected = []
        self._recently_free = collections.deque(maxlen=MAX_RECENTLY_FREE)
        self._mean_latency_ms = None
        self._report_lifetime_ms = INITIAL_LATENCY_MS * REPORT_LIFETIME_LATENCIES
        self._mean_other_load = 0.0
        self._queue_per_slot = 0.0
        # Whether few slots are idle. Only then are upstreams with overdue attempts
        # avoided: while many slots are idle, hedges serve overdue requests, and
        # avoiding their upstreams made the tail latency slightly higher.
        self.saturated = False
        self.update(pool)

    def update(self, pool):
        """Apply a changed pool and keep the state of the upstreams that remain."""
        known = self._by_address
        self._ejection_limit.resize(len(pool.upstreams))
        self._by_address = {}
        self._all = []
        for index, upstream in enumerate(pool.upstreams):
            state = known.pop(upstream.address, None)
            if state is None:
                health = UpstreamHealth(
                    limit=self._ejection_limit, generator=self._generator
                )
                state = UpstreamLoad(upstream=upstream, index=index, health=health)
                self._insert(state)
            state.upstream = upstream
            state.slots = upstream.slots
            state.index = index
            self._by_address[upstream.address] = state
            self._all.append(state)
        for state in known.values():
            state.health.release_ejection()
            self._remove(state)
        self._ejected = [s for s in self._ejected if self._is_member(s)]

    @property
    def available(self):
        """Upstreams that are neither ejected nor leaving, in no particular order."""
        return self._available

    @property
    def states(self):
        """All upstreams in the order of the pool."""
        return self._all

    @property
    def recently_free(self):
        """Upstreams that reported a free slot, most recent last."""
        return self._recently_free

    @property
    def mean_latency_ms(self):
        """Mean latency of successful attempts in ms."""
        return self._mean_latency_ms or INITIAL_LATENCY_MS

    @property
    def mean_other_load(self):
        """Mean load from other entries in requests per slot."""
        return self._mean_other_load

    @property
    def queue_per_slot(self):
        """Mean reported queue length per slot."""
        return self._queue_per_slot

    @property
    def ejected(self):
        """Number of upstreams that are ejected or half-open."""
        return self._ejection_limit.ejected

    def get(self, address):
        """Return the :class:`UpstreamLoad` of an address, or ``None``."""
        return self._by_address.get(address)

    def set_leaving(self, address, *, leaving):
        """Mark an upstream as leaving, or withdraw the mark."""
        state = self._by_address.get(address)
        if state is None or state.leaving == leaving:
            return
        state.leaving = leaving
        if leaving:
            self._remove(state)
        elif state.health.state is not HealthState.EJECTED:
            self._insert(state)

    def end_expired_ejections(self, now):
        """Make upstreams available again after their ejection has ended."""
        while self._ejected and self._ejected[0].health.ejected_until <= now:
            state = self._ejected.pop(0)
            if state.health.expire(now) and not state.leaving:
                self._insert(state)

    def relative_latency(self, state, now):
        """Return the expected latency of one more request in relative units.

        The value is about 1 for an idle upstream of average speed.

        :param state: the :class:`UpstreamLoad` of the upstream
        :param now: current time in ms
        """
        other_load = self._mean_other_load * state.slots
        age = (now - state.reported_at) / self._report_lifetime_ms
        if age < NEGLIGIBLE_AGE_LIFETIMES:
            other_load += (state.other_load - other_load) * math.exp(-age)
        load = (state.in_flight + other_load + 1.0) / state.slots
        slowdown = state.slowdown
        if slowdown != 1.0:
            age = (now - state.slowdown_at) / state.slowdown_lifetime_ms
            if age < NEGLIGIBLE_AGE_LIFETIMES:
                slowdown = 1.0 + (slowdown - 1.0) * math.exp(-age)
            else:
                slowdown = state.slowdown = 1.0
        if self.saturated and state.start_times:
            overdue = now - state.start_times[0]
            overdue /= self.mean_latency_ms * OVERDUE_LATENCIES
            if overdue > 1.0:
                slowdown *= overdue
        penalty = state.health.penalty
        if penalty:
            load += state.health.penalty_at(now)
        if state.ejected_by_peers:
            load += PEER_EJECTION_LOAD
        # Below one request per slot no wait is expected. Since load estimates have
        # errors, the square term still prefers less loaded upstreams.
        wait = load * load if load < 1.0 else 2.0 * load - 1.0
        return slowdown * (1.0 + wait)

    def start(self, state, now):
        """Record the start of an attempt of this entry."""
        state.in_flight += 1
        state.start_times.append(now)

    def finish(self, state, result, now, *, started):
        """Record the end of an attempt of this entry.

        :param state: the :class:`UpstreamLoad` of the upstream
        :param result: the :class:`monsoonline.types.AttemptResult`
        :param now: current time in ms
        :param started: time in ms passed to :meth:`start`
        """
        state.in_flight -= 1
        state.start_times.remove(started)
        self._update_latency(state, result, now)
        if result.load is not None:
            self.observe_report(state, result.load, now)
        if self._is_member(state) and state.health.record(result.kind, now):
            self._remove(state)
            self._ejected.append(state)
            self._ejected.sort(key=lambda item: item.health.ejected_until)

    def observe_report(self, state, load, now, *, age_ms=0.0):
        """Process the report of an upstream about its own load.

        :param state: the :class:`UpstreamLoad` of the upstream
        :param load: the :class:`monsoonline.types.LoadReport`
        :param now: current time in ms
        :param age_ms: age of the report
        """
        total = load.in_flight + load.queued
        state.other_load = max(0.0, total - state.in_flight)
        state.reported_at = now - age_ms
        load_per_slot = state.other_load / state.slots
        self._mean_other_load += MEAN_WEIGHT * (load_per_slot - self._mean_other_load)
        queue = load.queued / state.slots
        self._queue_per_slot += 0.05 * (queue - self._queue_per_slot)
        if total < state.slots and self._is_member(state):
            self._recently_free.append(state)

    def _update_latency(self, state, result, now):
        latency = result.latency_ms
        weight = SLOWDOWN_WEIGHT
        if result.kind in LATENCY_KINDS:
            state.consecutive_unanswered = 0
            mean = self._mean_latency_ms
            self._mean_latency_ms = (
                latency if mean is None else mean + MEAN_WEIGHT * (latency - mean)
            )
            self._report_lifetime_ms = max(
                MIN_REPORT_LIFETIME_MS,
                self._mean_latency_ms * REPORT_LIFETIME_LATENCIES,
            )
        elif result.kind not in LOWER_BOUND_KINDS or latency < self.mean_latency_ms:
            return
        else:
            # An unresponsive server shows only in attempts that time out or that a
            # hedge completes first, so each consecutive one increases the estimated
            # slowdown and its duration.
            state.consecutive_unanswered = min(
                state.consecutive_unanswered + 1, MAX_CONSECUTIVE_UNANSWERED
            )
            latency *= state.consecutive_unanswered**2
            weight = LOWER_BOUND_WEIGHT
        age = now - state.slowdown_at
        old = 1.0 + (state.slowdown - 1.0) * math.exp(-age / SLOWDOWN_LIFETIME_MS)
        ratio = latency / self.mean_latency_ms
        state.slowdown = old + weight * (ratio - old)
        state.slowdown_at = now
        state.slowdown_lifetime_ms = (
            SLOWDOWN_LIFETIME_MS * 2.0**state.consecutive_unanswered
        )

    def _is_member(self, state):
        return self._by_address.get(state.address) is state

    def _insert(self, state):
        if state.available_index < 0:
            state.available_index = len(self._available)
            self._available.append(state)

    def _remove(self, state):
        available_index = state.available_index
        if available_index < 0:
            return
        last = self._available.pop()
        if last is not state:
            self._available[available_index] = last
            last.available_index = available_index
        state.available_index = -1
