"""Relays requests to upstreams that are probed for their load just before.

Every attempt goes to an upstream that has just responded to a probe on the same
connection. A request whose attempt certainly did not run may be placed again; one that
may have run is repeated only on idempotent routes. The attempts of a request are
awaited together, so a hedge may start while the first attempt is open.
"""

import logging
import math
import select

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.decision_events import (
    AttemptNotSent,
    CallerLeft,
    DecisionTrail,
    RequestRefused,
    RouteMatched,
)
from monsoonline.core.fleet import single_entry_fleet
from monsoonline.core.permits import owner_order
from monsoonline.core.request_decisions import RequestDecisions
from monsoonline.core.response_classification import ResponseClass, classify_response
from monsoonline.core.splitting import ShareChooser
from monsoonline.core.upstream_holds import UpstreamHolds
from monsoonline.core.upstream_limits import LimitObservation
from monsoonline.decision_log import DecisionLog
from monsoonline.entry.attempts import Attempts
from monsoonline.entry.limit_reader import LimitReader
from monsoonline.entry.permits import UpstreamPermits
from monsoonline.entry.placer import Placer
from monsoonline.entry.prober import UpstreamProber
from monsoonline.entry.request_task import Event, Task
from monsoonline.entry.served_pools import ServedPools
from monsoonline.entry.upstream_notices import UpstreamNotices
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind, Outcome

__all__ = ["PlacedRelay"]

# A response that has begun to arrive is read for at least this time, also past the
# deadline of its request.
MIN_READ_MS = 50.0
# Time for a response that has begun to arrive to be complete before a hedge.
ARRIVAL_MS = 100.0
# Interval at which a response that waits for memory is tried again.
MEMORY_POLL_MS = 50.0
# Status that callers get, and the decision log records, after an unexpected error.
UNEXPECTED_STATUS = 502
ATTEMPT_KINDS = {
    ResponseClass.SUCCESS: AttemptKind.SUCCEEDED,
    ResponseClass.FAILURE: AttemptKind.FAILED_RESPONSE,
    ResponseClass.NOT_RUN: AttemptKind.SHED,
    ResponseClass.MISDIRECTED: AttemptKind.CANCELLED,
    ResponseClass.BROKEN: AttemptKind.CONNECTION_LOST,
}

# Short, because another upstream usually has a free slot after a certified refusal.
RETRY_SOON_MS = 120.0

logger = logging.getLogger(__name__)


class PlacedRelay:
    """Serves callers' requests.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: parses a load header into a
        :class:`monsoonline.types.LoadReport`, ``None`` if it is not valid
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param budget: :class:`monsoonline.core.retry_budget.RetryLimits`
    :param probes_per_second: limit of probes of one upstream, over all entries
    :param failure_domain: failure domain of this entry
    :param entries: returns the number of entries that share the budgets
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param on_failure: called with instance and weight of each observed failure
    :param on_loads: called with the load reports of each search and the upstream that
        was chosen
    :param metrics: counters
    :param fleet: :class:`monsoonline.core.fleet.Fleet` of the entries that share the
        upstreams' limits, only this entry when omitted
    :param send: sends a message to a member of the fleet
    :param admit_until: called with the deadline of each request before its first
        attempt; raises a ``NOT_RUN`` :class:`monsoonline.errors.Refusal` if this entry
        may end before it. All requests are admitted when omitted
    :param on_leaving: called with id and start time of each upstream that says in a
        response that it leaves; it is given to this relay again as leaving
    :param caught_up: returns whether this entry may decide by the tables that it has
    :param read_age_ms: returns the age in ms of the newest known read of the store,
        ``None`` without one
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`,
        the default ones when omitted
    :param poller: returns a poll object with the interface of :func:`select.poll`, used
        to wait for sessions
    """

    def __init__(
        self,
        *,
        clock,
        names,
        parse_load,
        sessions,
        budget,
        probes_per_second,
        failure_domain,
        entries,
        crashes,
        on_failure,
        on_loads,
        metrics,
        fleet=None,
        send=None,
        admit_until=lambda deadline: None,
        read_age_ms=lambda: None,
        caught_up=lambda: True,
        on_leaving=lambda instance, born_ms: None,
        decisions=None,
        poller=select.poll,
    ):
        decisions = decisions or RequestDecisions()
        self._fleet = fleet or single_entry_fleet(failure_domain)
        self._poller = poller
        self._clock = clock
        self._names = names
        self._sessions = sessions
        self._entries = entries
        self._crashes = crashes
        self._admit_until = admit_until
        self._read_age_ms = read_age_ms
        self._caught_up = caught_up
        self._metrics = metrics
        self._shares = ShareChooser(generator=decisions.generator)
        self._decision_log = DecisionLog(clock=clock, metrics=metrics)
        holds = UpstreamHolds(clock=clock, generator=decisions.generator)
        self._pools = ServedPools(
            clock=clock,
            names=names,
            budget=budget,
            failure_domain=failure_domain,
            on_failure=on_failure,
            decisions=decisions,
            holds=holds,
        )
        self._limits = LimitReader(clock=clock, names=names, metrics=metrics)
        notices = UpstreamNotices(
            names=names, on_leaving=on_leaving, holds=holds, metrics=metrics
        )
        self._permits = UpstreamPermits(
            clock=clock,
            fleet=self._fleet,
            find_state=self._pools.find_state,
            limits=self._limits,
            send=send,
            metrics=metrics,
        )
        self._attempts = Attempts(
            clock=clock,
            names=names,
            parse_load=parse_load,
            sessions=sessions,
            pools=self._pools,
            crashes=crashes,
            limits=self._limits,
            notices=notices,
            metrics=metrics,
            decisions=decisions,
        )
        self._placer = Placer(
            clock=clock,
            prober=UpstreamProber(
                clock=clock,
                sessions=sessions,
                names=names,
                parse_load=parse_load,
                on_unreachable=self._pools.note_unreachable,
                on_slow_probe=self._pools.note_slow_probe,
                limits=self._limits,
                notices=notices,
                metrics=metrics,
                poller=poller,
            ),
            sessions=sessions,
            pools=self._pools,
            probes_per_second=probes_per_second,
            entries=entries,
            on_loads=on_loads,
            permits=self._permits,
            decisions=decisions,
            metrics=metrics,
        )

    def use_tables(self, tables):
        """Apply newly accepted tables; older revisions are ignored."""
        self._pools.use_tables(tables)

    def use_registrations(self, registrations):
        """Replace the registrations of upstreams.

        :param registrations: :class:`monsoonline.core.registrations.Registration`
            by instance
        """
        self._pools.use_registrations(registrations)
        self._sessions.retain({r.address for r in registrations.values()})

    def use_budgets(self, *, repeats, probes_per_second):
        """Apply changed budgets.

        :param repeats: :class:`monsoonline.core.retry_budget.RetryLimits`
        :param probes_per_second: limit of probes of one upstream, over all entries
        """
        self._pools.use_budget(repeats)
        self._placer.use_probe_rate(probes_per_second)

    def note_peer_failure(self, instance, weight):
        """Record an upstream failure that another entry observed."""
        self._pools.note_peer_failure(instance, weight)

    def note_peer_loads(self, notice):
        """Record the load reports and limits that another entry received."""
        self._pools.note_peer_loads(notice)
        now = self._clock.now()
        for load in notice.loads:
            state = self._pools.find_state(load.instance)
            if state is not None and load.limit is not None:
                # The age of the response is not known, so it ends no limit and raises
                # none.
                self._limits.apply(
                    state,
                    LimitObservation(
                        limit=load.limit, sent_at=float("-inf"), received_at=now
                    ),
                )

    @property
    def permits(self):
        """The :class:`monsoonline.entry.permits.UpstreamPermits`."""
        return self._permits

    @property
    def open_attempts(self):
        """Number of attempts that wait for a response."""
        return self._pools.open_attempts

    def refresh_limits(self):
        """Read the limits of this entry's own upstreams that were not read lately.

        Also ends the ownership of upstreams that have another owner.
        """
        self._permits.review()
        for served in self._pools.served():
            for state in served.view.limited():
                if self._permits.needs_refresh(state):
                    self._placer.probe(served, state)
                    self._permits.review()

    def handle(self, request):
        """Serve one request and return the response for its caller.

        :raises Refusal: when no upstream response can be passed on
        """
        trail = DecisionTrail(
            clock=self._clock, request_id=request.header(self._names.request_id) or ""
        )
        status, goal_ms = UNEXPECTED_STATUS, None
        try:
            task = self._create_task(request, trail)
            goal_ms = task.route.success.latency_ms
            response = self._handle_task(task)
            status = response.status
            return response
        except Refusal as refusal:
            status = refusal.status
            trail.add(
                RequestRefused(
                    code=refusal.code,
                    status=status,
                    retry_after_ms=refusal.retry_after_ms,
                    reason=str(refusal),
                    tables_revision=self._pools.tables_revision.version,
                    tables_era=self._pools.tables_revision.era,
                    tables_age_ms=self._pools.tables_age_ms,
                    read_age_ms=self._read_age_ms(),
                )
            )
            raise
        finally:
            trail.end(status=status, goal_ms=goal_ms)
            self._decision_log.write(trail)

    def _handle_task(self, task):
        if self._crashes.blocked(task.fingerprint):
            if not self._crashes.take_trial(task.fingerprint, is_owner=self._owns):
                raise Refusal(
                    "the request was in flight at several crashes of upstreams",
                    code="crashing-request",
                    outcome=Outcome.UNKNOWN,
                    status=502,
                )
            self._metrics.count("trials_of_crashing_requests_total")
            task.single_attempt = True
        self._admit_until(task.deadline)
        task.pool.retry_budget.record_first_attempt(task.started)
        try:
            return self._serve(task)
        finally:
            self._attempts.cancel_open(task)

    def _owns(self, fingerprint):
        """Return whether this entry decides for all entries on a blocked request."""
        alive = self._fleet.alive(self._clock.now())
        own = self._fleet.own.name
        names = [own, *(m.name for m in alive if m.ready and not m.leaving)]
        return owner_order(fingerprint, names, 1) == [own]

    def _create_task(self, request, trail):
        if not self._pools.has_tables:
            raise self._placer.refusal("this entry has no tables yet", "no-tables")
        if not self._caught_up():
            raise self._placer.refusal(
                "this entry has just started and may have old tables", "entry-starting"
            )
        route = self._pools.match(request)
        if route is None:
            raise Refusal(
                f"no route matches {request.method} {request.path!r}",
                code="no-route",
                outcome=Outcome.NOT_RUN,
                status=404,
            )
        pool = self._pools.get(self._shares.choose(route))
        if pool is None:
            raise self._placer.refusal(
                "the route's pool is not in the tables", "no-pool"
            )
        trail.add(
            RouteMatched(
                route=route.name,
                pool=pool.pool.name,
                tables_revision=self._pools.tables_revision.version,
                tables_era=self._pools.tables_revision.era,
            )
        )
        started = self._clock.now()
        return Task(
            route=route,
            pool=pool,
            request=request,
            request_id=request.header(self._names.request_id),
            started=started,
            deadline=started + self._time_limit_ms(route, request),
            trail=trail,
        )

    def _time_limit_ms(self, route, request):
        """Return the shorter of the caller's and the route's time limit, in ms."""
        text = request.header(self._names.deadline_ms)
        try:
            return min(route.deadline_ms, float(text))
        except (TypeError, ValueError):
            return route.deadline_ms

    def _serve(self, task):
        self._attempts.send(task, self._placer.place(task))
        while True:
            event, attempt = self._wait(task)
            if event is Event.READABLE:
                response = self._read(task, attempt)
                if response is not None:
                    return response
            elif event is Event.HEDGE:
                self._hedge(task)
            elif event is Event.CALLER_GONE:
                self._handle_caller_disconnect(task)
            else:
                for open_attempt in list(task.open_attempts):
                    self._attempts.finish(task, open_attempt, AttemptKind.TIMED_OUT)
                raise self._unknown_outcome("no answer in time", "deadline", status=504)

    def _wait(self, task):
        """Wait for a response, a timer or the caller's disconnect.

        :returns: an :class:`Event` and the readable :class:`SentAttempt`, ``None`` for
            other events
        """
        now = self._clock.now()
        deadline = self._read_deadline(task)
        wake_at = deadline
        if task.hedge_timer is not None:
            wake_at = min(wake_at, task.hedge_timer.check_at)
        poller = self._poller()
        by_descriptor, paused = self._register_attempts(task, poller)
        retry_at = self._memory_retry_at(paused)
        wake_at = min(wake_at, retry_at)
        caller = task.request.cancellation.caller if task.request.cancellation else None
        watch_caller = caller is not None and not task.caller_left
        if watch_caller:
            poller.register(caller, select.POLLRDHUP)
        ready = poller.poll(max(1.0, wake_at - now)) if wake_at > now else ()
        for descriptor, _ in ready:
            if descriptor in by_descriptor:
                return Event.READABLE, by_descriptor[descriptor]
        if ready:
            return Event.CALLER_GONE, None
        if self._clock.now() >= deadline:
            return Event.DEADLINE, None
        if self._clock.now() >= retry_at:
            return Event.READABLE, paused
        return Event.HEDGE, None

    @staticmethod
    def _memory_retry_at(paused):
        """Return the time at which to try an attempt that waits for memory again."""
        if paused is None:
            return math.inf
        return paused.session.paused_at + MEMORY_POLL_MS

    @staticmethod
    def _register_attempts(task, poller):
        """Register the sessions to wait for.

        :returns: the attempts by descriptor, and the one that has waited longest for
            memory, if any
        """
        by_descriptor, paused = {}, None
        for attempt in task.open_attempts:
            if attempt.session.paused_at is not None:
                paused = min(
                    paused or attempt, attempt, key=lambda a: a.session.paused_at
                )
            elif attempt.session.reusable or attempt.session.connected:
                descriptor = attempt.session.fileno()
                by_descriptor[descriptor] = attempt
                poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
        return by_descriptor, paused

    @staticmethod
    def _read_deadline(task):
        """Return the time until which to wait for responses."""
        began = (a.session.receiving_since for a in task.open_attempts)
        extended = [since + MIN_READ_MS for since in began if since is not None]
        return max(task.deadline, *extended) if extended else task.deadline

    def _read(self, task, attempt):
        """Read the response to an attempt.

        :returns: the response for the caller, ``None`` to keep waiting
        :raises Refusal: when the request has failed
        """
        try:
            response = attempt.session.read_request(task.request, task.request_id)
        except SessionFailed as error:
            return self._handle_lost_attempt(task, attempt, error)
        if response is None:
            return None
        verdict = classify_response(response, self._names)
        self._attempts.record_reports(task, attempt, response)
        self._attempts.finish(
            task, attempt, ATTEMPT_KINDS[verdict], status=response.status
        )
        if verdict is ResponseClass.SUCCESS:
            return self._public_response(response)
        if verdict is ResponseClass.MISDIRECTED:
            attempt.probe_result.state.misdirected = True
        if verdict is ResponseClass.FAILURE:
            task.failure_response = self._public_response(response)
        if verdict in (ResponseClass.FAILURE, ResponseClass.BROKEN):
            task.may_have_run = True
        return self._retry_or_conclude(task, verdict.value)

    def _handle_lost_attempt(self, task, attempt, error):
        """Handle an attempt that ended without a complete response."""
        task.may_have_run = True
        kind = AttemptKind.TIMED_OUT if error.timed_out else AttemptKind.CONNECTION_LOST
        state = attempt.probe_result.state
        reachable = error.timed_out or self._placer.probe(task.pool, state)
        self._attempts.finish(task, attempt, kind, reachable=reachable)
        self._metrics.count("attempts_lost_total", route=task.route.name)
        return self._retry_or_conclude(task, kind.value)

    def _retry_or_conclude(self, task, code):
        """Place the request again, wait for another open attempt, or give up.

        :returns: an upstream's failure response for the caller, ``None`` to keep
            waiting
        :raises Refusal: when no attempt is open and no response can be passed on
        """
        now = self._clock.now()
        may_place = (
            task.repeatable
            and not task.caller_left
            and task.attempts_left > 0
            and now < task.deadline
            and not self._crashes.blocked(task.fingerprint)
        )
        if may_place and task.pool.retry_budget.try_acquire(
            now, entries=self._entries()
        ):
            try:
                self._attempts.send(task, self._placer.place(task))
                self._metrics.count("repeats_total", route=task.route.name, cause=code)
                return None
            except Refusal as refusal:
                task.pool.retry_budget.release()
                task.trail.add(AttemptNotSent(cause=refusal.code))
                if not task.open_attempts and not task.may_have_run:
                    raise
        if task.open_attempts:
            return None
        if task.failure_response is not None:
            return task.failure_response
        if task.may_have_run:
            raise self._unknown_outcome(f"the last attempt ended with {code}", code)
        raise self._placer.refusal(
            f"the last attempt ended with {code}",
            code,
            retry_after_ms=RETRY_SOON_MS,
        )

    def _hedge(self, task):
        """Start a hedge if it is worth its cost, or postpone the decision."""
        if (
            task.attempts_left < 1
            or not task.open_attempts
            or self._crashes.suspected(task.fingerprint)
        ):
            task.hedge_timer = None
            return
        now = self._clock.now()
        pace = task.pool.view.slowdown_of(task.open_attempts[0].probe_result.state, now)
        overloaded = task.pool.overload_detector.overloaded
        timer = task.hedge_timer
        arriving = any(
            now < attempt.session.receiving_since + ARRIVAL_MS
            for attempt in task.open_attempts
            if attempt.session.receiving_since is not None
        )
        wanted = not arriving and timer.should_hedge(
            now, slowdown=pace, overloaded=overloaded
        )
        if not (wanted and self._send_hedge(task, now)):
            timer.schedule_check(now, overloaded=overloaded)

    def _send_hedge(self, task, now):
        """Send a hedge; return whether the retry budget and the pool allowed it."""
        retry_budget = task.pool.retry_budget
        if not retry_budget.try_acquire(now, entries=self._entries(), hedge=True):
            return False
        try:
            self._attempts.send(task, self._placer.place(task, hedge=True), hedge=True)
        except Refusal:
            # A hedge that waits for a slot gains nothing; the first attempt continues.
            retry_budget.release()
            self._metrics.count("hedges_refused_total", route=task.route.name)
            return False
        self._metrics.count("hedges_total", route=task.route.name)
        return True

    def _handle_caller_disconnect(self, task):
        """Stop an idempotent request; one that must not be cut off continues."""
        task.caller_left = True
        task.trail.add(CallerLeft())
        if task.route.idempotent:
            raise self._unknown_outcome(
                "the caller has left", "caller-gone", status=499
            )

    def _public_response(self, response):
        """Return a response without the headers that are internal to the fleet."""
        return response.without_headers(
            (
                self._names.load,
                self._names.instance,
                self._names.limit,
                self._names.leaving,
                self._names.not_run,
            )
        )

    @staticmethod
    def _unknown_outcome(message, code, *, status=502):
        return Refusal(message, code=code, outcome=Outcome.UNKNOWN, status=status)
