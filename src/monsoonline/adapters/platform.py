"""HTTP client shared by the adapters of the platform services."""

import dataclasses
import http.client
import urllib.parse

import numpy
import orjson

from monsoonline.adapters.bounded_connection import BoundedConnection
from monsoonline.adapters.circuit_breaker import (
    CircuitBreaker,
    RetryBudget,
    TokenBucket,
)
from monsoonline.clock import SystemClock
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics

__all__ = ["PlatformClient", "PlatformLimits", "PlatformResponse", "ResponseLost"]

MAX_ATTEMPTS = 3
INITIAL_BACKOFF_MS = 50.0
# Time limit of a whole response that makes progress.
RESPONSE_TIMEOUT_MS = 10_000.0
MAX_RESPONSE_BYTES = 32 << 20
SERVICES = ("tables", "objects", "machines")


class PlatformLimits:
    """Rate limits of one entry.

    22 entries share 1,000 reads and 100 writes per second, about 45 reads and 4.5
    writes for each. An entry sends at most rate + burst requests in any window of
    1 s. A restarted process starts with a full burst, so rate + 2 x burst must stay
    below that share.
    """

    READS_PER_SECOND = 24.0
    READ_BURST = 8.0
    WRITES_PER_SECOND = 2.0
    WRITE_BURST = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformResponse:
    """A complete response of the platform.

    :param status: HTTP status code below 500
    :param content: body
    :param entity_tag: value of the ``ETag`` header, ``""`` without one
    """

    status: int
    content: bytes
    entity_tag: str = ""


class ResponseLost(Exception):
    """A request was sent but its response was lost; it may have taken effect."""


class PlatformClient:
    """HTTP client of the platform with timeouts, rate limits and circuit breakers.

    :param url: base URL of the platform
    :param clock: source of time
    :param timeout_ms: time limit of one exchange, and of the wait for the rate limit
    :param metrics: :class:`monsoonline.metrics.Metrics`
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
        # One breaker per service, so that an outage of one does not block the others.
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
        """Mapping from service name, as in the URL, to its :class:`CircuitBreaker`."""
        return self._breakers

    @property
    def metrics(self):
        """Counters of reads, writes, retries and failures."""
        return self._metrics

    def get(self, target):
        """Send a GET request, with retries.

        :param target: path and query
        :returns: status and body bytes; the status is below 500
        :raises StoreUnavailable: when no attempt succeeded
        """
        response = self.with_retries(lambda: self._get_once(target))
        return response.status, response.content

    def get_if_changed(self, target, *, entity_tag):
        """Send a conditional GET request, with retries.

        :param target: path and query
        :param entity_tag: entity tag of the content at hand, ``""`` for none
        :returns: :class:`PlatformResponse`, with status 304 when the content is
            unchanged
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
        """Read a JSON document, without retries.

        :raises StoreUnavailable: when the attempt failed
        """
        response = self._get_once(target)
        if response.status != 200:
            raise StoreUnavailable(f"GET {target} returned {response.status}")
        try:
            return orjson.loads(response.content)
        except orjson.JSONDecodeError as error:
            raise StoreUnavailable(
                f"GET {target} returned a body that is not valid JSON"
            ) from error

    def with_retries(self, attempt):
        """Call ``attempt`` until it succeeds or the attempts are used up.

        :param attempt: function that raises :class:`StoreUnavailable` on failure
        :returns: result of the first attempt that succeeds
        :raises StoreUnavailable: error of the last attempt
        """
        self._retries.record_call()
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                return attempt()
            except StoreUnavailable:
                if number == MAX_ATTEMPTS or not self.pause_before_retry(number):
                    raise
        raise AssertionError("the last attempt returns or raises")

    def pause_before_retry(self, number):
        """Wait before a retry, with exponential backoff and jitter.

        :param number: number of the attempt that failed, from 1
        :returns: whether the retry budget allows another attempt
        """
        if not self._retries.take():
            return False
        self._metrics.count("store_retries_total")
        backoff_ms = INITIAL_BACKOFF_MS * 2.0 ** (number - 1)
        self._clock.sleep(backoff_ms * (0.5 + self._generator.random()))
        return True

    def send_once(self, method, target, body):
        """Send a write request, without retries.

        :param method: HTTP method
        :param target: path and query
        :param body: request body
        :returns: status and body bytes; the status is below 500
        :raises StoreUnavailable: the write had no effect
        :raises ResponseLost: the write may have taken effect
        """
        self._admit_request(self._writes, "writes", target)
        response = self._exchange(method, target, body)
        return response.status, response.content

    def _get_once(self, target, *, headers=None):
        self._admit_request(self._reads, "reads", target)
        try:
            return self._exchange("GET", target, None, headers=headers)
        except ResponseLost as error:
            raise StoreUnavailable(str(error)) from error

    def _breaker(self, target):
        return self._breakers[target.split("/", 3)[2]]

    def _admit_request(self, budget, kind, target):
        self._breaker(target).admit()
        if not budget.take(wait_ms=self._timeout_ms):
            raise StoreUnavailable(
                f"rate limit of this entry for {kind} is exhausted", code="budget"
            )
        self._metrics.count(f"store_{kind}_total")

    def _exchange(self, method, target, body, *, headers=None):
        connection = BoundedConnection(
            address=self._netloc,
            timeout_ms=self._timeout_ms,
            response_timeout_ms=RESPONSE_TIMEOUT_MS,
            max_bytes=MAX_RESPONSE_BYTES,
        )
        try:
            self._connect(connection, target)
            response = self._request(connection, method, target, body, headers or {})
        finally:
            connection.close()
        if response.status == 503:
            # With status 503 the platform guarantees that the request had no effect.
            self._record_failure(target)
            raise StoreUnavailable(f"{method} {target} returned 503")
        if response.status >= 500:
            self._record_failure(target)
            raise ResponseLost(f"{method} {target} returned {response.status}")
        self._breaker(target).record_success()
        return response

    def _connect(self, connection, target):
        try:
            connection.connect()
        except OSError as error:
            self._record_failure(target)
            raise StoreUnavailable(
                f"connecting to the platform failed: {error!r}"
            ) from error

    def _request(self, connection, method, target, body, headers):
        try:
            response = connection.exchange(
                method, target, body=body, headers=headers
            ).response
            return PlatformResponse(
                status=response.status,
                content=response.body,
                entity_tag=response.header("ETag") or "",
            )
        except (OSError, http.client.HTTPException) as error:
            self._record_failure(target)
            raise ResponseLost(f"{method} {target} failed: {error!r}") from error

    def _record_failure(self, target):
        self._breaker(target).record_failure()
        self._metrics.count("store_failures_total")
