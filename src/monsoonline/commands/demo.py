"""``monsoonline demo``: run a small deployment under traffic and account for it."""

import sys

import click

from monsoonline.bench.demonstration import holds, run_demonstration
from monsoonline.commands.output import print_document

__all__ = ["command"]


@click.command("demo")
@click.option("--seconds", default=10.0, show_default=True, help="Time of traffic.")
@click.option("--seed", default=1, show_default=True, help="Of all random choices.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at the end.")
def command(seconds, seed, as_json):
    """Run entries, upstreams and callers in one process.

    One upstream drains and one entry stops under traffic. Exits 1 where a request
    was lost, doubled, cut, mixed up or wrongly reported as not run, or where fewer
    than 1,000 requests were made.
    """
    show = None if as_json else lambda text: click.echo(text, err=True)
    result = run_demonstration(seconds=seconds, seed=seed, on_event=show)
    print_document(result, as_json=as_json)
    sys.stdout.flush()
    sys.exit(0 if holds(result) else 1)
