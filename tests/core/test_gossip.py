"""Tests of the gossip between many entries in virtual time."""

import unittest

from monsoonline.bench.virtual_peers import VirtualPeers
from monsoonline.core.byte_budget import BURST_BYTES, BYTES_PER_SECOND

GONE = {"gone", "unknown"}


def rate(peers, duration_ms):
    """Run for a time and return the highest traffic of a node in bytes per second."""
    nodes = peers.running()
    start = [n.gossip.budget.sent_bytes + n.gossip.budget.received_bytes for n in nodes]
    peers.run(duration_ms)
    end = [n.gossip.budget.sent_bytes + n.gossip.budget.received_bytes for n in nodes]
    return max(b - a for a, b in zip(start, end, strict=True)) / duration_ms * 1e3


class TestGossip(unittest.TestCase):
    """Joining, failure detection and dissemination of updates."""

    def start_joined(self, members=10, **options):
        """Start entries that know each other and run them for 3 s."""
        peers = VirtualPeers(members=members, seed=5, warm=True, **options)
        peers.run(3000)
        return peers

    def test_entries_join_from_the_virtual_machine_list(self):
        """Entries that only know the addresses in the VM list must find each other."""
        peers = VirtualPeers(members=10, seed=1)
        peers.run(20_000, until=lambda: peers.all_see({"alive"}))
        self.assertTrue(peers.all_see({"alive"}))

    def test_virtual_machine_list_outage_keeps_members(self):
        """A failed read of the VM list must not remove members."""
        peers = self.start_joined()
        peers.vm_list_available = False
        for node in peers.nodes:
            node.gossip.read_machines()
        peers.run(5000)
        self.assertTrue(peers.all_see({"alive"}))
        self.assertEqual(peers.nodes[0].metrics.value("vm_list_failures_total"), 1)

    def test_dead_member_is_suspected_then_gone_then_forgotten(self):
        peers = self.start_joined()
        dead = peers.nodes[3]
        peers.stop(dead)
        peers.run(5000)
        self.assertTrue(peers.all_see({"suspect"}, of=[dead]))
        peers.run(10_000)
        self.assertTrue(peers.all_see(GONE, of=[dead]))
        peers.run(70_000)
        for node in peers.running():
            self.assertNotIn(dead.own.incarnation, node.states())

    def test_paused_member_refutes_suspicion(self):
        """A pause shorter than the suspicion timeout must not remove the member."""
        peers = self.start_joined()
        paused = peers.nodes[2]
        paused.paused_until = peers.clock.now() + 4000
        peers.run(3900)
        self.assertTrue(peers.all_see({"suspect"}, of=[paused]))
        peers.run(4000)
        self.assertTrue(peers.all_see({"alive"}))
        self.assertEqual(paused.metrics.value("member_suspicions_total"), 0)

    def test_paused_member_rejoins_after_it_was_declared_gone(self):
        peers = self.start_joined()
        paused = peers.nodes[2]
        before = paused.own.incarnation
        paused.paused_until = peers.clock.now() + 30_000
        peers.run(29_900)
        self.assertTrue(peers.all_see(GONE, of=[paused]))
        peers.run(15_000)
        self.assertTrue(peers.all_see({"alive"}))
        self.assertEqual(paused.own.incarnation, before)

    def test_partition_heals(self):
        """Both halves must remove each other and rejoin through the VM list."""
        peers = self.start_joined()
        halves = {n.address: i % 2 for i, n in enumerate(peers.nodes)}
        peers.blocked = lambda a, b: halves[a.address] != halves[b.address]
        peers.run(90_000)
        for node in peers.nodes:
            alive = [m for m in node.gossip.members() if m.state == "alive"]
            self.assertEqual(len(alive), 5)
        peers.blocked = lambda a, b: False
        peers.run(30_000, until=lambda: peers.all_see({"alive"}))
        self.assertTrue(peers.all_see({"alive"}))

    def test_asymmetric_link_does_not_remove_a_member(self):
        """One direction of one link loses datagrams; indirect probes still succeed."""
        peers = self.start_joined()
        one, other = peers.nodes[0], peers.nodes[1]
        peers.blocked = lambda a, b: (a, b) == (one, other)
        peers.run(40_000)
        self.assertTrue(peers.all_see({"alive"}))

    def test_packet_loss_removes_no_member(self):
        peers = self.start_joined(members=20, loss=0.1)
        peers.run(60_000)
        for node in peers.nodes:
            self.assertNotIn("gone", node.states().values())

    def test_simultaneous_restart_of_a_fifth(self):
        """Processes restarted at the same addresses must replace the earlier ones."""
        peers = self.start_joined(members=20)
        old = peers.nodes[:4]
        for index in range(4):
            peers.start(index)
        peers.run(30_000, until=lambda: peers.all_see({"alive"}))
        self.assertTrue(peers.all_see({"alive"}))
        peers.run(5000)
        self.assertTrue(peers.all_see(GONE, of=old))

    def test_name_reuse_at_another_address(self):
        """A process must not return once the VM list has its name at a new address."""
        peers = self.start_joined()
        old = peers.nodes[4]
        peers.stop(old)
        address = "10.9.9.9:7000"
        new = peers.start(4, address=address)
        rows = [r for r in peers.listed if r.name != "entry-4"]
        peers.listed = [*rows, type(rows[0])(
            name="entry-4", role="entry", address="10.9.9.9:8000",
            failure_domain="domain-0", peer_address=address,
        )]  # fmt: skip
        for node in peers.running():
            node.gossip.read_machines()
        peers.run(15_000)
        self.assertTrue(peers.all_see({"alive"}, of=[new]))
        self.assertTrue(peers.all_see(GONE, of=[old]))

    def test_leaving_state_reaches_all_members(self):
        peers = self.start_joined()
        peers.nodes[0].gossip.set_own(leaving=True)
        peers.run(3000)
        for node in peers.nodes[1:]:
            states = node.states()
            self.assertEqual(states[peers.nodes[0].own.incarnation], "leaving")

    def test_drain_item_reaches_all_and_is_delivered_once(self):
        peers = self.start_joined(loss=0.1)
        seen = []
        for node in peers.nodes[1:]:
            node.gossip.subscribe("drain", lambda item, n=node: seen.append(n.address))
        peers.nodes[0].gossip.publish("drain", "10.1.0.1:80", b"x" * 100)
        peers.run(10_000)
        self.assertEqual(sorted(seen), sorted(n.address for n in peers.nodes[1:]))

    def test_largest_item_reaches_all_under_loss(self):
        """An item above the regular datagram size must not be delayed indefinitely."""
        peers = self.start_joined(members=20, loss=0.1)
        seen = set()
        for node in peers.nodes[1:]:
            node.gossip.subscribe("crash", lambda item, n=node: seen.add(n.address))
        payload = bytes(range(1, 129)) * 4
        peers.nodes[0].gossip.publish("crash", "f" * 32, payload)
        peers.run(10_000, until=lambda: len(seen) == 19)
        self.assertEqual(len(seen), 19)

    def test_region_that_is_cut_off_is_suspected_and_returns(self):
        peers = self.start_joined(members=12, regions=3)
        peers.blocked = lambda a, b: (
            a.gossip.region != b.gossip.region
            and "region-0" in (a.gossip.region, b.gossip.region)
        )
        peers.run(60_000)
        cut_off = [n for n in peers.nodes if n.gossip.region == "region-0"]
        observer = next(n for n in peers.nodes if n.gossip.region == "region-1")
        for node in cut_off:
            self.assertIn(observer.states().get(node.own.incarnation), (None, "gone"))
        peers.blocked = lambda a, b: False
        peers.run(40_000, until=lambda: peers.all_see({"alive"}))
        self.assertTrue(peers.all_see({"alive"}))


class TestCost(unittest.TestCase):
    """Traffic and dissemination time for different numbers of members."""

    def check(self, *, members, regions, bound_ms):
        peers = VirtualPeers(
            members=members, seed=7, regions=regions, loss=0.1, warm=True
        )
        peers.run(2000)
        peers.nodes[0].gossip.set_own(revision=9, checksum="c")
        elapsed = peers.run(
            bound_ms, until=lambda: all(n.own.revision == 9 for n in peers.nodes)
        )
        self.assertLess(elapsed, bound_ms)
        self.assertLessEqual(rate(peers, 2000), BYTES_PER_SECOND + BURST_BYTES)

    def test_revision_reaches_20_members_in_5_s(self):
        self.check(members=20, regions=1, bound_ms=5000)

    def test_revision_reaches_300_members_in_14_s(self):
        self.check(members=300, regions=7, bound_ms=14_000)

    def test_budget_holds_over_a_minute_under_loss(self):
        """Repeated probes under packet loss must not exceed the byte budget."""
        peers = VirtualPeers(members=20, seed=3, loss=0.3, warm=True)
        peers.run(5000)
        self.assertLessEqual(
            rate(peers, 60_000), BYTES_PER_SECOND + 2 * BURST_BYTES / 60
        )
