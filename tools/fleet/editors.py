"""Concurrent edits while the table service loses responses and has outages."""

import collections
import concurrent.futures
import dataclasses
import threading
import time

import numpy
from tools.fleet.deployment import DEPARTMENTS, Fleet
from tools.fleet.edits import Editor
from tools.fleet.report import Bound
from tools.fleet.revisions import RevisionWatch, logged_reversals

__all__ = ["Edit", "compare_history", "measure_editors"]

OPERATORS = 8
ROWS_PER_DEPARTMENT = 2
CONFLICT_STATUS = 412
EDITING_TIMEOUT_SECONDS = 300.0
MAX_LOST_RESPONSES = 4
MAX_FAULT_PAUSE_SECONDS = 1.0
MAX_OUTAGE_SECONDS = 0.8
OUTAGE_SHARE = 0.4
MAX_PROPAGATION_MS = 5000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """One edit and its outcome as reported to the operator.

    :param name: name of the pool
    :param document: row as sent
    :param outcome: :class:`tools.fleet.edits.EditOutcome`
    """

    name: str
    document: dict
    outcome: object


class Operator:
    """Edits the rows of one department until the shared quota of edits is used up.

    :param fleet: :class:`Fleet`
    :param number: number of the operator
    :param seed: seed of the random choices
    :param take: function that takes one edit from the quota and returns whether there
        was one left
    """

    def __init__(self, *, fleet, number, seed, take):
        self._fleet = fleet
        self._number = number
        self._random = numpy.random.default_rng([seed, number])
        self._take = take
        self._department = DEPARTMENTS[number % len(DEPARTMENTS)]
        self._editor = Editor(department=self._department)
        self._count = 0

    def run(self):
        """Make edits and return the list of :class:`Edit`."""
        edits = []
        end = time.monotonic() + EDITING_TIMEOUT_SECONDS
        while time.monotonic() < end and self._take():
            edits.append(self._edit())
        return edits

    def _edit(self):
        self._count += 1
        row = self._random.integers(ROWS_PER_DEPARTMENT)
        name = f"{self._department}-{row}"
        order = self._random.permutation(len(self._fleet.entries))
        entries = [self._fleet.entries[index] for index in order]
        current = self._editor.read(entries[0], "pools", name)
        version = current[0] if current else 0
        # The address identifies the edit, so that the history shows its origin.
        upstream = {
            "address": f"10.0.{self._number}.1:{1000 + self._count}",
            "slots": 3,
        }
        document = {"department": self._department, "upstreams": [upstream]}
        outcome = self._editor.put(
            entries,
            "pools",
            name,
            document,
            version=version,
            change_id=f"edit-{self._number}-{self._count}",
        )
        return Edit(name=name, document=document, outcome=outcome)


class FaultInjector:
    """Injects lost responses and outages into the table service at random.

    :param fleet: :class:`Fleet`
    :param seed: seed of the random choices
    """

    def __init__(self, *, fleet, seed):
        self._fleet = fleet
        self._random = numpy.random.default_rng([seed, OPERATORS])
        self._stopping = threading.Event()
        self.outages = 0
        self.responses_to_lose = 0

    def stop(self):
        """Stop injecting faults after the current one."""
        self._stopping.set()

    def run(self):
        """Inject faults until stopped, then clear them."""
        while not self._stopping.wait(MAX_FAULT_PAUSE_SECONDS * self._random.random()):
            if self._random.random() < OUTAGE_SHARE:
                self.outages += 1
                self._fleet.set_store_faults(outage=True)
                self._stopping.wait(MAX_OUTAGE_SECONDS * self._random.random())
                self._fleet.set_store_faults()
            else:
                count = int(self._random.integers(1, MAX_LOST_RESPONSES + 1))
                self.responses_to_lose += count
                self._fleet.set_store_faults(lose_responses=count)
        self._fleet.set_store_faults()


class EditQuota:
    """Quota of edits shared by several operators."""

    def __init__(self, edits):
        self._remaining = edits
        self._lock = threading.Lock()

    def take(self):
        """Take one edit from the quota; return whether there was one left."""
        with self._lock:
            self._remaining -= 1
            return self._remaining >= 0


def compare_history(edits, history):
    """Count the differences between the accepted edits and the change history.

    :param edits: all :class:`Edit`
    :param history: change records of the edits, ordered by revision
    :returns: number of differences by kind
    """
    accepted = sorted(
        (edit for edit in edits if edit.outcome.accepted),
        key=lambda edit: edit.outcome.revision,
    )
    accepted_ids = [edit.outcome.change_id for edit in accepted]
    stored_ids = [record["id"] for record in history]
    contents = {
        record["id"]: (record["revision"], record["writes"][0]["value"])
        for record in history
    }
    differing = sum(
        contents.get(edit.outcome.change_id) != (edit.outcome.revision, edit.document)
        for edit in accepted
    )
    return {
        "lost": len(set(accepted_ids) - set(stored_ids)),
        "not accepted but stored": len(set(stored_ids) - set(accepted_ids)),
        "twice": len(stored_ids) - len(set(stored_ids)),
        "wrong revision or content": differing,
        "order differs": int(accepted_ids != stored_ids),
        "broken chains": broken_chains(history),
    }


def broken_chains(history):
    """Count change records whose ``before`` is not the row's preceding version."""
    versions = collections.defaultdict(int)
    broken = 0
    for record in history:
        write = record["writes"][0]
        broken += write["before"] != versions[write["key"]]
        versions[write["key"]] = write["version"]
    return broken


def run_operators(fleet, edits, seed):
    """Run all operators while faults are injected.

    :returns: list of :class:`Edit` and the :class:`FaultInjector`
    """
    quota = EditQuota(edits)
    faults = FaultInjector(fleet=fleet, seed=seed)
    operators = [
        Operator(fleet=fleet, number=number, seed=seed, take=quota.take)
        for number in range(OPERATORS)
    ]
    with concurrent.futures.ThreadPoolExecutor(OPERATORS + 1) as executor:
        fault_task = executor.submit(faults.run)
        try:
            tasks = [executor.submit(operator.run) for operator in operators]
            results = [edit for task in tasks for edit in task.result()]
        finally:
            faults.stop()
        fault_task.result()
    return results, faults


def measure_editors(*, entries, edits, seed):
    """Make concurrent edits and compare the history with the reported outcomes.

    :param entries: number of entries
    :param edits: total number of edits of all operators
    :param seed: seed of the random choices
    :returns: JSON object and the bounds
    """
    watch = RevisionWatch()
    with Fleet(entries=entries) as fleet:
        before = len(fleet.history())
        started = time.monotonic()
        results, faults = run_operators(fleet, edits, seed)
        seconds = time.monotonic() - started
        history = fleet.history()[before:]
        ended = time.monotonic()
        in_effect_at = watch.wait_for(fleet.entries, before + len(history))
        counters = fleet.counters()
        _, reversals = logged_reversals(fleet.entries)
    statuses = collections.Counter(edit.outcome.status for edit in results)
    differences = compare_history(results, history)
    result = {
        "entries": entries,
        "seed": seed,
        "edits": len(results),
        "seconds": round(seconds, 1),
        "answers": {str(status): count for status, count in sorted(statuses.items())},
        "history": len(history),
        "resent": sum(edit.outcome.attempts > 1 for edit in results),
        "outages": faults.outages,
        "responses_to_lose": faults.responses_to_lose,
        "store": counters,
    }
    unexplained = len(results) - statuses[CONFLICT_STATUS] - len(history)
    bounds = [Bound(name=n, value=v, limit=0) for n, v in differences.items()]
    bounds += [
        Bound(name="edits not made", value=edits - len(results), limit=0),
        Bound(name="neither accepted nor conflict", value=abs(unexplained), limit=0),
        Bound(name="reversals in logs", value=reversals, limit=0),
        Bound(
            name="last edit at all entries, ms",
            value=(in_effect_at - ended) * 1e3,
            limit=MAX_PROPAGATION_MS,
        ),
    ]
    return result, bounds
