"""State that an entry keeps of its pools, their upstreams and its routes' work."""

import collections
import threading

from monsoonline.adapters.upstream_sessions import Probe
from monsoonline.core.load_shedding import ReturnSchedule
from monsoonline.core.overload import NEARLY_FULL_SHARE
from monsoonline.core.placement import MAX_ACCEPTABLE_SLOWDOWN, ServiceTimeEstimate
from monsoonline.core.probe_allowance import ProbeAllowance
from monsoonline.core.retry_budget import RetryBudget
from monsoonline.core.routing import RouteTable
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.core.upstream_view import UpstreamView
from monsoonline.types import AttemptKind

__all__ = ["ServedPool", "ServedPools"]

# Weight of a probe without a response in time, relative to the failures in
# ``upstream_view``: the second one within the half-life of failures makes an entry
# avoid the upstream.
SLOW_PROBE_WEIGHT = 0.8


class ServedPool:
    """State that an entry keeps of one pool.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param view: its :class:`UpstreamView`
    :param retry_budget: its :class:`RetryBudget`
    :param probe: :class:`monsoonline.adapters.upstream_sessions.Probe` of its upstreams
    :param allowance: its :class:`ProbeAllowance`
    :param overload_detector: its :class:`monsoonline.core.overload.OverloadDetector`
    :param priorities: priority numbers of the routes to the pool; the lowest is the
        most urgent
    """

    def __init__(
        self,
        *,
        pool,
        view,
        retry_budget,
        probe,
        allowance,
        overload_detector,
        priorities,
    ):
        self.pool = pool
        self.view = view
        self.retry_budget = retry_budget
        self.probe = probe
        self.allowance = allowance
        self.overload_detector = overload_detector
        self.return_schedule = ReturnSchedule()
        self.priorities = priorities

    def rank_of(self, route):
        """Return how many priorities of the pool are more urgent than a route's."""
        return sum(priority < route.priority for priority in self.priorities)


class ServedPools:
    """The tables in effect and the state of the pools that they define.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param budget: :class:`monsoonline.core.retry_budget.RetryLimits`
    :param failure_domain: failure domain of this entry
    :param on_failure: called with instance and weight of each observed failure
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
    :param holds: :class:`monsoonline.core.upstream_holds.UpstreamHolds`
    """

    def __init__(
        self, *, clock, names, budget, failure_domain, on_failure, decisions, holds=None
    ):
        self._holds = holds
        self._decisions = decisions
        self._clock = clock
        self._names = names
        self._budget = budget
        self._failure_domain = failure_domain
        self._on_failure = on_failure
        self._lock = threading.Lock()
        self._tables = None
        self._tables_applied_at = None
        self._route_table = RouteTable(routes=())
        self._registrations = {}
        self._pools = {}
        self._work = {}
        self._open_attempts = 0

    @property
    def open_attempts(self):
        """Number of attempts that have not ended, over all upstreams."""
        return self._open_attempts

    @property
    def has_tables(self):
        """Whether requests can be matched to routes."""
        return self._tables is not None

    @property
    def tables_revision(self):
        """Revision of the tables in effect, 0 before the first ones."""
        return StoreRevision(0 if self._tables is None else self._tables.revision)

    @property
    def tables_age_ms(self):
        """Time since the tables came into effect, ``None`` before the first ones."""
        if self._tables_applied_at is None:
            return None
        return self._clock.now() - self._tables_applied_at

    def match(self, request):
        """Return the route of a request, or ``None``."""
        return self._route_table.match(request)

    def get(self, name):
        """Return the :class:`ServedPool` of a name, or ``None``."""
        return self._pools.get(name)

    def use_tables(self, tables):
        """Apply tables.

        They may have an older revision than those in effect, see
        :class:`monsoonline.core.tables_order.TablesOrder`.
        """
        with self._lock:
            route_table = RouteTable(routes=tables.routes.values())
            priorities = priorities_of(tables.routes.values())
            pools = {
                name: self._update_or_create(pool, priorities.get(name, frozenset()))
                for name, pool in tables.pools.items()
            }
            self._update_views(pools)
            # Requests may be matched meanwhile, by the former routes and then by the
            # new ones, and find the pools of both.
            self._pools = self._pools | pools
            self._route_table = route_table
            self._tables = tables
            self._pools = pools
            self._tables_applied_at = self._clock.now()

    def use_budget(self, budget):
        """Apply changed :class:`monsoonline.core.retry_budget.RetryLimits`."""
        with self._lock:
            self._budget = budget
            for served in self._pools.values():
                served.retry_budget.use_limits(budget)

    def use_registrations(self, registrations):
        """Replace the registrations of upstreams, given by instance."""
        with self._lock:
            self._registrations = registrations
            self._update_views(self._pools)

    def served(self):
        """Return all :class:`ServedPool` items."""
        return tuple(self._pools.values())

    def find_state(self, instance):
        """Return the state of an upstream, ``None`` if it is not known."""
        for served in self.served():
            state = served.view.states.get(instance)
            if state is not None:
                return state
        return None

    def note_peer_failure(self, instance, weight):
        """Record an upstream failure that another entry observed."""
        now = self._clock.now()
        for served in self._pools.values():
            served.view.add_peer_failure(instance, weight, now)

    def note_peer_loads(self, notice):
        """Record the load reports that another entry received."""
        now = self._clock.now()
        for served in self._pools.values():
            served.view.apply_load_notice(notice, now)

    def note_unreachable(self, state):
        """Record that an upstream accepted no connection or did not respond."""
        for served in self._pools.values():
            if state.registration.instance in served.view.states:
                self.note_result(served, state, AttemptKind.CONNECT_FAILED)
                return

    def note_slow_probe(self, state):
        """Record that an upstream did not respond to a probe within a short time.

        Other entries are not notified, because the cause may be this entry or its
        network.
        """
        state.add_failure(SLOW_PROBE_WEIGHT, self._clock.now())

    def note_sent(self, state):
        """Count an attempt that is sent to an upstream."""
        with self._lock:
            state.in_flight += 1
            self._open_attempts += 1

    def note_ended(self, served, state, kind):
        """Record the end and the result of an attempt."""
        with self._lock:
            state.in_flight -= 1
            self._open_attempts -= 1
        self.note_result(served, state, kind)

    def note_result(self, served, state, kind):
        """Record the result of an attempt and report a failure to other entries."""
        weight = served.view.record_result(state, kind, self._clock.now())
        if weight:
            self._on_failure(state.registration.instance, weight)

    def work_of(self, route):
        """Return the service time estimate of a route.

        :returns: :class:`monsoonline.core.placement.ServiceTimeEstimate`
        """
        work = self._work.get(route.name)
        if work is None:
            work = ServiceTimeEstimate(objective_ms=route.success.latency_ms)
            work = self._work.setdefault(route.name, work)
        return work

    def update_work(self, route, served, probe_result, latency_ms):
        """Update a route's work and the cost of a full upstream after a success."""
        work = self.work_of(route)
        used_share = (probe_result.report.in_flight + 1) / probe_result.slots
        pace = probe_result.report.pace
        # The default work, used before the first measurement, is far too short to
        # compare a latency with.
        if work.measured and pace <= MAX_ACCEPTABLE_SLOWDOWN:
            served.overload_detector.observe(
                latency_ms / work.value, used_share=used_share
            )
        if used_share <= NEARLY_FULL_SHARE:
            work.observe(latency_ms, slowdown=pace)

    def _update_or_create(self, pool, priorities):
        existing = self._pools.get(pool.name)
        probe = Probe(path=pool.measuring.path, names=self._names)
        if existing is not None:
            existing.pool = pool
            existing.probe = probe
            existing.priorities = priorities
            return existing
        return ServedPool(
            pool=pool,
            view=UpstreamView(
                failure_domain=self._failure_domain,
                generator=self._decisions.generator,
                holds=self._holds,
            ),
            retry_budget=RetryBudget(limits=self._budget),
            probe=probe,
            allowance=ProbeAllowance(now=self._clock.now()),
            overload_detector=self._decisions.overload_detector(),
            priorities=priorities,
        )

    def _update_views(self, pools):
        by_pool = {name: [] for name in pools}
        for registration in self._registrations.values():
            if registration.pool in by_pool:
                by_pool[registration.pool].append(registration)
        for name, served in pools.items():
            served.view.update(by_pool[name])


def priorities_of(routes):
    """Return the priorities of the routes to each pool by the pool's name."""
    priorities = collections.defaultdict(set)
    for route in routes:
        for name in [share.pool for share in route.shares] or [route.pool]:
            priorities[name].add(route.priority)
    return {name: frozenset(found) for name, found in priorities.items()}
