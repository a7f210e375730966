"""Time from the acceptance of a change until it is in effect at all entries."""

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
MAX_PROPAGATION_MS = 5000.0
# Longer than the polling interval, so that entries detect the outage.
OUTAGE_SECONDS = 1.2
PAUSE_SECONDS = 0.1
# Spreads the changes over the time that the replacement of entries takes.
REPLACEMENT_PAUSE_SECONDS = 0.6
REPLACED_SHARE = 0.2
POOL, PATH = "quotes", "/quotes"


class EntryReplacer:
    """Replaces entries one by one, alternating graceful stops and kills.

    :param entries: entries to replace
    :param accepted: function that returns the highest accepted revision
    :param watch: :class:`tools.fleet.revisions.RevisionWatch`
    """

    def __init__(self, *, entries, accepted, watch):
        self._entries = tuple(entries)
        self._accepted = accepted
        self._watch = watch
        self._being_replaced = set()
        self._lock = threading.Lock()
        self.catch_up_ms = []
        self.exit_codes = []

    def is_replaced(self, entry):
        """Return whether an entry is stopping, stopped or not yet caught up."""
        with self._lock:
            return entry.name in self._being_replaced

    def run(self):
        """Replace all entries."""
        for number, entry in enumerate(self._entries):
            with self._lock:
                self._being_replaced.add(entry.name)
            if number % 2:
                entry.process.kill()
                entry.process.wait()
            else:
                self.exit_codes.append(entry.stop()[0])
            entry.start()
            entry.wait_until_ready()
            accepted = self._accepted()
            started = time.monotonic()
            in_effect_at = self._watch.wait_for([entry], accepted)
            self.catch_up_ms.append((in_effect_at - started) * 1e3)
            with self._lock:
                self._being_replaced.discard(entry.name)


class ChangeRunner:
    """Makes changes sequentially and measures their propagation.

    :param fleet: :class:`tools.fleet.deployment.Fleet`
    :param watch: :class:`RevisionWatch`
    :param seed: seed of the random choice of entries to send edits to
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

    def make_change(self, *, replaced=lambda entry: False):
        """Make one change.

        :param replaced: predicate for entries that are being replaced; they are neither
            sent the change nor waited for
        :returns: time in ms from its acceptance until it is in effect at all entries
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
            raise NotAccepted(f"change rejected: {outcome.status} {outcome.document}")
        self.statuses.append(outcome.status)
        self._version = outcome.document["version_after"]
        self.accepted = outcome.revision
        in_effect_at = self._watch.wait_for(
            entries, outcome.revision, replaced=replaced
        )
        self.from_request_ms.append((in_effect_at - outcome.started) * 1e3)
        return (in_effect_at - outcome.since) * 1e3

    def _first_version(self):
        rows = self._fleet.rows()
        return next(
            row["version"]
            for row in rows
            if (row["table"], row["key"]) == ("routes", POOL)
        )


def measure_with_store_up(fleet, changes, count):
    """Return the propagation times in ms of ``count`` changes."""
    times = []
    for _ in range(count):
        times.append(changes.make_change())
        time.sleep(PAUSE_SECONDS)
    return times, {}


def measure_with_store_outages(fleet, changes, count):
    """Return propagation times in ms with a store outage after each change."""
    times = []
    for _ in range(count):
        fleet.set_store_faults(outage_after_write=True)
        times.append(changes.make_change())
        time.sleep(OUTAGE_SECONDS)
        fleet.set_store_faults()
    return times, {}


def measure_with_replacements(fleet, changes, count, watch):
    """Return propagation times in ms while a fifth of the entries is replaced."""
    number = max(1, round(len(fleet.entries) * REPLACED_SHARE))
    replacer = EntryReplacer(
        entries=fleet.entries[:number], accepted=lambda: changes.accepted, watch=watch
    )
    times = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        task = executor.submit(replacer.run)
        while len(times) < count or not task.done():
            times.append(changes.make_change(replaced=replacer.is_replaced))
            time.sleep(REPLACEMENT_PAUSE_SECONDS)
        task.result()
    details = {
        "replaced": number,
        "exit_codes": replacer.exit_codes,
        "catch_up_ms": [round(value, 1) for value in replacer.catch_up_ms],
    }
    return times, details


def measure_propagation(*, entries, changes, seed, cases=CASES, propagation_ms=3000.0):
    """Measure the given cases in one fleet.

    :param entries: number of entries
    :param changes: number of changes per case
    :param seed: seed of the random choices
    :param cases: names from :data:`CASES`
    :param propagation_ms: as for :class:`tools.fleet.deployment.Fleet`
    :returns: JSON object and the bounds
    """
    watch = RevisionWatch()
    result = {"entries": entries, "seed": seed, "cases": {}}
    bounds = []
    with Fleet(entries=entries, propagation_ms=propagation_ms) as fleet:
        runner = ChangeRunner(fleet=fleet, watch=watch, seed=seed)
        for case in cases:
            runner.statuses.clear()
            runner.from_request_ms.clear()
            times, details = run_case(case, fleet, runner, changes, watch)
            result["cases"][case] = {
                "changes": len(times),
                "median_ms": rounded_median(times),
                "max_ms": round(max(times), 1),
                "median_from_request_ms": rounded_median(runner.from_request_ms),
                "max_from_request_ms": round(max(runner.from_request_ms), 1),
                "answers_200": runner.statuses.count(200),
                "answers_202": runner.statuses.count(202),
                **details,
            }
            slowest = max(*times, *details.get("catch_up_ms", ()), 0.0)
            bounds.append(
                Bound(
                    name=f"{case}: maximum, ms", value=slowest, limit=MAX_PROPAGATION_MS
                )
            )
        watch.wait_for(fleet.entries, runner.accepted)
        lines, logged_count = logged_reversals(fleet.entries)
    result |= {"polls": watch.polls, "logged_revisions": lines}
    bounds.append(Bound(name="reversals in logs", value=logged_count, limit=0))
    bounds.append(Bound(name="reversals in polls", value=watch.reversals, limit=0))
    return result, bounds


def rounded_median(values):
    """Return the median, rounded to one decimal place for the report."""
    return round(statistics.median(values), 1)


def run_case(case, fleet, runner, count, watch):
    """Run one case; return its propagation times in ms and further figures."""
    if case == "store-up":
        return measure_with_store_up(fleet, runner, count)
    if case == "store-lost-after-commit":
        return measure_with_store_outages(fleet, runner, count)
    return measure_with_replacements(fleet, runner, count, watch)
