"""``monsoonline bench load``: simulated load on the request path of entries."""

import pathlib
import sys

import click
import orjson

from monsoonline.errors import FindingsError

__all__ = ["command"]


def read_experiment(name):
    """Load an experiment; print its findings and exit with 2 when it is invalid.

    :param name: name of a bundled experiment or path of a JSON file
    :raises click.BadParameter: when the experiment cannot be read
    """
    from monsoonline.bench.load_document import load_experiment, shipped_experiments

    try:
        return load_experiment(name)
    except FindingsError as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        sys.exit(2)
    except OSError as error:
        shipped = ", ".join(shipped_experiments())
        raise click.BadParameter(
            f"{name!r} cannot be read ({error.strerror}); shipped: {shipped}",
            param_hint="EXPERIMENT",
        ) from error


@click.command("load")
@click.argument("experiment", required=False)
@click.option(
    "--list", "list_names", is_flag=True, help="List experiments and policies and exit."
)
@click.option(
    "--policy",
    "names",
    multiple=True,
    help="Policy to compare; may be given more than once. All by default.",
)
@click.option("--seeds", default=3, type=click.IntRange(1, 50), show_default=True)
@click.option(
    "--jobs",
    default=2,
    type=click.IntRange(1, 64),
    show_default=True,
    help="Number of processes.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option(
    "--plots",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for an SVG plot of the worth over time.",
)
def command(experiment, list_names, names, seeds, jobs, as_json, plots):
    """Simulate the load pattern EXPERIMENT, a bundled name or a JSON file.

    Requests take the code path of a real entry; upstreams, callers and time are
    simulated.
    """
    from monsoonline.bench.load_document import shipped_experiments
    from monsoonline.bench.load_policies import policies

    if list_names:
        click.echo(f"experiments: {', '.join(shipped_experiments())}")
        click.echo(f"policies: {', '.join(policies.names)}")
        return
    if experiment is None:
        raise click.UsageError("expected EXPERIMENT or --list")
    unknown = sorted(set(names) - set(policies.names))
    if unknown:
        raise click.BadParameter(
            f"{unknown[0]!r} is not one of {', '.join(policies.names)}",
            param_hint="--policy",
        )
    document = read_experiment(experiment)
    from monsoonline.bench.load_report import compare_policies, format_comparison

    comparison = compare_policies(
        document,
        names=names or policies.names,
        seeds=tuple(range(1, seeds + 1)),
        jobs=jobs,
    )
    if plots is not None:
        from monsoonline.bench.plots import plot_worth

        plots.mkdir(parents=True, exist_ok=True)
        plot_worth(
            comparison, plots / f"{document.name}-worth.svg", title=document.name
        )
    if as_json:
        click.echo(orjson.dumps(comparison, option=orjson.OPT_NON_STR_KEYS).decode())
    else:
        click.echo(f"{document.name}, seeds {comparison['seeds']}")
        click.echo(format_comparison(comparison))
