"""Tests of the route queues and the concurrency limit."""

import unittest

from monsoonline.core.admission import ConcurrencyLimit, TicketState
from tests.core.decision_fixtures import (
    make_dispatcher,
    make_pool,
    make_route,
    result_of,
)


class TestQueues(unittest.TestCase):
    """Route queues of a pool, used through the dispatcher."""

    def setUp(self):
        self.dispatcher = make_dispatcher(make_pool(targets=1, slots=1))
        self.lookup = make_route(queue_ms=500.0)
        self.booking = make_route("booking", idempotent=False, queue_ms=500.0)
        self.held = self.dispatcher.acquire(self.lookup, deadline=1_000.0)

    def enqueue(self, route, deadline=1_000.0):
        return self.dispatcher.enqueue(route, deadline=deadline, notify=lambda: None)

    def serve(self, count, latency_ms=1.0):
        """Release the held slot ``count`` times; return the tickets served."""
        served = []
        pending = self.pending
        for _ in range(count):
            self.dispatcher._clock.advance(latency_ms)
            self.dispatcher.release(self.held, result_of(latency_ms=latency_ms))
            ticket = next(t for t in pending if t.state is TicketState.GRANTED)
            pending.remove(ticket)
            served.append(ticket)
            self.held = ticket.assignment
        return served

    def test_bookings_are_not_starved_by_lookups(self):
        lookups = [self.enqueue(self.lookup) for _ in range(20)]
        bookings = [self.enqueue(self.booking) for _ in range(3)]
        self.pending = lookups + bookings
        served = self.serve(6)
        self.assertEqual(sum(t.route is self.booking for t in served), 3)

    def test_a_route_is_served_first_in_first_out(self):
        tickets = [self.enqueue(self.lookup) for _ in range(5)]
        self.pending = list(tickets)
        self.assertEqual(self.serve(5), tickets)

    def test_request_that_cannot_meet_its_deadline_is_refused_immediately(self):
        """Guards against queueing a request that can only time out there."""
        self.pending = [self.enqueue(self.lookup) for _ in range(10)]
        self.serve(5, latency_ms=30.0)
        now = self.dispatcher._clock.now()
        ticket = self.enqueue(self.lookup, deadline=now + 20.0)
        self.assertIs(ticket.state, TicketState.REFUSED)
        self.assertEqual(ticket.refusal.code, "overloaded")
        self.assertGreater(self.dispatcher.pools["pool"].queues.dropped, 0)

    def test_expired_request_is_not_sent_when_a_slot_comes_free(self):
        late = self.enqueue(self.lookup, deadline=40.0)
        self.dispatcher._clock.advance(200.0)
        self.dispatcher.release(self.held, result_of(latency_ms=200.0))
        self.assertIs(late.state, TicketState.REFUSED)
        self.assertEqual(self.dispatcher.pools["pool"].in_flight, 0)

    def test_retry_after_is_jittered(self):
        queues = self.dispatcher.pools["pool"].queues
        values = {queues.retry_after_ms() for _ in range(50)}
        self.assertGreater(max(values), 1.5 * min(values))


class TestConcurrencyLimit(unittest.TestCase):
    """Limit of the requests in flight of one entry."""

    def respond(self, limit, *, queue_per_slot=0.0, shed=False, now=0.0):
        limit.record_response(
            in_flight=limit.value,
            queue_per_slot=queue_per_slot,
            shed=shed,
            now=now,
            latency_ms=10.0,
        )

    def test_limit_falls_while_upstreams_shed_and_recovers(self):
        limit = ConcurrencyLimit(slots=40)
        for step in range(100):
            self.respond(limit, shed=True, now=step * 20.0)
        self.assertEqual(limit.value, 1)
        for step in range(5_000):
            self.respond(limit, now=2_000.0 + step)
        self.assertEqual(limit.value, 40)

    def test_limit_does_not_fall_below_two_even_shares(self):
        """Guards against idle slots when all entries reduce their limits at once."""
        limit = ConcurrencyLimit(slots=40)
        limit.set_entry_count(4)
        for step in range(100):
            self.respond(limit, queue_per_slot=9.0, now=step * 20.0)
        self.assertEqual(limit.value, 20)

    def test_limit_does_not_exceed_the_slots_when_few_entries_share_them(self):
        """With one entry, two even shares would exceed the slots of the pool."""
        limit = ConcurrencyLimit(slots=40)
        limit.set_entry_count(1)
        self.respond(limit, queue_per_slot=9.0)
        self.assertEqual(limit.value, 40)
