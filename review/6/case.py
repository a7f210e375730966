"""Callers' connections are reset while their requests run: the entry never rests again."""

import os
import pathlib
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world  # noqa: E402

# One of three entries has 0.55 of its connections reset; the dose of reset_conns in the
# site file is 0.35 of the machines and 0.55.
ENTRIES, CLIENTS, RESET = 3, 20, 11
# DEPLOY.md: a machine gives 0.645 of a core. An entry without any client or request
# that takes all of it does not hand back the processor.
CPU_SHARE = 0.645
CALM_S = 10.0
TICKS = os.sysconf("SC_CLK_TCK")


def run_target(target, connection, reader, start, headers):
    request_id = headers["x-request-id"]
    reader.body(int(headers.get("content-length", 0)))
    target.note_run(request_id)
    time.sleep(0.5)
    target.answer(connection, 200, request_id, b"done")
    return True


def processor_seconds(process):
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def send_one(entry, record, number, reset):
    request_id = f"{number:016x}"
    client = world.Client(entry.front)
    client.send("POST", "/order/1", request_id, deadline_ms=2000, body=b"order")
    if reset:
        time.sleep(0.2)
        client.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        record(f"{request_id}: its connection is reset while the target works")
    else:
        record(f"{request_id}: answered {client.receive(3.0)[0]}")
    client.close()


def case(folder, record, entries):
    store = world.Store()
    targets = [
        world.Target(store, f"i-{number}", "orders", run_target, slots=8)
        for number in range(4)
    ]
    store.write(
        "op",
        "config",
        world.configuration(
            [
                world.route("r-order", "/order/", "orders", kind="unsafe",
                            timeout_ms=2000, goal_ms=1000)
            ],
            ["orders"],
        ),
    )
    for number in range(ENTRIES):
        entries.append(world.Entry(folder, store, f"entry-{number}", record=record))
        entries[-1].start()
    if not all(entry.wait_ready() for entry in entries):
        record("the entries are not ready")
        return world.NOT_RUN
    entry = entries[0]
    threads = [
        threading.Thread(
            target=send_one,
            args=(entry, record, number, world.TROUBLE and number < RESET),
        )
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    # The stable window; all requests have ended and all clients have left.
    time.sleep(3.0)
    record(f"runs at the targets: {sum(len(target.runs) for target in targets)}")
    before = [processor_seconds(entry.process) for entry in entries]
    began = time.monotonic()
    time.sleep(CALM_S)
    seconds = time.monotonic() - began
    used = [
        processor_seconds(entry.process) - start
        for entry, start in zip(entries, before, strict=True)
    ]
    record(f"no client, no request for {seconds:.1f} s: processor seconds of the entries "
           + ", ".join(f"{one:.2f}" for one in used))
    record(f"a machine gives {CPU_SHARE * seconds:.2f} in that time")
    return world.BROKEN if max(used) >= CPU_SHARE * seconds else world.HELD


world.run_case(FOLDER, case)
