"""Specification of leaving upstreams and of gracefully stopping entries."""

from typing import NamedTuple

from monsoonline.verify.specification import Specification, specifications

__all__ = ["drain_specification", "stop_specification"]

# Time units after the notice within which gossip and the VM list reach all entries.
PROPAGATION_UNITS = 2
LAST_UNIT = 4


class DrainState(NamedTuple):
    """One upstream that leaves and two entries.

    :param units: time units since the upstream began to leave, -1 before
    :param knows: whether each entry knows that it leaves
    :param ready: whether each entry serves callers
    :param queued: whether each entry has a request picked for the upstream
    :param late: whether work was sent after the propagation time
    :param informed_send: whether an entry sent work that knew of the drain
    """

    units: int = -1
    knows: tuple = (False, False)
    ready: tuple = (True, True)
    queued: tuple = (False, False)
    late: bool = False
    informed_send: bool = False


def put(values, index, value):
    """Return a tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


drain_specification = Specification(
    name="drains", initial=DrainState(), bounds="1 upstream, 2 entries, 4 time units"
)
specifications.register("drains")(drain_specification)
drain_specification.guard("check-at-send", "a queued pick is checked again when sent")
drain_specification.guard(
    "items-before-ready", "a starting entry has its peers' drain items before it serves"
)
drain_specification.guard("spread", "an entry that learns of a drain tells its peers")


@drain_specification.invariant("no-late-work")
def no_late_work(state):
    """A leaving upstream gets no new work after the propagation time."""
    return not state.late


@drain_specification.invariant("no-informed-work")
def no_informed_work(state):
    """An entry that knows of the drain sends no new work."""
    return not state.informed_send


@drain_specification.step("leave")
def leave(state, guards):
    """The upstream begins to leave."""
    if state.units < 0:
        yield state._replace(units=0)


@drain_specification.step("notice")
def notice(state, guards):
    """An entry sees the drain mark in a response, or the VM list shows it."""
    if state.units >= 0:
        for index in (0, 1):
            yield state._replace(knows=put(state.knows, index, True))


@drain_specification.step("pick")
def pick(state, guards):
    """An entry picks the upstream for a queued request."""
    for index in (0, 1):
        if state.ready[index] and not state.knows[index]:
            yield state._replace(queued=put(state.queued, index, True))


@drain_specification.step("send")
def send(state, guards):
    """An entry sends its queued request."""
    for index in (0, 1):
        if not state.queued[index]:
            continue
        following = state._replace(queued=put(state.queued, index, False))
        if state.knows[index] and guards("check-at-send"):
            yield following
            continue
        yield following._replace(
            late=state.late or state.units > PROPAGATION_UNITS,
            informed_send=state.informed_send or state.knows[index],
        )


@drain_specification.step("restart-entry")
def restart_entry(state, guards):
    """An entry is replaced and has forgotten the drain."""
    for index in (0, 1):
        yield state._replace(
            knows=put(state.knows, index, False),
            ready=put(state.ready, index, False),
            queued=put(state.queued, index, False),
        )


@drain_specification.step("entry-ready")
def entry_ready(state, guards):
    """A starting entry takes its peer's items and serves."""
    for index in (0, 1):
        if not state.ready[index]:
            knows = state.knows[index]
            if guards("items-before-ready"):
                # The VM list shows the drain after the propagation time.
                listed = state.units >= PROPAGATION_UNITS
                knows = knows or state.knows[1 - index] or listed
            yield state._replace(
                ready=put(state.ready, index, True),
                knows=put(state.knows, index, knows),
            )


@drain_specification.step("time-passes")
def time_passes(state, guards):
    """One time unit passes; its propagation is complete at the bound."""
    if not 0 <= state.units < LAST_UNIT:
        return
    following = state._replace(units=state.units + 1)
    if following.units == PROPAGATION_UNITS:
        if not any(state.knows):
            return
        if guards("spread"):
            following = following._replace(knows=state.ready)
    yield following


class StopState(NamedTuple):
    """One entry that stops and one caller.

    :param phase: ``serving``, ``leaving``, ``draining`` or ``stopped``
    :param answer: discovery answer held by the caller: ``none``, ``valid``, ``expired``
    :param request: ``none``, ``idle`` (connection kept alive), ``running``
    :param cut: whether a request was interrupted or met a closed port
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
    "wait-for-expiry", "the port stays open until handed-out answers have expired"
)
stop_specification.guard(
    "close-between-requests", "a connection is closed only after an answer said so"
)
stop_specification.guard(
    "finish-in-flight", "the process ends after the last request has been answered"
)
stop_specification.guard(
    "leaving-not-listed", "a leaving entry is left out of discovery answers"
)


@stop_specification.invariant("nothing-cut")
def nothing_cut(state):
    """No request is interrupted by a planned stop."""
    return not state.cut


@stop_specification.step("discover")
def discover(state, guards):
    """The caller receives an answer that lists the entry."""
    listed = state.phase == "serving" or not guards("leaving-not-listed")
    if listed and state.phase != "stopped" and state.request == "none":
        yield state._replace(answer="valid")


@stop_specification.step("expire")
def expire(state, guards):
    """The caller's discovery answer expires."""
    if state.answer == "valid":
        yield state._replace(answer="expired")


@stop_specification.step("connect")
def connect(state, guards):
    """The caller connects and sends a request while its answer is valid."""
    if state.answer == "valid" and state.request == "none":
        if state.phase in ("serving", "leaving"):
            yield state._replace(request="running")
        else:
            yield state._replace(cut=True)


@stop_specification.step("send-again")
def send_again(state, guards):
    """The caller sends a further request on its kept-alive connection."""
    if state.request == "idle":
        yield state._replace(request="running")


@stop_specification.step("respond")
def respond(state, guards):
    """The entry responds; while draining the response closes the connection."""
    if state.request == "running":
        kept = "idle" if state.phase in ("serving", "leaving") else "none"
        yield state._replace(request=kept)


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
    """The entry closes a connection while a request may be on its way."""
    closes = not guards("close-between-requests")
    if closes and state.phase == "draining" and state.request == "idle":
        yield state._replace(request="none", cut=True)


@stop_specification.step("caller-closes")
def caller_closes(state, guards):
    """The caller closes its idle connection when its answer has expired."""
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
