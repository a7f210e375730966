"""One entry of seven freezes and wakes again and again; the six others are judged."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as s  # noqa: E402

ENTRIES = 7
# 1 of 7 machines is 0.143 of them; the site's largest node_freeze has 0.15 for 3.58 s.
FREEZE_S = 0.38
AWAKE_S = 0.02
PLAY_S = 95.0
CHANGE_S = 0.75
DRAIN_EVERY_S = 5.0
# A target serves on for `drain` and a little longer before it exits.
EXIT_AFTER_S = s.BOUNDS["drain"] + 1.0
ROUTES = int(PLAY_S / CHANGE_S)
# Requests go to routes whose move was acknowledged this long ago.
ASKED_S = (1.5, 4.0)
WORK_S = 0.15
# Requests a second to each of the sound entries.
RATE = 12.0


async def play(record, store, entries, folder):
    generator = random.Random(11)
    acked = {}  # number of a route -> time at which its move was acknowledged
    draining = {}  # target -> time at which its leaving was acknowledged
    requests = {}  # request id -> (entry, route number, time sent)
    breaks = []
    judging = True

    def on_run(target, request_id, path):
        request = requests.get(request_id)
        if request is None or not judging:
            return WORK_S
        entry, number, sent = request
        record.add("run", request_id, target.id, target.service, target.state)
        late = sent - acked.get(number, float("inf"))
        if target.service == "offerte" and late > s.BOUNDS["config_apply"]:
            breaks.append(("CONFIG", late))
            record.add("BROKEN CONFIG", request_id, entry.name, f"route m{number}",
                       f"run by the old service, sent {late:.3f} s after the ack")
        late = s.now() - draining.get(target, float("inf"))
        if late > s.BOUNDS["drain"]:
            breaks.append(("DRAIN", late))
            record.add("BROKEN DRAIN", request_id, entry.name, target.id,
                       f"reached {late:.3f} s after the ack of draining")
        return WORK_S

    def write_configuration(version):
        routes = [
            s.route(f"m{n}", f"/m{n}/", "auftrag" if n < version else "offerte",
                    kind="unsafe")
            for n in range(ROUTES)
        ]
        store.put("op", "config",
                  s.configuration(version + 1, routes, ("offerte", "auftrag")))

    write_configuration(0)
    targets = []
    for service in ["offerte"] * 6 + ["auftrag"] * 6:
        targets.append(s.Target(store, record, service, on_run=on_run))
        await targets[-1].start()
    for number in range(1, ENTRIES + 1):
        entries.append(s.Entry(number, store, folder))
        entries[-1].start()
    for entry in entries:
        if not await entry.wait_ready():
            record.add("not ready:", entry.name)
            return None
    frozen, sound = entries[0], entries[1:]
    # All machines are in touch once stable_window has passed.
    await asyncio.sleep(s.BOUNDS["stable_window"] + 0.5)
    begun = s.now()
    record.add("in touch:", *(entry.name for entry in sound))

    async def freeze():
        while s.now() - begun < PLAY_S:
            frozen.send(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            frozen.send(signal.SIGCONT)
            await asyncio.sleep(AWAKE_S)

    async def change():
        for number in range(ROUTES):
            write_configuration(number + 1)
            acked[number] = s.now()
            record.add("acknowledged: route", f"m{number}", "moved to auftrag")
            await asyncio.sleep(CHANGE_S)

    async def leave():
        await asyncio.sleep(DRAIN_EVERY_S / 2)
        while s.now() - begun < PLAY_S - DRAIN_EVERY_S:
            service = generator.choice(("offerte", "auftrag"))
            old = next(t for t in targets if t.service == service and t.alive
                       and t.state == "ready")
            new = s.Target(store, record, service, on_run=on_run)
            targets.append(new)
            await new.start()
            old.drain()
            draining[old] = s.now()
            record.add("acknowledged:", old.id, "is draining")
            await asyncio.sleep(EXIT_AFTER_S)
            record.add("exits:", old.id, "with", old.running, "requests running")
            old.end()
            store.remove("servers", old.id)
            await asyncio.sleep(DRAIN_EVERY_S - EXIT_AFTER_S)

    ids = itertools.count(1)
    tasks = set()

    async def ask(entry):
        request_id = f"{next(ids):016x}"
        age_s = generator.uniform(*ASKED_S)
        number = max(0, len(acked) - 1 - int(age_s / CHANGE_S))
        requests[request_id] = entry, number, s.now()
        record.add("sent", request_id, entry.name, f"/m{number}/")
        answer = await s.call(entry.listen["front"], "POST", f"/m{number}/x",
                              request_id, body=b"fascia board")
        record.add("answered", request_id, answer[0] if answer else "closed")

    async def clients(entry):
        while s.now() - begun < PLAY_S:
            task = asyncio.create_task(ask(entry))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(generator.expovariate(RATE))

    players = [change(), leave(), *(clients(entry) for entry in sound)]
    if s.TROUBLE:
        players.append(freeze())
    await asyncio.gather(*players)
    judging = False
    await asyncio.gather(*tasks)
    alive = all(entry.process.poll() is None for entry in entries)
    reads = [t for t in store.target_reads if t >= begun]
    gap = max((b - a for a, b in itertools.pairwise(reads)), default=PLAY_S)
    print(f"requests {len(requests)}, changes {len(acked)}, leaving {len(draining)}, "
          f"reads of the store {len(reads)}, longest pause {gap:.2f} s")
    for rule in ("CONFIG", "DRAIN"):
        late = [t for name, t in breaks if name == rule]
        print(f"{rule}: {len(late)} requests, latest {max(late, default=0):.2f} s "
              "after the acknowledgement")
    record.add("longest pause between reads of the store", f"{gap:.3f} s")
    broken = any(name == "CONFIG" for name, _ in breaks)
    return broken if alive and len(requests) > 1000 else None


s.main(FOLDER, play)
