"""The decision logic as the relay sees it: which upstream takes a request."""

import dataclasses
import threading

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = ["Assignment", "Dispatcher"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """One upstream slot held for one attempt.

    :param pool: name of the pool
    :param upstream: the upstream that shall take the request
    """

    pool: str
    upstream: object


class Dispatcher:
    """Chooses upstreams by the fewest requests in flight from this entry.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._pools = {}
        self._leaving = {}
        self._in_flight = {}
        self._released = threading.Condition()

    def update_tables(self, tables):
        """Use the pools of newly accepted tables."""
        with self._released:
            self._pools = dict(tables.pools)
            self._released.notify_all()

    def set_leaving(self, address, *, source, leaving=True):
        """Record that an upstream is leaving, or has come back.

        :param address: ``host:port``
        :param source: what said so, such as ``answer`` or ``vm-list``
        :param leaving: whether it takes no new work
        """
        with self._released:
            if leaving:
                self._leaving[address] = source
            else:
                self._leaving.pop(address, None)
            self._released.notify_all()

    def acquire(self, route, *, deadline, excluded=frozenset(), fingerprint=None):
        """Wait for a slot of the route's pool.

        :param route: the matched route
        :param deadline: instant in ms after which the answer is of no use
        :param excluded: addresses that earlier attempts used
        :param fingerprint: digest that identifies resends of the same request
        :returns: an :class:`Assignment`, to be released exactly once
        :raises Refusal: ``NOT_RUN`` when no slot comes free in time
        """
        limit = min(deadline, self._clock.now() + route.tolerance.queue_ms)
        with self._released:
            while True:
                upstream = self._choose(route.pool, excluded)
                if upstream is not None:
                    count = self._in_flight.get(upstream.address, 0)
                    self._in_flight[upstream.address] = count + 1
                    return Assignment(pool=route.pool, upstream=upstream)
                remaining = limit - self._clock.now()
                if remaining <= 0:
                    raise Refusal(
                        f"pool {route.pool!r} has no free slot",
                        code="no-slot",
                        outcome=Outcome.NOT_RUN,
                        status=503,
                    )
                self._released.wait(remaining / 1e3)

    def release(self, assignment, result):
        """Give a slot back and learn from the attempt.

        :param assignment: what :meth:`acquire` returned
        :param result: the :class:`monsoonline.types.AttemptResult`
        """
        address = assignment.upstream.address
        with self._released:
            self._in_flight[address] -= 1
            if result.draining:
                self._leaving[address] = "answer"
            self._released.notify()

    def may_retry(self, route, *, attempts, result):
        """Tell whether the budget allows another attempt.

        :param attempts: attempts made so far
        :param result: how the last one ended
        """
        return attempts <= route.tolerance.retries

    def is_stale(self, assignment):
        """Tell whether the upstream was marked as leaving after :meth:`acquire`."""
        return assignment.upstream.address in self._leaving

    def may_hedge(self, route):
        """Tell whether the budget allows a duplicate attempt now."""
        return route.idempotent and route.tolerance.hedges > 0

    def hedge_delay_ms(self, route):
        """Return how long an attempt runs before it is hedged."""
        return route.success.latency_ms / 2

    def _choose(self, pool_name, excluded):
        pool = self._pools.get(pool_name)
        if pool is None:
            return None
        candidates = [
            (self._in_flight.get(upstream.address, 0) / upstream.slots, index)
            for index, upstream in enumerate(pool.upstreams)
            if upstream.address not in excluded
            and upstream.address not in self._leaving
            and self._in_flight.get(upstream.address, 0) < upstream.slots
        ]
        return pool.upstreams[min(candidates)[1]] if candidates else None
