"""One load experiment in virtual time over several entries' decision logic."""

import dataclasses
import itertools

import numpy as np

from monsoonline.bench.oracle import OracleDispatcher
from monsoonline.bench.timeline import Timeline
from monsoonline.bench.upstreams import FakeUpstream, Job, UpstreamMode
from monsoonline.core import model
from monsoonline.core.admission import TicketState
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.probing import PROBE_TIMEOUT_MS
from monsoonline.types import AttemptKind, AttemptResult

__all__ = ["Experiment", "RouteResults", "RunResults"]

ORACLE = "oracle"
DEFAULT_POLICY = "adaptive"
WARM_MEMBERSHIP_MS = 12_000.0
PLANNING_MS = 100.0
UNLIMITED = 1_000_000
NOT_RUN_KINDS = frozenset((AttemptKind.CONNECT_FAILED, AttemptKind.SHED))
# Distinct requests among the ordinary traffic of a run with a crashing request.
COMMON_REQUESTS = 200


class RouteResults:
    """What became of the requests of one route."""

    def __init__(self):
        self.arrivals = []
        self.latencies = []
        self.outcomes = []

    def add(self, arrival, latency, outcome):
        """Record one request; outcomes are ``ok``, ``failed``, ``refused``, ``late``.

        :param arrival: arrival in ms
        :param latency: time to the answer in ms
        """
        self.arrivals.append(arrival)
        self.latencies.append(latency)
        self.outcomes.append(outcome)

    def count(self, outcome, *, since=0.0, until=float("inf")):
        """Return the number of requests with an outcome."""
        return sum(
            o == outcome and since <= a < until
            for o, a in zip(self.outcomes, self.arrivals, strict=True)
        )

    def total(self, *, since=0.0, until=float("inf")):
        """Return the number of requests."""
        return sum(since <= a < until for a in self.arrivals)

    def percentile(self, quantile, *, since=0.0, until=float("inf"), deadline_ms):
        """Return a latency quantile in ms.

        Requests without a good answer count with the deadline, so a policy gains
        nothing by refusing.
        """
        values = [
            latency if outcome == "ok" else deadline_ms
            for arrival, latency, outcome in zip(
                self.arrivals, self.latencies, self.outcomes, strict=True
            )
            if since <= arrival < until
        ]
        return float(np.percentile(values, quantile)) if values else float("nan")


@dataclasses.dataclass(kw_only=True)
class RunResults:
    """Everything counted in one run.

    :param routes: :class:`RouteResults` by route name
    :param upstreams: the fake upstreams by pool name
    :param attempts: attempts per address with their kind, as (time, address, kind)
    :param hedges: hedges sent
    :param doubled: non-idempotent requests run more than once
    :param shared_bytes: bytes of shared load items published
    :param shared_largest: largest payload
    """

    routes: dict
    upstreams: dict
    attempts: list
    hedges: int = 0
    doubled: int = 0
    shared_bytes: int = 0
    shared_largest: int = 0


class Attempt:
    """One attempt of a call."""

    __slots__ = ("assignment", "ended", "job", "sent", "upstream")

    def __init__(self, *, assignment, upstream, sent):
        self.assignment = assignment
        self.upstream = upstream
        self.sent = sent
        self.ended = False
        self.job = None


class Call:
    """One caller's request at one entry."""

    __slots__ = (
        "arrival",
        "attempts",
        "crashing",
        "deadline",
        "done",
        "entry",
        "excluded",
        "fingerprint",
        "held",
        "number",
        "on_end",
        "open",
        "route",
        "tries",
        "work_ms",
    )

    def __init__(self, *, number, entry, route, arrival, work_ms):
        self.number = number
        self.entry = entry
        self.route = route
        self.arrival = arrival
        self.deadline = arrival + route.deadline_ms
        self.work_ms = work_ms
        self.excluded = frozenset()
        self.attempts = []
        self.open = 0
        self.tries = 0
        self.done = False
        self.crashing = False
        self.held = False
        self.fingerprint = None
        self.on_end = None


class FakeEntry:
    """An entry: its place and its decision logic."""

    __slots__ = ("dispatcher", "failure_domain", "name")

    def __init__(self, *, name, failure_domain, dispatcher):
        self.name = name
        self.failure_domain = failure_domain
        self.dispatcher = dispatcher


def build_tables(document):
    """Return the tables of an experiment."""
    policy = DEFAULT_POLICY if document.policy == ORACLE else document.policy
    pools = {}
    for pool_index, pool in enumerate(document.pools):
        upstreams = tuple(
            model.Upstream(
                address=f"10.{pool_index}.{i // 250}.{i % 250 + 1}:8000",
                failure_domain=document.failure_domains[
                    i % len(document.failure_domains)
                ],
                slots=pool.slots,
            )
            for i in range(pool.targets)
        )
        pools[pool.name] = model.Pool(
            name=pool.name,
            department="bench",
            upstreams=upstreams,
            policy=policy,
            measuring=model.ProbeBudget(
                probes_per_second=pool.probes_per_second, slot_share=pool.slot_share
            ),
        )
    routes = {
        route.name: model.Route(
            name=route.name,
            department="bench",
            pool=route.pool,
            match=model.RouteMatch(),
            idempotent=route.idempotent,
            deadline_ms=route.deadline_ms,
            tolerance=model.Tolerance(
                queue_ms=route.queue_ms, retries=route.retries, hedges=route.hedges
            ),
        )
        for route in document.routes
    }
    return model.Tables(revision=1, routes=routes, pools=pools)


class Experiment:
    """Runs one :class:`monsoonline.bench.document.RunDocument`.

    :param document: the description
    :param seed: replaces the seed of the description
    """

    def __init__(self, *, document, seed=None):
        self._document = document
        seeds = np.random.SeedSequence(document.seed if seed is None else seed)
        traffic, spells, entries = seeds.spawn(3)
        self._traffic = np.random.default_rng(traffic)
        self._spells = np.random.default_rng(spells)
        self._timeline = Timeline(start_ms=-WARM_MEMBERSHIP_MS)
        self._numbers = itertools.count(1)
        self._once = []
        self._tables = build_tables(document)
        self._upstreams = self._build_upstreams()
        self._by_address = {
            u.address: u for pool in self._upstreams.values() for u in pool
        }
        self._models = {
            u.address: u for pool in self._tables.pools.values() for u in pool.upstreams
        }
        self._oracle = None
        if document.policy == ORACLE:
            self._oracle = OracleDispatcher(
                upstreams=self._upstreams, domain_delay_ms=self._delay
            )
        self._entries = self._build_entries(np.random.default_rng(entries))
        self._results = RunResults(
            routes={route.name: RouteResults() for route in document.routes},
            upstreams=self._upstreams,
            attempts=[],
        )

    @property
    def timeline(self):
        """The virtual time."""
        return self._timeline

    def run(self):
        """Run to the end and return the :class:`RunResults`."""
        document = self._document
        self._warm_up()
        self._schedule_traffic()
        self._schedule_upkeep()
        if document.slow_spells:
            self._schedule_spells()
        for fault in document.faults:
            self._timeline.after(fault.at_ms, self._inject, fault)
        if document.crash:
            self._timeline.after(document.crash.at_ms, self._crash, 0)
        longest = max(route.deadline_ms for route in document.routes)
        self._timeline.run(document.duration_ms + longest + 1.0)
        self._results.doubled = self._count_doubled()
        return self._results

    def _build_upstreams(self):
        document = self._document
        limits = {pool.name: pool.queue_limit for pool in document.pools}
        restart = document.crash.restart_ms if document.crash else 1_000.0
        return {
            name: [
                FakeUpstream(
                    timeline=self._timeline,
                    address=upstream.address,
                    failure_domain=upstream.failure_domain,
                    slots=upstream.slots,
                    # The oracle waits at its slot; a shed request would lose it.
                    queue_limit=(
                        UNLIMITED if document.policy == ORACLE else limits[name]
                    ),
                    restart_ms=restart,
                )
                for upstream in pool.upstreams
            ]
            for name, pool in self._tables.pools.items()
        }

    def _build_entries(self, generator):
        domains = self._document.failure_domains
        entries = []
        for index, child in enumerate(generator.spawn(self._document.entries)):
            dispatcher = self._oracle
            if dispatcher is None:
                dispatcher = Dispatcher(
                    clock=self._timeline, generator=child, owner=f"entry-{index}"
                )
                dispatcher.update_tables(self._tables)
            entries.append(
                FakeEntry(
                    name=f"entry-{index}",
                    failure_domain=domains[index % len(domains)],
                    dispatcher=dispatcher,
                )
            )
        return entries

    def _delay(self, one, other):
        return self._document.near_ms if one == other else self._document.far_ms

    # Traffic

    def _schedule_traffic(self):
        document = self._document
        for pool in document.pools:
            routes = [r for r in document.routes if r.pool == pool.name]
            if not routes:
                continue
            slots = pool.targets * pool.slots
            mean_ms = sum(r.share * r.service_ms for r in routes)
            rate = document.load * slots / mean_ms
            for route in routes:
                self._schedule_route(route, rate * route.share)

    def _schedule_route(self, route, rate):
        """Schedule Poisson arrivals of a route; ``rate`` is in requests per ms."""
        if rate <= 0.0:
            return
        document = self._document
        expected = document.duration_ms * rate
        count = int(expected + 6.0 * expected**0.5 + 10.0)
        times = np.cumsum(self._traffic.exponential(1.0 / rate, count))
        entries = self._traffic.integers(document.entries, size=count)
        sigma = document.service_sigma
        # A lognormal with this location has the mean service_ms.
        work = self._traffic.lognormal(
            np.log(route.service_ms) - sigma**2 / 2.0, sigma, count
        )
        target = self._tables.routes[route.name]
        plan = zip(times.tolist(), entries.tolist(), work.tolist(), strict=True)
        self._next_arrival(target, plan)

    def _next_arrival(self, route, plan):
        item = next(plan, None)
        if item is None or item[0] >= self._document.duration_ms:
            return
        delay = item[0] - self._timeline.now()
        self._timeline.after(delay, self._arrive, route, plan, item)

    def _arrive(self, route, plan, item):
        self._next_arrival(route, plan)
        call = Call(
            number=next(self._numbers),
            entry=self._entries[item[1]],
            route=route,
            arrival=self._timeline.now(),
            work_ms=item[2],
        )
        if self._document.crash:
            call.fingerprint = f"{route.name}-{call.number % COMMON_REQUESTS}"
        self._begin(call)

    # One call

    def _begin(self, call):
        if not call.route.idempotent:
            self._once.append(call.number)
        self._timeline.after(call.route.deadline_ms, self._deadline, call)
        self._ask(call)

    def _ask(self, call):
        ticket = self._enqueue(call, lambda: self._settle(call, ticket))
        if ticket.state is TicketState.WAITING:
            wait = max(0.0, ticket.queue_deadline - self._timeline.now())
            self._timeline.after(wait, call.entry.dispatcher.expire, ticket)
            return
        self._settle(call, ticket)

    def _enqueue(self, call, notify, *, attempts=None):
        if self._oracle is not None:
            upstream = self._oracle.choose(
                call.route.pool,
                work_ms=call.work_ms,
                failure_domain=call.entry.failure_domain,
                excluded=call.excluded,
            )
            return self._oracle.ticket(
                call.route, upstream, self._models[upstream.address]
            )
        return call.entry.dispatcher.enqueue(
            call.route,
            deadline=call.deadline,
            excluded=call.excluded,
            fingerprint=call.fingerprint,
            attempts=call.tries if attempts is None else attempts,
            notify=notify,
        )

    def _settle(self, call, ticket):
        if ticket.refusal is not None:
            if not call.done and not call.open:
                self._end(call, "refused" if not call.attempts else "failed")
            return
        if call.done:
            result = AttemptResult(kind=AttemptKind.CANCELLED, latency_ms=0.0)
            call.entry.dispatcher.release(ticket.assignment, result)
            return
        self._send(call, ticket.assignment)

    def _send(self, call, assignment):
        now = self._timeline.now()
        upstream = self._by_address[assignment.upstream.address]
        attempt = Attempt(assignment=assignment, upstream=upstream, sent=now)
        call.attempts.append(attempt)
        call.open += 1
        call.tries += 1
        delay = self._delay(call.entry.failure_domain, upstream.failure_domain)
        attempt.job = Job(
            number=call.number,
            work_ms=call.work_ms,
            deadline=call.deadline,
            crashing=call.crashing,
            reply=lambda kind, load, draining: self._timeline.after(
                delay, self._reply, call, attempt, kind, load, draining
            ),
        )
        if self._oracle is not None:
            self._oracle.sent(upstream.address, call.number, call.work_ms)
        self._timeline.after(delay, self._submit, upstream, attempt.job)
        if call.open == 1 and call.route.tolerance.hedges:
            wait = call.entry.dispatcher.hedge_delay_ms(call.route)
            if now + wait < call.deadline:
                self._timeline.after(wait, self._hedge, call, attempt)

    def _submit(self, upstream, job):
        if self._oracle is not None:
            self._oracle.arrived(upstream.address, job.number)
        upstream.submit(job)

    def _hedge(self, call, attempt):
        if call.done or attempt.ended or call.open != 1:
            return
        if not call.entry.dispatcher.may_hedge(call.route):
            return
        call.excluded |= {attempt.upstream.address}
        self._send_hedge(call)

    def _place_hedge(self, call, kind):
        """Send a hedge that its upstream refused to another one."""
        result = AttemptResult(kind=kind, latency_ms=0.0)
        if call.entry.dispatcher.may_retry(
            call.route, attempts=call.tries, result=result
        ):
            self._send_hedge(call)

    def _send_hedge(self, call):
        # A hedge that would wait in a queue is worth nothing.
        ticket = self._enqueue(call, lambda: None, attempts=1)
        if ticket.state is TicketState.WAITING:
            call.entry.dispatcher.expire(ticket)
        if ticket.state is TicketState.GRANTED:
            self._results.hedges += 1
            self._send(call, ticket.assignment)

    def _reply(self, call, attempt, kind, load, draining):
        if attempt.ended:
            return
        self._release(call, attempt, kind, load=load, draining=draining)
        if call.done:
            return
        if kind is AttemptKind.SUCCEEDED:
            self._end(call, "ok")
        elif kind is AttemptKind.SHED and call.open == 1:
            self._place_hedge(call, kind)
        elif not call.open:
            self._retry(call, attempt, kind)

    def _retry(self, call, attempt, kind):
        ran = any(a.ended not in NOT_RUN_KINDS for a in call.attempts)
        result = AttemptResult(kind=kind, latency_ms=0.0)
        if (call.route.idempotent or not ran) and call.entry.dispatcher.may_retry(
            call.route, attempts=call.tries, result=result
        ):
            self._ask(call)
            return
        hold = 0.0
        if kind is AttemptKind.CONNECTION_LOST and call.fingerprint is not None:
            hold = call.entry.dispatcher.response_delay_ms(call.fingerprint)
        hold = min(hold, max(0.0, call.deadline - self._timeline.now()))
        call.done = True
        self._timeline.after(hold, self._end, call, "failed")

    def _deadline(self, call):
        if call.done:
            return
        for attempt in call.attempts:
            if not attempt.ended:
                self._release(call, attempt, AttemptKind.TIMED_OUT)
                self._cancel(call, attempt)
        self._end(call, "late" if call.attempts else "refused")

    def _end(self, call, outcome):
        call.done = True
        now = self._timeline.now()
        self._results.routes[call.route.name].add(
            call.arrival, now - call.arrival, outcome
        )
        for attempt in call.attempts:
            if not attempt.ended:
                self._release(call, attempt, AttemptKind.CANCELLED)
                self._cancel(call, attempt)
        if call.on_end is not None:
            call.on_end()

    def _release(self, call, attempt, kind, *, load=None, draining=False):
        attempt.ended = kind
        call.open -= 1
        if kind is not AttemptKind.SHED:
            call.excluded |= {attempt.upstream.address}
        now = self._timeline.now()
        self._results.attempts.append((now, attempt.upstream.address, kind))
        result = AttemptResult(
            kind=kind, latency_ms=now - attempt.sent, load=load, draining=draining
        )
        call.entry.dispatcher.release(attempt.assignment, result)

    def _cancel(self, call, attempt):
        delay = self._delay(call.entry.failure_domain, attempt.upstream.failure_domain)
        self._timeline.after(delay, attempt.upstream.cancel, attempt.job)

    # Upkeep of the entries

    def _warm_up(self):
        """Let the entries know each other before the first request."""
        if self._oracle is not None:
            self._timeline.run(0.0)
            return
        names = [entry.name for entry in self._entries]
        for _ in range(int(WARM_MEMBERSHIP_MS / PLANNING_MS / 5)):
            self._timeline.run(self._timeline.now() + 5 * PLANNING_MS)
            for entry in self._entries:
                entry.dispatcher.observe_members(names)

    def _schedule_upkeep(self):
        if self._oracle is not None:
            return
        for index, entry in enumerate(self._entries):
            share = index / len(self._entries)
            self._timeline.after(share * PLANNING_MS, self._plan, entry)
            self._timeline.after(share * self._document.gossip_ms, self._gossip, entry)

    def _plan(self, entry):
        self._timeline.after(PLANNING_MS, self._plan, entry)
        entry.dispatcher.observe_members([e.name for e in self._entries])
        if not self._document.probes:
            return
        for pool, upstream in entry.dispatcher.due_probes():
            fake = self._by_address[upstream.address]
            delay = self._delay(entry.failure_domain, fake.failure_domain)
            self._timeline.after(delay, self._probe, entry, pool, fake, delay)

    def _probe(self, entry, pool, fake, delay):
        def answer(load):
            self._timeline.after(delay, self._end_probe, entry, pool, fake, load)

        if not fake.probe(answer):
            self._timeline.after(
                PROBE_TIMEOUT_MS, self._end_probe, entry, pool, fake, None
            )

    @staticmethod
    def _end_probe(entry, pool, fake, load):
        answered = load is not None
        entry.dispatcher.note_probe_end(pool, fake.address, answered=answered)
        if answered:
            entry.dispatcher.observe_probe(pool, fake.address, load)

    def _gossip(self, entry):
        self._timeline.after(self._document.gossip_ms, self._gossip, entry)
        snapshot = entry.dispatcher.snapshot()
        for payload in snapshot.encode().values():
            self._results.shared_bytes += len(payload)
            self._results.shared_largest = max(
                self._results.shared_largest, len(payload)
            )
        crashes = [r.encode() for r in entry.dispatcher.take_crash_reports()]
        self._timeline.after(
            self._document.gossip_ms, self._deliver, entry, snapshot, crashes
        )

    def _deliver(self, sender, snapshot, crashes):
        for entry in self._entries:
            if entry is sender:
                continue
            entry.dispatcher.observe_peer(snapshot)
            for payload in crashes:
                entry.dispatcher.observe_crash(payload)

    # Spells, faults, crashes

    def _schedule_spells(self):
        spells = self._document.slow_spells
        for upstreams in self._upstreams.values():
            count = round(spells.share * len(upstreams))
            count = max(count, 1 if spells.share else 0)
            for index in self._spells.choice(len(upstreams), count, replace=False):
                self._slow(upstreams, upstreams[index])

    def _slow(self, upstreams, upstream):
        spells = self._document.slow_spells
        upstream.set_factor(spells.factor)
        length = float(self._spells.uniform(spells.min_ms, spells.max_ms))
        self._timeline.after(length, self._move_spell, upstreams, upstream)

    def _move_spell(self, upstreams, upstream):
        others = [u for u in upstreams if u.factor == 1.0]
        upstream.set_factor(1.0)
        chosen = others[int(self._spells.integers(len(others)))] if others else upstream
        self._slow(upstreams, chosen)

    def _inject(self, fault):
        for index, upstream in enumerate(self._upstreams[fault.pool]):
            named = fault.target is None or fault.target == index
            placed = fault.failure_domain in (None, upstream.failure_domain)
            if named and placed:
                self._apply(fault, upstream)

    def _apply(self, fault, upstream):
        after = self._timeline.after
        if fault.kind == "drain":
            upstream.draining = True
            if fault.duration_ms:
                after(fault.duration_ms, upstream.stop)
            return
        if fault.kind == "cold-start":
            half = (fault.duration_ms or 2_000.0) / 2.0
            upstream.stop()
            upstream.set_factor(fault.factor)
            after(half, upstream.resume)
            after(2.0 * half, upstream.set_factor, 1.0)
            return
        if fault.kind == "slow":
            upstream.set_factor(fault.factor)
        elif fault.kind == "fail-fast":
            upstream.mode = UpstreamMode.FAIL_FAST
        elif fault.kind == "stop":
            upstream.stop()
        else:
            upstream.silence()
        if fault.duration_ms:
            undo = upstream.resume if fault.kind != "slow" else None
            after(fault.duration_ms, undo or (lambda: upstream.set_factor(1.0)))

    def _crash(self, resend):
        """Send the crashing request through the next entry."""
        crash = self._document.crash
        route = self._tables.routes[crash.route]
        call = Call(
            number=-1,
            entry=self._entries[resend % len(self._entries)],
            route=route,
            arrival=self._timeline.now(),
            work_ms=1.0,
        )
        call.crashing = True
        call.fingerprint = "crashing-request"
        if resend < crash.resends:
            call.on_end = lambda: self._timeline.after(
                self._document.far_ms, self._crash, resend + 1
            )
        self._begin(call)

    def _count_doubled(self):
        """Count the non-idempotent requests that ran more than once."""
        totals = {}
        for upstreams in self._upstreams.values():
            for upstream in upstreams:
                for number, count in upstream.runs.items():
                    totals[number] = totals.get(number, 0) + count
        return sum(totals.get(number, 0) > 1 for number in self._once)
