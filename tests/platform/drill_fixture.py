"""Entries of the deploy file around a store that comes back from an older copy."""

import collections
import dataclasses
import http.client
import itertools
import multiprocessing
import pathlib
import queue
import random
import threading
import time

from tools.fleet.processes import StartFailed
from tools.soak.fleet import EntryProcess
from tools.soak.history import NOT_FOUND, Bounds, Response
from tools.soak.upstreams import serve_upstreams

from monsoonline.standin.row_store import RowStoreFaults, RowStoreStandIn

__all__ = [
    "LEAVING",
    "NEW",
    "PORTS",
    "RETURNING",
    "DrillPlan",
    "DrillRecord",
    "DrilledFleet",
]

HOST = "drill.example"
SERVICE = "desk"
HEALTH_PATH = "/desk/health"
KEPT_PREFIX = "/kept/"
ADDED_PREFIX = "/added/"
ENTRIES = ("edge-0", "edge-1", "edge-2")
ZONES = ("z1", "z2", "z3")
# Entry that is killed while the store is away, if the plan says so.
KILLED_ENTRY = "edge-1"
PORTS_PER_ENTRY = 5
SLOTS = 8
# Upstreams that renew their rows all the while.
STEADY = ("i-0", "i-1", "i-2")
# Removed before the drill, in the copy, never renewed after it.
RETURNING = "i-3"
# Renewed, and removed for the first time after the drill.
LEAVING = "i-4"
# Registered for the first time after the drill.
NEW = "i-5"
UPSTREAMS = (*STEADY, RETURNING, LEAVING, NEW)
# Number of ports that a fleet needs.
PORTS = len(UPSTREAMS) + len(ENTRIES) * PORTS_PER_ENTRY
# Versions in which a short-lived route exists.
ROUTE_LIFETIME = 6
VERSION_INTERVAL_S = (0.05, 0.1)
RENEWAL_INTERVAL_S = (0.5, 1.5)
# Age of the copy, and time from its making until one of its upstreams is removed.
CHURN_S = 5.0
REMOVAL_S = 1.5
AWAY_S = (1.0, 2.0)
# Times after the return of the store.
REWRITE_S = 0.8
ADDITION_S = 1.2
LEAVING_S = 3.2
SECOND_REMOVAL_S = 4.0
# Time after its acknowledgement in which all entries serve an added route.
ADDITION_BOUND_S = 3.0
# Time for which the entries are observed after the last bound has passed.
OBSERVED_S = 0.8
CALLER_PAUSE_S = 0.03
CALL_TIMEOUT_S = 2.0
SERVED_TIMEOUT_S = 5.0
POLL_S = 0.02
COLLECT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrillPlan:
    """Course of one trial.

    :param seed: seed of all random choices
    :param drills: number of drills
    :param kills_entry: whether an entry is killed while the store is away in the last
        drill, and started right after its return
    """

    seed: int
    drills: int = 1
    kills_entry: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Watch:
    """Time in which the route of the newest version before a drill must be served.

    :param prefix: prefix of the route
    :param since: time in s from which all entries have served it
    :param until: time in s of the next version without it, or of the end
    """

    prefix: str
    since: float
    until: float = float("inf")


class DrillRecord:
    """What the callers and upstreams saw, with the times in s that bound it."""

    def __init__(self):
        self.bounds = Bounds()
        self.responses = []
        self.runs = []
        self.watches = []
        # Acknowledgements of removals by upstream.
        self.removed_at = collections.defaultdict(list)
        self.rewritten_at = None
        self.added_at = None
        # Start of the entry that was killed.
        self.killed_at = None
        self.started_at = None
        # Versions by drill that are given out again.
        self.versions_lost = []

    def restarted(self, response):
        """Return whether a request was sent to the new process of a killed entry."""
        return (
            self.killed_at is not None
            and response.entry == KILLED_ENTRY
            and response.ended_at >= self.killed_at
        )

    def late_statuses_of_added_route(self):
        """Return a counter of statuses by entry for the added route after its bound."""
        since = self.added_at + ADDITION_BOUND_S
        statuses = {entry: collections.Counter() for entry in ENTRIES}
        for response in self.responses:
            if response.prefix == ADDED_PREFIX and response.sent_at >= since:
                statuses[response.entry][response.status] += 1
        return statuses

    def refusals_of_newest_route(self):
        """Return the number by entry of 404s for the newest route before a drill.

        A new process is bound once it is in touch and the route was written again.
        """
        refusals = collections.Counter()
        for response in self.responses:
            if response.status != NOT_FOUND:
                continue
            excused_until = 0.0
            if self.restarted(response):
                excused_until = max(
                    self.rewritten_at + self.bounds.apply,
                    self.started_at + self.bounds.stable,
                )
            refusals[response.entry] += any(
                response.prefix == watch.prefix
                and max(watch.since, excused_until) <= response.sent_at
                and response.ended_at < watch.until
                for watch in self.watches
            )
        return +refusals

    def late_runs_at_removed(self, instance):
        """Return the number by entry of requests at an upstream that was removed.

        An entry is bound by its first removal, a new process by the last one.
        """
        responses = {response.request_id: response for response in self.responses}
        late = collections.Counter()
        for run in self.runs:
            response = responses.get(run.request_id)
            if run.instance != instance or response is None:
                continue
            removals = self.removed_at[instance]
            removed_at = removals[-1] if self.restarted(response) else removals[0]
            late[response.entry] += response.sent_at > removed_at + self.bounds.drain
        return +late

    def runs_at(self, instance):
        """Return the number of requests that an upstream ran."""
        return sum(run.instance == instance for run in self.runs)


class DrilledFleet:
    """Runs one plan.

    :param plan: :class:`DrillPlan`
    :param ports: free ports, :data:`PORTS` of them
    :param folder: folder for settings and logs of the entries
    """

    def __init__(self, *, plan, ports, folder):
        self.record = DrillRecord()
        self._plan = plan
        self._upstream_ports = dict(zip(UPSTREAMS, ports, strict=False))
        self._entry_ports = ports[len(UPSTREAMS) :]
        self._folder = pathlib.Path(folder)
        self._generator = random.Random(plan.seed)
        self._context = multiprocessing.get_context("spawn")
        self._store = RowStoreStandIn(era=1)
        # Held while the store is away, so that writes wait for its return.
        self._store_lock = threading.Lock()
        self._entries = {}
        self._upstream_process = None
        self._reports = self._context.Queue()
        self._sequences = collections.Counter()
        self._renewed = set()
        self._version = 0
        self._document = None
        self._added = ()
        self._requested = (KEPT_PREFIX,)
        self._stopping = threading.Event()
        self._threads = []

    def run(self):
        """Run the plan and return the :class:`DrillRecord`."""
        try:
            self._start()
            removal_at = time.monotonic() + REMOVAL_S
            for drill in range(self._plan.drills):
                is_last = drill == self._plan.drills - 1
                copy = self._store.take_copy()
                self._change_versions(removal_at)
                returned_at = self._drill(
                    copy, kills_entry=is_last and self._plan.kills_entry
                )
                self._write_again(returned_at)
                removal_at = returned_at + SECOND_REMOVAL_S
            self._observe(returned_at)
        finally:
            self._close()
        return self.record

    def _start(self):
        self._store.start()
        self._change_version()
        self._start_upstreams()
        for instance in (*STEADY, RETURNING, LEAVING):
            self._renewed.add(instance)
            self._start_thread(self._renew, instance, self._generator.getrandbits(64))
        self._start_entries()
        for name in ENTRIES:
            self._start_thread(self._call, name)
        self._wait_served(KEPT_PREFIX)

    def _start_upstreams(self):
        specifications = [
            {
                "host": "127.0.0.1",
                "port": port,
                "instance": instance,
                "service": SERVICE,
                "slots": SLOTS,
                "health_path": HEALTH_PATH,
            }
            for instance, port in self._upstream_ports.items()
        ]
        faults = {
            instance: self._context.Value("i", 0, lock=False) for instance in UPSTREAMS
        }
        self._upstream_process = self._context.Process(
            target=serve_upstreams,
            args=(specifications, faults, self._reports),
            daemon=True,
        )
        self._upstream_process.start()

    def _start_entries(self):
        for number, name in enumerate(ENTRIES):
            first = number * PORTS_PER_ENTRY
            self._entries[name] = EntryProcess(
                name=name,
                zone=ZONES[number],
                ports=self._entry_ports[first : first + PORTS_PER_ENTRY],
                store=self._store.address,
                folder=self._folder,
                grace_s=self.record.bounds.grace,
                cores=(),
            )
        for entry in self._entries.values():
            entry.start()
        for entry in self._entries.values():
            entry.wait_ready()

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _close(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        if self._upstream_process is not None:
            time.sleep(COLLECT_S)
            self._collect()
            self._upstream_process.kill()
            self._upstream_process.join()
        for entry in self._entries.values():
            entry.kill()
        self._store.close()

    def _collect(self):
        try:
            while True:
                self.record.runs += self._reports.get(timeout=COLLECT_S)
        except queue.Empty:
            return

    # Writers

    def _write(self, table, key, document):
        """Write a row once the store is there; return the time in s."""
        with self._store_lock:
            self._store.write(table, key, document)
            return time.monotonic()

    def _remove(self, instance):
        with self._store_lock:
            self._renewed.discard(instance)
            self._store.remove("servers", instance)
            self.record.removed_at[instance].append(time.monotonic())

    def _renew(self, instance, seed):
        """Write the row of an upstream again and again until it is removed."""
        generator = random.Random(seed)
        self._register(instance)
        while not self._stopping.wait(generator.uniform(*RENEWAL_INTERVAL_S)):
            self._register(instance)

    def _register(self, instance):
        with self._store_lock:
            if instance not in self._renewed:
                return
            self._sequences[instance] += 1
            self._store.write(
                "servers",
                instance,
                {
                    "address": f"127.0.0.1:{self._upstream_ports[instance]}",
                    "born": 1_700_000_000_000,
                    "info": {
                        "service": SERVICE,
                        "version": "v1",
                        "zone": ZONES[UPSTREAMS.index(instance) % len(ZONES)],
                        "slots": SLOTS,
                    },
                    "status": {
                        "state": "ready",
                        "sequence": self._sequences[instance],
                        "cold_left": "0ms",
                    },
                },
            )

    def _change_version(self):
        """Write the next version; return the time in s of its acknowledgement."""
        self._version += 1
        oldest = self._version - ROUTE_LIFETIME + 1
        short_lived = [f"/r{n}/" for n in range(max(1, oldest), self._version + 1)]
        self._document = {
            "version": f"{self._version:08x}",
            "routes": [
                {
                    "name": f"r{prefix}",
                    "hostname": HOST,
                    "prefix": prefix,
                    "kind": "safe",
                    "timeout": "2000ms",
                    "latency_goal": "600ms",
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 2,
                }
                for prefix in (KEPT_PREFIX, *short_lived, *self._added)
            ],
            "services": [
                {"name": SERVICE, "health_path": HEALTH_PATH, "max_connections": 318}
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
        }
        return self._write("op", "config", self._document)

    # Callers

    def _call(self, name):
        """Send requests for all requested prefixes to one entry in turn."""
        host, _, port = self._entries[name].callers_address.rpartition(":")
        numbers = itertools.count()
        while not self._stopping.wait(CALLER_PAUSE_S):
            for prefix in self._requested:
                request_id = f"{name}-{next(numbers)}"
                sent_at = time.monotonic()
                status = self._request(host, int(port), prefix, request_id)
                self.record.responses.append(
                    Response(
                        entry=name,
                        request_id=request_id,
                        prefix=prefix,
                        safe=True,
                        sent_at=sent_at,
                        ended_at=time.monotonic(),
                        status=status,
                    )
                )

    def _request(self, host, port, prefix, request_id):
        """Send one request; return the status, ``None`` without a response."""
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": f"{CALL_TIMEOUT_S * 1e3:.0f}",
            "Connection": "close",
        }
        try:
            connection.request("GET", f"{prefix}1", headers=headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        return response.status

    def _wait_served(self, prefix):
        """Wait until all entries have served a route; return the time in s."""
        end = time.monotonic() + SERVED_TIMEOUT_S
        while True:
            now = time.monotonic()
            served_by = {
                response.entry
                for response in list(self.record.responses)
                if response.prefix == prefix and response.status == 200
            }
            if served_by == set(ENTRIES):
                return now
            if now > end:
                raise StartFailed(f"{prefix} is served by {sorted(served_by)} only")
            time.sleep(POLL_S)

    # Course

    def _change_versions(self, removal_at):
        """Write versions until the copy is old, and wait for the last one.

        :param removal_at: time in s at which an upstream of the copy is removed
        """
        began = time.monotonic()
        is_removed = False
        if self.record.watches:
            # The versions to come lack the route.
            self.record.watches[-1] = dataclasses.replace(
                self.record.watches[-1], until=began
            )
        while time.monotonic() < began + CHURN_S:
            self._change_version()
            time.sleep(self._generator.uniform(*VERSION_INTERVAL_S))
            if not is_removed and time.monotonic() > removal_at:
                self._remove(RETURNING)
                is_removed = True
        newest = f"/r{self._version}/"
        self._requested = (KEPT_PREFIX, newest)
        since = self._wait_served(newest)
        self.record.watches.append(Watch(prefix=newest, since=since))

    def _drill(self, copy, *, kills_entry):
        """Let the store come back from a copy; return the time in s of its return."""
        with self._store_lock:
            self._store.faults = RowStoreFaults(status=503)
            away_s = self._generator.uniform(*AWAY_S)
            time.sleep(away_s / 2)
            if kills_entry:
                self._entries[KILLED_ENTRY].kill()
                self.record.killed_at = time.monotonic()
            time.sleep(away_s / 2)
            version = self._store.take_copy().version
            self._store.restore(copy)
            self.record.versions_lost.append(version - copy.version)
            self._store.faults = RowStoreFaults()
            returned_at = time.monotonic()
        if kills_entry:
            self._entries[KILLED_ENTRY].start()
            self.record.started_at = time.monotonic()
        return returned_at

    def _write_again(self, returned_at):
        """Let the operator write the newest version again."""
        sleep_until(returned_at + REWRITE_S)
        self.record.rewritten_at = self._write("op", "config", self._document)

    def _observe(self, returned_at):
        """Add a route and an upstream, remove two, and wait until the bounds pass."""
        self._renewed.add(NEW)
        self._start_thread(self._renew, NEW, self._generator.getrandbits(64))
        sleep_until(returned_at + ADDITION_S)
        self._added = (ADDED_PREFIX,)
        self._requested = (*self._requested, ADDED_PREFIX)
        self.record.added_at = self._change_version()
        sleep_until(returned_at + LEAVING_S)
        self._remove(LEAVING)
        sleep_until(returned_at + SECOND_REMOVAL_S)
        self._remove(RETURNING)
        sleep_until(time.monotonic() + self.record.bounds.drain + OBSERVED_S)


def sleep_until(moment_s):
    """Sleep until a moment of the monotonic clock, in s."""
    time.sleep(max(0.0, moment_s - time.monotonic()))
