"""``monsoonline entry``: run one entry."""

import signal
import sys
import threading

import click

from monsoonline.commands.output import print_document
from monsoonline.entry.service import EntryService
from monsoonline.errors import FindingsError
from monsoonline.logs import configure_logging
from monsoonline.settings import load_settings

__all__ = ["command"]


@click.command("entry")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(settings_file, as_json):
    """Run one entry with the settings in SETTINGS_FILE until SIGTERM."""
    try:
        settings = load_settings(settings_file)
        configure_logging(settings.log_level)
        service = EntryService(settings=settings)
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    service.start()
    print_document(
        {"callers": service.callers_address, "operations": service.operations_address},
        as_json=as_json,
    )
    stopped.wait()
    service.close()
