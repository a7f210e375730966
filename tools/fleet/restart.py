"""All entries restarted at once, and a fifth of them without the store."""

import concurrent.futures
import time

from tools.fleet.deployment import READY_TIMEOUT_SECONDS, Entry, Fleet
from tools.fleet.replacement import store_bounds
from tools.fleet.report import Bound

__all__ = ["measure_restart"]

RESTARTED_SHARE = 0.2


def restart(entries):
    """Kill entries at once, start them again, and wait until all are ready.

    :returns: seconds from the start of the new processes until the last is ready
    """
    for entry in entries:
        entry.process.kill()
    for entry in entries:
        entry.process.wait()
    started = time.monotonic()
    for entry in entries:
        entry.start()
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as executor:
        return max(executor.map(Entry.wait_until_ready, entries)) - started


def join_sources(entries):
    """Return from where the latest processes joined, sorted."""
    return sorted(
        line["source"]
        for entry in entries
        for line in entry.process.log_lines
        if line["message"] == "joined"
    )


def measure_restart(*, entries):
    """Restart all entries with the store up, then a fifth with the store down.

    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries) as fleet:
        fleet.reset_counters()
        with_store = restart(fleet.entries)
        up = fleet.counters()
        fleet.wait_until_known()
        fifth = fleet.entries[: max(1, round(entries * RESTARTED_SHARE))]
        fleet.reset_counters()
        fleet.set_store_faults(outage=True)
        without_store = restart(fifth)
        sources = join_sources(fifth)
        down = fleet.counters()
        revisions = {entry.status()["revision"] for entry in fleet.entries}
    result = {
        "entries": entries,
        "all_ready_seconds": round(with_store, 2),
        "store_up": up,
        "restarted_without_store": len(fifth),
        "fifth_ready_seconds": round(without_store, 2),
        "fifth_joined_through": sources,
        "store_down": down,
    }
    bounds = [
        *store_bounds(up),
        Bound(
            name="ready with the store up, s",
            value=with_store,
            limit=READY_TIMEOUT_SECONDS,
        ),
        Bound(
            name="ready without the store, s",
            value=without_store,
            limit=READY_TIMEOUT_SECONDS,
        ),
        Bound(
            name="joined otherwise than through peers",
            value=len(fifth) - sources.count("peers"),
            limit=0,
        ),
        Bound(name="differing revisions", value=len(revisions) - 1, limit=0),
        *store_bounds(down),
    ]
    return result, bounds
