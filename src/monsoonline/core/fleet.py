"""Members of the fleet, which is the set of all entries of a deployment.

Used by :class:`monsoonline.entry.fleet_service.FleetEntryService`, where entries learn
of members from heartbeats. The member table of the gossip protocol is in
:mod:`monsoonline.core.membership`.
"""

import collections
import dataclasses
import random
import threading

__all__ = [
    "LIVENESS_TIMEOUT_MS",
    "Fleet",
    "FleetMember",
    "MemberAge",
    "single_entry_fleet",
]

# A member without an update for this time is not returned to callers.
LIVENESS_TIMEOUT_MS = 1_800.0
# Entries and failure domains that were not heard of for this time are out of contact.
CONTACT_TIMEOUT_MS = 2_000.0
# A member without an update for this time is no longer sent messages.
FORGET_TIMEOUT_MS = 60_000.0
# Members that were forgotten may have been cut off. They are kept for this time, so
# that both sides of a partition find each other again.
LOST_LIFETIME_MS = 3_600_000.0
MAX_LOST_MEMBERS = 1_000
# A beat is a count of heartbeats, above the bits that differ for each start.
INCARNATION_BITS = 12
MAX_INCARNATIONS = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember:
    """An entry as a member of the fleet.

    :param name: name of the entry
    :param failure_domain: failure domain in which it runs
    :param callers_address: ``host:port`` for requests of callers
    :param peer_address: ``host:port`` for messages and transfers between entries
    :param ready: whether callers may be directed to it
    :param leaving: whether it is shutting down
    :param beat: increases with each of its heartbeats; 0 if it does not count them
    """

    name: str
    failure_domain: str
    callers_address: str
    peer_address: str
    ready: bool = False
    leaving: bool = False
    beat: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberAge:
    """A member and the age of its update, summed over all relays.

    The sum lacks the time for which messages have waited.
    """

    member: FleetMember
    age_ms: float


class Fleet:
    """Known members by name, each with the time of its newest update.

    Threads of requests read the members while messages change them.

    :param own: the :class:`FleetMember` of this entry
    """

    def __init__(self, *, own):
        self._lock = threading.RLock()
        self._own = own
        self._members = {}
        self._updated_at = {}
        # Highest count of heartbeats of the last starts of each member, by name.
        self._beats = {}
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        # Forgotten members and when they were forgotten, by name, the latest last.
        self._lost = collections.OrderedDict()
        # Time of the last message from each failure domain.
        self._heard_at = {}
        self._remaining = None
        self._domains = None

    @property
    def own(self):
        """The :class:`FleetMember` of this entry."""
        return self._own

    @property
    def remaining(self):
        """The members that are not leaving, by name.

        This entry is included if it is not leaving. The dictionary is replaced, not
        changed, when the members change.
        """
        with self._lock:
            if self._remaining is None:
                members = (self._own, *self._members.values())
                self._remaining = {m.name: m for m in members if not m.leaving}
            return self._remaining

    def set_own(self, **changes):
        """Change fields of this entry's own member."""
        with self._lock:
            self._own = dataclasses.replace(self._own, **changes)
            self._forget_derived()

    def count_beat(self):
        """Count a heartbeat of this entry."""
        with self._lock:
            number = (self._own.beat >> INCARNATION_BITS) + 1
            beat = number << INCARNATION_BITS | self._incarnation
            self._own = dataclasses.replace(self._own, beat=beat)

    def note_message(self, peer_address, now):
        """Record that a message was received from a ``host:port``."""
        with self._lock:
            if self._domains is None:
                self._domains = {
                    m.peer_address: m.failure_domain for m in self._members.values()
                }
            domain = self._domains.get(peer_address)
            if domain is not None:
                self._heard_at[domain] = now

    def update(self, member, *, now):
        """Apply an update that a member has sent itself.

        :param member: the :class:`FleetMember`
        :param now: the time in ms
        """
        with self._lock:
            self._note_beat(member)
            self._update(member, now)

    def update_relayed(self, item, *, now):
        """Apply an update that another member has relayed, unless it is known.

        The age of an update does not grow while its message waits for a paused entry.
        Therefore only a new heartbeat shows that a member is live, and the same one
        relayed again does not.

        :param item: the :class:`MemberAge`
        :param now: the time in ms
        """
        with self._lock:
            if self._note_beat(item.member) or not item.member.beat:
                self._update(item.member, now - item.age_ms)

    def _note_beat(self, member):
        """Record the heartbeat of an update; return whether it is a new one."""
        number = member.beat >> INCARNATION_BITS
        incarnation = member.beat & ((1 << INCARNATION_BITS) - 1)
        numbers = self._beats.setdefault(member.name, {})
        if number <= numbers.get(incarnation, 0):
            return False
        numbers[incarnation] = number
        if len(numbers) > MAX_INCARNATIONS:
            del numbers[next(iter(numbers))]
        return True

    def _update(self, member, updated_at):
        if member.name == self._own.name:
            return
        if updated_at > self._updated_at.get(member.name, float("-inf")):
            if self._members.get(member.name) != member:
                self._forget_derived()
            self._members[member.name] = member
            self._updated_at[member.name] = updated_at
            self._lost.pop(member.name, None)

    def add_listed(self, member, *, now):
        """Add a member listed in the store, without taking it as live."""
        with self._lock:
            if member.name == self._own.name or member.name in self._members:
                return
            self._members[member.name] = member
            self._forget_derived()
            self._updated_at[member.name] = now - LIVENESS_TIMEOUT_MS

    def forget_unresponsive(self, now):
        """Remove members without an update for :data:`FORGET_TIMEOUT_MS`."""
        with self._lock:
            for name, updated_at in list(self._updated_at.items()):
                if now - updated_at > FORGET_TIMEOUT_MS:
                    self._lost[name] = (self._members.pop(name), now)
                    del self._updated_at[name]
                    self._beats.pop(name, None)
                    self._forget_derived()
            while self._lost and self._has_expired_lost(now):
                self._lost.popitem(last=False)

    def lost_member(self):
        """Return one of the forgotten members at random, ``None`` without any.

        Those that were leaving are not returned.
        """
        with self._lock:
            lost = [member for member, _ in self._lost.values() if not member.leaving]
        return random.choice(lost) if lost else None

    def others(self):
        """Return all other members that are known, live or not."""
        with self._lock:
            return tuple(self._members.values())

    def alive(self, now):
        """Return the other members that are live."""
        with self._lock:
            return tuple(
                member
                for name, member in self._members.items()
                if now - self._updated_at[name] < LIVENESS_TIMEOUT_MS
            )

    def age_ms(self, name, now):
        """Return the time since an update of a member, also if others relayed it."""
        return now - self._updated_at.get(name, float("-inf"))

    def contact_share(self, now):
        """Return the share of the remaining entries that this entry is in contact with.

        A remote failure domain counts whole while any of its entries is heard, because
        its members are rarely heard one by one.
        """
        others = [m for m in self.remaining.values() if m.name != self._own.name]
        in_contact = sum(self._is_in_contact(member, now) for member in others)
        return (1 + in_contact) / (1 + len(others))

    def _has_expired_lost(self, now):
        _, forgotten_at = next(iter(self._lost.values()))
        too_many = len(self._lost) > MAX_LOST_MEMBERS
        return too_many or now - forgotten_at > LOST_LIFETIME_MS

    def _forget_derived(self):
        """Forget what is derived from the members, after they have changed."""
        self._remaining = None
        self._domains = None

    def _is_in_contact(self, member, now):
        if self.age_ms(member.name, now) < CONTACT_TIMEOUT_MS:
            return True
        remote = member.failure_domain != self._own.failure_domain
        heard_at = self._heard_at.get(member.failure_domain, float("-inf"))
        return remote and now - heard_at < CONTACT_TIMEOUT_MS

    def ages(self, now, *, failure_domain):
        """Return the :class:`MemberAge` of each live member of one failure domain."""
        with self._lock:
            return tuple(
                MemberAge(member=member, age_ms=now - self._updated_at[name])
                for name, member in self._members.items()
                if member.failure_domain == failure_domain
                and now - self._updated_at[name] < LIVENESS_TIMEOUT_MS
            )

    def live_names(self, now):
        """Return the names of all live members, this entry included."""
        return (self._own.name, *(member.name for member in self.alive(now)))


def single_entry_fleet(failure_domain):
    """Return the :class:`Fleet` of an entry without others."""
    own = FleetMember(
        name="", failure_domain=failure_domain, callers_address="", peer_address=""
    )
    return Fleet(own=own)
