"""Command line of the soak: ``python -m tools.soak --seed 1``."""

import collections
import sys
import tempfile

import click
from tools.soak.history import find_violations
from tools.soak.world import TROUBLES, Plan, Soak

MAX_PRINTED = 10


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
@click.option("--seconds", default=60.0, show_default=True, help="Duration.")
@click.option("--entries", default=6, show_default=True, help="Number of entries.")
@click.option("--routes", default=300, show_default=True, help="Routes that stay.")
@click.option(
    "--interval", default=1.5, show_default=True, help="Seconds between two versions."
)
@click.option("--callers", default=24, show_default=True, help="Number of callers.")
@click.option("--pause", default=0.1, show_default=True, help="Pause of a caller in s.")
@click.option("--gap", default=3.0, show_default=True, help="Seconds between troubles.")
@click.option("--cores", default=0, show_default=True, help="Cores for the entries.")
@click.option(
    "--trouble",
    "troubles",
    multiple=True,
    type=click.Choice([*TROUBLES, "none"]),
    help="Kind of trouble; all kinds by default.",
)
@click.option("--folder", help="Folder that keeps the logs; must exist.")
def main(
    seed,
    seconds,
    entries,
    routes,
    interval,
    callers,
    pause,
    gap,
    cores,
    troubles,
    folder,
):
    """Run entries under troubles and check every response."""
    kinds = () if "none" in troubles else troubles or None
    plan = Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        routes=routes,
        interval_s=interval,
        callers=callers,
        pause_s=pause,
        troubles=kinds,
        gap_s=gap,
        cores=cores,
    )
    with tempfile.TemporaryDirectory() as temporary:
        history = Soak(plan=plan, folder=folder or temporary).run()
    findings = find_violations(history)
    statuses = collections.Counter(str(r.status) for r in history.responses)
    print(f"seed {seed}: {len(history.responses)} requests, {dict(statuses)}")
    busiest = max((use.cores for use in history.idle_uses), default=0.0)
    largest = max((use.peak_bytes for use in history.idle_uses), default=0)
    print(
        f"an entry used at most {largest / 1e6:.0f} MB, and {busiest:.4f} cores at "
        "the end"
    )
    print(f"{len(history.changes)} versions, troubles {count_troubles(history)}")
    for rule, found in group(findings).items():
        print(f"{rule}: {len(found)}")
        for finding in found[:MAX_PRINTED]:
            print(f"  {finding.text}")
    broken = [f for f in findings if "out of touch" not in f.rule]
    sys.exit(1 if broken else 0)


def count_troubles(history):
    """Return the number of intervals with trouble by entry, ``store`` for the store."""
    return {name or "store": len(items) for name, items in history.troubles.items()}


def group(findings):
    """Return the findings by rule."""
    groups = collections.defaultdict(list)
    for finding in findings:
        groups[finding.rule].append(finding)
    return groups


if __name__ == "__main__":
    main()
