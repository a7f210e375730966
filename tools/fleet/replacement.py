"""Replacement of all entries, one by one, under load."""

import time

from tools.fleet.deployment import Fleet
from tools.fleet.load import ZERO_COUNTERS, Load
from tools.fleet.report import Bound

__all__ = ["measure_replacement", "store_bounds"]

MAX_READS_PER_SECOND = 1000
MAX_WRITES_PER_SECOND = 100
STEADY_LOAD_SECONDS = 0.5


def store_bounds(counters):
    """Return the bounds on the highest rates of platform reads and writes in 1 s."""
    return [
        Bound(
            name=f"{kind} in the worst 1 s",
            value=counters[kind]["max_per_second"],
            limit=limit,
        )
        for kind, limit in (
            ("reads", MAX_READS_PER_SECOND),
            ("writes", MAX_WRITES_PER_SECOND),
        )
    ]


def replace(entry):
    """Replace one entry; return its exit code, stop report and the time taken in s."""
    started = time.monotonic()
    code, report = entry.stop()
    entry.start()
    ready = entry.wait_until_ready()
    return code, report, ready - started


def measure_replacement(
    *, entries, callers, seed, propagation_ms=3000.0, replaced_entries=None
):
    """Replace entries one by one while callers send lookups and bookings.

    :param entries: number of entries
    :param callers: number of callers, 20 calls/s each
    :param seed: seed of the random choices
    :param propagation_ms: as for :class:`tools.fleet.deployment.Fleet`
    :param replaced_entries: number of entries to replace; ``None`` for all
    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries, propagation_ms=propagation_ms) as fleet:
        fleet.reset_counters()
        load = Load(fleet=fleet, callers=callers, seed=seed)
        started = time.monotonic()
        with load.running():
            time.sleep(STEADY_LOAD_SECONDS)
            replaced = [replace(entry) for entry in fleet.entries[:replaced_entries]]
            time.sleep(STEADY_LOAD_SECONDS)
        seconds = time.monotonic() - started
        counts = load.account()
        counters = fleet.counters()
    codes = [code for code, _, _ in replaced]
    cut = sum(report.get("cut", 1) for _, report, _ in replaced)
    result = {
        "entries": entries,
        "seed": seed,
        "seconds": round(seconds, 1),
        "exit_codes": codes,
        "replacement_max_seconds": round(max(r[2] for r in replaced), 2),
        "calls": counts,
        "store": counters,
    }
    bounds = [Bound(name=name, value=counts[name], limit=0) for name in ZERO_COUNTERS]
    bounds += [
        Bound(name="calls interrupted", value=counts["interrupted"], limit=0),
        Bound(name="calls without an entry", value=counts["without_entry"], limit=0),
        Bound(name="requests cut by a stop", value=cut, limit=0),
        Bound(name="exit codes other than 0", value=sum(map(bool, codes)), limit=0),
        *store_bounds(counters),
    ]
    return result, bounds
