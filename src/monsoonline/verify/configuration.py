"""Specification of the propagation of table revisions to the entries.

Entry ``a`` commits edits; ``b``, ``c`` and ``e`` are ready peers; ``d`` is a
replacement that starts without state. The store may be unavailable, and its reads may
be stale.
"""

from typing import NamedTuple

from monsoonline.verify.specification import Specification, specifications

__all__ = ["specification"]

PEERS = ("a", "b", "c", "e")
REQUIRED_HOLDERS = 3
MAX_REVISION = 2


class State(NamedTuple):
    """Revisions held by the store and the entries.

    :param store: last committed revision
    :param store_up: whether the store is available
    :param a: revision in effect at entry ``a``, -1 when it has failed
    :param b: revision in effect at entry ``b``, -1 when it has failed
    :param c: revision in effect at entry ``c``, -1 when it has failed
    :param e: revision in effect at entry ``e``, -1 when it has failed
    :param d: revision held by the replacement
    :param d_ready: whether the replacement is ready and listed to callers
    :param heard: peers whose revision the replacement has received
    :param d_floor: last accepted revision at the start of the replacement
    :param pending: committed revision awaiting acknowledgements, 0 for none
    :param acknowledged: entries that hold the pending revision
    :param accepted: last revision reported to an operator as accepted
    :param failures: number of entry failures that may still occur
    :param reverted: whether an entry has returned to an earlier revision
    :param late: whether the replacement became ready below ``d_floor``
    """

    store: int = 0
    store_up: bool = True
    a: int = 0
    b: int = 0
    c: int = 0
    e: int = 0
    d: int = 0
    d_ready: bool = False
    heard: frozenset = frozenset()
    d_floor: int = 0
    pending: int = 0
    acknowledged: frozenset = frozenset()
    accepted: int = 0
    failures: int = 2
    reverted: bool = False
    late: bool = False


specification = Specification(
    name="configuration",
    initial=State(),
    bounds="4 ready entries, 1 replacement, 2 edits, 2 failures of entries",
)
specifications.register("configuration")(specification)

GUARDS = {
    "monotonic-apply": "only a higher revision replaces the one in effect",
    "three-holders": "an edit is accepted when three entries hold it",
    "hear-peers": "without the store, a starting entry needs the revision of every "
    "live peer",
    "validated-read": "a starting entry validates its read with a transaction",
    "commit-first": "a revision is in effect only after its commit",
}
for guard_name, description in GUARDS.items():
    specification.guard(guard_name, description)


@specification.invariant("never-reverts")
def never_reverts(state):
    """No entry returns to an earlier revision."""
    return not state.reverted


@specification.invariant("ready-is-current")
def ready_is_current(state):
    """A ready replacement holds at least the revision accepted when it started."""
    return not state.late


@specification.invariant("accepted-is-durable")
def accepted_is_durable(state):
    """An accepted revision is in the store."""
    return state.accepted <= state.store


def live_peers(state):
    """Return the names of the peers that have not failed."""
    return tuple(name for name in PEERS if getattr(state, name) >= 0)


def apply_revision(state, entry, revision, guards):
    """Return the state after a revision was offered to an entry."""
    current = getattr(state, entry)
    if revision > current:
        return state._replace(**{entry: revision})
    if revision < current and not guards("monotonic-apply"):
        return state._replace(**{entry: revision}, reverted=True)
    return state


@specification.step("commit")
def commit(state, guards):
    """Entry ``a`` commits an edit and applies it."""
    if state.a < 0 or state.pending or state.store >= MAX_REVISION:
        return
    revision = state.store + 1
    if state.store_up:
        next_state = state._replace(store=revision)
    elif not guards("commit-first"):
        next_state = state
    else:
        return
    next_state = apply_revision(next_state, "a", revision, guards)
    yield next_state._replace(pending=revision, acknowledged=frozenset("a"))


@specification.step("acknowledge")
def acknowledge(state, guards):
    """A ready peer applies the offered revision and acknowledges it."""
    for name in live_peers(state):
        if state.pending and name not in state.acknowledged:
            next_state = apply_revision(state, name, state.pending, guards)
            yield next_state._replace(acknowledged=state.acknowledged | {name})


@specification.step("accept")
def accept(state, guards):
    """The edit is reported to the operator as accepted."""
    if not state.pending or state.a < 0:
        return
    required = min(REQUIRED_HOLDERS, len(live_peers(state)))
    if len(state.acknowledged) >= required or not guards("three-holders"):
        yield state._replace(
            accepted=state.pending, pending=0, acknowledged=frozenset()
        )


@specification.step("report-propagating")
def report_propagating(state, guards):
    """The edit is reported to the operator as committed but not yet accepted."""
    # Omitted for the last edit: none follows it, so the step would only add states.
    if not state.pending or state.pending == MAX_REVISION or state.a < 0:
        return
    required = min(REQUIRED_HOLDERS, len(live_peers(state)))
    if len(state.acknowledged) < required:
        yield state._replace(pending=0, acknowledged=frozenset())


@specification.step("gossip")
def gossip(state, guards):
    """A ready peer receives a revision from another peer."""
    for sender in live_peers(state):
        for receiver in live_peers(state):
            next_state = apply_revision(state, receiver, getattr(state, sender), guards)
            if next_state != state:
                yield next_state


@specification.step("read-store")
def read_store(state, guards):
    """A ready peer reads the store; a stale read is one revision behind."""
    if state.store_up:
        for revision in {state.store, max(0, state.store - 1)}:
            for name in live_peers(state):
                next_state = apply_revision(state, name, revision, guards)
                if next_state != state:
                    yield next_state


@specification.step("store-fails")
def store_fails(state, guards):
    """The store becomes unavailable."""
    if state.store_up:
        yield state._replace(store_up=False)


@specification.step("store-returns")
def store_returns(state, guards):
    """The store becomes available."""
    if not state.store_up:
        yield state._replace(store_up=True)


@specification.step("entry-fails")
def entry_fails(state, guards):
    """One of the ready entries fails and loses its state."""
    if state.failures:
        for name in live_peers(state):
            next_state = state._replace(**{name: -1}, failures=state.failures - 1)
            next_state = next_state._replace(
                acknowledged=state.acknowledged - {name}, heard=state.heard - {name}
            )
            if name == "a":
                next_state = next_state._replace(pending=0, acknowledged=frozenset())
            yield next_state


@specification.step("replacement-starts")
def replacement_starts(state, guards):
    """The replacement starts to query its peers, with no revision in effect."""
    yield state._replace(d=0, d_ready=False, heard=frozenset(), d_floor=state.accepted)


@specification.step("replacement-hears")
def replacement_hears(state, guards):
    """The replacement receives the revision of one peer."""
    if not state.d_ready:
        for name in live_peers(state):
            if name not in state.heard:
                next_state = state._replace(heard=state.heard | {name})
                yield next_state._replace(d=max(state.d, getattr(state, name)))


@specification.step("replacement-ready-by-peers")
def replacement_ready_by_peers(state, guards):
    """The replacement becomes ready without the store."""
    heard_all = state.heard.issuperset(live_peers(state))
    sufficient = heard_all or not guards("hear-peers")
    if not state.d_ready and state.heard and sufficient:
        yield state._replace(d_ready=True, late=state.late or state.d < state.d_floor)


@specification.step("replacement-ready-by-store")
def replacement_ready_by_store(state, guards):
    """The replacement becomes ready after a read of the store."""
    if state.d_ready or not state.store_up:
        return
    stale = max(0, state.store - 1)
    revisions = {state.store} if guards("validated-read") else {state.store, stale}
    for revision in revisions:
        held = max(state.d, revision)
        late = state.late or held < state.d_floor
        yield state._replace(d=held, d_ready=True, late=late)
