"""A request that crashes targets comes again after all entries were killed."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as s  # noqa: E402

ENTRIES = 4
TARGETS = 24
PLAY_S = 60.0
# The crashing request comes again, and is repeated at once 3 more times, each time at
# another entry (retry_abuse: x = 3.0).
AGAIN_S = 5.0
REPEATS = 3
KILL_AT_S = 20.0
RESTART_AFTER_S = 0.5
BACK_AFTER_S = 2.5
WORK_S = 0.15
# Harmless requests a second, over all entries.
RATE = 20.0
MAX_RETRIES = 3
CRASHING = "/prices/crash"


async def play(record, store, entries, folder):
    generator = random.Random(12)
    targets = []
    crashes = []  # times of crashes
    reached = {}  # id of each crashing request that reached a target -> first time
    running = {}  # target -> ids of the harmless requests that it runs
    lost = set()

    def on_run(target, request_id, path):
        record.add("run", request_id, target.id, path)
        if path != CRASHING:
            running.setdefault(target, set()).add(request_id)
            return WORK_S
        reached.setdefault(request_id, s.now())
        return None

    async def restart(target):
        await asyncio.sleep(BACK_AFTER_S)
        await start_target(target.address)
        # The row of the former start expires after three heartbeat intervals.
        await asyncio.sleep(3 * s.HEARTBEAT_S - BACK_AFTER_S)
        store.remove("servers", target.id)

    async def crash(target):
        crashes.append(s.now())
        lost.update(running.pop(target, ()))
        record.add("crashes:", target.id, f"crash {len(crashes)}")
        target.beats.cancel()
        target.end()
        tasks.add(asyncio.create_task(restart(target)))

    async def start_target(address=None):
        target = s.Target(store, record, "offerte", on_run=on_run, address=address)
        target.on_crash = crash
        await target.start()
        targets.append(target)

    routes = [
        s.route("prices", "/prices/", "offerte", kind="safe"),
        s.route("surveys", "/surveys/", "offerte", kind="unsafe"),
    ]
    store.put("op", "config", s.configuration(1, routes, ["offerte"]))
    tasks = set()
    for _ in range(TARGETS):
        await start_target()
    for number in range(1, ENTRIES + 1):
        entries.append(s.Entry(number, store, folder))
        entries[-1].start()
    for entry in entries:
        if not await entry.wait_ready():
            record.add("not ready:", entry.name)
            return None
    await asyncio.sleep(s.BOUNDS["stable_window"] + 0.5)
    begun = s.now()
    ids = itertools.count(1)
    harmless = []

    async def ask(method, path, entry=None):
        request_id = f"{next(ids):016x}"
        entry = entry or generator.choice(entries)
        record.add("sent", request_id, entry.name, method, path)
        if path != CRASHING:
            harmless.append(request_id)
        answer = await s.call(entry.listen["front"], method, path, request_id)
        for ids_there in running.values():
            ids_there.discard(request_id)
        record.add("answered", request_id, answer[0] if answer else "closed")

    async def repeat(method, paths, wait):
        while s.now() - begun < PLAY_S:
            task = asyncio.create_task(ask(method, next(paths)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(wait())

    async def repeat_crashing():
        while s.now() - begun < PLAY_S:
            for entry in generator.sample(entries, 1 + REPEATS):
                await ask("GET", CRASHING, entry)
            await asyncio.sleep(AGAIN_S)

    async def kill_all():
        await asyncio.sleep(KILL_AT_S)
        for entry in entries:
            entry.send(signal.SIGKILL)
        record.add("all entries killed")
        for entry in entries:
            entry.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        for entry in entries:
            entry.start()

    surveys = (f"/surveys/{n}" for n in itertools.count())
    players = [
        repeat_crashing(),
        repeat("POST", surveys, lambda: generator.expovariate(RATE)),
    ]
    if s.TROUBLE:
        players.append(kill_all())
    await asyncio.gather(*players)
    await asyncio.sleep(1.5)
    retries = []
    if len(crashes) >= 3:
        limit = crashes[2] + s.BOUNDS["stable_window"]
        in_touch = begun + KILL_AT_S + RESTART_AFTER_S + s.BOUNDS["stable_window"]
        # What machines send that are not in touch is not judged.
        retries = [
            i for i, t in reached.items()
            if t > limit and not (begun + KILL_AT_S < t < in_touch + 1.0)
        ]
    for request_id in retries:
        record.add("BROKEN BUDGET: retry", request_id, "reached a target",
                   f"{reached[request_id] - crashes[2]:.2f} s after the third crash")
    print(f"targets crashed {len(crashes)} times; "
          f"{len(retries)} retries reached targets later than stable_window after the "
          f"third crash (at most {MAX_RETRIES}); of {len(harmless)} harmless requests "
          f"{len(lost)} were running on a target that crashed")
    alive = all(entry.process.poll() is None for entry in entries)
    if not alive or len(harmless) < 500 or len(crashes) < 3:
        return None
    return len(retries) > MAX_RETRIES


s.main(FOLDER, play)
