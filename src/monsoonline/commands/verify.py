"""``monsoonline verify``: model checking of the core protocol."""

import dataclasses
import sys

import click
import orjson

from monsoonline.verify import specifications

__all__ = ["command"]


def format_trace(verdict):
    """Return the lines of a counterexample: each step with what it changed."""
    lines = []
    previous = {}
    for step in verdict.trace:
        changed = {k: v for k, v in step.state.items() if previous.get(k) != v}
        if step.label is not None:
            values = ", ".join(f"{name}={value!r}" for name, value in changed.items())
            lines.append(f"      {step.label}: {values}")
        previous = step.state
    return lines


def encode(verdict):
    """Return a verdict as one line of JSON."""
    document = dataclasses.asdict(verdict)
    return orjson.dumps(document, default=sorted).decode()


def check_properties(names):
    """Check the full protocol; return the verdicts and whether all hold."""
    verdicts = [v for name in names for v in specifications.get(name).check()]
    return verdicts, all(v.holds is True for v in verdicts)


def check_mutations(names):
    """Break each guard once; return one verdict a guard and whether all are found."""
    verdicts = [
        specifications.get(name).find_counterexample(guard)
        for name in names
        for guard in specifications.get(name).guards
    ]
    return verdicts, all(v.holds is False for v in verdicts)


def print_verdict(verdict):
    """Print one verdict as text."""
    words = {True: "holds", False: "violated", None: "undetermined"}
    subject = verdict.mutation or verdict.invariant
    line = f"{verdict.specification:<14} {subject:<24} {verdict.states:>8} states"
    click.echo(f"{line}  {words[verdict.holds]}")
    if verdict.holds is False:
        if verdict.mutation:
            click.echo(f"    violates {verdict.invariant}:")
        click.echo("\n".join(format_trace(verdict)))


@click.command("verify")
@click.option(
    "--specification",
    "names",
    multiple=True,
    type=click.Choice(specifications.names),
    help="Check only this specification; may be given more than once.",
)
@click.option(
    "--mutate",
    is_flag=True,
    help="Break one guard at a time; a counterexample must be found for each.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line a verdict.")
def command(names, mutate, as_json):
    """Check the core protocol's specification by exhaustive search.

    Exits with 1 where a property does not hold or, with --mutate, where a broken
    guard goes unnoticed.
    """
    names = names or specifications.names
    check = check_mutations if mutate else check_properties
    verdicts, passed = check(names)
    for verdict in verdicts:
        if as_json:
            click.echo(encode(verdict))
        else:
            print_verdict(verdict)
    if not as_json:
        for name in names:
            click.echo(f"bounds of {name}: {specifications.get(name).bounds}")
        found = sum(v.holds is False for v in verdicts)
        if mutate:
            click.echo(f"{found} of {len(verdicts)} mutations found")
    sys.exit(0 if passed else 1)
