"""Tests of the selection of recipients and of what they learn."""

import random
import unittest

from monsoonline.core.fleet import LIVENESS_TIMEOUT_MS, Fleet, FleetMember
from monsoonline.core.recipient_selection import (
    REMOTE_MEMBERS_LISTED,
    RecipientSelector,
)

HEARTBEAT_MS = 400.0


def member(domain, number):
    return FleetMember(
        name=f"{domain}{number}",
        failure_domain=domain,
        callers_address=f"10.{ord(domain)}.0.{number}:80",
        peer_address=f"10.{ord(domain)}.0.{number}:90",
        ready=True,
    )


class TestRecipientSelector(unittest.TestCase):
    """Simulates three failure domains of 77 entries that exchange heartbeats."""

    def setUp(self):
        generator = random.Random(1)
        self.members = [member(d, n) for d in "abc" for n in range(77)]
        self.fleets = {}
        self.selectors = {}
        for own in self.members:
            fleet = Fleet(own=own)
            for other in self.members:
                fleet.update(other, now=0.0)
            self.fleets[own.name] = fleet
            self.selectors[own.name] = RecipientSelector(
                fleet=fleet, generator=generator
            )

    def run_rounds(self, count, unresponsive=()):
        """Run rounds in which heartbeats are delivered without delay.

        :returns: largest number of members listed for another failure domain
        """
        max_remote = 0
        for number in range(1, count + 1):
            now = number * HEARTBEAT_MS
            for own in self.members:
                if own.name in unresponsive:
                    continue
                fleet, selector = self.fleets[own.name], self.selectors[own.name]
                fleet.count_beat()
                local, remote = selector.next_heartbeat()
                for receivers, is_remote in ((local, False), (remote, True)):
                    listed = selector.members_for(now, remote=is_remote)
                    max_remote = max(max_remote, len(listed) if is_remote else 0)
                    for receiver in receivers:
                        if receiver.name not in unresponsive:
                            self.deliver(fleet.own, listed, receiver, now)
        return max_remote

    def deliver(self, sender, listed, receiver, now):
        fleet = self.fleets[receiver.name]
        fleet.update(sender, now=now)
        for item in listed:
            fleet.update_relayed(item, now=now)

    def live_local_names(self, name, now):
        fleet = self.fleets[name]
        domain = fleet.own.failure_domain
        return {m.name for m in fleet.alive(now) if m.failure_domain == domain}

    def test_live_entries_of_a_domain_stay_known(self):
        """A sample that is too small would remove live entries from discovery."""
        rounds = 30
        self.run_rounds(rounds)
        counts = [
            len(self.live_local_names(name, rounds * HEARTBEAT_MS))
            for name in self.fleets
        ]
        self.assertGreaterEqual(min(counts), 60)
        self.assertGreaterEqual(sum(counts) / len(counts), 0.95 * 76)

    def test_unresponsive_entry_is_soon_forgotten(self):
        """Relayed ages that did not grow would keep a failed entry in discovery."""
        self.run_rounds(10, unresponsive={"a0"})
        now = 10 * HEARTBEAT_MS
        self.assertGreater(now, LIVENESS_TIMEOUT_MS)
        informed = [n for n in self.fleets if "a0" in self.live_local_names(n, now)]
        self.assertEqual(informed, [])

    def test_heartbeats_between_domains_stay_small(self):
        """At 231 entries, heartbeats with a whole domain cost 0.1 of a day's worth."""
        self.assertLessEqual(self.run_rounds(6), REMOTE_MEMBERS_LISTED)

    def test_failures_reach_the_own_domain_and_some_of_each_other(self):
        recipients = self.selectors["a0"].failure_recipients(0.0)
        domains = [m.failure_domain for m in recipients]
        self.assertEqual(domains.count("a"), 76)
        self.assertLess(len(recipients), 90)
        self.assertEqual(set(domains), set("abc"))
