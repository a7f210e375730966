"""``monsoonline status``: state of the entries and differences between them."""

import dataclasses
import sys

import click
import orjson

from monsoonline.formatting import format_duration, format_table
from monsoonline.report.reader import read_entries

__all__ = ["command"]

STATUS_PATH = "/status"
HEADER = ("entry", "address", "state", "ready", "revision", "contact", "in flight")


def format_row(response):
    """Format the response of one entry as a table row."""
    if response.error:
        return ("-", response.address, "unreachable", "no", "-", "-", "-")
    status = response.document
    return (
        status["name"],
        response.address,
        "isolated" if status["isolated"] else status["state"],
        "yes" if status["ready"] else "no",
        str(status["revision"]),
        format_duration(status["table_age_ms"]),
        str(status["requests_in_flight"]),
    )


def difference_notes(responses):
    """Return notes on outdated revisions and on suspect or gone members."""
    reached = [response.document for response in responses if not response.error]
    newest = max((status["revision"] for status in reached), default=0)
    notes = [
        f"{status['name']} has revision {status['revision']}, the newest is {newest}"
        for status in reached
        if status["revision"] < newest
    ]
    for status in reached:
        unavailable = [
            m for m in status["members"] if m["state"] in ("suspect", "gone")
        ]
        notes += [
            f"{status['name']} sees {member['name']} as {member['state']}"
            for member in unavailable
        ]
    return notes


@click.command("status")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Operations port of an entry. Repeat the option for several entries.",
)
@click.option("--timeout-ms", default=2000.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(entries, timeout_ms, as_json):
    """Show the state of entries and the differences between them.

    The exit code is 1 when an entry is not ready or not reachable, and 3 when no entry
    is reachable.
    """
    responses = read_entries(entries, STATUS_PATH, timeout_ms=timeout_ms)
    notes = difference_notes(responses)
    if as_json:
        document = {
            "entries": [dataclasses.asdict(response) for response in responses],
            "notes": notes,
        }
        click.echo(orjson.dumps(document).decode())
    else:
        click.echo(
            format_table(HEADER, [format_row(response) for response in responses])
        )
        for note in notes:
            click.echo(note)
    if all(response.error for response in responses):
        sys.exit(3)
    ready = all(not r.error and r.document["ready"] for r in responses)
    sys.exit(0 if ready else 1)
