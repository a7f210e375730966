"""The path of one request from the caller to an upstream and back."""

import hashlib
import math

import orjson

from monsoonline.adapters.http_upstream import ExchangeFailed
from monsoonline.errors import Refusal
from monsoonline.types import (
    Answer,
    AttemptKind,
    AttemptResult,
    LoadReport,
    Outcome,
)

__all__ = ["Relay"]

KEY_HEADER = "Monsoonline-Key"
TOKEN_HEADER = "Monsoonline-Token"
FINGERPRINT_BYTES = 16
NOT_RUN_KINDS = frozenset((AttemptKind.CONNECT_FAILED, AttemptKind.SHED))


def fingerprint_of(request):
    """Return a digest that is equal for resends of the same request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host, request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def parse_load(answer):
    """Return the :class:`LoadReport` of an answer, or ``None``."""
    text = answer.header("Monsoonline-Load")
    if text is None:
        return None
    try:
        pairs = dict(part.strip().split("=", 1) for part in text.split(";"))
        return LoadReport(
            in_flight=int(pairs["in-flight"]),
            slots=int(pairs["slots"]),
            queued=int(pairs.get("queued", 0)),
        )
    except (KeyError, ValueError):
        return None


def refusal_answer(refusal, *, token=None):
    """Return the HTTP answer that tells a caller of a refusal."""
    headers = [
        ("Content-Type", "application/json"),
        ("Monsoonline-Outcome", refusal.outcome.value),
    ]
    if token is not None:
        headers.append((TOKEN_HEADER, token))
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after_ms / 1e3))))
    body = orjson.dumps(
        {
            "outcome": refusal.outcome.value,
            "code": refusal.code,
            "message": refusal.message,
        }
    )
    return Answer(status=refusal.status, headers=tuple(headers), body=body)


class Relay:
    """Serves callers' requests.

    :param clock: source of time
    :param dispatcher: chooses upstreams
    :param ledger: at-most-once records
    :param transport: exchanges with upstreams
    :param metrics: counters
    """

    def __init__(self, *, clock, dispatcher, ledger, transport, metrics):
        self._clock = clock
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._transport = transport
        self._metrics = metrics
        self._route_table = None

    def use_routes(self, route_table):
        """Use the routes of newly accepted tables."""
        self._route_table = route_table

    def handle(self, request):
        """Answer one request; never raises a :class:`Refusal`."""
        started = self._clock.now()
        route = self._route_table.match(request) if self._route_table else None
        name = route.name if route else ""
        try:
            answer = self._serve(route, request, started)
        except Refusal as refusal:
            self._metrics.count(
                "refusals_total",
                route=name,
                code=refusal.code,
                outcome=refusal.outcome.value,
            )
            answer = refusal_answer(refusal, token=self._ledger.token())
        elapsed = self._clock.now() - started
        self._metrics.count("requests_total", route=name, status=str(answer.status))
        self._metrics.observe("request_ms", elapsed, route=name)
        return answer

    def _serve(self, route, request, started):
        if route is None:
            raise Refusal(
                f"no route matches {request.method} {request.path!r}",
                code="no-route",
                outcome=Outcome.NOT_RUN,
                status=404,
            )
        deadline = started + route.deadline_ms
        if route.idempotent:
            return self._run(route, request, deadline)
        return self._run_once(route, request, deadline)

    def _run_once(self, route, request, deadline):
        key = request.header(KEY_HEADER)
        if key is None:
            raise Refusal(
                f"route {route.name!r} needs the header {KEY_HEADER}",
                code="key-required",
                outcome=Outcome.NOT_RUN,
                status=428,
            )
        recorded = self._ledger.begin(key, fingerprint_of(request), deadline=deadline)
        if recorded is not None:
            return recorded
        try:
            answer = self._run(route, request, deadline)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._ledger.release_not_run(key)
            else:
                self._ledger.finish(key, refusal_answer(refusal))
            raise
        self._ledger.finish(key, answer)
        return answer

    def _run(self, route, request, deadline):
        excluded = frozenset()
        attempts = 0
        may_have_run = False
        while True:
            attempts += 1
            try:
                assignment = self._dispatcher.acquire(
                    route, deadline=deadline, excluded=excluded
                )
            except Refusal as refusal:
                raise self._with_history(refusal, may_have_run) from None
            result, answer = self._attempt(route, request, assignment, deadline)
            if answer is not None:
                return answer
            may_have_run = may_have_run or result.kind not in NOT_RUN_KINDS
            repeatable = route.idempotent or not may_have_run
            if not repeatable or not self._dispatcher.may_retry(
                route, attempts=attempts, result=result
            ):
                raise self._exhausted(result, may_have_run)
            excluded |= {assignment.upstream.address}

    def _attempt(self, route, request, assignment, deadline):
        started = self._clock.now()
        answer = None
        load = None
        draining = False
        try:
            answer = self._transport.exchange(
                assignment.upstream,
                request,
                deadline=deadline,
                idempotent=route.idempotent,
            )
            kind = AttemptKind.SUCCEEDED if answer.status < 500 else None
            kind = kind or AttemptKind.FAILED_ANSWER
            load = parse_load(answer)
            draining = answer.header("Monsoonline-Draining") == "true"
        except ExchangeFailed as error:
            kind = self._failure_kind(error)
        result = AttemptResult(
            kind=kind,
            latency_ms=self._clock.now() - started,
            load=load,
            draining=draining,
        )
        self._dispatcher.release(assignment, result)
        return result, answer

    @staticmethod
    def _failure_kind(error):
        if not error.sent:
            return AttemptKind.CONNECT_FAILED
        if error.timed_out:
            return AttemptKind.TIMED_OUT
        return AttemptKind.CONNECTION_LOST

    @staticmethod
    def _with_history(refusal, may_have_run):
        if not may_have_run:
            return refusal
        return Refusal(
            refusal.message,
            code=refusal.code,
            outcome=Outcome.UNKNOWN,
            status=refusal.status,
            retry_after_ms=refusal.retry_after_ms,
        )

    @staticmethod
    def _exhausted(result, may_have_run):
        timed_out = result.kind is AttemptKind.TIMED_OUT
        return Refusal(
            f"the last attempt ended with {result.kind.value}",
            code=result.kind.value,
            outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
            status=504 if timed_out else 502,
        )
