"""A soak: store, upstreams, callers, entries, an operator and seeded troubles."""

import collections
import dataclasses
import json
import multiprocessing
import pathlib
import queue
import random
import signal
import threading
import time

from tools.fleet.processes import find_free_ports
from tools.soak.callers import HOST, call_entries, prefixes_of
from tools.soak.fleet import EntryProcess
from tools.soak.history import Bounds, Change, Drill, History, IdleUse
from tools.soak.upstreams import ENDLESS_RESPONSES, serve_upstreams

from monsoonline.standin.row_store import RowStoreFaults, RowStoreStandIn

__all__ = ["Plan", "Soak"]

SERVICES = {"desk": "/desk/health", "office": "/office/health"}
ZONES = ("z1", "z2", "z3")
PORTS_PER_ENTRY = 5
UPSTREAM_PROCESSES = 3
CALLER_PROCESSES = 2
ROUTE_LIFETIME = 6
SLOTS = 4
SETTLE_S = 4.0
COLLECT_S = 0.5
# Time over which the use of an idle entry is measured.
IDLE_S = 5.0
# Time that a leaving upstream goes on serving after its notice.
LEAVING_S = 8.0
# Age in s of the copy from which the store returns, and time for which it is away.
COPY_AGE_S = (3.0, 5.0)
AWAY_S = (0.0, 2.0)
# Times after a drill in s until operator and upstreams write again what was lost.
WRITTEN_AGAIN_S = (0.2, 2.0)
# Three heartbeats, after which the platform removes the row of a silent upstream.
EXPIRY_S = 4.5
TROUBLES = {}


def trouble(name):
    """Register a method of :class:`Soak` as a kind of trouble."""

    def register(method):
        TROUBLES[name] = method
        return method

    return register


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Size and course of a soak.

    :param seed: seed of all random choices
    :param seconds: duration
    :param entries: number of entries
    :param routes: number of routes beside those that change
    :param interval_s: mean time between two versions of the configuration
    :param callers: number of callers
    :param pause_s: mean pause of a caller between two requests
    :param troubles: names of the kinds of trouble to choose from, ``None`` for all
    :param gap_s: mean time between the starts of two troubles, which may overlap
    :param cores: number of processor cores for the entries, 0 for all
    """

    seed: int
    seconds: float = 60.0
    entries: int = 6
    routes: int = 300
    interval_s: float = 1.5
    callers: int = 24
    pause_s: float = 0.1
    troubles: tuple[str, ...] | None = None
    gap_s: float = 3.0
    cores: int = 0


class Soak:
    """Runs one plan.

    :param plan: :class:`Plan`
    :param folder: folder for settings and logs of the entries
    """

    def __init__(self, *, plan, folder):
        self._plan = plan
        self._folder = pathlib.Path(folder)
        self._generator = random.Random(plan.seed)
        self._kinds = tuple(TROUBLES) if plan.troubles is None else plan.troubles
        self._context = multiprocessing.get_context("spawn")
        self.history = History(bounds=Bounds())
        self._store = RowStoreStandIn(era=1)
        # Held while the store is away for a drill, so that writes wait for its return.
        self._store_lock = threading.Lock()
        self._drill_lock = threading.Lock()
        self._configuration = b""
        # Rows of the upstreams as last written, ``None`` for a removed one.
        self._rows = {}
        self._sequences = collections.Counter()
        self._processes, self._caller_processes = [], []
        self._entries = {}
        # Entries with a trouble of their own in progress.
        self._busy = set()
        self._registered = []
        self._reports = self._context.Queue()
        self._responses = self._context.Queue()
        self._current = self._context.Value("q", 0)
        self._stopping = threading.Event()
        self._callers_stopping = self._context.Event()
        self._lock = threading.Lock()

    def run(self):
        """Run the plan and return its :class:`History`."""
        try:
            self._start()
            time.sleep(SETTLE_S)
            self._run_threads()
            self._measure_idle_uses()
        finally:
            self._close()
        return self.history

    def _start(self):
        self._store.start()
        for _ in range(ROUTE_LIFETIME):
            self._change_configuration()
        entries = self._plan.entries
        upstreams = 3 * max(4, entries)
        ports = find_free_ports(upstreams + entries * PORTS_PER_ENTRY)
        self._start_upstreams(ports[:upstreams])
        self._start_entries(ports[upstreams:])
        self._start_callers()

    def _start_entries(self, ports):
        """Start the entries and wait until all are ready."""
        for number in range(self._plan.entries):
            first = number * PORTS_PER_ENTRY
            entry = EntryProcess(
                name=f"edge-{number}",
                zone=ZONES[number % len(ZONES)],
                ports=ports[first : first + PORTS_PER_ENTRY],
                store=self._store.address,
                folder=self._folder,
                grace_s=self.history.bounds.grace,
                cores=set(range(self._plan.cores)),
            )
            self._entries[entry.name] = entry
        for entry in self._entries.values():
            entry.start()
        for entry in self._entries.values():
            entry.wait_ready()

    def _start_callers(self):
        plan = self._plan
        addresses = {e.name: e.callers_address for e in self._entries.values()}
        for number in range(CALLER_PROCESSES):
            process = self._spawn(
                call_entries,
                (addresses, self._current, self._callers_stopping, self._responses),
                callers=plan.callers // CALLER_PROCESSES,
                lifetime=ROUTE_LIFETIME,
                pause_s=plan.pause_s,
                seed=f"{plan.seed}/{number}",
            )
            self._caller_processes.append(process)

    def _spawn(self, target, arguments, **fields):
        """Start a process and return it."""
        process = self._context.Process(
            target=target, args=arguments, kwargs=fields, daemon=True
        )
        process.start()
        self._processes.append(process)
        return process

    def _start_upstreams(self, ports):
        """Start an upstream on each port.

        Two thirds of them are registered; the others replace those that leave.
        """
        specifications = [
            {
                "host": "127.0.0.1",
                "port": port,
                "instance": f"i-{number}",
                "service": list(SERVICES)[number % 2],
                "slots": SLOTS,
                "health_path": list(SERVICES.values())[number % 2],
            }
            for number, port in enumerate(ports)
        ]
        self._faults = {
            fields["instance"]: self._context.Value("i", 0, lock=False)
            for fields in specifications
        }
        for part in range(UPSTREAM_PROCESSES):
            own = specifications[part::UPSTREAM_PROCESSES]
            faults = {f["instance"]: self._faults[f["instance"]] for f in own}
            self._spawn(serve_upstreams, (own, faults, self._reports))
        registered = 2 * len(ports) // 3
        self._spare = specifications[registered:]
        for fields in specifications[:registered]:
            self._register(fields)

    def _register(self, fields, state="ready"):
        self._write_row(
            fields["instance"],
            {
                "address": f"{fields['host']}:{fields['port']}",
                "born": 1_700_000_000_000,
                "info": {
                    "service": fields["service"],
                    "version": "v1",
                    "zone": ZONES[int(fields["instance"][2:]) % len(ZONES)],
                    "slots": fields["slots"],
                },
                "status": {"state": state, "cold_left": "0ms"},
            },
        )
        if state == "ready":
            self._registered.append(fields)

    def _write_row(self, instance, document):
        """Write the row of an upstream, or remove it if ``None``."""
        with self._store_lock:
            self._rows[instance] = document
            self._send_row(instance)

    def _send_row(self, instance):
        """Write a row as it should be, with the next sequence, or remove it.

        The caller holds the lock of the store.
        """
        document = self._rows[instance]
        if document is None:
            self._store.remove("servers", instance)
            return
        self._sequences[instance] += 1
        status = document["status"] | {"sequence": self._sequences[instance]}
        self._store.write("servers", instance, document | {"status": status})

    def _change_configuration(self):
        version = self._current.value + 1
        services = {"/moved/": list(SERVICES)[version // 2 % 2]}
        services |= {
            prefix: list(SERVICES)[int(prefix[2:-1]) % 2]
            for prefix in prefixes_of(version, ROUTE_LIFETIME)
        }
        fixed = {f"/fixed{n}/": "desk" for n in range(self._plan.routes)}
        routes = [
            {
                "name": f"r{prefix}",
                "hostname": HOST,
                "prefix": prefix,
                "kind": "unsafe" if prefix == "/moved/" else "safe",
                "timeout": "2500ms",
                "latency_goal": "600ms",
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for prefix, service in (services | fixed).items()
        ]
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": [
                {"name": name, "health_path": path, "max_connections": 318}
                for name, path in SERVICES.items()
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
        }
        content = json.dumps(document).encode()
        with self._store_lock:
            sent_at = time.monotonic()
            self._current.value = version
            self._configuration = content
            acknowledged_at = self._write_configuration()
            self.history.changes.append(
                Change(
                    sent_at=sent_at, acknowledged_at=acknowledged_at, routes=services
                )
            )

    def _write_configuration(self):
        """Write the newest configuration; return the time in s.

        The caller holds the lock of the store.
        """
        self._store.write("op", "config", self._configuration)
        acknowledged_at = time.monotonic()
        for drill in self.history.drills:
            drill.written_again_at = min(drill.written_again_at, acknowledged_at)
        return acknowledged_at

    def _run_threads(self):
        threads = [threading.Thread(target=self._collect)]
        threads.append(threading.Thread(target=self._run_operator))
        if self._kinds:
            threads.append(threading.Thread(target=self._run_troubles))
        for thread in threads:
            thread.start()
        self._stopping.wait(self._plan.seconds)
        self._stopping.set()
        self._callers_stopping.set()
        for thread in threads:
            thread.join()

    def _run_operator(self):
        generator = random.Random(f"{self._plan.seed}/operator")
        interval = self._plan.interval_s
        while not self._stopping.wait(interval * generator.uniform(0.3, 1.7)):
            self._change_configuration()

    def _run_troubles(self):
        threads = []
        while not self._stopping.wait(self._generator.uniform(0, 2 * self._plan.gap_s)):
            method = TROUBLES[self._generator.choice(self._kinds)]
            threads.append(
                threading.Thread(
                    target=method, args=(self, self._generator.getrandbits(64))
                )
            )
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _collect(self):
        """Read the reports of the other processes until the callers have ended."""
        while any(process.is_alive() for process in self._caller_processes):
            self._read_reports()
        time.sleep(COLLECT_S)
        self._read_reports()

    def _read_reports(self):
        for source, target in (
            (self._reports, self.history.runs),
            (self._responses, self.history.responses),
        ):
            try:
                while True:
                    target += source.get(timeout=0.05)
            except queue.Empty:
                continue

    def _measure_idle_uses(self):
        """Record what the entries use once callers and troubles have ended."""
        entries = list(self._entries.values())
        for entry in entries:
            entry.wait_ready()
        time.sleep(SETTLE_S)
        began = time.monotonic()
        used = [entry.processor_s() for entry in entries]
        time.sleep(IDLE_S)
        seconds = time.monotonic() - began
        cores = [
            (entry.processor_s() - before) / seconds
            for entry, before in zip(entries, used, strict=True)
        ]
        # The first scrape loads a library, which takes processor time.
        self.history.idle_uses = [
            IdleUse(
                entry=entry.name,
                cores=share,
                held=entry.held_gauges(),
                peak_bytes=entry.peak_bytes(),
                own_ends=entry.own_ends,
            )
            for entry, share in zip(entries, cores, strict=True)
        ]

    def _close(self):
        self._stopping.set()
        for process in self._processes:
            process.kill()
        for entry in self._entries.values():
            entry.kill()
        self._store.close()

    # Troubles

    def _take_entry(self, generator):
        """Return an entry without a trouble in progress, ``None`` if there is none."""
        with self._lock:
            free = sorted(set(self._entries) - self._busy)
            if not free:
                return None
            name = generator.choice(free)
            self._busy.add(name)
            return self._entries[name]

    def _trouble_entry(self, seed, disturb, kind):
        """Disturb one entry, and record the interval."""
        generator = random.Random(seed)
        entry = self._take_entry(generator)
        if entry is None:
            return
        interval = self.history.begin_trouble(entry.name, kind)
        try:
            disturb(entry, generator)
        finally:
            interval[1] = time.monotonic()
            with self._lock:
                self._busy.discard(entry.name)

    @trouble("kill")
    def _kill(self, seed):
        def disturb(entry, generator):
            entry.kill()
            time.sleep(generator.uniform(0.05, 1.0))
            entry.start()

        self._trouble_entry(seed, disturb, "kill")

    @trouble("stop")
    def _stop(self, seed):
        def disturb(entry, generator):
            stop = [time.monotonic(), float("inf")]
            self.history.stops.setdefault(entry.name, []).append(stop)
            entry.terminate()
            stop[1] = time.monotonic()
            time.sleep(generator.uniform(0.05, 0.5))
            entry.start()

        self._trouble_entry(seed, disturb, "stop")

    @trouble("pause")
    def _pause(self, seed):
        def disturb(entry, generator):
            entry.signal(signal.SIGSTOP)
            time.sleep(generator.uniform(0.3, 5.0))
            entry.signal(signal.SIGCONT)

        self._trouble_entry(seed, disturb, "pause")

    @trouble("hup")
    def _hang_up(self, seed):
        entry = self._entries[random.Random(seed).choice(sorted(self._entries))]
        entry.signal(signal.SIGHUP)

    @trouble("store")
    def _disturb_store(self, seed):
        generator = random.Random(seed)
        interval = self.history.begin_trouble(None, "store")
        self._store.faults = generator.choice(
            (
                RowStoreFaults(status=503),
                RowStoreFaults(delay_ms=200.0),
                RowStoreFaults(delay_ms=3_000.0),
                RowStoreFaults(lose_responses=True),
            )
        )
        time.sleep(generator.uniform(0.5, 4.0))
        self._store.faults = RowStoreFaults()
        interval[1] = time.monotonic()

    @trouble("row")
    def _write_odd_row(self, seed):
        generator = random.Random(seed)
        content = generator.choice(
            (b"[" * 5_000, b'{"info":{"slots":NaN}}', b"\xff", b'{"a":1e400}')
        )
        self._store.write("servers", f"odd-{generator.randrange(3)}", content)

    @trouble("endless")
    def _send_without_end(self, seed):
        """Let some upstreams send one kind of response without end.

        Half of the times they answer probes properly.
        """
        generator = random.Random(seed)
        number = generator.randrange(len(ENDLESS_RESPONSES)) + 1
        number *= generator.choice((1, -1))
        with self._lock:
            count = max(1, len(self._registered) // 3)
            chosen = generator.sample(self._registered, count)
        for fields in chosen:
            self._faults[fields["instance"]].value = number
        time.sleep(generator.uniform(1.0, 5.0))
        for fields in chosen:
            self._faults[fields["instance"]].value = 0

    def _choose_leaving(self, generator):
        """Return an upstream that leaves and its replacement, ``None`` if too few."""
        with self._lock:
            if not self._spare or len(self._registered) < 3:
                return None
            fields = self._registered.pop(generator.randrange(len(self._registered)))
            return fields, self._spare.pop()

    @trouble("leave")
    def _leave(self, seed):
        chosen = self._choose_leaving(random.Random(seed))
        if chosen is None:
            return
        fields, replacement = chosen
        self._register(replacement)
        self._register(fields, state="draining")
        self.history.leaving[fields["instance"]] = time.monotonic()
        time.sleep(LEAVING_S)
        self._write_row(fields["instance"], None)

    @trouble("drill")
    def _drill(self, seed):
        """Let the store be away and return from an older copy.

        An upstream that ends without notice is in the copy, its replacement is not.
        """
        if not self._drill_lock.acquire(blocking=False):
            return
        try:
            self._play_drill(random.Random(seed))
        finally:
            self._drill_lock.release()

    def _play_drill(self, generator):
        with self._store_lock:
            copy, kept = self._store.take_copy(), len(self.history.changes)
            rows = dict(self._rows)
        began = time.monotonic()
        self._end_without_notice(generator)
        sleep_until(began + generator.uniform(*COPY_AGE_S))
        with self._store_lock:
            interval = self.history.begin_trouble(None, "drill")
            self._store.faults = RowStoreFaults(status=503)
            time.sleep(generator.uniform(*AWAY_S))
            self._store.restore(copy)
            self._store.faults = RowStoreFaults()
            interval[1] = time.monotonic()
            drill = Drill(returned_at=interval[1], kept=kept)
            lost = [i for i, row in self._rows.items() if rows.get(i) != row]
            drill.left_again.update(
                (instance, float("inf"))
                for instance in lost
                if self._has_left(instance)
            )
            self.history.drills.append(drill)
        self._write_again(drill, lost, generator)

    def _end_without_notice(self, generator):
        """Remove an upstream that has not said that it leaves, and replace it."""
        chosen = self._choose_leaving(generator)
        if chosen is not None:
            fields, replacement = chosen
            self._register(replacement)
            self._write_row(fields["instance"], None)
            self.history.leaving[fields["instance"]] = time.monotonic()

    def _has_left(self, instance):
        row = self._rows[instance]
        return row is None or row["status"]["state"] == "draining"

    def _write_again(self, drill, lost, generator):
        """Write again what a drill has lost, as operator, upstreams and platform do.

        :param lost: ids of the upstreams whose rows the store has lost or has again
        """
        # The empty id stands for the operator.
        moments = [("", generator.uniform(*WRITTEN_AGAIN_S))]
        moments += [
            (instance, generator.uniform(*WRITTEN_AGAIN_S))
            if self._rows[instance] is not None
            else (instance, EXPIRY_S)
            for instance in lost
        ]
        for instance, delay_s in sorted(moments, key=lambda moment: moment[1]):
            sleep_until(drill.returned_at + delay_s)
            with self._store_lock:
                if instance:
                    self._send_row(instance)
                else:
                    self._write_configuration()
                if instance in drill.left_again:
                    drill.left_again[instance] = time.monotonic()


def sleep_until(moment_s):
    """Sleep until a moment of the monotonic clock, in s."""
    time.sleep(max(0.0, moment_s - time.monotonic()))
