"""Specification of concurrent edits by two operators with lost responses."""

from typing import NamedTuple

from monsoonline.verify.specification import Specification, specifications

__all__ = ["specification"]

FIRST_EDIT = "x"
SECOND_EDIT = "y"


class State(NamedTuple):
    """State of one row and two operators that have both read its version 0.

    :param history: ids of the committed edits, oldest first
    :param first: state of the first operator: ``idle``, ``uncertain``, ``accepted``
        or ``conflict``
    :param second: state of the second operator, with the same values
    :param attempts: commits that the first operator's client may still send
    """

    history: tuple = ()
    first: str = "idle"
    second: str = "idle"
    attempts: int = 2


specification = Specification(
    name="edits",
    initial=State(),
    bounds="one row, 2 operators, 1 retry after a lost response",
)
specifications.register("edits")(specification)

specification.guard("condition", "a commit states the row version that it replaces")
specification.guard(
    "change-id", "a commit with an unknown result is looked up before a retry"
)


@specification.invariant("applied-once")
def applied_once(state):
    """No edit is committed twice."""
    return len(set(state.history)) == len(state.history)


@specification.invariant("no-lost-update")
def no_lost_update(state):
    """Of two edits of the same version, only one is committed."""
    return len(set(state.history)) <= 1


@specification.invariant("report-is-true")
def report_is_true(state):
    """An edit reported as accepted is committed, one in conflict is not."""
    pairs = ((state.first, FIRST_EDIT), (state.second, SECOND_EDIT))
    return all(
        (status != "accepted" or edit in state.history)
        and (status != "conflict" or edit not in state.history)
        for status, edit in pairs
    )


@specification.step("first-commits")
def first_commits(state, guards):
    """The first operator's commit reaches the store; its response may be lost."""
    if state.first not in ("idle", "uncertain") or not state.attempts:
        return
    found = FIRST_EDIT in state.history and guards("change-id")
    if state.first == "uncertain" and found:
        yield state._replace(first="accepted")
        return
    next_state = state._replace(attempts=state.attempts - 1)
    if state.history and guards("condition"):
        yield next_state._replace(first="conflict")
        return
    committed = next_state._replace(history=(*state.history, FIRST_EDIT))
    yield committed._replace(first="accepted")
    yield committed._replace(first="uncertain")


@specification.step("first-request-lost")
def first_request_lost(state, guards):
    """The first operator's commit is lost before it reaches the store."""
    if state.first == "idle":
        yield state._replace(first="uncertain", attempts=state.attempts - 1)


@specification.step("second-commits")
def second_commits(state, guards):
    """The second operator commits."""
    if state.second == "idle":
        if state.history and guards("condition"):
            yield state._replace(second="conflict")
        else:
            history = (*state.history, SECOND_EDIT)
            yield state._replace(history=history, second="accepted")
