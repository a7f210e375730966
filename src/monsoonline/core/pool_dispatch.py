"""Decisions for one pool: limit, queues, policy, health.

Nothing here blocks: a request for a slot is a ticket that is granted or refused at
once or later, so threads and experiments in virtual time run the same code.
"""

import dataclasses
import threading

from monsoonline.core.admission import (
    ConcurrencyLimit,
    RouteQueues,
    TicketState,
    refuse,
)
from monsoonline.core.balancing import policies
from monsoonline.core.load_view import LoadView
from monsoonline.core.peer_load import PeerLoads, PoolLoad, summarise
from monsoonline.types import AttemptKind

__all__ = ["Assignment", "PoolDispatcher"]

# An upstream that several peers eject is unattractive, but only own failures eject.
PEERS_TO_DISTRUST = 2
# Share of refusals by upstreams above which the pool counts as overloaded.
SHED_TARGET = 0.6
SHED_WEIGHT = 0.05
# Share of refusals by upstreams below which the pool counts as having idle slots.
SPARE_SHED_SHARE = 0.2
# Attempts after which a request waits for the next answer at its entry.
TRIES_AT_ONCE = 2
# Summing costs time per peer and upstream, so it is not done for each message.
PEER_SUM_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """One upstream slot held for one attempt.

    :param pool: name of the pool
    :param upstream: the upstream that shall take the request
    :param route: name of the route
    :param fingerprint: digest of the request, or ``None``
    :param first: whether it is the first attempt of its request
    :param state: the upstream's load state, for the dispatcher's own use
    :param started: the time in ms when it was granted
    """

    pool: str
    upstream: object
    route: str = ""
    fingerprint: str | None = None
    first: bool = True
    state: object = None
    started: float = 0.0


class PoolDispatcher:
    """Grants the slots of one pool.

    :param pool: the :class:`monsoonline.core.model.Pool`
    :param clock: source of time
    :param generator: numpy Generator
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
        """The :class:`LoadView`."""
        return self._view

    @property
    def queues(self):
        """The :class:`RouteQueues`."""
        return self._queues

    @property
    def in_flight(self):
        """Attempts of this entry in flight."""
        return self._in_flight

    @property
    def shed_share(self):
        """Share of the attempts that upstreams refused for their load, averaged."""
        return self._shed_share

    @property
    def has_spare_slots(self):
        """Whether so few attempts are refused that some slots must be idle."""
        return self._shed_share < SPARE_SHED_SHARE

    @property
    def limit(self):
        """Attempts of this entry that may be in flight."""
        if not self._policy.limits_concurrency:
            return self._limit.slots
        return self._limit.value

    def update(self, pool):
        """Use a changed pool."""
        with self._lock:
            if pool == self._pool:
                return
            if pool.policy != self._pool.policy:
                self._policy = policies.get(pool.policy)(generator=self._generator)
            self._pool = pool
            self._view.update(pool)
            self._limit.resize(sum(u.slots for u in pool.upstreams))
            done = self._pump(self._clock.now())
        self._notify(done)

    def set_leaving(self, address, *, leaving):
        """Stop or resume sending to an upstream."""
        with self._lock:
            self._view.set_leaving(address, leaving=leaving)
            done = self._pump(self._clock.now())
        self._notify(done)

    def enqueue(self, ticket):
        """Grant or refuse a ticket now, or queue it."""
        now = self._clock.now()
        with self._lock:
            ticket.enqueued = now
            refusal = self._impossible(ticket, now)
            if refusal is None and ticket.attempts >= TRIES_AT_ONCE and self._in_flight:
                # The next answer tells of a free slot; until then another try would
                # be as blind as the last ones.
                self._queues.push(ticket, first=True)
                return
            if refusal is None:
                if not self._queues.waiting and self._grant(ticket, now):
                    return
                refusal = self._queues.check(
                    ticket, now, latency_ms=self._view.mean_latency_ms
                )
            if refusal is not None:
                self._refuse(ticket, refusal)
                return
            self._queues.push(ticket)
            # The caller sees the state of its own ticket when this returns.
            done = [item for item in self._pump(now) if item is not ticket]
        self._notify(done)

    def expire(self, ticket):
        """Refuse a ticket that still waits; other tickets are left alone."""
        with self._lock:
            if ticket.state is not TicketState.WAITING:
                return
            self._queues.remove(ticket)
            self._refuse(ticket, self._late(ticket))
        ticket.notify()

    def release(self, assignment, result):
        """Give a slot back, learn from the attempt and serve the queues."""
        now = self._clock.now()
        with self._lock:
            state = assignment.state
            self._view.finish(state, result, now, started=assignment.started)
            shed = float(result.kind is AttemptKind.SHED)
            self._shed_share += SHED_WEIGHT * (shed - self._shed_share)
            self._view.saturated = not self.has_spare_slots
            self._limit.answered(
                in_flight=self._in_flight,
                queue_share=self._view.queue_share,
                shed=self._shed_share > SHED_TARGET,
                now=now,
                latency_ms=self._view.mean_latency_ms,
            )
            self._in_flight -= 1
            self._queues.released(now)
            done = self._pump(now)
        self._notify(done)

    def report(self, address, load):
        """Use the report of a probe."""
        with self._lock:
            state = self._view.get(address)
            if state is not None:
                self._view.report(state, load, self._clock.now())

    def snapshot(self):
        """Return this entry's :class:`PoolLoad`."""
        with self._lock:
            payload = summarise(self._view.states)
        return PoolLoad(pool=self._pool.name, payload=payload)

    def observe_peer(self, owner, *, reported, revision, payload):
        """Use a peer's summary.

        :param owner: id of the peer's incarnation
        :param reported: revision that the peer's indexes refer to
        :param revision: revision in effect here
        :param payload: the peer's records
        """
        now = self._clock.now()
        with self._lock:
            self._peers.observe(owner, reported, payload, now)
            if now - self._peers_summed_at < PEER_SUM_MS:
                return
            self._peers_summed_at = now
            self._limit.share(self._peers.count + 1)
            states = self._view.states
            _, ejected = self._peers.totals(revision=revision, size=len(states))
            for state in states:
                state.distrusted = ejected[state.index] >= PEERS_TO_DISTRUST

    def _impossible(self, ticket, now):
        if ticket.fingerprint is not None and self._crashes.blocked(ticket.fingerprint):
            return refuse(
                f"request {ticket.fingerprint!r} was in flight at several crashes of "
                "upstreams",
                code="crashing-request",
                status=422,
            )
        self._view.refresh(now)
        available = self._view.available
        if any(s.address not in ticket.excluded for s in available):
            return None
        return refuse(
            f"pool {ticket.route.pool!r} has no upstream that may be used",
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

    def _pump(self, now):
        """Serve the queues; return the tickets to notify."""
        done = []
        self._view.refresh(now)
        latency_ms = self._view.mean_latency_ms
        while self._queues.waiting and self._in_flight < self.limit:
            ticket, expired = self._queues.pop(now, latency_ms=latency_ms)
            for late in expired:
                self._refuse(late, self._late(late))
            done.extend(expired)
            if ticket is None:
                break
            refusal = self._impossible(ticket, now)
            if refusal is not None:
                self._refuse(ticket, refusal)
            elif not self._grant(ticket, now):
                self._queues.put_back(ticket)
                break
            done.append(ticket)
        return done

    def _late(self, ticket):
        return refuse(
            f"pool {ticket.route.pool!r} had no free slot in time",
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
