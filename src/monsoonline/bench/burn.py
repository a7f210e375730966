"""Cost of the service-level counts, and what missing entries do to the burn report.

Run with ``python -m monsoonline.bench.burn``. Prints one JSON line.
"""

import time
import tracemalloc

import click
import numpy
import orjson

from monsoonline.clock import ManualClock
from monsoonline.core.model import Route, RouteMatch
from monsoonline.core.service_levels import WINDOWS_MS, RouteWindows, ServiceLevels
from monsoonline.report.burn import EntrySample, make_report

__all__ = ["measure_cost", "measure_missing"]

ENTRIES = 20
OBJECTIVE = 0.999
RECORDS = 20_000
# Requests of an entry in a window; their spread over entries is log-normal.
MEAN_REQUESTS = 20_000
REQUEST_SIGMA = 0.3
# Share of failures at an ordinary entry, and at one in a failing failure domain.
ORDINARY_FAILURES = 0.0005
DOMAIN_FAILURES = 0.02
DOMAINS = 4


def route(number):
    """Return a route."""
    return Route(
        name=f"route-{number}",
        department="d",
        pool="p",
        match=RouteMatch(),
        idempotent=True,
    )


def measure_cost(*, routes):
    """Measure the counts of one entry.

    :param routes: number of routes that receive requests
    :returns: microseconds per request and bytes per route
    """
    rows = [route(number) for number in range(routes)]
    tracemalloc.start()
    levels = ServiceLevels(clock=ManualClock())
    for row in rows:
        levels.record(row, status=200, latency_ms=1.0, refused=False)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    for number in range(RECORDS):
        levels.record(rows[number % routes], status=200, latency_ms=1.0, refused=False)
    cost_us = (time.process_time() - started) / RECORDS * 1e6
    return cost_us, size / routes


def sample(number, requests, failed):
    """Return the sample of one entry with one route."""
    counts = RouteWindows(
        route="lookup",
        department="d",
        objective=OBJECTIVE,
        latency_ms=100.0,
        totals=(requests,) * len(WINDOWS_MS),
        goods=(requests - failed,) * len(WINDOWS_MS),
    )
    return EntrySample(address=f"entry-{number}", history_ms=3e7, routes=(counts,))


def measure_missing(*, missing, trials, seed):
    """Compare reports that lack entries with the complete ones.

    One failure domain of four fails in half of the trials; the entries that are
    missing are those of that domain first, as in a partition.

    :param missing: number of entries that cannot be read
    :param trials: number of fleets
    :param seed: seed of the random numbers
    :returns: share of the trials in which the burn rate without the missing entries
        is below the true one, and the same for the worst case that the report gives
    """
    random = numpy.random.default_rng(seed)
    below = worst_below = 0
    for _ in range(trials):
        sizes = random.lognormal(0.0, REQUEST_SIGMA, ENTRIES) * MEAN_REQUESTS
        failing = random.random() < 0.5
        samples = []
        for number, size in enumerate(sizes.astype(int)):
            in_domain = number < ENTRIES // DOMAINS
            share = DOMAIN_FAILURES if failing and in_domain else ORDINARY_FAILURES
            samples.append(sample(number, int(size), int(random.binomial(size, share))))
        true_rate = make_report(samples).routes[0].burn_rates[0]
        unread = [
            EntrySample(address=s.address, error="not read") for s in samples[:missing]
        ]
        partial = make_report([*unread, *samples[missing:]]).routes[0]
        below += partial.burn_rates[0] < true_rate
        worst_below += partial.worst_burn_rates[0] < true_rate
    return below / trials, worst_below / trials


@click.command()
@click.option("--trials", default=500, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(trials, seed):
    """Print cost and effect of missing entries as JSON."""
    document = {"seed": seed, "trials": trials, "cost": {}, "missing": {}}
    for routes in (1, 30, 300):
        cost_us, size = measure_cost(routes=routes)
        document["cost"][str(routes)] = {
            "us_per_request": round(cost_us, 2),
            "bytes_per_route": round(size),
        }
    for missing in (1, 3, 5):
        below, worst_below = measure_missing(missing=missing, trials=trials, seed=seed)
        document["missing"][str(missing)] = {
            "below_truth": below,
            "worst_case_below_truth": worst_below,
        }
    click.echo(orjson.dumps(document).decode())


if __name__ == "__main__":
    main()
