"""Entry processes of the deploy file, on loopback."""

import contextlib
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

from tools.fleet.processes import StartFailed

__all__ = ["EntryProcess", "READY_TIMEOUT_S"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json.template"
HELD_GAUGES = (
    "caller_connections",
    "requests_in_flight",
    "upstream_attempts_open",
    "request_body_bytes",
)
GAUGE = re.compile(r"^monsoonline_(\w+)(?:\{\})? (\S+)$", re.MULTILINE)
PEAK_KB = re.compile(r"^VmHWM:\s*(\d+) kB", re.MULTILINE)
RESIDENT_KB = re.compile(r"^VmRSS:\s*(\d+) kB", re.MULTILINE)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PLACEHOLDER = re.compile(r"\{\{([a-z_0-9.]+)(\|json)?\}\}")
READY_TIMEOUT_S = 20.0
MEMORY_MB = 235
MAX_DESCRIPTORS = 3075
TIMEOUT_S = 1.0
POLL_S = 0.02


def render(template, fields):
    """Return a settings template with its placeholders filled in."""

    def value_of(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(value_of, template)


class EntryProcess:
    """One entry, with the command and the settings template of the deploy file.

    :param name: name of the entry
    :param zone: its failure domain
    :param ports: five free ports
    :param store: ``host:port`` of the store
    :param folder: folder for settings and logs
    :param grace_s: time from SIGTERM until the platform kills a process, in s
    :param cores: numbers of the processor cores that it may use, all if empty
    :param memory_mb: memory of its machine in MB
    :param max_descriptors: limit of its open file descriptors
    """

    def __init__(
        self,
        *,
        name,
        zone,
        ports,
        store,
        folder,
        grace_s,
        cores=(),
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
    ):
        self.name = name
        self._cores = cores
        self._grace_s = grace_s
        callers, ready, directory, peers, last = ports
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "limits": {"memory_mb": memory_mb, "max_fds": max_descriptors},
            "listen": {
                "front": f"127.0.0.1:{callers}",
                "ready": f"127.0.0.1:{ready}",
                "directory": f"127.0.0.1:{directory}",
            },
            "internal_ports": [peers, last],
            "platform": {"address": store},
            "bounds": {
                "grace": f"{grace_s:.0f}s",
                "retry_budget_ratio": 0.2,
                "budget_window": "10s",
                "budget_slack": 75,
                "ttl_max": "5s",
                "probes_per_s": 60,
            },
        }
        self.callers_address = fields["listen"]["front"]
        self.ready_address = fields["listen"]["ready"]
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        self._settings.write_text(render(TEMPLATE.read_text(), fields))
        self._process = None
        # Processes that ended without a signal that ends them.
        self.own_ends = 0

    @property
    def process_id(self):
        """Operating system id of the process."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start the process."""
        environment = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        environment["MONSOONLINE_NODE_FILE"] = str(self._settings)
        # As on the platform; each arena of the allocator keeps freed memory.
        environment["MALLOC_ARENA_MAX"] = "1"
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "deploy/entry.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        if self._cores:
            os.sched_setaffinity(self._process.pid, self._cores)

    def wait_ready(self):
        """Wait until the entry is ready.

        :raises StartFailed: when it is not in time
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while not self.ready():
            if time.monotonic() > end:
                raise StartFailed(f"{self.name} is not ready after {READY_TIMEOUT_S} s")
            time.sleep(POLL_S)

    def ready(self):
        """Return whether the entry reports that it is ready."""
        try:
            return self._get("/-/ready").status == 200
        except (OSError, http.client.HTTPException):
            return False

    def held_gauges(self):
        """Return the gauges of what callers and their requests hold, by name."""
        values = dict(GAUGE.findall(self._get("/metrics").read().decode()))
        return {name: float(values[name]) for name in HELD_GAUGES}

    def processor_s(self):
        """Return the processor time in s that the process has used."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / CLOCK_TICKS_PER_S

    def peak_bytes(self):
        """Return the largest resident memory of the process, in bytes."""
        return self._status_bytes(PEAK_KB)

    def resident_bytes(self):
        """Return the resident memory of the process, in bytes."""
        return self._status_bytes(RESIDENT_KB)

    def open_descriptors(self):
        """Return the number of open file descriptors of the process."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def _status_bytes(self, pattern):
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        return int(pattern.search(status)[1]) << 10

    def _note_own_end(self):
        if self._process is not None and self._process.poll() is not None:
            self.own_ends += 1

    def _get(self, path):
        host, _, port = self.ready_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request("GET", path, headers={"Connection": "close"})
            return connection.getresponse()

    def signal(self, number):
        """Send a signal."""
        if self.running:
            self._process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self._note_own_end()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self):
        """Stop the process as the platform does; return its exit code."""
        self._note_own_end()
        self.signal(signal.SIGTERM)
        try:
            return self._process.wait(self._grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
