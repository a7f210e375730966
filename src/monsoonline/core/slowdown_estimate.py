"""Estimate of an upstream's slowdown from its recent load reports.

This module is designed for upstreams that share their machine with others whose load
changes from one millisecond to the next, while the level of interference lasts for
about a second. A single report therefore predicts little about the next request;
several reports of the last second distinguish a quiet machine from a disturbed one.
"""

__all__ = ["PoolSlowdown", "SlowdownEstimate"]

# Age at which the weight of a report has halved.
REPORT_HALF_LIFE_MS = 400.0
# Weight of the pool's mean relative to one fresh report.
PRIOR_WEIGHT = 1.0
POOL_EWMA_WEIGHT = 0.02
# Share of a fresh last report in the estimate if it is worse than the mean: within a
# few ms an upstream mostly keeps the slowdown that it reported.
LAST_REPORT_SHARE = 0.5
LAST_REPORT_MAX_AGE_MS = 20.0


class PoolSlowdown:
    """Moving average of the slowdown that the upstreams of a pool report."""

    def __init__(self):
        self._mean = 1.0

    @property
    def mean(self):
        """The mean slowdown; 1.0 is the usual speed."""
        return self._mean

    def observe(self, slowdown):
        """Add the slowdown of a load report."""
        self._mean += POOL_EWMA_WEIGHT * (slowdown - self._mean)


class SlowdownEstimate:
    """Mean of one upstream's reported slowdowns, weighted by age."""

    __slots__ = ("_updated_at", "_last", "_sum", "_weight")

    def __init__(self):
        self._last = 1.0
        self._sum = 0.0
        self._weight = 0.0
        self._updated_at = 0.0

    def observe(self, slowdown, now):
        """Add the slowdown of a load report."""
        decay = 0.5 ** ((now - self._updated_at) / REPORT_HALF_LIFE_MS)
        self._sum = decay * self._sum + slowdown
        self._weight = decay * self._weight + 1.0
        self._updated_at = now
        self._last = slowdown

    def value(self, now, *, prior):
        """Return the expected slowdown for a request that starts now.

        :param now: the time in ms
        :param prior: mean slowdown in the pool
        """
        decay = 0.5 ** ((now - self._updated_at) / REPORT_HALF_LIFE_MS)
        total = decay * self._sum + PRIOR_WEIGHT * prior
        mean = total / (decay * self._weight + PRIOR_WEIGHT)
        if self._weight and now - self._updated_at < LAST_REPORT_MAX_AGE_MS:
            return max(
                mean, LAST_REPORT_SHARE * self._last + (1.0 - LAST_REPORT_SHARE) * mean
            )
        return mean
