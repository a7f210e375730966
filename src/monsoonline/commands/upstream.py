"""``monsoonline upstream``: run a stand-in for an upstream server."""

import click
import pydantic

from monsoonline.commands.output import print_document
from monsoonline.commands.standin import wait_for_stop
from monsoonline.entry.runtime_tuning import limit_collection_pauses
from monsoonline.settings import to_findings
from monsoonline.standin.upstream import UpstreamFaults, UpstreamStandIn

__all__ = ["command"]


@click.command("upstream")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 selects a free port.")
@click.option(
    "--slots",
    default=3,
    show_default=True,
    help="Maximum number of concurrent requests.",
)
@click.option(
    "--service-ms", default=1.0, show_default=True, help="Service time of a request."
)
@click.option(
    "--service-sigma", default=0.0, help="Sigma of the log-normal service time."
)
@click.option(
    "--queue-limit",
    default=1024,
    show_default=True,
    help="Requests that may wait for a slot; more are shed.",
)
@click.option(
    "--cold-start-ms", default=0.0, help="Time after the start with slower service."
)
@click.option(
    "--seed", default=0, show_default=True, help="Random seed of the service times."
)
@click.option(
    "--records",
    type=click.Path(dir_okay=False),
    help="Append a JSON line for each executed request to this file.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, slots, seed, records, as_json, **faults):
    """Run a stand-in for an upstream server.

    Its behaviour is controlled with POST /.standin/faults (a JSON object),
    /.standin/silence, /.standin/cut and /.standin/crash. GET /.standin/records returns
    the executed requests and GET /.standin/health the health.
    """
    try:
        faults = UpstreamFaults(**faults)
    except pydantic.ValidationError as error:
        findings = to_findings(error, place="options")
        raise click.UsageError("\n".join(map(str, findings))) from None
    upstream = UpstreamStandIn(
        host=host,
        port=port,
        slots=slots,
        seed=seed,
        faults=faults,
        records_file=records,
    )
    upstream.start()
    limit_collection_pauses()
    print_document({"address": upstream.address}, as_json=as_json)
    wait_for_stop()
    upstream.close()
