"""Specification of the order of tables over the eras of the store.

A drill returns the store from an older copy: its era rises by one, and versions that it
had issued are issued again. An entry that is cut off takes no step.
"""

import itertools
from typing import NamedTuple

from monsoonline.verify.drains import replace_element
from monsoonline.verify.specification import Specification, specifications

__all__ = ["specification"]

ENTRIES = 2
MAX_ERA = 2
MAX_EDITION = 3
# Bound on the rounds of an exchange, so that entries that never come to rest are found.
MAX_ROUNDS = (MAX_ERA + 1) * MAX_EDITION


class Tables(NamedTuple):
    """Tables as the store or an entry names them.

    :param era: era of the store that gave them
    :param version: version of their row in that era
    :param edition: number that the operator gave them
    """

    era: int = 0
    version: int = 1
    edition: int = 1


class Entry(NamedTuple):
    """What an entry knows; one that has just started knows nothing.

    :param era: highest era heard of, -1 for none
    :param held: whether the hold that began with this era still lasts
    :param tables: tables in effect, empty for none
    :param postponed: tables that the end of the hold puts in effect, always empty with
        the guard ``release-by-read``
    """

    era: int = -1
    held: bool = True
    tables: tuple = ()
    postponed: tuple = ()


class State(NamedTuple):
    """State of the operator's tables in the store and at the entries.

    :param store: tables in the store
    :param copy: tables in the copy from which a drill returns the store
    :param acknowledged: newest edition that was acknowledged to the operator
    :param entries: the entries, sorted, because their names don't matter
    :param message: an entry's era and tables in transit, possibly for long, or empty
    :param lowered: whether an entry has put a lower edition in effect
    :param unsettled: fault that remains after reads and an exchange of messages:
        ``behind``, ``apart`` or ``kept``, empty for none
    """

    store: Tables = Tables()
    copy: Tables = Tables()
    acknowledged: int = 1
    entries: tuple = (Entry(era=0, tables=Tables()),) * ENTRIES
    message: tuple = ()
    lowered: bool = False
    unsettled: str = ""


specification = Specification(
    name="eras",
    initial=State(),
    bounds="2 entries, 2 drills, 3 editions, 1 late message",
)
specifications.register("eras")(specification)
GUARDS = {
    "era-first": "the era orders tables before their version",
    "edition-order": "tables of a later era don't replace a higher edition",
    "hold-ends": "a higher edition of an earlier era is held for a limited time",
    "earlier-era": "a higher edition of an earlier era is taken from a neighbour",
    "era-rises": "a late message doesn't take an entry back to an earlier era",
    "release-by-read": "after the hold, only a read of the store gives a lower edition",
}
for guard_name, description in GUARDS.items():
    specification.guard(guard_name, description)


def written_again(state):
    """Return whether the operator has written all that a drill has lost."""
    return state.store.edition == state.acknowledged


def replaces(entry, offered, guards, *, read):
    """Return whether offered tables replace those in effect at an entry.

    :param read: whether the tables were read from the store
    """
    current = entry.tables
    if not current:
        return True
    if offered.era == current.era or not guards("era-first"):
        return offered.version > current.version
    if offered.era < current.era and guards("era-rises"):
        higher = offered.edition > current.edition
        return higher and entry.held and guards("earlier-era")
    if offered.edition >= current.edition or not guards("edition-order"):
        return True
    may_lower = read or not guards("release-by-read")
    return may_lower and not entry.held and guards("hold-ends")


def hear(entry, era, tables, guards, *, read=False):
    """Return an entry after it heard of an era and of tables."""
    if era > entry.era or (era != entry.era and not guards("era-rises")):
        entry = entry._replace(era=era, held=True)
    if not tables:
        return entry
    if replaces(entry, tables, guards, read=read):
        return entry._replace(tables=tables, postponed=())
    later = tables.era > entry.tables.era and tables > (entry.postponed or Tables())
    if later and not guards("release-by-read"):
        return entry._replace(postponed=tables)
    return entry


def end_hold(entry):
    """Return an entry after the end of its hold."""
    tables = entry.postponed or entry.tables
    return entry._replace(held=False, tables=tables, postponed=())


def with_entry(state, index, entry):
    """Return the state after an entry changed."""
    before = state.entries[index].tables
    lowered = before and entry.tables and entry.tables.edition < before.edition
    return state._replace(
        entries=tuple(sorted(replace_element(state.entries, index, entry))),
        lowered=state.lowered or bool(lowered),
    )


def read_all(entries, store, guards):
    """Return the entries after each has read the store."""
    return tuple(hear(e, store.era, store, guards, read=True) for e in entries)


def exchange_all(entries, guards):
    """Return the entries after they have exchanged messages."""
    for _ in range(MAX_ROUNDS):
        before = entries
        for sender in before:
            entries = tuple(hear(e, sender.era, sender.tables, guards) for e in entries)
        if entries == before:
            break
    return entries


@specification.invariant("never-lower")
def never_lower(state):
    """No entry puts a lower edition in effect than it had."""
    return not state.lowered


@specification.invariant("newest-held")
def newest_held(state):
    """After the operator has written again, all entries get the newest edition."""
    return state.unsettled != "behind"


@specification.invariant("no-lasting-difference")
def no_lasting_difference(state):
    """Entries that exchange messages don't differ for ever.

    Within the hold all of them get the highest edition, and at no time do two of them
    take each other's tables.
    """
    return state.unsettled != "apart"


@specification.invariant("released")
def released(state):
    """An operator that doesn't write again gets what the store says."""
    return state.unsettled != "kept"


@specification.step("write")
def write(state, guards):
    """The operator writes any lost edition, or a new one when none is lost."""
    newest = state.acknowledged + written_again(state)
    for edition in range(state.store.edition + 1, min(newest, MAX_EDITION) + 1):
        store = state.store._replace(version=state.store.version + 1, edition=edition)
        acknowledged = max(state.acknowledged, edition)
        yield state._replace(store=store, acknowledged=acknowledged)


@specification.step("copy")
def copy_store(state, guards):
    """The store is copied."""
    if state.store.era < MAX_ERA:
        yield state._replace(copy=state.store)


@specification.step("drill")
def drill(state, guards):
    """The store comes back from the copy, in the next era."""
    if state.store.era < MAX_ERA:
        store = state.copy._replace(era=state.store.era + 1)
        yield state._replace(store=store)


@specification.step("read")
def read_store(state, guards):
    """An entry reads the store."""
    for index, entry in enumerate(state.entries):
        heard = hear(entry, state.store.era, state.store, guards, read=True)
        yield with_entry(state, index, heard)


@specification.step("send")
def send(state, guards):
    """An entry sends its era and its tables; the message may arrive late and often."""
    for entry in state.entries:
        if entry.tables:
            yield state._replace(message=(entry.era, entry.tables))


@specification.step("receive")
def receive(state, guards):
    """An entry receives the message."""
    if state.message:
        for index, entry in enumerate(state.entries):
            yield with_entry(state, index, hear(entry, *state.message, guards))


@specification.step("end-hold")
def end_one_hold(state, guards):
    """The hold of an entry ends.

    By then the operator has written again, or the store has left the entry's era.
    """
    for index, entry in enumerate(state.entries):
        over = written_again(state) or state.store.era > entry.era
        if entry.era > 0 and entry.held and over:
            yield with_entry(state, index, end_hold(entry))


@specification.step("restart")
def restart(state, guards):
    """An entry starts again and knows nothing."""
    for index in range(ENTRIES):
        yield with_entry(state, index, Entry())


@specification.step("lose")
def lose(state, guards):
    """The message gets lost, or doesn't arrive any more."""
    if state.message:
        yield state._replace(message=())


@specification.step("settle")
def settle(state, guards):
    """Entries read the store and exchange messages; the step occurs only in a fault."""
    if state.message:
        return
    store = state.store
    connected = exchange_all(read_all(state.entries, store, guards), guards)
    if written_again(state) and any_other_edition(connected, store):
        yield state._replace(unsettled="behind")
    ended = read_all(tuple(map(end_hold, connected)), store, guards)
    if any_other_edition(exchange_all(ended, guards), store):
        yield state._replace(unsettled="kept")
    latest = max(entry.era for entry in state.entries)
    if latest >= 0 and all(e.held for e in state.entries if e.era == latest):
        exchanged = exchange_all(state.entries, guards)
        highest = max(entry.tables.edition for entry in state.entries if entry.tables)
        if any(entry.tables.edition != highest for entry in exchanged):
            yield state._replace(unsettled="apart")
    if any_mutual_takeover(state.entries, guards):
        yield state._replace(unsettled="apart")


def any_other_edition(entries, store):
    """Return whether an entry has another edition in effect than the store."""
    return any(not e.tables or e.tables.edition != store.edition for e in entries)


def any_mutual_takeover(entries, guards):
    """Return whether two entries take each other's tables at the same time."""
    return any(
        first.tables
        and second.tables
        and hear(first, second.era, second.tables, guards).tables != first.tables
        and hear(second, first.era, first.tables, guards).tables != second.tables
        for first, second in itertools.combinations(entries, 2)
    )
