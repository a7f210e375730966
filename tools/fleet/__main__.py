"""Commands of the fleet experiments; each exits with 1 if a bound does not hold."""

import click
from tools.fleet.control_cost import measure_control_cost
from tools.fleet.editors import measure_editors
from tools.fleet.propagation import CASES, measure_propagation
from tools.fleet.replacement import measure_replacement
from tools.fleet.report import finish
from tools.fleet.restart import measure_restart

ENTRIES = 20


def fleet_options(function):
    """Add the options common to all experiments."""
    options = (
        click.option("--entries", default=ENTRIES, show_default=True),
        click.option("--seed", default=1, show_default=True),
        click.option("--output", type=click.Path(dir_okay=False), help="JSON file."),
    )
    for option in options:
        function = option(function)
    return function


@click.group()
def main():
    """Run experiments on real entry processes on loopback."""


@main.command()
@fleet_options
@click.option("--changes", default=50, show_default=True, help="Of each case.")
@click.option("--case", "cases", multiple=True, type=click.Choice(CASES))
def propagation(entries, seed, output, changes, cases):
    """Measure the time from acceptance to effect at all entries."""
    result, bounds = measure_propagation(
        entries=entries, changes=changes, seed=seed, cases=cases or CASES
    )
    finish("propagation", result, bounds, output=output)


@main.command()
@fleet_options
@click.option("--callers", default=8, show_default=True, help="20 calls/s each.")
def replacement(entries, seed, output, callers):
    """Replace all entries one by one under load."""
    result, bounds = measure_replacement(entries=entries, callers=callers, seed=seed)
    finish("replacement", result, bounds, output=output)


@main.command("restart-all")
@fleet_options
def restart_all(entries, seed, output):
    """Restart all entries at once, then a fifth without the store."""
    result, bounds = measure_restart(entries=entries)
    finish("restart-all", {"seed": seed, **result}, bounds, output=output)


@main.command("control-cost")
@fleet_options
@click.option("--seconds", default=30.0, show_default=True)
def control_cost(entries, seed, output, seconds):
    """Measure the traffic, CPU time and memory of an entry without callers."""
    result, bounds = measure_control_cost(entries=entries, seconds=seconds)
    finish("control-cost", {"seed": seed, **result}, bounds, output=output)


@main.command()
@fleet_options
@click.option("--edits", default=1000, show_default=True)
def editors(entries, seed, output, edits):
    """Edit rows with 8 concurrent operators of 4 departments under faults."""
    result, bounds = measure_editors(entries=entries, edits=edits, seed=seed)
    finish("editors", result, bounds, output=output)


if __name__ == "__main__":
    main()
