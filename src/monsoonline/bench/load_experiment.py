"""Load patterns in virtual time over the request path that entries use.

Routing, placement, admission, repeats and second attempts are the code of an entry.
Only its waits, its sessions and the upstreams are virtual.
"""

import dataclasses
import itertools
import random

from monsoonline.bench.load_callers import (
    CallerRequest,
    CallerRequestResult,
    RequestEnd,
    arrival_times,
    end_of,
)
from monsoonline.bench.load_policies import PRESENT, policies
from monsoonline.bench.load_upstreams import SharedUpstream
from monsoonline.bench.timeline import Timeline
from monsoonline.bench.virtual_sessions import (
    NAMES,
    VirtualNetwork,
    VirtualSessionPool,
    parse_load,
)
from monsoonline.bench.virtual_tasks import VirtualPoller, VirtualTasks
from monsoonline.core import model
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.fleet_audience import NEAR_RECEIVERS
from monsoonline.core.fleet_messages import LoadNotice
from monsoonline.core.registrations import Registration
from monsoonline.core.repeat_window import RepeatLimits
from monsoonline.entry.placed_relay import PlacedRelay
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Outcome, Request

__all__ = ["LoadExperiment", "LoadResults"]

MAX_TASKS = 4_000
# Shortest time that is left for a try to be worth sending.
LEAST_LEFT_MS = 1.0
# Share of the turns of a disturbed upstream that are slow.
SLOW_TURNS = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadResults:
    """Everything counted in one run.

    :param requests: a :class:`CallerRequestResult` for each request
    :param probes: probes that upstreams got
    :param attempts: requests that upstreams got
    :param second_attempts: attempts sent while an earlier one was open
    :param doubled: requests of routes that are not idempotent that ran twice
    """

    requests: tuple[CallerRequestResult, ...]
    probes: int
    attempts: int
    second_attempts: int
    doubled: int


class LoadEntry:
    """One entry.

    :param name: its name
    :param failure_domain: where it runs
    """

    def __init__(self, *, name, failure_domain):
        self.name = name
        self.failure_domain = failure_domain
        self.relay = None
        self.metrics = []
        # Changes when callers lose the entry, so that later answers reach none.
        self.incarnation = 0
        # Whether the entry runs, and whether callers reach it.
        self.up = True
        self.reachable = True


class LoadExperiment:
    """Runs one :class:`monsoonline.bench.load_document.LoadDocument`.

    :param document: the description
    :param policy: name of the decisions, one of ``policies.names``
    :param seed: replaces the seed of the description
    """

    def __init__(self, *, document, policy=PRESENT, seed=None):
        self._document = document
        self._policy = policies.get(policy)
        # Callers and neighbours of one seed are the same for every policy.
        seed = document.seed if seed is None else seed
        self._traffic = random.Random(f"traffic-{seed}")
        self._machines = random.Random(f"machines-{seed}")
        self._choices = random.Random(f"choices-{seed}")
        self._timeline = Timeline()
        self._tasks = VirtualTasks(limit=MAX_TASKS)
        self._sockets = {}
        self._numbers = itertools.count(1)
        self._tables = build_tables(document)
        self._upstreams = self._build_upstreams()
        self._by_address = {
            u.address: u for pool in self._upstreams.values() for u in pool
        }
        domains = document.failure_domains
        self._entries = [
            LoadEntry(name=f"entry-{n}", failure_domain=domains[n % len(domains)])
            for n in range(document.entries)
        ]
        self._open = {}
        self._results = []

    def run(self):
        """Run to the end and return the :class:`LoadResults`."""
        document = self._document
        try:
            for entry in self._entries:
                self._start_entry(entry)
            for pool in document.pools:
                self._schedule_neighbours(pool)
            for pattern in document.patterns:
                self._timeline.after(pattern.at_ms, self._begin, pattern)
                self._timeline.after(end_of(pattern), self._finish, pattern)
            for route in document.routes:
                self._schedule_route(route)
            longest = max(route.deadline_ms for route in document.routes)
            self._timeline.run(document.duration_ms + longest + 1.0)
        finally:
            self._tasks.close()
        for request in list(self._open.values()):
            self._end(request, RequestEnd.FAILED)
        return self._summary()

    def _summary(self):
        upstreams = self._by_address.values()
        runs = {}
        for upstream in upstreams:
            for number, count in upstream.runs.items():
                runs[number] = runs.get(number, 0) + count
        metrics = [m for entry in self._entries for m in entry.metrics]
        return LoadResults(
            requests=tuple(result for _, result in self._results),
            probes=sum(len(u.probes) for u in upstreams),
            attempts=sum(len(u.arrivals) for u in upstreams),
            second_attempts=sum(
                m.value("hedges_total", route=route.name)
                for m in metrics
                for route in self._document.routes
            ),
            doubled=sum(
                runs.get(request.number, 0) > request.tries
                for request, _ in self._results
                if not request.route.idempotent
            ),
        )

    # Entries and upstreams

    def _build_upstreams(self):
        domains = self._document.failure_domains
        return {
            pool.name: [
                SharedUpstream(
                    timeline=self._timeline,
                    address=f"10.{index}.{n // 250}.{n % 250 + 1}:8000",
                    failure_domain=domains[n % len(domains)],
                    slots=pool.slots,
                    queue_limit=pool.queue_limit,
                    restart_ms=1_000.0,
                    full_share=pool.full_share,
                    full_factor=pool.full_factor,
                    generator=self._machines,
                )
                for n in range(pool.targets)
            ]
            for index, pool in enumerate(self._document.pools)
        }

    def _start_entry(self, entry):
        """Start an entry that knows the tables and upstreams, but no load."""
        document = self._document
        metrics = Metrics()
        entry.metrics.append(metrics)
        network = VirtualNetwork(
            timeline=self._timeline,
            sockets=self._sockets,
            upstreams=self._by_address,
            delay_ms=lambda upstream: self._delay_ms(entry, upstream),
        )
        entry.relay = PlacedRelay(
            clock=self._timeline,
            names=NAMES,
            parse_load=parse_load,
            sessions=VirtualSessionPool(network=network, clock=self._timeline),
            budget=RepeatLimits(**document.repeats.model_dump()),
            probes_per_second=max(pool.probes_per_second for pool in document.pools),
            failure_domain=entry.failure_domain,
            entries=lambda: sum(e.up for e in self._entries),
            crashes=CrashTracker(clock=self._timeline, owner=entry.name),
            on_failure=lambda *failure: self._tell_failure(entry, *failure),
            on_loads=lambda loads, chosen: self._tell_loads(entry, loads, chosen),
            metrics=metrics,
            decisions=self._policy(random.Random(self._choices.random())),
            poller=lambda: VirtualPoller(
                tasks=self._tasks, timeline=self._timeline, sockets=self._sockets
            ),
        )
        entry.relay.use_tables(self._tables)
        entry.relay.use_registrations(
            {
                upstream.address: Registration(
                    instance=upstream.address,
                    pool=pool,
                    address=upstream.address,
                    failure_domain=upstream.failure_domain,
                    slots=upstream.slots,
                )
                for pool, upstreams in self._upstreams.items()
                for upstream in upstreams
            }
        )

    def _delay_ms(self, one, other):
        near = one.failure_domain == other.failure_domain
        return self._document.near_ms if near else self._document.far_ms

    def _others(self, entry):
        return [e for e in self._entries if e is not entry and e.up]

    def _tell_failure(self, entry, instance, weight):
        for other in self._others(entry):
            delay_ms = self._delay_ms(entry, other)
            relay = other.relay
            self._timeline.after(delay_ms, relay.hear_failure, instance, weight)

    def _tell_loads(self, entry, loads, chosen):
        notice = LoadNotice(sender=entry.name, loads=loads, chosen=chosen)
        near = [
            other
            for other in self._others(entry)
            if other.failure_domain == entry.failure_domain
        ]
        for other in self._choices.sample(near, min(NEAR_RECEIVERS, len(near))):
            delay_ms = self._delay_ms(entry, other)
            self._timeline.after(delay_ms, other.relay.hear_loads, notice)

    def _schedule_neighbours(self, pool):
        if not pool.neighbours.share:
            return
        for upstream in self._upstreams[pool.name]:
            self._change_pace(pool.neighbours, upstream)

    def _change_pace(self, neighbours, upstream):
        disturbed = self._machines.random() < neighbours.share
        length_ms = self._machines.expovariate(1.0 / neighbours.mean_ms)
        end = self._timeline.now() + length_ms
        if disturbed:
            self._take_turn(neighbours, upstream, end)
        else:
            upstream.pace = 1.0
        self._timeline.after(length_ms, self._change_pace, neighbours, upstream)

    def _take_turn(self, neighbours, upstream, end):
        """Begin a slow or a usual turn of an upstream that is disturbed until then."""
        slow = self._machines.random() < SLOW_TURNS
        upstream.pace = neighbours.factor if slow else 1.0
        length_ms = self._machines.expovariate(1.0 / neighbours.turn_ms)
        if self._timeline.now() + length_ms < end:
            self._timeline.after(length_ms, self._take_turn, neighbours, upstream, end)

    # Patterns

    def _begin(self, pattern):
        if pattern.kind in ("entries-lost", "entries-cut"):
            for entry in first_part(self._entries, pattern.share):
                entry.up = pattern.kind == "entries-cut"
                self._cut_entry(entry)
        elif pattern.kind == "shedding":
            for upstream in self._upstreams[pattern.pool]:
                upstream.shed_share = pattern.share
        elif pattern.kind == "upstreams-lost":
            for upstream in first_part(self._upstreams[pattern.pool], pattern.share):
                upstream.stop()
        elif pattern.kind == "upstreams-silent":
            for upstream in first_part(self._upstreams[pattern.pool], pattern.share):
                upstream.silence()

    def _finish(self, pattern):
        if pattern.kind == "entries-lost":
            for entry in first_part(self._entries, pattern.share):
                self._start_entry(entry)
                entry.up = entry.reachable = True
        elif pattern.kind == "entries-cut":
            for entry in first_part(self._entries, pattern.share):
                entry.reachable = True
        elif pattern.kind == "shedding":
            for upstream in self._upstreams[pattern.pool]:
                upstream.shed_share = 0.0
        elif pattern.kind in ("upstreams-lost", "upstreams-silent"):
            for upstream in first_part(self._upstreams[pattern.pool], pattern.share):
                upstream.resume()

    def _cut_entry(self, entry):
        """Take an entry from its callers, who notice that connections are closed."""
        entry.reachable = False
        entry.incarnation += 1
        for request in [r for r in self._open.values() if r.entry is entry]:
            request.entry = None
            if request.route.idempotent and request.returns > 0:
                request.returns -= 1
                self._timeline.after(
                    self._document.callers.reconnect_ms, self._try, request
                )
            else:
                # It may have run.
                self._end(request, RequestEnd.FAILED)

    # Callers

    def _schedule_route(self, route):
        bursts = [
            pattern
            for pattern in self._document.patterns
            if pattern.kind == "burst" and pattern.route in (None, route.name)
        ]
        times = arrival_times(
            self._traffic,
            rate=route.requests_per_second,
            duration_ms=self._document.duration_ms,
            bursts=bursts,
        )
        callers = self._document.callers
        domains = self._document.failure_domains
        weights = [callers.domain_weights.get(domain, 1.0) for domain in domains]
        for sent_at in times:
            pressing = self._traffic.random() < callers.pressing_share
            request = CallerRequest(
                number=next(self._numbers),
                route=route,
                sent_at=sent_at,
                # A lognormal with this location has the mean work_ms.
                work_ms=route.work_ms
                * self._traffic.lognormvariate(-(route.sigma**2) / 2, route.sigma),
                returns=callers.pressing_returns if pressing else callers.returns,
                pressing=pressing,
                failure_domain=self._traffic.choices(domains, weights)[0],
            )
            self._timeline.after(sent_at, self._arrive, request)

    def _arrive(self, request):
        self._open[request.number] = request
        self._timeline.after(request.route.deadline_ms, self._give_up, request)
        self._try(request)

    def _give_up(self, request):
        if request.number in self._open:
            unreached = request.entry is None and not request.refusals
            end = RequestEnd.REFUSED if request.refusals else RequestEnd.FAILED
            self._end(request, RequestEnd.UNREACHED if unreached else end)

    def _try(self, request):
        """Send a request to an entry, or look again later when there is none."""
        if request.number not in self._open:
            return
        reachable = [entry for entry in self._entries if entry.reachable]
        if not reachable:
            self._timeline.after(
                self._document.callers.reconnect_ms, self._try, request
            )
            return
        request.entry = self._choose_entry(request, reachable)
        request.tries += 1
        self._timeline.after(
            self._document.caller_ms,
            self._tasks.start,
            self._serve,
            request,
            request.entry,
            request.entry.incarnation,
        )

    def _choose_entry(self, request, reachable):
        """Return an entry near the caller, any where none is."""
        near = [e for e in reachable if e.failure_domain == request.failure_domain]
        return self._traffic.choice(near or reachable)

    def _serve(self, request, entry, incarnation):
        """Handle a request at an entry, as a task of its own."""
        left_ms = request.deadline - self._timeline.now()
        if left_ms < LEAST_LEFT_MS or entry.incarnation != incarnation:
            return
        message = Request(
            method="GET" if request.route.idempotent else "POST",
            host="bench",
            target=f"/{request.route.name}/{request.number}",
            headers=(
                (NAMES.request_id, str(request.number)),
                (NAMES.deadline_ms, str(left_ms)),
            ),
            body=f"{request.number} {request.work_ms}".encode(),
        )
        refusal, succeeded = None, False
        try:
            succeeded = entry.relay.handle(message).status < 300
        except Refusal as error:
            refusal = error
        if entry.incarnation == incarnation:
            self._timeline.after(
                self._document.caller_ms, self._answer, request, succeeded, refusal
            )

    def _answer(self, request, succeeded, refusal):
        """Use the entry's answer at the caller."""
        if request.number not in self._open:
            return
        request.entry = None
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self._return_later(request, refusal)
            return
        took_ms = self._timeline.now() - request.sent_at
        if not succeeded:
            self._end(request, RequestEnd.FAILED)
        elif took_ms <= request.route.goal_ms:
            self._end(request, RequestEnd.IN_TIME)
        else:
            self._end(request, RequestEnd.LATE)

    def _return_later(self, request, refusal):
        request.refusals += 1
        wait_ms = refusal.retry_after_ms or 0.0
        if request.pressing:
            wait_ms = self._document.callers.pressing_ms
        if not request.returns or self._timeline.now() + wait_ms > request.deadline:
            self._end(request, RequestEnd.REFUSED)
            return
        request.returns -= 1
        self._timeline.after(wait_ms, self._try, request)

    def _end(self, request, end):
        del self._open[request.number]
        result = CallerRequestResult(
            route=request.route.name,
            end=end,
            sent_at=request.sent_at,
            took_ms=self._timeline.now() - request.sent_at,
            refusals=request.refusals,
            pressing=request.pressing,
        )
        self._results.append((request, result))


def first_part(items, share):
    """Return the first items, as many as the share of all of them."""
    return items[: round(share * len(items))]


def build_tables(document):
    """Return the :class:`monsoonline.core.model.Tables` of an experiment."""
    pools = {
        pool.name: model.Pool(name=pool.name, department="bench", upstreams=())
        for pool in document.pools
    }
    routes = {
        route.name: model.Route(
            name=route.name,
            department="bench",
            pool=route.pool,
            match=model.RouteMatch(path_prefix=f"/{route.name}/"),
            idempotent=route.idempotent,
            deadline_ms=route.deadline_ms,
            tolerance=model.Tolerance(retries=route.retries),
            success=model.SuccessDefinition(latency_ms=route.goal_ms),
            priority=route.priority,
        )
        for route in document.routes
    }
    return model.Tables(revision=1, routes=routes, pools=pools)
