"""Circuit breaker, rate limit and retry limit for an entry's platform calls."""

import threading

from monsoonline.errors import StoreUnavailable

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "TokenBucket"]

FAILURE_LIMIT = 5
OPEN_MS = 2000.0
# Retries earned by each first attempt, and the maximum number saved up.
RETRY_SHARE = 0.2
MAX_SAVED_RETRIES = 5.0


class BreakerState:
    """State names of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Rejects calls to a failing service, then tests it with a single call.

    :param clock: source of time
    :param generator: :class:`numpy.random.Generator` for the jitter
    :param failure_limit: consecutive failures that open the breaker
    :param open_ms: time in ms during which an open breaker rejects all calls,
        extended by a random jitter of up to 50 %
    """

    def __init__(
        self, *, clock, generator, failure_limit=FAILURE_LIMIT, open_ms=OPEN_MS
    ):
        self._clock = clock
        self._generator = generator
        self._failure_limit = failure_limit
        self._open_ms = open_ms
        self._lock = threading.Lock()
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._retry_at = 0.0

    @property
    def state(self):
        """The state: ``closed``, ``open`` or ``half-open``."""
        return self._state

    def admit(self):
        """Admit a call.

        :raises StoreUnavailable: while the breaker is open, and while the test call of
            a half-open breaker is in progress
        """
        with self._lock:
            if self._state == BreakerState.CLOSED:
                return
            # A half-open breaker admits another test call after open_ms, since one that
            # never reports its result would keep the breaker half-open forever.
            if self._clock.now() < self._retry_at:
                raise StoreUnavailable(
                    "the circuit breaker of the platform is open", code="breaker-open"
                )
            self._state = BreakerState.HALF_OPEN
            self._retry_at = self._clock.now() + self._open_ms

    def record_success(self):
        """Close the breaker."""
        with self._lock:
            self._state = BreakerState.CLOSED
            self._failures = 0

    def record_failure(self):
        """Count a failure; open the breaker at the limit or if a test call failed."""
        with self._lock:
            self._failures += 1
            probing = self._state == BreakerState.HALF_OPEN
            if probing or self._failures >= self._failure_limit:
                self._state = BreakerState.OPEN
                pause = self._open_ms * (1.0 + 0.5 * self._generator.random())
                self._retry_at = self._clock.now() + pause


class TokenBucket:
    """A token bucket that allows ``burst + per_second`` events in any 1 s window.

    :param clock: source of time
    :param per_second: tokens added per second
    :param burst: capacity of the bucket
    """

    def __init__(self, *, clock, per_second, burst):
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = float(burst)
        self._updated = clock.now()
        self._lock = threading.Lock()

    def take(self, *, wait_ms):
        """Take one token, waiting for it if the bucket is empty.

        :param wait_ms: maximum wait in ms
        :returns: whether a token was taken
        """
        deadline = self._clock.now() + wait_ms
        while True:
            delay_ms = self._try_take()
            if delay_ms == 0.0:
                return True
            if self._clock.now() + delay_ms > deadline:
                return False
            self._clock.sleep(delay_ms)

    def _try_take(self):
        """Take a token and return 0, or return the time in ms until the next one."""
        with self._lock:
            now = self._clock.now()
            added = (now - self._updated) / 1e3 * self._per_second
            self._tokens = min(self._burst, self._tokens + added)
            self._updated = now
            if self._tokens >= 1.0:
                self._tokens -= 1.0
                return 0.0
            return max(1.0, (1.0 - self._tokens) / self._per_second * 1e3)


class RetryBudget:
    """Limits retries to a share of the calls to prevent retry storms."""

    def __init__(self):
        self._lock = threading.Lock()
        self._saved_retries = MAX_SAVED_RETRIES

    def record_call(self):
        """Record a first attempt, which earns a share of a retry."""
        with self._lock:
            self._saved_retries = min(
                MAX_SAVED_RETRIES, self._saved_retries + RETRY_SHARE
            )

    def take(self):
        """Take one retry from the budget.

        :returns: whether a retry is allowed
        """
        with self._lock:
            if self._saved_retries < 1.0:
                return False
            self._saved_retries -= 1.0
            return True
