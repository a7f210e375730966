"""``monsoonline verify``: model checking of the protocol specifications."""

import dataclasses
import sys

import click
import orjson

from monsoonline.verify import specifications

__all__ = ["command"]


def format_trace(verdict):
    """Return one line per step of a counterexample, with the fields it changed."""
    lines = []
    previous = {}
    for step in verdict.trace:
        changed = {k: v for k, v in step.state.items() if previous.get(k) != v}
        if step.label is not None:
            values = ", ".join(f"{name}={value!r}" for name, value in changed.items())
            lines.append(f"      {step.label}: {values}")
        previous = step.state
    return lines


def encode_verdict(verdict):
    """Encode a verdict as one JSON line."""
    document = dataclasses.asdict(verdict)
    return orjson.dumps(document, default=sorted).decode()


def check_invariants(names):
    """Check all invariants; return the verdicts and whether all of them hold."""
    verdicts = [v for name in names for v in specifications.get(name).check()]
    return verdicts, all(v.holds is True for v in verdicts)


def check_mutations(names):
    """Disable each guard in turn and search for a counterexample.

    :returns: one verdict per guard, and whether every search found a counterexample
    """
    verdicts = [
        specifications.get(name).find_counterexample(guard)
        for name in names
        for guard in specifications.get(name).guards
    ]
    return verdicts, all(v.holds is False for v in verdicts)


def print_verdict(verdict):
    """Print a verdict as text, with its counterexample if there is one."""
    result_texts = {True: "holds", False: "violated", None: "undetermined"}
    subject = verdict.mutation or verdict.invariant
    line = f"{verdict.specification:<14} {subject:<24} {verdict.states:>8} states"
    click.echo(f"{line}  {result_texts[verdict.holds]}")
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
    help="Check only this specification. Repeat the option for several.",
)
@click.option(
    "--mutate",
    is_flag=True,
    help="Disable one guard at a time; each must yield a counterexample.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON line per verdict."
)
def command(names, mutate, as_json):
    """Check the protocol specifications by exhaustive search.

    The exit code is 1 when an invariant does not hold or, with --mutate, when no
    counterexample is found for a disabled guard.
    """
    names = names or specifications.names
    check = check_mutations if mutate else check_invariants
    verdicts, passed = check(names)
    for verdict in verdicts:
        if as_json:
            click.echo(encode_verdict(verdict))
        else:
            print_verdict(verdict)
    if not as_json:
        for name in names:
            click.echo(f"bounds of {name}: {specifications.get(name).bounds}")
        found = sum(v.holds is False for v in verdicts)
        if mutate:
            click.echo(f"{found} of {len(verdicts)} mutations found")
    sys.exit(0 if passed else 1)
