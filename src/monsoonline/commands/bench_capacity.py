"""``monsoonline bench capacity``: resource growth with deployment size."""

import click
import orjson

from monsoonline.bench.capacity import measure_all
from monsoonline.commands.bench import show_progress
from monsoonline.formatting import format_number, format_table

__all__ = ["command"]

COLUMNS = ("measurement", "unit", "size", "points", "slope", "intercept", "at design")


def format_row(slope):
    """Format a :class:`monsoonline.bench.capacity.Slope` as a table row."""
    document = slope.document()
    sizes = ", ".join(f"{size:g}" for size, _ in slope.points)
    numbers = (slope.slope, slope.intercept, document["at_design_size"])
    return (
        slope.name,
        slope.unit,
        f"{slope.size} {document['design_size']}",
        sizes,
        *(format_number(number, digits=4) for number in numbers),
    )


@click.command("capacity")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option(
    "--only",
    multiple=True,
    help="Measurement to run; may be given more than once. All by default.",
)
def command(as_json, only):
    """Measure how state, messages and time grow with the size of a deployment.

    Each quantity is measured at several sizes. A line is fitted to the points by least
    squares and extrapolated to the design size.
    """
    try:
        slopes = measure_all(only, progress=show_progress)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    if as_json:
        documents = [slope.document() for slope in slopes]
        click.echo(orjson.dumps({"slopes": documents}).decode())
    else:
        click.echo(format_table(COLUMNS, [format_row(slope) for slope in slopes]))
