"""Interface of the decision logic to the relay: selects upstreams for requests."""

import contextlib
import functools
import queue
import threading
import uuid

import numpy as np

from monsoonline.core.admission import Ticket, TicketState, not_run_refusal
from monsoonline.core.crashes import RESPONSE_DELAY_MS, CrashReport, CrashTracker
from monsoonline.core.peer_load import LoadSnapshot
from monsoonline.core.pool_dispatch import Assignment, PoolDispatcher
from monsoonline.core.probing import ProbePlanner
from monsoonline.core.retries import RouteBudgets
from monsoonline.types import AttemptKind

__all__ = ["Assignment", "Dispatcher"]

# Drain notices are repeated while an upstream is draining. One that is not repeated
# expires after this time, so a new server with the same address is used again.
DRAIN_NOTICE_LIFETIME_MS = 300_000.0
# Relative increase of the hedge delay at a shed share of 1.0.
HEDGE_DELAY_INCREASE = 2.0
RESPONSE_SOURCE = "answer"
LATENCY_KINDS = frozenset(
    (AttemptKind.SUCCEEDED, AttemptKind.CANCELLED, AttemptKind.TIMED_OUT)
)
COMPLETED_KINDS = frozenset((AttemptKind.SUCCEEDED, AttemptKind.FAILED_RESPONSE))


class Dispatcher:
    """Selects upstreams for the requests of one entry.

    :param clock: time source
    :param generator: numpy random generator; a new one when omitted
    :param owner: id of the incarnation of this entry; a random one when omitted
    """

    def __init__(self, *, clock, generator=None, owner=None):
        self._clock = clock
        self._generator = generator or np.random.default_rng()
        self._owner = owner or uuid.uuid4().hex[:16]
        self._lock = threading.Lock()
        self._revision = 0
        self._pools = {}
        self._planners = {}
        self._budgets = {}
        self._leaving = {}
        self._crashes = CrashTracker(clock=clock, owner=self._owner)

    @property
    def pools(self):
        """Mapping from pool name to :class:`PoolDispatcher`."""
        return self._pools

    @property
    def crashes(self):
        """The :class:`CrashTracker` of this entry."""
        return self._crashes

    @property
    def leaving(self):
        """Mapping from address of a leaving upstream to the sources of the notice."""
        with self._lock:
            return {a: tuple(sources) for a, sources in self._leaving.items()}

    def update_tables(self, tables):
        """Apply the pools of newly accepted tables."""
        with self._lock:
            pools = {}
            planners = {}
            for name, pool in tables.pools.items():
                pools[name], planners[name] = self._update_or_create(pool)
            self._pools = pools
            self._planners = planners
            self._revision = tables.revision
            leaving = list(self._leaving)
        for address in leaving:
            self._apply_leaving(address)

    def set_leaving(self, address, *, source, leaving=True):
        """Record or withdraw a notice that an upstream is leaving.

        :param address: ``host:port`` of the upstream
        :param source: origin of the notice, such as ``answer`` or ``vm-list``; an
            upstream receives no new requests while any source reports it as leaving
        :param leaving: ``False`` to withdraw the notice of this source
        """
        with self._lock:
            sources = self._leaving.setdefault(address, {})
            if leaving:
                sources[source] = self._clock.now()
            else:
                sources.pop(source, None)
            if not sources:
                del self._leaving[address]
        self._apply_leaving(address)

    def expire_leaving(self):
        """Remove drain notices that were not repeated; must be called periodically."""
        oldest = self._clock.now() - DRAIN_NOTICE_LIFETIME_MS
        with self._lock:
            stale = [
                (address, source)
                for address, sources in self._leaving.items()
                for source, noticed_at in sources.items()
                if noticed_at < oldest
            ]
        for address, source in stale:
            self.set_leaving(address, source=source, leaving=False)

    def acquire(
        self, route, *, deadline, excluded=frozenset(), fingerprint=None, attempts=None
    ):
        """Wait for a slot of the pool of a route.

        :param route: the matched route
        :param deadline: deadline of the request, an instant in ms
        :param excluded: addresses of upstreams used by earlier attempts
        :param fingerprint: digest that identifies resends of the same request
        :param attempts: number of earlier attempts; by default the number of
            excluded addresses
        :returns: an :class:`Assignment`, which must be released exactly once
        :raises Refusal: with ``NOT_RUN`` when no slot is granted in time
        """
        # Creating a SimpleQueue takes a tenth of the time of a threading.Event, and
        # most requests do not wait.
        granted = queue.SimpleQueue()
        ticket = self.enqueue(
            route,
            deadline=deadline,
            excluded=excluded,
            fingerprint=fingerprint,
            attempts=attempts,
            notify=functools.partial(granted.put, None),
        )
        while ticket.state is TicketState.WAITING:
            remaining = ticket.queue_deadline - self._clock.now()
            if remaining <= 0:
                self.expire(ticket)
                break
            with contextlib.suppress(queue.Empty):
                granted.get(timeout=remaining / 1e3)
        if ticket.refusal is not None:
            raise ticket.refusal
        return ticket.assignment

    def enqueue(
        self,
        route,
        *,
        deadline,
        excluded=frozenset(),
        fingerprint=None,
        attempts=None,
        notify,
    ):
        """Request a slot of the pool of a route without waiting.

        :param route: the matched route
        :param deadline: deadline of the request, an instant in ms
        :param excluded: addresses of upstreams used by earlier attempts
        :param fingerprint: digest that identifies resends of the same request
        :param attempts: number of earlier attempts; by default the number of
            excluded addresses
        :param notify: called without arguments when a waiting ticket is granted or
            refused
        :returns: a granted, refused or waiting :class:`Ticket`
        """
        queue_deadline = min(deadline, self._clock.now() + route.tolerance.queue_ms)
        ticket = Ticket(
            route=route,
            queue_deadline=queue_deadline,
            deadline=deadline,
            excluded=excluded,
            fingerprint=fingerprint,
            attempts=len(excluded) if attempts is None else attempts,
            notify=notify,
        )
        pool = self._pools.get(route.pool)
        if pool is None:
            ticket.state = TicketState.REFUSED
            ticket.refusal = not_run_refusal(
                f"pool {route.pool!r} is not in the tables", code="no-pool"
            )
            return ticket
        if not ticket.attempts:
            self._route_budgets(route).record_first_attempt()
        pool.enqueue(ticket)
        return ticket

    def expire(self, ticket):
        """Refuse a waiting ticket whose queue deadline has passed."""
        pool = self._pools.get(ticket.route.pool)
        if pool is not None:
            pool.expire(ticket)
        if ticket.state is TicketState.WAITING:
            ticket.refusal = not_run_refusal(
                f"pool {ticket.route.pool!r} was removed from the tables",
                code="no-pool",
            )
            ticket.state = TicketState.REFUSED
            ticket.notify()

    def release(self, assignment, result):
        """Release a slot and record the result of the attempt.

        :param assignment: the return value of :meth:`acquire`
        :param result: the :class:`monsoonline.types.AttemptResult`
        """
        address = assignment.upstream.address
        if result.draining:
            self.set_leaving(address, source=RESPONSE_SOURCE)
        if assignment.fingerprint is not None:
            self._record_crash(address, assignment.fingerprint, result)
        budgets = self._budgets.get(assignment.route)
        if budgets is not None and assignment.first and result.kind in LATENCY_KINDS:
            budgets.observe(result.latency_ms)
        pool = self._pools.get(assignment.pool)
        if pool is not None:
            pool.release(assignment, result)

    def may_retry(self, route, *, attempts, result):
        """Return whether another attempt is allowed, and charge it to the budget.

        :param route: the matched route
        :param attempts: number of attempts so far
        :param result: the :class:`monsoonline.types.AttemptResult` of the last one
        """
        return self._route_budgets(route).may_retry(
            route, attempts=attempts, result=result
        )

    def is_stale(self, assignment):
        """Return whether the assigned upstream has since been marked as leaving."""
        return assignment.upstream.address in self._leaving

    def may_hedge(self, route):
        """Return whether a hedge is allowed, and charge it to the budget."""
        pool = self._pools.get(route.pool)
        spare = pool is not None and pool.has_spare_slots
        return self._route_budgets(route).may_hedge(route, spare=spare)

    def hedge_delay_ms(self, route):
        """Return the delay in ms after which a pending attempt may be hedged."""
        budgets = self._route_budgets(route)
        delay = budgets.hedge_delay_ms
        pool = self._pools.get(route.pool)
        if pool is None:
            return delay
        if pool.has_spare_slots:
            return budgets.spare_hedge_delay_ms
        # In a saturated pool, hedges take slots from first attempts. A longer delay
        # limits them to requests on slow upstreams, where they are worth the cost.
        return delay * (1.0 + HEDGE_DELAY_INCREASE * pool.shed_share)

    def response_delay_ms(self, fingerprint):
        """Return how long in ms to delay the response after a lost connection.

        The caller of a poison request may resend it as soon as it has the error
        response. By then the other entries must know of the crash.
        """
        return RESPONSE_DELAY_MS if self._crashes.suspected(fingerprint) else 0.0

    def snapshot(self):
        """Return the :class:`LoadSnapshot` to share with peers."""
        pools = tuple(pool.snapshot() for pool in self._pools.values())
        return LoadSnapshot(owner=self._owner, revision=self._revision, pools=pools)

    def observe_peer(self, snapshot):
        """Process a :class:`LoadSnapshot` of a peer."""
        if snapshot.owner == self._owner:
            return
        for load in snapshot.pools:
            pool = self._pools.get(load.pool)
            if pool is not None:
                pool.observe_peer(
                    snapshot.owner,
                    peer_revision=snapshot.revision,
                    revision=self._revision,
                    payload=load.payload,
                )

    def take_crash_reports(self):
        """Return the :class:`CrashReport` items that changed since the last call."""
        return self._crashes.take_reports()

    def observe_crash(self, payload):
        """Process a shared item of kind ``crash`` of a peer.

        :param payload: the encoded :class:`CrashReport`
        :raises ValueError: when the payload is malformed
        """
        self._crashes.observe(CrashReport.decode(payload))

    def observe_members(self, alive, *, left=()):
        """Update the members that share the probe budget.

        :param alive: names of the entries heard from recently
        :param left: names of the entries that ended in a planned stop
        """
        now = self._clock.now()
        with self._lock:
            for planner in self._planners.values():
                planner.observe_members(alive, now, left=left)

    def due_probes(self):
        """Return the ``(pool name, upstream)`` pairs to probe now."""
        now = self._clock.now()
        with self._lock:
            return tuple(
                (name, upstream)
                for name, planner in self._planners.items()
                for upstream in planner.due(now)
            )

    def note_probe_end(self, pool_name, address, *, answered):
        """Record the end of a probe returned by :meth:`due_probes`.

        :param pool_name: name of the pool
        :param address: address of the upstream
        :param answered: whether the upstream responded before the probe was abandoned
        """
        now = self._clock.now()
        with self._lock:
            planner = self._planners.get(pool_name)
            if planner is not None:
                planner.note_end(address, now, answered=answered)

    def observe_probe(self, pool_name, address, load):
        """Process the :class:`monsoonline.types.LoadReport` of a probe."""
        pool = self._pools.get(pool_name)
        if pool is not None:
            pool.observe_report(address, load)

    def _update_or_create(self, pool):
        existing = self._pools.get(pool.name)
        if existing is not None:
            existing.update(pool)
            self._planners[pool.name].update(pool)
            return existing, self._planners[pool.name]
        created = PoolDispatcher(
            pool=pool,
            clock=self._clock,
            generator=self._generator.spawn(1)[0],
            crashes=self._crashes,
        )
        for address in self._leaving:
            created.set_leaving(address, leaving=True)
        planner = ProbePlanner(owner=self._owner, pool=pool, now=self._clock.now())
        return created, planner

    def _apply_leaving(self, address):
        leaving = address in self._leaving
        for pool in self._pools.values():
            pool.set_leaving(address, leaving=leaving)

    def _record_crash(self, address, fingerprint, result):
        kind = result.kind
        if kind is AttemptKind.CONNECTION_LOST and not result.reachable:
            self._crashes.connection_lost(address, fingerprint)
            return
        self._crashes.finished(address, fingerprint, completed=kind in COMPLETED_KINDS)

    def _route_budgets(self, route):
        budgets = self._budgets.get(route.name)
        if budgets is None:
            budgets = self._budgets.setdefault(route.name, RouteBudgets())
        return budgets
