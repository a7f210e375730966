"""Error-budget burn report over all entries.

The figures are incomplete if an entry cannot be reached. Every output format of the
report states this and gives a worst-case bound for the missing requests. The Cells V2
Manifesto (OpenStack Nova) marks partial results in the same way when one of its
databases fails.
"""

import dataclasses

from monsoonline.core.service_levels import WINDOWS_MS, RouteWindows
from monsoonline.report.reader import read_entries

__all__ = ["BurnReport", "ErrorBudget", "EntrySample", "collect_samples", "make_report"]

SERVICE_LEVELS_PATH = "/v1/service-levels"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySample:
    """Request counts reported by one entry.

    :param address: ``host:port`` of the entry's operations port
    :param error: why the entry could not be read, ``""`` on success
    :param history_ms: time covered by the counts, in milliseconds
    :param routes: request counts of each route
    """

    address: str
    error: str = ""
    history_ms: float = 0.0
    routes: tuple[RouteWindows, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBudget:
    """Error budget of a route or a department.

    :param name: name of the route or department
    :param department: owner of the route, or the department itself
    :param objective: target success ratio
    :param requests: number of requests in the longest window
    :param budget_left: fraction of the error budget left in the longest window,
        negative if it is overspent; ``None`` without requests
    :param burn_rates: burn rate for each window, where 1.0 spends the budget exactly;
        ``None`` without requests
    :param worst_burn_rates: burn rates under the assumption that each unreachable
        entry served as many requests as the average of the others and that all of
        these failed
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

    :param windows_ms: lengths of the windows in milliseconds
    :param reached: addresses of the entries that were read
    :param unreached: address and error of each entry that could not be read
    :param shortest_history_ms: shortest time covered by an entry that was read
    :param routes: one :class:`ErrorBudget` for each route
    :param departments: one :class:`ErrorBudget` for each department
    """

    windows_ms: tuple[float, ...]
    reached: tuple[str, ...]
    unreached: tuple[tuple[str, str], ...]
    shortest_history_ms: float
    routes: tuple[ErrorBudget, ...]
    departments: tuple[ErrorBudget, ...]

    @property
    def complete(self):
        """Whether all entries were read."""
        return not self.unreached


@dataclasses.dataclass(slots=True, kw_only=True)
class WindowSums:
    """Sums per window for one route over entries, or one department over routes.

    :param department: owner
    :param objective: target success ratio
    :param totals: number of requests
    :param allowed: number of failed requests that the objective allows
    :param bad: number of failed requests
    """

    department: str
    objective: float
    totals: list[int]
    allowed: list[float]
    bad: list[int]


def collect_samples(addresses, *, timeout_ms=2000.0):
    """Read the request counts of entries in parallel.

    :param addresses: ``host:port`` of the entries' operations ports
    :param timeout_ms: time limit for each entry in milliseconds
    :returns: a tuple of :class:`EntrySample` in the order of the addresses
    """
    responses = read_entries(addresses, SERVICE_LEVELS_PATH, timeout_ms=timeout_ms)
    return tuple(to_sample(response) for response in responses)


def to_sample(response):
    """Return the sample of one entry; an unreadable document gives an error."""
    if response.error:
        return EntrySample(address=response.address, error=response.error)
    try:
        routes = tuple(
            RouteWindows(
                **{k: tuple(v) if isinstance(v, list) else v for k, v in row.items()}
            )
            for row in response.document["routes"]
        )
        history_ms = float(response.document["history_ms"])
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return EntrySample(
            address=response.address, error=f"invalid document: {error!r}"
        )
    return EntrySample(address=response.address, history_ms=history_ms, routes=routes)


def make_report(samples):
    """Sum samples into a report.

    :param samples: :class:`EntrySample` of all entries, including unreachable ones
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
        routes=to_budgets(routes, missing_share),
        departments=to_budgets(departments, missing_share),
    )


def add_counts(sums, name, counts):
    """Add the counts of one route at one entry to the sums of a name."""
    if name not in sums:
        zeros = [0] * len(WINDOWS_MS)
        sums[name] = WindowSums(
            department=counts.department,
            objective=counts.objective,
            totals=list(zeros),
            allowed=[0.0] * len(WINDOWS_MS),
            bad=list(zeros),
        )
    window_sums = sums[name]
    for index, (total, good) in enumerate(
        zip(counts.totals, counts.goods, strict=True)
    ):
        window_sums.totals[index] += total
        window_sums.allowed[index] += total * (1.0 - counts.objective)
        window_sums.bad[index] += total - good


def to_budgets(sums, missing_share):
    """Return the error budgets of all names, sorted by name."""
    return tuple(
        ErrorBudget(
            name=name,
            department=window_sums.department,
            objective=effective_objective(window_sums),
            requests=window_sums.totals[-1],
            budget_left=budget_left(window_sums),
            burn_rates=tuple(
                burn_rate(bad, allowed)
                for bad, allowed in zip(
                    window_sums.bad, window_sums.allowed, strict=True
                )
            ),
            worst_burn_rates=worst_burn_rates(window_sums, missing_share),
        )
        for name, window_sums in sorted(sums.items())
    )


def effective_objective(window_sums):
    """Return the objective, weighted by requests if it differs between routes."""
    if not window_sums.totals[-1]:
        return window_sums.objective
    return round(1.0 - window_sums.allowed[-1] / window_sums.totals[-1], 9)


def burn_rate(bad, allowed):
    """Return the ratio of failures to allowed failures, ``None`` without requests."""
    return bad / allowed if allowed else None


def budget_left(window_sums):
    """Return the fraction of the error budget left in the longest window."""
    rate = burn_rate(window_sums.bad[-1], window_sums.allowed[-1])
    return None if rate is None else 1.0 - rate


def worst_burn_rates(window_sums, missing_share):
    """Return the burn rates if all requests at unreachable entries failed.

    :param missing_share: number of unreachable entries relative to the others
    """
    return tuple(
        burn_rate(bad + total * missing_share, allowed * (1.0 + missing_share))
        for bad, total, allowed in zip(
            window_sums.bad, window_sums.totals, window_sums.allowed, strict=True
        )
    )
