"""Limits on what one entry asks of the platform."""

import threading

from monsoonline.errors import StoreUnavailable

__all__ = ["BreakerState", "CircuitBreaker", "RateBudget", "RetryBudget"]

FAILURE_LIMIT = 5
OPEN_MS = 2000.0
# Share of the calls that may be retried, and retries saved up at most.
RETRY_SHARE = 0.2
RETRY_SAVINGS = 5.0


class BreakerState:
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Stops calls to a service that keeps failing, and probes it with one call.

    :param clock: source of time
    :param generator: :class:`numpy.random.Generator` for the jitter
    :param failure_limit: consecutive failures that open the breaker
    :param open_ms: time without calls, extended by up to a half at random
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
        """``closed``, ``open`` or ``half-open``."""
        return self._state

    def admit(self):
        """Admit a call.

        :raises StoreUnavailable: while the breaker is open, and while a probing
            call is under way
        """
        with self._lock:
            if self._state == BreakerState.CLOSED:
                return
            # A probing call that never reported back must not block forever.
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
        """Count a failure and open the breaker at the limit."""
        with self._lock:
            self._failures += 1
            probing = self._state == BreakerState.HALF_OPEN
            if probing or self._failures >= self._failure_limit:
                self._state = BreakerState.OPEN
                pause = self._open_ms * (1.0 + 0.5 * self._generator.random())
                self._retry_at = self._clock.now() + pause


class RateBudget:
    """A token bucket; at most ``burst + per_second`` events in any 1 s window.

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
        """Take one token, waiting for it.

        :param wait_ms: longest wait
        :returns: whether a token was taken
        """
        limit = self._clock.now() + wait_ms
        while True:
            missing_ms = self._try_take()
            if missing_ms == 0.0:
                return True
            if self._clock.now() + missing_ms > limit:
                return False
            self._clock.sleep(missing_ms)

    def _try_take(self):
        with self._lock:
            now = self._clock.now()
            gained = (now - self._updated) / 1e3 * self._per_second
            self._tokens = min(self._burst, self._tokens + gained)
            self._updated = now
            if self._tokens >= 1.0:
                self._tokens -= 1.0
                return 0.0
            return max(1.0, (1.0 - self._tokens) / self._per_second * 1e3)


class RetryBudget:
    """Limits retries to a share of the calls, so that they cannot multiply load."""

    def __init__(self):
        self._lock = threading.Lock()
        self._saved = RETRY_SAVINGS

    def record_call(self):
        """Count one first attempt."""
        with self._lock:
            self._saved = min(RETRY_SAVINGS, self._saved + RETRY_SHARE)

    def take(self):
        """Take one retry; return whether there is one."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
