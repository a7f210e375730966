"""Results as JSON objects, tables and pictures."""

import collections

import click

from monsoonline.bench.experiment import Experiment
from monsoonline.bench.targets import measure_targets

__all__ = ["measure_deployment", "print_report", "print_run", "summarise_run"]

CURVE_FACTORS = (0.0, 0.1, 0.5, 1.0, 2.0, 5.0)


def measure_deployment(document, *, seeds, progress, plots=None):
    """Measure the targets of a deployment.

    :param document: the :class:`RunDocument`
    :param seeds: seeds of the runs
    :param progress: called with a text before each step
    :param plots: directory for pictures, or ``None``
    :returns: a JSON object
    """
    targets, tails, (costs, slope) = measure_targets(
        document, seeds=seeds, progress=progress
    )
    if plots is not None:
        progress("pictures")
        write_plots(document, tails, plots, seed=seeds[0])
    return {
        "deployment": document.name,
        "seeds": list(seeds),
        "targets": [target.as_document() for target in targets],
        "tails": [
            {
                "case": f"{load:.0%}" if isinstance(load, float) else load,
                "policy": policy,
                "values": [round(value, 4) for value in values],
            }
            for (load, policy), values in tails.items()
        ],
        "decision_us": {str(size): round(cost, 2) for size, cost in costs.items()},
        "decision_ns_per_target": round(slope * 1e3, 2),
    }


def write_plots(document, tails, directory, *, seed):
    """Write the bars per policy and the curve of tail against measuring cost."""
    from monsoonline.bench.plots import plot_probe_curve, plot_tails

    directory.mkdir(parents=True, exist_ok=True)
    plot_tails(tails, directory / f"{document.name}-tails.svg", title=document.name)
    points = probe_curve(document, seed=seed)
    path = directory / f"{document.name}-probes.svg"
    plot_probe_curve(points, path, title=document.name)


def probe_curve(document, *, seed):
    """Return (probes per second and upstream, p99 of lookups in ms) pairs."""
    lookup = next(route for route in document.routes if route.idempotent)
    points = []
    for factor in CURVE_FACTORS:
        pools = tuple(
            pool.model_copy(
                update={"probes_per_second": pool.probes_per_second * factor}
            )
            for pool in document.pools
        )
        run = document.model_copy(update={"pools": pools})
        results = Experiment(document=run, seed=seed).run()
        p99 = results.routes[lookup.name].percentile(
            99, since=document.warm_up_ms, deadline_ms=lookup.deadline_ms
        )
        points.append((document.pools[0].probes_per_second * factor, p99))
    return points


def summarise_run(document, results, *, seed):
    """Return the counts and latencies of one run as a JSON object."""
    kinds = collections.Counter(kind.value for _, _, kind in results.attempts)
    routes = {}
    for route in document.routes:
        counts = results.routes[route.name]
        quantiles = {
            f"p{q}_ms": round(
                counts.percentile(
                    q, since=document.warm_up_ms, deadline_ms=route.deadline_ms
                ),
                2,
            )
            for q in (50, 90, 99)
        }
        outcomes = dict(sorted(collections.Counter(counts.outcomes).items()))
        routes[route.name] = {"requests": counts.total(), **outcomes, **quantiles}
    return {
        "name": document.name,
        "policy": document.policy,
        "seed": document.seed if seed is None else seed,
        "routes": routes,
        "attempts": dict(sorted(kinds.items())),
        "hedges": results.hedges,
        "doubled": results.doubled,
        "crashes": sum(u.crashes for pool in results.upstreams.values() for u in pool),
        "probes": sum(
            len(u.probes) for pool in results.upstreams.values() for u in pool
        ),
    }


def print_run(summary):
    """Print one run as text."""
    click.echo(f"{summary['name']}, {summary['policy']}, seed {summary['seed']}")
    for name, counts in summary["routes"].items():
        values = "  ".join(f"{key} {value}" for key, value in counts.items())
        click.echo(f"  {name:<20} {values}")
    for name in ("attempts", "hedges", "doubled", "crashes", "probes"):
        click.echo(f"  {name:<20} {summary[name]}")


def print_report(report):
    """Print the targets and tails as tables."""
    click.echo(f"{report['deployment']}, seeds {report['seeds']}")
    click.echo(f"{'target':<52}{'bound':>10}{'min':>10}{'median':>10}{'max':>10}")
    for target in report["targets"]:
        sign = "<=" if target["at_most"] else ">="
        click.echo(
            f"{target['name']:<52}{sign + format(target['bound'], 'g'):>10}"
            f"{target['min']:>10g}{target['median']:>10g}{target['max']:>10g}"
            f"  {'holds' if target['holds'] else 'MISSED'}"
        )
    costs = "  ".join(f"{n}: {us:g}" for n, us in report["decision_us"].items())
    slope = report["decision_ns_per_target"]
    click.echo(f"us per decision by targets  {costs}  slope {slope:g} ns per target")
    click.echo("p99 of lookups in ms, one value per seed")
    for tail in report["tails"]:
        values = "  ".join(f"{value:.4g}" for value in tail["values"])
        click.echo(f"  {tail['case']:<10} {tail['policy']:<18} {values}")
