"""Smoke tests of the experiment tool with tiny runs."""

import pathlib
import tempfile
import unittest
from unittest import mock

import orjson
from click.testing import CliRunner

from monsoonline.bench.document import (
    DEPLOYMENTS,
    CrashDocument,
    FaultDocument,
    load_deployment,
    load_run,
)
from monsoonline.bench.experiment import Experiment
from monsoonline.bench.report import summarise_run
from monsoonline.bench.targets import Target, TargetRuns
from monsoonline.commands.bench import command
from monsoonline.errors import FindingsError

TINY = {"duration_ms": 400.0, "warm_up_ms": 0.0, "entries": 4, "load": 0.5}


def tiny_run(seed=1, name="traufbrett", **changes):
    document = load_deployment(name).model_copy(update={**TINY, **changes})
    return document, Experiment(document=document, seed=seed).run()


class TestExperiment(unittest.TestCase):
    """Runs in virtual time."""

    def test_the_same_seed_gives_the_same_run(self):
        documents = [summarise_run(*tiny_run(seed), seed=seed) for seed in (1, 1, 2)]
        self.assertEqual(documents[0], documents[1])
        self.assertNotEqual(documents[0], documents[2])

    def test_each_request_has_one_outcome(self):
        """A call that is lost or counted twice would distort each figure."""
        for policy in ("adaptive", "oracle", "round_robin"):
            document, results = tiny_run(policy=policy)
            for route in document.routes:
                counts = results.routes[route.name]
                known = sum(
                    counts.count(o) for o in ("ok", "failed", "refused", "late")
                )
                self.assertEqual(known, counts.total())
                self.assertGreater(counts.count("ok"), 0)

    def test_stopped_target_runs_no_booking_twice(self):
        fault = FaultDocument(kind="stop", at_ms=100.0, pool="quotes", target=0)
        _, results = tiny_run(faults=(fault,))
        self.assertEqual(results.doubled, 0)
        kinds = {kind.value for _, _, kind in results.attempts}
        self.assertIn("connection-lost", kinds)

    def test_drained_target_gets_no_new_request(self):
        fault = FaultDocument(kind="drain", at_ms=50.0, pool="quotes", target=0)
        _, results = tiny_run(faults=(fault,), duration_ms=1_000.0)
        arrivals = results.upstreams["quotes"][0].arrivals
        self.assertEqual([t for t in arrivals if t > 800.0], [])

    def test_slow_target_gets_less_until_its_fault_ends(self):
        """A fault that does not slow its target would make each policy look good."""
        fault = FaultDocument(kind="slow", at_ms=50.0, pool="quotes", target=0)
        _, results = tiny_run(faults=(fault,), duration_ms=1_000.0, slow_spells=None)
        slow, *others = results.upstreams["quotes"]
        self.assertEqual(slow.factor, 5.0)
        counts = sorted(len(upstream.arrivals) for upstream in others)
        self.assertLess(len(slow.arrivals), counts[0])
        ended = fault.model_copy(update={"duration_ms": 100.0})
        _, results = tiny_run(faults=(ended,), slow_spells=None)
        self.assertEqual(results.upstreams["quotes"][0].factor, 1.0)

    def test_cold_start_loses_work_and_then_serves_again(self):
        """A target that stays ejected would hide the return from a cold start."""
        fault = FaultDocument(
            kind="cold-start", at_ms=200.0, duration_ms=400.0, pool="quotes", target=0
        )
        _, results = tiny_run(
            faults=(fault,), duration_ms=5_000.0, load=0.3, slow_spells=None
        )
        upstream = results.upstreams["quotes"][0]
        ends = [
            (time, kind.value)
            for time, address, kind in results.attempts
            if address == upstream.address
        ]
        stopped = {kind for time, kind in ends if 203.0 < time < 400.0}
        self.assertNotIn("succeeded", stopped)
        self.assertIn("connect-failed", stopped)
        self.assertIn("connection-lost", {kind for _, kind in ends})
        self.assertGreater(sum(t > 2_000.0 and k == "succeeded" for t, k in ends), 10)
        self.assertEqual(upstream.factor, 1.0)
        self.assertEqual(results.doubled, 0)

    def test_crashing_request_takes_at_most_three_upstreams(self):
        crash = CrashDocument(at_ms=50.0, pool="quotes", route="survey-booking")
        _, results = tiny_run(crash=crash, duration_ms=3_000.0, load=0.1)
        crashes = sum(u.crashes for u in results.upstreams["quotes"])
        self.assertGreaterEqual(crashes, 2)
        self.assertLessEqual(crashes, 3)


class TestRunDocument(unittest.TestCase):
    """Descriptions of experiments."""

    def test_both_deployments_have_the_sizes_of_the_design(self):
        sizes = {
            name: [(p.targets, p.slots) for p in load_deployment(name).pools]
            for name in DEPLOYMENTS
        }
        self.assertEqual(sizes["traufbrett"], [(24, 3), (6, 3)])
        self.assertEqual(sizes["cooperative"], [(28, 4), (8, 4)])

    def test_unknown_keys_are_findings(self):
        content = load_deployment("traufbrett").model_dump()
        content["lod"] = 0.7
        content["pools"][0]["slotz"] = 3
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "run.json"
            path.write_bytes(orjson.dumps(content))
            with self.assertRaises(FindingsError) as caught:
                load_run(path)
        paths = {finding.path for finding in caught.exception.findings}
        self.assertEqual(paths, {"lod", "pools[0].slotz"})

    def test_run_command_prints_one_json_line(self):
        content = load_deployment("cooperative").model_copy(update=TINY).model_dump()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "run.json"
            path.write_bytes(orjson.dumps(content))
            outcome = CliRunner().invoke(command, ["run", str(path), "--json"])
        self.assertEqual(outcome.exit_code, 0, outcome.output)
        self.assertEqual(orjson.loads(outcome.output)["name"], "cooperative")


class TestTargetRuns(unittest.TestCase):
    """The cases that the targets measure."""

    def test_failure_domain_is_lost_at_the_load_of_the_requirement(self):
        """At a lower load the remaining slots hide what the loss costs."""
        runs = TargetRuns(document=load_deployment("traufbrett"), seeds=(1,))
        _, results = tiny_run()
        loads = []

        def run(seed, *, faults, load, **_):
            if faults[0].failure_domain is not None:
                loads.append((faults[0].kind, load))
            return results

        with mock.patch.object(runs, "_run", run):
            names = [target.name for target in runs.lost_targets()]
        self.assertEqual(loads, [("silence", 0.7), ("silence", 0.5)])
        self.assertIn("lookups p99 after 2 s, failure domain lost", names)


class TestTarget(unittest.TestCase):
    """A bound must hold for each seed."""

    def test_one_bad_seed_misses_the_bound(self):
        self.assertFalse(Target(name="t", bound=1.0, values=(0.5, 0.5, 1.1)).holds)
        self.assertTrue(Target(name="t", bound=1.0, values=(0.5, 1.0)).holds)
        low = Target(name="t", bound=0.95, at_most=False, values=(0.99, 0.9))
        self.assertFalse(low.holds)
