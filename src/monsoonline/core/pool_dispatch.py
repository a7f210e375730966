"""Slot assignment of one pool: concurrency limit, queues, policy and health.

No call here waits for a slot. A request for a slot is a ticket that is granted or
refused immediately or later, so threads and experiments in virtual time run the
same code.
"""

import dataclasses
import threading

from monsoonline.core.admission import (
    ConcurrencyLimit,
    RouteQueues,
    TicketState,
    not_run_refusal,
)
from monsoonline.core.balancing import policies
from monsoonline.core.load_view import LoadView
from monsoonline.core.peer_load import PeerLoads, PoolLoad, encode_load
from monsoonline.types import AttemptKind

__all__ = ["Assignment", "PoolDispatcher"]

# Number of peers that must have ejected an upstream before this entry increases its
# load estimate. Only failures that this entry observes eject an upstream.
MIN_EJECTING_PEERS = 2
# Share of attempts shed by upstreams above which the pool counts as overloaded.
OVERLOAD_SHED_SHARE = 0.6
# Weight of one attempt in the moving average of the shed share.
SHED_WEIGHT = 0.05
# Share of attempts shed by upstreams below which the pool is taken to have idle slots.
SPARE_SHED_SHARE = 0.2
# Number of attempts of a request that are sent at once; later ones wait until this
# entry receives a response from the pool.
MAX_IMMEDIATE_ATTEMPTS = 2
# The cost of a sum grows with peers and upstreams, so not every message triggers one.
PEER_SUM_INTERVAL_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Slot of an upstream assigned to one attempt.

    :param pool: name of the pool
    :param upstream: the upstream to which the request is sent
    :param route: name of the route
    :param fingerprint: digest of the request, or ``None``
    :param first: whether it is the first attempt of the request
    :param state: load state of the upstream, internal to the dispatcher
    :param started: time in ms of the assignment
    """

    pool: str
    upstream: object
    route: str = ""
    fingerprint: str | None = None
    first: bool = True
    state: object = None
    started: float = 0.0


class PoolDispatcher:
    """Assigns the slots of one pool to requests.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param clock: time source
    :param generator: numpy random generator
    :param crashes: the :class:`monsoonline.core.crashes.CrashTracker`
    """

    def __init__(self, *, pool, clock, generator, crashes):
        self._pool = pool
        self._clock = clock
        self._generator = generator
        self._crashes = crashes
        self._lock = threading.Lock()
        self._view = LoadView(pool=pool, generator=generator)
        self._policy = policies.get(pool.policy)(generator=generator)
        self._queues = RouteQueues(generator=generator)
        self._limit = ConcurrencyLimit(slots=sum(u.slots for u in pool.upstreams))
        self._peers = PeerLoads()
        self._peers_summed_at = float("-inf")
        self._shed_share = 0.0
        self._in_flight = 0

    @property
    def pool(self):
        """The pool in effect."""
        return self._pool

    @property
    def view(self):
        """The :class:`LoadView` of the pool."""
        return self._view

    @property
    def queues(self):
        """The :class:`RouteQueues` of the pool."""
        return self._queues

    @property
    def in_flight(self):
        """Number of attempts of this entry in flight."""
        return self._in_flight

    @property
    def shed_share(self):
        """Moving average of the share of attempts shed by upstreams."""
        return self._shed_share

    @property
    def has_spare_slots(self):
        """Whether so few attempts are shed that some slots must be idle."""
        return self._shed_share < SPARE_SHED_SHARE

    @property
    def limit(self):
        """Number of attempts of this entry that may be in flight."""
        if not self._policy.limits_concurrency:
            return self._limit.slots
        return self._limit.value

    def update(self, pool):
        """Apply a changed pool."""
        with self._lock:
            if pool == self._pool:
                return
            if pool.policy != self._pool.policy:
                self._policy = policies.get(pool.policy)(generator=self._generator)
            self._pool = pool
            self._view.update(pool)
            self._limit.resize(sum(u.slots for u in pool.upstreams))
            settled = self._serve_queues(self._clock.now())
        self._notify(settled)

    def set_leaving(self, address, *, leaving):
        """Stop or resume sending requests to an upstream."""
        with self._lock:
            self._view.set_leaving(address, leaving=leaving)
            settled = self._serve_queues(self._clock.now())
        self._notify(settled)

    def enqueue(self, ticket):
        """Grant, refuse or queue a ticket."""
        now = self._clock.now()
        with self._lock:
            ticket.enqueued = now
            refusal = self._refusal_for(ticket, now)
            if (
                refusal is None
                and ticket.attempts >= MAX_IMMEDIATE_ATTEMPTS
                and self._in_flight
            ):
                # The next response indicates a free slot. Another attempt before it
                # has no more information than the previous ones.
                self._queues.push(ticket, first=True)
                return
            if refusal is None:
                if not self._queues.waiting and self._grant(ticket, now):
                    return
                refusal = self._queues.check_admission(
                    ticket, now, latency_ms=self._view.mean_latency_ms
                )
            if refusal is not None:
                self._refuse(ticket, refusal)
                return
            self._queues.push(ticket)
            # The caller reads the state of its own ticket when this method returns.
            settled = [item for item in self._serve_queues(now) if item is not ticket]
        self._notify(settled)

    def expire(self, ticket):
        """Refuse a ticket if it is still waiting."""
        with self._lock:
            if ticket.state is not TicketState.WAITING:
                return
            self._queues.remove(ticket)
            self._refuse(ticket, self._no_slot_refusal(ticket))
        ticket.notify()

    def release(self, assignment, result):
        """Release a slot, record the result of the attempt and serve the queues."""
        now = self._clock.now()
        with self._lock:
            state = assignment.state
            self._view.finish(state, result, now, started=assignment.started)
            shed = float(result.kind is AttemptKind.SHED)
            self._shed_share += SHED_WEIGHT * (shed - self._shed_share)
            self._view.saturated = not self.has_spare_slots
            self._limit.record_response(
                in_flight=self._in_flight,
                queue_per_slot=self._view.queue_per_slot,
                shed=self._shed_share > OVERLOAD_SHED_SHARE,
                now=now,
                latency_ms=self._view.mean_latency_ms,
            )
            self._in_flight -= 1
            self._queues.record_release(now)
            settled = self._serve_queues(now)
        self._notify(settled)

    def observe_report(self, address, load):
        """Process the load report of a probe."""
        with self._lock:
            state = self._view.get(address)
            if state is not None:
                self._view.observe_report(state, load, self._clock.now())

    def snapshot(self):
        """Return the :class:`PoolLoad` of this entry."""
        with self._lock:
            payload = encode_load(self._view.states)
        return PoolLoad(pool=self._pool.name, payload=payload)

    def observe_peer(self, owner, *, peer_revision, revision, payload):
        """Process a load summary of a peer.

        :param owner: id of the incarnation of the peer
        :param peer_revision: revision of the tables to which its indexes refer
        :param revision: revision of the tables in effect at this entry
        :param payload: records of type :data:`monsoonline.core.peer_load.LOAD_RECORD`
        """
        now = self._clock.now()
        with self._lock:
            self._peers.observe(owner, peer_revision, payload, now)
            if now - self._peers_summed_at < PEER_SUM_INTERVAL_MS:
                return
            self._peers_summed_at = now
            self._limit.set_entry_count(self._peers.count + 1)
            states = self._view.states
            _, ejecting_peers = self._peers.totals(revision=revision, size=len(states))
            for state in states:
                state.ejected_by_peers = (
                    ejecting_peers[state.index] >= MIN_EJECTING_PEERS
                )

    def _refusal_for(self, ticket, now):
        """Return why a ticket cannot be served now, or ``None``."""
        if ticket.fingerprint is not None and self._crashes.blocked(ticket.fingerprint):
            return not_run_refusal(
                f"request {ticket.fingerprint!r} was in flight during several crashes "
                "of upstreams",
                code="crashing-request",
                status=422,
            )
        self._view.end_expired_ejections(now)
        available = self._view.available
        if any(s.address not in ticket.excluded for s in available):
            return None
        return not_run_refusal(
            f"pool {ticket.route.pool!r} has no available upstream that earlier "
            "attempts have not used",
            code="no-upstream",
            retry_after_ms=self._queues.retry_after_ms(),
        )

    def _grant(self, ticket, now):
        if self._in_flight >= self.limit:
            return False
        state = self._policy.choose(self._view, now, ticket.excluded)
        if state is None:
            return False
        self._view.start(state, now)
        self._in_flight += 1
        if ticket.fingerprint is not None:
            self._crashes.started(state.address, ticket.fingerprint)
        ticket.assignment = Assignment(
            pool=self._pool.name,
            upstream=state.upstream,
            route=ticket.route.name,
            fingerprint=ticket.fingerprint,
            first=not ticket.attempts,
            state=state,
            started=now,
        )
        ticket.state = TicketState.GRANTED
        return True

    def _serve_queues(self, now):
        """Serve the queues; return the granted and refused tickets, to be notified."""
        settled = []
        self._view.end_expired_ejections(now)
        latency_ms = self._view.mean_latency_ms
        while self._queues.waiting and self._in_flight < self.limit:
            ticket, expired = self._queues.pop(now, latency_ms=latency_ms)
            for expired_ticket in expired:
                self._refuse(expired_ticket, self._no_slot_refusal(expired_ticket))
            settled.extend(expired)
            if ticket is None:
                break
            refusal = self._refusal_for(ticket, now)
            if refusal is not None:
                self._refuse(ticket, refusal)
            elif not self._grant(ticket, now):
                self._queues.put_back(ticket)
                break
            settled.append(ticket)
        return settled

    def _no_slot_refusal(self, ticket):
        return not_run_refusal(
            f"pool {ticket.route.pool!r} had no free slot before the request expired",
            code="no-slot",
            retry_after_ms=self._queues.retry_after_ms(),
        )

    @staticmethod
    def _refuse(ticket, refusal):
        ticket.state = TicketState.REFUSED
        ticket.refusal = refusal

    @staticmethod
    def _notify(tickets):
        for ticket in tickets:
            ticket.notify()
