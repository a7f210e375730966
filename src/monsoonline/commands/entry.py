"""``monsoonline entry``: run one load balancer process."""

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
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def command(settings_file, as_json):
    """Run one entry with the settings in SETTINGS_FILE until SIGTERM.

    The exit code is 0 after a graceful stop and 1 when a second signal or the stop time
    limit shortened it. The printed report has the number of interrupted requests.
    """
    try:
        settings = load_settings(settings_file)
        configure_logging(settings.log_level)
        service = EntryService(settings=settings)
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    received_signals = queue.SimpleQueue()
    stopping = False

    def handle_signal(signal_number, _):
        if stopping:
            service.shorten_stop()
        received_signals.put(signal_number)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, handle_signal)
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
    wait_for_signal(received_signals)
    stopping = True
    report = service.stop()
    print_document(dataclasses.asdict(report), as_json=as_json)
    sys.stdout.flush()
    logging.shutdown()
    if report.cut:
        # A normal exit would join the worker threads, which are still blocked by the
        # interrupted requests.
        os._exit(report.exit_code)
    sys.exit(report.exit_code)
