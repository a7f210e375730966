"""A small deployment in one process, over real sockets, with its accounting.

Callers send lookups and bookings while one upstream drains and one entry stops. The
result is counted from the upstreams' own records against what the callers were told.
"""

import collections
import concurrent.futures
import dataclasses
import threading
import uuid

import hdrh.histogram
import numpy
import orjson

from monsoonline.adapters.local_peers import LocalPeerHub
from monsoonline.caller import Caller, CallStatus, NoEntryAvailable
from monsoonline.clock import SystemClock
from monsoonline.entry.service import EntryService
from monsoonline.settings import EntrySettings
from monsoonline.standin.platform import PlatformStandIn
from monsoonline.standin.upstream import UpstreamFaults, UpstreamStandIn

__all__ = ["Call", "Deployment", "account", "run_demonstration"]

IDENTITY_HEADER = "Monsoonline-Request-Id"
FAILURE_DOMAINS = ("east", "middle", "west")
ENTRIES = 4
CALLERS = 8
BOOKING_SHARE = 0.4
RESEND_SHARE = 0.25
# Some bookings give up waiting before an upstream can answer, so that their resends
# meet a request that still runs.
HASTY_SHARE = 0.1
HASTY_TIMEOUT_MS = 6.0
QUIET_LIMIT_MS = 3000.0
DRAIN_AT = 0.3
STOP_AT = 0.5
MINIMUM_REQUESTS = 1000
ZERO_COUNTERS = ("lost", "doubled", "partial", "mismatched", "not_run_but_ran")
# Pool, path of its lookups, path of its bookings.
SERVICES = (("quotes", "/quotes", "/surveys"), ("orders", "/stock", "/challans"))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call and what its caller was told.

    :param identity: number of the request, the same for a resend
    :param booking: whether it must run at most once
    :param target: its target
    :param result: :class:`monsoonline.caller.CallResult`
    :param latency_ms: time until the result
    """

    identity: str
    booking: bool
    target: str
    result: object
    latency_ms: float


class Deployment:
    """Stand-ins and entries of one process.

    :param seed: seed of the upstreams' service times
    :param lifetime_ms: lifetime of discovery answers
    """

    def __init__(self, *, seed, lifetime_ms=1000.0):
        self.platform = PlatformStandIn()
        self.hub = LocalPeerHub()
        self.upstreams = {
            pool: [
                UpstreamStandIn(
                    seed=seed + number,
                    faults=UpstreamFaults(service_ms=5.0, service_sigma=0.4),
                )
                for number in range(3)
            ]
            for pool, _, _ in SERVICES
        }
        self.entries = []
        self._lifetime_ms = lifetime_ms

    @property
    def seeds(self):
        """Addresses of the entries."""
        return [entry.callers_address for entry in self.entries]

    @property
    def records(self):
        """Records of all upstreams."""
        return [
            record
            for upstreams in self.upstreams.values()
            for upstream in upstreams
            for record in upstream.records
        ]

    def start(self):
        """Start the platform, the upstreams and the entries."""
        self.platform.start()
        for pool, lookups, bookings in SERVICES:
            for upstream in self.upstreams[pool]:
                upstream.start()
            self._put_rows(pool, lookups, bookings)
        for number in range(ENTRIES):
            self.entries.append(self._start_entry(number))

    def stop_entry(self, number):
        """Stop an entry gracefully.

        :returns: :class:`monsoonline.entry.lifecycle.StopReport`
        """
        report = self.entries[number].stop()
        self.hub.leave(self.entries[number].incarnation)
        return report

    def wait_until_quiet(self):
        """Wait until no entry has a request in flight.

        A request that its caller gave up may run on; it counts as a run.
        """
        clock = SystemClock()
        end = clock.now() + QUIET_LIMIT_MS
        while clock.now() < end and any(e.requests_in_flight for e in self.entries):
            clock.sleep(10.0)

    def close(self):
        """Stop everything."""
        for entry in self.entries:
            entry.close()
        for upstreams in self.upstreams.values():
            for upstream in upstreams:
                upstream.close()
        self.platform.close()
        self.hub.close()

    def _put_rows(self, pool, lookups, bookings):
        rows = [
            {"address": upstream.address, "slots": 3, "failure_domain": domain}
            for upstream, domain in zip(
                self.upstreams[pool], FAILURE_DOMAINS, strict=True
            )
        ]
        self.platform.put_row("pools", pool, {"department": pool, "upstreams": rows})
        for path, idempotent in ((lookups, True), (bookings, False)):
            row = {
                "department": pool,
                "pool": pool,
                "match": {"path_prefix": path},
                "idempotent": idempotent,
                "deadline_ms": 2000.0,
                "tolerance": {"queue_ms": 500.0},
            }
            self.platform.put_row("routes", path.strip("/"), row)

    def _start_entry(self, number):
        settings = EntrySettings(
            name=f"entry-{number + 1}",
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            platform={"url": self.platform.url},
            discovery_lifetime_ms=self._lifetime_ms,
            stop={"propagation_ms": 300.0, "idle_ms": 300.0},
        )
        entry = EntryService(settings=settings, connect_peers=self.hub.join)
        entry.start()
        return entry


class CallerTask:
    """One caller's task: sends requests until told to stop.

    :param deployment: :class:`Deployment`
    :param number: number of the caller
    :param seed: seed of its choices
    :param stopping: event that ends it
    """

    def __init__(self, *, deployment, number, seed, stopping):
        self._clock = SystemClock()
        self._random = numpy.random.default_rng([seed, number])
        self._stopping = stopping
        options = {
            "seeds": deployment.seeds,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "seed": seed + number,
        }
        self._patient = Caller(**options)
        self._hasty = Caller(**options, attempt_timeout_ms=HASTY_TIMEOUT_MS)
        self._calls = []

    def run(self):
        """Send requests; return the list of :class:`Call`."""
        while not self._stopping.is_set():
            _, lookups, bookings = SERVICES[self._random.integers(len(SERVICES))]
            if self._random.random() < BOOKING_SHARE:
                self._book(bookings)
            else:
                target = f"{lookups}/{self._random.integers(100)}"
                self._call(target, self._patient.lookup, "GET", target)
        self._patient.close()
        self._hasty.close()
        return self._calls

    def _book(self, target):
        hasty = self._random.random() < HASTY_SHARE
        caller = self._hasty if hasty else self._patient
        call = self._call(target, caller.book, "POST", target, body=b"{}")
        if call is None or self._random.random() >= RESEND_SHARE:
            return
        address = self._random.choice(self._patient.entries())
        self._call(
            target,
            self._patient.resend,
            address,
            call.result.keys[-1],
            "POST",
            target,
            body=b"{}",
            identity=call.identity,
        )

    def _call(self, target, send, *arguments, identity=None, **options):
        identity = identity or uuid.UUID(bytes=self._random.bytes(16)).hex
        started = self._clock.now()
        try:
            result = send(*arguments, headers=((IDENTITY_HEADER, identity),), **options)
        except NoEntryAvailable:
            return None
        call = Call(
            identity=identity,
            booking="body" in options,
            target=target,
            result=result,
            latency_ms=self._clock.now() - started,
        )
        self._calls.append(call)
        return call


def fault_of_answer(call):
    """Return ``partial`` or ``mismatched`` for a wrong answer, otherwise ``None``."""
    try:
        document = orjson.loads(call.result.body)
        identity, path, key = (document[n] for n in ("identity", "path", "key"))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "partial"
    expected_key = call.result.keys[-1] if call.booking else None
    if (identity, path, key) != (call.identity, call.target, expected_key):
        return "mismatched"
    return None


def account(calls, records):
    """Count what callers were told against what the upstreams ran.

    :param calls: all :class:`Call`
    :param records: all :class:`monsoonline.standin.upstream.RunRecord`
    :returns: the counters and latencies of the demonstration by name
    """
    started = collections.Counter(record.identity for record in records)
    completed = {record.identity for record in records if record.completed}
    counts = collections.Counter(call.result.call_status.value for call in calls)
    histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    for call in calls:
        histogram.record_value(max(1, int(call.latency_ms * 1e3)))
        status = call.result.call_status
        if status is CallStatus.OK and call.result.status < 500:
            counts[fault_of_answer(call)] += 1
            counts["lost"] += call.identity not in completed
        if status is CallStatus.REFUSED_NOT_RUN and call.booking:
            counts["not_run_but_ran"] += started[call.identity] > 0
    bookings = {call.identity for call in calls if call.booking}
    counts["doubled"] = sum(started[identity] > 1 for identity in bookings)
    return {
        "requests": len(calls),
        **{
            name: counts[name]
            for name in ("ok", "refused_not_run", "unknown", *ZERO_COUNTERS)
        },
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1e3, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1e3, 2),
    }


def holds(result):
    """Tell whether a demonstration's result is as promised."""
    return result["requests"] >= MINIMUM_REQUESTS and not any(
        result[name] for name in ZERO_COUNTERS
    )


def run_demonstration(*, seconds, seed=1, on_event=None):
    """Run the demonstration.

    :param seconds: duration of the traffic
    :param seed: seed of all random choices
    :param on_event: called with a text for each event, may be ``None``
    :returns: the result of :func:`account`
    """
    on_event = on_event or (lambda text: None)
    clock = SystemClock()
    deployment = Deployment(seed=seed)
    deployment.start()
    stopping = threading.Event()
    tasks = [
        CallerTask(deployment=deployment, number=number, seed=seed, stopping=stopping)
        for number in range(CALLERS)
    ]
    with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as executor:
        traffic = [executor.submit(task.run) for task in tasks]
        try:
            clock.sleep(seconds * 1e3 * DRAIN_AT)
            drained = deployment.upstreams["quotes"][0]
            drained.configure(draining=True)
            on_event(f"upstream {drained.address} drains")
            clock.sleep(seconds * 1e3 * (STOP_AT - DRAIN_AT))
            stop = executor.submit(deployment.stop_entry, 0)
            on_event(f"entry {deployment.seeds[0]} stops")
            clock.sleep(seconds * 1e3 * (1.0 - STOP_AT))
        finally:
            stopping.set()
        calls = [call for task in traffic for call in task.result()]
        report = stop.result()
        on_event(f"entry stopped in {report.duration_ms:.0f} ms, {report.cut} cut")
    deployment.wait_until_quiet()
    result = account(calls, deployment.records)
    deployment.close()
    return result
