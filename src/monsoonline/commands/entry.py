"""``monsoonline entry``: run one entry."""

import dataclasses
import logging
import os
import queue
import signal
import sys

import click

from monsoonline.commands.output import print_document
from monsoonline.entry.runtime_tuning import limit_collection_pauses, wait_for_signal
from monsoonline.entry.service import EntryService
from monsoonline.errors import FindingsError
from monsoonline.logs import configure_logging
from monsoonline.settings import load_settings

__all__ = ["command"]


@click.command("entry")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(settings_file, as_json):
    """Run one entry with the settings in SETTINGS_FILE until SIGTERM.

    Exits 0 after a graceful stop, 1 where a second signal or the limit shortened the
    stop; then the number of interrupted requests is printed.
    """
    try:
        settings = load_settings(settings_file)
        configure_logging(settings.log_level)
        service = EntryService(settings=settings)
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    received = queue.SimpleQueue()
    stopping = False

    def handle_signal(number, _):
        if stopping:
            service.shorten_stop()
        received.put(number)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)
    service.start()
    limit_collection_pauses()
    print_document(
        {
            "callers": service.callers_address,
            "operations": service.operations_address,
            "peers": service.peers_address,
        },
        as_json=as_json,
    )
    wait_for_signal(received)
    stopping = True
    report = service.stop()
    print_document(dataclasses.asdict(report), as_json=as_json)
    sys.stdout.flush()
    logging.shutdown()
    if report.cut:
        # A normal exit joins the worker threads, which the cut requests still hold.
        os._exit(report.exit_code)
    sys.exit(report.exit_code)
