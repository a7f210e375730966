"""``monsoonline status``: state of the entries."""

import dataclasses
import sys

import click
import orjson

from monsoonline.formatting import format_duration, format_table
from monsoonline.report.reader import read_entries

__all__ = ["command"]

STATUS_PATH = "/status"
HEADER = ("entry", "address", "state", "ready", "revision", "contact", "in flight")


def row_of(answer):
    """Return the table row of one entry."""
    if answer.error:
        return ("-", answer.address, "unreachable", "no", "-", "-", "-")
    status = answer.document
    return (
        status["name"],
        answer.address,
        "isolated" if status["isolated"] else status["state"],
        "yes" if status["ready"] else "no",
        str(status["revision"]),
        format_duration(status["table_age_ms"]),
        str(status["requests_in_flight"]),
    )


def disagreements(answers):
    """Return sentences about entries that differ from the others."""
    reached = [answer.document for answer in answers if not answer.error]
    newest = max((status["revision"] for status in reached), default=0)
    sentences = [
        f"{status['name']} has revision {status['revision']}, the newest is {newest}"
        for status in reached
        if status["revision"] < newest
    ]
    for status in reached:
        listed = [m for m in status["members"] if m["state"] in ("suspect", "gone")]
        sentences += [
            f"{status['name']} sees {member['name']} as {member['state']}"
            for member in listed
        ]
    return sentences


@click.command("status")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Operations port of an entry; may be given more than once.",
)
@click.option("--timeout-ms", default=2000.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(entries, timeout_ms, as_json):
    """Show the state of entries and where they differ.

    Exits with 1 where an entry is not ready or not reachable, and with 3 where none
    is reachable.
    """
    answers = read_entries(entries, STATUS_PATH, timeout_ms=timeout_ms)
    notes = disagreements(answers)
    if as_json:
        document = {
            "entries": [dataclasses.asdict(answer) for answer in answers],
            "notes": notes,
        }
        click.echo(orjson.dumps(document).decode())
    else:
        click.echo(format_table(HEADER, [row_of(answer) for answer in answers]))
        for note in notes:
            click.echo(note)
    if all(answer.error for answer in answers):
        sys.exit(3)
    ready = all(not a.error and a.document["ready"] for a in answers)
    sys.exit(0 if ready else 1)
