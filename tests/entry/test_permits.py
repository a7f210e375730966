"""Tests of the permits that several entries share, over an in-memory network."""

import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.fleet import CONTACT_TIMEOUT_MS, Fleet, FleetMember
from monsoonline.core.fleet_messages import (
    OwnerCheck,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from monsoonline.core.permits import owner_order
from monsoonline.core.registrations import Registration
from monsoonline.core.upstream_limits import LimitObservation
from monsoonline.core.upstream_view import UpstreamState
from monsoonline.entry import permits as permits_module
from monsoonline.entry.limit_reader import LimitReader
from monsoonline.entry.permits import UpstreamPermits
from monsoonline.metrics import Metrics
from tests.entry.target_fixture import NAMES

INSTANCE = "i1"
REVIEW_INTERVAL_MS = 250.0


class Entry:
    """Permits, fleet and upstream state of one entry."""

    def __init__(self, *, network, name):
        clock = network.clock
        self.name = name
        self.fleet = Fleet(
            own=FleetMember(
                name=name,
                failure_domain="a",
                callers_address=f"{name}:80",
                peer_address=f"{name}:90",
            )
        )
        self.state = UpstreamState(
            registration=Registration(
                instance=INSTANCE,
                pool="p",
                address="u:1",
                failure_domain="a",
                slots=3,
            )
        )
        self.permits = UpstreamPermits(
            clock=clock,
            fleet=self.fleet,
            find_state=lambda instance: self.state,
            limits=LimitReader(clock=clock, names=NAMES, metrics=Metrics()),
            send=lambda member, message: network.send(self.name, member.name, message),
            metrics=Metrics(),
        )

    def name_limit(self, limit, now):
        self.state.limit.observe(
            LimitObservation(limit=limit, sent_at=now, received_at=now)
        )

    def acquire(self):
        return bool(self.permits.acquire(self.state, 0))


class Network:
    """Delivers messages between entries unless a link is cut or an entry is paused."""

    def __init__(self, names, *, limit):
        self.clock = ManualClock()
        self.paused = set()
        self.cut = set()
        self.entries = {name: Entry(network=self, name=name) for name in names}
        for entry in self.entries.values():
            entry.name_limit(limit, self.clock.now())
        self.advance(0.0)

    def in_order(self):
        """Return the entries in the order in which they own the upstream."""
        names = owner_order(INSTANCE, list(self.entries), len(self.entries))
        return [self.entries[name] for name in names]

    def send(self, sender, receiver, message):
        if not self.connected(sender, receiver):
            return
        target = self.entries[receiver].permits
        handlers = {
            OwnerCheck: target.handle_check,
            PermitReply: target.handle_reply,
            PermitRequest: target.issue,
            PermitReturn: target.take_back,
        }
        response = handlers[type(message)](message)
        if response is not None:
            self.send(receiver, sender, response)

    def connected(self, *names):
        return frozenset(names) not in self.cut and self.paused.isdisjoint(names)

    def advance(self, duration_ms):
        """Let time pass; running entries exchange heartbeats and review buckets."""
        end = self.clock.now() + duration_ms
        while True:
            for entry in self.entries.values():
                self._beat(entry)
            if self.clock.now() >= end:
                return
            self.clock.advance(min(REVIEW_INTERVAL_MS, end - self.clock.now()))

    def _beat(self, entry):
        if entry.name in self.paused:
            return
        entry.permits.review()
        entry.fleet.count_beat()
        now = self.clock.now()
        for other in self.entries.values():
            if other is not entry and self.connected(entry.name, other.name):
                other.fleet.update(entry.fleet.own, now=now)
                for item in entry.fleet.ages(now, failure_domain="a"):
                    other.fleet.update_relayed(item, now=now)


class TestHandover(unittest.TestCase):
    """Two owners of an upstream that follow each other stay within its limit."""

    def setUp(self):
        # No entry is awaited in real time: a message is delivered at once or never.
        patch = mock.patch.object(permits_module, "REPLY_TIMEOUT_MS", 1.0)
        patch.start()
        self.addCleanup(patch.stop)

    def start(self, *, limit):
        self.network = Network(["e0", "e1", "e2"], limit=limit)
        return self.network.in_order()

    def issue_all(self, entry):
        """Take all permits that an entry gets at this moment; return their number."""
        count = 0
        while count < 100:
            entry.state.permits.blocked_until = float("-inf")
            if not entry.acquire():
                return count
            count += 1
        return count

    def test_woken_owner_issues_what_it_saved_before_and_during_the_pause(self):
        owner, _, other = self.start(limit=1.0)
        self.issue_all(other)
        self.network.advance(10_000.0)
        self.network.paused.add(owner.name)
        self.network.advance(10_000.0)
        self.network.paused.clear()
        # Its next message is a request that was on the way.
        request = PermitRequest(
            number=1,
            instance=INSTANCE,
            born_ms=owner.state.registration.born_ms,
            rank=0,
            observed=permits_module.LimitAge.of(
                other.state.limit.observation, self.network.clock.now()
            ),
        )
        results = [owner.permits.issue(request).result.name for _ in range(3)]
        self.assertNotIn("ISSUED", results)

    def test_second_takeover_starts_with_the_permits_of_the_first(self):
        owner, second, third = self.start(limit=1.0)
        self.network.paused.add(owner.name)
        self.network.advance(CONTACT_TIMEOUT_MS + 1_000.0)
        # The first messages show that the owner is gone.
        for _ in range(3):
            self.issue_all(third)
            self.network.advance(500.0)
        self.network.advance(8_000.0)
        self.assertGreaterEqual(self.issue_all(third), 1)
        self.network.paused.clear()
        self.network.advance(10_000.0)
        self.network.paused.add(owner.name)
        self.network.advance(CONTACT_TIMEOUT_MS + 100.0)
        self.assertLessEqual(self.issue_all(third) + self.issue_all(second), 1)

    def test_entry_cut_off_from_the_owner_alone_takes_over(self):
        owner, second, third = self.start(limit=4.0)
        self.network.cut.add(frozenset((owner.name, second.name)))
        by_second = by_third = 0
        for _ in range(40):
            self.network.advance(250.0)
            by_second += self.issue_all(second)
            by_third += self.issue_all(third)
        self.assertEqual(by_second, 0)
        self.assertGreaterEqual(by_third, 30)

    def test_entries_on_both_sides_of_a_partition_issue_the_whole_limit(self):
        limit = 5.0
        owner, second, third = self.start(limit=limit)
        self.network.advance(5_000.0)
        for name in (second.name, third.name):
            self.network.cut.add(frozenset((owner.name, name)))
        times = []
        for _ in range(400):
            self.network.advance(50.0)
            for entry in (owner, second, third):
                times += [self.network.clock.now()] * self.issue_all(entry)
        most = max(sum(s <= t < s + 4_000.0 for t in times) for s in times)
        self.assertLessEqual(most, 1.5 * limit * 4 + 5)
        self.assertGreaterEqual(len(times), 0.8 * limit * 20)


if __name__ == "__main__":
    unittest.main()
