"""Reconstructs the history of one request from log lines of several entries."""

import dataclasses
import json

__all__ = ["Explanation", "Step", "explain", "parse_lines"]

DECISION_LOGGER = "monsoonline.decision_log"
# Members of a log line that are not fields of the decision event.
NON_EVENT_FIELDS = frozenset(
    ("time", "level", "logger", "message", "entry", "request", "step", "at_ms")
)
# Slowdown above which an upstream is reported as slow; 1 is the usual service time.
SLOWDOWN_THRESHOLD = 1.5
REFUSAL_CAUSES = {
    "overload": "no upstream was expected to respond in time; the request did not run",
    "no-upstream": "no upstream of the pool was reachable; the request did not run",
    "held": "all upstreams of the pool wanted no requests for a time; "
    "the request did not run",
    "unreachable": "the upstream was not reachable; the request did not run",
    "no-tables": "the entry had no configuration yet; the request did not run",
    "entry-starting": "the entry had just started and might have had an old "
    "configuration; the request did not run",
    "entry-stopping": "the entry might have ended before the request; it did not run",
    "no-route": "no route matches the request; it did not run",
    "no-pool": "the pool of the route does not exist; the request did not run",
    "deadline": "no response arrived before the deadline of the caller or route",
    "connection-lost": "the connection to the last upstream was lost; "
    "the request may have run",
    "timed-out": "the last upstream sent no complete response in time; "
    "the request may have run",
    "broken": "the last upstream sent an invalid response; the request may have run",
    "not-run": "the last upstream certified that the request did not run",
    "misdirected": "the request reached the wrong upstream; it did not run",
    "caller-gone": "the caller closed the connection",
    "crashing-request": "the request was in flight during several upstream crashes",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One decision on a request.

    :param time: wall-clock time of the entry, which may differ between entries
    :param entry: name of the entry
    :param number: position among the entry's decisions on the request, from 1
    :param at_ms: milliseconds since the entry read the request
    :param message: kind of the decision
    :param fields: inputs and outcome of the decision by name
    """

    time: str
    entry: str
    number: int
    at_ms: float
    message: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """All decisions on one request, in order.

    :param request: id of the request
    :param steps: :class:`Step` items
    :param cause: why the request ended as it did, as a short phrase
    """

    request: str
    steps: tuple[Step, ...]
    cause: str


def parse_lines(lines):
    """Yield the JSON objects in log lines.

    Text before the first brace of a line, such as the prefix of a log collector, and
    lines without a JSON object are skipped.

    :param lines: iterable of text lines
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(document, dict):
            yield document


def explain(request, lines):
    """Return the :class:`Explanation` of a request, ``None`` without log lines.

    :param request: id of the request
    :param lines: iterable of text lines of one or more entries
    """
    steps = [
        parse_step(document)
        for document in parse_lines(lines)
        if document.get("logger") == DECISION_LOGGER
        and document.get("request") == request
    ]
    if not steps:
        return None
    steps.sort(key=lambda step: (step.entry, step.number, step.time))
    return Explanation(request=request, steps=tuple(steps), cause=find_cause(steps))


def parse_step(document):
    """Return the :class:`Step` in a decision log line."""
    return Step(
        time=document.get("time", ""),
        entry=document.get("entry", ""),
        number=document.get("step", 0),
        at_ms=document.get("at_ms", 0.0),
        message=document.get("message", ""),
        fields={k: v for k, v in document.items() if k not in NON_EVENT_FIELDS},
    )


def find_cause(steps):
    """Return a short phrase that says why a request ended as it did."""
    end = last_step(steps, "request ended")
    if end is None:
        return "the log lines end before the request ends"
    refused = last_step(steps, "request refused")
    if refused is not None:
        code = refused.fields.get("code")
        cause = REFUSAL_CAUSES.get(code, refused.fields.get("reason", ""))
        return f"refused with {refused.fields.get('status')} ({code}): {cause}"
    status = end.fields.get("status")
    attempt = last_step(steps, "attempt ended")
    if isinstance(status, int) and status >= 500 and attempt is not None:
        return f"upstream {attempt.fields.get('upstream')} answered with {status}"
    took_ms, goal_ms = end.fields.get("took_ms"), end.fields.get("goal_ms")
    if took_ms is None or goal_ms is None or took_ms <= goal_ms:
        return f"answered with {status} within its latency objective"
    late = (
        f"answered with {status} after {took_ms:.0f} ms, "
        f"latency objective {goal_ms:.0f} ms"
    )
    return f"{late}: {find_lateness_cause(steps)}"


def find_lateness_cause(steps):
    """Return a short phrase that says why a request missed its latency objective."""
    chosen = [step for step in steps if step.message == "upstream chosen"]
    if len(chosen) > 1:
        upstreams = ", ".join(str(step.fields.get("upstream")) for step in chosen)
        return f"{len(chosen)} attempts, at {upstreams}"
    if not chosen:
        return "no attempt was sent"
    fields = chosen[0].fields
    slowdown, running, slots = (fields.get(k, 0) for k in ("pace", "running", "slots"))
    upstream = f"upstream {fields.get('upstream')}"
    if slowdown > SLOWDOWN_THRESHOLD:
        return f"{upstream} took {slowdown} times the usual time when it was chosen"
    if running >= slots:
        return f"{upstream} had {running} requests on {slots} slots when it was chosen"
    return (
        f"{upstream} was neither slow nor full when it was chosen; it slowed down later"
    )


def last_step(steps, message):
    """Return the last step with a message, ``None`` without one."""
    return next((s for s in reversed(steps) if s.message == message), None)
