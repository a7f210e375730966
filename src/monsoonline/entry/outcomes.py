"""What the attempts of a request say about whether it ran, and what to answer."""

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
    "History",
    "answer_kind",
    "failure_kind",
    "internal_refusal",
    "parse_load",
    "refusal_answer",
]

DRAINING_HEADER = "Monsoonline-Draining"
NOT_RUN_HEADER = "Monsoonline-Not-Run"
OUTCOME_HEADER = "Monsoonline-Outcome"
TOKEN_HEADER = "Monsoonline-Token"
# Retry-After has whole seconds, which would send many callers back at one instant.
RETRY_AFTER_MS_HEADER = "Monsoonline-Retry-After-Ms"
# Statements between this entry and its upstream, not for the caller.
PRIVATE_HEADERS = frozenset(
    (
        "monsoonline-draining",
        "monsoonline-load",
        "monsoonline-not-run",
        "monsoonline-outcome",
    )
)
CALLER_GONE_STATUS = 499
REFUSAL_STATUS = 400
# Connections come back as requests end, well within this time.
CONNECTION_RETRY_MS = 1000.0
FAILURE_STATUS = 500
WHOLE_SECONDS = re.compile(r"[0-9]{1,6}")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt at an upstream.

    :param result: what the dispatcher learns
    :param may_have_run: whether the upstream may have run the request
    :param answer: the whole answer, if there is one
    :param own_cause: code of a cause in this entry, which ended the attempt although
        nothing was wrong with the upstream; ``None`` for other ends
    """

    result: AttemptResult
    may_have_run: bool
    answer: Answer | None = None
    own_cause: str | None = None

    @property
    def succeeded(self):
        """Whether the answer goes to the caller without another attempt."""
        return self.result.kind is AttemptKind.SUCCEEDED


def parse_load(answer):
    """Return the :class:`LoadReport` of an answer, or ``None``."""
    text = answer.header("Monsoonline-Load")
    return None if text is None else load_of(text)


@functools.lru_cache(maxsize=1024)
def load_of(text):
    """Return the :class:`LoadReport` of a header value, or ``None``; cached.

    An upstream with a few slots sends only a few different values.
    """
    try:
        pairs = dict(part.strip().split("=", 1) for part in text.split(";"))
        return LoadReport(
            in_flight=int(pairs["in-flight"]),
            slots=int(pairs["slots"]),
            queued=int(pairs.get("queued", 0)),
        )
    except (KeyError, ValueError):
        return None


def answer_kind(answer, *, refusal_means):
    """Classify a whole answer.

    :param answer: the upstream's :class:`monsoonline.types.Answer`
    :param refusal_means: the pool's :class:`RefusalMeaning`
    :returns: ``SHED`` only for a refusal with a certificate that the pool trusts
    """
    if answer.status < REFUSAL_STATUS:
        return AttemptKind.SUCCEEDED
    certified = answer.header(NOT_RUN_HEADER) == "true"
    if certified and refusal_means == RefusalMeaning.NOT_RUN:
        return AttemptKind.SHED
    if answer.status >= FAILURE_STATUS:
        return AttemptKind.FAILED_ANSWER
    return AttemptKind.SUCCEEDED


def failure_kind(error):
    """Classify an :class:`ExchangeFailed`."""
    # The dispatcher learns nothing from a cancelled attempt.
    if error.cancelled or error.own_cause is not None:
        return AttemptKind.CANCELLED
    if not error.sent:
        return AttemptKind.CONNECT_FAILED
    if error.timed_out:
        return AttemptKind.TIMED_OUT
    return AttemptKind.CONNECTION_LOST


def public_answer(answer, *, outcome=None):
    """Return an upstream's answer as the caller may see it.

    :param outcome: :class:`Outcome` to state, ``None`` for none
    """
    headers = tuple(
        pair for pair in answer.headers if pair[0].lower() not in PRIVATE_HEADERS
    )
    if outcome is not None:
        headers = (*headers, (OUTCOME_HEADER, outcome.value))
    return dataclasses.replace(answer, headers=headers)


def refusal_answer(refusal, *, token=None):
    """Return the HTTP answer that tells a caller of a refusal."""
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
    """Return the refusal for an unexpected error; the request may have run."""
    return Refusal(
        "unexpected error in the entry",
        code="internal-error",
        outcome=Outcome.UNKNOWN,
        status=500,
    )


class History:
    """The attempts of one request so far.

    :param idempotent: whether the request may run more than once
    """

    def __init__(self, *, idempotent):
        self._idempotent = idempotent
        self._attempts = 0
        self._unsent = 0
        self._connection_lost = False
        self._may_have_run = False
        self._last = None
        self._refusal = None
        self._excluded = frozenset()

    @property
    def attempts(self):
        """Number of attempts."""
        return self._attempts

    @property
    def reached(self):
        """Number of attempts that this entry did not end itself."""
        return self._attempts - self._unsent

    @property
    def connection_lost(self):
        """Whether the connection of an attempt was lost."""
        return self._connection_lost

    @property
    def succeeded(self):
        """Whether the last attempt succeeded."""
        return self._last.succeeded

    @property
    def limited(self):
        """Whether the last attempt found no free connection."""
        return self._last.own_cause == CONNECTION_LIMIT

    @property
    def excluded(self):
        """Addresses that take no further attempt of this request.

        An upstream that only had no free slot may have one again soon.
        """
        return self._excluded

    @property
    def repeatable(self):
        """Whether another attempt cannot run the request a second time."""
        cancelled = self._last.result.kind is AttemptKind.CANCELLED
        if cancelled and self._last.own_cause is None:
            return False
        return self._idempotent or not self._may_have_run

    def begin(self, address):
        """Record that an attempt at an upstream begins.

        Until its end is recorded, the request may have run.
        """
        self._attempts += 1
        self._excluded |= {address}

    def add(self, attempt, address):
        """Record the end of an attempt at an upstream."""
        self._last = attempt
        # An upstream that asks for a pause is left alone by this request.
        shed = attempt.result.kind is AttemptKind.SHED
        if shed and attempt.answer.header("Retry-After") is None:
            self._excluded -= {address}
        self._unsent += attempt.own_cause is not None
        kind = attempt.result.kind
        self._connection_lost |= kind is AttemptKind.CONNECTION_LOST
        self._may_have_run = self._may_have_run or attempt.may_have_run

    def refused(self, refusal):
        """Record that no further upstream could be had."""
        self._refusal = refusal

    def conclude(self):
        """Return the answer to the caller when no further attempt is made.

        :raises Refusal: when no answer may be passed on
        """
        kind = self._last.result.kind
        if kind is AttemptKind.SUCCEEDED:
            return public_answer(self._last.answer)
        if kind is AttemptKind.FAILED_ANSWER:
            return public_answer(self._last.answer, outcome=Outcome.UNKNOWN)
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
            return 503 if self.limited else 504
        return {
            AttemptKind.TIMED_OUT: 504,
            AttemptKind.SHED: 503,
            AttemptKind.CANCELLED: CALLER_GONE_STATUS,
        }.get(kind, 502)

    def _retry_after_ms(self):
        if self.limited:
            return CONNECTION_RETRY_MS
        answer = self._last.answer
        value = answer.header("Retry-After") if answer else None
        if value and WHOLE_SECONDS.fullmatch(value):
            return int(value) * 1e3
        return self._refusal.retry_after_ms if self._refusal else None
