"""A fleet of processes: platform stand-in, upstream stand-ins and entries."""

import concurrent.futures
import contextlib
import pathlib
import tempfile
import time

import orjson
from tools.fleet.clients import NoResponse, fetch, fetch_json
from tools.fleet.processes import Program, find_free_ports

from monsoonline.bench.demonstration import FAILURE_DOMAINS, SERVICES

__all__ = ["DEPARTMENTS", "TOKENS", "Entry", "Fleet", "NotReady"]

READY_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.02
UPSTREAMS_PER_POOL = 3
SLOTS = 8
PEER_SECRET = "a secret of the experiments"
# The departments of SERVICES own the rows that the load uses; the others only edit
# rows of their own.
DEPARTMENTS = (*(pool for pool, _, _ in SERVICES), "dispatch", "survey")
TOKENS = {department: f"token-of-{department}" for department in DEPARTMENTS}
DISCOVERY_LIFETIME_MS = 500.0


class NotReady(Exception):
    """An entry did not become ready in time."""


class Entry:
    """One entry VM: its name, its ports and the processes started on it.

    :param settings: settings document of the entry
    :param directory: directory for the settings file and the logs
    """

    def __init__(self, *, settings, directory):
        self._settings = settings
        self._directory = pathlib.Path(directory)
        self._path = self._directory / f"{self.name}.json"
        self._path.write_bytes(orjson.dumps(settings))
        self.processes = []

    @property
    def name(self):
        """Name of the VM."""
        return self._settings["name"]

    @property
    def process(self):
        """The most recent :class:`Program`."""
        return self.processes[-1]

    @property
    def callers(self):
        """``host:port`` for callers."""
        return f"127.0.0.1:{self._settings['callers']['port']}"

    @property
    def operations(self):
        """``host:port`` for operators."""
        return f"127.0.0.1:{self._settings['operations']['port']}"

    @property
    def machine(self):
        """Row of the entry in the VM list."""
        return {
            "name": self.name,
            "role": "entry",
            "address": self.callers,
            "failure_domain": self._settings["failure_domain"],
            "peer_address": f"127.0.0.1:{self._settings['peers']['port']}",
        }

    def start(self):
        """Start a process without waiting until it serves."""
        log = self._directory / f"{self.name}-{len(self.processes)}.log"
        self.processes.append(Program(["entry", str(self._path)], log=log))

    def status(self):
        """Return the status document.

        :raises NoResponse: when the process does not serve
        """
        return fetch_json(self.operations, "/status")

    def wait_until_ready(self, *, timeout_seconds=READY_TIMEOUT_SECONDS):
        """Wait until the entry reports that it is ready for callers.

        :returns: :func:`time.monotonic` when readiness was observed
        :raises NotReady: when the process ends or the timeout expires
        """
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end and self.process.running:
            with contextlib.suppress(NoResponse):
                if fetch(self.operations, "/readyz")[0] == 200:
                    return time.monotonic()
            time.sleep(POLL_SECONDS)
        raise NotReady(f"entry {self.name!r} did not become ready")

    def stop(self):
        """Stop the process gracefully.

        :returns: exit code and stop report, which is empty if it had to be killed
        """
        self.process.terminate()
        code = self.process.wait()
        lines = [
            line for line in self.process.log_lines if line["message"] == "stopped"
        ]
        return code, lines[-1] if lines else {}

    def close(self):
        """End all processes started for this entry."""
        for process in self.processes:
            process.close()


class Fleet:
    """Context manager that runs the stand-ins and entries of one experiment.

    :param entries: number of entries
    :param propagation_ms: time in ms that a stopping entry waits for the others to
        learn of the stop
    """

    def __init__(self, *, entries, propagation_ms=3000.0):
        self._directory = tempfile.TemporaryDirectory(prefix="monsoonline-fleet-")
        self._stack = contextlib.ExitStack()
        self._propagation_ms = propagation_ms
        self._count = entries
        self._platform = None
        self.upstreams = {}
        self.entries = []

    def __enter__(self):
        self._stack.enter_context(self._directory)
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_):
        self._stack.close()

    @property
    def seeds(self):
        """Addresses at which the entries accept callers."""
        return [entry.callers for entry in self.entries]

    @property
    def platform(self):
        """``host:port`` of the platform stand-in."""
        return self._platform

    def control(self, name, document=None, *, method="PUT"):
        """Send a request to the stand-in's control path and return the response."""
        target = f"/control/{name}"
        return fetch_json(self._platform, target, method=method, document=document)

    def set_store_faults(self, **faults):
        """Replace the faults of the table service."""
        self.control("faults", {"tables": faults})

    def counters(self):
        """Return the platform stand-in's counts of reads and writes."""
        return self.control("counters", method="GET")

    def reset_counters(self):
        """Set the platform stand-in's counts to zero."""
        self.control("counters", method="POST")

    def history(self):
        """Return all change records of the table service, ordered by revision."""
        return fetch_json(self._platform, "/v1/tables/changes")["changes"]

    def rows(self):
        """Return all rows of the table service."""
        target = "/v1/tables/rows?tables=routes,pools"
        return fetch_json(self._platform, target)["rows"]

    def run_records(self):
        """Return the run records of all upstreams as JSON objects."""
        return [
            record
            for addresses in self.upstreams.values()
            for address in addresses
            for record in fetch_json(address, "/.standin/records")["records"]
        ]

    def wait_until_ready(self, entries=None):
        """Wait until the given entries are ready; all by default."""
        for entry in entries or self.entries:
            entry.wait_until_ready()

    def wait_until_known(self):
        """Wait until each entry reports all entries as alive and ready."""
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            if all(self._knows_all(entry) for entry in self.entries):
                return
            time.sleep(0.2)
        raise NotReady("not every entry reports all entries as alive and ready")

    def _knows_all(self, entry):
        members = entry.status()["members"]
        ready = {m["name"] for m in members if m["ready"] and m["state"] == "alive"}
        return ready == {other.name for other in self.entries}

    def _start(self):
        self._start_upstreams()
        tables = self._write("tables", self._tables())
        ports = find_free_ports(3 * self._count)
        platform = self._program("standin", "--tables", tables)
        self._platform = platform.read_line()["url"].removeprefix("http://")
        for number in range(self._count):
            settings = self._settings(number, ports[3 * number : 3 * number + 3])
            entry = Entry(settings=settings, directory=self._directory.name)
            self._stack.callback(entry.close)
            self.entries.append(entry)
        self.control("machines", {"vms": [entry.machine for entry in self.entries]})
        with concurrent.futures.ThreadPoolExecutor(len(self.entries)) as executor:
            list(executor.map(Entry.start, self.entries))
        self.wait_until_ready()
        self.wait_until_known()

    def _start_upstreams(self):
        options = ["--slots", str(SLOTS), "--service-ms", "5", "--service-sigma", "0.3"]
        for pool, _, _ in SERVICES:
            programs = [
                self._program("upstream", *options, "--seed", str(number))
                for number in range(UPSTREAMS_PER_POOL)
            ]
            self.upstreams[pool] = [p.read_line()["address"] for p in programs]

    def _program(self, *arguments):
        number = len(list(pathlib.Path(self._directory.name).iterdir()))
        log = pathlib.Path(self._directory.name, f"{arguments[0]}-{number}.log")
        program = Program(arguments, log=log)
        self._stack.callback(program.close)
        return program

    def _write(self, name, document):
        path = pathlib.Path(self._directory.name, f"{name}.json")
        path.write_bytes(orjson.dumps(document))
        return str(path)

    def _tables(self):
        pools, routes = {}, {}
        for pool, lookups, bookings in SERVICES:
            pools[pool] = {
                "department": pool,
                "upstreams": [
                    {"address": address, "slots": SLOTS, "failure_domain": domain}
                    for address, domain in zip(
                        self.upstreams[pool], FAILURE_DOMAINS, strict=True
                    )
                ],
            }
            for path, idempotent in ((lookups, True), (bookings, False)):
                routes[path.strip("/")] = route_row(pool, path, idempotent)
        return {"pools": pools, "routes": routes}

    def _settings(self, number, ports):
        names = ("callers", "operations", "peers")
        listeners = {
            name: {"port": port} for name, port in zip(names, ports, strict=True)
        }
        return {
            "name": f"entry-{number:02}",
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "platform": {"url": f"http://{self._platform}"},
            "discovery_lifetime_ms": DISCOVERY_LIFETIME_MS,
            "stop": {"propagation_ms": self._propagation_ms, "idle_ms": 300.0},
            "tokens": TOKENS,
            "peer_keys": [{"id": 1, "secret": PEER_SECRET}],
            **listeners,
        }


def route_row(pool, path, idempotent):
    """Return the row of a route to a pool."""
    return {
        "department": pool,
        "pool": pool,
        "match": {"path_prefix": path},
        "idempotent": idempotent,
        "deadline_ms": 2000.0,
        "tolerance": {"queue_ms": 500.0},
    }
