"""Gossip between entries: probes that carry member states and shared items.

Every round an entry probes one member of its region in shuffled round-robin order.
The probed member replies, and both datagrams carry what is new. A member that does
not reply is probed again directly and through two others before it is suspected.
Relays, chosen per region by rendezvous hash, also probe relays of other regions.
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

# One probe and its reply sent, and on average one probe received and answered, make
# 8 datagrams/s at a period of 500 ms: 3800 B/s allow 475 B for each on average.
ROUND_MS = 500.0
ACK_TIMEOUT_MS = 400.0
# A probe, one repetition, and a last one beside which others are asked to probe.
# Asking at the second attempt would cost 1.3 KB/s at 10 % loss, at the third 0.2.
PROBE_ATTEMPTS = 3
INDIRECT_PROBES = 2
MAX_DATAGRAM_BYTES = 1200
# Regular size: 8 x (380 + 28) B/s leave a seventh of the budget to indirect probes.
REGULAR_DATAGRAM_BYTES = 380
# Room for records in a datagram in which shared items have their turn.
FEW_RECORDS_BYTES = 80
# A datagram may be larger by this share of what is saved beyond half of the burst,
# which carries large items and the many records that a new entry needs.
SAVED_SHARE = 0.4
# Part of the budget that only replies may use, so that an entry that is short of
# bytes delays its probes and still proves that it lives.
REPLY_RESERVE_BYTES = 500
CONTACT_EVERY_ROUNDS = 4
SUSPECT_EVERY_ROUNDS = 2
RELAYS_PER_REGION = 6
# A region is suspected after this many members of it in turn did not reply, and
# nothing else was heard from it. Silence alone is no proof: a relay hears from one
# of six other regions every 3.6 s on average, and 10 s of silence are common.
REGION_FAILURES = 3
# A round that starts this late means that the process was paused.
PAUSE_MS = 2000.0
# An announced change is sent this many times the logarithm of the membership.
SPREAD_FACTOR = 3
MAX_FORWARDED_PROBES = 64
# Profiles in a reply to an entry that has not seen the whole table yet.
JOIN_PROFILES = 10
# A listed VM that never responds must not make an entry ask for ever.
JOIN_ROUNDS = 120
# Upper bounds of the packed encoding; a test compares them with the codec.
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
    """Content of one datagram.

    :param kind: probe, reply, or request to probe a third member
    :param probe: number that a reply repeats
    :param sender: record of the sender
    :param checksum: checksum of the sender's tables in effect
    :param wants_profiles: whether the sender lacks the receiver's record or others
    :param cursor: incarnation after which a probe's sender wants more profiles, and
        in a reply the last one that it got, empty at the end of the table
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
    """What the gossip needs of the network."""

    def send(self, address, message, *, admit):
        """Send a message to a peer address.

        :param admit: function from the datagram's size in bytes to whether it may
            be sent
        """
        raise NotImplementedError


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """A probe without reply.

    :param address: probed peer address
    :param incarnation: probed member, empty for an address from the VM list
    :param sent: local instant in ms of the last attempt
    :param attempts: number of attempts, the first included
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
    """Return an upper bound of the packed size: one tag byte per 8 bytes."""
    return len(content) + len(content) // 8 + 2


@functools.lru_cache(maxsize=4096)
def rendezvous_weight(region, incarnation):
    """Return the weight of a member as relay of a region; the highest is chosen."""
    text = f"{region}/{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class Gossip:
    """The gossip of one entry. Safe under threads.

    :param clock: source of time
    :param own: :class:`monsoonline.core.membership.MemberRecord` of this entry
    :param port: :class:`DatagramPort`
    :param random: numpy random generator
    :param metrics: counters, optional
    :param virtual_machines: function that returns VM list rows, optional
    :param on_newer_revision: ``f(revision, checksum, member)``, called for each
        message from a member whose tables are newer than this entry's
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
        self._order = []
        self._cursor = ""
        self._joining = True
        self._sends = 0
        self._rounds = 0
        self._last_round = clock.now()
        self._region_heard = {}
        self._region_failures = {}

    @property
    def budget(self):
        """Byte budget with its counters."""
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
        """Change the own readiness, leaving state, revision or callers' address."""
        with self._lock:
            self._table.set_own(**changes)
            if checksum is not None:
                self._checksum = checksum

    def publish(self, kind, key, payload):
        """Spread a shared item; see :meth:`SharedItemStore.publish`."""
        with self._lock:
            return self._items.publish(kind, key, payload)

    def subscribe(self, kind, handler):
        """Call ``handler(item)`` for each newer item of a kind from a peer."""
        self._handlers.setdefault(kind, []).append(handler)

    def records(self):
        """Return the records of all members that are not gone, this entry first."""
        with self._lock:
            return (self._table.own, *self._table.present())

    def learn(self, records):
        """Take the whole table of another entry, fetched once after the start."""
        with self._lock:
            self._table.learn(records)
            self._follow_owners()

    def use_machines(self, rows):
        """Merge rows of the VM list."""
        with self._lock:
            self._table.use_machines(rows)

    def run(self, stopping):
        """Run rounds until the event ``stopping`` is set."""
        while not stopping.wait(ROUND_MS / 1e3):
            self.round()

    def read_machines(self):
        """Read the VM list; a failure keeps the last list in use."""
        if self._virtual_machines is None:
            return
        try:
            rows = self._virtual_machines()
        except Exception:
            self._count("vm_list_failures_total")
            return
        self.use_machines(rows)

    def round(self):
        """Do one round: check old probes, then send new ones."""
        with self._lock:
            self._notice_pause()
            self._rounds += 1
            self._joining = self._joining and self._rounds < JOIN_ROUNDS
            self._table.expire()
            self._items.expire()
            self._follow_owners()
            self._check_probes()
            self._send_probes()

    def admit(self, size):
        """Count a received datagram; return whether it may be processed."""
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
            newer = self._learn(message)
            self._answer(message, source)
            own_revision = self._table.own.revision
        for item in newer:
            self._deliver(item)
        if message.sender.revision > own_revision and self._on_newer_revision:
            self._notify(message)

    def _learn(self, message):
        sender = message.sender
        self._table.merge(sender, direct=True)
        known = self._table.get(sender.incarnation)
        if known is not None:
            self._region_heard[known.region] = self._clock.now()
            self._region_failures.pop(known.region, None)
        for record in message.members:
            self._table.merge(record)
        self._follow_owners()
        received = [self._items.receive(item) for item in message.items]
        return [item for item in received if item is not None]

    def _follow_owners(self):
        for incarnation in self._table.take_returned():
            self._items.readmit_owner(incarnation)
        for incarnation in self._table.take_removed():
            self._items.end_owner(incarnation)

    def _answer(self, message, source):
        if message.kind == MessageKind.PROBE:
            address = message.sender.peer_address or source
            self._send(
                address,
                kind=MessageKind.REPLY,
                probe=message.probe,
                receiver=message.sender,
                answered=message,
                profile=message.wants_profiles,
                reserve=0,
            )
        elif message.kind == MessageKind.REPLY:
            self._take_reply(message)
        elif message.kind == MessageKind.PROBE_REQUEST:
            self._forward(message, source)

    def _take_reply(self, message):
        probe = self._probes.get(message.probe)
        if probe is not None:
            del self._probes[message.probe]
            self._advance_cursor(message)
            answered_by = message.subject or message.sender.incarnation
            if probe.incarnation and answered_by != probe.incarnation:
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
                bare=True,
            )

    def _advance_cursor(self, message):
        if message.subject:
            return
        if message.cursor == "" and not self._table.contacts():
            self._joining = False
        self._cursor = message.cursor

    def _forward(self, message, source):
        now = self._clock.now()
        for number, (_, _, sent) in list(self._forwarded.items()):
            if now - sent > PAUSE_MS:
                del self._forwarded[number]
        if len(self._forwarded) >= MAX_FORWARDED_PROBES:
            self._count("peer_messages_dropped_total", cause="forward-limit")
            return
        number = self._number()
        requester = message.sender.peer_address or source
        self._forwarded[number] = (requester, message.probe, now)
        self._send(message.target, kind=MessageKind.PROBE, probe=number, bare=True)

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

    def _notice_pause(self):
        now = self._clock.now()
        pause = now - self._last_round - ROUND_MS
        self._last_round = now
        if pause > PAUSE_MS:
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
                probe.address, kind=MessageKind.PROBE, probe=number, bare=True
            ):
                continue
            probe.attempts += 1
            probe.sent = now
            if probe.attempts < PROBE_ATTEMPTS:
                continue
            for helper in self._helpers(probe):
                self._send(
                    helper,
                    kind=MessageKind.PROBE_REQUEST,
                    probe=number,
                    target=probe.address,
                    bare=True,
                )

    def _helpers(self, probe):
        candidates = [
            r.peer_address
            for r in self._table.present()
            if r.condition == Condition.ALIVE and r.incarnation != probe.incarnation
        ]
        count = min(INDIRECT_PROBES, len(candidates))
        chosen = self._random.choice(len(candidates), size=count, replace=False)
        return [candidates[int(i)] for i in chosen]

    def _probe(self, address, incarnation, *, bare=False):
        number = self._number()
        sent = self._send(
            address,
            kind=MessageKind.PROBE,
            probe=number,
            receiver=self._table.get(incarnation),
            bare=bare,
            profile=True,
        )
        if sent:
            self._probes[number] = Probe(
                address=address, incarnation=incarnation, sent=self._clock.now()
            )

    def _send_probes(self):
        regular = self._regular_target()
        if regular is not None:
            self._probe(regular.peer_address, regular.incarnation)
        contacts = self._table.contacts()
        if contacts and (regular is None or self._contact_due(len(contacts))):
            self._probe(self._pick(contacts), "", bare=True)
        if self._rounds % SUSPECT_EVERY_ROUNDS == 0:
            suspects = self._table.own_suspects()
            if suspects:
                record = self._pick(suspects)
                self._probe(record.peer_address, record.incarnation, bare=True)

    def _contact_due(self, contacts):
        """Return whether to try an address of the VM list in this round.

        The share keeps the load of one such address independent of the number of
        entries that try it; without it a returning entry is flooded.
        """
        share = min(1.0, contacts / self._table.size)
        every = SUSPECT_EVERY_ROUNDS if self._joining else CONTACT_EVERY_ROUNDS
        due = self._rounds % every == 0
        return due and self._random.random() < share

    def _regular_target(self):
        if self._rounds % 2 == 0:
            remote = self._remote_target()
            if remote is not None:
                return remote
        region = self._table.own.region
        while True:
            while self._order:
                record = self._table.get(self._order.pop())
                if record is not None and record.condition != Condition.GONE:
                    return record
            self._order = [
                r.incarnation for r in self._table.present() if r.region == region
            ]
            if not self._order:
                return self._remote_target()
            self._random.shuffle(self._order)

    def _remote_target(self):
        """Return a relay of another region when this entry is a relay itself."""
        own = self._table.own
        if all(record.region == own.region for record in self._table.present()):
            return None
        relays = self._relays()
        others = sorted(set(relays) - {own.region})
        if not others or own.incarnation not in {
            r.incarnation for r in relays[own.region]
        }:
            return None
        region = self._pick(others)
        return self._pick(relays[region]) if relays[region] else None

    def _relays(self):
        """Return the relays of each region as this entry sees them."""
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
        """Suspect all members of a region when several of them fail in turn."""
        failed = self._table.get(probe.incarnation)
        if failed is None or failed.region == self._table.own.region:
            return
        failures = self._region_failures.get(failed.region, 0) + 1
        self._region_failures[failed.region] = failures
        if failures < REGION_FAILURES:
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
        answered=None,
        bare=False,
        profile=False,
        target="",
        subject="",
        reserve=REPLY_RESERVE_BYTES,
    ):
        """Fill and send one datagram within the budget.

        :param answered: the probe that this reply answers
        :param bare: whether to leave out all that the probe does not need
        :param profile: whether to send the texts of the own record
        :returns: whether it was sent
        """
        own = self._table.own
        spoken = own if profile else own.compact()
        base = BASE_BYTES + record_bytes(spoken) + packed_bytes(target.encode())
        spare = self._budget.available() - reserve
        if spare < base:
            self._count("gossip_sends_deferred_total", kind=kind.value)
            return False
        room = 0 if bare else self._datagram_bytes(spare) - base
        between = receiver is not None and receiver.region != own.region
        if not bare:
            room = self._widen(room, spare - base, self._spread_limit(between))
        members, room, cursor = self._choose_members(room, receiver, between, answered)
        items = self._items.select(
            room=room, send_limit=self._spread_limit(between), size_of=item_bytes
        )
        message = GossipMessage(
            kind=kind,
            probe=probe,
            sender=spoken,
            checksum=self._checksum,
            wants_profiles=profile and (self._joining or receiver is None),
            cursor=cursor if answered else self._cursor,
            target=target,
            subject=subject,
            members=members,
            items=items,
        )
        self._port.send(address, message, admit=self._budget.spend)
        return True

    def _datagram_bytes(self, spare):
        """Return the size up to which a datagram is filled.

        Below half of the burst the size shrinks with what is left. So packet loss
        and joins cost content, which travels later, and never probes and replies.
        """
        available = self._budget.available()
        half = BURST_BYTES / 2
        wanted = REGULAR_DATAGRAM_BYTES * min(1.0, available / half)
        wanted += SAVED_SHARE * max(0.0, available - half)
        return min(MAX_DATAGRAM_BYTES, spare, wanted)

    def _widen(self, room, spare, send_limit):
        """Return the room, larger when the next shared item does not fit otherwise.

        Later datagrams shrink in return, so that a large item is not held back for
        ever by small records.
        """
        self._sends += 1
        item = (
            None if self._records_turn else self._items.next_item(send_limit=send_limit)
        )
        if item is None:
            return room
        needed = item_bytes(item) + FEW_RECORDS_BYTES
        fits = needed <= min(spare - REPLY_RESERVE_BYTES, MAX_DATAGRAM_BYTES - 300)
        return max(room, needed) if fits else room

    @property
    def _records_turn(self):
        """Whether records have most of the room, otherwise shared items."""
        return self._sends % 2 == 1

    def _choose_members(self, room, receiver, between, answered):
        """Choose records: the receiver's if doubted, what changed, then profiles.

        Records and shared items take turns in having most of the room.

        :returns: records, room that is left, and the cursor of a reply
        """
        chosen = {}
        spent = 0
        limit = room if self._records_turn else min(room / 4, FEW_RECORDS_BYTES)
        if receiver is not None:
            # It goes out in every case, since only the receiver can refute it.
            known = self._table.get(receiver.incarnation)
            if known is not None and known.condition != Condition.ALIVE:
                chosen[known.incarnation] = known.compact()
                spent += record_bytes(chosen[known.incarnation])
        profiles_limit = limit
        if answered is not None and answered.wants_profiles and self._records_turn:
            limit, profiles_limit = room / 4, room
        for entry in self._table.rumors(
            between=between, limit=self._spread_limit(between)
        ):
            record = self._table.spoken(entry)
            size = record_bytes(record)
            if spent + size > limit:
                break
            spent += size
            chosen[record.incarnation] = record
            if between:
                entry.sends_between += 1
            else:
                entry.sends_inside += 1
        cursor = ""
        if answered is not None:
            spent, cursor = self._add_profiles(chosen, spent, profiles_limit, answered)
        return tuple(chosen.values()), max(0, room - spent), cursor

    def _add_profiles(self, chosen, spent, limit, answered):
        """Add the records after the prober's cursor, in order of incarnation.

        All entries hold about the same table, so that the prober gets all of it from
        different entries without repetition.
        """
        cursor = answered.cursor
        count = JOIN_PROFILES if answered.wants_profiles else 1
        for record in self._table.after(cursor):
            incarnation = record.incarnation
            if count == 0 or spent + record_bytes(record) > limit:
                return spent, cursor
            if incarnation != answered.sender.incarnation:
                spent += record_bytes(record)
                count -= 1
                chosen[incarnation] = record
            cursor = incarnation
        return spent, ""

    def _spread_limit(self, between):
        if between:
            return SPREAD_FACTOR * max(1, len(self._region_heard))
        return SPREAD_FACTOR * math.ceil(math.log2(self._table.size + 1))

    def _number(self):
        return int(self._random.integers(1, 2**32))

    def _pick(self, sequence):
        return sequence[int(self._random.integers(len(sequence)))]

    def _count(self, name, **labels):
        if self._metrics is not None:
            self._metrics.count(name, **labels)
