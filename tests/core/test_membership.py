"""Tests of the member table."""

import dataclasses
import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.membership import (
    GONE_RETENTION_MS,
    SUSPICION_TIMEOUT_MS,
    Condition,
    MemberRecord,
    MembershipTable,
)
from monsoonline.ports import VirtualMachine


def record(number, *, name=None, peer_address=None, **changes):
    """Return the record of a process."""
    return MemberRecord(
        incarnation=f"{number:016x}",
        name=name or f"entry-{number}",
        address=f"10.0.0.{number}:80",
        peer_address=peer_address or f"10.0.0.{number}:90",
        failure_domain="a",
        region="r",
        **changes,
    )


def machine(name, peer_address, **changes):
    """Return a row of the VM list."""
    return VirtualMachine(
        name=name,
        role="entry",
        address="",
        failure_domain="a",
        peer_address=peer_address,
        **changes,
    )


class TestMembershipTable(unittest.TestCase):
    """Precedence of records, refutation, removal and reuse of names."""

    def setUp(self):
        self.clock = ManualClock()
        self.table = MembershipTable(clock=self.clock, own=record(1))
        self.table.merge(record(2))

    def state(self, number):
        states = {m.incarnation: m.state for m in self.table.members()}
        return states.get(f"{number:016x}")

    def test_higher_generation_refutes_suspicion_and_lower_does_not(self):
        self.table.suspect(record(2).incarnation)
        self.table.merge(record(2))
        self.assertEqual(self.state(2), "suspect")
        self.table.merge(record(2, generation=1))
        self.assertEqual(self.state(2), "alive")

    def test_entry_refutes_a_record_that_marks_it_as_gone(self):
        self.table.merge(record(1, generation=4, condition=Condition.GONE).compact())
        self.assertEqual(self.table.own.generation, 5)
        self.assertEqual(self.table.own.condition, Condition.ALIVE)

    def test_compact_record_keeps_the_string_fields(self):
        self.table.merge(record(2, generation=1, ready=True).compact())
        member = self.table.members()[1]
        self.assertEqual((member.name, member.ready), ("entry-2", True))

    def test_compact_record_of_an_unknown_process_adds_nothing(self):
        self.table.merge(record(3).compact())
        self.assertIsNone(self.state(3))

    def test_leaving_is_never_taken_back(self):
        """A delayed record must not cause callers to be sent to a leaving entry."""
        self.table.merge(record(2, generation=1, leaving=True))
        self.table.merge(record(2, generation=2))
        self.assertEqual(self.state(2), "leaving")

    def test_revision_never_goes_back(self):
        self.table.merge(record(2, generation=1, revision=9))
        self.table.merge(record(2, generation=2, revision=8))
        self.assertEqual(self.table.members()[1].revision, 9)

    def test_unresponsive_suspect_is_marked_gone_and_deleted(self):
        self.table.suspect(record(2).incarnation)
        self.clock.advance(SUSPICION_TIMEOUT_MS)
        self.table.expire()
        self.assertEqual(self.state(2), "gone")
        self.assertEqual(self.table.take_removed(), [record(2).incarnation])
        self.clock.advance(GONE_RETENTION_MS)
        self.table.expire()
        self.assertIsNone(self.state(2))

    def test_own_pause_does_not_remove_suspects(self):
        """A pause of this process must not count towards the suspicion timeout."""
        self.table.suspect(record(2).incarnation)
        self.clock.advance(SUSPICION_TIMEOUT_MS)
        self.table.postpone(SUSPICION_TIMEOUT_MS)
        self.table.expire()
        self.assertEqual(self.state(2), "suspect")

    def test_process_that_replies_at_the_address_replaces_the_earlier_one(self):
        later = record(3, name="entry-2", peer_address="10.0.0.2:90")
        self.table.merge(later, direct=True)
        self.assertEqual((self.state(2), self.state(3)), ("gone", "alive"))
        self.table.merge(record(2, generation=9))
        self.assertEqual(self.state(2), "gone")

    def test_indirect_record_alone_does_not_replace_a_process(self):
        """A stale record of an earlier process must not remove the later one."""
        stale = record(3, name="entry-2", peer_address="10.0.0.2:90")
        self.table.merge(stale)
        self.assertEqual(self.state(2), "alive")

    def test_vm_list_that_moves_a_name_removes_the_earlier_process(self):
        self.table.merge_vm_list([machine("entry-2", "10.0.0.2:90")])
        self.table.merge(record(3, name="entry-2"))
        self.assertEqual(self.state(2), "alive")
        self.table.merge_vm_list([machine("entry-2", "10.0.0.3:90")])
        self.assertEqual((self.state(2), self.state(3)), ("gone", "alive"))

    def test_outdated_vm_list_does_not_remove_the_later_process(self):
        """The VM list may still have the name at the address of the earlier process."""
        self.table.merge_vm_list([machine("entry-2", "10.0.0.2:90")])
        self.table.merge(record(3, name="entry-2"), direct=True)
        self.table.merge(record(2, generation=1), direct=True)
        self.assertEqual(self.state(3), "alive")

    def test_vm_list_provides_contact_addresses_and_leaving_state(self):
        rows = [
            machine("entry-1", "10.0.0.1:90"),
            machine("entry-2", "10.0.0.2:90", leaving=True),
            machine("entry-4", "10.0.0.4:90"),
        ]
        self.table.merge_vm_list(rows)
        self.assertEqual(self.table.contact_addresses(), ["10.0.0.4:90"])
        self.assertEqual(self.state(2), "leaving")

    def test_older_record_is_corrected(self):
        """An entry that missed an update must get it after sending an older record."""
        self.table.suspect(record(2).incarnation)
        tracked = self.table.pending_updates(other_region=False, limit=100)[-1]
        self.assertEqual(tracked.record.incarnation, record(2).incarnation)
        tracked.region_sends = 9
        self.assertNotIn(
            tracked, self.table.pending_updates(other_region=False, limit=9)
        )
        self.table.merge(record(2))
        self.assertIn(tracked, self.table.pending_updates(other_region=False, limit=9))

    def test_gone_record_of_an_earlier_generation_is_ignored(self):
        self.table.merge(record(2, generation=3))
        gone = dataclasses.replace(record(2), generation=2, condition=Condition.GONE)
        self.assertFalse(self.table.merge(gone))
        self.assertEqual(self.state(2), "alive")
