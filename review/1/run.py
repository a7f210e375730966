"""One row of another writer in ``servers`` that can't be read; then the operator acts.

Three entries serve two routes. Another writer leaves one row in ``servers``. After that
the operator moves the first route to another service, and the entry of one target is
removed while the target goes on serving.

ROW=huge or ROW=nested takes another row. RESTART=1 also restarts all entries at the end
and records whether they serve again; that is no part of the verdict.
"""

import itertools
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

# Rows that name no target: variants of what PROTOCOL.md allows another writer.
ROWS = {
    # Python's and other encoders write NaN for a missing figure; it is no JSON.
    "nan": b'{"address":"127.0.31.9:9","born":1,"info":{"service":"desk","version":'
    b'"v1","zone":"z1","slots":NaN},"status":{"state":"ready","sequence":1}}',
    # Valid JSON: a number that no integer type holds.
    "huge": b'{"address":"127.0.31.9:9","born":1,"info":{"service":"desk","version":'
    b'"v1","zone":"z1","slots":1e400},"status":{"state":"ready","sequence":1}}',
    "nested": b"[" * 5000,
    # Valid JSON: a zone that is no text that can be encoded.
    "surrogate": b'{"address":"127.0.31.9:9","born":1,"info":{"service":"desk",'
    b'"version":"v1","zone":"\\ud800","slots":4},"status":{"state":"ready"}}',
}
APPLY_S, DRAIN_S, RECOVER_S = 2.0, 2.0, 15.0
SETTLE_S = 4.0
WATCH_S = 8.0


def configuration(version, service):
    """Return the operator's configuration; ``service`` serves the first route."""
    routes = [
        standins.route("r-book", "/book/", service),
        standins.route("r-note", "/note/", "desk"),
    ]
    return standins.configuration(
        version, routes, {"desk": "/health", "office": "/health"}
    )


class Traffic:
    """Clients that send unsafe requests to each entry, on both routes by turns."""

    def __init__(self, record, entries):
        self.sent_at = {}
        self._record = record
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,)) for entry in entries
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the clients."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry):
        for path in itertools.cycle(("/book/1", "/note/1")):
            if self._stopping.wait(0.08):
                return
            number = standins.request_id()
            self.sent_at[number] = self._record.now()
            standins.post(entry, path, number, self._record)


def start_fleet(record, folder, entries):
    """Start store, targets and entries; return the store and the targets."""
    hosts = [f"127.0.31.{i}" for i in (1, 2, 3)]
    ports = standins.free_ports([*hosts, "127.0.31.100", "127.0.31.101"], 8)
    store = standins.Store("127.0.31.100", ports[0])
    store.put("op", "config", configuration(1, "desk"))
    targets = [
        standins.Target(
            store=store,
            record=record,
            host="127.0.31.101",
            port=ports[i],
            instance=f"i-{service}-{i}",
            service=service,
            zone="z1",
            slots=4,
            work_s=lambda handler: 0.05,
        )
        for i, service in enumerate(("desk", "desk", "desk", "office", "office"))
    ]
    standins.start_entries(
        entries, hosts=hosts, ports=ports, store=store, folder=folder
    )
    return store, targets


def restart_all(record, entries):
    """Restart all entries and record whether they get ready within ``recover``."""
    for entry in entries:
        entry.kill()
        entry.start()
    try:
        standins.wait_for_all(entries, RECOVER_S)
        record.line("restart: all entries are ready again")
    except standins.CannotRun:
        ready = sum(entry.is_ready() for entry in entries)
        record.line(f"restart: {ready} entries are ready after {RECOVER_S} s")


def case(record, folder, entries):
    """Return whether CONFIG and DRAIN were kept."""
    store, targets = start_fleet(record, folder, entries)
    traffic = Traffic(record, entries)
    time.sleep(SETTLE_S)
    if standins.with_trouble():
        row = os.environ.get("ROW", "nan")
        store.put("servers", "i-another-writer", ROWS[row])
        record.line(f"another writer: servers/i-another-writer ({row})")
    time.sleep(SETTLE_S)
    leaving = targets[0]
    leaving.withdraw()
    gone_at = record.now()
    record.line(f"store accepted: the entry of {leaving.instance} is removed")
    store.put("op", "config", configuration(2, "office"))
    changed_at = record.now()
    record.line("store accepted: version 2 moves /book/ from desk to office")
    time.sleep(WATCH_S)
    traffic.stop()
    late = {n for n, at in traffic.sent_at.items() if at > changed_at + APPLY_S}
    booked = [
        (target.service, number)
        for target in targets
        for _, number, path in target.runs
        if path == "/book/1" and number in late
    ]
    old = [number for service, number in booked if service == "desk"]
    left = [at for at, _, _ in leaving.runs if at > gone_at + DRAIN_S]
    record.line(
        f"CONFIG: of {len(booked)} requests to /book/ sent over {APPLY_S} s after "
        f"version 2 was acknowledged, {len(old)} were run by the old service"
    )
    record.line(
        f"DRAIN: {len(left)} requests reached {leaving.instance} over {DRAIN_S} s "
        "after its end was acknowledged"
    )
    if os.environ.get("RESTART") == "1":
        restart_all(record, entries)
    if not booked:
        raise standins.CannotRun("no request was run after the change")
    return not old and not left


standins.run_case(FOLDER, case)
