"""Gossip between entries: probes that carry member records and shared items.

In every round an entry probes one member of its region, in shuffled round-robin
order. The probed member replies, and both datagrams piggyback recent updates. A
member that does not reply is probed again, directly and through two other members,
before it is suspected. Each region has relays, selected by rendezvous hashing, which
also probe the relays of other regions.
"""

import dataclasses
import enum
import functools
import hashlib
import math
import threading

from monsoonline.core.byte_budget import BURST_BYTES, ByteBudget
from monsoonline.core.membership import Condition, MemberRecord, MembershipTable
from monsoonline.core.shared_items import SharedItemStore
from monsoonline.ports import SharedItem

__all__ = ["DatagramPort", "Gossip", "GossipMessage", "MessageKind"]

# Per round an entry sends a probe and receives its reply, and on average receives a
# probe and replies to it. With a period of 500 ms these are 8 datagrams/s, for which
# 3800 B/s allow 475 B each on average.
ROUND_MS = 500.0
ACK_TIMEOUT_MS = 400.0
# Indirect probes are requested along with the third attempt. Requesting them with the
# second one would cost 1.3 KB/s at 10 % packet loss; with the third one it is 0.2 KB/s.
PROBE_ATTEMPTS = 3
INDIRECT_PROBES = 2
MAX_DATAGRAM_BYTES = 1200
# Size of a datagram in normal operation: 8 x (380 + 28) B/s leave a seventh of the
# budget to indirect probes.
REGULAR_DATAGRAM_BYTES = 380
# Space for records in a datagram in which shared items take precedence.
RECORDS_MIN_BYTES = 80
# Share of the tokens beyond half of the burst that a datagram may use in addition to
# its normal size, for large items and the many records that a new entry needs.
SURPLUS_SHARE = 0.4
# Part of the budget reserved for replies, so that an entry short of budget delays its
# own probes but is not suspected by others.
REPLY_RESERVE_BYTES = 500
CONTACT_INTERVAL_ROUNDS = 4
SUSPECT_INTERVAL_ROUNDS = 2
RELAYS_PER_REGION = 6
# A region is suspected after this many consecutive failed probes of its members without
# any message from the region. The lack of messages alone is not sufficient: a relay
# hears from each of six other regions every 3.6 s on average, and gaps of 10 s are
# common.
REGION_FAILURE_THRESHOLD = 3
# A round that starts more than this late indicates that the process was paused.
PAUSE_THRESHOLD_MS = 2000.0
# An update is sent this many times the binary logarithm of the number of members, and
# to other regions this many times the number of regions heard from.
RETRANSMISSION_FACTOR = 3
MAX_FORWARDED_PROBES = 64
# Number of full records, which include the string fields, in a reply to an entry that
# has not received the whole table yet.
JOIN_FULL_RECORDS_PER_REPLY = 10
# Limits how long an entry requests full records when a listed VM never responds.
MAX_JOIN_ROUNDS = 120
# Upper bounds of the sizes in packed encoding; a test compares them with the codec.
BASE_BYTES = 112
RECORD_BYTES = 40
TEXT_BYTES = 8
ITEM_BYTES = 36


class MessageKind(enum.Enum):
    """Kinds of gossip datagrams."""

    PROBE = "probe"
    REPLY = "reply"
    PROBE_REQUEST = "probeRequest"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipMessage:
    """Payload of one datagram.

    :param kind: probe, reply, or request to probe another member
    :param probe: probe number, repeated in the reply
    :param sender: record of the sender
    :param checksum: checksum of the sender's tables in effect
    :param wants_profiles: whether the sender requests full records because it lacks the
        receiver's record or others
    :param cursor: in a probe, the incarnation after which the sender requests
        profiles; in a reply, the last incarnation covered, empty at the end of the
        table
    :param target: peer address to probe, in probe requests
    :param subject: incarnation that replied, in replies to probe requests
    :param members: member records
    :param items: shared items
    """

    kind: MessageKind
    probe: int
    sender: MemberRecord
    checksum: str = ""
    wants_profiles: bool = False
    cursor: str = ""
    target: str = ""
    subject: str = ""
    members: tuple[MemberRecord, ...] = ()
    items: tuple[SharedItem, ...] = ()


class DatagramPort:
    """Interface through which gossip messages are sent."""

    def send(self, address, message, *, admit):
        """Send a message to a peer address.

        :param admit: function that takes the datagram's size in bytes and returns
            whether it may be sent
        """
        raise NotImplementedError


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingProbe:
    """A probe that has had no reply yet.

    :param address: probed peer address
    :param incarnation: probed member, empty for a contact address
    :param sent: local time in ms of the last attempt
    :param attempts: number of attempts, including the first
    """

    address: str
    incarnation: str
    sent: float
    attempts: int = 1


def record_bytes(record):
    """Return an upper bound of a record's encoded size."""
    texts = (
        record.name,
        record.address,
        record.peer_address,
        record.failure_domain,
        record.region,
    )
    return RECORD_BYTES + sum([text_bytes(text) for text in texts if text])


def item_bytes(item):
    """Return an upper bound of an item's encoded size."""
    payload = packed_bytes(item.payload) + TEXT_BYTES
    return ITEM_BYTES + text_bytes(item.key) + payload


@functools.lru_cache(maxsize=16384)
def text_bytes(text):
    """Return an upper bound of a text's encoded size."""
    return TEXT_BYTES + packed_bytes(text.encode())


def packed_bytes(content):
    """Return an upper bound of the packed size, which has one tag byte per 8 bytes."""
    return len(content) + len(content) // 8 + 2


@functools.lru_cache(maxsize=4096)
def rendezvous_weight(region, incarnation):
    """Return the rendezvous weight of a member as a relay; the highest ones win."""
    text = f"{region}/{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class Gossip:
    """Gossip protocol of one entry. Thread-safe.

    :param clock: source of time
    :param own: :class:`monsoonline.core.membership.MemberRecord` of this entry
    :param port: :class:`DatagramPort`
    :param random: NumPy random generator
    :param metrics: counters, optional
    :param virtual_machines: function that returns the rows of the VM list, optional
    :param on_newer_revision: ``f(revision, checksum, member)``, called for each
        message from a member whose tables are newer than those of this entry
    """

    def __init__(
        self,
        *,
        clock,
        own,
        port,
        random,
        metrics=None,
        virtual_machines=None,
        on_newer_revision=None,
    ):
        self._clock = clock
        self._port = port
        self._random = random
        self._metrics = metrics
        self._virtual_machines = virtual_machines
        self._on_newer_revision = on_newer_revision
        self._lock = threading.RLock()
        self._table = MembershipTable(clock=clock, own=own, metrics=metrics)
        self._items = SharedItemStore(
            clock=clock, owner=own.incarnation, metrics=metrics
        )
        self._budget = ByteBudget(clock=clock)
        self._checksum = ""
        self._handlers = {}
        self._probes = {}
        self._forwarded = {}
        self._probe_order = []
        self._cursor = ""
        self._joining = True
        self._send_count = 0
        self._round_count = 0
        self._last_round = clock.now()
        self._region_last_heard = {}
        self._region_failures = {}

    @property
    def budget(self):
        """Byte budget, which also counts the traffic."""
        return self._budget

    @property
    def region(self):
        """Region of this entry."""
        return self._table.own.region

    @property
    def items(self):
        """Store of shared items."""
        return self._items

    def members(self):
        """Return all known members, this entry first."""
        with self._lock:
            return self._table.members()

    def set_own(self, *, checksum=None, **changes):
        """Update readiness, leaving state, revision or address of the own record."""
        with self._lock:
            self._table.set_own(**changes)
            if checksum is not None:
                self._checksum = checksum

    def publish(self, kind, key, payload):
        """Publish a shared item; see :meth:`SharedItemStore.publish`."""
        with self._lock:
            return self._items.publish(kind, key, payload)

    def subscribe(self, kind, handler):
        """Call ``handler(item)`` for each newer item of a kind received from a peer."""
        self._handlers.setdefault(kind, []).append(handler)

    def records(self):
        """Return the records of all members that are not gone, this entry first."""
        with self._lock:
            return (self._table.own, *self._table.present())

    def add_records(self, records):
        """Add all records of another entry, fetched once after the start."""
        with self._lock:
            self._table.add_records(records)
            self._update_item_owners()

    def merge_vm_list(self, rows):
        """Merge rows of the VM list."""
        with self._lock:
            self._table.merge_vm_list(rows)

    def run(self, stopping):
        """Run rounds until the event ``stopping`` is set."""
        while not stopping.wait(ROUND_MS / 1e3):
            self.round()

    def read_machines(self):
        """Read the VM list; after a failure the previous list stays in use."""
        if self._virtual_machines is None:
            return
        try:
            rows = self._virtual_machines()
        except Exception:
            self._count("vm_list_failures_total")
            return
        self.merge_vm_list(rows)

    def round(self):
        """Run one round: check pending probes, then send new ones."""
        with self._lock:
            self._handle_pause()
            self._round_count += 1
            self._joining = self._joining and self._round_count < MAX_JOIN_ROUNDS
            self._table.expire()
            self._items.expire()
            self._update_item_owners()
            self._check_probes()
            self._send_probes()

    def admit(self, size):
        """Charge a received datagram; return whether it may be processed."""
        with self._lock:
            admitted = self._budget.admit(size)
        if not admitted:
            self._count("peer_messages_dropped_total", cause="over-budget")
        return admitted

    def receive(self, message, source):
        """Process a message.

        :param message: authenticated :class:`GossipMessage`
        :param source: address that the datagram came from
        """
        with self._lock:
            newer = self._merge_content(message)
            self._respond(message, source)
            own_revision = self._table.own.revision
        for item in newer:
            self._deliver(item)
        if message.sender.revision > own_revision and self._on_newer_revision:
            self._notify(message)

    def _merge_content(self, message):
        sender = message.sender
        self._table.merge(sender, direct=True)
        known = self._table.get(sender.incarnation)
        if known is not None:
            self._region_last_heard[known.region] = self._clock.now()
            self._region_failures.pop(known.region, None)
        for record in message.members:
            self._table.merge(record)
        self._update_item_owners()
        received = [self._items.receive(item) for item in message.items]
        return [item for item in received if item is not None]

    def _update_item_owners(self):
        for incarnation in self._table.take_returned():
            self._items.readmit_owner(incarnation)
        for incarnation in self._table.take_removed():
            self._items.end_owner(incarnation)

    def _respond(self, message, source):
        if message.kind == MessageKind.PROBE:
            address = message.sender.peer_address or source
            self._send(
                address,
                kind=MessageKind.REPLY,
                probe=message.probe,
                receiver=message.sender,
                in_reply_to=message,
                full_record=message.wants_profiles,
                reserve=0,
            )
        elif message.kind == MessageKind.REPLY:
            self._handle_reply(message)
        elif message.kind == MessageKind.PROBE_REQUEST:
            self._forward_probe(message, source)

    def _handle_reply(self, message):
        probe = self._probes.get(message.probe)
        if probe is not None:
            del self._probes[message.probe]
            self._advance_cursor(message)
            responder = message.subject or message.sender.incarnation
            if probe.incarnation and responder != probe.incarnation:
                self._table.replace(probe.incarnation)
        forwarded = self._forwarded.pop(message.probe, None)
        if forwarded is not None:
            requester, number, _ = forwarded
            self._send(
                requester,
                kind=MessageKind.REPLY,
                probe=number,
                subject=message.sender.incarnation,
                reserve=0,
                minimal=True,
            )

    def _advance_cursor(self, message):
        if message.subject:
            return
        if message.cursor == "" and not self._table.contact_addresses():
            self._joining = False
        self._cursor = message.cursor

    def _forward_probe(self, message, source):
        now = self._clock.now()
        for number, (_, _, sent) in list(self._forwarded.items()):
            if now - sent > PAUSE_THRESHOLD_MS:
                del self._forwarded[number]
        if len(self._forwarded) >= MAX_FORWARDED_PROBES:
            self._count("peer_messages_dropped_total", cause="forward-limit")
            return
        number = self._new_probe_number()
        requester = message.sender.peer_address or source
        self._forwarded[number] = (requester, message.probe, now)
        self._send(message.target, kind=MessageKind.PROBE, probe=number, minimal=True)

    def _deliver(self, item):
        for handler in self._handlers.get(item.kind, ()):
            try:
                handler(item)
            except Exception:
                self._count("shared_item_handler_failures_total")

    def _notify(self, message):
        for member in self.members():
            if member.incarnation == message.sender.incarnation:
                self._on_newer_revision(
                    message.sender.revision, message.checksum, member
                )

    def _handle_pause(self):
        now = self._clock.now()
        pause = now - self._last_round - ROUND_MS
        self._last_round = now
        if pause > PAUSE_THRESHOLD_MS:
            self._count("gossip_pauses_total")
            self._probes.clear()
            self._forwarded.clear()
            self._region_failures.clear()
            self._table.postpone(pause)

    def _check_probes(self):
        now = self._clock.now()
        for number, probe in list(self._probes.items()):
            if now - probe.sent < ACK_TIMEOUT_MS:
                continue
            if probe.attempts == PROBE_ATTEMPTS or not probe.incarnation:
                del self._probes[number]
                self._table.suspect(probe.incarnation)
                self._count_region_failure(probe)
                continue
            if not self._send(
                probe.address, kind=MessageKind.PROBE, probe=number, minimal=True
            ):
                continue
            probe.attempts += 1
            probe.sent = now
            if probe.attempts < PROBE_ATTEMPTS:
                continue
            for prober in self._indirect_probers(probe):
                self._send(
                    prober,
                    kind=MessageKind.PROBE_REQUEST,
                    probe=number,
                    target=probe.address,
                    minimal=True,
                )

    def _indirect_probers(self, probe):
        candidates = [
            r.peer_address
            for r in self._table.present()
            if r.condition == Condition.ALIVE and r.incarnation != probe.incarnation
        ]
        count = min(INDIRECT_PROBES, len(candidates))
        chosen = self._random.choice(len(candidates), size=count, replace=False)
        return [candidates[int(i)] for i in chosen]

    def _probe(self, address, incarnation, *, minimal=False):
        number = self._new_probe_number()
        sent = self._send(
            address,
            kind=MessageKind.PROBE,
            probe=number,
            receiver=self._table.get(incarnation),
            minimal=minimal,
            full_record=True,
        )
        if sent:
            self._probes[number] = PendingProbe(
                address=address, incarnation=incarnation, sent=self._clock.now()
            )

    def _send_probes(self):
        regular = self._next_target()
        if regular is not None:
            self._probe(regular.peer_address, regular.incarnation)
        contact_addresses = self._table.contact_addresses()
        if contact_addresses and (
            regular is None or self._contact_due(len(contact_addresses))
        ):
            self._probe(self._random_choice(contact_addresses), "", minimal=True)
        if self._round_count % SUSPECT_INTERVAL_ROUNDS == 0:
            suspects = self._table.local_suspects()
            if suspects:
                record = self._random_choice(suspects)
                self._probe(record.peer_address, record.incarnation, minimal=True)

    def _contact_due(self, contact_addresses):
        """Return whether to probe one of the contact addresses in this round.

        The probability keeps the load of a contact address independent of the number
        of entries that probe it; otherwise an entry that comes back would be
        flooded with probes.
        """
        share = min(1.0, contact_addresses / self._table.size)
        every = SUSPECT_INTERVAL_ROUNDS if self._joining else CONTACT_INTERVAL_ROUNDS
        due = self._round_count % every == 0
        return due and self._random.random() < share

    def _next_target(self):
        if self._round_count % 2 == 0:
            remote = self._remote_target()
            if remote is not None:
                return remote
        region = self._table.own.region
        while True:
            while self._probe_order:
                record = self._table.get(self._probe_order.pop())
                if record is not None and record.condition != Condition.GONE:
                    return record
            self._probe_order = [
                r.incarnation for r in self._table.present() if r.region == region
            ]
            if not self._probe_order:
                return self._remote_target()
            self._random.shuffle(self._probe_order)

    def _remote_target(self):
        """Return a relay of another region, or ``None`` if this entry is no relay."""
        own = self._table.own
        if all(record.region == own.region for record in self._table.present()):
            return None
        relays = self._relays()
        others = sorted(set(relays) - {own.region})
        if not others or own.incarnation not in {
            r.incarnation for r in relays[own.region]
        }:
            return None
        region = self._random_choice(others)
        return self._random_choice(relays[region]) if relays[region] else None

    def _relays(self):
        """Return the relays of each region according to the own member table."""
        by_region = {}
        for record in (self._table.own, *self._table.present()):
            by_region.setdefault(record.region, []).append(record)
        return {
            region: sorted(
                records,
                key=lambda r: (
                    r.condition == Condition.ALIVE and not r.leaving,
                    rendezvous_weight(region, r.incarnation),
                ),
            )[-RELAYS_PER_REGION:]
            for region, records in by_region.items()
        }

    def _count_region_failure(self, probe):
        """Suspect all members of a region after consecutive failures of its members."""
        failed = self._table.get(probe.incarnation)
        if failed is None or failed.region == self._table.own.region:
            return
        failures = self._region_failures.get(failed.region, 0) + 1
        self._region_failures[failed.region] = failures
        if failures < REGION_FAILURE_THRESHOLD:
            return
        for record in list(self._table.present()):
            if record.region == failed.region:
                self._table.suspect(record.incarnation)

    def _send(
        self,
        address,
        *,
        kind,
        probe,
        receiver=None,
        in_reply_to=None,
        minimal=False,
        full_record=False,
        target="",
        subject="",
        reserve=REPLY_RESERVE_BYTES,
    ):
        """Compose and send one datagram within the budget.

        :param in_reply_to: the probe message that this reply responds to
        :param minimal: whether to omit all content that the probe does not need
        :param full_record: whether to include the string fields of this entry's record
        :returns: whether it was sent
        """
        own = self._table.own
        outgoing_record = own if full_record else own.compact()
        base = (
            BASE_BYTES + record_bytes(outgoing_record) + packed_bytes(target.encode())
        )
        budget_bytes = self._budget.available() - reserve
        if budget_bytes < base:
            self._count("gossip_sends_deferred_total", kind=kind.value)
            return False
        free_bytes = 0 if minimal else self._datagram_bytes(budget_bytes) - base
        other_region = receiver is not None and receiver.region != own.region
        if not minimal:
            free_bytes = self._enlarge_for_item(
                free_bytes, budget_bytes - base, self._send_limit(other_region)
            )
        members, free_bytes, cursor = self._select_records(
            free_bytes, receiver, other_region, in_reply_to
        )
        items = self._items.select(
            free_bytes=free_bytes,
            send_limit=self._send_limit(other_region),
            size_of=item_bytes,
        )
        message = GossipMessage(
            kind=kind,
            probe=probe,
            sender=outgoing_record,
            checksum=self._checksum,
            wants_profiles=full_record and (self._joining or receiver is None),
            cursor=cursor if in_reply_to else self._cursor,
            target=target,
            subject=subject,
            members=members,
            items=items,
        )
        self._port.send(address, message, admit=self._budget.spend)
        return True

    def _datagram_bytes(self, budget_bytes):
        """Return the size in bytes up to which a datagram is filled.

        Below half of the burst the size shrinks with the remaining budget. Packet
        loss and joins thus delay piggybacked content, but not probes and replies.
        """
        available = self._budget.available()
        half = BURST_BYTES / 2
        wanted = REGULAR_DATAGRAM_BYTES * min(1.0, available / half)
        wanted += SURPLUS_SHARE * max(0.0, available - half)
        return min(MAX_DATAGRAM_BYTES, budget_bytes, wanted)

    def _enlarge_for_item(self, free_bytes, budget_bytes, send_limit):
        """Return the free bytes, increased if the next shared item would not fit.

        Otherwise small records could delay a large item indefinitely. Later datagrams
        are smaller in return.
        """
        self._send_count += 1
        item = (
            None
            if self._records_first
            else self._items.next_item(send_limit=send_limit)
        )
        if item is None:
            return free_bytes
        needed = item_bytes(item) + RECORDS_MIN_BYTES
        fits = needed <= min(
            budget_bytes - REPLY_RESERVE_BYTES, MAX_DATAGRAM_BYTES - 300
        )
        return max(free_bytes, needed) if fits else free_bytes

    @property
    def _records_first(self):
        """Whether records, not shared items, get most of the space."""
        return self._send_count % 2 == 1

    def _select_records(self, free_bytes, receiver, other_region, in_reply_to):
        """Select records: the receiver's if not alive, then updates, then full records.

        Records and shared items alternate in getting most of the space.

        :returns: records, free bytes left, and the cursor of a reply
        """
        chosen = {}
        spent = 0
        limit = (
            free_bytes
            if self._records_first
            else min(free_bytes / 4, RECORDS_MIN_BYTES)
        )
        if receiver is not None:
            # Always included, since only the receiver can refute it.
            known = self._table.get(receiver.incarnation)
            if known is not None and known.condition != Condition.ALIVE:
                chosen[known.incarnation] = known.compact()
                spent += record_bytes(chosen[known.incarnation])
        full_records_limit = limit
        if (
            in_reply_to is not None
            and in_reply_to.wants_profiles
            and self._records_first
        ):
            limit, full_records_limit = free_bytes / 4, free_bytes
        for tracked in self._table.pending_updates(
            other_region=other_region, limit=self._send_limit(other_region)
        ):
            record = self._table.outgoing_record(tracked)
            size = record_bytes(record)
            if spent + size > limit:
                break
            spent += size
            chosen[record.incarnation] = record
            if other_region:
                tracked.other_region_sends += 1
            else:
                tracked.region_sends += 1
        cursor = ""
        if in_reply_to is not None:
            spent, cursor = self._add_table_records(
                chosen, spent, full_records_limit, in_reply_to
            )
        return tuple(chosen.values()), max(0, free_bytes - spent), cursor

    def _add_table_records(self, chosen, spent, limit, in_reply_to):
        """Add the records after the prober's cursor, in order of incarnation.

        All entries hold nearly the same table, so the prober can read it in pieces
        from different entries without duplicates.
        """
        cursor = in_reply_to.cursor
        count = JOIN_FULL_RECORDS_PER_REPLY if in_reply_to.wants_profiles else 1
        for record in self._table.after(cursor):
            incarnation = record.incarnation
            if count == 0 or spent + record_bytes(record) > limit:
                return spent, cursor
            if incarnation != in_reply_to.sender.incarnation:
                spent += record_bytes(record)
                count -= 1
                chosen[incarnation] = record
            cursor = incarnation
        return spent, ""

    def _send_limit(self, other_region):
        if other_region:
            return RETRANSMISSION_FACTOR * max(1, len(self._region_last_heard))
        return RETRANSMISSION_FACTOR * math.ceil(math.log2(self._table.size + 1))

    def _new_probe_number(self):
        return int(self._random.integers(1, 2**32))

    def _random_choice(self, sequence):
        return sequence[int(self._random.integers(len(sequence)))]

    def _count(self, name, **labels):
        if self._metrics is not None:
            self._metrics.count(name, **labels)
