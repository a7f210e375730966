"""Specification of the removal of a registration over the eras of the store.

A drill returns the store from an older copy, which may show a start of an upstream that
was removed, or lack one that was registered. An entry that is cut off takes no step.
"""

from typing import NamedTuple

from monsoonline.verify.drains import replace_element
from monsoonline.verify.specification import Specification, specifications

__all__ = ["specification"]

ENTRIES = 2
MAX_ERA = 2
# What a list of registrations says of the upstream's start.
ABSENT, LISTED, REMOVED = "absent", "listed", "removed"
# The time since an entry first heard of an era: missing registrations are kept, then
# removed ones are still held, then neither.
GRACE, HOLD, OVER = "grace", "hold", "over"


class Listing(NamedTuple):
    """The list of registrations, as far as it concerns one start of an upstream.

    Entries can't tell ``ABSENT`` from ``REMOVED``; only the invariants do.

    :param era: era of the store that gave it
    :param version: version of the list in that era
    :param says: ``ABSENT``, ``LISTED`` or ``REMOVED``
    """

    era: int = 0
    version: int = 0
    says: str = ABSENT


class Entry(NamedTuple):
    """What an entry knows of the start; one that has just started knows nothing.

    :param era: highest era heard of, -1 for none
    :param phase: ``GRACE``, ``HOLD`` or ``OVER``
    :param listing: last list taken, empty for none
    :param used: whether the entry sends requests to the start
    :param removed_era: era in which it saw the start removed, -1 for none
    :param informed: whether it or the neighbour that it started from saw the removal
    """

    era: int = -1
    phase: str = GRACE
    listing: tuple = ()
    used: bool = False
    removed_era: int = -1
    informed: bool = False


USER = Entry(era=0, phase=OVER, listing=Listing(version=1, says=LISTED), used=True)


class State(NamedTuple):
    """State of one start of an upstream in the store and at the entries.

    :param store: list in the store
    :param copy: list in the copy from which a drill returns the store
    :param removed: whether the start has ended
    :param entries: the entries, sorted, because their names don't matter
    :param message: an entry's era and list in transit, possibly for long, or empty
    :param dropped: whether an entry has dropped a start that only the copy lacks
    """

    store: Listing = Listing(version=1, says=LISTED)
    copy: Listing = Listing()
    removed: bool = False
    entries: tuple = (USER,) * ENTRIES
    message: tuple = ()
    dropped: bool = False


specification = Specification(
    name="era-removals",
    initial=State(),
    bounds="1 start of an upstream, 2 entries, 2 drills, 1 late message",
)
specifications.register("era-removals")(specification)
GUARDS = {
    "removals-kept": "what an entry saw removed is kept over a change of the era",
    "removals-handed-over": "a starting entry gets the removals that a neighbour saw",
    "era-rises": "a list of an earlier era isn't taken",
    "release-by-read": "after the hold, only a read of the store shows the start again",
    "keep-missing": "a registration that the next era lacks is kept for a time",
    "lost-not-removed": "a registration that the era lacked from its start was lost",
}
for guard_name, description in GUARDS.items():
    specification.guard(guard_name, description)


@specification.invariant("removed-unused")
def removed_unused(state):
    """An entry that has seen the removal doesn't use the start again."""
    return not any(entry.informed and entry.used for entry in state.entries)


@specification.invariant("lost-kept")
def lost_kept(state):
    """An entry doesn't drop a start that only the older copy lacks."""
    return not state.dropped


@specification.invariant("registered-used")
def registered_used(state):
    """An entry uses a start that hasn't ended and that its list shows."""
    return state.removed or all(
        entry.used or entry.listing.says != LISTED
        for entry in state.entries
        if entry.listing
    )


def hear(entry, era, listing, guards, *, read=False):
    """Return an entry after it heard of an era and of a list."""
    if era > entry.era or (era != entry.era and not guards("era-rises")):
        kept = entry.removed_era if guards("removals-kept") else -1
        entry = entry._replace(era=era, phase=GRACE, removed_era=kept)
    newer = not entry.listing or listing[:2] > entry.listing[:2]
    other_era = entry.listing and listing.era != entry.listing.era
    if newer or (other_era and not guards("era-rises")):
        entry = take_list(entry, listing, guards)
    if read and listing.says == LISTED and entry.phase == OVER:
        entry = entry._replace(used=True, removed_era=-1)
    return entry


def take_list(entry, listing, guards):
    """Return an entry after it took a list."""
    before = entry.listing
    entry = entry._replace(listing=listing)
    if listing.says == LISTED:
        if 0 <= entry.removed_era < listing.era:
            return entry._replace(used=False)
        return entry._replace(used=True, removed_era=-1)
    if not before or before.says != LISTED:
        return entry
    if before.era == listing.era:
        informed = entry.informed or listing.says == REMOVED
        return entry._replace(used=False, removed_era=listing.era, informed=informed)
    kept = entry.used and entry.phase == GRACE and guards("keep-missing")
    return entry._replace(used=kept)


def with_entry(state, index, entry):
    """Return the state after an entry heard of a list."""
    dropped = state.entries[index].used and not entry.used and not state.removed
    return state._replace(
        entries=tuple(sorted(replace_element(state.entries, index, entry))),
        dropped=state.dropped or dropped,
    )


@specification.step("register")
def register(state, guards):
    """The upstream registers its start again after a drill."""
    if state.store.says == ABSENT and not state.removed:
        version = state.store.version + 1
        yield state._replace(store=state.store._replace(version=version, says=LISTED))


@specification.step("remove")
def remove(state, guards):
    """The start ends, or the store removes it again after a drill."""
    if state.store.says == LISTED:
        store = state.store._replace(version=state.store.version + 1, says=REMOVED)
        yield state._replace(store=store, removed=True)


@specification.step("copy")
def copy_store(state, guards):
    """The store is copied."""
    if state.store.era < MAX_ERA:
        yield state._replace(copy=state.store)


@specification.step("drill")
def drill(state, guards):
    """The store comes back from the copy, in the next era."""
    if state.store.era < MAX_ERA:
        yield state._replace(store=state.copy._replace(era=state.store.era + 1))


@specification.step("read")
def read_store(state, guards):
    """An entry reads the store."""
    for index, entry in enumerate(state.entries):
        heard = hear(entry, state.store.era, state.store, guards, read=True)
        yield with_entry(state, index, heard)


@specification.step("send")
def send(state, guards):
    """An entry sends its era and its list; the message may arrive late and often."""
    for entry in state.entries:
        if entry.listing:
            yield state._replace(message=(entry.era, entry.listing))


@specification.step("receive")
def receive(state, guards):
    """An entry receives the message."""
    if state.message:
        for index, entry in enumerate(state.entries):
            heard = hear(entry, *state.message, guards)
            yield with_entry(state, index, heard)


@specification.step("end-grace")
def end_grace(state, guards):
    """The grace of an entry ends; the start is registered again, or ended, by then."""
    if state.store.says == ABSENT and not state.removed:
        return
    for index, entry in enumerate(state.entries):
        if entry.phase != GRACE or not entry.listing:
            continue
        entry = entry._replace(phase=HOLD)
        if entry.used and entry.listing.says != LISTED:
            era = -1 if guards("lost-not-removed") else entry.listing.era
            entry = entry._replace(used=False, removed_era=era)
        entries = tuple(sorted(replace_element(state.entries, index, entry)))
        yield state._replace(entries=entries)


@specification.step("end-hold")
def end_hold(state, guards):
    """The hold of an entry ends.

    By then the store has removed the start again, or has left the entry's era.
    """
    shown_again = state.removed and state.store.says == LISTED
    for index, entry in enumerate(state.entries):
        over = not shown_again or state.store.era > entry.era
        if entry.phase != HOLD or not over:
            continue
        entry = entry._replace(phase=OVER)
        shown = entry.listing.says == LISTED and not entry.used
        if shown and not guards("release-by-read"):
            entry = entry._replace(used=True, removed_era=-1)
        yield with_entry(state, index, entry)


@specification.step("start-again")
def start_again(state, guards):
    """An entry starts again, with nothing or with what a neighbour knows."""
    for index in range(ENTRIES):
        neighbour = state.entries[1 - index]._replace(phase=GRACE)
        if not guards("removals-handed-over"):
            neighbour = neighbour._replace(removed_era=-1)
        for entry in (Entry(), neighbour):
            entries = replace_element(state.entries, index, entry)
            yield state._replace(entries=tuple(sorted(entries)))
