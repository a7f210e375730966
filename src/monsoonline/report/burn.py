"""The service-level burn report over all entries.

An entry that cannot be reached leaves the figures incomplete. The report says so in
every form and bounds what is missing, as the Cells V2 Manifesto (OpenStack Nova)
marks partial results when one of its databases fails.
"""

import dataclasses

from monsoonline.core.service_levels import WINDOWS_MS, RouteWindows
from monsoonline.report.reader import read_entries

__all__ = ["BurnReport", "Budget", "EntrySample", "collect", "make_report"]

SERVICE_LEVELS_PATH = "/v1/service-levels"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySample:
    """What one entry reported.

    :param address: ``host:port`` of its operations port
    :param error: why it could not be read, ``""`` when it could
    :param history_ms: time that its counts cover
    :param routes: its counts
    """

    address: str
    error: str = ""
    history_ms: float = 0.0
    routes: tuple[RouteWindows, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """Error budget of a route or a department.

    :param name: name of the route or department
    :param department: owner
    :param objective: share of requests that shall succeed
    :param requests: requests in the longest window
    :param budget_left: share of the error budget left in the longest window, below
        zero when it is overspent; ``None`` without requests
    :param burn_rates: for each window the rate at which the budget is spent, 1.0
        spends it exactly; ``None`` without requests
    :param worst_burn_rates: the same if every request at the unreachable entries
        had failed, and these had served as many as the others on average
    """

    name: str
    department: str
    objective: float
    requests: int
    budget_left: float | None
    burn_rates: tuple[float | None, ...]
    worst_burn_rates: tuple[float | None, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BurnReport:
    """Burn rates of all routes and departments.

    :param windows_ms: the windows
    :param reached: addresses of the entries that answered
    :param unreached: address and reason for the others
    :param shortest_history_ms: least time covered by an entry that answered
    :param routes: one budget for each route
    :param departments: one budget for each department
    """

    windows_ms: tuple[float, ...]
    reached: tuple[str, ...]
    unreached: tuple[tuple[str, str], ...]
    shortest_history_ms: float
    routes: tuple[Budget, ...]
    departments: tuple[Budget, ...]

    @property
    def complete(self):
        """Whether every entry answered."""
        return not self.unreached


@dataclasses.dataclass(slots=True, kw_only=True)
class Totals:
    """Sums over entries of one route, or over routes of one department."""

    department: str
    objective: float
    totals: list[int]
    allowed: list[float]
    bad: list[int]


def collect(addresses, *, timeout_ms=2000.0):
    """Read the counts of entries in parallel.

    :param addresses: ``host:port`` of the entries' operations ports
    :param timeout_ms: time limit for each entry
    :returns: a tuple of :class:`EntrySample` in the order of the addresses
    """
    answers = read_entries(addresses, SERVICE_LEVELS_PATH, timeout_ms=timeout_ms)
    return tuple(sample_of(answer) for answer in answers)


def sample_of(answer):
    """Return the sample of one entry's document, or one with an error."""
    if answer.error:
        return EntrySample(address=answer.address, error=answer.error)
    try:
        routes = tuple(
            RouteWindows(
                **{k: tuple(v) if isinstance(v, list) else v for k, v in row.items()}
            )
            for row in answer.document["routes"]
        )
        history_ms = float(answer.document["history_ms"])
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return EntrySample(address=answer.address, error=f"not understood: {error!r}")
    return EntrySample(address=answer.address, history_ms=history_ms, routes=routes)


def make_report(samples):
    """Add up samples.

    :param samples: :class:`EntrySample` of all entries, reachable or not
    :returns: :class:`BurnReport`
    """
    reached = [sample for sample in samples if not sample.error]
    routes = {}
    departments = {}
    for sample in reached:
        for counts in sample.routes:
            add_counts(routes, counts.route, counts)
            add_counts(departments, counts.department, counts)
    missing_share = (len(samples) - len(reached)) / max(1, len(reached))
    return BurnReport(
        windows_ms=WINDOWS_MS,
        reached=tuple(sample.address for sample in reached),
        unreached=tuple((s.address, s.error) for s in samples if s.error),
        shortest_history_ms=min((s.history_ms for s in reached), default=0.0),
        routes=budgets_of(routes, missing_share),
        departments=budgets_of(departments, missing_share),
    )


def add_counts(sums, name, counts):
    """Add one route's counts at one entry to the sums of a name."""
    if name not in sums:
        zeros = [0] * len(WINDOWS_MS)
        sums[name] = Totals(
            department=counts.department,
            objective=counts.objective,
            totals=list(zeros),
            allowed=[0.0] * len(WINDOWS_MS),
            bad=list(zeros),
        )
    entry = sums[name]
    for index, (total, good) in enumerate(
        zip(counts.totals, counts.goods, strict=True)
    ):
        entry.totals[index] += total
        entry.allowed[index] += total * (1.0 - counts.objective)
        entry.bad[index] += total - good


def budgets_of(sums, missing_share):
    """Return the budgets of all names, sorted by name."""
    return tuple(
        Budget(
            name=name,
            department=entry.department,
            objective=effective_objective(entry),
            requests=entry.totals[-1],
            budget_left=budget_left(entry),
            burn_rates=tuple(
                burn_rate(bad, allowed)
                for bad, allowed in zip(entry.bad, entry.allowed, strict=True)
            ),
            worst_burn_rates=worst_burn_rates(entry, missing_share),
        )
        for name, entry in sorted(sums.items())
    )


def effective_objective(entry):
    """Return the objective, weighted by requests where routes differ."""
    if not entry.totals[-1]:
        return entry.objective
    return round(1.0 - entry.allowed[-1] / entry.totals[-1], 9)


def burn_rate(bad, allowed):
    """Return failures over allowed failures, ``None`` without requests."""
    return bad / allowed if allowed else None


def budget_left(entry):
    """Return the share of the budget left in the longest window."""
    rate = burn_rate(entry.bad[-1], entry.allowed[-1])
    return None if rate is None else 1.0 - rate


def worst_burn_rates(entry, missing_share):
    """Return the burn rates if all requests at unreachable entries had failed."""
    return tuple(
        burn_rate(bad + total * missing_share, allowed * (1.0 + missing_share))
        for bad, total, allowed in zip(
            entry.bad, entry.totals, entry.allowed, strict=True
        )
    )
