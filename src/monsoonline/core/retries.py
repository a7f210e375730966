"""Budgets of retries and hedges.

A budget grows with the first attempts of a route and is spent by repeated ones, so
repeated attempts stay a fixed share of the traffic when a whole pool fails.
"""

import threading

from monsoonline.types import AttemptKind

__all__ = ["LatencyQuantile", "RepeatBudget", "RouteBudgets"]

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.1
# A certified refusal costs one round trip and no service time, so it has a budget
# and a limit of its own.
PLACEMENT_SHARE = 2.0
PLACEMENT_RESERVE = 200.0
MAX_PLACEMENTS = 20
# Allows a few repeats when a route has little traffic.
RESERVE = 10.0
HEDGE_QUANTILE = 0.9
# While the pool has idle slots, hedges cost no other request its slot, so more of
# them are sent, and earlier.
SPARE_HEDGE_SHARE = 0.2
SPARE_HEDGE_QUANTILE = 0.7
QUANTILE_STEP = 0.05
INITIAL_HEDGE_DELAY_MS = 50.0
MIN_HEDGE_DELAY_MS = 1.0
NOT_RUN_KINDS = frozenset((AttemptKind.CONNECT_FAILED, AttemptKind.SHED))


class RepeatBudget:
    """Tokens for repeated attempts.

    :param share: tokens earned per first attempt
    :param reserve: the most tokens kept
    """

    def __init__(self, *, share, reserve=RESERVE):
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self):
        """Repeats that the budget allows now."""
        return self._tokens

    def earn(self):
        """Count one first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self):
        """Take one token; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LatencyQuantile:
    """Running estimate of one quantile of a latency in ms.

    :param quantile: 0 to 1
    """

    def __init__(self, *, quantile):
        self._quantile = quantile
        self._value = None

    @property
    def value(self):
        """The estimate in ms, ``None`` before the first observation."""
        return self._value

    def observe(self, latency_ms):
        """Move the estimate by one observation."""
        if self._value is None:
            self._value = 2.0 * latency_ms
            return
        step = QUANTILE_STEP * self._value
        if latency_ms > self._value:
            self._value += step * self._quantile
        else:
            self._value -= step * (1.0 - self._quantile)


class RouteBudgets:
    """Retry and hedge budget of one route."""

    def __init__(self):
        self._lock = threading.Lock()
        self._retries = RepeatBudget(share=RETRY_SHARE)
        self._hedges = RepeatBudget(share=HEDGE_SHARE)
        self._spare_hedges = RepeatBudget(share=SPARE_HEDGE_SHARE)
        self._placements = RepeatBudget(
            share=PLACEMENT_SHARE, reserve=PLACEMENT_RESERVE
        )
        self._latency = LatencyQuantile(quantile=HEDGE_QUANTILE)
        self._spare_latency = LatencyQuantile(quantile=SPARE_HEDGE_QUANTILE)

    @property
    def hedge_delay_ms(self):
        """Time after which a lookup may be sent a second time."""
        return self._delay_of(self._latency)

    @property
    def spare_hedge_delay_ms(self):
        """The same while the pool has idle slots."""
        return self._delay_of(self._spare_latency)

    def first_attempt(self):
        """Count a first attempt."""
        with self._lock:
            self._retries.earn()
            self._hedges.earn()
            self._spare_hedges.earn()
            self._placements.earn()

    def observe(self, latency_ms):
        """Record the latency of a first attempt, or a lower bound of it."""
        with self._lock:
            self._latency.observe(latency_ms)
            self._spare_latency.observe(latency_ms)

    def may_retry(self, route, *, attempts, result):
        """Tell whether another attempt is allowed, and count it.

        :param route: the route
        :param attempts: attempts made so far
        :param result: how the last one ended
        """
        if result.kind is AttemptKind.SHED:
            return self._may_place_again(attempts)
        if attempts > route.tolerance.retries:
            return False
        if not route.idempotent and result.kind not in NOT_RUN_KINDS:
            return False
        if result.kind is AttemptKind.CANCELLED:
            return False
        with self._lock:
            return self._retries.spend()

    def _may_place_again(self, attempts):
        with self._lock:
            return attempts <= MAX_PLACEMENTS and self._placements.spend()

    def may_hedge(self, route, *, spare=False):
        """Tell whether a second simultaneous attempt is allowed, and count it.

        :param route: the route
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
