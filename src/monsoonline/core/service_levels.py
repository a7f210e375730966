"""Counts of successful requests per route over sliding windows.

Every route defines its own success. Each entry keeps the counts of its own requests
in buckets of one minute, so that a report needs no history outside the entries.
"""

import dataclasses
import threading

import numpy as np

__all__ = ["RouteWindows", "ServiceLevels", "WINDOWS_MS"]

BUCKET_MS = 60_000.0
# The windows of the multi-window burn rate alerts common in site reliability
# engineering: short ones show a fast burn, the longest one the budget left.
WINDOWS_MS = (300_000.0, 1_800_000.0, 3_600_000.0, 21_600_000.0)
BUCKET_COUNT = int(WINDOWS_MS[-1] / BUCKET_MS) + 1
TOTAL, GOOD = 0, 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteWindows:
    """One route's counts at one entry.

    :param route: name of the route
    :param department: owner of the route
    :param objective: share of requests that shall succeed
    :param latency_ms: longest time of a successful request
    :param totals: requests counted, one value for each of :data:`WINDOWS_MS`
    :param goods: successful ones among them
    """

    route: str
    department: str
    objective: float
    latency_ms: float
    totals: tuple[int, ...]
    goods: tuple[int, ...]


class ServiceLevels:
    """Counts requests by the success definition of their route.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._origin = clock.now()
        self._lock = threading.Lock()
        # Per route: counts of shape (BUCKET_COUNT, 2) and the bucket written last.
        self._counts = {}
        self._last = {}

    @property
    def history_ms(self):
        """Time in ms that the counts cover."""
        return self._clock.now() - self._origin

    def record(self, route, *, status, latency_ms, refused):
        """Count one answered request.

        :param route: the :class:`monsoonline.core.model.Route`
        :param status: HTTP status of the answer
        :param latency_ms: time from arrival to answer
        :param refused: whether the system refused the request itself
        """
        definition = route.success
        good = (
            not refused
            and status // 100 in definition.statuses
            and latency_ms <= definition.latency_ms
        )
        bucket = self._bucket()
        with self._lock:
            counts = self._advance(route.name, bucket)
            row = counts[bucket % BUCKET_COUNT]
            row[TOTAL] += 1
            row[GOOD] += good

    def windows(self, routes):
        """Return the counts of routes.

        :param routes: the routes in effect; counts of others are dropped
        :returns: a tuple of :class:`RouteWindows`
        """
        bucket = self._bucket()
        named = {route.name: route for route in routes}
        with self._lock:
            for name in self._counts.keys() - named.keys():
                del self._counts[name], self._last[name]
            sums = {
                name: self._sums(self._advance(name, bucket), bucket) for name in named
            }
        return tuple(
            RouteWindows(
                route=name,
                department=route.department,
                objective=route.success.objective,
                latency_ms=route.success.latency_ms,
                totals=tuple(total for total, _ in sums[name]),
                goods=tuple(good for _, good in sums[name]),
            )
            for name, route in sorted(named.items())
        )

    def _bucket(self):
        return int((self._clock.now() - self._origin) // BUCKET_MS)

    def _advance(self, name, bucket):
        counts = self._counts.get(name)
        if counts is None:
            counts = np.zeros((BUCKET_COUNT, 2), dtype=np.int64)
            self._counts[name] = counts
            self._last[name] = bucket
        passed = min(bucket - self._last[name], BUCKET_COUNT)
        for index in range(bucket - passed + 1, bucket + 1):
            counts[index % BUCKET_COUNT] = 0
        self._last[name] = max(bucket, self._last[name])
        return counts

    @staticmethod
    def _sums(counts, bucket):
        sums = []
        for window_ms in WINDOWS_MS:
            buckets = np.arange(bucket - int(window_ms / BUCKET_MS) + 1, bucket + 1)
            chosen = counts[buckets[buckets >= 0] % BUCKET_COUNT]
            sums.append(tuple(int(value) for value in chosen.sum(axis=0)))
        return sums
