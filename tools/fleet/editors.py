"""Racing operators against a table service with lost responses and outages."""

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
LIMIT_SECONDS = 300.0
MAX_LOST_RESPONSES = 4
FAULT_PAUSE_SECONDS = 1.0
MAX_OUTAGE_SECONDS = 0.8
OUTAGE_SHARE = 0.4
SPREAD_LIMIT_MS = 5000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """One edit and what its operator was told.

    :param name: name of the pool
    :param document: the row that was sent
    :param outcome: :class:`tools.fleet.edits.EditOutcome`
    """

    name: str
    document: dict
    outcome: object


class Operator:
    """Edits the rows of one department until the common number of edits is made.

    :param fleet: :class:`Fleet`
    :param number: number of the operator
    :param seed: seed of its choices
    :param take: function that returns whether one more edit shall be made
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
        """Make edits; return the list of :class:`Edit`."""
        edits = []
        end = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < end and self._take():
            edits.append(self._edit())
        return edits

    def _edit(self):
        self._count += 1
        row = self._random.integers(ROWS_PER_DEPARTMENT)
        name = f"{self._department}-{row}"
        order = self._random.permutation(len(self._fleet.entries))
        entries = [self._fleet.entries[index] for index in order]
        found = self._editor.read(entries[0], "pools", name)
        version = found[0] if found else 0
        # The content names its edit, so that the history shows whose content it is.
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


class FaultTask:
    """Switches lost responses and outages of the table service on and off.

    :param fleet: :class:`Fleet`
    :param seed: seed of the choices
    """

    def __init__(self, *, fleet, seed):
        self._fleet = fleet
        self._random = numpy.random.default_rng([seed, OPERATORS])
        self._stopping = threading.Event()
        self.outages = 0
        self.responses_to_lose = 0

    def stop(self):
        """End the faults after the present one."""
        self._stopping.set()

    def run(self):
        """Switch faults until stopped, then switch them off."""
        while not self._stopping.wait(FAULT_PAUSE_SECONDS * self._random.random()):
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


class Budget:
    """Hands out a number of edits to several operators."""

    def __init__(self, edits):
        self._left = edits
        self._lock = threading.Lock()

    def take(self):
        """Return whether one more edit shall be made."""
        with self._lock:
            self._left -= 1
            return self._left >= 0


def compare_history(edits, history):
    """Count the differences between the accepted edits and the history.

    :param edits: all :class:`Edit`
    :param history: change records in order, without those of the fixture
    :returns: number of differences by kind
    """
    accepted = sorted(
        (edit for edit in edits if edit.outcome.accepted),
        key=lambda edit: edit.outcome.revision,
    )
    told = [edit.outcome.change_id for edit in accepted]
    stored = [record["id"] for record in history]
    contents = {
        record["id"]: (record["revision"], record["writes"][0]["value"])
        for record in history
    }
    wrong = sum(
        contents.get(edit.outcome.change_id) != (edit.outcome.revision, edit.document)
        for edit in accepted
    )
    return {
        "lost": len(set(told) - set(stored)),
        "not accepted but stored": len(set(stored) - set(told)),
        "twice": len(stored) - len(set(stored)),
        "wrong revision or content": wrong,
        "order differs": int(told != stored),
        "broken chains": broken_chains(history),
    }


def broken_chains(history):
    """Count edits that did not replace the row's version before them."""
    versions = collections.defaultdict(int)
    broken = 0
    for record in history:
        write = record["writes"][0]
        broken += write["before"] != versions[write["key"]]
        versions[write["key"]] = write["version"]
    return broken


def run_operators(fleet, edits, seed):
    """Let all operators edit while faults come and go.

    :returns: list of :class:`Edit` and the :class:`FaultTask`
    """
    budget = Budget(edits)
    faults = FaultTask(fleet=fleet, seed=seed)
    operators = [
        Operator(fleet=fleet, number=number, seed=seed, take=budget.take)
        for number in range(OPERATORS)
    ]
    with concurrent.futures.ThreadPoolExecutor(OPERATORS + 1) as executor:
        switching = executor.submit(faults.run)
        try:
            tasks = [executor.submit(operator.run) for operator in operators]
            made = [edit for task in tasks for edit in task.result()]
        finally:
            faults.stop()
        switching.result()
    return made, faults


def measure_editors(*, entries, edits, seed):
    """Make edits by racing operators and compare the history with their answers.

    :param entries: number of entries
    :param edits: number of edits over all operators
    :returns: JSON object and the bounds
    """
    watch = RevisionWatch()
    with Fleet(entries=entries) as fleet:
        before = len(fleet.history())
        started = time.monotonic()
        made, faults = run_operators(fleet, edits, seed)
        seconds = time.monotonic() - started
        history = fleet.history()[before:]
        ended = time.monotonic()
        known = watch.wait_for(fleet.entries, before + len(history))
        counters = fleet.counters()
        _, falls = logged_reversals(fleet.entries)
    statuses = collections.Counter(edit.outcome.status for edit in made)
    differences = compare_history(made, history)
    result = {
        "entries": entries,
        "seed": seed,
        "edits": len(made),
        "seconds": round(seconds, 1),
        "answers": {str(status): count for status, count in sorted(statuses.items())},
        "history": len(history),
        "resent": sum(edit.outcome.attempts > 1 for edit in made),
        "outages": faults.outages,
        "responses_to_lose": faults.responses_to_lose,
        "store": counters,
    }
    refused = len(made) - statuses[CONFLICT_STATUS] - len(history)
    bounds = [Bound(name=n, value=v, limit=0) for n, v in differences.items()]
    bounds += [
        Bound(name="edits not made", value=edits - len(made), limit=0),
        Bound(name="neither accepted nor conflict", value=abs(refused), limit=0),
        Bound(name="reversals in logs", value=falls, limit=0),
        Bound(
            name="last edit at all entries, ms",
            value=(known - ended) * 1e3,
            limit=SPREAD_LIMIT_MS,
        ),
    ]
    return result, bounds
