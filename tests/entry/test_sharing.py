"""Tests of the state that entries exchange with their peers."""

import unittest

from monsoonline.adapters.local_peers import LocalPeerHub
from monsoonline.clock import ManualClock
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.model import Pool, Route, RouteMatch, Tables, Upstream
from monsoonline.entry.sharing import Sharing
from monsoonline.errors import Refusal, StoreUnavailable
from monsoonline.metrics import Metrics
from monsoonline.ports import Member, VirtualMachine
from monsoonline.types import AttemptKind, AttemptResult

ADDRESS = "127.0.0.1:9"
OTHER = "127.0.0.1:10"
ROUTE = Route(name="r", department="d", pool="p", match=RouteMatch(), idempotent=True)


class ScriptedMachines:
    """A VM list whose rows the test sets; ``None`` simulates an outage."""

    rows = None

    def read(self):
        if self.rows is None:
            raise StoreUnavailable("the VM list is unavailable")
        return self.rows


class SharingCase(unittest.TestCase):
    """Base class with two entries in one process."""

    def setUp(self):
        self.clock = ManualClock(start_ms=1000.0)
        self.hub = LocalPeerHub()
        self.addCleanup(self.hub.close)
        self.machines = ScriptedMachines()
        self.first = self.start("first")
        self.second = self.start("second")

    def start(self, name):
        member = Member(
            name=name,
            incarnation=name,
            address=name,
            peer_address=name,
            failure_domain="a",
            ready=True,
        )
        dispatcher = Dispatcher(clock=self.clock, owner=name)
        upstreams = tuple(
            Upstream(address=address, failure_domain="a", slots=3)
            for address in (ADDRESS, OTHER)
        )
        pool = Pool(name="p", department="d", upstreams=upstreams)
        dispatcher.update_tables(Tables(revision=1, pools={"p": pool}))
        return Sharing(
            clock=self.clock,
            dispatcher=dispatcher,
            machines=self.machines,
            metrics=Metrics(),
            peers=self.hub.join(member),
        )

    def attempt(self, sharing, kind, *, fingerprint=None, draining=False):
        assignment = sharing._dispatcher.acquire(
            ROUTE, deadline=self.clock.now() + 100.0, fingerprint=fingerprint
        )
        result = AttemptResult(kind=kind, latency_ms=1.0, draining=draining)
        sharing._dispatcher.release(assignment, result)
        return assignment.upstream.address


class TestDrains(SharingCase):
    """A leaving upstream gets no new work from any entry."""

    def test_drain_seen_by_one_entry_reaches_the_other(self):
        address = self.attempt(self.first, AttemptKind.SUCCEEDED, draining=True)
        self.first.tick()
        self.assertEqual(self.second._dispatcher.leaving, {address: ("peer",)})
        picked = {self.attempt(self.second, AttemptKind.SUCCEEDED) for _ in range(30)}
        self.assertNotIn(address, picked)

    def test_notice_of_a_peer_is_not_published_again(self):
        """Two entries must not renew a notice for each other indefinitely."""
        self.attempt(self.first, AttemptKind.SUCCEEDED, draining=True)
        for _ in range(20):
            self.first.tick()
            self.second.tick()
            self.clock.advance(30_000.0)
        self.assertEqual(self.second._dispatcher.leaving, {})

    def test_starting_entry_asks_its_peers_while_the_vm_list_is_down(self):
        """A replaced entry missed earlier notices, and the VM list may be unavailable.

        It may also lag behind the peers.
        """
        address = self.attempt(self.first, AttemptKind.SUCCEEDED, draining=True)
        third = self.start("third")
        self.assertFalse(third.synchronized)
        third.read_machines()
        self.assertTrue(third.synchronized)
        self.assertIn(address, third._dispatcher.leaving)

    def test_starting_entry_without_replies_is_not_synchronized(self):
        third = self.start("third")
        for name in ("first", "second"):
            self.hub.set_reachable(name, False)
        third.read_machines()
        self.assertFalse(third.synchronized)

    def test_unresponsive_listed_peer_only_delays_the_start(self):
        """An entry must not wait indefinitely for entries that have failed."""
        third = self.start("third")
        self.hub.leave("first")
        self.hub.leave("second")
        self.machines.rows = tuple(
            VirtualMachine(name=name, role="entry", address=name, failure_domain="a")
            for name in ("first", "third")
        )
        third.read_machines()
        self.assertFalse(third.synchronized)
        self.clock.advance(3000.0)
        third.read_machines()
        self.assertTrue(third.synchronized)

    def test_vm_list_sets_and_clears_leaving(self):
        row = VirtualMachine(
            name="u", role="upstream", address=ADDRESS, failure_domain="a", leaving=True
        )
        self.machines.rows = (row,)
        self.first.read_machines()
        self.assertEqual(self.first._dispatcher.leaving, {ADDRESS: ("vm-list",)})
        self.machines.rows = None
        self.first.read_machines()
        self.assertIn(ADDRESS, self.first._dispatcher.leaving)
        self.machines.rows = ()
        self.first.read_machines()
        self.assertEqual(self.first._dispatcher.leaving, {})


class TestCrashes(SharingCase):
    """A poison request that crashes upstreams is known to all entries."""

    def test_crashes_at_two_entries_add_up(self):
        for sharing in (self.first, self.second):
            self.attempt(sharing, AttemptKind.CONNECTION_LOST, fingerprint="f")
            self.clock.advance(100.0)
            for entry in (self.first, self.second):
                entry.tick()
        with self.assertRaises(Refusal) as caught:
            self.attempt(self.second, AttemptKind.SUCCEEDED, fingerprint="f")
        self.assertEqual(caught.exception.outcome.value, "not-run")
        self.attempt(self.second, AttemptKind.SUCCEEDED, fingerprint="g")

    def test_starting_entry_learns_of_earlier_crashes(self):
        """A joining entry must not lose further upstreams to a known poison request."""
        for sharing in (self.first, self.second):
            self.attempt(sharing, AttemptKind.CONNECTION_LOST, fingerprint="f")
            self.clock.advance(100.0)
            for entry in (self.first, self.second):
                entry.tick()
        self.machines.rows = ()
        third = self.start("third")
        third.read_machines()
        self.assertTrue(third.synchronized)
        with self.assertRaises(Refusal):
            self.attempt(third, AttemptKind.SUCCEEDED, fingerprint="f")


class TestLoad(SharingCase):
    """Requests in flight at one entry are counted by the others."""

    def test_snapshot_reaches_the_peer(self):
        self.first._dispatcher.acquire(ROUTE, deadline=self.clock.now() + 100.0)
        received = []
        self.second._dispatcher.observe_peer = received.append
        self.clock.advance(500.0)
        self.first.tick()
        (snapshot,) = received
        self.assertEqual(snapshot.owner, "first")
        self.assertEqual(len(snapshot.pools[0].payload), 4)
