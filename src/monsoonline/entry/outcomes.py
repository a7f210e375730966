"""Results of attempts: whether a request may have run, and what its caller gets."""

import dataclasses
import functools
import math
import re

import orjson

from monsoonline.adapters.http_upstream import CONNECTION_LIMIT
from monsoonline.core.model import RefusalMeaning
from monsoonline.errors import Refusal
from monsoonline.types import (
    Answer,
    AttemptKind,
    AttemptResult,
    LoadReport,
    Outcome,
)

__all__ = [
    "Attempt",
    "AttemptHistory",
    "failure_kind",
    "internal_refusal",
    "parse_load",
    "refusal_response",
    "response_kind",
]

DRAINING_HEADER = "Monsoonline-Draining"
NOT_RUN_HEADER = "Monsoonline-Not-Run"
OUTCOME_HEADER = "Monsoonline-Outcome"
TOKEN_HEADER = "Monsoonline-Token"
# Retry-After has a resolution of whole seconds, so many callers would retry at the
# same instant.
RETRY_AFTER_MS_HEADER = "Monsoonline-Retry-After-Ms"
# Headers between an entry and its upstreams that callers do not get.
PRIVATE_HEADERS = frozenset(
    (
        "monsoonline-draining",
        "monsoonline-exchange-id",
        "monsoonline-load",
        "monsoonline-not-run",
        "monsoonline-outcome",
    )
)
CALLER_GONE_STATUS = 499
REFUSAL_STATUS = 400
# Connections are returned to the pool when requests end, well within this time.
CONNECTION_RETRY_MS = 1000.0
FAILURE_STATUS = 500
COUNT = re.compile(r"[0-9]{1,6}")
WHOLE_SECONDS = re.compile(r"[0-9]{1,6}")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """The end of one attempt at an upstream.

    :param result: :class:`AttemptResult` for the dispatcher
    :param may_have_run: whether the upstream may have run the request
    :param response: the complete response, ``None`` without one
    :param own_cause: error code if this entry ended the attempt for a reason that says
        nothing about the upstream, otherwise ``None``
    """

    result: AttemptResult
    may_have_run: bool
    response: Answer | None = None
    own_cause: str | None = None

    @property
    def succeeded(self):
        """Whether the caller gets the response without another attempt."""
        return self.result.kind is AttemptKind.SUCCEEDED


def parse_load(response):
    """Return the :class:`LoadReport` of a response, or ``None``."""
    text = response.header("Monsoonline-Load")
    return None if text is None else parse_load_header(text)


@functools.lru_cache(maxsize=1024)
def parse_load_header(text):
    """Return the :class:`LoadReport` of a header value, ``None`` if it is not valid.

    The results are cached, because an upstream with few slots sends few different
    values.
    """
    pairs = dict(part.strip().partition("=")[::2] for part in text.split(";"))
    counts = [pairs.get(name, "") for name in ("in-flight", "slots")]
    counts.append(pairs.get("queued", "0"))
    if not all(COUNT.fullmatch(count) for count in counts):
        return None
    in_flight, slots, queued = map(int, counts)
    return LoadReport(in_flight=in_flight, slots=slots, queued=queued)


def response_kind(response, *, refusal_means):
    """Classify a complete response.

    :param response: the upstream's :class:`monsoonline.types.Answer`
    :param refusal_means: the pool's :class:`RefusalMeaning`
    :returns: an :class:`AttemptKind`; ``SHED`` only for a certified refusal of a pool
        whose certificates are trusted
    """
    if response.status < REFUSAL_STATUS:
        return AttemptKind.SUCCEEDED
    certified = response.header(NOT_RUN_HEADER) == "true"
    if certified and refusal_means == RefusalMeaning.NOT_RUN:
        return AttemptKind.SHED
    if response.status >= FAILURE_STATUS:
        return AttemptKind.FAILED_RESPONSE
    return AttemptKind.SUCCEEDED


def failure_kind(error):
    """Classify an :class:`ExchangeFailed`."""
    # A cancelled attempt does not change the statistics of its upstream.
    if error.cancelled or error.own_cause is not None:
        return AttemptKind.CANCELLED
    if not error.sent:
        return AttemptKind.CONNECT_FAILED
    if error.timed_out:
        return AttemptKind.TIMED_OUT
    return AttemptKind.CONNECTION_LOST


def public_response(response, *, outcome=None):
    """Return an upstream's response without the headers that callers do not get.

    :param outcome: :class:`Outcome` to add as a header, ``None`` to add no header
    """
    headers = tuple(
        header
        for header in response.headers
        if header[0].lower() not in PRIVATE_HEADERS
    )
    if outcome is not None:
        headers = (*headers, (OUTCOME_HEADER, outcome.value))
    return dataclasses.replace(response, headers=headers)


def refusal_response(refusal, *, token=None):
    """Return the HTTP response that reports a refusal to the caller.

    :param token: the entry's token for idempotency keys to add as a header, ``None``
        to add no header
    """
    headers = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, refusal.outcome.value),
    ]
    if token is not None:
        headers.append((TOKEN_HEADER, token))
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after_ms / 1e3))))
        headers.append((RETRY_AFTER_MS_HEADER, str(math.ceil(refusal.retry_after_ms))))
    body = orjson.dumps(
        {
            "outcome": refusal.outcome.value,
            "code": refusal.code,
            "message": refusal.message,
        }
    )
    return Answer(status=refusal.status, headers=tuple(headers), body=body)


def internal_refusal():
    """Return the refusal after an unexpected error, when the request may have run."""
    return Refusal(
        "unexpected error in the entry",
        code="internal-error",
        outcome=Outcome.UNKNOWN,
        status=500,
    )


class AttemptHistory:
    """The attempts of one request so far.

    :param idempotent: whether the request may run more than once
    """

    def __init__(self, *, idempotent):
        self._idempotent = idempotent
        self._attempts = 0
        self._ended_locally = 0
        self._connection_lost = False
        self._may_have_run = False
        self._last = None
        self._refusal = None
        self._excluded = frozenset()

    @property
    def attempts(self):
        """Number of attempts that were started."""
        return self._attempts

    @property
    def upstream_attempts(self):
        """Number of attempts, without those that this entry ended itself."""
        return self._attempts - self._ended_locally

    @property
    def connection_lost(self):
        """Whether the connection of an attempt was lost."""
        return self._connection_lost

    @property
    def succeeded(self):
        """Whether the last attempt succeeded."""
        return self._last.succeeded

    @property
    def connection_limit_reached(self):
        """Whether the last attempt failed at the connection limit of its upstream."""
        return self._last.own_cause == CONNECTION_LIMIT

    @property
    def excluded(self):
        """Addresses of upstreams that get no further attempt of this request.

        An upstream that only had no free slot is not among them, because it may soon
        have one again.
        """
        return self._excluded

    @property
    def repeatable(self):
        """Whether another attempt is safe.

        A request that is not idempotent is repeated only when no attempt can have run
        it. No request is repeated after its caller has cancelled an attempt.
        """
        cancelled = self._last.result.kind is AttemptKind.CANCELLED
        if cancelled and self._last.own_cause is None:
            return False
        return self._idempotent or not self._may_have_run

    def record_start(self, address):
        """Record the start of an attempt at an upstream.

        The request may have run from here until :meth:`record_end`.
        """
        self._attempts += 1
        self._excluded |= {address}

    def record_end(self, attempt, address):
        """Record the end of an attempt at an upstream."""
        self._last = attempt
        # An upstream that sends Retry-After gets no further attempt of this request.
        shed = attempt.result.kind is AttemptKind.SHED
        if shed and attempt.response.header("Retry-After") is None:
            self._excluded -= {address}
        self._ended_locally += attempt.own_cause is not None
        kind = attempt.result.kind
        self._connection_lost |= kind is AttemptKind.CONNECTION_LOST
        self._may_have_run = self._may_have_run or attempt.may_have_run

    def record_refusal(self, refusal):
        """Record why no upstream was available for another attempt."""
        self._refusal = refusal

    def conclude(self):
        """Return the response for the caller after the last attempt.

        :raises Refusal: when there is no response that may be passed on
        """
        kind = self._last.result.kind
        if kind is AttemptKind.SUCCEEDED:
            return public_response(self._last.response)
        if kind is AttemptKind.FAILED_RESPONSE:
            return public_response(self._last.response, outcome=Outcome.UNKNOWN)
        code = self._last.own_cause or (
            "caller-gone" if kind is AttemptKind.CANCELLED else kind.value
        )
        raise Refusal(
            f"the last of {self._attempts} attempts ended with {code}",
            code=code,
            outcome=Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN,
            status=self._status(kind),
            retry_after_ms=self._retry_after_ms(),
        )

    def _status(self, kind):
        if self._last.own_cause is not None:
            return 503 if self.connection_limit_reached else 504
        return {
            AttemptKind.TIMED_OUT: 504,
            AttemptKind.SHED: 503,
            AttemptKind.CANCELLED: CALLER_GONE_STATUS,
        }.get(kind, 502)

    def _retry_after_ms(self):
        if self.connection_limit_reached:
            return CONNECTION_RETRY_MS
        response = self._last.response
        value = response.header("Retry-After") if response else None
        if value and WHOLE_SECONDS.fullmatch(value):
            return int(value) * 1e3
        return self._refusal.retry_after_ms if self._refusal else None
