"""Bytes, CPU and memory of entries that no caller uses."""

import os
import pathlib
import re
import statistics
import time

from tools.fleet.clients import NoAnswer, fetch
from tools.fleet.deployment import Fleet
from tools.fleet.report import Bound

from monsoonline.bench.control import (
    MAX_BYTES_PER_SECOND,
    MAX_CPU_SHARE,
    MAX_MEMORY_BYTES,
)

__all__ = ["measure_control_cost"]

GOSSIP_BYTES = re.compile(r"^monsoonline_gossip_bytes\{[^}]*\} (\S+)$", re.MULTILINE)
DIRECTIONS = 2
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
    """Return the bytes of gossip sent and received so far.

    :raises NoAnswer: when the metrics do not have both values
    """
    status, content = fetch(entry.operations, "/metrics")
    values = GOSSIP_BYTES.findall(content.decode())
    if status != 200 or len(values) != DIRECTIONS:
        raise NoAnswer(f"{entry.name}: status {status}, {len(values)} byte counters")
    return sum(map(float, values))


def measure_control_cost(*, entries, seconds):
    """Measure every entry of a fleet over some time.

    The scrapes at both ends are part of the CPU time. The bytes are those of gossip;
    the reads of the platform are counted beside them.

    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries) as fleet:
        time.sleep(SETTLE_SECONDS)
        identities = [entry.process.process_id for entry in fleet.entries]
        sent = [gossip_bytes(entry) for entry in fleet.entries]
        reads = fleet.counters()["reads"]["total"]
        cpu = [cpu_seconds(identity) for identity in identities]
        started = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = [cpu_seconds(i) - c for i, c in zip(identities, cpu, strict=True)]
        sent = [
            gossip_bytes(entry) - before
            for entry, before in zip(fleet.entries, sent, strict=True)
        ]
        reads = fleet.counters()["reads"]["total"] - reads
        machines = len(fetch(fleet.platform, "/v1/machines")[1])
        memory = [resident_bytes(identity) for identity in identities]
    rates = [value / elapsed for value in sent]
    shares = [value / elapsed for value in cpu]
    result = {
        "entries": entries,
        "seconds": round(elapsed, 1),
        "bytes_per_second": spread_of(rates),
        "cpu_share": spread_of(shares),
        "resident_bytes": spread_of(memory),
        "platform_reads_per_entry_and_second": reads / entries / elapsed,
        "vm_list_answer_bytes": machines,
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
