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
from monsoonline.bench.load_fleet import LoadFleet
from monsoonline.bench.load_policies import PRESENT, policies
from monsoonline.bench.timeline import Timeline
from monsoonline.bench.virtual_sessions import NAMES
from monsoonline.bench.virtual_tasks import VirtualTasks
from monsoonline.errors import Refusal
from monsoonline.types import Outcome, Request

__all__ = ["LoadExperiment", "LoadResults"]

# Requests at entries at once; each takes a thread.
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


class LoadExperiment:
    """Runs one :class:`monsoonline.bench.load_document.LoadDocument`.

    :param document: the description
    :param policy: name of the decisions, one of ``policies.names``
    :param seed: replaces the seed of the description
    """

    def __init__(self, *, document, policy=PRESENT, seed=None):
        self._document = document
        # Callers and neighbours of one seed are the same for every policy.
        seed = document.seed if seed is None else seed
        self._traffic = random.Random(f"traffic-{seed}")
        self._machines = random.Random(f"machines-{seed}")
        self._timeline = Timeline()
        self._tasks = VirtualTasks(limit=MAX_TASKS)
        self._numbers = itertools.count(1)
        self._fleet = LoadFleet(
            document=document,
            seed=seed,
            policy=policies.get(policy),
            timeline=self._timeline,
            tasks=self._tasks,
        )
        # Requests that have not ended, by number.
        self._open = {}
        self._results = []

    def run(self):
        """Run to the end and return the :class:`LoadResults`."""
        document = self._document
        try:
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
        upstreams = [u for pool in self._fleet.upstreams.values() for u in pool]
        runs = {}
        for upstream in upstreams:
            for number, count in upstream.runs.items():
                runs[number] = runs.get(number, 0) + count
        return LoadResults(
            requests=tuple(result for _, result in self._results),
            probes=sum(len(u.probes) for u in upstreams),
            attempts=sum(len(u.arrivals) for u in upstreams),
            second_attempts=self._fleet.second_attempts,
            doubled=sum(
                # A caller only returns where it was told that nothing had run.
                runs.get(request.number, 0) > 1
                for request, _ in self._results
                if not request.route.idempotent
            ),
        )

    # Patterns

    def _schedule_neighbours(self, pool):
        if not pool.neighbours.share:
            return
        for upstream in self._fleet.upstreams[pool.name]:
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

    def _begin(self, pattern):
        if pattern.kind in ("entries-lost", "entries-cut"):
            for entry in first_part(self._fleet.entries, pattern.share):
                entry.up = pattern.kind == "entries-cut"
                self._cut_entry(entry)
        elif pattern.kind == "shedding":
            for upstream in self._fleet.upstreams[pattern.pool]:
                upstream.shed_share = pattern.share
        elif pattern.kind == "upstreams-lost":
            for upstream in first_part(
                self._fleet.upstreams[pattern.pool], pattern.share
            ):
                upstream.stop()
        elif pattern.kind == "upstreams-silent":
            for upstream in first_part(
                self._fleet.upstreams[pattern.pool], pattern.share
            ):
                upstream.silence()

    def _finish(self, pattern):
        if pattern.kind == "entries-lost":
            for entry in first_part(self._fleet.entries, pattern.share):
                self._fleet.start(entry)
        elif pattern.kind == "entries-cut":
            for entry in first_part(self._fleet.entries, pattern.share):
                entry.reachable = True
        elif pattern.kind == "shedding":
            for upstream in self._fleet.upstreams[pattern.pool]:
                upstream.shed_share = 0.0
        elif pattern.kind in ("upstreams-lost", "upstreams-silent"):
            for upstream in first_part(
                self._fleet.upstreams[pattern.pool], pattern.share
            ):
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
            end = RequestEnd.REFUSED if request.refusals else RequestEnd.UNREACHED
            self._end(request, end if request.entry is None else RequestEnd.FAILED)

    def _try(self, request):
        """Send a request to an entry, or look again later when there is none."""
        if request.number not in self._open:
            return
        reachable = [entry for entry in self._fleet.entries if entry.reachable]
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
