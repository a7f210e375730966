"""``monsoonline upstream``: run an upstream stand-in."""

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
@click.option("--port", default=0, show_default=True, help="0 takes any free port.")
@click.option("--slots", default=3, show_default=True, help="Requests served at once.")
@click.option("--service-ms", default=1.0, show_default=True, help="Time per request.")
@click.option("--service-sigma", default=0.0, help="Spread of the service time.")
@click.option("--queue-limit", default=1024, show_default=True, help="Then it sheds.")
@click.option("--cold-start-ms", default=0.0, help="Slower for this time.")
@click.option("--seed", default=0, show_default=True, help="Of the service times.")
@click.option(
    "--records",
    type=click.Path(dir_okay=False),
    help="Append what it ran to this file, as JSON lines.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line at start.")
def command(host, port, slots, seed, records, as_json, **faults):
    """Run a stand-in for an upstream server.

    Its behaviour is switched with POST /.standin/faults (a JSON object),
    /.standin/silence, /.standin/cut and /.standin/crash; GET /.standin/records
    returns what it ran and GET /.standin/health its health.
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
