"""``monsoonline demo``: run a small deployment and check how requests ended."""

import sys

import click

from monsoonline.bench.demonstration import holds, run_demonstration
from monsoonline.commands.output import print_document

__all__ = ["command"]


@click.command("demo")
@click.option(
    "--seconds", default=10.0, show_default=True, help="Duration of the traffic."
)
@click.option("--seed", default=1, show_default=True, help="Random seed.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at the end.")
def command(seconds, seed, as_json):
    """Run entries, upstreams and callers in one process.

    One upstream drains and one entry stops during the traffic. The exit code is 1 when
    a request was lost, executed twice, interrupted, given the response of another
    request or wrongly reported as not run, or when fewer than 1,000 requests were made.
    """
    on_event = None if as_json else lambda text: click.echo(text, err=True)
    result = run_demonstration(seconds=seconds, seed=seed, on_event=on_event)
    print_document(result, as_json=as_json)
    sys.stdout.flush()
    sys.exit(0 if holds(result) else 1)
