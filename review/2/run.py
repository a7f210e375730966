"""SIGTERM of one entry while clients with kept connections go on booking.

Clients whose discovery answer still counts send requests shortly after 3 s from the
SIGTERM. The targets work on them for 2.4 s, less than the route's timeout.
"""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

DEADLINE_MS = 5000
TIMEOUT_S = 2.5
LONG_WORK_S = 2.4
SHORT_WORK_S = 0.05
GRACE_S = 6.0
# The rule excuses long work only for requests sent no later than this after SIGTERM.
EXCUSED_S = 3.0
FIRST_SEND_S, SEND_GAP_S, CLIENTS = 3.05, 0.03, 18
CONFIGURATION = standins.configuration(
    1,
    [standins.route("r-book", "/book/", "desk", timeout=f"{TIMEOUT_S}s")],
    {"desk": "/health"},
)


def work_of(handler):
    """Return the seconds that a target works on a request."""
    return LONG_WORK_S if handler.path == "/book/long" else SHORT_WORK_S


def case(record, folder, entries):
    """Return whether LOST was kept."""
    hosts = ["127.0.32.1", "127.0.32.2"]
    ports = standins.free_ports([*hosts, "127.0.32.100", "127.0.32.101"], 16)
    store = standins.Store("127.0.32.100", ports[0])
    store.put("op", "config", CONFIGURATION)
    targets = [
        standins.Target(
            store=store,
            record=record,
            host="127.0.32.101",
            port=ports[i],
            instance=f"i-desk-{i}",
            service="desk",
            zone="z1",
            slots=4,
            work_s=work_of,
        )
        for i in range(10)
    ]
    standins.start_entries(
        entries, hosts=hosts, ports=ports, store=store, folder=folder
    )
    stopped = entries[0]
    results = []

    def client(number, start):
        connection = standins.Client(stopped.front)
        connection.connect()
        for _ in range(2):
            warm = standins.request_id()
            connection.send("POST", "/book/short", warm, DEADLINE_MS, b"lot")
            reply = connection.receive(5.0)
            record.line(f"client {number} {warm} /book/short -> {reply.status}")
            time.sleep(0.2)
        time.sleep(max(0.0, start + FIRST_SEND_S + number * SEND_GAP_S - record.now()))
        long = standins.request_id()
        sent_at = record.now()
        try:
            connection.send("POST", "/book/long", long, DEADLINE_MS, b"lot")
        except OSError:
            record.line(f"client {number} {long}: the connection was closed before")
            return
        reply = connection.receive(DEADLINE_MS / 1e3)
        results.append((number, long, sent_at - start, record.now() - start, reply))
        record.line(f"client {number} {long} /book/long -> {reply.status}")

    start = record.now() + 4.0
    threads = [
        threading.Thread(target=client, args=(number, start))
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(start - record.now())
    if standins.with_trouble():
        stopped.process.send_signal(signal.SIGTERM)
        record.line(f"SIGTERM to {stopped.name}")
    for thread in threads:
        thread.join()
    if standins.with_trouble():
        code = stopped.process.wait(timeout=GRACE_S)
        record.line(f"{stopped.name} ended with code {code}")
    run = {number for target in targets for _, number, _ in target.runs}
    lost = 0
    for number, long, sent, ended, reply in sorted(results):
        cut = (
            reply.status is None
            and long in run
            and sent > EXCUSED_S
            and ended < sent + TIMEOUT_S
        )
        lost += cut
        record.line(
            f"client {number}: sent {sent:.3f} s and ended {ended:.3f} s after the "
            f"SIGTERM, status {reply.status}, passed on: {long in run}, lost: {cut}"
        )
    answered = sum(reply.status == 200 for *_, reply in results)
    record.line(
        f"LOST: {lost} of {len(results)} requests, {answered} were answered 200"
    )
    if not results or not (lost or answered):
        raise standins.CannotRun("no request was passed on")
    return lost == 0


standins.run_case(FOLDER, case)
