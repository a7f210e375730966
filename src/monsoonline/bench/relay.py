"""Measures the latency that an entry adds, by interleaved direct and relayed calls."""

import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import resource
import threading

from hdrh.histogram import HdrHistogram

from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.clock import SystemClock
from monsoonline.core.model import Upstream
from monsoonline.entry.service import EntryService
from monsoonline.settings import EntrySettings
from monsoonline.standin.platform import PlatformStandIn
from monsoonline.standin.upstream import UpstreamStandIn
from monsoonline.types import Request

__all__ = [
    "ADDED_P99_BOUND_MS",
    "Comparison",
    "ProcessUsage",
    "RelayLoad",
    "local_system",
]

# Requirement: latency that a call through an entry gains, for 99 in 100.
ADDED_P99_BOUND_MS = 0.89
LOWEST_NS = 1_000
HIGHEST_NS = 60_000_000_000
SIGNIFICANT_DIGITS = 3
NS_PER_MS = 1e6
DEADLINE_MS = 5000.0
# Calls of each kind that a caller makes before its calls are recorded.
WARM_UP_CALLS = 20
SLOTS = 64
PATH = "/bench"


def pool_row(upstream_address):
    """Return the pool row of the measured upstream."""
    upstream = {"address": upstream_address, "slots": SLOTS}
    return {"department": "bench", "upstreams": [upstream]}


def route_row(pool):
    """Return the route row of the measured calls."""
    return {
        "department": "bench",
        "pool": pool,
        "match": {"path_prefix": PATH},
        "idempotent": True,
        "deadline_ms": DEADLINE_MS,
    }


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUsage:
    """CPU time and memory of a process.

    :param cpu_seconds: user and system time so far
    :param memory_mb: resident memory in MB
    """

    cpu_seconds: float
    memory_mb: float

    @classmethod
    def read(cls, process):
        """Read the usage of a process by its id."""
        directory = pathlib.Path("/proc") / str(process)
        # The process name in parentheses may contain blanks.
        fields = (directory / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int((directory / "statm").read_text().split()[1])
        return cls(
            cpu_seconds=ticks / os.sysconf("SC_CLK_TCK"),
            memory_mb=pages * resource.getpagesize() / 1e6,
        )


class Comparison:
    """Latencies of direct and relayed calls of one run."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histograms = {
            kind: HdrHistogram(LOWEST_NS, HIGHEST_NS, SIGNIFICANT_DIGITS)
            for kind in ("direct", "relayed")
        }

    def record(self, kind, latency_ms):
        """Add one call; ``kind`` is ``direct`` or ``relayed``."""
        with self._lock:
            self._histograms[kind].record_value(int(latency_ms * NS_PER_MS))

    def count(self, kind):
        """Return the number of calls recorded."""
        return self._histograms[kind].get_total_count()

    def percentile_ms(self, kind, percentile):
        """Return a percentile in ms."""
        value = self._histograms[kind].get_value_at_percentile(percentile)
        return value / NS_PER_MS

    def document(self):
        """Return percentiles, ratios and differences as a flat mapping."""
        result = {}
        for percentile in (50, 99):
            direct = self.percentile_ms("direct", percentile)
            relayed = self.percentile_ms("relayed", percentile)
            result[f"direct_p{percentile}_ms"] = round(direct, 3)
            result[f"relayed_p{percentile}_ms"] = round(relayed, 3)
            result[f"added_p{percentile}_ms"] = round(relayed - direct, 3)
            result[f"ratio_p{percentile}"] = round(relayed / direct, 2)
        return result


class RelayLoad:
    """Callers that alternate direct and relayed calls at a fixed pace.

    :param entry: ``host:port`` of the entry's callers' port
    :param upstream: ``host:port`` of the upstream
    :param callers: threads, each with its own connections
    :param rate: calls of each kind per second, over all callers
    """

    def __init__(self, *, entry, upstream, callers, rate):
        self._targets = {
            "direct": Upstream(address=upstream, failure_domain="", slots=SLOTS),
            "relayed": Upstream(address=entry, failure_domain="", slots=SLOTS),
        }
        self._callers = callers
        self._interval_ms = 1e3 * callers / rate
        self._clock = SystemClock()
        self._comparison = Comparison()

    @property
    def comparison(self):
        """The latencies recorded so far."""
        return self._comparison

    def run(self, seconds):
        """Make calls for a time.

        :param seconds: duration of the recorded part
        :returns: the number of recorded calls that failed
        """
        with concurrent.futures.ThreadPoolExecutor(self._callers) as executor:
            futures = [
                executor.submit(self._call_repeatedly, number, seconds)
                for number in range(self._callers)
            ]
            return sum(future.result() for future in futures)

    def _call_repeatedly(self, number, seconds):
        transport = HttpUpstreamTransport(clock=self._clock)
        with contextlib.closing(transport):
            for _ in range(WARM_UP_CALLS):
                for target in self._targets.values():
                    self._call(transport, target)
            start = self._clock.now() + self._interval_ms * number / self._callers
            failed = 0
            for turn in range(int(seconds * 1e3 / self._interval_ms)):
                self._clock.sleep(start + turn * self._interval_ms - self._clock.now())
                # The order alternates, so that neither kind always runs first.
                kinds = ("direct", "relayed") if turn % 2 else ("relayed", "direct")
                failed += sum(self._measure(transport, kind) for kind in kinds)
            return failed

    def _measure(self, transport, kind):
        started = self._clock.now()
        status = self._call(transport, self._targets[kind])
        self._comparison.record(kind, self._clock.now() - started)
        return status != 200

    def _call(self, transport, target):
        request = Request(
            method="GET", host="bench", target=PATH, headers=(("Host", "bench"),)
        )
        return transport.exchange(
            target,
            request,
            deadline=self._clock.now() + DEADLINE_MS,
            idempotent=True,
        ).status


@contextlib.contextmanager
def local_system(*, service_ms):
    """Run an upstream, the platform and an entry in this process.

    :param service_ms: time that the upstream takes for a request
    :returns: context manager whose value is the started :class:`EntryService` and
        the upstream's address
    """
    with contextlib.ExitStack() as stack:
        upstream = UpstreamStandIn(slots=SLOTS, service_ms=service_ms)
        upstream.start()
        stack.callback(upstream.close)
        platform = PlatformStandIn()
        platform.start()
        stack.callback(platform.close)
        platform.put_row("pools", "bench", pool_row(upstream.address))
        platform.put_row("routes", "bench", route_row("bench"))
        settings = EntrySettings(name="bench", platform={"url": platform.url})
        entry = EntryService(settings=settings)
        entry.start()
        stack.callback(entry.close)
        yield entry, upstream.address
