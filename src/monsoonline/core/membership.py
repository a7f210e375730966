"""Member table: suspicion, refutation, removal and the VM list.

A process is identified by its incarnation, never by its name. Only the process itself
increments its generation, so records of one incarnation are ordered without clocks:
the higher generation takes precedence, and within a generation gone takes precedence
over suspect and suspect over alive.
"""

import dataclasses
import enum

from sortedcontainers import SortedList

from monsoonline.ports import Member

__all__ = ["Condition", "MemberRecord", "MembershipTable"]

# Time in which a refutation may arrive. Callers are no longer sent to suspected
# members, so a long timeout costs little and avoids removals under packet loss.
SUSPICION_TIMEOUT_MS = 6000.0
# Gone incarnations are kept and their addresses probed for this long.
GONE_RETENTION_MS = 60_000.0
# Records are sent with all string fields until a member has been known for this long,
# and compact afterwards.
FULL_RECORD_SEND_MS = 10_000.0
MAX_MEMBERS = 2048
# Additional sends of a record after an older one was received.
CORRECTION_SENDS = 2
# Send count of a record that is not to be sent any more; it exceeds any limit passed to
# :meth:`MembershipTable.pending_updates`.
SENDS_EXHAUSTED = 1_000_000


class Condition(enum.IntEnum):
    """Liveness of a member's process, in increasing precedence."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """State of a member as it is exchanged between entries.

    :param incarnation: 64 random bits in hexadecimal
    :param generation: incremented by the member itself at each change and refutation
    :param condition: alive, suspect or gone
    :param ready: whether callers may be sent to it
    :param leaving: whether it has announced its stop
    :param revision: revision of the tables in effect at the member
    :param name: name of the entry; empty in a compact record, like all fields below
    :param address: ``host:port`` for callers
    :param peer_address: ``host:port`` for peers
    :param failure_domain: failure domain in which it runs
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
        """Sort key of records of one incarnation; the highest one is valid."""
        return (self.generation, self.condition)

    def compact(self):
        """Return the record without its string fields other than the incarnation."""
        return dataclasses.replace(
            self, name="", address="", peer_address="", failure_domain="", region=""
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedMember:
    """A member's record with local state.

    :param record: the valid record, with string fields
    :param since: local time in ms of the last change of condition
    :param first_known: local time in ms at which the member was added
    :param region_sends: number of sends within the region since the last change
    :param other_region_sends: number of sends to other regions since the last change
    :param listed: whether its address has been in the VM list
    :param suspected_locally: whether this entry itself raised the suspicion
    :param superseded: whether a later process is proven to have replaced it
    """

    record: MemberRecord
    since: float
    first_known: float
    region_sends: int = 0
    other_region_sends: int = 0
    listed: bool = False
    suspected_locally: bool = False
    superseded: bool = False


class MembershipTable:
    """Members known to one entry. Not thread-safe.

    :param clock: source of time
    :param own: record of this entry
    :param metrics: counters, optional
    """

    def __init__(self, *, clock, own, metrics=None):
        self._clock = clock
        self._own = own
        self._metrics = metrics
        self._tracked = {}
        self._sorted_incarnations = SortedList()
        self._index = {}
        self._gone = 0
        self._own_tracked = self._track(own)
        self._listed_names = {}
        self._leaving_addresses = frozenset()
        self._removed = []
        self._returned = []

    @property
    def own(self):
        """Record of this entry."""
        return self._own

    @property
    def size(self):
        """Number of members that are not gone, this entry included."""
        return 1 + len(self._tracked) - self._gone

    def present(self):
        """Yield the records of other members that are not gone."""
        for tracked in self._tracked.values():
            if tracked.record.condition != Condition.GONE:
                yield tracked.record

    def after(self, cursor):
        """Yield records sorted by incarnation after ``cursor``, gone ones compact."""
        for incarnation in self._sorted_incarnations.irange(
            cursor, inclusive=(False, True)
        ):
            record = self._tracked[incarnation].record
            gone = record.condition == Condition.GONE
            yield record.compact() if gone else record

    def get(self, incarnation):
        """Return the record of an incarnation, or ``None``."""
        if incarnation == self._own.incarnation:
            return self._own
        tracked = self._tracked.get(incarnation)
        return tracked.record if tracked else None

    def set_own(self, *, ready=None, leaving=None, revision=None, address=None):
        """Update the record of this entry; ``None`` leaves a field unchanged."""
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
        """Merge a received record into the table.

        :param record: :class:`MemberRecord`
        :param direct: whether the member itself has just sent it
        :returns: whether anything changed
        """
        if record.incarnation == self._own.incarnation:
            return self._refute(record)
        tracked = self._tracked.get(record.incarnation)
        if tracked is None:
            return self._add(record, direct=direct)
        if tracked.superseded:
            return False
        if record.order > tracked.record.order:
            self._apply(tracked, record)
            if direct:
                self._remove_superseded(tracked.record)
            return True
        return self._merge_not_newer(tracked, record, direct=direct)

    def add_records(self, records):
        """Add members from another entry's table without sending them on."""
        for record in records:
            known = record.incarnation in self._tracked
            if self.merge(record) and not known and record.incarnation in self._tracked:
                tracked = self._tracked[record.incarnation]
                tracked.region_sends = tracked.other_region_sends = SENDS_EXHAUSTED

    def suspect(self, incarnation):
        """Mark a member that did not reply as suspect if it is alive."""
        tracked = self._tracked.get(incarnation)
        if tracked is None or tracked.record.condition != Condition.ALIVE:
            return
        self._count("member_suspicions_total")
        self._apply(
            tracked, dataclasses.replace(tracked.record, condition=Condition.SUSPECT)
        )
        tracked.suspected_locally = True

    def local_suspects(self):
        """Return the suspected members whose unresponsiveness this entry detected."""
        return [
            tracked.record
            for tracked in self._tracked.values()
            if tracked.suspected_locally
            and tracked.record.condition == Condition.SUSPECT
        ]

    def replace(self, incarnation):
        """Remove a process permanently because another one has replaced it."""
        tracked = self._tracked.get(incarnation)
        if tracked is not None and not tracked.superseded:
            self._count("member_replacements_total")
            gone = dataclasses.replace(tracked.record, condition=Condition.GONE)
            self._apply(tracked, gone)
            tracked.superseded = True

    def expire(self):
        """Mark unrefuted suspects as gone and delete members gone for too long."""
        now = self._clock.now()
        for tracked in list(self._tracked.values()):
            condition = tracked.record.condition
            if (
                condition == Condition.SUSPECT
                and now - tracked.since >= SUSPICION_TIMEOUT_MS
            ):
                gone = dataclasses.replace(tracked.record, condition=Condition.GONE)
                self._apply(tracked, gone)
            elif (
                condition == Condition.GONE and now - tracked.since >= GONE_RETENTION_MS
            ):
                self._forget(tracked.record)

    def postpone(self, pause_ms):
        """Postpone timeouts after this process was paused for ``pause_ms``."""
        for tracked in self._tracked.values():
            tracked.since += pause_ms

    def merge_vm_list(self, rows):
        """Update the table from the VM list.

        :param rows: :class:`monsoonline.ports.VirtualMachine` rows
        """
        rows = [r for r in rows if r.role == "entry" and r.peer_address]
        self._listed_names = {row.peer_address: row.name for row in rows}
        self._leaving_addresses = frozenset(r.peer_address for r in rows if r.leaving)
        for tracked in self._tracked.values():
            tracked.listed = (
                tracked.listed or tracked.record.peer_address in self._listed_names
            )
        for record in list(self.present()):
            self._remove_superseded(record, listed_only=True)

    def contact_addresses(self):
        """Return known peer addresses that no present member has.

        They come from the VM list and from gone members that were not replaced.
        """
        present = {record.peer_address for record in self.present()}
        present.add(self._own.peer_address)
        known = set(self._listed_names)
        known.update(
            tracked.record.peer_address
            for tracked in self._tracked.values()
            if not tracked.superseded
        )
        return sorted(known - present - {""})

    def take_removed(self):
        """Return and clear the incarnations marked as gone since the last call."""
        removed, self._removed = self._removed, []
        return removed

    def take_returned(self):
        """Return and clear the incarnations added or readmitted since the last call."""
        returned, self._returned = self._returned, []
        return returned

    def members(self):
        """Return all known members, this entry first."""
        records = [self._own, *(tracked.record for tracked in self._tracked.values())]
        return tuple(self._member(record) for record in records)

    def pending_updates(self, *, other_region, limit):
        """Return the :class:`TrackedMember` items to send, least sent first.

        :param other_region: whether the message goes to another region
        :param limit: number of sends after which a record is not sent any more
        """
        members = [self._own_tracked, *self._tracked.values()]
        if other_region:
            active = [
                tracked for tracked in members if tracked.other_region_sends < limit
            ]
            return sorted(active, key=lambda tracked: tracked.other_region_sends)
        active = [tracked for tracked in members if tracked.region_sends < limit]
        return sorted(active, key=lambda tracked: tracked.region_sends)

    def outgoing_record(self, tracked):
        """Return the record to send for a member, compact if it is known for long."""
        if self._clock.now() - tracked.first_known < FULL_RECORD_SEND_MS:
            return tracked.record
        return tracked.record.compact()

    def _member(self, record):
        state = record.condition.name.lower()
        announced = record.leaving or record.peer_address in self._leaving_addresses
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

    def _track(self, record):
        now = self._clock.now()
        return TrackedMember(record=record, since=now, first_known=now)

    def _replace_own(self, record):
        self._own = record
        self._own_tracked.record = record
        self._own_tracked.region_sends = 0
        self._own_tracked.other_region_sends = 0

    def _refute(self, record):
        """Raise this entry's generation above that of a record contradicting its own.

        A record contradicts it by marking this entry as failed or by having a higher
        generation.
        """
        newer = record.generation > self._own.generation
        if record.condition == Condition.ALIVE and not newer:
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
        if record.condition == Condition.GONE or len(self._tracked) >= MAX_MEMBERS:
            return False
        self._tracked[record.incarnation] = self._track(record)
        self._sorted_incarnations.add(record.incarnation)
        self._add_to_index(record)
        self._returned.append(record.incarnation)
        self._count("member_joins_total")
        if direct:
            self._remove_superseded(record)
        else:
            self._remove_superseded(record, listed_only=True)
        return True

    def _forget(self, record):
        del self._tracked[record.incarnation]
        self._sorted_incarnations.remove(record.incarnation)
        self._gone -= 1
        for text in (record.name, record.peer_address):
            self._index[text].discard(record.incarnation)
            if not self._index[text]:
                del self._index[text]

    def _add_to_index(self, record):
        for text in (record.name, record.peer_address):
            self._index.setdefault(text, set()).add(record.incarnation)

    def _apply(self, tracked, record):
        known = tracked.record
        # Name and peer address of a process never change; only the address for callers
        # may become known later.
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
            tracked.since = self._clock.now()
            tracked.suspected_locally = False
            if record.condition == Condition.GONE:
                self._removed.append(record.incarnation)
                self._gone += 1
            elif known.condition == Condition.GONE:
                self._returned.append(record.incarnation)
                self._gone -= 1
        tracked.record = record
        tracked.region_sends = 0
        tracked.other_region_sends = 0

    def _merge_not_newer(self, tracked, record, *, direct):
        """Merge a record that does not take precedence over the known one.

        A higher table revision is accepted anyway, since revisions only grow. An older
        record shows that its sender missed the valid one, which is then sent a few
        more times; otherwise a removal missed by another region stays unknown there.
        """
        if record.order < tracked.record.order:
            tracked.region_sends = max(0, tracked.region_sends - CORRECTION_SENDS)
            tracked.other_region_sends = max(
                0, tracked.other_region_sends - CORRECTION_SENDS
            )
        if record.revision > tracked.record.revision:
            tracked.record = dataclasses.replace(
                tracked.record, revision=record.revision
            )
        if direct:
            self._remove_superseded(tracked.record)
        return False

    def _remove_superseded(self, record, *, listed_only=False):
        """Remove the processes that the process of ``record`` has replaced.

        A message from the same peer address proves the replacement, since two
        processes cannot own one port. So does a VM list that has the name only at the
        address of the later process.

        :param listed_only: whether to accept only the VM list as proof
        """
        if record.condition != Condition.ALIVE:
            return
        listed = self._listed_names.get(record.peer_address) == record.name
        related = self._index.get(record.name, set())
        related = related | self._index.get(record.peer_address, set())
        for incarnation in related:
            tracked = self._tracked[incarnation]
            other = tracked.record
            if other.incarnation == record.incarnation or tracked.superseded:
                continue
            same_address = other.peer_address == record.peer_address
            renamed = (
                listed
                and other.name == record.name
                and tracked.listed
                and other.peer_address not in self._listed_names
            )
            if (same_address and not listed_only) or renamed:
                self.replace(other.incarnation)

    def _count(self, name):
        if self._metrics is not None:
            self._metrics.count(name)
