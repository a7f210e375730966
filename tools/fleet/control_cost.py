"""Bytes, CPU and memory of entries that no caller uses."""

import os
import pathlib
import re
import statistics
import time

from tools.fleet.clients import fetch
from tools.fleet.deployment import Fleet
from tools.fleet.report import Bound

from monsoonline.bench.control import (
    MAX_BYTES_PER_SECOND,
    MAX_CPU_SHARE,
    MAX_MEMORY_BYTES,
)

__all__ = ["measure_control_cost"]

GOSSIP_BYTES = re.compile(r"^monsoonline_gossip_bytes\{[^}]*\} (\S+)$", re.MULTILINE)
SETTLE_SECONDS = 5.0


def cpu_seconds(process_id):
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    # The second field is a name in parentheses that may hold spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(process_id):
    """Return the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def gossip_bytes(entry):
    """Return the bytes of gossip sent and received so far."""
    _, content = fetch(entry.operations, "/metrics")
    return sum(float(value) for value in GOSSIP_BYTES.findall(content.decode()))


def measure_control_cost(*, entries, seconds):
    """Measure every entry of a fleet over some time.

    The scrapes at both ends are part of the CPU time.

    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries) as fleet:
        time.sleep(SETTLE_SECONDS)
        identities = [entry.process.process_id for entry in fleet.entries]
        sent = [gossip_bytes(entry) for entry in fleet.entries]
        cpu = [cpu_seconds(identity) for identity in identities]
        started = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = [cpu_seconds(i) - c for i, c in zip(identities, cpu, strict=True)]
        sent = [
            gossip_bytes(entry) - before
            for entry, before in zip(fleet.entries, sent, strict=True)
        ]
        memory = [resident_bytes(identity) for identity in identities]
    rates = [value / elapsed for value in sent]
    shares = [value / elapsed for value in cpu]
    result = {
        "entries": entries,
        "seconds": round(elapsed, 1),
        "bytes_per_second": spread_of(rates),
        "cpu_share": spread_of(shares),
        "resident_bytes": spread_of(memory),
    }
    limits = (
        ("gossip bytes/s, maximum", max(rates), MAX_BYTES_PER_SECOND),
        ("CPU share, maximum", max(shares), MAX_CPU_SHARE),
        ("resident bytes, maximum", max(memory), MAX_MEMORY_BYTES),
    )
    return result, [Bound(name=n, value=v, limit=limit) for n, v, limit in limits]


def spread_of(values):
    """Return minimum, median and maximum."""
    return {
        "minimum": min(values),
        "median": statistics.median(values),
        "maximum": max(values),
    }
