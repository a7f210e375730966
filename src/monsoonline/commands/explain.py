"""``monsoonline explain``: history of one request from the logs of entries."""

import dataclasses
import itertools
import sys

import click
import orjson

from monsoonline.report.explanation import explain

__all__ = ["command"]


def format_explanation(explanation):
    """Format the history of a request as text."""
    lines = [f"request {explanation.request}"]
    for entry, steps in itertools.groupby(explanation.steps, lambda step: step.entry):
        steps = list(steps)
        lines.append(f"at {entry or 'an unnamed entry'}, from {steps[0].time}")
        for step in steps:
            fields = ", ".join(f"{k}={v}" for k, v in step.fields.items())
            text = f"{step.at_ms:>9.1f} ms  {step.message:<20}{fields}"
            lines.append(text.rstrip())
    lines.append(f"cause: {explanation.cause}")
    return "\n".join(lines)


@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(request, files, as_json):
    """Print the history of the request with the id REQUEST from log FILES of entries.

    Without FILES, standard input is read. Lines of several entries may be mixed, in any
    order and with any prefix. Requests that failed, missed their latency objective or
    needed more than one attempt are always logged; of the others, one in a hundred is.

    The exit code is 1 when no line has the id.
    """
    lines = itertools.chain.from_iterable(files or (sys.stdin,))
    explanation = explain(request, lines)
    if explanation is None:
        click.echo(f"no log line has the request id {request!r}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(orjson.dumps(dataclasses.asdict(explanation)).decode())
    else:
        click.echo(format_explanation(explanation))
