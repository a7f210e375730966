"""Time from the acceptance of a change to its effect at all entries."""

import concurrent.futures
import statistics
import threading
import time

import numpy
from tools.fleet.deployment import Fleet, route_row
from tools.fleet.edits import Editor, NotAccepted
from tools.fleet.report import Bound
from tools.fleet.revisions import RevisionWatch, logged_reversals

__all__ = ["CASES", "measure_propagation"]

CASES = ("store-up", "store-lost-after-commit", "entries-replaced")
LIMIT_MS = 5000.0
# Longer than the interval of the polls, so that entries notice the outage.
OUTAGE_SECONDS = 1.2
PAUSE_SECONDS = 0.1
# Changes while entries are replaced are spread over the time that this takes.
REPLACED_PAUSE_SECONDS = 0.6
REPLACED_SHARE = 0.2
POOL, PATH = "quotes", "/quotes"


class Replacement:
    """Replaces entries one by one, by turns gracefully and without notice.

    :param entries: the entries to replace
    :param accepted: function that returns the highest accepted revision
    :param watch: :class:`tools.fleet.revisions.RevisionWatch`
    """

    def __init__(self, *, entries, accepted, watch):
        self._entries = tuple(entries)
        self._accepted = accepted
        self._watch = watch
        self._absent = set()
        self._lock = threading.Lock()
        self.catch_up_ms = []
        self.exit_codes = []

    def is_replaced(self, entry):
        """Whether an entry is stopping, stopped or not yet ready."""
        with self._lock:
            return entry.name in self._absent

    def run(self):
        """Replace all, then return."""
        for number, entry in enumerate(self._entries):
            with self._lock:
                self._absent.add(entry.name)
            if number % 2:
                entry.process.kill()
                entry.process.wait()
            else:
                self.exit_codes.append(entry.stop()[0])
            entry.start()
            entry.wait_until_ready()
            accepted = self._accepted()
            started = time.monotonic()
            known = self._watch.wait_for([entry], accepted)
            self.catch_up_ms.append((known - started) * 1e3)
            with self._lock:
                self._absent.discard(entry.name)


class Changes:
    """Makes changes one after the other and measures how they spread.

    :param fleet: :class:`tools.fleet.deployment.Fleet`
    :param watch: :class:`RevisionWatch`
    :param seed: seed of the entries that edits are sent to
    """

    def __init__(self, *, fleet, watch, seed):
        self._fleet = fleet
        self._watch = watch
        self._random = numpy.random.default_rng(seed)
        self._editor = Editor(department=POOL)
        self._version = self._first_version()
        self._count = 0
        self.accepted = 0
        self.statuses = []
        self.from_request_ms = []

    def make(self, *, replaced=lambda entry: False):
        """Make one change.

        :returns: ms from its acceptance until it was in effect at all entries
        """
        self._count += 1
        row = route_row(POOL, PATH, True) | {"deadline_ms": 2000.0 + self._count}
        entries = [e for e in self._fleet.entries if not replaced(e)]
        order = self._random.permutation(len(entries))
        outcome = self._editor.put(
            [entries[index] for index in order],
            "routes",
            POOL,
            row,
            version=self._version,
            change_id=f"change-{self._count}",
        )
        if not outcome.accepted:
            raise NotAccepted(f"{outcome.status} {outcome.document}")
        self.statuses.append(outcome.status)
        self._version = outcome.document["version_after"]
        self.accepted = outcome.revision
        known = self._watch.wait_for(entries, outcome.revision, replaced=replaced)
        self.from_request_ms.append((known - outcome.started) * 1e3)
        return (known - outcome.since) * 1e3

    def _first_version(self):
        rows = self._fleet.rows()
        return next(
            row["version"]
            for row in rows
            if (row["table"], row["key"]) == ("routes", POOL)
        )


def with_store_up(fleet, changes, count):
    """Return the times of ``count`` changes."""
    times = []
    for _ in range(count):
        times.append(changes.make())
        time.sleep(PAUSE_SECONDS)
    return times, {}


def with_store_lost(fleet, changes, count):
    """Return the times of changes after each of which the store is unavailable."""
    times = []
    for _ in range(count):
        fleet.set_store_faults(outage_after_write=True)
        times.append(changes.make())
        time.sleep(OUTAGE_SECONDS)
        fleet.set_store_faults()
    return times, {}


def with_replacements(fleet, changes, count, watch):
    """Return the times of changes while a fifth of the entries is replaced."""
    number = max(1, round(len(fleet.entries) * REPLACED_SHARE))
    replacement = Replacement(
        entries=fleet.entries[:number], accepted=lambda: changes.accepted, watch=watch
    )
    times = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        task = executor.submit(replacement.run)
        while len(times) < count or not task.done():
            times.append(changes.make(replaced=replacement.is_replaced))
            time.sleep(REPLACED_PAUSE_SECONDS)
        task.result()
    details = {
        "replaced": number,
        "exit_codes": replacement.exit_codes,
        "catch_up_ms": [round(value, 1) for value in replacement.catch_up_ms],
    }
    return times, details


def measure_propagation(*, entries, changes, seed, cases=CASES, propagation_ms=3000.0):
    """Measure some cases in one fleet.

    :param entries: number of entries
    :param changes: number of changes of each case
    :param cases: of :data:`CASES`
    :returns: JSON object and the bounds
    """
    watch = RevisionWatch()
    result = {"entries": entries, "seed": seed, "cases": {}}
    bounds = []
    with Fleet(entries=entries, propagation_ms=propagation_ms) as fleet:
        maker = Changes(fleet=fleet, watch=watch, seed=seed)
        for case in cases:
            maker.statuses.clear()
            maker.from_request_ms.clear()
            times, details = run_case(case, fleet, maker, changes, watch)
            result["cases"][case] = {
                "changes": len(times),
                "median_ms": median_of(times),
                "max_ms": round(max(times), 1),
                "median_from_request_ms": median_of(maker.from_request_ms),
                "max_from_request_ms": round(max(maker.from_request_ms), 1),
                "answers_200": maker.statuses.count(200),
                "answers_202": maker.statuses.count(202),
                **details,
            }
            slowest = max(*times, *details.get("catch_up_ms", ()), 0.0)
            bounds.append(
                Bound(name=f"{case}: maximum, ms", value=slowest, limit=LIMIT_MS)
            )
        watch.wait_for(fleet.entries, maker.accepted)
        lines, logged = logged_reversals(fleet.entries)
    result |= {"polls": watch.polls, "logged_revisions": lines}
    bounds.append(Bound(name="reversals in logs", value=logged, limit=0))
    bounds.append(Bound(name="reversals in polls", value=watch.reversals, limit=0))
    return result, bounds


def median_of(values):
    """Return the median, rounded for the report."""
    return round(statistics.median(values), 1)


def run_case(case, fleet, maker, count, watch):
    """Run one case; return its times and further figures."""
    if case == "store-up":
        return with_store_up(fleet, maker, count)
    if case == "store-lost-after-commit":
        return with_store_lost(fleet, maker, count)
    return with_replacements(fleet, maker, count, watch)
