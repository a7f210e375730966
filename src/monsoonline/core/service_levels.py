"""Counts of successful requests per route over sliding windows.

Every route defines its own success. Each entry keeps the counts of its own requests
in buckets of one minute, so that a report needs no history outside the entries.
"""

import array
import dataclasses
import threading

__all__ = ["RouteWindows", "ServiceLevels", "WINDOWS_MS"]

BUCKET_MS = 60_000.0
# The windows of the multi-window burn rate alerts common in site reliability
# engineering: short ones show a fast burn, the longest one the budget left.
WINDOWS_MS = (300_000.0, 1_800_000.0, 3_600_000.0, 21_600_000.0)
BUCKET_COUNT = int(WINDOWS_MS[-1] / BUCKET_MS) + 1


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


class BucketRing:
    """Counts of one route in buckets that are reused in turn.

    :param bucket: number of the current bucket
    """

    # Element updates of numpy arrays cost three times those of array.array.
    __slots__ = ("_goods", "_last", "_totals")

    def __init__(self, *, bucket):
        zeros = bytes(8 * BUCKET_COUNT)
        self._totals = array.array("q", zeros)
        self._goods = array.array("q", zeros)
        self._last = bucket

    def add(self, bucket, good):
        """Count one request in a bucket."""
        if bucket != self._last:
            self._advance(bucket)
        self._totals[bucket % BUCKET_COUNT] += 1
        if good:
            self._goods[bucket % BUCKET_COUNT] += 1

    def sums(self, bucket, count):
        """Return the total and the good requests of the last ``count`` buckets."""
        self._advance(bucket)
        indexes = [
            number % BUCKET_COUNT
            for number in range(max(0, bucket - count + 1), bucket + 1)
        ]
        return (
            sum(self._totals[index] for index in indexes),
            sum(self._goods[index] for index in indexes),
        )

    def _advance(self, bucket):
        """Empty the buckets that are used again."""
        passed = min(bucket - self._last, BUCKET_COUNT)
        for number in range(bucket - passed + 1, bucket + 1):
            self._totals[number % BUCKET_COUNT] = 0
            self._goods[number % BUCKET_COUNT] = 0
        self._last = max(bucket, self._last)


class ServiceLevels:
    """Counts requests by the success definition of their route.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._origin = clock.now()
        self._lock = threading.Lock()
        self._rings = {}

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
            self._ring(route.name, bucket).add(bucket, good)

    def windows(self, routes):
        """Return the counts of routes.

        :param routes: the routes in effect; counts of others are dropped
        :returns: a tuple of :class:`RouteWindows`
        """
        bucket = self._bucket()
        named = {route.name: route for route in routes}
        with self._lock:
            for name in self._rings.keys() - named.keys():
                del self._rings[name]
            sums = {name: self._sums(name, bucket) for name in named}
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

    def _ring(self, name, bucket):
        ring = self._rings.get(name)
        if ring is None:
            ring = self._rings[name] = BucketRing(bucket=bucket)
        return ring

    def _sums(self, name, bucket):
        ring = self._ring(name, bucket)
        return [ring.sums(bucket, int(window / BUCKET_MS)) for window in WINDOWS_MS]
