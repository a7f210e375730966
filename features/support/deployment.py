"""A small deployment of real processes on loopback."""

import concurrent.futures
import contextlib
import shutil
import tempfile

import orjson

from support.entries import EntryProcess
from support.http import exchange
from support.polling import wait_until
from support.processes import ManagedProcess
from support.upstreams import UpstreamProcess

__all__ = ["BOOKINGS", "LOOKUPS", "PROBES_PER_SECOND", "Deployment"]

SLOTS = 3
LOOKUPS = "/quotes"
BOOKINGS = "/surveys"
PROBES_PER_SECOND = 2
READY_SECONDS = 20.0
QUIET_SECONDS = 6.0


class Deployment:
    """The platform stand-in, upstream stand-ins and entries.

    :param seed: seed of the upstreams
    :param entries: number of entries
    :param upstreams: number of upstreams
    """

    def __init__(self, *, seed, entries, upstreams):
        self._seed = seed
        self._shape = (entries, upstreams)
        self._directory = tempfile.mkdtemp(prefix="monsoonline-scenario-")
        self._platform = None
        self._upstreams = {}
        self._entries = {}
        self._faults = {}
        self._vm_list = {}
        self.damaged = False

    @property
    def shape(self):
        """Numbers of entries and upstreams at the start."""
        return self._shape

    @property
    def upstreams(self):
        """All upstreams ever started, by name."""
        return dict(self._upstreams)

    @property
    def entries(self):
        """All entries ever started, by name."""
        return dict(self._entries)

    @property
    def live_entries(self):
        """Entries that run and are not paused."""
        return [e for e in self._entries.values() if e.running and not e.paused]

    @property
    def seeds(self):
        """Callers' addresses of the entries that run."""
        return [e.callers for e in self._entries.values() if e.running]

    @property
    def platform_url(self):
        """Base URL of the platform stand-in."""
        return self._platform.start_line()["url"]

    @property
    def platform_address(self):
        """``host:port`` of the platform stand-in."""
        return self.platform_url.removeprefix("http://")

    def start(self):
        """Start everything and wait until the entries know each other."""
        entries, upstreams = self._shape
        try:
            self._platform = ManagedProcess(
                name="platform", arguments=["standin"], directory=self._directory
            )
            for number in range(1, upstreams + 1):
                self._add_upstream(f"upstream-{number}", number)
            self._write_tables()
            # The first entry must be listed before the others read the VM list, which
            # they do at their start and every 5 s.
            self._add_entry("entry-1")
            self._publish_machines()
            for number in range(2, entries + 1):
                self._add_entry(f"entry-{number}")
            self._publish_machines()
            self.wait_ready()
        except BaseException:
            self.close()
            raise

    def close(self):
        """End exactly the processes started here, and remove their files."""
        for process in self._processes():
            with contextlib.suppress(Exception):
                process.kill()
        shutil.rmtree(self._directory, ignore_errors=True)

    def start_entry(self):
        """Start one more entry without waiting until it is ready.

        :returns: :class:`EntryProcess`
        """
        self.damaged = True
        entry = self._add_entry(f"entry-{len(self._entries) + 1}")
        self._publish_machines()
        return entry

    def wait_ready(self):
        """Wait until all live entries are ready and know each other."""
        wait_until(self._is_ready, seconds=READY_SECONDS, what="all entries ready")

    def wait_quiet(self):
        """Wait until no live entry has a request in flight and no upstream runs one."""
        wait_until(self._is_quiet, seconds=QUIET_SECONDS, what="no request in flight")

    def set_faults(self, service, **faults):
        """Replace the faults of a platform service; none without arguments."""
        self._faults[service] = faults
        self._control("faults", self._faults)

    def list_upstream(self, name, *, leaving):
        """Put an upstream on the VM list.

        :param leaving: whether the platform is about to remove it
        """
        self.damaged = True
        self._vm_list[name] = {
            "name": name,
            "role": "upstream",
            "address": self._upstreams[name].address,
            "failure_domain": "default",
            "leaving": leaving,
        }
        self._publish_machines()

    def reset_faults(self):
        """End the faults of the platform's services."""
        if any(self._faults.values()):
            self._faults = {}
            self._control(
                "faults", dict.fromkeys(("tables", "objects", "machines"), {})
            )

    def reset_upstreams(self):
        """End the faults of the upstreams."""
        for upstream in self._upstreams.values():
            upstream.reset()

    def _processes(self):
        first = [self._platform] if self._platform else []
        return [*self._entries.values(), *self._upstreams.values(), *first]

    def _add_upstream(self, name, number):
        self._upstreams[name] = UpstreamProcess(
            name=name,
            directory=self._directory,
            slots=SLOTS,
            seed=self._seed + number,
        )

    def _add_entry(self, name):
        entry = EntryProcess(
            name=name, directory=self._directory, platform_url=self.platform_url
        )
        self._entries[name] = entry
        return entry

    def _publish_machines(self):
        # An entry that runs not yet answers with its line; one that has ended stays
        # listed, since the platform's list lags.
        with concurrent.futures.ThreadPoolExecutor(4) as executor:
            rows = list(executor.map(lambda e: e.machine, self._entries.values()))
        self._control("machines", {"vms": [*rows, *self._vm_list.values()]})

    def _control(self, name, document):
        reply = exchange(
            self.platform_address,
            "PUT",
            f"/control/{name}",
            body=orjson.dumps(document),
        )
        assert reply.status == 200, reply

    def _write_tables(self):
        rows = [
            {"address": upstream.address, "slots": SLOTS}
            for upstream in self._upstreams.values()
        ]
        pool = {
            "department": "sales",
            "upstreams": rows,
            "measuring": {"probes_per_second": PROBES_PER_SECOND, "slot_share": 1.0},
        }
        self._write_row("pools", "desk", pool)
        for path, idempotent in ((LOOKUPS, True), (BOOKINGS, False)):
            route = {
                "department": "sales",
                "pool": "desk",
                "match": {"path_prefix": path},
                "idempotent": idempotent,
                "deadline_ms": 1500.0,
                "tolerance": {"queue_ms": 500.0, "retries": 2},
            }
            self._write_row("routes", path.strip("/"), route)

    def _write_row(self, table, name, row):
        """Write a row to the table service, before any entry has read it."""
        transaction = {
            "id": f"start-{table}-{name}",
            "note": {
                "table": table,
                "name": name,
                "department": row["department"],
                "expected_version": None,
                "wall_ms": 0.0,
            },
            "conditions": [],
            "writes": [{"table": table, "key": name, "value": row}],
        }
        reply = exchange(
            self.platform_address,
            "POST",
            "/v1/tables/transactions",
            body=orjson.dumps(transaction),
        )
        assert reply.status == 200, reply

    def _is_ready(self):
        live = self.live_entries
        names = {entry.name for entry in live}
        for entry in live:
            status = entry.status()
            if status is None or not status["ready"]:
                return False
            known = {
                m["name"]
                for m in status["members"]
                if m["state"] == "alive" and m["ready"]
            }
            # Its own row may lag behind its readiness.
            if not names <= known | {entry.name}:
                return False
        return True

    def _is_quiet(self):
        statuses = [entry.status() for entry in self.live_entries]
        if any(s is None or s["requests_in_flight"] for s in statuses):
            return False
        return all(
            run.ended is not None
            for upstream in self._upstreams.values()
            if upstream.running
            for run in upstream.work()
        )
