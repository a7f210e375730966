"""The path of one request from the caller to an upstream and back."""

import concurrent.futures
import functools
import hashlib
import ipaddress
import logging
import re

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.http_upstream import ExchangeFailed
from monsoonline.core.model import RefusalMeaning
from monsoonline.core.routing import RouteTable
from monsoonline.entry.outcomes import (
    DRAINING_HEADER,
    Attempt,
    History,
    answer_kind,
    failure_kind,
    internal_refusal,
    parse_load,
    refusal_answer,
)
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind, AttemptResult, Outcome

__all__ = ["Relay"]

KEY_HEADER = "Monsoonline-Key"
DEADLINE_HEADER = "Monsoonline-Deadline-Ms"
DEADLINE_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
FINGERPRINT_BYTES = 16
HOSTS_CACHED = 1024
HEDGE_THREADS = 256
CALLER_FAULTS = frozenset((400, 413, 422, 428, 431))

logger = logging.getLogger(__name__)


@functools.lru_cache(maxsize=HOSTS_CACHED)
def named_host(host):
    """Return a host name, ``""`` for an IP address, which names an entry."""
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return host
    return ""


def fingerprint_of(request):
    """Return a digest that is equal for resends of the same request.

    A caller that uses the entries' addresses sends another address with a resend
    through another entry, so only a name that a route could match counts.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, named_host(request.host), request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def no_route_refusal(request):
    """Return the refusal of a request that no route matches."""
    return Refusal(
        f"no route matches {request.method} {request.path!r}",
        code="no-route",
        outcome=Outcome.NOT_RUN,
        status=404,
    )


def deadline_of(route, request, started):
    """Return the instant in ms until which the caller waits.

    :raises Refusal: when the caller's deadline header is not valid
    """
    value = request.header(DEADLINE_HEADER)
    if value is None:
        return started + route.deadline_ms
    if not DEADLINE_VALUE.fullmatch(value):
        raise Refusal(
            f"{DEADLINE_HEADER} is {value!r}, expected milliseconds such as 250",
            code="deadline-invalid",
            outcome=Outcome.NOT_RUN,
            status=400,
        )
    return started + min(route.deadline_ms, float(value))


class Relay:
    """Serves callers' requests.

    :param clock: source of time
    :param dispatcher: chooses upstreams
    :param ledger: at-most-once records
    :param transport: exchanges with upstreams
    :param metrics: counters
    :param service_levels: :class:`monsoonline.core.service_levels.ServiceLevels`,
        ``None`` to keep no counts of success
    """

    def __init__(
        self, *, clock, dispatcher, ledger, transport, metrics, service_levels=None
    ):
        self._clock = clock
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._transport = transport
        self._metrics = metrics
        self._service_levels = service_levels
        self._route_table = RouteTable(routes=())
        self._pools = {}
        self._hedges = concurrent.futures.ThreadPoolExecutor(
            max_workers=HEDGE_THREADS, thread_name_prefix="hedge"
        )

    def use_tables(self, tables):
        """Use the routes and pools of newly accepted tables."""
        self._pools = tables.pools
        self._route_table = RouteTable(routes=tables.routes.values())

    def handle(self, request):
        """Answer one request; never raises an ordinary exception."""
        started = self._clock.now()
        route = self._route_table.match(request)
        name = route.name if route else ""
        refused = False
        try:
            answer = self._serve(route, request, started)
        except Refusal as refusal:
            refused = True
            answer = self._refuse(name, refusal)
        except Exception:
            refused = True
            logger.exception("request failed", extra={"route": name})
            answer = self._refuse(name, internal_refusal())
        elapsed = self._clock.now() - started
        self._metrics.count("requests_total", route=name, status=str(answer.status))
        self._metrics.observe("request_ms", elapsed, route=name)
        self._count_success(route, answer, elapsed, refused)
        return answer

    def _count_success(self, route, answer, elapsed, refused):
        if route is None or self._service_levels is None:
            return
        # A request that its caller got wrong says nothing about the service.
        if refused and answer.status in CALLER_FAULTS:
            return
        self._service_levels.record(
            route, status=answer.status, latency_ms=elapsed, refused=refused
        )

    def _refuse(self, name, refusal):
        self._metrics.count(
            "refusals_total",
            route=name,
            code=refusal.code,
            outcome=refusal.outcome.value,
        )
        return refusal_answer(refusal, token=self._ledger.token())

    def _serve(self, route, request, started):
        if route is not None and route.idempotent:
            deadline = deadline_of(route, request, started)
            return self._run(route, request, deadline, fingerprint_of(request))
        key = request.header(KEY_HEADER)
        if key is not None:
            return self._run_once(route, request, started, key)
        if route is None:
            raise no_route_refusal(request)
        raise Refusal(
            f"route {route.name!r} needs the header {KEY_HEADER}",
            code="key-required",
            outcome=Outcome.NOT_RUN,
            status=428,
        )

    def _run_once(self, route, request, started, key):
        """Run a request with a key, or find out what became of it.

        Faults of the request itself are recorded too: a copy that arrives later may
        meet newer tables, which have a route for it.
        """
        fingerprint = fingerprint_of(request)
        fault = None
        deadline = started
        try:
            if route is None:
                raise no_route_refusal(request)
            deadline = deadline_of(route, request, started)
        except Refusal as refusal:
            fault = refusal
        recorded = self._ledger.begin(key, fingerprint, deadline=deadline)
        if recorded is not None:
            return recorded
        # The record is settled whatever happens, or resends would wait for ever.
        try:
            if fault is not None:
                raise fault
            answer = self._run(route, request, deadline, fingerprint)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._ledger.refuse(key, refusal)
            else:
                self._ledger.finish(key, refusal_answer(refusal))
            raise
        except BaseException:
            self._ledger.finish(key, refusal_answer(internal_refusal()))
            raise
        self._ledger.finish(key, answer)
        return answer

    def _run(self, route, request, deadline, fingerprint):
        history = History(idempotent=route.idempotent)
        while True:
            try:
                assignment = self._acquire(route, deadline, fingerprint, history)
            except Refusal:
                # The earlier attempt says more than that no other was possible.
                if history.attempts:
                    return self._conclude(history, deadline, fingerprint)
                raise
            history.begin(assignment.upstream.address)
            if route.idempotent and route.tolerance.hedges:
                attempt = self._hedged(route, request, assignment, deadline, history)
            else:
                attempt = self._attempt(route, request, assignment, deadline)
            history.add(attempt)
            if attempt.succeeded or not self._retry(route, attempt, deadline, history):
                return self._conclude(history, deadline, fingerprint)
            self._metrics.count("retries_total", route=route.name)

    def _retry(self, route, attempt, deadline, history):
        if not history.repeatable or self._clock.now() >= deadline:
            return False
        # Where no upstream saw the attempt, another one adds no load. Each upstream is
        # tried once, because those tried are excluded.
        if history.limited and not attempt.may_have_run:
            return True
        return self._dispatcher.may_retry(
            route, attempts=history.reached, result=attempt.result
        )

    def _conclude(self, history, deadline, fingerprint):
        """Answer the caller, late where the request may have crashed an upstream.

        Its caller resends it through another entry when it has the answer, and that
        entry must know of the crash by then.
        """
        if history.connection_lost and not history.succeeded:
            hold_ms = self._dispatcher.hold_ms(fingerprint)
            self._clock.sleep(min(hold_ms, deadline - self._clock.now()))
        return history.conclude()

    def _acquire(self, route, deadline, fingerprint, history):
        """Wait for an upstream that is still wanted when the wait has ended."""
        while self._clock.now() < deadline:
            assignment = self._dispatcher.acquire(
                route,
                deadline=deadline,
                excluded=history.excluded,
                fingerprint=fingerprint,
            )
            stale = self._dispatcher.is_stale(assignment)
            if not stale and self._clock.now() < deadline:
                return assignment
            unused = AttemptResult(kind=AttemptKind.CANCELLED, latency_ms=0.0)
            self._dispatcher.release(assignment, unused)
            self._metrics.count("stale_assignments_total", route=route.name)
        raise Refusal(
            "the deadline passed before an upstream was free",
            code="deadline",
            outcome=Outcome.NOT_RUN,
            status=504,
        )

    def _attempt(self, route, request, assignment, deadline, cancellation=None):
        started = self._clock.now()
        result = AttemptResult(kind=AttemptKind.CONNECTION_LOST, latency_ms=0.0)
        try:
            attempt = self._exchange(
                route, request, assignment, deadline, cancellation, started
            )
            result = attempt.result
            return attempt
        finally:
            self._dispatcher.release(assignment, result)

    def _exchange(self, route, request, assignment, deadline, cancellation, started):
        if route.idempotent:
            cancellation = cancellation or request.cancellation
        try:
            answer = self._transport.exchange(
                assignment.upstream,
                request,
                deadline=deadline,
                idempotent=route.idempotent,
                cancellation=cancellation,
            )
        except ExchangeFailed as error:
            latency_ms = self._clock.now() - started
            result = AttemptResult(kind=failure_kind(error), latency_ms=latency_ms)
            return Attempt(
                result=result, may_have_run=error.sent, own_cause=error.own_cause
            )
        pool = self._pools.get(route.pool)
        means = pool.refusal_means if pool else RefusalMeaning.UNKNOWN
        kind = answer_kind(answer, refusal_means=means)
        result = AttemptResult(
            kind=kind,
            latency_ms=self._clock.now() - started,
            load=parse_load(answer),
            draining=answer.header(DRAINING_HEADER) == "true",
        )
        ran = kind is not AttemptKind.SHED
        return Attempt(result=result, may_have_run=ran, answer=answer)

    def _hedged(self, route, request, assignment, deadline, history):
        """Run an attempt, and a duplicate of it when it takes long."""
        legs = {}
        self._start_leg(legs, route, request, assignment, deadline)
        delay_ms = self._dispatcher.hedge_delay_ms(route)
        for _ in range(route.tolerance.hedges):
            done, _ = concurrent.futures.wait(legs, timeout=delay_ms / 1e3)
            if done or not self._dispatcher.may_hedge(route):
                break
            try:
                second = self._dispatcher.acquire(
                    route, deadline=self._clock.now(), excluded=history.excluded
                )
            except Refusal:
                # A hedge uses free slots only, so it never waits in the queue.
                break
            history.begin(second.upstream.address)
            self._metrics.count("hedges_total", route=route.name)
            self._start_leg(legs, route, request, second, deadline)
        return self._first_success(legs)

    def _start_leg(self, legs, route, request, assignment, deadline):
        caller = request.cancellation.caller if request.cancellation else None
        cancellation = Cancellation(caller=caller)
        leg = self._hedges.submit(
            self._attempt, route, request, assignment, deadline, cancellation
        )
        legs[leg] = cancellation

    @staticmethod
    def _first_success(legs):
        """Return the first success, or the last attempt; cancel the others."""
        for leg in concurrent.futures.as_completed(legs):
            attempt = leg.result()
            if attempt.succeeded:
                break
        for leg, cancellation in legs.items():
            if not leg.done():
                cancellation.cancel()
        return attempt
