"""The path of one request whose upstream is asked for its load right before.

Every attempt goes to an upstream that has answered a probe on the same connection a
moment ago. An attempt that certainly did not run may be placed again; one that may
have run is repeated only for idempotent routes. Attempts of one request are awaited
together, so a second one may start while the first is open.
"""

import logging
import select

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.decision_events import (
    AttemptNotPlaced,
    CallerLeft,
    DecisionTrail,
    RequestRefused,
    RouteMatched,
)
from monsoonline.core.request_decisions import RequestDecisions
from monsoonline.core.response_classification import ResponseClass, classify_response
from monsoonline.core.splitting import ShareChooser
from monsoonline.decision_log import DecisionLog
from monsoonline.entry.attempts import Attempts
from monsoonline.entry.placer import Placer
from monsoonline.entry.prober import UpstreamProber
from monsoonline.entry.request_task import Event, Task
from monsoonline.entry.served_pools import ServedPools
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind, Outcome

__all__ = ["PlacedRelay"]

# A request whose answer has begun to arrive is read at least this long.
ANSWER_MS = 50.0
UNEXPECTED_STATUS = 502
VERDICT_KINDS = {
    ResponseClass.SUCCESS: AttemptKind.SUCCEEDED,
    ResponseClass.FAILURE: AttemptKind.FAILED_ANSWER,
    ResponseClass.NOT_RUN: AttemptKind.SHED,
    ResponseClass.MISDIRECTED: AttemptKind.CANCELLED,
    ResponseClass.BROKEN: AttemptKind.CONNECTION_LOST,
}

# After a certified refusal another upstream mostly has room.
RETRY_SOON_MS = 120.0

logger = logging.getLogger(__name__)


class PlacedRelay:
    """Serves callers' requests.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: turns the text of a load header into a
        :class:`monsoonline.types.LoadReport`, or ``None``
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param budget: :class:`monsoonline.core.retry_budget.RetryLimits`
    :param probes_per_second: probes that one upstream may get from all entries
    :param failure_domain: where this entry runs
    :param entries: returns the number of entries that share the budgets
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param on_failure: called with instance and weight of each failure seen
    :param on_loads: called with the load reports of each search and the upstream that
        was chosen
    :param metrics: counters
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`,
        those in use when omitted
    :param poller: returns an object like :func:`select.poll`, for waiting on sessions
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
        decisions=None,
        poller=select.poll,
    ):
        decisions = decisions or RequestDecisions()
        self._poller = poller
        self._clock = clock
        self._names = names
        self._sessions = sessions
        self._entries = entries
        self._crashes = crashes
        self._metrics = metrics
        self._shares = ShareChooser(generator=decisions.generator)
        self._decision_log = DecisionLog(clock=clock, metrics=metrics)
        self._pools = ServedPools(
            clock=clock,
            names=names,
            budget=budget,
            failure_domain=failure_domain,
            on_failure=on_failure,
            decisions=decisions,
        )
        self._attempts = Attempts(
            clock=clock,
            names=names,
            parse_load=parse_load,
            sessions=sessions,
            pools=self._pools,
            crashes=crashes,
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
                on_late=self._pools.note_late,
                metrics=metrics,
                poller=poller,
            ),
            sessions=sessions,
            pools=self._pools,
            probes_per_second=probes_per_second,
            entries=entries,
            on_loads=on_loads,
            decisions=decisions,
        )

    def use_tables(self, tables):
        """Use newly accepted tables; older ones are ignored."""
        self._pools.use_tables(tables)

    def use_registrations(self, registrations):
        """Use the newest registrations of upstreams.

        :param registrations: :class:`monsoonline.core.registrations.Registration`
            by instance
        """
        self._pools.use_registrations(registrations)
        self._sessions.retain({r.address for r in registrations.values()})

    def use_budgets(self, *, repeats, probes_per_second):
        """Use changed budgets.

        :param repeats: :class:`monsoonline.core.retry_budget.RetryLimits`
        :param probes_per_second: probes that one upstream may get from all entries
        """
        self._pools.use_budget(repeats)
        self._placer.use_probe_rate(probes_per_second)

    def hear_failure(self, instance, weight):
        """Use a failure that another entry saw."""
        self._pools.hear_failure(instance, weight)

    def hear_loads(self, notice):
        """Use the load reports that another entry got."""
        self._pools.hear_loads(notice)

    def handle(self, request):
        """Answer one request.

        :raises Refusal: with what is to be told to the caller
        """
        trail = DecisionTrail(
            clock=self._clock, request_id=request.header(self._names.request_id) or ""
        )
        # What the caller gets where an error is not expected.
        status, goal_ms = UNEXPECTED_STATUS, None
        try:
            task = self._task_of(request, trail)
            goal_ms = task.route.success.latency_ms
            answer = self._handle_task(task)
            status = answer.status
            return answer
        except Refusal as refusal:
            status = refusal.status
            trail.add(
                RequestRefused(
                    code=refusal.code,
                    status=status,
                    retry_after_ms=refusal.retry_after_ms,
                    reason=str(refusal),
                )
            )
            raise
        finally:
            trail.end(status=status, goal_ms=goal_ms)
            self._decision_log.write(trail)

    def _handle_task(self, task):
        if self._crashes.blocked(task.fingerprint):
            raise Refusal(
                "the request was in flight at several crashes of upstreams",
                code="crashing-request",
                outcome=Outcome.UNKNOWN,
                status=502,
            )
        task.pool.repeats.record_first_attempt(task.started)
        try:
            return self._serve(task)
        finally:
            self._attempts.abandon(task)

    def _task_of(self, request, trail):
        if not self._pools.has_tables:
            raise self._placer.refusal("this entry has no tables yet", "no-tables")
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
                tables_revision=self._pools.tables_revision,
            )
        )
        started = self._clock.now()
        return Task(
            route=route,
            pool=pool,
            request=request,
            request_id=request.header(self._names.request_id),
            started=started,
            deadline=started + self._patience_ms(route, request),
            trail=trail,
        )

    def _patience_ms(self, route, request):
        """Return how long the request is awaited: by its caller and its route."""
        text = request.header(self._names.deadline_ms)
        try:
            return min(route.deadline_ms, float(text))
        except (TypeError, ValueError):
            return route.deadline_ms

    def _serve(self, task):
        self._attempts.send(task, self._placer.place(task))
        while True:
            event, leg = self._await(task)
            if event is Event.READABLE:
                answer = self._read(task, leg)
                if answer is not None:
                    return answer
            elif event is Event.HEDGE:
                self._hedge(task)
            elif event is Event.CALLER_GONE:
                self._note_caller_gone(task)
            else:
                for open_leg in list(task.legs):
                    self._attempts.finish(task, open_leg, AttemptKind.TIMED_OUT)
                raise self._unknown("no answer in time", "deadline", status=504)

    def _await(self, task):
        """Wait until something happens to the request.

        :returns: an :class:`Event` and the readable :class:`Leg` or ``None``
        """
        now = self._clock.now()
        until = task.deadline
        if task.hedge is not None:
            until = min(until, task.hedge.check_at)
        poller = self._poller()
        by_descriptor = {}
        for leg in task.legs:
            if leg.session.reusable or leg.session.connected:
                descriptor = leg.session.fileno()
                by_descriptor[descriptor] = leg
                poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
        caller = task.request.cancellation.caller if task.request.cancellation else None
        watching = caller is not None and not task.caller_left
        if watching:
            poller.register(caller, select.POLLRDHUP)
        ready = poller.poll(max(1.0, until - now)) if until > now else ()
        for descriptor, _ in ready:
            if descriptor in by_descriptor:
                return Event.READABLE, by_descriptor[descriptor]
        if ready:
            return Event.CALLER_GONE, None
        if self._clock.now() >= task.deadline:
            return Event.DEADLINE, None
        return Event.HEDGE, None

    def _read(self, task, leg):
        """Read a leg's answer.

        :returns: the answer for the caller, ``None`` while others are awaited
        :raises Refusal: when the request has failed
        """
        deadline = max(task.deadline, self._clock.now() + ANSWER_MS)
        try:
            answer = leg.session.read_request(
                task.request, task.request_id, deadline=deadline
            )
        except SessionFailed as error:
            return self._lost(task, leg, error)
        if answer is None:
            return None
        verdict = classify_response(answer, self._names)
        self._attempts.learn_load(task, leg, answer)
        self._attempts.finish(task, leg, VERDICT_KINDS[verdict], status=answer.status)
        if verdict is ResponseClass.SUCCESS:
            return self._public(answer)
        if verdict is ResponseClass.MISDIRECTED:
            leg.offer.state.misdirected = True
        if verdict is ResponseClass.FAILURE:
            task.failure = self._public(answer)
        if verdict in (ResponseClass.FAILURE, ResponseClass.BROKEN):
            task.may_have_run = True
        return self._go_on(task, verdict.value)

    def _lost(self, task, leg, error):
        """Handle an attempt that ended without a whole answer."""
        task.may_have_run = True
        kind = AttemptKind.TIMED_OUT if error.timed_out else AttemptKind.CONNECTION_LOST
        state = leg.offer.state
        reachable = error.timed_out or self._placer.is_reachable(task, state)
        self._attempts.finish(task, leg, kind, reachable=reachable)
        self._metrics.count("attempts_lost_total", route=task.route.name)
        return self._go_on(task, kind.value)

    def _go_on(self, task, code):
        """Place the request again, wait for another attempt, or give up.

        :returns: an upstream's failure to pass on, ``None`` to go on waiting
        """
        now = self._clock.now()
        may_place = (
            task.repeatable
            and not task.caller_left
            and task.sends_left > 0
            and now < task.deadline
        )
        if may_place and task.pool.repeats.try_acquire(now, entries=self._entries()):
            try:
                self._attempts.send(task, self._placer.place(task))
                self._metrics.count("repeats_total", route=task.route.name, cause=code)
                return None
            except Refusal as refusal:
                task.pool.repeats.release()
                task.trail.add(AttemptNotPlaced(cause=refusal.code))
                if not task.legs and not task.may_have_run:
                    raise
        if task.legs:
            return None
        if task.failure is not None:
            return task.failure
        if task.may_have_run:
            raise self._unknown(f"the last attempt ended with {code}", code)
        raise self._placer.refusal(
            f"the last attempt ended with {code}",
            code,
            retry_after_ms=RETRY_SOON_MS,
        )

    def _hedge(self, task):
        """Start a second attempt where it is worth its cost, or look again later."""
        if task.sends_left < 1 or not task.legs:
            task.hedge = None
            return
        now = self._clock.now()
        pace = task.pool.view.slowdown_of(task.legs[0].offer.state, now)
        overloaded = task.pool.crowding.overloaded
        timer = task.hedge
        wanted = timer.should_hedge(now, slowdown=pace, overloaded=overloaded)
        if not (wanted and self._send_hedge(task, now)):
            timer.schedule_check(now, overloaded=overloaded)

    def _send_hedge(self, task, now):
        """Send a second attempt; return whether the budget and the pool allowed it."""
        repeats = task.pool.repeats
        if not repeats.try_acquire(now, entries=self._entries(), hedge=True):
            return False
        try:
            self._attempts.send(task, self._placer.place(task, hedge=True), hedge=True)
        except Refusal:
            # A second attempt that would wait is of no use; the first goes on.
            repeats.release()
            self._metrics.count("hedges_refused_total", route=task.route.name)
            return False
        self._metrics.count("hedges_total", route=task.route.name)
        return True

    def _note_caller_gone(self, task):
        """Stop work that nobody wants; what must not be cut goes on."""
        task.caller_left = True
        task.trail.add(CallerLeft())
        if task.route.idempotent:
            raise self._unknown("the caller has left", "caller-gone", status=499)

    # What callers are told

    def _public(self, answer):
        return answer.without_headers(
            (self._names.load, self._names.instance, self._names.not_run)
        )

    @staticmethod
    def _unknown(message, code, *, status=502):
        return Refusal(message, code=code, outcome=Outcome.UNKNOWN, status=status)
