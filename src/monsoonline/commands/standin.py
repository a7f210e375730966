"""``monsoonline standin``: run the platform stand-in."""

import pathlib
import queue
import signal

import click
import orjson

from monsoonline.commands.output import print_document
from monsoonline.core.documents import tables_findings
from monsoonline.entry.runtime_tuning import wait_for_signal
from monsoonline.standin.platform import PlatformStandIn

__all__ = ["command", "wait_for_stop"]


def wait_for_stop():
    """Block until SIGTERM or SIGINT."""
    received = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, _: received.put(number))
    wait_for_signal(received)


@click.command("standin")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 takes any free port.")
@click.option(
    "--tables",
    type=click.Path(exists=True, dir_okay=False),
    help="JSON file with routes and pools to begin with.",
)
@click.option(
    "--machines",
    type=click.Path(exists=True, dir_okay=False),
    help='JSON file with the VM list, as {"vms": [...]}.',
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, tables, machines, as_json):
    """Run a stand-in for the platform: table service, object store and VM list.

    Everything is kept in memory. PUT /control/faults switches faults per service
    (tables, objects, machines), for example {"tables": {"outage": true}}; the faults
    are outage, outage_after_write, slow_ms, lose_responses and stale. GET
    /control/counters returns the reads and writes, with the maximum in any window of
    1 s.
    """
    platform = PlatformStandIn(host=host, port=port)
    if tables:
        load_tables(platform, tables)
    if machines:
        platform.put_machines(load_document(machines)["vms"])
    platform.start()
    print_document({"url": platform.url}, as_json=as_json)
    wait_for_stop()
    platform.close()


def load_document(path):
    """Return the JSON value of a file."""
    try:
        return orjson.loads(pathlib.Path(path).read_bytes())
    except orjson.JSONDecodeError as error:
        raise click.UsageError(f"{path}: not a JSON document: {error}") from None


def load_tables(platform, path):
    """Write the rows of a tables file, exiting with 2 where it is not valid."""
    document = load_document(path)
    findings = tables_findings(document, place=path)
    if findings:
        raise click.UsageError("\n".join(str(finding) for finding in findings))
    for table in ("pools", "routes"):
        for name, row in document.get(table, {}).items():
            platform.put_row(table, name, row)
