"""What one entry knows of its pools, their upstreams and its routes' work."""

import threading

from monsoonline.adapters.upstream_sessions import Probe
from monsoonline.core.overload import NEARLY_FULL_SHARE
from monsoonline.core.placement import MAX_ACCEPTABLE_SLOWDOWN, ServiceTimeEstimate
from monsoonline.core.probe_allowance import ProbeAllowance
from monsoonline.core.retry_budget import RetryBudget
from monsoonline.core.routing import RouteTable
from monsoonline.core.upstream_view import UpstreamView
from monsoonline.types import AttemptKind

__all__ = ["ServedPool", "ServedPools"]

LEAST_URGENT = 1 << 30
# Weight of a late answer to a question, relative to the failures in ``upstream_view``:
# the second one within the half-life of failures makes an entry avoid an upstream.
LATE_WEIGHT = 0.8


class ServedPool:
    """What one entry knows of a pool.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param view: its :class:`UpstreamView`
    :param repeats: its :class:`RetryBudget`
    :param probe: the question for its upstreams
    :param allowance: its :class:`ProbeAllowance`
    :param crowding: its :class:`monsoonline.core.overload.OverloadDetector`
    """

    def __init__(self, *, pool, view, repeats, probe, allowance, crowding):
        self.pool = pool
        self.view = view
        self.repeats = repeats
        self.probe = probe
        self.allowance = allowance
        self.crowding = crowding
        # Priority of the pool's most urgent route.
        self.most_urgent = LEAST_URGENT


class ServedPools:
    """The tables in effect and the pools that they name.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param budget: :class:`monsoonline.core.retry_budget.RetryLimits`
    :param failure_domain: where this entry runs
    :param on_failure: called with instance and weight of each failure seen
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
    """

    def __init__(self, *, clock, names, budget, failure_domain, on_failure, decisions):
        self._decisions = decisions
        self._clock = clock
        self._names = names
        self._budget = budget
        self._failure_domain = failure_domain
        self._on_failure = on_failure
        self._lock = threading.Lock()
        self._tables = None
        self._route_table = RouteTable(routes=())
        self._registrations = {}
        self._pools = {}
        self._work = {}

    @property
    def has_tables(self):
        """Whether requests can be matched to routes."""
        return self._tables is not None

    @property
    def tables_revision(self):
        """Revision of the tables in effect, 0 before the first."""
        return 0 if self._tables is None else self._tables.revision

    def match(self, request):
        """Return the route of a request, or ``None``."""
        return self._route_table.match(request)

    def get(self, name):
        """Return the :class:`ServedPool` of a name, or ``None``."""
        return self._pools.get(name)

    def use_tables(self, tables):
        """Use newly accepted tables; older ones are ignored."""
        with self._lock:
            if self._tables is not None and tables.revision <= self._tables.revision:
                return
            self._tables = tables
            self._pools = {
                name: self._adopt(pool) for name, pool in tables.pools.items()
            }
            for route in tables.routes.values():
                self._note_priority(route)
            self._update_views()
            self._route_table = RouteTable(routes=tables.routes.values())

    def use_budget(self, budget):
        """Use a changed :class:`monsoonline.core.retry_budget.RetryLimits`."""
        with self._lock:
            self._budget = budget
            for served in self._pools.values():
                served.repeats.use_limits(budget)

    def use_registrations(self, registrations):
        """Use the newest registrations of upstreams, by instance."""
        with self._lock:
            self._registrations = registrations
            self._update_views()

    def hear_failure(self, instance, weight):
        """Use a failure that another entry saw."""
        now = self._clock.now()
        for served in self._pools.values():
            served.view.add_peer_failure(instance, weight, now)

    def hear_loads(self, notice):
        """Use the load reports that another entry got."""
        now = self._clock.now()
        for served in self._pools.values():
            served.view.apply_load_notice(notice, now)

    def note_unreachable(self, state):
        """Record that an upstream accepted no connection or gave no answer."""
        for served in self._pools.values():
            if state.registration.instance in served.view.states:
                self.note_result(served, state, AttemptKind.CONNECT_FAILED)
                return

    def note_late(self, state):
        """Record that an upstream gave no answer for a short time.

        Other entries are not told: this one or its network may have been slow.
        """
        state.add_failure(LATE_WEIGHT, self._clock.now())

    def note_sent(self, state):
        """Count an attempt that begins at an upstream."""
        with self._lock:
            state.in_flight += 1

    def note_ended(self, served, state, kind):
        """Count an attempt that has ended, and learn from it."""
        with self._lock:
            state.in_flight -= 1
        self.note_result(served, state, kind)

    def note_result(self, served, state, kind):
        """Learn from the end of an attempt, and tell other entries of failures."""
        weight = served.view.record_result(state, kind, self._clock.now())
        if weight:
            self._on_failure(state.registration.instance, weight)

    def work_of(self, route):
        """Return the :class:`ServiceTimeEstimate` of a route."""
        work = self._work.get(route.name)
        if work is None:
            work = ServiceTimeEstimate(objective_ms=route.success.latency_ms)
            work = self._work.setdefault(route.name, work)
        return work

    def learn_work(self, route, served, offer, latency_ms):
        """Learn a route's work, and what a full upstream costs, from a success."""
        work = self.work_of(route)
        used_share = (offer.report.in_flight + 1) / offer.slots
        pace = offer.report.pace
        # The work that is assumed before the first measurement is far too short.
        if work.measured and pace <= MAX_ACCEPTABLE_SLOWDOWN:
            served.crowding.observe(latency_ms / work.value, used_share=used_share)
        if used_share <= NEARLY_FULL_SHARE:
            work.observe(latency_ms, slowdown=pace)

    def _adopt(self, pool):
        known = self._pools.get(pool.name)
        probe = Probe(path=pool.measuring.path, names=self._names)
        if known is not None:
            known.pool = pool
            known.probe = probe
            known.most_urgent = LEAST_URGENT
            return known
        return ServedPool(
            pool=pool,
            view=UpstreamView(
                failure_domain=self._failure_domain, generator=self._decisions.generator
            ),
            repeats=RetryBudget(limits=self._budget),
            probe=probe,
            allowance=ProbeAllowance(now=self._clock.now()),
            crowding=self._decisions.overload_detector(),
        )

    def _note_priority(self, route):
        names = [share.pool for share in route.shares] or [route.pool]
        for name in names:
            served = self._pools.get(name)
            if served is not None:
                served.most_urgent = min(served.most_urgent, route.priority)

    def _update_views(self):
        by_pool = {name: [] for name in self._pools}
        for registration in self._registrations.values():
            if registration.pool in by_pool:
                by_pool[registration.pool].append(registration)
        for name, served in self._pools.items():
            served.view.update(by_pool[name])
