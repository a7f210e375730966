"""Cost of the tables at one entry: bytes per change, time to apply, memory.

Run with ``python -m monsoonline.bench.configuration``.
"""

import gc
import statistics
import time
import tracemalloc

import click
import orjson

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.clock import SystemClock
from monsoonline.commands.output import print_document
from monsoonline.core.configuration import Configuration
from monsoonline.core.configuration_messages import Delta
from monsoonline.core.rows import RowChange, RowSet
from monsoonline.metrics import Metrics

__all__ = ["measure"]


class UnusedStore:
    """A store that is only told of revisions."""

    def observe_revision(self, revision):
        """Ignore the revision."""


def new_configuration():
    """Return a configuration without tables, store and peers."""
    return Configuration(
        name="bench",
        clock=SystemClock(),
        store=UnusedStore(),
        codec=ConfigurationCodec(),
        metrics=Metrics(),
    )


def pool_content(number, *, targets, slots=3):
    """Return the row of a pool as JSON bytes."""
    upstreams = [
        {
            "address": f"10.{number // 256}.{number % 256}.{target + 1}:8080",
            "failure_domain": f"domain-{target % 14}",
            "slots": slots,
        }
        for target in range(targets)
    ]
    return orjson.dumps({"department": "sales", "upstreams": upstreams})


def route_content(number):
    """Return the row of a route as JSON bytes."""
    return orjson.dumps(
        {
            "department": "sales",
            "pool": f"pool-{number}",
            "match": {"host": f"service-{number}.example", "path_prefix": "/"},
            "idempotent": number % 2 == 0,
            "deadline_ms": 1000,
        }
    )


def changes_of(services, targets):
    """Return the changes that create one pool and one route per service."""
    changes = []
    for number in range(services):
        for table, name, content in (
            ("pools", f"pool-{number}", pool_content(number, targets=targets)),
            ("routes", f"route-{number}", route_content(number)),
        ):
            changes.append(
                RowChange(
                    revision=len(changes) + 1, table=table, name=name, content=content
                )
            )
    return changes


def apply_times(configuration, *, services, targets, count):
    """Return the times in ms of applying ``count`` changes of one pool each."""
    times = []
    for index in range(count):
        number = index % services
        change = RowChange(
            revision=configuration.revision + 1,
            table="pools",
            name=f"pool-{number}",
            content=pool_content(number, targets=targets, slots=4 + index % 2),
        )
        started = time.perf_counter_ns()
        configuration.apply_changes((change,), "peer")
        times.append((time.perf_counter_ns() - started) / 1e6)
    return times, change


def measure(*, services=300, targets=16, changes=300):
    """Return the figures as a mapping.

    :param services: number of pools and of routes
    :param targets: upstreams per pool
    :param changes: number of changes applied one by one
    """
    rows = RowSet().apply(changes_of(services, targets))
    encoded = rows.encode()
    checksum = rows.checksum
    del rows
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    configuration = new_configuration()
    configuration.apply_rows(RowSet.decode(2 * services, encoded), "peer")
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.perf_counter_ns()
    whole = RowSet.decode(2 * services, encoded)
    new_configuration().apply_rows(whole, "peer")
    whole_ms = (time.perf_counter_ns() - started) / 1e6
    times, change = apply_times(
        configuration, services=services, targets=targets, count=changes
    )
    delta = Delta(
        since=change.revision - 1,
        revision=change.revision,
        checksum=checksum,
        ready=True,
        complete=True,
        changes=(change,),
    )
    return {
        "services": services,
        "targets": services * targets,
        "change_bytes": len(ConfigurationCodec().encode(delta)),
        "whole_bytes": len(encoded),
        "apply_median_ms": round(statistics.median(times), 3),
        "apply_max_ms": round(max(times), 3),
        "apply_whole_ms": round(whole_ms, 1),
        "memory_mib": round(memory / 2**20, 2),
    }


@click.command()
@click.option("--services", default=300, show_default=True)
@click.option("--targets", default=16, show_default=True, help="Upstreams per pool.")
@click.option("--changes", default=300, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def main(services, targets, changes, as_json):
    """Measure what the tables cost one entry."""
    figures = measure(services=services, targets=targets, changes=changes)
    print_document(figures, as_json=as_json)


if __name__ == "__main__":
    main()
