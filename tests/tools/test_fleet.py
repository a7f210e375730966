"""Tests of shortened fleet experiments, and that their checks can fail."""

import types
import unittest

from tools.fleet.load import count_failure_codes, is_successful
from tools.fleet.propagation import measure_propagation
from tools.fleet.replacement import measure_replacement, store_bounds
from tools.fleet.revisions import RevisionWatch, logged_reversals

from monsoonline.bench.demonstration import Call
from monsoonline.caller import CallResult, CallStatus

ENTRIES = 4
# Without callers, nothing depends on how soon other entries learn of a stop.
IDLE_PROPAGATION_MS = 200.0
PROPAGATION_MS = 600.0


def failed(bounds):
    """Return the name and value of each bound that does not hold."""
    return {bound.name: bound.value for bound in bounds if not bound.holds}


class TestRevisions(unittest.TestCase):
    """Decreases of a revision are detected in logs and in polls."""

    def test_logged_decrease_within_one_process_is_counted(self):
        def process(*revisions):
            lines = [{"message": "tables in effect", "revision": r} for r in revisions]
            return types.SimpleNamespace(log_lines=[*lines, {"message": "joined"}])

        # A new process may start from a lower revision, so only decreases within
        # one process count.
        entry = types.SimpleNamespace(processes=[process(3, 5, 4, 6), process(2, 7)])
        self.assertEqual(logged_reversals([entry]), (6, 1))

    def test_polled_decrease_is_counted_per_incarnation(self):
        watch = RevisionWatch()
        for incarnation, revision in (("a", 4), ("b", 2), ("a", 3), ("b", 2)):
            status = {"incarnation": incarnation, "revision": revision}
            watch.poll(types.SimpleNamespace(status=lambda status=status: status))
        self.assertEqual((watch.polls, watch.reversals), (4, 1))


class TestChecks(unittest.TestCase):
    """Guards against counting failed calls or excess store traffic as success."""

    def test_refused_and_unknown_calls_are_interrupted(self):
        def call(status, code="", http_status=200):
            result = CallResult(call_status=status, code=code, status=http_status)
            return Call(
                identity="1", booking=False, target="/", result=result, latency_ms=1.0
            )

        calls = [
            call(CallStatus.OK),
            call(CallStatus.OK, http_status=502),
            call(CallStatus.UNKNOWN, "no-answer", 0),
        ]
        self.assertEqual([is_successful(c) for c in calls], [True, False, False])
        self.assertEqual(count_failure_codes(calls), {"502": 1, "no-answer": 1})

    def test_store_traffic_above_its_limits_fails(self):
        counters = {"reads": {"max_per_second": 1001}, "writes": {"max_per_second": 99}}
        self.assertEqual(
            failed(store_bounds(counters)), {"reads in the worst 1 s": 1001}
        )


class TestFleet(unittest.TestCase):
    """Real entry processes on loopback; the full experiments use 20 entries."""

    def test_changes_take_effect_in_time_and_never_revert(self):
        """Guards against changes lost or late due to outages or replaced entries."""
        result, bounds = measure_propagation(
            entries=ENTRIES,
            changes=1,
            seed=1,
            cases=("store-lost-after-commit", "entries-replaced"),
            propagation_ms=IDLE_PROPAGATION_MS,
        )
        self.assertEqual(failed(bounds), {})
        self.assertGreaterEqual(result["logged_revisions"], 3 * ENTRIES)

    def test_replacement_under_load_interrupts_and_duplicates_nothing(self):
        """Guards against stops that interrupt requests and resends that run twice."""
        result, bounds = measure_replacement(
            entries=ENTRIES,
            callers=4,
            seed=1,
            propagation_ms=PROPAGATION_MS,
            replaced_entries=2,
        )
        self.assertEqual(failed(bounds), {})
        self.assertGreater(result["calls"]["requests"], 100)
