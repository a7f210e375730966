"""Specification of at-most-once execution of the request with one idempotency key.

The owner is the entry incarnation that issued the key. Copies of the request reach
the owner and one other entry in any order. The owner may pause, stop gracefully with
a handover, crash, and be replaced at the same address.
"""

from typing import NamedTuple

from monsoonline.verify.specification import Specification, specifications

__all__ = ["specification"]

# Copies in transit to upstreams and executions. Keeps the model finite when the
# no-resend guard is disabled.
MAX_IN_TRANSIT = 2
FINISHED = "finished"
REFUSED = "refused"


class State(NamedTuple):
    """Global state concerning one key.

    :param owner: ``up``, ``paused``, ``closed`` (starts no more keys) or ``gone``
    :param buffered: copies in the owner's input buffers
    :param elsewhere: copies received by the other entry
    :param record: ``none``, ``open``, ``sent``, ``finished`` or ``refused``
    :param transit: copies in transit to an upstream
    :param runs: number of executions by upstreams
    :param expired: whether the key's window is older than the retention time
    :param query: ``none``, ``asked`` or the reply of the owner to the other entry
    :param handover: ``none``, or the key's state that the owner handed to its peers
    :param said_not_run: whether a caller received the outcome "not run"
    :param sends: copies that the caller may still send
    """

    owner: str = "up"
    buffered: int = 0
    elsewhere: int = 0
    record: str = "none"
    transit: int = 0
    runs: int = 0
    expired: bool = False
    query: str = "none"
    handover: str = "none"
    said_not_run: bool = False
    sends: int = 3


specification = Specification(
    name="at-most-once",
    initial=State(),
    bounds="one key, 3 copies, 2 entries, 1 successor incarnation",
)
specifications.register("at-most-once")(specification)

GUARDS = {
    "record-check": "a key with a record is never started again",
    "final-refusal": "a not-run refusal leaves a record, so the key never starts later",
    "tombstone": "the owner records a tombstone before it replies that a key never "
    "started",
    "unreachable-is-unknown": "without a reply from the owner the outcome is unknown",
    "owner-only": "only the incarnation named in the key may start it",
    "fresh-incarnation": "a restarted process has a new incarnation",
    "window-check": "keys whose records may have been evicted are not started",
    "no-resend": "a request that may have reached an upstream is not sent again",
    "certificate-required": "only a certified upstream refusal counts as not run",
    "closed-starts-nothing": "a closed incarnation starts no keys",
    "handover-after-drain": "a key that is running at the handover is not reported as "
    "never started",
}
for guard_name, description in GUARDS.items():
    specification.guard(guard_name, description)


@specification.invariant("runs-at-most-once")
def runs_at_most_once(state):
    """No key is executed twice."""
    return state.runs <= 1


@specification.invariant("not-run-is-true")
def not_run_is_true(state):
    """A request reported as not run has not run and never runs later."""
    return not (state.said_not_run and state.runs)


@specification.step("send-to-owner")
def send_to_owner(state, guards):
    """The caller sends a copy to the owner."""
    if state.sends and state.buffered < 2 and state.owner != "gone":
        yield state._replace(sends=state.sends - 1, buffered=state.buffered + 1)


@specification.step("send-elsewhere")
def send_elsewhere(state, guards):
    """The caller sends a copy to another entry."""
    if state.sends and not state.elsewhere:
        yield state._replace(sends=state.sends - 1, elsewhere=1)


@specification.step("pause")
def pause(state, guards):
    """The owner process is suspended without warning."""
    if state.owner == "up":
        yield state._replace(owner="paused")


@specification.step("resume")
def resume(state, guards):
    """The owner process continues, unaware of the pause."""
    if state.owner == "paused":
        yield state._replace(owner="up")


@specification.step("begin")
def begin(state, guards):
    """The owner starts the request and creates the record of the key."""
    starting_states = ("up",) if guards("closed-starts-nothing") else ("up", "closed")
    if state.owner not in starting_states or not state.buffered:
        return
    if state.expired and guards("window-check"):
        return
    if state.record == "none" or not guards("record-check"):
        yield state._replace(buffered=state.buffered - 1, record="open")


@specification.step("repeat")
def repeat(state, guards):
    """A duplicate gets the recorded result, or times out with an unknown outcome."""
    if state.owner in ("up", "closed") and state.buffered and state.record != "none":
        refused = state.said_not_run or state.record == REFUSED
        yield state._replace(buffered=state.buffered - 1, said_not_run=refused)


@specification.step("refuse-expired")
def refuse_expired(state, guards):
    """The owner reports an unknown outcome for a key with an expired window."""
    if state.owner in ("up", "closed") and state.buffered and state.expired:
        yield state._replace(buffered=state.buffered - 1)


@specification.step("refuse-full")
def refuse_full(state, guards):
    """The owner reports an unknown outcome for a new key when the ledger is full."""
    if state.owner in ("up", "closed") and state.buffered and state.record == "none":
        yield state._replace(buffered=state.buffered - 1)


@specification.step("refuse-closed")
def refuse_closed(state, guards):
    """A closed owner refuses a key without a record as not run."""
    if state.owner != "closed" or not state.buffered or state.expired:
        return
    if state.record == "none":
        yield state._replace(buffered=state.buffered - 1, said_not_run=True)


@specification.step("refuse")
def refuse(state, guards):
    """The owner refuses before sending: no free slot, or the deadline has passed."""
    if state.owner in ("up", "closed") and state.record == "open":
        record = REFUSED if guards("final-refusal") else "none"
        yield state._replace(record=record, said_not_run=True)


@specification.step("forward")
def forward(state, guards):
    """The owner sends the request to an upstream."""
    if state.transit >= MAX_IN_TRANSIT or state.runs >= MAX_IN_TRANSIT:
        return
    if state.owner in ("up", "closed") and state.record == "open":
        yield state._replace(record="sent", transit=state.transit + 1)


@specification.step("execute")
def execute(state, guards):
    """An upstream executes a copy."""
    if state.transit:
        yield state._replace(transit=state.transit - 1, runs=state.runs + 1)


@specification.step("lose")
def lose(state, guards):
    """A copy is lost in transit to the upstream."""
    if state.transit:
        yield state._replace(transit=state.transit - 1)


@specification.step("finish")
def finish(state, guards):
    """The owner receives the response and records it."""
    if state.owner in ("up", "closed") and state.record == "sent" and state.runs:
        yield state._replace(record=FINISHED)


@specification.step("lose-connection")
def lose_connection(state, guards):
    """The connection fails after sending; an unknown outcome is recorded."""
    if state.owner in ("up", "closed") and state.record == "sent":
        record = FINISHED if guards("no-resend") else "open"
        yield state._replace(record=record)


@specification.step("receive-bare-refusal")
def receive_bare_refusal(state, guards):
    """The upstream or an intermediary refuses without certifying not-run."""
    if state.owner in ("up", "closed") and state.record == "sent":
        if guards("certificate-required"):
            yield state._replace(record=FINISHED)
        else:
            yield state._replace(record=REFUSED, said_not_run=True)


@specification.step("receive-certified-refusal")
def receive_certified_refusal(state, guards):
    """The upstream certifies that it did not run the copy, so a retry is allowed."""
    if state.owner in ("up", "closed") and state.record == "sent" and state.transit:
        yield state._replace(record="open", transit=state.transit - 1)


@specification.step("expire")
def expire(state, guards):
    """The key's window exceeds the retention time; a settled record is evicted."""
    if not state.expired:
        evicted = state.record in (FINISHED, REFUSED)
        yield state._replace(expired=True, record="none" if evicted else state.record)


@specification.step("evict")
def evict(state, guards):
    """A record that is settled after the retention time is evicted."""
    if state.expired and state.record in (FINISHED, REFUSED):
        yield state._replace(record="none")


@specification.step("query")
def query(state, guards):
    """The other entry queries the owner about the key of its copy."""
    if state.elsewhere and state.query == "none":
        if guards("owner-only"):
            yield state._replace(query="asked")
        else:
            yield state._replace(elsewhere=0, transit=state.transit + 1)


@specification.step("reply")
def reply(state, guards):
    """The owner replies; it first records a tombstone for a key never started.

    A closed owner needs no tombstone, because it starts no more keys.
    """
    if state.owner not in ("up", "closed") or state.query != "asked":
        return
    if state.record != "none":
        settled = state.record in (FINISHED, REFUSED)
        yield state._replace(query=state.record if settled else "unknown")
    elif state.expired:
        yield state._replace(query="unknown")
    else:
        adds_tombstone = guards("tombstone") and state.owner == "up"
        record = REFUSED if adds_tombstone else "none"
        yield state._replace(query=REFUSED, record=record)


@specification.step("receive-reply")
def receive_reply(state, guards):
    """The other entry reports the owner's reply to its caller."""
    if state.query not in ("none", "asked"):
        refused = state.said_not_run or state.query == REFUSED
        yield state._replace(elsewhere=0, query="none", said_not_run=refused)


@specification.step("query-timeout")
def query_timeout(state, guards):
    """No reply arrives in time: the owner is paused or gone, or a message is lost."""
    if state.query != "none":
        refused = state.said_not_run or not guards("unreachable-is-unknown")
        yield state._replace(elsewhere=0, query="none", said_not_run=refused)


@specification.step("close")
def close(state, guards):
    """The owner begins a graceful stop."""
    if state.owner == "up":
        yield state._replace(owner="closed")


@specification.step("hand-over")
def hand_over(state, guards):
    """The owner sends its peers its records and the notice that it is closed."""
    if state.owner != "closed" or state.handover != "none":
        return
    if state.record in ("open", "sent"):
        # A forced stop hands over running keys, whose outcome is unknown.
        guarded = guards("handover-after-drain")
        yield state._replace(handover="unknown" if guarded else REFUSED)
    elif state.record == FINISHED:
        yield state._replace(handover=FINISHED)
    elif state.expired:
        yield state._replace(handover="unknown")
    else:
        yield state._replace(handover=REFUSED)


@specification.step("ask-successor")
def ask_successor(state, guards):
    """The other entry finds the key in the records handed over to it or a peer."""
    if state.elsewhere and state.query == "none" and state.handover != "none":
        refused = state.said_not_run or state.handover == REFUSED
        yield state._replace(elsewhere=0, said_not_run=refused)


@specification.step("stop")
def stop(state, guards):
    """The owner process ends, planned or by a crash, and loses its buffers."""
    if state.owner != "gone":
        yield state._replace(owner="gone", buffered=0, record="none")


@specification.step("restart")
def restart(state, guards):
    """A new process starts at the address of the owner."""
    if state.owner == "gone" and not guards("fresh-incarnation"):
        yield state._replace(owner="up", expired=False)
