"""What the operator changed and what callers and upstreams saw, and what it breaks."""

import bisect
import dataclasses
import time

__all__ = [
    "Bounds",
    "Change",
    "Drill",
    "Finding",
    "History",
    "IdleUse",
    "Response",
    "find_violations",
]

NOT_FOUND = 404
# Time after the exit of a process in which callers notice that it has ended.
EXIT_SLACK_S = 0.25
# Troubles after which a new process runs, which knows nothing of before.
RESTARTS = frozenset(("kill", "stop"))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Memory of a machine of the platform.
MAX_MEMORY_BYTES = 235_000_000
# Processor cores that an entry without callers may use.
MAX_IDLE_CORES = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Bounds of the platform's rules, in s.

    :param apply: time after an acknowledgement in which a version takes effect
    :param drain: the same for a leaving upstream
    :param stable: time without trouble after which an entry counts as in touch
    :param grace: time from SIGTERM until the process is killed
    """

    apply: float = 2.0
    drain: float = 2.0
    stable: float = 3.0
    grace: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One version of the configuration.

    :param sent_at: time in s at which it was sent to the store
    :param acknowledged_at: time in s at which the store accepted it
    :param routes: name of the service by prefix
    """

    sent_at: float
    acknowledged_at: float
    routes: dict


@dataclasses.dataclass(slots=True, kw_only=True)
class Drill:
    """One return of the store from an older copy.

    :param returned_at: time in s of the return
    :param kept: number of the changes that the copy includes
    :param written_again_at: time in s at which the store accepted the newest version
        again, or a newer one
    :param left_again: times in s at which the store accepted again that an upstream
        leaves, by id of each upstream whose leaving the copy lacks
    """

    returned_at: float
    kept: int
    written_again_at: float = float("inf")
    left_again: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One request as its caller saw it.

    :param entry: name of the entry
    :param request_id: id of the request
    :param prefix: prefix of its path
    :param safe: whether it may run more than once
    :param sent_at: time in s at which it was sent
    :param ended_at: time in s of the response or the end of the connection
    :param status: status of the response, ``None`` if the connection ended without one
    :param code: error code of a refusal
    :param reset: whether the caller reset its connection instead of waiting
    :param whole: whether a response with status 200 had the body of an upstream
    """

    entry: str
    request_id: str
    prefix: str
    safe: bool
    sent_at: float
    ended_at: float
    status: int | None
    code: str = ""
    reset: bool = False
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One request that an upstream ran.

    :param request_id: id of the request
    :param service: service of the upstream
    :param instance: id of the upstream
    :param started_at: time in s at which it began
    """

    request_id: str
    service: str
    instance: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleUse:
    """What an entry uses while it has neither callers nor trouble.

    :param entry: name of the entry
    :param cores: processor cores in use
    :param held: gauges of the entry's metrics that must be 0, by name
    :param peak_bytes: largest resident memory of its process, in bytes
    :param own_ends: how many of its processes ended by themselves
    """

    entry: str
    cores: float
    held: dict[str, float]
    peak_bytes: int = 0
    own_ends: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken rule.

    :param rule: name of the rule
    :param text: what was seen
    """

    rule: str
    text: str


class History:
    """Everything that happened in a soak.

    :param bounds: :class:`Bounds`
    """

    def __init__(self, *, bounds):
        self.bounds = bounds
        self.changes = []
        self.responses = []
        self.runs = []
        # Times in s at which the store acknowledged that an upstream leaves, by id.
        self.leaving = {}
        # Returns of the store from an older copy.
        self.drills = []
        # Trouble by name of the entry, ``None`` for the store: lists of start and end
        # in s, and the kind.
        self.troubles = {}
        # Planned stops by entry: lists of the times in s of SIGTERM and of the exit.
        self.stops = {}
        # What the entries use after the end of the soak.
        self.idle_uses = []

    def begin_trouble(self, entry, kind):
        """Record that an entry, or the store if ``None``, is in trouble from now on.

        :param kind: name of the kind of trouble
        :returns: the interval, whose second item is the end to be set
        """
        interval = [time.monotonic(), float("inf"), kind]
        self.troubles.setdefault(entry, []).append(interval)
        return interval

    def in_touch(self, entry, started_at, ended_at):
        """Return whether entry and store were calm from ``stable`` before to the end.

        :param started_at: time in s at which a request was sent
        :param ended_at: time in s at which it ended
        """
        since = started_at - self.bounds.stable
        return not any(
            start < ended_at and end > since
            for key in (entry, None)
            for start, end, _ in self.troubles.get(key, ())
        )

    def last_trouble(self, entry, at):
        """Return a description of the last trouble of an entry or the store."""
        before = [
            (end, kind)
            for key in (entry, None)
            for start, end, kind in self.troubles.get(key, ())
            if start <= at
        ]
        if not before:
            return "no trouble before"
        end, kind = max(before)
        if end <= at:
            return f"{kind} ended {at - end:.3f} s before"
        start = max(
            start
            for key in (entry, None)
            for start, later, _ in self.troubles.get(key, ())
            if start <= at < later
        )
        return f"{kind} lasts since {at - start:.3f} s"

    def versions_in_force(self, sent_at, ended_at):
        """Return the changes by which a request may be handled.

        After a drill, these include the version of the copy until the bound has passed
        from the second acknowledgement on.
        """
        acknowledged = [c.acknowledged_at for c in self.changes]
        first = bisect.bisect_right(acknowledged, sent_at - self.bounds.apply) - 1
        for drill in self.drills:
            if (
                drill.returned_at <= ended_at
                and sent_at < drill.written_again_at + self.bounds.apply
            ):
                first = min(first, drill.kept - 1)
        return [
            change
            for index, change in enumerate(self.changes)
            if index >= first and change.sent_at <= ended_at
        ]

    def has_learned(self, entry, left_at, at):
        """Return whether an entry must know of an upstream's leaving by itself.

        It was in touch while the bound passed, and the same process has run since.

        :param left_at: time in s of the acknowledgement
        :param at: time in s at which it is asked
        """
        return self.in_touch(entry, left_at, left_at + self.bounds.drain) and not any(
            kind in RESTARTS and left_at < end and start < at
            for start, end, kind in self.troubles.get(entry, ())
        )

    def leaving_in_force(self, instance, response):
        """Return the time in s from which an entry is bound by an upstream's leaving.

        A drill excuses only an entry that could not know of the leaving before, and
        only until the second acknowledgement.

        :param instance: id of the upstream
        :param response: :class:`Response` of the request
        :returns: the time, ``None`` if the upstream does not leave
        """
        left_at = self.leaving.get(instance)
        if left_at is None or self.has_learned(
            response.entry, left_at, response.sent_at
        ):
            return left_at
        again = [
            drill.left_again[instance]
            for drill in self.drills
            if instance in drill.left_again and drill.returned_at <= response.ended_at
        ]
        return max([left_at, *again])


def find_violations(history):
    """Return the :class:`Finding` items of a history."""
    runs = {}
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
    findings = []
    known = set()
    for response in history.responses:
        known.add(response.request_id)
        own_runs = runs.get(response.request_id, [])
        for check in (check_configuration, check_runs, check_stop, check_drain):
            findings += check(history, response, own_runs)
    for request_id in runs.keys() - known:
        findings.append(
            Finding(rule="UNASKED", text=f"{request_id} was sent by no caller")
        )
    for use in history.idle_uses:
        findings += check_idle_use(use)
    return findings


def check_idle_use(use):
    """Yield findings on an entry's processes, and on what it keeps for lost callers."""
    if use.own_ends:
        yield Finding(
            rule="Fault", text=f"{use.entry} ended by itself {use.own_ends} times"
        )
    if use.peak_bytes > MAX_MEMORY_BYTES:
        yield Finding(
            rule="Fault",
            text=f"{use.entry} used {use.peak_bytes} bytes of memory, at most "
            f"{MAX_MEMORY_BYTES} are allowed",
        )
    if use.cores >= MAX_IDLE_CORES:
        yield Finding(
            rule="IDLE",
            text=f"{use.entry} uses {use.cores:.3f} cores without any caller, "
            f"expected less than {MAX_IDLE_CORES}",
        )
    held = {name: value for name, value in use.held.items() if value}
    if held:
        yield Finding(rule="IDLE", text=f"{use.entry} holds {held} without any caller")


def check_configuration(history, response, runs):
    """Yield findings on a request that was handled as only an older version allows."""
    versions = history.versions_in_force(response.sent_at, response.ended_at)
    services = {change.routes.get(response.prefix) for change in versions}
    if response.status == NOT_FOUND and None not in services:
        wrong = "404"
    else:
        wrong = ", ".join(
            f"run by {run.service}" for run in runs if run.service not in services
        )
    if not wrong:
        return
    age = response.sent_at - newest_acknowledgement(history, response)
    touched = history.in_touch(response.entry, response.sent_at, response.ended_at)
    yield Finding(
        rule="CONFIG" if touched else "CONFIG (out of touch)",
        text=f"{response.entry} {response.request_id} {response.prefix} sent at "
        f"{response.sent_at:.3f}: {wrong}; in force {sorted(map(str, services))}, "
        f"newest version acknowledged {age:.3f} s before, "
        f"{history.last_trouble(response.entry, response.sent_at)}",
    )


def newest_acknowledgement(history, response):
    """Return the time in s at which the newest change before a request took effect."""
    before = [
        c.acknowledged_at
        for c in history.changes
        if c.acknowledged_at <= response.sent_at - history.bounds.apply
    ]
    return before[-1] if before else float("nan")


def check_runs(history, response, runs):
    """Yield findings on how often a request ran, compared with its response."""
    ran = f"{response.entry} {response.request_id} {response.status}"
    if not response.whole:
        yield Finding(rule="MIXED", text=f"{ran} without the body of an upstream")
    if len(runs) > 1 and not response.safe:
        yield Finding(rule="TWICE", text=f"{ran} ran {len(runs)} times")
    if runs and not response.safe and response.status in NOT_RUN_STATUSES:
        yield Finding(rule="REFUSED", text=f"{ran} ran all the same")


def check_stop(history, response, runs):
    """Yield findings on requests that a planned stop cut off.

    Requests that end later were taken by the next process of the entry.
    """
    if response.status is not None or response.reset or not runs:
        return
    for stopped_at, exited_at in history.stops.get(response.entry, ()):
        if stopped_at <= response.ended_at <= exited_at + EXIT_SLACK_S:
            yield Finding(
                rule="LOST",
                text=f"{response.entry} {response.request_id} sent "
                f"{response.sent_at - stopped_at:.3f} s after SIGTERM was cut off "
                f"{response.ended_at - stopped_at:.3f} s after it, "
                f"{history.last_trouble(response.entry, response.ended_at)}",
            )


def check_drain(history, response, runs):
    """Yield findings on requests that reached an upstream too long after its notice."""
    for run in runs:
        left_at = history.leaving_in_force(run.instance, response)
        if left_at is None or response.sent_at <= left_at + history.bounds.drain:
            continue
        if history.in_touch(response.entry, response.sent_at, response.ended_at):
            yield Finding(
                rule="DRAIN",
                text=f"{response.entry} {response.request_id} reached {run.instance} "
                f"{run.started_at - left_at:.3f} s after its leaving",
            )
