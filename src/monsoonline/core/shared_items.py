"""Shared items: small pieces of state that entries exchange by gossip.

An item carries its age, which accumulates over the hops, so clocks of different
machines are never compared. The registry :data:`item_kinds` has the limits of each
kind.
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
# Added to the age at each hop. It exceeds the one-way delay within a deployment, so
# that a copy never appears younger than the original.
HOP_ALLOWANCE_MS = 10.0
# Versions are kept for this long after expiry, so that a copy still in transit is not
# accepted again.
VERSION_RETENTION_MS = 30_000.0

item_kinds = Registry(kind="shared item kind")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ItemKind:
    """Limits of one kind of shared item.

    :param max_age_ms: age at which an item expires
    :param max_items: number of items kept of this kind
    :param max_payload_bytes: payload size limit
    :param owner_bound: whether an item is removed when its owner leaves the membership
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
    """Return the limits of per-pool summaries of an entry's in-flight counts."""
    return ItemKind(max_age_ms=1000.0, max_items=1024, owner_bound=True)


@item_kinds.register("crash")
def crash_kind():
    """Return the limits of reports of requests in flight when an upstream crashed."""
    return ItemKind(max_age_ms=600_000.0, max_items=1024)


@item_kinds.register("probe-share")
def probe_share_kind():
    """Return the limits of items that state an entry's share of the probe budget."""
    return ItemKind(max_age_ms=5000.0, max_items=1024, owner_bound=True)


@item_kinds.register("leaving")
def leaving_kind():
    """Return the limits of notices that an entry is leaving.

    The item is removed with its owner's membership; the maximum age applies only to
    an owner that is never removed.
    """
    return ItemKind(
        max_age_ms=3_600_000.0, max_items=512, max_payload_bytes=128, owner_bound=True
    )


@item_kinds.register("handover")
def handover_kind():
    """Return the limits of items that state which entry holds a stopped one's records.

    The maximum age equals the retention of the records, ten windows of 60 s.
    """
    return ItemKind(max_age_ms=600_000.0, max_items=512)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredItem:
    """An item with its time of publication on the local clock.

    :param item: the item as received or published
    :param published_at: local time in ms at which its age was zero
    :param sends: number of times this entry has sent it
    """

    item: SharedItem
    published_at: float
    sends: int = 0

    def with_age(self, now):
        """Return the item with its age at ``now``."""
        return dataclasses.replace(self.item, age_ms=max(0.0, now - self.published_at))


def item_bytes(item):
    """Return the accounted size of an item in bytes."""
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
        """Total accounted size of the items in bytes."""
        return self._bytes

    def __len__(self):
        return len(self._items)

    def items(self, kind=None):
        """Return the unexpired items of a kind, or of all kinds, with current ages."""
        now = self._clock.now()
        return tuple(
            stored.with_age(now)
            for stored in self._items.values()
            if kind in (None, stored.item.kind) and not self._expired(stored, now)
        )

    def publish(self, kind, key, payload):
        """Publish a new version of an item owned by this entry.

        :param kind: a name of :data:`item_kinds`
        :param key: subject, at most 128 bytes
        :param payload: bytes-like content within the size limit of the kind
        :returns: the :class:`monsoonline.ports.SharedItem`
        :raises ValueError: when the kind is unknown or a limit is exceeded
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
        reason = self._rejection_reason(item)
        if reason == "unknown-kind":
            item_kinds.get(kind)
        if reason:
            raise ValueError(f"shared item {kind!r} key {key!r} is refused: {reason}")
        self._insert(item, self._clock.now())
        return item

    def receive(self, item):
        """Store an item received from a peer.

        :returns: the item with its corrected age if it is newer than the known
            version, otherwise ``None``
        """
        reason = self._rejection_reason(item)
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
        """Remove an ended incarnation's owner-bound items and refuse further ones."""
        self._ended_owners[incarnation] = self._clock.now()
        for identity, stored in list(self._items.items()):
            if stored.item.owner == incarnation and self._owner_ended(stored.item):
                self._remove(identity)

    def readmit_owner(self, incarnation):
        """Accept items again from an incarnation that turned out to be running."""
        self._ended_owners.pop(incarnation, None)

    def expire(self):
        """Remove expired items and versions that are no longer needed."""
        now = self._clock.now()
        for identity, stored in list(self._items.items()):
            if self._expired(stored, now):
                self._remove(identity)
        for identity, (_, until) in list(self._versions.items()):
            if until <= now:
                del self._versions[identity]
        limit = now - VERSION_RETENTION_MS - self._longest_max_age_ms()
        for incarnation, ended in list(self._ended_owners.items()):
            if ended < limit:
                del self._ended_owners[incarnation]

    def next_item(self, *, send_limit):
        """Return the item to be sent next, or ``None``."""
        active = [s for s in self._items.values() if s.sends < send_limit]
        if not active:
            return None
        return min(active, key=lambda s: (s.sends, -s.published_at)).item

    def select(self, *, free_bytes, send_limit, size_of, background=1):
        """Select items for one message, least sent first, then newest first.

        :param free_bytes: bytes available in the message
        :param send_limit: number of sends after which an item is only repeated in the
            background
        :param size_of: function that returns the encoded size of an item in bytes
        :param background: number of items beyond the send limit that may be repeated
        :returns: tuple of items with their current ages
        """
        now = self._clock.now()
        active = [s for s in self._items.values() if s.sends < send_limit]
        candidates = heapq.nsmallest(
            32, active, key=lambda s: (s.sends, now - s.published_at)
        )
        candidates += self._background_items(background, send_limit)
        selected = []
        for stored in candidates:
            size = size_of(stored.item)
            if size > free_bytes or self._expired(stored, now):
                continue
            free_bytes -= size
            stored.sends += 1
            selected.append(stored.with_age(now))
        return tuple(selected)

    def _background_items(self, count, send_limit):
        found = []
        for _ in range(min(count, len(self._items))):
            if not self._cursor:
                self._cursor = list(self._items)
            stored = self._items.get(self._cursor.pop())
            if stored is not None and stored.sends >= send_limit:
                found.append(stored)
        return found

    def _rejection_reason(self, item):
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
        self._evict_for(item)
        self._items[identity] = StoredItem(item=item, published_at=now - item.age_ms)
        self._by_kind[item.kind] += 1
        self._bytes += item_bytes(item)
        until = now - item.age_ms + self._kinds[item.kind].max_age_ms
        self._versions[identity] = (item.version, until + VERSION_RETENTION_MS)

    def _evict_for(self, item):
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
        oldest = min(identities, key=lambda i: self._items[i].published_at)
        self._remove(oldest)
        self._count("shared_items_evicted_total", kind=oldest[0])

    def _remove(self, identity):
        stored = self._items.pop(identity)
        self._by_kind[identity[0]] -= 1
        self._bytes -= item_bytes(stored.item)

    def _expired(self, stored, now):
        return now - stored.published_at >= self._kinds[stored.item.kind].max_age_ms

    def _known_version(self, item):
        known = self._versions.get((item.kind, item.key, item.owner))
        return known[0] if known else -1

    def _owner_ended(self, item):
        return self._kinds[item.kind].owner_bound and item.owner in self._ended_owners

    def _longest_max_age_ms(self):
        return max(kind.max_age_ms for kind in self._kinds.values())

    def _count(self, name, **labels):
        if self._metrics is not None:
            self._metrics.count(name, **labels)
