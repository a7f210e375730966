"""Targets end, and their addresses go to targets of another service.

The two services have health paths of their own. While the entries of the ended targets
are still in the store, their addresses serve the other service.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

HEALTH = {"desk": "/desk/health", "office": "/office/health"}
DESKS, OFFICES, REUSED = 9, 3, 3
REUSE_AFTER_S = 2.0
WORK_S = 0.12
CONFIGURATION = standins.configuration(
    1, [standins.route(f"r-{name}", f"/{name}/", name) for name in HEALTH], HEALTH
)


def case(record, folder, entries):
    """Return whether UNASKED was kept."""
    hosts = [f"127.0.33.{i}" for i in range(1, 7)]
    ports = standins.free_ports([*hosts, "127.0.33.100", "127.0.33.101"], 16)
    store = standins.Store("127.0.33.100", ports[0])
    store.put("op", "config", CONFIGURATION)

    def target(service, port, instance):
        return standins.Target(
            store=store,
            record=record,
            host="127.0.33.101",
            port=port,
            instance=instance,
            service=service,
            zone="z1",
            slots=4,
            work_s=lambda handler: WORK_S,
            health_path=HEALTH[service],
        )

    desks = [target("desk", ports[i], f"i-desk-{i}") for i in range(DESKS)]
    offices = [
        target("office", ports[DESKS + i], f"i-office-{i}") for i in range(OFFICES)
    ]
    standins.start_entries(
        entries, hosts=hosts, ports=ports, store=store, folder=folder
    )
    sent = set()
    stopping = threading.Event()

    def client(entry, service):
        while not stopping.wait(0.05):
            number = standins.request_id()
            sent.add(number)
            standins.post(entry, f"/{service}/1", number, record)

    threads = [
        threading.Thread(target=client, args=(entry, service))
        for entry in entries
        for service in ("desk", "desk", "desk", "office")
    ]
    for thread in threads:
        thread.start()
    time.sleep(4.0)
    reused = []
    if standins.with_trouble():
        # The targets have started together, so their heartbeats are in step.
        desks[REUSED - 1].wait_for_beat()
        for ended in desks[:REUSED]:
            ended.fall_silent()
            record.line(f"target {ended.instance} at {ended.address} falls silent")
        time.sleep(REUSE_AFTER_S + 0.05)
        for ended in desks[:REUSED]:
            ended.crash()
            port = int(ended.address.rpartition(":")[2])
            reused.append(target("office", port, f"i-office-at-{ended.instance}"))
            record.line(f"target {reused[-1].instance} starts at {ended.address}")
    time.sleep(5.0)
    stopping.set()
    for thread in threads:
        thread.join()
    runs = [(t, run) for t in (*desks, *offices, *reused) for run in t.runs]
    unasked = [(t.instance, *run) for t, run in runs if run[1] not in sent]
    for instance, at, number, path in unasked:
        record.line(f"{instance} ran {number} {path} at {at:.3f}, sent by no client")
    record.line(f"UNASKED: {len(unasked)} of {len(runs)} runs were sent by no client")
    if not runs:
        raise standins.CannotRun("no request was run")
    return not unasked


standins.run_case(FOLDER, case)
