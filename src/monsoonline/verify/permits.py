"""Specification of the permits that keep all entries within an upstream's limit."""

from typing import NamedTuple

from monsoonline.verify.drains import replace_element
from monsoonline.verify.specification import Specification, specifications

__all__ = ["permit_specification"]

# The unit of permits is half a permit, so that a share of one half is a whole number.
PERMIT = 2
# The limit is one permit a second, and a time unit is two seconds.
FULL_RATE = 2 * PERMIT
# Permits that a bucket holds: two, and those of half a second.
CAPACITY = 5
WINDOW_UNITS = 2
# Requests allowed in a window: 1.5 times the limit, and five.
ALLOWED = 11
# An entry may take over after the first, and issues a share after the second number of
# time units without a sign of the other one. The first unit may be arbitrarily short,
# so the model allows earlier takeovers and later shares than the implementation.
MIN_SILENT_UNITS = 1
MAX_SILENT_UNITS = 2
RUNNING, PAUSED, DOWN = "running", "paused", "down"


class PermitState(NamedTuple):
    """State of one limited upstream and two entries; the first one is its owner.

    :param phases: for each entry, whether it is running, paused or down
    :param since: time units since the last change of each phase, ``MAX_SILENT_UNITS``
        at most
    :param tokens: for each entry, the half permits in its bucket
    :param parted: time units since the entries were cut off from each other,
        ``MAX_SILENT_UNITS`` at most, -1 while they are connected
    :param sent: requests sent in each time unit of the window, the current one last
    """

    phases: tuple = (RUNNING, RUNNING)
    since: tuple = (MAX_SILENT_UNITS, MAX_SILENT_UNITS)
    tokens: tuple = (0, 0)
    parted: int = -1
    sent: tuple = (0,) * WINDOW_UNITS


permit_specification = Specification(
    name="permits",
    initial=PermitState(),
    bounds="1 upstream, 2 entries, a window of 2 time units",
)
specifications.register("permits")(permit_specification)
permit_specification.guard(
    "empty-at-start", "the bucket of a new owner or a started entry is empty"
)
permit_specification.guard(
    "empty-after-pause", "an entry that was paused drops its buckets"
)
permit_specification.guard(
    "one-owner", "an entry takes over only from one that it has not heard of"
)
permit_specification.guard(
    "share", "an entry that hears only some of the others issues a share"
)


@permit_specification.invariant("within-limit")
def within_limit(state):
    """The upstream gets no more requests in a window than its limit allows."""
    return sum(state.sent) <= ALLOWED


def silent_units(state, index):
    """Return the time units for which an entry has not heard of the other one."""
    other = 1 - index
    parted = max(0, state.parted)
    stopped = 0 if state.phases[other] == RUNNING else state.since[other]
    return max(parted, stopped)


def owns(state, index, guards):
    """Return whether an entry takes itself for the owner."""
    if state.phases[index] != RUNNING:
        return False
    silent = silent_units(state, index) >= MIN_SILENT_UNITS
    return index == 0 or silent or not guards("one-owner")


@permit_specification.step("issue")
def issue(state, guards):
    """An owner issues a permit, and a request is sent with it."""
    for index in (0, 1):
        if not owns(state, index, guards) or state.tokens[index] < PERMIT:
            continue
        sent = (*state.sent[:-1], min(state.sent[-1] + 1, ALLOWED + 1))
        tokens = replace_element(state.tokens, index, state.tokens[index] - PERMIT)
        yield state._replace(sent=sent, tokens=tokens)


def change_phase(state, index, phase):
    """Return the state after an entry was stopped, paused or continued."""
    return state._replace(
        phases=replace_element(state.phases, index, phase),
        since=replace_element(state.since, index, 0),
    )


@permit_specification.step("stop")
def stop(state, guards):
    """An entry ends or is paused."""
    for index in (0, 1):
        if state.phases[index] == RUNNING:
            down = change_phase(state, index, DOWN)
            yield down._replace(tokens=replace_element(state.tokens, index, 0))
            yield change_phase(state, index, PAUSED)


@permit_specification.step("continue")
def resume(state, guards):
    """An entry starts again, or continues after a pause of a time unit or more."""
    for index in (0, 1):
        if state.phases[index] == RUNNING or state.since[index] == 0:
            continue
        tokens = state.tokens[index]
        if state.phases[index] == DOWN and not guards("empty-at-start"):
            tokens = CAPACITY
        if state.phases[index] == PAUSED and guards("empty-after-pause"):
            tokens = 0
        next_state = change_phase(state, index, RUNNING)
        yield next_state._replace(tokens=replace_element(state.tokens, index, tokens))


@permit_specification.step("part")
def part(state, guards):
    """The entries are cut off from each other, or connected again."""
    yield state._replace(parted=0 if state.parted < 0 else -1)


@permit_specification.step("time-passes")
def time_passes(state, guards):
    """One time unit passes, and the buckets are filled."""
    yield state._replace(
        since=tuple(min(MAX_SILENT_UNITS, units + 1) for units in state.since),
        tokens=tuple(refilled(state, index, guards) for index in (0, 1)),
        parted=-1 if state.parted < 0 else min(MAX_SILENT_UNITS, state.parted + 1),
        sent=(*state.sent[1:], 0),
    )


def refilled(state, index, guards):
    """Return the half permits that an entry may issue in the next time unit."""
    if state.phases[index] == DOWN:
        return 0
    if state.phases[index] == PAUSED and guards("empty-after-pause"):
        return state.tokens[index]
    if state.phases[index] == RUNNING and not owns(state, index, guards):
        # The review drops the bucket of an upstream that has another owner.
        return 0 if guards("empty-at-start") else CAPACITY
    alone = silent_units(state, index) >= MAX_SILENT_UNITS and guards("share")
    rate = FULL_RATE // 2 if alone else FULL_RATE
    return min(CAPACITY, state.tokens[index]) + rate
