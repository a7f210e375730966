"""Tests of the dispatcher with threads, drain notices and table changes."""

import threading
import unittest

from monsoonline.clock import SystemClock
from monsoonline.core import model
from monsoonline.errors import Refusal
from monsoonline.types import AttemptKind, Outcome
from tests.core.decision_fixtures import (
    make_dispatcher,
    make_pool,
    make_route,
    result_of,
)


class TestDispatcher(unittest.TestCase):
    """Acquire and release of slots, drain notices and table changes."""

    def test_waiting_thread_gets_the_released_slot(self):
        """Guards against a release that does not wake a waiting thread."""
        clock = SystemClock()
        dispatcher = make_dispatcher(make_pool(targets=1, slots=1), clock=clock)
        route = make_route(queue_ms=5_000.0)
        deadline = clock.now() + 10_000.0
        first = dispatcher.acquire(route, deadline=deadline)
        acquired = []
        thread = threading.Thread(
            target=lambda: acquired.append(dispatcher.acquire(route, deadline=deadline))
        )
        thread.start()
        dispatcher.release(first, result_of(latency_ms=1.0))
        thread.join(timeout=5.0)
        self.assertEqual(acquired[0].upstream, first.upstream)

    def test_pool_that_sheds_gets_fewer_and_later_hedges(self):
        """Guards against hedges that take slots of first attempts in a full pool."""
        dispatcher = make_dispatcher(make_pool())
        route = make_route()
        measurements = []
        for kind in (AttemptKind.SUCCEEDED, AttemptKind.SHED):
            hedges = 0
            for index in range(400):
                assignment = dispatcher.acquire(route, deadline=1e9)
                latency_ms = 5.0 * (1 + index % 20)
                result = result_of(kind, latency_ms=latency_ms)
                dispatcher.release(assignment, result)
                hedges += dispatcher.may_hedge(route)
            measurements.append((hedges, dispatcher.hedge_delay_ms(route)))
        (idle, early_ms), (full, late_ms) = measurements
        self.assertGreater(idle, 2 * full)
        self.assertGreater(late_ms, 2 * early_ms)

    def test_threads_never_hold_more_than_the_slots(self):
        """Guards against a race of acquire and release that overbooks an upstream."""
        clock = SystemClock()
        dispatcher = make_dispatcher(make_pool(targets=2, slots=2), clock=clock)
        route = make_route(queue_ms=5_000.0, deadline_ms=5_000.0)
        held, largest, lock = [], [], threading.Lock()

        def work():
            for _ in range(50):
                assignment = dispatcher.acquire(route, deadline=clock.now() + 5_000.0)
                with lock:
                    held.append(assignment)
                    largest.append(len(held))
                with lock:
                    held.remove(assignment)
                dispatcher.release(assignment, result_of(latency_ms=0.1))

        threads = [threading.Thread(target=work) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(timeout=10.0)
        self.assertEqual(len(largest), 400)
        self.assertLessEqual(max(largest), 4)
        self.assertEqual(dispatcher.pools["pool"].in_flight, 0)

    def test_queue_limit_ends_in_a_refusal_as_not_run(self):
        clock = SystemClock()
        dispatcher = make_dispatcher(make_pool(targets=1, slots=1), clock=clock)
        route = make_route(queue_ms=5.0)
        dispatcher.acquire(route, deadline=clock.now() + 1_000.0)
        with self.assertRaises(Refusal) as caught:
            dispatcher.acquire(route, deadline=clock.now() + 1_000.0)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_ms, 0.0)

    def test_queued_request_is_not_sent_to_an_upstream_that_is_leaving(self):
        """Guards against sending a request that was queued before a drain notice."""
        dispatcher = make_dispatcher(make_pool(targets=2, slots=1))
        route = make_route()
        held = [dispatcher.acquire(route, deadline=1_000.0) for _ in range(2)]
        ticket = dispatcher.enqueue(route, deadline=1_000.0, notify=lambda: None)
        dispatcher.release(held[0], result_of(draining=True))
        self.assertIsNone(ticket.assignment)
        dispatcher.release(held[1], result_of())
        self.assertEqual(ticket.assignment.upstream, held[1].upstream)

    def test_each_source_of_a_drain_is_withdrawn_on_its_own(self):
        """Guards against an outdated VM list that cancels the notice of a response."""
        pool = make_pool(targets=2)
        dispatcher = make_dispatcher(pool)
        address = pool.upstreams[0].address
        dispatcher.set_leaving(address, source="answer")
        dispatcher.set_leaving(address, source="vm-list", leaving=False)
        for _ in range(4):
            assignment = dispatcher.acquire(make_route(), deadline=1_000.0)
            self.assertNotEqual(assignment.upstream.address, address)
            dispatcher.release(assignment, result_of())

    def test_drain_notice_is_kept_when_the_tables_change(self):
        pool = make_pool(targets=2)
        dispatcher = make_dispatcher(pool)
        dispatcher.set_leaving(pool.upstreams[0].address, source="answer")
        larger = make_pool(targets=3)
        dispatcher.update_tables(model.Tables(revision=2, pools={"pool": larger}))
        available = dispatcher.pools["pool"].view.available
        self.assertNotIn(pool.upstreams[0].address, [s.address for s in available])
        self.assertEqual(len(available), 2)

    def test_release_after_the_upstream_left_the_tables(self):
        """Guards against errors when a table change removes a busy upstream."""
        dispatcher = make_dispatcher(make_pool(targets=2))
        route = make_route()
        held = [dispatcher.acquire(route, deadline=1_000.0) for _ in range(2)]
        smaller = make_pool(targets=1)
        dispatcher.update_tables(model.Tables(revision=2, pools={"pool": smaller}))
        for assignment in held:
            dispatcher.release(assignment, result_of(AttemptKind.CONNECTION_LOST))
        self.assertEqual(dispatcher.pools["pool"].in_flight, 0)
        available = dispatcher.pools["pool"].view.available
        self.assertEqual([s.upstream for s in available], list(smaller.upstreams))

    def test_unknown_pool_is_refused_immediately(self):
        dispatcher = make_dispatcher(make_pool())
        dispatcher.update_tables(model.Tables(revision=2))
        with self.assertRaises(Refusal) as caught:
            dispatcher.acquire(make_route(), deadline=1_000.0)
        self.assertEqual(caught.exception.code, "no-pool")

    def test_load_payload_is_at_most_512_bytes(self):
        """Guards against items of large, busy pools that exceed a gossip datagram."""
        dispatcher = make_dispatcher(make_pool(targets=250, slots=3))
        for _ in range(400):
            dispatcher.acquire(make_route(), deadline=1_000.0)
        payload = dispatcher.snapshot().encode()["pool"]
        self.assertGreater(len(payload), 100)
        self.assertLessEqual(len(payload), 512)

    def test_ejections_by_several_peers_make_an_upstream_unattractive(self):
        pool = make_pool(targets=2)
        peers = [make_dispatcher(pool, owner=f"peer-{i}", seed=i) for i in range(3)]
        bad = pool.upstreams[0].address
        for peer in peers:
            state = peer.pools["pool"].view.get(bad)
            for _ in range(2):
                view = peer.pools["pool"].view
                view.start(state, 0.0)
                failed = result_of(AttemptKind.FAILED_RESPONSE)
                view.finish(state, failed, 0.0, started=0.0)
        dispatcher = make_dispatcher(pool)
        for peer in peers[::-1]:
            dispatcher.observe_peer(peer.snapshot())
            dispatcher._clock.advance(300.0)
        dispatcher.observe_peer(peers[0].snapshot())
        assignment = dispatcher.acquire(make_route(), deadline=5_000.0)
        self.assertNotEqual(assignment.upstream.address, bad)


if __name__ == "__main__":
    unittest.main()
