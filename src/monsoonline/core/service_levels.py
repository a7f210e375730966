"""Counts of successful requests per route over sliding windows.

Each route has its own definition of success. An entry counts its own requests in
buckets of one minute, so reports need no storage of history outside the entries.
"""

import array
import dataclasses
import threading

__all__ = ["RouteWindows", "ServiceLevels", "WINDOWS_MS"]

BUCKET_MS = 60_000.0
# Windows of multi-window burn rate alerts, as usual in site reliability engineering:
# short ones show a fast burn, the longest one the remaining error budget.
WINDOWS_MS = (300_000.0, 1_800_000.0, 3_600_000.0, 21_600_000.0)
BUCKET_COUNT = int(WINDOWS_MS[-1] / BUCKET_MS) + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteWindows:
    """Request counts of one route at one entry.

    :param route: name of the route
    :param department: department that owns the route
    :param objective: share of requests that must succeed
    :param latency_ms: maximum latency of a successful request
    :param totals: number of requests in each of :data:`WINDOWS_MS`
    :param goods: number of successful requests in each of :data:`WINDOWS_MS`
    """

    route: str
    department: str
    objective: float
    latency_ms: float
    totals: tuple[int, ...]
    goods: tuple[int, ...]


class BucketRing:
    """Ring buffer of request counts of one route.

    :param bucket: number of the current bucket
    """

    # Updating one element of a numpy array costs three times as much as of array.array.
    __slots__ = ("_successes", "_last", "_totals")

    def __init__(self, *, bucket):
        zeros = bytes(8 * BUCKET_COUNT)
        self._totals = array.array("q", zeros)
        self._successes = array.array("q", zeros)
        self._last = bucket

    def add(self, bucket, good):
        """Count one request in a bucket."""
        if bucket != self._last:
            self._advance(bucket)
        self._totals[bucket % BUCKET_COUNT] += 1
        if good:
            self._successes[bucket % BUCKET_COUNT] += 1

    def sums(self, bucket, count):
        """Return the total and successful requests of the last ``count`` buckets."""
        self._advance(bucket)
        indexes = [
            number % BUCKET_COUNT
            for number in range(max(0, bucket - count + 1), bucket + 1)
        ]
        return (
            sum(self._totals[index] for index in indexes),
            sum(self._successes[index] for index in indexes),
        )

    def _advance(self, bucket):
        """Clear the buckets that are reused up to and including ``bucket``."""
        passed = min(bucket - self._last, BUCKET_COUNT)
        for number in range(bucket - passed + 1, bucket + 1):
            self._totals[number % BUCKET_COUNT] = 0
            self._successes[number % BUCKET_COUNT] = 0
        self._last = max(bucket, self._last)


class ServiceLevels:
    """Counts requests according to the success definitions of their routes.

    :param clock: time source
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._origin = clock.now()
        self._lock = threading.Lock()
        self._rings = {}

    @property
    def history_ms(self):
        """Time in ms since counting started."""
        return self._clock.now() - self._origin

    def record(self, route, *, status, latency_ms, refused):
        """Count one completed request.

        :param route: the :class:`monsoonline.core.model.Route`
        :param status: HTTP status of the response
        :param latency_ms: time from arrival of the request to the response
        :param refused: whether the load balancer itself refused the request
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
        """Return the counts of the given routes.

        :param routes: the routes in effect; counts of other routes are dropped
        :returns: a tuple of :class:`RouteWindows`
        """
        bucket = self._bucket()
        routes_by_name = {route.name: route for route in routes}
        with self._lock:
            for name in self._rings.keys() - routes_by_name.keys():
                del self._rings[name]
            sums = {name: self._sums(name, bucket) for name in routes_by_name}
        return tuple(
            RouteWindows(
                route=name,
                department=route.department,
                objective=route.success.objective,
                latency_ms=route.success.latency_ms,
                totals=tuple(total for total, _ in sums[name]),
                goods=tuple(good for _, good in sums[name]),
            )
            for name, route in sorted(routes_by_name.items())
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
