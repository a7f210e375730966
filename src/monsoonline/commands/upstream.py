"""``monsoonline upstream``: run an upstream stand-in."""

import click

from monsoonline.commands.output import print_document
from monsoonline.commands.standin import wait_for_stop
from monsoonline.entry.interpreter import limit_collection_pauses
from monsoonline.standin.upstream import UpstreamStandIn

__all__ = ["command"]


@click.command("upstream")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 takes any free port.")
@click.option("--slots", default=3, show_default=True, help="Requests served at once.")
@click.option("--service-ms", default=1.0, show_default=True, help="Time per request.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, slots, service_ms, as_json):
    """Run a stand-in for an upstream server."""
    upstream = UpstreamStandIn(host=host, port=port, slots=slots, service_ms=service_ms)
    upstream.start()
    limit_collection_pauses()
    print_document({"address": upstream.address}, as_json=as_json)
    wait_for_stop()
    upstream.close()
