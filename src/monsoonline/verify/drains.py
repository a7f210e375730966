"""Specifications of upstream drains and of graceful stops of entries."""

from typing import NamedTuple

from monsoonline.verify.specification import Specification, specifications

__all__ = ["drain_specification", "stop_specification"]

# Time units after the start of a drain within which gossip and the VM list have
# informed all entries.
PROPAGATION_TIME_UNITS = 2
MAX_TIME_UNITS = 4


class DrainState(NamedTuple):
    """State of one leaving upstream and two entries.

    :param units: time units since the start of the drain, -1 before
    :param knows: for each entry, whether it knows of the drain
    :param ready: for each entry, whether it serves callers
    :param queued: for each entry, whether a queued request is assigned to the upstream
    :param late: whether a request was sent after the propagation time
    :param informed_send: whether an entry that knew of the drain sent a request
    """

    units: int = -1
    knows: tuple = (False, False)
    ready: tuple = (True, True)
    queued: tuple = (False, False)
    late: bool = False
    informed_send: bool = False


def replace_element(values, index, value):
    """Return a copy of a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


drain_specification = Specification(
    name="drains", initial=DrainState(), bounds="1 upstream, 2 entries, 4 time units"
)
specifications.register("drains")(drain_specification)
drain_specification.guard(
    "check-at-send", "a queued assignment is checked again before sending"
)
drain_specification.guard(
    "items-before-ready",
    "a starting entry receives its peers' drain items before it serves",
)
drain_specification.guard("spread", "an entry that learns of a drain informs its peers")


@drain_specification.invariant("no-late-work")
def no_late_work(state):
    """No request is sent to a leaving upstream after the propagation time."""
    return not state.late


@drain_specification.invariant("no-informed-work")
def no_informed_work(state):
    """An entry that knows of the drain sends no requests to the upstream."""
    return not state.informed_send


@drain_specification.step("leave")
def leave(state, guards):
    """The upstream starts to drain."""
    if state.units < 0:
        yield state._replace(units=0)


@drain_specification.step("notice")
def notice(state, guards):
    """An entry learns of the drain from a response header or the VM list."""
    if state.units >= 0:
        for index in (0, 1):
            yield state._replace(knows=replace_element(state.knows, index, True))


@drain_specification.step("pick")
def pick(state, guards):
    """An entry assigns a queued request to the upstream."""
    for index in (0, 1):
        if state.ready[index] and not state.knows[index]:
            yield state._replace(queued=replace_element(state.queued, index, True))


@drain_specification.step("send")
def send(state, guards):
    """An entry sends its queued request."""
    for index in (0, 1):
        if not state.queued[index]:
            continue
        next_state = state._replace(queued=replace_element(state.queued, index, False))
        if state.knows[index] and guards("check-at-send"):
            yield next_state
            continue
        yield next_state._replace(
            late=state.late or state.units > PROPAGATION_TIME_UNITS,
            informed_send=state.informed_send or state.knows[index],
        )


@drain_specification.step("restart-entry")
def restart_entry(state, guards):
    """An entry is replaced by one that does not know of the drain."""
    for index in (0, 1):
        yield state._replace(
            knows=replace_element(state.knows, index, False),
            ready=replace_element(state.ready, index, False),
            queued=replace_element(state.queued, index, False),
        )


@drain_specification.step("entry-ready")
def entry_ready(state, guards):
    """A starting entry receives its peer's drain items and becomes ready."""
    for index in (0, 1):
        if not state.ready[index]:
            knows = state.knows[index]
            if guards("items-before-ready"):
                # After the propagation time the VM list shows the drain.
                listed = state.units >= PROPAGATION_TIME_UNITS
                knows = knows or state.knows[1 - index] or listed
            yield state._replace(
                ready=replace_element(state.ready, index, True),
                knows=replace_element(state.knows, index, knows),
            )


@drain_specification.step("time-passes")
def time_passes(state, guards):
    """One time unit passes; at the propagation time all ready entries are informed."""
    if not 0 <= state.units < MAX_TIME_UNITS:
        return
    next_state = state._replace(units=state.units + 1)
    if next_state.units == PROPAGATION_TIME_UNITS:
        if not any(state.knows):
            return
        if guards("spread"):
            next_state = next_state._replace(knows=state.ready)
    yield next_state


class StopState(NamedTuple):
    """State of one stopping entry and one caller.

    :param phase: ``serving``, ``leaving``, ``draining`` or ``stopped``
    :param answer: discovery response held by the caller: ``none``, ``valid`` or
        ``expired``
    :param request: ``none``, ``idle`` (connection kept alive) or ``running``
    :param cut: whether a request was interrupted or its connection refused
    """

    phase: str = "serving"
    answer: str = "none"
    request: str = "none"
    cut: bool = False


stop_specification = Specification(
    name="graceful-stop", initial=StopState(), bounds="1 entry, 1 caller"
)
specifications.register("graceful-stop")(stop_specification)
stop_specification.guard(
    "wait-for-expiry", "the port stays open until all discovery responses have expired"
)
stop_specification.guard(
    "close-between-requests",
    "a connection is closed only after a response announced it",
)
stop_specification.guard(
    "finish-in-flight", "the process ends after the response to the last request"
)
stop_specification.guard(
    "leaving-not-listed", "discovery responses do not list a leaving entry"
)


@stop_specification.invariant("nothing-cut")
def nothing_cut(state):
    """No request is interrupted by a planned stop."""
    return not state.cut


@stop_specification.step("discover")
def discover(state, guards):
    """The caller receives a discovery response that lists the entry."""
    listed = state.phase == "serving" or not guards("leaving-not-listed")
    if listed and state.phase != "stopped" and state.request == "none":
        yield state._replace(answer="valid")


@stop_specification.step("expire")
def expire(state, guards):
    """The caller's discovery response expires."""
    if state.answer == "valid":
        yield state._replace(answer="expired")


@stop_specification.step("connect")
def connect(state, guards):
    """With a valid discovery response, the caller connects and sends a request."""
    if state.answer == "valid" and state.request == "none":
        if state.phase in ("serving", "leaving"):
            yield state._replace(request="running")
        else:
            yield state._replace(cut=True)


@stop_specification.step("send-again")
def send_again(state, guards):
    """The caller sends another request on its kept-alive connection."""
    if state.request == "idle":
        yield state._replace(request="running")


@stop_specification.step("respond")
def respond(state, guards):
    """The entry responds; while draining, it then closes the connection."""
    if state.request == "running":
        next_request_state = "idle" if state.phase in ("serving", "leaving") else "none"
        yield state._replace(request=next_request_state)


@stop_specification.step("leave")
def leave_service(state, guards):
    """The entry receives SIGTERM."""
    if state.phase == "serving":
        yield state._replace(phase="leaving")


@stop_specification.step("drain")
def drain(state, guards):
    """The entry stops accepting connections."""
    expired = state.answer != "valid" or not guards("wait-for-expiry")
    if state.phase == "leaving" and expired:
        yield state._replace(phase="draining")


@stop_specification.step("close-idle")
def close_idle(state, guards):
    """The entry closes an idle connection while a request may be in transit."""
    may_close = not guards("close-between-requests")
    if may_close and state.phase == "draining" and state.request == "idle":
        yield state._replace(request="none", cut=True)


@stop_specification.step("caller-closes")
def caller_closes(state, guards):
    """Without a valid discovery response, the caller closes its idle connection."""
    if state.request == "idle" and state.answer != "valid":
        yield state._replace(request="none")


@stop_specification.step("stop")
def stop(state, guards):
    """The process ends."""
    if state.phase == "draining":
        if state.request == "none":
            yield state._replace(phase="stopped")
        elif not guards("finish-in-flight"):
            yield state._replace(phase="stopped", cut=True)
