"""Overload detection and slot limits for a pool.

This module is designed for bursts that exceed the slots of a pool, where some
upstreams slow down when they are nearly full. Filling their last slot then lowers the
total throughput.
"""

from monsoonline.core.placement import SlotAllowance

__all__ = ["OverloadDetector"]

# An upstream counts as nearly full when more than this share of its slots is in use:
# three of four slots do not exceed it, three of three do.
NEARLY_FULL_SHARE = 0.75
# Above this slowdown of nearly full upstreams the last slots are left unused.
NEARLY_FULL_SLOWDOWN_LIMIT = 1.3
MAX_NEARLY_FULL_SLOWDOWN = 3.0
# Slowdown assumed until enough requests were measured on both partly and nearly full
# upstreams. Below NEARLY_FULL_SLOWDOWN_LIMIT, so that last slots are used and measured.
ASSUMED_NEARLY_FULL_SLOWDOWN = 1.2
MIN_MEASUREMENTS = 8
LATENCY_EWMA_WEIGHT = 0.05
# Share of searches without an acceptable upstream above which slots are reserved for
# urgent routes.
OVERLOAD_MISS_RATE = 0.2
SEARCH_EWMA_WEIGHT = 0.1


class MeanRatio:
    """Moving average of the ratio of measured to expected latency."""

    def __init__(self):
        self.count = 0
        self.mean = 1.0

    def observe(self, ratio):
        """Add one measurement."""
        self.count += 1
        weight = max(LATENCY_EWMA_WEIGHT, 1.0 / self.count)
        self.mean += weight * (ratio - self.mean)


class OverloadDetector:
    """Measures the overload of one pool and the slowdown of its full upstreams."""

    def __init__(self):
        self._partial = MeanRatio()
        self._full = MeanRatio()
        self._miss_rate = 0.0

    @property
    def overloaded(self):
        """Whether many searches find no acceptable upstream."""
        return self._miss_rate > OVERLOAD_MISS_RATE

    @property
    def full_factor(self):
        """Slowdown of nearly full upstreams relative to partly full ones."""
        if min(self._partial.count, self._full.count) < MIN_MEASUREMENTS:
            return ASSUMED_NEARLY_FULL_SLOWDOWN
        ratio = self._full.mean / max(0.1, self._partial.mean)
        return min(MAX_NEARLY_FULL_SLOWDOWN, max(1.0, ratio))

    def record_search(self, found):
        """Record whether a search found an acceptable upstream."""
        self._miss_rate += SEARCH_EWMA_WEIGHT * ((not found) - self._miss_rate)

    def observe(self, ratio, *, used_share):
        """Record the latency of a request that was not queued.

        :param ratio: latency relative to the route's service time at the upstream's
            slowdown
        :param used_share: share of the upstream's slots in use, including this request;
            ignored above 1.0, where requests were queued
        """
        if used_share > 1.0:
            return
        ratios = self._full if used_share > NEARLY_FULL_SHARE else self._partial
        ratios.observe(min(ratio, MAX_NEARLY_FULL_SLOWDOWN))

    def slot_allowance(self, *, urgent):
        """Return the :class:`monsoonline.core.placement.SlotAllowance` of a request.

        :param urgent: whether its route has the highest priority in the pool
        """
        factor = self.full_factor
        return SlotAllowance(
            usable_share=NEARLY_FULL_SHARE
            if factor > NEARLY_FULL_SLOWDOWN_LIMIT
            else 1.0,
            full_factor=factor,
            reserved=0 if urgent or not self.overloaded else 1,
        )
