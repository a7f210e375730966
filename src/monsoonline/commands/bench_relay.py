"""``monsoonline bench relay``: latency that an entry adds to a call."""

import contextlib
import os
import sys

import click

from monsoonline.bench.relay import (
    ADDED_P99_BOUND_MS,
    ProcessUsage,
    RelayLoad,
    local_system,
)
from monsoonline.commands.output import print_document
from monsoonline.entry.runtime_tuning import limit_collection_pauses

__all__ = ["command"]


@click.command("relay")
@click.option("--entry", help="host:port of a running entry's port for callers.")
@click.option("--upstream", help="host:port of the upstream that the entry calls.")
@click.option("--entry-process", type=int, help="Process id of the entry.")
@click.option("--callers", default=8, show_default=True, help="Concurrent callers.")
@click.option(
    "--rate", default=400.0, show_default=True, help="Direct and relayed calls/s each."
)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Duration of the measurement."
)
@click.option(
    "--service-ms",
    default=0.0,
    show_default=True,
    help="Service time of the in-process upstream.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(
    entry, upstream, entry_process, callers, rate, seconds, service_ms, as_json
):
    """Compare direct calls with calls through an entry, interleaved in one run.

    Without --entry and --upstream, callers, entry and upstream run in this process
    and compete for the interpreter lock, so the results are only an upper bound.
    """
    if (entry is None) != (upstream is None):
        raise click.UsageError("--entry and --upstream are used together")
    with contextlib.ExitStack() as stack:
        local = entry is None
        if local:
            service, upstream = stack.enter_context(local_system(service_ms=service_ms))
            entry = service.callers_address
        load = RelayLoad(entry=entry, upstream=upstream, callers=callers, rate=rate)
        limit_collection_pauses()
        before = ProcessUsage.read(entry_process) if entry_process else None
        failed = load.run(seconds)
        after = ProcessUsage.read(entry_process or os.getpid())
    calls = load.comparison.count("relayed")
    document = {
        "processes": "one (upper bound)" if local else "separate",
        "callers": callers,
        "rate": rate,
        "calls": calls,
        "failed": failed,
        **load.comparison.document(),
        "bound_added_p99_ms": ADDED_P99_BOUND_MS,
    }
    if before:
        cpu_seconds = max(after.cpu_seconds - before.cpu_seconds, 0.01)
        document["entry_cpu_us_per_call"] = round(1e6 * cpu_seconds / calls)
        document["entry_calls_per_s_per_core"] = round(calls / cpu_seconds)
    document["memory_mb"] = round(after.memory_mb, 1)
    holds = not failed and document["added_p99_ms"] <= ADDED_P99_BOUND_MS
    document["holds"] = holds
    print_document(document, as_json=as_json)
    sys.exit(0 if holds else 1)
