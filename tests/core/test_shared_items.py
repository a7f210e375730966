"""Tests of the store of shared items."""

import dataclasses
import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.shared_items import (
    HOP_ALLOWANCE_MS,
    MAX_TOTAL_BYTES,
    SharedItemStore,
    item_kinds,
)
from monsoonline.ports import SharedItem

OWNER = "b" * 16


def item(**changes):
    """Return a drain notice of another entry."""
    values = {
        "kind": "drain",
        "key": "10.1.0.1:80",
        "owner": OWNER,
        "version": 5,
        "age_ms": 100.0,
        "payload": b"x",
    }
    return SharedItem(**{**values, **changes})


class TestSharedItemStore(unittest.TestCase):
    """Versions, ages, owners and limits."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = SharedItemStore(clock=self.clock, owner="a" * 16)

    def select(self, free_bytes=1000, **options):
        return self.store.select(
            free_bytes=free_bytes,
            send_limit=2,
            size_of=lambda i: 100,
            background=0,
            **options,
        )

    def test_newer_version_replaces_and_older_is_ignored(self):
        self.assertIsNotNone(self.store.receive(item()))
        self.assertIsNone(self.store.receive(item(version=4)))
        self.assertIsNone(self.store.receive(item()))
        self.assertIsNotNone(self.store.receive(item(version=6, payload=b"y")))
        self.assertEqual([i.payload for i in self.store.items()], [b"y"])

    def test_ages_add_up_over_hops_without_comparing_clocks(self):
        """Entries with unrelated clocks must agree on the age of an item."""
        second_clock = ManualClock(start_ms=9e9)
        second = SharedItemStore(clock=second_clock, owner="c" * 16)
        self.store.receive(item(age_ms=1000.0))
        self.clock.advance(2000)
        second.receive(self.store.items()[0])
        second_clock.advance(500)
        expected = 3500 + 2 * HOP_ALLOWANCE_MS
        self.assertEqual(second.items()[0].age_ms, expected)

    def test_expired_item_is_not_accepted_from_a_younger_copy(self):
        self.store.receive(item(age_ms=299_000.0))
        self.clock.advance(1000)
        self.store.expire()
        self.assertEqual(len(self.store), 0)
        self.assertIsNone(self.store.receive(item(age_ms=299_900.0 - 50)))

    def test_items_of_an_ended_owner_are_refused(self):
        """A restarted entry has a new incarnation; the old load is invalid."""
        self.store.receive(item(kind="load"))
        self.store.receive(item())
        self.store.end_owner(OWNER)
        self.assertEqual([i.kind for i in self.store.items()], ["drain"])
        self.assertIsNone(self.store.receive(item(kind="load", version=9)))
        self.store.readmit_owner(OWNER)
        self.assertIsNotNone(self.store.receive(item(kind="load", version=9)))

    def test_limits_are_enforced(self):
        for bad in (
            item(kind="unknown"),
            item(payload=b"x" * 129),
            item(key="k" * 129),
            item(age_ms=float("nan")),
            item(age_ms=-1.0),
            item(age_ms=300_000.0),
            item(owner="a" * 16),
        ):
            self.assertIsNone(self.store.receive(bad), bad)
        with self.assertRaisesRegex(ValueError, "valid names: crash, drain"):
            self.store.publish("unknown", "k", b"")
        with self.assertRaisesRegex(ValueError, "payload-oversized"):
            self.store.publish("load", "k", b"x" * 513)

    def test_total_memory_is_bounded(self):
        """The oldest items are evicted; the limit applies to all kinds together."""
        for kind in item_kinds.names:
            limits = item_kinds.get(kind)()
            payload = b"x" * limits.max_payload_bytes
            for number in range(limits.max_items + 3):
                new = item(kind=kind, key=str(number), payload=payload, age_ms=0.0)
                self.store.receive(dataclasses.replace(new, version=number))
        self.assertLessEqual(self.store.total_bytes, MAX_TOTAL_BYTES)
        self.assertLessEqual(len(self.store.items("drain")), 1024)

    def test_least_sent_then_newest_first(self):
        self.store.receive(item(key="old", age_ms=50.0))
        self.store.receive(item(key="fresh", age_ms=10.0))
        self.assertEqual([i.key for i in self.select(free_bytes=100)], ["fresh"])
        self.assertEqual([i.key for i in self.select(free_bytes=100)], ["old"])
        self.assertEqual(len(self.select()), 2)
        self.assertEqual(self.select(), ())
