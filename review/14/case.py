"""A target leaves without a report, and its last heartbeat is performed late."""

import asyncio
import itertools
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as s  # noqa: E402

ENTRIES = 3
TARGETS = 8
# From the lost response to the removal: the store has been stable for longer than
# stable_window (3 s) by then.
REMOVE_AFTER_S = 3.2
# From the lost response until the store performs the call.
LATE_S = 4.8
# The target serves on for `drain` and a little longer, then it exits.
EXIT_AFTER_S = 4.0
CALM_S = 4.0
AFTER_S = 2.0
WORK_S = 0.2
# 26 of the 32 slots work at a time; 28 slots are left when one target has gone.
RATE = 130.0


async def play(record, store, entries, folder):
    generator = random.Random(14)
    targets = []
    reached = {}  # request id -> time, at the target that leaves
    sent, answers = {}, {}

    def on_run(target, request_id, path):
        record.add("run", request_id, target.id, path)
        if target is targets[0]:
            reached[request_id] = s.now()
        return WORK_S

    routes = [s.route("surveys", "/surveys/", "offerte", kind="unsafe")]
    store.put("op", "config", s.configuration(1, routes, ["offerte"]))
    for _ in range(TARGETS):
        targets.append(s.Target(store, record, "offerte", on_run=on_run))
        await targets[-1].start()
    for number in range(1, ENTRIES + 1):
        entries.append(s.Entry(number, store, folder))
        entries[-1].start()
    for entry in entries:
        if not await entry.wait_ready():
            record.add("not ready:", entry.name)
            return None
    await asyncio.sleep(s.BOUNDS["stable_window"] + 0.5)
    leaving = targets[0]
    ids = itertools.count(1)
    tasks = set()
    stopping = asyncio.Event()

    async def ask():
        request_id = f"{next(ids):016x}"
        entry = generator.choice(entries)
        sent[request_id] = s.now()
        record.add("sent", request_id, entry.name)
        answer = await s.call(entry.listen["front"], "POST", "/surveys/1", request_id,
                              body=b"survey")
        answers[request_id] = answer[0] if answer else "closed"
        record.add("answered", request_id, answers[request_id])

    async def clients():
        while not stopping.is_set():
            task = asyncio.create_task(ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(generator.expovariate(RATE))

    async def lose_heartbeat():
        """Let the next heartbeat be performed late, and its response be lost."""
        performed = store.put

        def put(table, key, value):
            if (table, key) != ("servers", leaving.id):
                performed(table, key, value)
                return
            store.put = performed
            lost_at.set_result(s.now())
            record.add("heartbeat", value["status"]["sequence"], "of", leaving.id,
                       "gets no response")
            asyncio.get_running_loop().call_later(LATE_S, perform, table, key, value)

        def perform(table, key, value):
            record.add("the store performs the lost heartbeat",
                       value["status"]["sequence"], "of", leaving.id)
            performed(table, key, value)

        lost_at = asyncio.get_running_loop().create_future()
        store.put = put
        await lost_at

    asking = asyncio.create_task(clients())
    await asyncio.sleep(CALM_S)
    if s.TROUBLE:
        await lose_heartbeat()
    await asyncio.sleep(REMOVE_AFTER_S)
    # It reports nothing: its entry is removed, and it goes on serving for a while. Its
    # health path says 503, as it is leaving.
    leaving.beats.cancel()
    leaving.state = "draining"
    store.remove("servers", leaving.id)
    gone_at = s.now()
    record.add("the store has removed", leaving.id, "last heartbeat", leaving.sequence)
    await asyncio.sleep(EXIT_AFTER_S)
    record.add(leaving.id, "exits with", leaving.running, "requests running")
    leaving.end()
    await asyncio.sleep(AFTER_S)
    stopping.set()
    await asking
    await asyncio.gather(*tasks)
    late = {i: t - gone_at for i, t in reached.items()
            if t - gone_at > s.BOUNDS["drain"] and sent[i] > gone_at}
    for request_id, after in late.items():
        record.add("BROKEN DRAIN", request_id, f"reached {leaving.id} {after:.3f} s after "
                   "its removal was acknowledged:", answers.get(request_id))
    failed = [i for i in late if answers.get(i) != 200]
    print(f"requests {len(answers)}; {len(late)} reached the removed target later than "
          f"drain, the last {max(late.values(), default=0):.2f} s after its removal; "
          f"{len(failed)} of these were lost when it exited")
    return bool(late) if len(answers) > 300 else None


s.main(FOLDER, play)
