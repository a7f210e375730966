"""Results of load experiments as JSON objects and tables."""

import concurrent.futures
import math

from monsoonline.bench.load_callers import RequestEnd
from monsoonline.bench.load_experiment import LoadExperiment
from monsoonline.formatting import format_table

__all__ = ["compare_policies", "format_comparison", "summarise_load"]

# Length of the windows in which the worth of requests is shown over time.
WINDOW_MS = 500.0
DIGITS = 4


def summarise_load(document, results):
    """Return the figures of one run as a JSON object.

    The worth of a set of requests is what was got, in time or late, divided by what
    all of them were worth. A request counts where its first try was sent.

    :param document: the :class:`monsoonline.bench.load_document.LoadDocument`
    :param results: the :class:`monsoonline.bench.load_experiment.LoadResults`
    """
    by_window = {}
    for request in results.requests:
        window = math.floor(request.sent_at / WINDOW_MS)
        by_window.setdefault(window, []).append(request)
    windows = {
        round(window * WINDOW_MS): worth_of(document, requests)
        for window, requests in sorted(by_window.items())
    }
    patient = [request for request in results.requests if not request.pressing]
    return {
        "requests": len(results.requests),
        "worth": worth_of(document, results.requests),
        "worst_window": min(windows.values(), default=0.0),
        "patient_worth": worth_of(document, patient),
        "refused_again": sum(request.refusals > 1 for request in results.requests),
        "probes": results.probes,
        "attempts": results.attempts,
        "second_attempts": results.second_attempts,
        "doubled": results.doubled,
        "routes": {
            route.name: count_ends(results.requests, route) for route in document.routes
        },
        "windows": windows,
    }


def worth_of(document, requests):
    """Return the worth that requests got, as a share of what they were worth."""
    routes = {route.name: route for route in document.routes}
    owed = got = 0.0
    for request in requests:
        route = routes[request.route]
        owed += route.worth
        if request.end is RequestEnd.IN_TIME:
            got += route.worth
        elif request.end is RequestEnd.LATE:
            got += route.late_worth
    return round(got / owed, DIGITS) if owed else 0.0


def count_ends(requests, route):
    """Return how many requests of a route ended in which way."""
    ends = [request.end for request in requests if request.route == route.name]
    return {end.value: ends.count(end) for end in RequestEnd}


def run_policy(document, policy, seed):
    """Run one experiment in a process of its own and return its summary."""
    results = LoadExperiment(document=document, policy=policy, seed=seed).run()
    return summarise_load(document, results)


def compare_policies(document, *, names, seeds, jobs):
    """Run policies on the same callers and upstreams.

    :param document: the :class:`monsoonline.bench.load_document.LoadDocument`
    :param names: names of load policies
    :param seeds: seeds of the runs
    :param jobs: processes used at once, 1 for none besides this one
    :returns: a JSON object with the summaries by policy, one for each seed
    """
    pairs = [(name, seed) for name in names for seed in seeds]
    if jobs == 1:
        summaries = [run_policy(document, *pair) for pair in pairs]
    else:
        with concurrent.futures.ProcessPoolExecutor(max_workers=jobs) as executor:
            futures = [executor.submit(run_policy, document, *pair) for pair in pairs]
            summaries = [future.result() for future in futures]
    by_policy = {name: [] for name in names}
    for (name, _), summary in zip(pairs, summaries, strict=True):
        by_policy[name].append(summary)
    return {"name": document.name, "seeds": list(seeds), "policies": by_policy}


def mean_of(summaries, key):
    """Return the mean of one figure over the seeds."""
    return sum(summary[key] for summary in summaries) / len(summaries)


def mean_end(summaries, end):
    """Return the mean share of the requests that ended in one way."""
    shares = [
        sum(ends[end.value] for ends in summary["routes"].values())
        / max(1, summary["requests"])
        for summary in summaries
    ]
    return sum(shares) / len(shares)


def format_comparison(comparison):
    """Return a comparison as an aligned table, one line for each policy.

    Worths and shares of all requests are means over the seeds, ``worst window`` is the
    least worth of any :data:`WINDOW_MS` of any seed.
    """
    header = (
        "policy",
        "worth",
        "worst window",
        *(end.value for end in RequestEnd),
        "refused again",
        "probes",
        "second",
        "doubled",
    )
    rows = [
        (
            name,
            f"{mean_of(summaries, 'worth'):.3f}",
            f"{min(summary['worst_window'] for summary in summaries):.3f}",
            *(f"{mean_end(summaries, end):.3f}" for end in RequestEnd),
            f"{mean_of(summaries, 'refused_again'):.0f}",
            f"{mean_of(summaries, 'probes'):.0f}",
            f"{mean_of(summaries, 'second_attempts'):.0f}",
            f"{sum(summary['doubled'] for summary in summaries)}",
        )
        for name, summaries in comparison["policies"].items()
    ]
    return format_table(header, rows)
