"""What callers were told against what the upstreams recorded themselves."""

import collections
import dataclasses

import orjson

from monsoonline.caller import CallStatus

__all__ = ["Account", "account", "largest_probe_rate", "refusal_codes"]

FAILURE_STATUS = 500
WINDOW_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Counts over all calls of a scenario.

    :param calls: number of calls
    :param ok: answered by an upstream with a status below 500
    :param failed: answered by an upstream with another status
    :param refused: refused as not run
    :param unknown: outcome unknown
    :param no_entry: no entry could be found
    :param unknown_bookings: bookings whose last word was unknown, by identity
    :param failed_lookups: lookups that were not ``ok``
    :param lost: told ``ok`` and not run to its end by any upstream
    :param doubled: bookings that ran more than once
    :param partial: ``ok`` with a body that is not complete
    :param mismatched: ``ok`` with the answer of another request
    :param not_run_but_ran: told not run while it ran
    """

    calls: int
    ok: int
    failed: int
    refused: int
    unknown: int
    no_entry: int
    unknown_bookings: int
    failed_lookups: int
    lost: int
    doubled: int
    partial: int
    mismatched: int
    not_run_but_ran: int

    @property
    def violations(self):
        """The counts that must be 0, by name, where they are not."""
        names = ("lost", "doubled", "partial", "mismatched", "not_run_but_ran")
        return {name: getattr(self, name) for name in names if getattr(self, name)}


def kind_of(call):
    """Return the name of the count that a call's result belongs to."""
    if call.result is None:
        return "no_entry"
    if call.result.call_status is CallStatus.REFUSED_NOT_RUN:
        return "refused"
    if call.result.call_status is CallStatus.UNKNOWN:
        return "unknown"
    return "ok" if call.result.status < FAILURE_STATUS else "failed"


def refusal_codes(calls):
    """Return how often each code was the last word of a lookup or booking."""
    return dict(
        collections.Counter(
            ("booking" if call.booking else "lookup") + f" {call.result.code}"
            for call in calls
            if call.result and call.result.code
        )
    )


def fault_of_body(call):
    """Return ``partial`` or ``mismatched`` for a wrong answer, otherwise ``None``."""
    try:
        document = orjson.loads(call.result.body)
        found = tuple(document[name] for name in ("identity", "path", "key"))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "partial"
    # A new key is sent only after a final refusal, so the last one was answered.
    key = call.result.keys[-1] if call.booking else None
    return None if found == (call.identity, call.target, key) else "mismatched"


def says_not_run(call):
    """Tell whether a caller may rely on it that this call did not run."""
    if kind_of(call) != "refused":
        return False
    # A lookup may be sent again after an exchange that was lost.
    return call.booking or call.result.attempts == 1


def account(calls, runs):
    """Count the calls of a scenario against the runs of all upstreams.

    :param calls: :class:`support.load.Call`
    :param runs: :class:`support.upstreams.Run`
    :returns: :class:`Account`
    """
    started = collections.Counter(run.identity for run in runs)
    completed = {run.identity for run in runs if run.completed}
    kinds = collections.Counter(kind_of(call) for call in calls)
    answered = [call for call in calls if kind_of(call) == "ok"]
    faults = collections.Counter(fault_of_body(call) for call in answered)
    bookings = {call.identity for call in calls if call.booking}
    settled = {c.identity for c in calls if c.booking and kind_of(c) != "unknown"}
    return Account(
        calls=len(calls),
        ok=kinds["ok"],
        failed=kinds["failed"],
        refused=kinds["refused"],
        unknown=kinds["unknown"],
        no_entry=kinds["no_entry"],
        unknown_bookings=len(bookings - settled),
        failed_lookups=sum(not c.booking and kind_of(c) != "ok" for c in calls),
        lost=sum(call.identity not in completed for call in answered),
        doubled=sum(started[identity] > 1 for identity in bookings),
        partial=faults["partial"],
        mismatched=faults["mismatched"],
        not_run_but_ran=sum(
            started[call.identity] > 0 for call in calls if says_not_run(call)
        ),
    )


def largest_probe_rate(probes):
    """Return the largest number of probes that started within any second.

    :param probes: :class:`support.upstreams.Run` of one upstream
    """
    instants = sorted(run.started for run in probes)
    first = largest = 0
    for last, instant in enumerate(instants):
        while instant - instants[first] >= WINDOW_MS:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
