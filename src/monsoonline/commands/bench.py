"""``monsoonline bench``: load experiments and other measurements."""

import pathlib
import sys

import click
import orjson

from monsoonline.commands.lazy import LazyGroup
from monsoonline.errors import FindingsError

__all__ = ["command"]

# Name of a subcommand and the module that defines it as ``command``.
SUBCOMMANDS = {
    "run": "monsoonline.commands.bench_run",
    "load": "monsoonline.commands.bench_load",
    "relay": "monsoonline.commands.bench_relay",
    "control": "monsoonline.commands.bench_control",
    "capacity": "monsoonline.commands.bench_capacity",
}


def show_progress(text):
    """Show a step on a terminal only."""
    if sys.stderr.isatty():
        click.echo(text, err=True)


@click.group("bench", cls=LazyGroup, modules=SUBCOMMANDS, invoke_without_command=True)
@click.option(
    "--deployment",
    type=click.Choice(("traufbrett", "cooperative")),
    help="Measure the targets of a shipped deployment.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option("--seeds", default=3, type=click.IntRange(1, 20), show_default=True)
@click.option(
    "--plots",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for SVG pictures.",
)
@click.pass_context
def command(context, deployment, as_json, seeds, plots):
    """Measure decisions, the relay and the control plane.

    With --deployment, exits with 1 where a target does not hold.
    """
    if context.invoked_subcommand is not None:
        return
    if deployment is None:
        raise click.UsageError("name a subcommand or give --deployment")
    from monsoonline.bench.document import load_deployment
    from monsoonline.bench.report import measure_deployment, print_report

    try:
        document = load_deployment(deployment)
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    report = measure_deployment(
        document,
        seeds=tuple(range(1, seeds + 1)),
        progress=show_progress,
        plots=plots,
    )
    if as_json:
        click.echo(orjson.dumps(report).decode())
    else:
        print_report(report)
    sys.exit(0 if all(target["holds"] for target in report["targets"]) else 1)
