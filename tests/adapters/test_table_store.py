"""Tests of the table store client against the platform stand-in."""

import contextlib
import threading
import unittest
from unittest import mock

from monsoonline.adapters.object_store import HttpObjectStore
from monsoonline.adapters.platform import (
    PlatformClient,
    PlatformLimits,
    PlatformResponse,
    ResponseLost,
)
from monsoonline.adapters.vm_list import HttpVirtualMachineList
from monsoonline.clock import ManualClock, SystemClock
from monsoonline.errors import (
    CommitUnknown,
    EditConflict,
    EditRefused,
    FindingsError,
    StaleRead,
    StoreUnavailable,
)
from monsoonline.standin.counters import RateCounter
from monsoonline.standin.platform import PlatformStandIn
from tests.fixtures import edit, pool_document, route_document, table_store

ENTRIES = 22
READ_LIMIT = 1000
WRITE_LIMIT = 100


class TestHttpTableStore(unittest.TestCase):
    """Edits and reads while the platform has faults."""

    def setUp(self):
        self.platform = PlatformStandIn()
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.store = table_store(self.platform)
        self.store.commit(edit("pools", "quotes", pool_document()))

    def assert_refused(self, change, code):
        with self.assertRaises(EditRefused) as raised:
            self.store.commit(change)
        self.assertEqual(raised.exception.code, code)

    def test_lost_response_is_resolved_by_change_id(self):
        self.platform.set_faults("tables", lose_responses=1)
        change = self.store.commit(edit("routes", "lookup", route_document()))
        self.assertEqual((change.revision, self.platform.tables.revision()), (2, 2))

    def test_unresolved_lost_response_is_unknown_and_a_resend_applies_once(self):
        self.platform.set_faults("tables", lose_responses=1)
        proposal = edit("routes", "lookup", route_document())
        outage = StoreUnavailable("outage")
        with mock.patch.object(self.store, "find_change", side_effect=outage):
            self.assertRaises(CommitUnknown, self.store.commit, proposal)
        self.assertEqual(self.store.find_change(proposal.change_id).revision, 2)
        self.assertEqual(self.store.commit(proposal).revision, 2)
        self.assertEqual(self.platform.tables.revision(), 2)

    def test_resend_over_a_newer_edit_returns_the_first_result(self):
        """Guards against a resend that overwrites a newer edit."""
        first = edit("pools", "quotes", pool_document(slots=4), expected=1)
        self.assertEqual(self.store.commit(first).revision, 2)
        self.store.commit(edit("pools", "quotes", pool_document(slots=5), expected=2))
        self.assertEqual(self.store.commit(first).revision, 2)
        row = self.store.read_row("pools", "quotes")
        self.assertEqual(row.document["upstreams"][0]["slots"], 5)

    def test_change_id_of_another_edit_is_refused(self):
        first = edit("pools", "quotes", pool_document(slots=4), expected=1)
        self.store.commit(first)
        other = edit("pools", "stock", pool_document(), change_id=first.change_id)
        self.assert_refused(other, "change-id-reused")

    def test_outage_applies_nothing_and_opens_the_breaker(self):
        self.platform.set_faults("tables", outage=True)
        change = edit("routes", "lookup", route_document())
        for _ in range(3):
            self.assertRaises(StoreUnavailable, self.store.commit, change)
        self.platform.reset_counters()
        self.assertRaises(StoreUnavailable, self.store.commit, change)
        self.assertEqual(self.platform.counters()["reads"]["total"], 0)

    def test_outage_of_the_object_store_does_not_affect_the_tables(self):
        """Guards against one circuit breaker that all services share."""
        self.platform.set_faults("objects", outage=True)
        objects = HttpObjectStore(client=self.store._client)
        for _ in range(6):
            self.assertRaises(StoreUnavailable, objects.put, "x", b"")
        self.assertEqual(self.store.revision(), 1)
        states = {n: b.state for n, b in self.store._client.breakers.items()}
        self.assertEqual((states["objects"], states["tables"]), ("open", "closed"))

    def test_machine_list_can_be_stale_or_unavailable(self):
        machine = {
            "name": "vm-1",
            "role": "entry",
            "address": "127.0.0.1:1",
            "failure_domain": "a",
            "leaving": True,
        }
        machines = HttpVirtualMachineList(client=self.store._client)
        self.platform.put_machines([machine])
        self.assertTrue(machines.read()[0].leaving)
        self.platform.set_faults("machines", stale=1)
        self.assertEqual(machines.read(), ())
        self.platform.set_faults("machines", outage=True)
        self.assertRaises(StoreUnavailable, machines.read)

    def test_stale_read_is_detected_and_not_used(self):
        self.store.commit(edit("routes", "lookup", route_document()))
        self.platform.set_faults("tables", stale=1)
        self.assertRaises(StaleRead, self.store.read_tables)
        restarted = table_store(self.platform)
        self.assertEqual(restarted.revision(), 1)
        restarted.observe_revision(2)
        self.assertRaises(StaleRead, restarted.revision)

    def test_stale_read_does_not_turn_an_edit_into_a_conflict(self):
        self.store.commit(edit("pools", "quotes", pool_document(), expected=1))
        self.platform.set_faults("tables", stale=1)
        change = edit("pools", "quotes", pool_document(slots=9), expected=2)
        restarted = table_store(self.platform)
        self.assertRaises(StaleRead, restarted.commit, change)

    def test_slow_store_is_unavailable_after_the_timeout(self):
        slow = table_store(self.platform, timeout_ms=30.0)
        self.platform.set_faults("tables", slow_ms=150.0)
        self.assertRaises(StoreUnavailable, slow.revision)

    def test_rules_of_edits(self):
        route = route_document()
        self.assert_refused(
            edit("routes", "a", route_document(pool="no")), "missing-pool"
        )
        other_department = edit("pools", "quotes", None, expected=1, department="stock")
        self.assert_refused(other_department, "other-department")
        moved = pool_document(department="stock")
        self.assert_refused(
            edit("pools", "quotes", moved, expected=1), "other-department"
        )
        self.store.commit(edit("routes", "lookup", route))
        self.assert_refused(edit("pools", "quotes", None, expected=1), "pool-in-use")
        self.assert_refused(edit("routes", "gone", None), "missing-row")
        with self.assertRaises(EditConflict) as raised:
            self.store.commit(edit("routes", "lookup", route, expected=1))
        self.assertEqual(raised.exception.current.version, 2)
        bad = edit("pools", "new", pool_document(slots=0))
        self.assertRaises(FindingsError, self.store.commit, bad)

    def test_edits_between_read_and_commit_are_seen_by_the_commit(self):
        """Guards against rules that are checked only on rows read before the commit."""
        pool = edit("pools", "quotes", pool_document(slots=8), expected=1)
        self.commit_after_next_read(
            edit("pools", "quotes", pool_document(slots=7), expected=1)
        )
        self.assertRaises(EditConflict, self.store.commit, pool)
        self.commit_after_next_read(edit("pools", "quotes", None, expected=2))
        self.assert_refused(edit("routes", "lookup", route_document()), "missing-pool")

    def commit_after_next_read(self, change):
        """Make another client commit right after the store's next read of a row."""
        read_row = self.store._read_row

        def read_then_commit_other(*arguments, **options):
            row = read_row(*arguments, **options)
            self.store._read_row = read_row
            table_store(self.platform).commit(change)
            return row

        self.store._read_row = read_then_commit_other

    def test_refusal_after_a_delayed_attempt_is_unknown(self):
        """Guards against reporting an edit as refused that may still be applied.

        The first attempt is still in transit when the second one is refused.
        """
        send = self.store._client.send_once
        attempts = []

        def delay_first(*arguments):
            attempts.append(arguments)
            if len(attempts) == 1:
                raise ResponseLost("still in transit")
            return send(*arguments)

        change = edit("routes", "lookup", route_document(pool="later"))
        with mock.patch.object(self.store._client, "send_once", delay_first):
            self.assertRaises(CommitUnknown, self.store.commit, change)
        self.store.commit(edit("pools", "later", pool_document()))
        send(*attempts[0])
        self.assertEqual(self.store.commit(change).revision, 3)


class TestPlatformLimits(unittest.TestCase):
    """Rate limits of the store with 22 entries."""

    def test_all_entries_restarting_at_once_stay_under_the_limits(self):
        """Guards against restarted entries that together exceed the limits.

        A manual clock makes the load independent of the speed of the machine.
        """
        clock = ManualClock(start_ms=1000.0)
        counters = {"GET": RateCounter(clock=clock), "PUT": RateCounter(clock=clock)}

        def count(client, method, target, body, **options):
            counters[method].record()
            return PlatformResponse(status=200, content=b"{}")

        with mock.patch.object(PlatformClient, "_exchange", count):
            for _ in range(2):
                self.send_requests(1100, clock)
        reads, writes = (counters[m].snapshot()["max_per_second"] for m in counters)
        self.assertLess(reads, READ_LIMIT)
        self.assertLess(writes, WRITE_LIMIT)
        # With less than half of the limit in use, the test would not show that it
        # holds.
        self.assertGreater(reads, READ_LIMIT / 2)
        self.assertGreater(writes, WRITE_LIMIT / 2)

    def send_requests(self, duration_ms, clock):
        """Make newly started entries read and write as often as their limits allow."""
        clients = [
            PlatformClient(url="http://127.0.0.1:1", clock=clock, timeout_ms=0.01)
            for _ in range(ENTRIES)
        ]
        for _ in range(duration_ms):
            for client in clients:
                self.ignore_unavailable(
                    lambda c=client: c.get_document_once("/v1/objects/x")
                )
                self.ignore_unavailable(
                    lambda c=client: c.send_once("PUT", "/v1/objects/x", b"")
                )
            clock.advance(1.0)

    @staticmethod
    def ignore_unavailable(call):
        with contextlib.suppress(StoreUnavailable):
            call()

    def test_limits_hold_over_sockets(self):
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.close)
        clock = SystemClock()
        for _ in range(2):
            self.run_entries(platform, clock, clock.now() + 1100.0)
        counters = platform.counters()
        self.assertLess(counters["reads"]["max_per_second"], READ_LIMIT)
        self.assertLess(counters["writes"]["max_per_second"], WRITE_LIMIT)

    def run_entries(self, platform, clock, end):
        barrier = threading.Barrier(2 * ENTRIES)

        def send_until_end(call):
            barrier.wait()
            while clock.now() < end:
                try:
                    call()
                except StoreUnavailable:
                    clock.sleep(5.0)

        threads = []
        for _ in range(ENTRIES):
            client = PlatformClient(url=platform.url, limits=PlatformLimits)
            read = lambda c=client: c.get("/v1/tables/revision")
            write = lambda c=client: c.send_once("PUT", "/v1/objects/x", b"")
            threads += [
                threading.Thread(target=send_until_end, args=(c,))
                for c in (read, write)
            ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
