"""Member table: suspicion, refutation, removal and the VM list.

A process is identified by its incarnation, never by its name. Its owner alone
raises its generation, so records of one incarnation are ordered without clocks:
the higher generation wins, and within a generation gone over suspect over alive.
"""

import dataclasses
import enum

from sortedcontainers import SortedList

from monsoonline.ports import Member

__all__ = ["Condition", "MemberRecord", "MembershipTable"]

# Time for a refutation to arrive. Suspected members are off the callers' lists
# already, so a long value costs little and avoids removals under packet loss.
SUSPECT_MS = 6000.0
# A gone incarnation is remembered and tried again for this long.
FORGET_MS = 60_000.0
# Records are sent with all texts while a member is this young, compact after.
PROFILE_MS = 10_000.0
MAX_MEMBERS = 2048
# Additional sends of a statement after an older one was received.
CORRECTION_SENDS = 2
# A number of sends above every limit of :meth:`MembershipTable.rumors`.
SPREAD_DONE = 1_000_000


class Condition(enum.IntEnum):
    """What is known of a member's process, in order of precedence."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """One statement about a member, as it travels between entries.

    :param incarnation: 64 random bits in hexadecimal
    :param generation: raised by the member itself for each change and refutation
    :param condition: alive, suspect or gone
    :param ready: whether callers may be sent there
    :param leaving: whether it has announced its stop
    :param revision: table revision in effect there
    :param name: name of the entry, empty in a compact record, as the texts below
    :param address: ``host:port`` for callers
    :param peer_address: ``host:port`` for peers
    :param failure_domain: where it runs
    :param region: region of the failure domain
    """

    incarnation: str
    generation: int = 0
    condition: Condition = Condition.ALIVE
    ready: bool = False
    leaving: bool = False
    revision: int = 0
    name: str = ""
    address: str = ""
    peer_address: str = ""
    failure_domain: str = ""
    region: str = ""

    @property
    def order(self):
        """Sort key of statements about one incarnation; the highest is valid."""
        return (self.generation, self.condition)

    def compact(self):
        """Return the record without its texts."""
        return dataclasses.replace(
            self, name="", address="", peer_address="", failure_domain="", region=""
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """A record with local bookkeeping.

    :param record: the valid statement, with texts
    :param since: local instant in ms of the last change of condition
    :param first_known: local instant in ms
    :param sends_inside: times it was sent inside the region since it changed
    :param sends_between: times it was sent to other regions since it changed
    :param listed: whether the VM list has shown its address
    :param suspected_here: whether the suspicion is this entry's own observation
    :param superseded: whether its name is proven to belong to a later process
    """

    record: MemberRecord
    since: float
    first_known: float
    sends_inside: int = 0
    sends_between: int = 0
    listed: bool = False
    suspected_here: bool = False
    superseded: bool = False


class MembershipTable:
    """Members as one entry knows them. Not safe under threads.

    :param clock: source of time
    :param own: record of this entry
    :param metrics: counters, optional
    """

    def __init__(self, *, clock, own, metrics=None):
        self._clock = clock
        self._own = own
        self._metrics = metrics
        self._entries = {}
        self._order = SortedList()
        self._index = {}
        self._gone = 0
        self._own_entry = self._entry_of(own)
        self._machines = {}
        self._leaving_machines = frozenset()
        self._removed = []
        self._returned = []

    @property
    def own(self):
        """Record of this entry."""
        return self._own

    @property
    def size(self):
        """Number of members that are not gone, this entry included."""
        return 1 + len(self._entries) - self._gone

    def present(self):
        """Yield the records of other members that are not gone."""
        for entry in self._entries.values():
            if entry.record.condition != Condition.GONE:
                yield entry.record

    def after(self, cursor):
        """Yield the records after an incarnation, in that order, gone ones compact."""
        for incarnation in self._order.irange(cursor, inclusive=(False, True)):
            record = self._entries[incarnation].record
            gone = record.condition == Condition.GONE
            yield record.compact() if gone else record

    def get(self, incarnation):
        """Return the record of an incarnation, or ``None``."""
        if incarnation == self._own.incarnation:
            return self._own
        entry = self._entries.get(incarnation)
        return entry.record if entry else None

    def set_own(self, *, ready=None, leaving=None, revision=None, address=None):
        """Change this entry's own record; ``None`` leaves a field unchanged."""
        record = dataclasses.replace(
            self._own,
            ready=self._own.ready if ready is None else ready,
            leaving=self._own.leaving or bool(leaving),
            revision=max(self._own.revision, revision or 0),
            address=address or self._own.address,
        )
        announced = (record.ready, record.leaving, record.address)
        if announced != (self._own.ready, self._own.leaving, self._own.address):
            record = dataclasses.replace(record, generation=record.generation + 1)
        if record != self._own:
            self._replace_own(record)

    def merge(self, record, *, direct=False):
        """Apply a statement about a member.

        :param record: the statement
        :param direct: whether the member itself sent it just now
        :returns: whether anything changed
        """
        if record.incarnation == self._own.incarnation:
            return self._refute(record)
        entry = self._entries.get(record.incarnation)
        if entry is None:
            return self._add(record, direct=direct)
        if entry.superseded:
            return False
        if record.order > entry.record.order:
            self._apply(entry, record)
            if direct:
                self._supersede(entry.record)
            return True
        return self._refresh(entry, record, direct=direct)

    def learn(self, records):
        """Add members from another entry's table without announcing them again."""
        for record in records:
            known = record.incarnation in self._entries
            if self.merge(record) and not known and record.incarnation in self._entries:
                entry = self._entries[record.incarnation]
                entry.sends_inside = entry.sends_between = SPREAD_DONE

    def suspect(self, incarnation):
        """Suspect a member that did not reply; no effect unless it is alive."""
        entry = self._entries.get(incarnation)
        if entry is None or entry.record.condition != Condition.ALIVE:
            return
        self._count("member_suspicions_total")
        self._apply(
            entry, dataclasses.replace(entry.record, condition=Condition.SUSPECT)
        )
        entry.suspected_here = True

    def own_suspects(self):
        """Return the suspected members that this entry itself found silent."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.suspected_here and entry.record.condition == Condition.SUSPECT
        ]

    def replace(self, incarnation):
        """Remove a process for good: another one answers at its address."""
        entry = self._entries.get(incarnation)
        if entry is not None and not entry.superseded:
            self._count("member_replacements_total")
            gone = dataclasses.replace(entry.record, condition=Condition.GONE)
            self._apply(entry, gone)
            entry.superseded = True

    def expire(self):
        """Declare silent suspects gone and forget what was gone for long."""
        now = self._clock.now()
        for entry in list(self._entries.values()):
            condition = entry.record.condition
            if condition == Condition.SUSPECT and now - entry.since >= SUSPECT_MS:
                gone = dataclasses.replace(entry.record, condition=Condition.GONE)
                self._apply(entry, gone)
            elif condition == Condition.GONE and now - entry.since >= FORGET_MS:
                self._forget(entry.record)

    def postpone(self, pause_ms):
        """Move timers after this process itself was paused for ``pause_ms``."""
        for entry in self._entries.values():
            entry.since += pause_ms

    def use_machines(self, rows):
        """Merge the VM list.

        :param rows: :class:`monsoonline.ports.VirtualMachine` rows
        """
        rows = [r for r in rows if r.role == "entry" and r.peer_address]
        self._machines = {row.peer_address: row.name for row in rows}
        self._leaving_machines = frozenset(r.peer_address for r in rows if r.leaving)
        for entry in self._entries.values():
            entry.listed = entry.listed or entry.record.peer_address in self._machines
        for record in list(self.present()):
            self._supersede(record, listed_only=True)

    def contacts(self):
        """Return peer addresses worth trying that no present member has."""
        present = {record.peer_address for record in self.present()}
        present.add(self._own.peer_address)
        known = set(self._machines)
        known.update(
            e.record.peer_address for e in self._entries.values() if not e.superseded
        )
        return sorted(known - present - {""})

    def take_removed(self):
        """Return incarnations declared gone since the last call."""
        removed, self._removed = self._removed, []
        return removed

    def take_returned(self):
        """Return incarnations that appeared or came back since the last call."""
        returned, self._returned = self._returned, []
        return returned

    def members(self):
        """Return all known members, this entry first."""
        now_known = [self._own, *(e.record for e in self._entries.values())]
        return tuple(self._member(record) for record in now_known)

    def rumors(self, *, between, limit):
        """Return the entries to spread, least sent first.

        :param between: whether the message goes to another region
        :param limit: number of sends after which an entry is spread enough
        """
        entries = [self._own_entry, *self._entries.values()]
        if between:
            active = [e for e in entries if e.sends_between < limit]
            return sorted(active, key=lambda e: e.sends_between)
        active = [e for e in entries if e.sends_inside < limit]
        return sorted(active, key=lambda e: e.sends_inside)

    def spoken(self, entry):
        """Return the record to send for an entry, compact when long known."""
        if self._clock.now() - entry.first_known < PROFILE_MS:
            return entry.record
        return entry.record.compact()

    def _member(self, record):
        state = record.condition.name.lower()
        announced = record.leaving or record.peer_address in self._leaving_machines
        if record.condition == Condition.ALIVE and announced:
            state = "leaving"
        return Member(
            name=record.name,
            incarnation=record.incarnation,
            address=record.address,
            peer_address=record.peer_address,
            failure_domain=record.failure_domain,
            state=state,
            ready=record.ready,
            revision=record.revision,
        )

    def _entry_of(self, record):
        now = self._clock.now()
        return Entry(record=record, since=now, first_known=now)

    def _replace_own(self, record):
        self._own = record
        self._own_entry.record = record
        self._own_entry.sends_inside = 0
        self._own_entry.sends_between = 0

    def _refute(self, record):
        """Raise the own generation above a statement that this entry is failing."""
        stale = record.generation > self._own.generation
        if record.condition == Condition.ALIVE and not stale:
            return False
        if record.generation < self._own.generation:
            return False
        self._count("member_refutations_total")
        self._replace_own(
            dataclasses.replace(self._own, generation=record.generation + 1)
        )
        return True

    def _add(self, record, *, direct):
        if not record.name or record.peer_address == "":
            return False
        if record.condition == Condition.GONE or len(self._entries) >= MAX_MEMBERS:
            return False
        self._entries[record.incarnation] = self._entry_of(record)
        self._order.add(record.incarnation)
        self._index_texts(record)
        self._returned.append(record.incarnation)
        self._count("member_joins_total")
        if direct:
            self._supersede(record)
        else:
            self._supersede(record, listed_only=True)
        return True

    def _forget(self, record):
        del self._entries[record.incarnation]
        self._order.remove(record.incarnation)
        self._gone -= 1
        for text in (record.name, record.peer_address):
            self._index[text].discard(record.incarnation)
            if not self._index[text]:
                del self._index[text]

    def _index_texts(self, record):
        for text in (record.name, record.peer_address):
            self._index.setdefault(text, set()).add(record.incarnation)

    def _apply(self, entry, record):
        known = entry.record
        # A process keeps its name and peer address for life; only the callers'
        # address may become known later.
        record = dataclasses.replace(
            record,
            name=known.name,
            address=record.address or known.address,
            peer_address=known.peer_address,
            failure_domain=known.failure_domain,
            region=known.region,
            leaving=record.leaving or known.leaving,
            revision=max(record.revision, known.revision),
        )
        if record.condition != known.condition:
            entry.since = self._clock.now()
            entry.suspected_here = False
            if record.condition == Condition.GONE:
                self._removed.append(record.incarnation)
                self._gone += 1
            elif known.condition == Condition.GONE:
                self._returned.append(record.incarnation)
                self._gone -= 1
        entry.record = record
        entry.sends_inside = 0
        entry.sends_between = 0

    def _refresh(self, entry, record, *, direct):
        """Take a newer table revision; it grows only, so it needs no ordering.

        An older statement shows that its sender missed the valid one, which is then
        spread a little further; without that a missed removal stays in another region.
        """
        if record.order < entry.record.order:
            entry.sends_inside = max(0, entry.sends_inside - CORRECTION_SENDS)
            entry.sends_between = max(0, entry.sends_between - CORRECTION_SENDS)
        if record.revision > entry.record.revision:
            entry.record = dataclasses.replace(entry.record, revision=record.revision)
        if direct:
            self._supersede(entry.record)
        return False

    def _supersede(self, record, *, listed_only=False):
        """Remove processes that ``record`` has replaced.

        The address proves it when the later process answers there, since two
        processes cannot own one port. The VM list proves it when it gives the name
        to the later process's address only.
        """
        if record.condition != Condition.ALIVE:
            return
        listed = self._machines.get(record.peer_address) == record.name
        related = self._index.get(record.name, set())
        related = related | self._index.get(record.peer_address, set())
        for incarnation in related:
            entry = self._entries[incarnation]
            other = entry.record
            if other.incarnation == record.incarnation or entry.superseded:
                continue
            same_address = other.peer_address == record.peer_address
            renamed = (
                listed
                and other.name == record.name
                and entry.listed
                and other.peer_address not in self._machines
            )
            if (same_address and not listed_only) or renamed:
                self.replace(other.incarnation)

    def _count(self, name):
        if self._metrics is not None:
            self._metrics.count(name)
