"""``monsoonline standin``: run a stand-in for the platform services."""

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
    received_signals = queue.SimpleQueue()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number, lambda signal_number, _: received_signals.put(signal_number)
        )
    wait_for_signal(received_signals)


@click.command("standin")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 selects a free port.")
@click.option(
    "--tables",
    type=click.Path(exists=True, dir_okay=False),
    help="JSON file with the initial routes and pools.",
)
@click.option(
    "--machines",
    type=click.Path(exists=True, dir_okay=False),
    help='JSON file with the VM list: {"vms": [...]}.',
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, tables, machines, as_json):
    """Run a stand-in for the platform: table service, object store and VM list.

    All data is kept in memory. PUT /control/faults injects faults per service (tables,
    objects, machines), for example {"tables": {"outage": true}}; the faults are
    outage, outage_after_write, slow_ms, lose_responses and stale. GET /control/counters
    returns the numbers of reads and writes and their maximum in any window of 1 s.
    """
    platform = PlatformStandIn(host=host, port=port)
    if tables:
        load_tables(platform, tables)
    if machines:
        platform.put_machines(load_json(machines)["vms"])
    platform.start()
    print_document({"url": platform.url}, as_json=as_json)
    wait_for_stop()
    platform.close()


def load_json(path):
    """Return the JSON value of a file."""
    try:
        return orjson.loads(pathlib.Path(path).read_bytes())
    except orjson.JSONDecodeError as error:
        raise click.UsageError(f"{path}: expected a JSON document: {error}") from None


def load_tables(platform, path):
    """Store the rows of a tables file in the platform stand-in.

    :raises click.UsageError: when the file is not valid; the exit code is 2
    """
    document = load_json(path)
    findings = tables_findings(document, place=path)
    if findings:
        raise click.UsageError("\n".join(str(finding) for finding in findings))
    for table in ("pools", "routes"):
        for name, row in document.get(table, {}).items():
            platform.put_row(table, name, row)
