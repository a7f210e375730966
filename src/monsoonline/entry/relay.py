"""Relays requests of callers to upstreams and their responses back."""

import concurrent.futures
import logging
import queue
import re

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.http_upstream import ExchangeFailed
from monsoonline.core.admission import TicketState
from monsoonline.core.fingerprints import fingerprint_of
from monsoonline.core.model import RefusalMeaning
from monsoonline.core.routing import RouteTable
from monsoonline.entry.outcomes import (
    DRAINING_HEADER,
    Attempt,
    AttemptHistory,
    failure_kind,
    internal_refusal,
    parse_load,
    refusal_response,
    response_kind,
)
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind, AttemptResult, Outcome

__all__ = ["Relay"]

KEY_HEADER = "Monsoonline-Key"
DEADLINE_HEADER = "Monsoonline-Deadline-Ms"
DEADLINE_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
HEDGE_THREADS = 256
# Number of earlier attempts given for a hedge: it counts as a second attempt, adds
# nothing to the retry budget and is tried at once.
HEDGE_PRIOR_ATTEMPTS = 1
CALLER_ERROR_STATUSES = frozenset((400, 413, 422, 428, 431))

logger = logging.getLogger(__name__)


def no_route_refusal(request):
    """Return the refusal of a request that no route matches."""
    return Refusal(
        f"no route matches {request.method} {request.path!r}",
        code="no-route",
        outcome=Outcome.NOT_RUN,
        status=404,
    )


def deadline_of(route, request, started):
    """Return the instant in ms at which the caller stops waiting.

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
    """Serves callers' requests with retries, hedges and idempotency keys.

    :param clock: source of time
    :param dispatcher: :class:`monsoonline.core.dispatch.Dispatcher`
    :param ledger: records of requests with an idempotency key
    :param transport: exchanges with upstreams
    :param metrics: counters
    :param service_levels: :class:`monsoonline.core.service_levels.ServiceLevels`,
        ``None`` to record no successes
    :param admit_until: called with the deadline of each request before its first
        attempt; raises a ``NOT_RUN`` :class:`Refusal` if this entry may end before it.
        All requests are admitted when omitted
    """

    def __init__(
        self,
        *,
        clock,
        dispatcher,
        ledger,
        transport,
        metrics,
        service_levels=None,
        admit_until=lambda deadline: None,
    ):
        self._clock = clock
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._transport = transport
        self._metrics = metrics
        self._service_levels = service_levels
        self._admit_until = admit_until
        self._route_table = RouteTable(routes=())
        self._pools = {}
        self._hedge_executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=HEDGE_THREADS, thread_name_prefix="hedge"
        )

    def use_tables(self, tables):
        """Apply the routes and pools of newly accepted tables."""
        self._pools = tables.pools
        self._route_table = RouteTable(routes=tables.routes.values())

    def handle(self, request):
        """Serve one request and return its response.

        Never raises an ``Exception``: an unexpected error is logged and returned as a
        refusal.
        """
        started = self._clock.now()
        route = self._route_table.match(request)
        name = route.name if route else ""
        refused = False
        try:
            response = self._serve(route, request, started)
        except Refusal as refusal:
            refused = True
            response = self._refuse(name, refusal)
        except Exception:
            refused = True
            logger.exception("request failed", extra={"route": name})
            response = self._refuse(name, internal_refusal())
        elapsed_ms = self._clock.now() - started
        self._metrics.count("requests_total", route=name, status=str(response.status))
        self._metrics.observe("request_ms", elapsed_ms, route=name)
        self._count_success(route, response, elapsed_ms, refused)
        return response

    def _count_success(self, route, response, elapsed_ms, refused):
        if route is None or self._service_levels is None:
            return
        # An invalid request says nothing about the quality of the service.
        if refused and response.status in CALLER_ERROR_STATUSES:
            return
        self._service_levels.record(
            route, status=response.status, latency_ms=elapsed_ms, refused=refused
        )

    def _refuse(self, name, refusal):
        self._metrics.count(
            "refusals_total",
            route=name,
            code=refusal.code,
            outcome=refusal.outcome.value,
        )
        return refusal_response(refusal, token=self._ledger.token())

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
        """Run a request with an idempotency key, or return its recorded response.

        The refusal of an invalid request is recorded too: a copy that arrives later
        may find newer tables that have a route for it.
        """
        fingerprint = fingerprint_of(request)
        request_error = None
        deadline = started
        try:
            if route is None:
                raise no_route_refusal(request)
            deadline = deadline_of(route, request, started)
        except Refusal as refusal:
            request_error = refusal
        recorded = self._ledger.begin(key, fingerprint, deadline=deadline)
        if recorded is not None:
            return recorded
        # The record is always completed; resends would otherwise wait indefinitely.
        try:
            if request_error is not None:
                raise request_error
            response = self._run(route, request, deadline, fingerprint)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._ledger.refuse(key, refusal)
            else:
                self._ledger.finish(key, refusal_response(refusal))
            raise
        except BaseException:
            self._ledger.finish(key, refusal_response(internal_refusal()))
            raise
        self._ledger.finish(key, response)
        return response

    def _run(self, route, request, deadline, fingerprint):
        self._admit_until(deadline)
        history = AttemptHistory(idempotent=route.idempotent)
        while True:
            try:
                assignment = self._acquire(route, deadline, fingerprint, history)
            except Refusal as refusal:
                # An earlier attempt tells the caller more than this refusal.
                if history.attempts:
                    history.record_refusal(refusal)
                    return self._conclude(history, deadline, fingerprint)
                raise
            address = assignment.upstream.address
            history.record_start(address)
            if route.idempotent and route.tolerance.hedges:
                attempt = self._hedged(
                    route, request, assignment, deadline, history, fingerprint
                )
            else:
                attempt = self._attempt(route, request, assignment, deadline)
                history.record_end(attempt, address)
            if attempt.succeeded or not self._may_retry(
                route, attempt, deadline, history
            ):
                return self._conclude(history, deadline, fingerprint)
            self._metrics.count("retries_total", route=route.name)

    def _may_retry(self, route, attempt, deadline, history):
        if not history.repeatable or self._clock.now() >= deadline:
            return False
        # A retry adds no load when no upstream received the attempt. Each full
        # connection pool is tried only once, because its upstream is then excluded.
        if history.connection_limit_reached and not attempt.may_have_run:
            return True
        return self._dispatcher.may_retry(
            route, attempts=history.upstream_attempts, result=attempt.result
        )

    def _conclude(self, history, deadline, fingerprint):
        """Return the final response, delayed if an upstream may have crashed.

        The caller may resend the request through another entry, which must know of the
        crash by then.
        """
        if history.connection_lost and not history.succeeded:
            response_delay_ms = self._dispatcher.response_delay_ms(fingerprint)
            self._clock.sleep(min(response_delay_ms, deadline - self._clock.now()))
        return history.conclude()

    def _acquire(self, route, deadline, fingerprint, history):
        """Wait for a free upstream that is still in use when the wait ends."""
        while self._clock.now() < deadline:
            assignment = self._dispatcher.acquire(
                route,
                deadline=deadline,
                excluded=history.excluded,
                fingerprint=fingerprint,
                attempts=history.attempts,
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
            response = self._transport.exchange(
                assignment.upstream,
                request,
                deadline=deadline,
                idempotent=route.idempotent,
                cancellation=cancellation,
            )
        except ExchangeFailed as error:
            latency_ms = self._clock.now() - started
            result = AttemptResult(
                kind=failure_kind(error),
                latency_ms=latency_ms,
                reachable=self._still_reachable(assignment, request, error),
            )
            return Attempt(
                result=result, may_have_run=error.sent, own_cause=error.own_cause
            )
        pool = self._pools.get(route.pool)
        refusal_means = pool.refusal_means if pool else RefusalMeaning.UNKNOWN
        kind = response_kind(response, refusal_means=refusal_means)
        result = AttemptResult(
            kind=kind,
            latency_ms=self._clock.now() - started,
            load=parse_load(response),
            draining=response.header(DRAINING_HEADER) == "true",
        )
        ran = kind is not AttemptKind.SHED
        return Attempt(result=result, may_have_run=ran, response=response)

    def _still_reachable(self, assignment, request, error):
        """Return whether an upstream accepts connections after it lost one.

        Returns ``False`` for failures other than a lost connection.

        A truncated response of a reachable upstream is no crash, and must not block
        its request as a poison request.
        """
        if failure_kind(error) is not AttemptKind.CONNECTION_LOST:
            return False
        if self._transport.is_reachable(assignment.upstream):
            return True
        logger.warning(
            "upstream accepts no connection after it lost one during a request",
            extra={
                "upstream": assignment.upstream.address,
                "method": request.method,
                "path": request.path,
                "fingerprint": assignment.fingerprint,
            },
        )
        return False

    def _hedged(self, route, request, assignment, deadline, history, fingerprint):
        """Run an attempt, and start a hedge if it takes long.

        Each attempt that ends is added to the history.

        :returns: the first successful attempt, otherwise the last one to end
        """
        open_attempts = {}
        # Futures in the order in which their attempts ended.
        ended = queue.SimpleQueue()

        def start(target):
            future, cancellation = self._submit_attempt(
                route, request, target, deadline
            )
            open_attempts[future] = (target.upstream.address, cancellation)
            future.add_done_callback(ended.put)

        def hedge():
            target = self._acquire_without_waiting(
                route, deadline, history, fingerprint
            )
            if target is None:
                return False
            history.record_start(target.upstream.address)
            self._metrics.count("hedges_total", route=route.name)
            start(target)
            return True

        try:
            start(assignment)
            delay_ms = self._dispatcher.hedge_delay_ms(route)
            for _ in range(route.tolerance.hedges):
                if any_ends(open_attempts, within_ms=delay_ms):
                    break
                if not self._dispatcher.may_hedge(route) or not hedge():
                    break
            return self._first_success(
                route, open_attempts, ended, deadline, history, hedge
            )
        finally:
            for _, cancellation in open_attempts.values():
                cancellation.cancel()

    def _submit_attempt(self, route, request, assignment, deadline):
        caller = request.cancellation.caller if request.cancellation else None
        cancellation = Cancellation(caller=caller)
        future = self._hedge_executor.submit(
            self._attempt, route, request, assignment, deadline, cancellation
        )
        return future, cancellation

    def _acquire_without_waiting(self, route, deadline, history, fingerprint):
        """Return an assignment that needs no wait, ``None`` if there is none.

        A hedge that waits in a queue gains nothing.
        """
        ticket = self._dispatcher.enqueue(
            route,
            deadline=deadline,
            excluded=history.excluded,
            fingerprint=fingerprint,
            attempts=HEDGE_PRIOR_ATTEMPTS,
            notify=lambda: None,
        )
        if ticket.state is TicketState.WAITING:
            self._dispatcher.expire(ticket)
        return ticket.assignment

    def _first_success(self, route, open_attempts, ended, deadline, history, hedge):
        """Return the first successful attempt, otherwise the last one to end.

        :param open_attempts: futures of the open attempts; those that end are removed
        :param ended: queue of their futures in the order in which they ended
        :param hedge: starts one more attempt at a free upstream
        """
        while True:
            for future in take_all(ended):
                address, _ = open_attempts.pop(future)
                attempt = future.result()
                history.record_end(attempt, address)
                if attempt.succeeded:
                    return attempt
            if not open_attempts:
                return attempt
            # A shed attempt is placed again while another one is open.
            if self._was_shed_in_time(attempt, deadline) and self._dispatcher.may_retry(
                route, attempts=history.upstream_attempts, result=attempt.result
            ):
                hedge()

    def _was_shed_in_time(self, attempt, deadline):
        shed = attempt.result.kind is AttemptKind.SHED
        return shed and self._clock.now() < deadline


def any_ends(open_attempts, *, within_ms):
    """Wait until an attempt ends; return whether one did in time."""
    finished, _ = concurrent.futures.wait(
        open_attempts,
        timeout=within_ms / 1e3,
        return_when=concurrent.futures.FIRST_COMPLETED,
    )
    return bool(finished)


def take_all(items):
    """Wait for an item of a queue; return it and those that have come meanwhile."""
    taken = [items.get()]
    while not items.empty():
        taken.append(items.get())
    return taken
