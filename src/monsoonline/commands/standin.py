"""``monsoonline standin``: run the platform stand-in."""

import signal
import threading

import click

from monsoonline.commands.output import print_document
from monsoonline.standin.platform import PlatformStandIn

__all__ = ["command", "wait_for_stop"]


def wait_for_stop():
    """Block until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


@click.command("standin")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 takes any free port.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, as_json):
    """Run a stand-in for the platform: tables, object store and VM list."""
    platform = PlatformStandIn(host=host, port=port)
    platform.start()
    print_document({"url": platform.url}, as_json=as_json)
    wait_for_stop()
    platform.close()
