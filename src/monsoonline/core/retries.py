"""Retry and hedge budgets of routes.

First attempts add tokens to a budget, and retries and hedges spend them. Additional
attempts thus stay a fixed share of the traffic even when a whole pool fails.
"""

import threading

from monsoonline.types import AttemptKind

__all__ = ["LatencyQuantile", "RouteBudgets", "TokenBudget"]

# Tokens per first attempt.
RETRY_SHARE = 0.1
HEDGE_SHARE = 0.1
# An attempt that an upstream sheds and certifies as not run costs one round trip and no
# service time, so retries after it have a separate budget and limit.
SHED_RETRY_SHARE = 2.0
SHED_RETRY_CAPACITY = 200.0
MAX_SHED_RETRIES = 20
# Allows a few retries and hedges on routes with little traffic.
TOKEN_CAPACITY = 10.0
HEDGE_QUANTILE = 0.9
# While the pool has idle slots, hedges take no slots from other requests. More hedges
# are then allowed, after a shorter delay.
SPARE_HEDGE_SHARE = 0.2
SPARE_HEDGE_QUANTILE = 0.7
# Step of the quantile estimate per observation, relative to the estimate.
QUANTILE_STEP = 0.05
INITIAL_HEDGE_DELAY_MS = 50.0
MIN_HEDGE_DELAY_MS = 1.0
NOT_RUN_KINDS = frozenset((AttemptKind.CONNECT_FAILED, AttemptKind.SHED))


class TokenBudget:
    """Token bucket for retries or hedges that is filled by first attempts.

    :param share: tokens added per first attempt
    :param capacity: maximum and initial number of tokens
    """

    def __init__(self, *, share, capacity=TOKEN_CAPACITY):
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self):
        """Tokens available now."""
        return self._tokens

    def earn(self):
        """Add the tokens for one first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self):
        """Remove one token; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LatencyQuantile:
    """Running estimate of a quantile of a latency.

    :param quantile: the quantile, from 0 to 1
    """

    def __init__(self, *, quantile):
        self._quantile = quantile
        self._value = None

    @property
    def value(self):
        """Estimate in ms, or ``None`` before the first observation."""
        return self._value

    def observe(self, latency_ms):
        """Update the estimate with one observation."""
        if self._value is None:
            self._value = 2.0 * latency_ms
            return
        step = QUANTILE_STEP * self._value
        if latency_ms > self._value:
            self._value += step * self._quantile
        else:
            self._value -= step * (1.0 - self._quantile)


class RouteBudgets:
    """Retry and hedge budgets of one route."""

    def __init__(self):
        self._lock = threading.Lock()
        self._retries = TokenBudget(share=RETRY_SHARE)
        self._hedges = TokenBudget(share=HEDGE_SHARE)
        self._spare_hedges = TokenBudget(share=SPARE_HEDGE_SHARE)
        self._shed_retries = TokenBudget(
            share=SHED_RETRY_SHARE, capacity=SHED_RETRY_CAPACITY
        )
        self._latency = LatencyQuantile(quantile=HEDGE_QUANTILE)
        self._spare_latency = LatencyQuantile(quantile=SPARE_HEDGE_QUANTILE)

    @property
    def hedge_delay_ms(self):
        """Delay in ms after which a pending attempt may be hedged."""
        return self._delay_of(self._latency)

    @property
    def spare_hedge_delay_ms(self):
        """Hedge delay in ms while the pool has idle slots."""
        return self._delay_of(self._spare_latency)

    def record_first_attempt(self):
        """Add the tokens of one first attempt to all budgets."""
        with self._lock:
            self._retries.earn()
            self._hedges.earn()
            self._spare_hedges.earn()
            self._shed_retries.earn()

    def observe(self, latency_ms):
        """Record the latency of a first attempt or a lower bound of it, in ms."""
        with self._lock:
            self._latency.observe(latency_ms)
            self._spare_latency.observe(latency_ms)

    def may_retry(self, route, *, attempts, result):
        """Return whether another attempt is allowed, and charge it to the budget.

        :param route: the :class:`monsoonline.core.model.Route`
        :param attempts: number of attempts so far
        :param result: the :class:`monsoonline.types.AttemptResult` of the last one
        """
        if result.kind is AttemptKind.SHED:
            return self._may_retry_shed(attempts)
        if attempts > route.tolerance.retries:
            return False
        if not route.idempotent and result.kind not in NOT_RUN_KINDS:
            return False
        if result.kind is AttemptKind.CANCELLED:
            return False
        with self._lock:
            return self._retries.spend()

    def _may_retry_shed(self, attempts):
        with self._lock:
            return attempts <= MAX_SHED_RETRIES and self._shed_retries.spend()

    def may_hedge(self, route, *, spare=False):
        """Return whether a hedge is allowed, and charge it to the budget.

        :param route: the :class:`monsoonline.core.model.Route`
        :param spare: whether the pool has idle slots
        """
        if not route.idempotent or route.tolerance.hedges < 1:
            return False
        with self._lock:
            return (spare and self._spare_hedges.spend()) or self._hedges.spend()

    @staticmethod
    def _delay_of(latency):
        if latency.value is None:
            return INITIAL_HEDGE_DELAY_MS
        return max(MIN_HEDGE_DELAY_MS, latency.value)
