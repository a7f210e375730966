"""Restart of all entries at once, and of a fifth of them without the store."""

import concurrent.futures
import time

from tools.fleet.deployment import READY_TIMEOUT_SECONDS, Entry, Fleet
from tools.fleet.replacement import store_bounds
from tools.fleet.report import Bound

__all__ = ["measure_restart"]

RESTARTED_SHARE = 0.2


def restart(entries):
    """Kill entries at once, start them again and wait until all are ready.

    :returns: time in s from the start of the new processes until all are ready
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
    """Return the sorted sources from which the current processes joined."""
    return sorted(
        line["source"]
        for entry in entries
        for line in entry.process.log_lines
        if line["message"] == "joined"
    )


def measure_restart(*, entries):
    """Restart all entries with the store up, then a fifth with the store down.

    :param entries: number of entries
    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries) as fleet:
        fleet.reset_counters()
        seconds_with_store = restart(fleet.entries)
        counters_up = fleet.counters()
        fleet.wait_until_known()
        fifth = fleet.entries[: max(1, round(entries * RESTARTED_SHARE))]
        fleet.reset_counters()
        fleet.set_store_faults(outage=True)
        seconds_without_store = restart(fifth)
        sources = join_sources(fifth)
        counters_down = fleet.counters()
        revisions = {entry.status()["revision"] for entry in fleet.entries}
    result = {
        "entries": entries,
        "all_ready_seconds": round(seconds_with_store, 2),
        "store_up": counters_up,
        "restarted_without_store": len(fifth),
        "fifth_ready_seconds": round(seconds_without_store, 2),
        "fifth_joined_through": sources,
        "store_down": counters_down,
    }
    bounds = [
        *store_bounds(counters_up),
        Bound(
            name="ready with the store up, s",
            value=seconds_with_store,
            limit=READY_TIMEOUT_SECONDS,
        ),
        Bound(
            name="ready without the store, s",
            value=seconds_without_store,
            limit=READY_TIMEOUT_SECONDS,
        ),
        Bound(
            name="joined otherwise than through peers",
            value=len(fifth) - sources.count("peers"),
            limit=0,
        ),
        Bound(name="differing revisions", value=len(revisions) - 1, limit=0),
        *store_bounds(counters_down),
    ]
    return result, bounds
