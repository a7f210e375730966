"""A version with a time of many decimals never comes into force."""

import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import (  # noqa: E402
    Client, Entry, Record, Store, Target, configuration, now, route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
ENTRIES = 3
CONFIG_APPLY_S = 2.0
AFTERWARDS_S = 15.0
# A tenth more than 900 ms, as computed in binary floating point.
LONGER = f"{900 * 1.1}ms" if TROUBLE else "990ms"


def play(record, folder, entries):
    store = Store().listen()
    services = ["old", "new"]
    moved = route("moved", "/moved/", "old", timeout="900ms")
    dropped = route("dropped", "/dropped/", "old", timeout="900ms")
    store.write("op", "config", configuration(1, [moved, dropped], services))
    targets = [Target(store, record, f"i-{service}-{n}", service, work=0.05).start()
               for service in services for n in range(3)]
    entries += [Entry(store.address, record, f"edge-{n}", folder=folder).start()
                for n in range(ENTRIES)]
    if not all(entry.wait_ready() for entry in entries):
        return 2
    time.sleep(4)
    routes = [
        route("moved", "/moved/", "new", timeout=LONGER),
        route("added", "/added/", "new", timeout=LONGER),
    ]
    store.write("op", "config", configuration(2, routes, services, base=1))
    acknowledged = now()
    record.write(f"plan: version 2, timeout {LONGER}, acknowledged")
    old = {"moved": 0, "dropped": 0, "added": 0}
    number = 0
    time.sleep(CONFIG_APPLY_S + 0.2)
    while now() < acknowledged + AFTERWARDS_S:
        for entry in entries:
            number += 1
            client = Client(entry.front)
            for name in old:
                request_id = f"{name}-{entry.name}-{number}"
                status, _, body = client.call("GET", f"/{name}/1", HOST, request_id)
                record.write(f"client {request_id} gets {status} {body[:70]!r}")
                ran = [t.service for t in targets for r in t.ran if r[1] == request_id]
                old[name] += (
                    (name == "added" and status == 404)
                    or (name == "dropped" and "old" in ran)
                    or (name == "moved" and "old" in ran)
                )
            client.close()
        time.sleep(0.5)
    record.write(f"later than {CONFIG_APPLY_S:.0f} s after the acknowledgement, of "
                 f"{number} requests each, handled as only the older version allows: "
                 f"{old['moved']} on the moved route, {old['dropped']} on the dropped "
                 f"one, {old['added']} on the added one")
    broken = any(old.values())
    record.write("CONFIG is broken" if broken else "CONFIG holds")
    return 1 if broken else 0


def main():
    record, entries = Record(HERE / "record.txt"), []
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = play(record, folder, entries)
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
        finally:
            for entry in entries:
                entry.kill()
    os._exit(code)


main()
