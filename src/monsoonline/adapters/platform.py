"""HTTP client shared by the adapters of the platform's services."""

import dataclasses
import http.client
import urllib.parse

import numpy
import orjson

from monsoonline.adapters.circuit_breaker import (
    CircuitBreaker,
    RetryBudget,
    TokenBucket,
)
from monsoonline.clock import SystemClock
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics

__all__ = ["PlatformAnswer", "PlatformClient", "PlatformLimits", "ResponseLost"]

ATTEMPTS = 3
BACKOFF_MS = 50.0
SERVICES = ("tables", "objects", "machines")


class PlatformLimits:
    """Budget of one entry.

    22 entries share 1,000 reads and 100 writes a second. An entry sends at most
    rate + burst in any window of 1 s, and a restarted process begins with a full
    burst, so that rate + 2 x burst must stay below 45 reads and 4.5 writes.
    """

    READS_PER_SECOND = 24.0
    READ_BURST = 8.0
    WRITES_PER_SECOND = 2.0
    WRITE_BURST = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAnswer:
    """A complete answer of the platform.

    :param status: HTTP status code below 500
    :param content: the body
    :param entity_tag: value of the ``ETag`` header, ``""`` without one
    """

    status: int
    content: bytes
    entity_tag: str = ""


class ResponseLost(Exception):
    """A request was sent and no response came; it may have taken effect."""


class PlatformClient:
    """Exchanges with the platform under timeouts, budgets and a circuit breaker.

    :param url: base URL of the platform
    :param clock: source of time
    :param timeout_ms: time limit of one exchange, and of the wait for the budget
    :param metrics: counters
    :param limits: :class:`PlatformLimits` or an object with the same attributes
    :param generator: :class:`numpy.random.Generator` for the jitter
    """

    def __init__(
        self,
        *,
        url,
        clock=None,
        timeout_ms=1000.0,
        metrics=None,
        limits=PlatformLimits,
        generator=None,
    ):
        self._netloc = urllib.parse.urlsplit(url).netloc
        self._clock = clock or SystemClock()
        self._timeout_ms = timeout_ms
        self._metrics = metrics or Metrics()
        self._generator = generator or numpy.random.default_rng()
        # One breaker per service: an outage of one must not stop the others.
        self._breakers = {
            service: CircuitBreaker(clock=self._clock, generator=self._generator)
            for service in SERVICES
        }
        self._retries = RetryBudget()
        self._reads = TokenBucket(
            clock=self._clock,
            per_second=limits.READS_PER_SECOND,
            burst=limits.READ_BURST,
        )
        self._writes = TokenBucket(
            clock=self._clock,
            per_second=limits.WRITES_PER_SECOND,
            burst=limits.WRITE_BURST,
        )

    @property
    def breakers(self):
        """The :class:`CircuitBreaker` of each service, by its name in the URL."""
        return self._breakers

    @property
    def metrics(self):
        """Counters of reads, writes, retries and failures."""
        return self._metrics

    def get(self, target):
        """Read, with retries.

        :param target: path and query
        :returns: status and body bytes; the status is below 500
        :raises StoreUnavailable: when no attempt succeeded
        """
        answer = self.with_retries(lambda: self._get_once(target))
        return answer.status, answer.content

    def get_if_changed(self, target, *, entity_tag):
        """Read, with retries, unless the content still has an entity tag.

        :param target: path and query
        :param entity_tag: tag of the content held, ``""`` for none
        :returns: :class:`PlatformAnswer`, of status 304 where nothing changed
        :raises StoreUnavailable: when no attempt succeeded
        """
        headers = {"If-None-Match": entity_tag} if entity_tag else {}
        return self.with_retries(lambda: self._get_once(target, headers=headers))

    def get_document(self, target):
        """Read a JSON document, with retries.

        :raises StoreUnavailable: when no attempt succeeded
        """
        return self.with_retries(lambda: self.get_document_once(target))

    def get_document_once(self, target):
        """Read a JSON document, in one attempt.

        :raises StoreUnavailable: when the attempt failed
        """
        answer = self._get_once(target)
        if answer.status != 200:
            raise StoreUnavailable(f"GET {target} returned {answer.status}")
        try:
            return orjson.loads(answer.content)
        except orjson.JSONDecodeError as error:
            raise StoreUnavailable(f"GET {target} returned no JSON") from error

    def with_retries(self, attempt):
        """Call ``attempt`` until it succeeds or the attempts are used up.

        :param attempt: function that raises :class:`StoreUnavailable` on failure
        :raises StoreUnavailable: the failure of the last attempt
        """
        self._retries.record_call()
        for number in range(1, ATTEMPTS + 1):
            try:
                return attempt()
            except StoreUnavailable:
                if number == ATTEMPTS or not self.pause_before_retry(number):
                    raise
        raise AssertionError("the last attempt returns or raises")

    def pause_before_retry(self, number):
        """Wait with exponential backoff and jitter.

        :param number: number of the attempt that failed, from 1
        :returns: whether the retry budget allows another attempt
        """
        if not self._retries.take():
            return False
        self._metrics.count("store_retries_total")
        scale = BACKOFF_MS * 2.0 ** (number - 1)
        self._clock.sleep(scale * (0.5 + self._generator.random()))
        return True

    def send_once(self, method, target, body):
        """Write, in one attempt.

        :returns: status and body bytes; the status is below 500
        :raises StoreUnavailable: the write certainly had no effect
        :raises ResponseLost: the write may have taken effect
        """
        self._take(self._writes, "writes", target)
        answer = self._exchange(method, target, body)
        return answer.status, answer.content

    def _get_once(self, target, *, headers=None):
        self._take(self._reads, "reads", target)
        try:
            return self._exchange("GET", target, None, headers=headers)
        except ResponseLost as error:
            raise StoreUnavailable(str(error)) from error

    def _breaker(self, target):
        return self._breakers[target.split("/", 3)[2]]

    def _take(self, budget, kind, target):
        self._breaker(target).admit()
        if not budget.take(wait_ms=self._timeout_ms):
            raise StoreUnavailable(
                f"this entry's budget of {kind} is used up", code="budget"
            )
        self._metrics.count(f"store_{kind}_total")

    def _exchange(self, method, target, body, *, headers=None):
        connection = http.client.HTTPConnection(
            self._netloc, timeout=self._timeout_ms / 1e3
        )
        try:
            self._connect(connection, target)
            answer = self._request(connection, method, target, body, headers or {})
        finally:
            connection.close()
        if answer.status == 503:
            # The platform's certificate that it did nothing.
            self._fail(target)
            raise StoreUnavailable(f"{method} {target} returned 503")
        if answer.status >= 500:
            self._fail(target)
            raise ResponseLost(f"{method} {target} returned {answer.status}")
        self._breaker(target).record_success()
        return answer

    def _connect(self, connection, target):
        try:
            connection.connect()
        except OSError as error:
            self._fail(target)
            raise StoreUnavailable(f"no connection: {error!r}") from error

    def _request(self, connection, method, target, body, headers):
        try:
            connection.request(method, target, body=body, headers=headers)
            response = connection.getresponse()
            return PlatformAnswer(
                status=response.status,
                content=response.read(),
                entity_tag=response.getheader("ETag", ""),
            )
        except (OSError, http.client.HTTPException) as error:
            self._fail(target)
            raise ResponseLost(f"{method} {target} failed: {error!r}") from error

    def _fail(self, target):
        self._breaker(target).record_failure()
        self._metrics.count("store_failures_total")
