"""The policy that knows every queue at the instant of its choice."""

import collections

from monsoonline.core.admission import Ticket, TicketState
from monsoonline.core.pool_dispatch import Assignment
from monsoonline.types import AttemptKind

__all__ = ["OracleDispatcher"]


class OracleDispatcher:
    """Joins the slot with the least true waiting and service time.

    One instance serves all entries. It also knows the work of the requests on
    their way and the momentary speed, but not when a slow spell begins or ends.

    :param upstreams: the fake upstreams by pool name
    :param domain_delay_ms: delay of a failure domain pair
    """

    def __init__(self, *, upstreams, domain_delay_ms):
        self._upstreams = upstreams
        self._domain_delay_ms = domain_delay_ms
        self._coming = collections.defaultdict(dict)

    def choose(self, pool, *, work_ms, failure_domain, excluded=frozenset()):
        """Return the best upstream for a request of known work."""
        best = None
        for upstream in self._upstreams[pool]:
            if upstream.address in excluded:
                continue
            coming = self._coming[upstream.address]
            delay = 2.0 * self._domain_delay_ms(failure_domain, upstream.failure_domain)
            wait = upstream.wait_ms(sum(coming.values()), len(coming))
            cost = delay + wait + work_ms * upstream.factor
            if best is None or cost < best[0]:
                best = (cost, upstream)
        return best[1]

    def sent(self, address, number, work_ms):
        """Record a request on its way."""
        self._coming[address][number] = work_ms

    def arrived(self, address, number):
        """Record that a request has reached its upstream."""
        self._coming[address].pop(number, None)

    def ticket(self, route, upstream, model):
        """Return a granted ticket for an upstream."""
        ticket = Ticket(
            route=route,
            queue_deadline=0.0,
            deadline=0.0,
            excluded=frozenset(),
            fingerprint=None,
            notify=None,
        )
        ticket.assignment = Assignment(pool=route.pool, upstream=model)
        ticket.state = TicketState.GRANTED
        return ticket

    @staticmethod
    def release(assignment, result):
        """Learn nothing."""

    @staticmethod
    def may_retry(route, *, attempts, result):
        """Retry what certainly did not run, once."""
        return attempts <= route.tolerance.retries and result.kind in (
            AttemptKind.SHED,
            AttemptKind.CONNECT_FAILED,
        )

    @staticmethod
    def may_hedge(route):
        """Never hedge."""
        return False

    @staticmethod
    def hedge_delay_ms(route):
        """Return a time that never comes."""
        return float("inf")
