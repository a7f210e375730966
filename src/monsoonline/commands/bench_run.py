"""``monsoonline bench run``: run one experiment from a file."""

import sys

import click
import orjson

from monsoonline.bench.document import load_run
from monsoonline.bench.experiment import Experiment
from monsoonline.bench.report import print_run, summarise_run
from monsoonline.errors import FindingsError

__all__ = ["command"]


@click.command("run")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--seed", type=click.IntRange(0), help="Overrides the seed in FILE.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(file, seed, as_json):
    """Run the experiment that FILE describes."""
    try:
        document = load_run(file)
    except FindingsError as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        sys.exit(2)
    results = Experiment(document=document, seed=seed).run()
    summary = summarise_run(document, results, seed=seed)
    if as_json:
        click.echo(orjson.dumps(summary).decode())
    else:
        print_run(summary)
