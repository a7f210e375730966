"""Network traffic, CPU time and memory of entries without callers."""

import os
import pathlib
import re
import statistics
import time

from tools.fleet.clients import NoResponse, fetch
from tools.fleet.deployment import Fleet
from tools.fleet.report import Bound

from monsoonline.bench.control import (
    MAX_BYTES_PER_SECOND,
    MAX_CPU_SHARE,
    MAX_MEMORY_BYTES,
)

__all__ = ["measure_control_cost"]

GOSSIP_BYTES = re.compile(r"^monsoonline_gossip_bytes\{[^}]*\} (\S+)$", re.MULTILINE)
# Sent and received.
DIRECTIONS = 2
SETTLE_SECONDS = 5.0


def cpu_seconds(process_id):
    """Return the CPU time in s that a process has used."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    # The second field is a name in parentheses, which may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(process_id):
    """Return the resident memory of a process in bytes."""
    pages = pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def gossip_bytes(entry):
    """Return the total number of gossip bytes sent and received.

    :raises NoResponse: when the metrics do not contain both counters
    """
    status, content = fetch(entry.operations, "/metrics")
    values = GOSSIP_BYTES.findall(content.decode())
    if status != 200 or len(values) != DIRECTIONS:
        raise NoResponse(f"{entry.name}: status {status}, {len(values)} byte counters")
    return sum(map(float, values))


def measure_control_cost(*, entries, seconds):
    """Measure every entry of a fleet for some time.

    The CPU time includes the metrics scrapes at the start and the end. The bytes are
    gossip only; reads from the platform are counted separately.

    :param entries: number of entries
    :param seconds: duration of the measurement
    :returns: JSON object and the bounds
    """
    with Fleet(entries=entries) as fleet:
        time.sleep(SETTLE_SECONDS)
        process_ids = [entry.process.process_id for entry in fleet.entries]
        gossip = [gossip_bytes(entry) for entry in fleet.entries]
        reads = fleet.counters()["reads"]["total"]
        cpu = [cpu_seconds(process_id) for process_id in process_ids]
        started = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = [cpu_seconds(i) - c for i, c in zip(process_ids, cpu, strict=True)]
        gossip = [
            gossip_bytes(entry) - before
            for entry, before in zip(fleet.entries, gossip, strict=True)
        ]
        reads = fleet.counters()["reads"]["total"] - reads
        vm_list_bytes = len(fetch(fleet.platform, "/v1/machines")[1])
        memory = [resident_bytes(process_id) for process_id in process_ids]
    rates = [value / elapsed for value in gossip]
    shares = [value / elapsed for value in cpu]
    result = {
        "entries": entries,
        "seconds": round(elapsed, 1),
        "bytes_per_second": summarize(rates),
        "cpu_share": summarize(shares),
        "resident_bytes": summarize(memory),
        "platform_reads_per_entry_and_second": reads / entries / elapsed,
        "vm_list_answer_bytes": vm_list_bytes,
    }
    limits = (
        ("gossip bytes/s, maximum", max(rates), MAX_BYTES_PER_SECOND),
        ("CPU share, maximum", max(shares), MAX_CPU_SHARE),
        ("resident bytes, maximum", max(memory), MAX_MEMORY_BYTES),
    )
    return result, [Bound(name=n, value=v, limit=limit) for n, v, limit in limits]


def summarize(values):
    """Return the minimum, median and maximum."""
    return {
        "minimum": min(values),
        "median": statistics.median(values),
        "maximum": max(values),
    }
