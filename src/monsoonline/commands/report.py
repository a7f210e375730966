"""``monsoonline report``: reports computed from the request counts of entries."""

import dataclasses
import pathlib
import sys

import click
import orjson

from monsoonline.report.burn import collect_samples, make_report
from monsoonline.report.render import burn_page, burn_text, coverage_notes

__all__ = ["command"]


@click.group("report")
def command():
    """Compute reports from the request counts of entries."""


@command.command("burn")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Operations port of an entry. Repeat the option for every entry.",
)
@click.option("--timeout-ms", default=2000.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option(
    "--html",
    type=click.Path(dir_okay=False),
    help="Also write the report as HTML to this file.",
)
def burn(entries, timeout_ms, as_json, html):
    """Show error budgets and burn rates of all routes and departments.

    The exit code is 3 when no entry could be read.
    """
    report = make_report(collect_samples(entries, timeout_ms=timeout_ms))
    if html:
        pathlib.Path(html).write_text(burn_page(report))
    if as_json:
        document = dataclasses.asdict(report)
        document["complete"] = report.complete
        document["notes"] = coverage_notes(report)
        click.echo(orjson.dumps(document).decode())
    else:
        click.echo(burn_text(report))
    sys.exit(0 if report.reached else 3)
