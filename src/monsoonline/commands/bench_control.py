"""``monsoonline bench control``: cost of the control plane for one entry."""

import sys

import click
import orjson

from monsoonline.bench.control import measure_loopback, measure_virtual, targets_of

__all__ = ["command"]

LOOPBACK_MEMBERS = 20
VIRTUAL_MEMBERS = (20, 100, 300)


@click.command("control")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="Duration of the loopback measurement.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the virtual-time simulation."
)
def command(as_json, seconds, seed):
    """Measure traffic, CPU and memory of an entry; exit 1 when a bound is not met."""
    loopback = measure_loopback(members=LOOPBACK_MEMBERS, duration_ms=seconds * 1e3)
    virtual = [measure_virtual(members=n, seed=seed) for n in VIRTUAL_MEMBERS]
    targets = targets_of(loopback, virtual)
    if as_json:
        document = {
            "loopback": loopback,
            "virtual": virtual,
            "targets": [target.document() for target in targets],
        }
        click.echo(orjson.dumps(document).decode())
    else:
        for target in targets:
            verdict = "holds" if target.holds else "DOES NOT HOLD"
            value = "none" if target.value is None else f"{target.value:.6g}"
            click.echo(f"{target.name}: {value} (bound {target.bound:g}) {verdict}")
    sys.exit(0 if all(target.holds for target in targets) else 1)
