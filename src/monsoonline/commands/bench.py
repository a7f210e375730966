"""``monsoonline bench``: load experiments and performance measurements."""

import pathlib
import sys

import click
import orjson

from monsoonline.commands.lazy import LazyGroup
from monsoonline.errors import FindingsError

__all__ = ["command"]

# Maps a subcommand to the module whose ``command`` attribute implements it.
SUBCOMMANDS = {
    "run": "monsoonline.commands.bench_run",
    "load": "monsoonline.commands.bench_load",
    "relay": "monsoonline.commands.bench_relay",
    "control": "monsoonline.commands.bench_control",
    "capacity": "monsoonline.commands.bench_capacity",
}


def show_progress(text):
    """Print a progress message, only when standard error is a terminal."""
    if sys.stderr.isatty():
        click.echo(text, err=True)


@click.group("bench", cls=LazyGroup, modules=SUBCOMMANDS, invoke_without_command=True)
@click.option(
    "--deployment",
    type=click.Choice(("traufbrett", "cooperative")),
    help="Measure the performance targets of this bundled deployment.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option("--seeds", default=3, type=click.IntRange(1, 20), show_default=True)
@click.option(
    "--plots",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for SVG plots.",
)
@click.pass_context
def command(context, deployment, as_json, seeds, plots):
    """Measure load balancing decisions, the relay and the control plane.

    With --deployment, the exit code is 1 when a target is not met.
    """
    if context.invoked_subcommand is not None:
        return
    if deployment is None:
        raise click.UsageError("expected a subcommand or --deployment")
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
