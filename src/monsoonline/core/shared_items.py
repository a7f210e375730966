"""Shared items: small facts that entries spread among themselves.

Ages travel with the items and are summed over the hops, so no clocks of two
machines are compared. Each kind has limits in the registry :data:`item_kinds`.
"""

import dataclasses
import heapq

from monsoonline.ports import SharedItem
from monsoonline.registry import Registry

__all__ = [
    "ItemKind",
    "SharedItemStore",
    "StoredItem",
    "item_kinds",
]

MAX_PAYLOAD_BYTES = 512
MAX_KEY_BYTES = 128
MAX_TOTAL_ITEMS = 4096
MAX_TOTAL_BYTES = 2 * 1024 * 1024
ITEM_OVERHEAD_BYTES = 200
# Added to the age at each hop. It exceeds the one-way delay inside a deployment, so
# that a copy never looks younger than the original.
HOP_ALLOWANCE_MS = 10.0
# Versions stay known this long after expiry, so that a copy that still travels is
# not accepted again.
VERSION_MEMORY_MS = 30_000.0

item_kinds = Registry(kind="shared item kind")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ItemKind:
    """Limits of one kind of shared item.

    :param max_age_ms: age at which an item expires
    :param max_items: number of items kept of this kind
    :param max_payload_bytes: payload size limit
    :param owner_bound: whether an item ends when its owner leaves the membership
    """

    max_age_ms: float
    max_items: int
    max_payload_bytes: int = MAX_PAYLOAD_BYTES
    owner_bound: bool = False


@item_kinds.register("drain")
def drain_kind():
    """Return the limits of notices that an upstream is leaving."""
    return ItemKind(max_age_ms=300_000.0, max_items=1024, max_payload_bytes=128)


@item_kinds.register("load")
def load_kind():
    """Return the limits of per-pool summaries of own in-flight counts."""
    return ItemKind(max_age_ms=1000.0, max_items=1024, owner_bound=True)


@item_kinds.register("crash")
def crash_kind():
    """Return the limits of fingerprints in flight at an upstream's crash."""
    return ItemKind(max_age_ms=600_000.0, max_items=1024)


@item_kinds.register("probe-share")
def probe_share_kind():
    """Return the limits of shares of a measuring budget."""
    return ItemKind(max_age_ms=5000.0, max_items=1024, owner_bound=True)


@item_kinds.register("leaving")
def leaving_kind():
    """Return the limits of notices that an entry is leaving.

    The item ends with its owner's membership; the age is the limit for an owner
    that is never removed.
    """
    return ItemKind(
        max_age_ms=3_600_000.0, max_items=512, max_payload_bytes=128, owner_bound=True
    )


@item_kinds.register("handover")
def handover_kind():
    """Return the limits of notices where a stopped entry's records are.

    The age equals the retention of the records, ten windows of 60 s.
    """
    return ItemKind(max_age_ms=600_000.0, max_items=512)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredItem:
    """An item with the moment of its publication on the local clock.

    :param item: the item as it was received
    :param born: local instant in ms at which its age was zero
    :param sends: how often this entry has sent it
    """

    item: SharedItem
    born: float
    sends: int = 0

    def aged(self, now):
        """Return the item with its age at ``now``."""
        return dataclasses.replace(self.item, age_ms=max(0.0, now - self.born))


def item_bytes(item):
    """Return the memory that an item is counted with."""
    return ITEM_OVERHEAD_BYTES + len(item.key) + len(item.payload)


class SharedItemStore:
    """Shared items of one entry, bounded in number, bytes and age.

    :param clock: source of time
    :param owner: incarnation of this entry
    :param metrics: counters, optional
    """

    def __init__(self, *, clock, owner, metrics=None):
        self._clock = clock
        self._owner = owner
        self._metrics = metrics
        self._kinds = {name: item_kinds.get(name)() for name in item_kinds.names}
        self._items = {}
        self._by_kind = dict.fromkeys(self._kinds, 0)
        self._bytes = 0
        self._versions = {}
        self._version = 0
        self._ended_owners = {}
        self._cursor = []

    @property
    def total_bytes(self):
        """Memory that the items are counted with."""
        return self._bytes

    def __len__(self):
        return len(self._items)

    def items(self, kind=None):
        """Return the live items of a kind, or all, with their current ages."""
        now = self._clock.now()
        return tuple(
            stored.aged(now)
            for stored in self._items.values()
            if kind in (None, stored.item.kind) and not self._expired(stored, now)
        )

    def publish(self, kind, key, payload):
        """Publish a new version of an own item.

        :param kind: a name of :data:`item_kinds`
        :param key: subject, at most 128 bytes
        :param payload: bytes within the kind's limit
        :returns: the :class:`monsoonline.ports.SharedItem`
        :raises ValueError: when the kind is not known or a limit is exceeded
        """
        self._version += 1
        item = SharedItem(
            kind=kind,
            key=key,
            owner=self._owner,
            version=self._version,
            age_ms=0.0,
            payload=bytes(payload),
        )
        reason = self._invalid(item)
        if reason == "unknown-kind":
            item_kinds.get(kind)
        if reason:
            raise ValueError(f"shared item {kind!r} key {key!r} is refused: {reason}")
        self._insert(item, self._clock.now())
        return item

    def receive(self, item):
        """Take an item from a peer.

        :returns: the item with its corrected age when it is newer than what was
            known, otherwise ``None``
        """
        reason = self._invalid(item)
        item = dataclasses.replace(item, age_ms=item.age_ms + HOP_ALLOWANCE_MS)
        if reason is None and item.age_ms >= self._kinds[item.kind].max_age_ms:
            reason = "expired"
        if reason is None and item.owner == self._owner:
            reason = "own"
        if reason is None and self._owner_ended(item):
            reason = "owner-ended"
        if reason is None and item.version <= self._known_version(item):
            reason = "not-newer"
        if reason is not None:
            self._count("shared_items_refused_total", cause=reason)
            return None
        self._insert(item, self._clock.now())
        return item

    def end_owner(self, incarnation):
        """Drop the owner-bound items of an incarnation that left, for good."""
        self._ended_owners[incarnation] = self._clock.now()
        for identity, stored in list(self._items.items()):
            if stored.item.owner == incarnation and self._owner_ended(stored.item):
                self._remove(identity)

    def readmit_owner(self, incarnation):
        """Accept items again of an incarnation that proved to be running."""
        self._ended_owners.pop(incarnation, None)

    def expire(self):
        """Remove items beyond their age, and versions no longer needed."""
        now = self._clock.now()
        for identity, stored in list(self._items.items()):
            if self._expired(stored, now):
                self._remove(identity)
        for identity, (_, until) in list(self._versions.items()):
            if until <= now:
                del self._versions[identity]
        limit = now - VERSION_MEMORY_MS - self._longest_age()
        for incarnation, ended in list(self._ended_owners.items()):
            if ended < limit:
                del self._ended_owners[incarnation]

    def next_item(self, *, send_limit):
        """Return the item that is to be sent first, or ``None``."""
        active = [s for s in self._items.values() if s.sends < send_limit]
        if not active:
            return None
        return min(active, key=lambda s: (s.sends, -s.born)).item

    def select(self, *, room, send_limit, size_of, background=1):
        """Choose items for one message, least sent and freshest first.

        :param room: bytes available
        :param send_limit: sends after which an item only travels in the background
        :param size_of: function from an item to its encoded size in bytes
        :param background: number of items beyond the limit that may be repeated
        :returns: tuple of items with their current ages
        """
        now = self._clock.now()
        active = [s for s in self._items.values() if s.sends < send_limit]
        chosen = heapq.nsmallest(32, active, key=lambda s: (s.sends, now - s.born))
        chosen += self._background(background, send_limit)
        taken = []
        for stored in chosen:
            size = size_of(stored.item)
            if size > room or self._expired(stored, now):
                continue
            room -= size
            stored.sends += 1
            taken.append(stored.aged(now))
        return tuple(taken)

    def _background(self, count, send_limit):
        found = []
        for _ in range(min(count, len(self._items))):
            if not self._cursor:
                self._cursor = list(self._items)
            stored = self._items.get(self._cursor.pop())
            if stored is not None and stored.sends >= send_limit:
                found.append(stored)
        return found

    def _invalid(self, item):
        kind = self._kinds.get(item.kind)
        if kind is None:
            return "unknown-kind"
        if len(item.payload) > kind.max_payload_bytes:
            return "payload-oversized"
        if len(item.key.encode()) > MAX_KEY_BYTES:
            return "key-oversized"
        if not item.age_ms >= 0.0:
            return "bad-age"
        return None

    def _insert(self, item, now):
        identity = (item.kind, item.key, item.owner)
        if identity in self._items:
            self._remove(identity)
        self._make_room(item)
        self._items[identity] = StoredItem(item=item, born=now - item.age_ms)
        self._by_kind[item.kind] += 1
        self._bytes += item_bytes(item)
        until = now - item.age_ms + self._kinds[item.kind].max_age_ms
        self._versions[identity] = (item.version, until + VERSION_MEMORY_MS)

    def _make_room(self, item):
        while self._by_kind[item.kind] >= self._kinds[item.kind].max_items:
            self._evict([i for i in self._items if i[0] == item.kind])
        while (
            len(self._items) >= MAX_TOTAL_ITEMS
            or self._bytes + item_bytes(item) > MAX_TOTAL_BYTES
        ):
            self._evict(self._items)
        while len(self._versions) >= 2 * MAX_TOTAL_ITEMS:
            del self._versions[next(iter(self._versions))]

    def _evict(self, identities):
        oldest = min(identities, key=lambda i: self._items[i].born)
        self._remove(oldest)
        self._count("shared_items_evicted_total", kind=oldest[0])

    def _remove(self, identity):
        stored = self._items.pop(identity)
        self._by_kind[identity[0]] -= 1
        self._bytes -= item_bytes(stored.item)

    def _expired(self, stored, now):
        return now - stored.born >= self._kinds[stored.item.kind].max_age_ms

    def _known_version(self, item):
        known = self._versions.get((item.kind, item.key, item.owner))
        return known[0] if known else -1

    def _owner_ended(self, item):
        return self._kinds[item.kind].owner_bound and item.owner in self._ended_owners

    def _longest_age(self):
        return max(kind.max_age_ms for kind in self._kinds.values())

    def _count(self, name, **labels):
        if self._metrics is not None:
            self._metrics.count(name, **labels)
