"""Tests of the soak: its checks against known histories, and one short seeded run."""

import tempfile
import unittest

from tools.soak.history import (
    Bounds,
    Change,
    Drill,
    History,
    IdleUse,
    Response,
    Run,
    find_violations,
)
from tools.soak.world import TROUBLES, Plan, Soak

SOAK_SEED = 7
SOAK_SECONDS = 45.0


def response(request_id="r1", **changes):
    fields = {
        "entry": "e",
        "prefix": "/a/",
        "safe": False,
        "sent_at": 20.0,
        "ended_at": 20.1,
        "status": 200,
    }
    return Response(request_id=request_id, **(fields | changes))


def run(request_id="r1", *, service="desk", instance="i1"):
    return Run(
        request_id=request_id, service=service, instance=instance, started_at=20.0
    )


class TestChecks(unittest.TestCase):
    """Each rule is found broken in a history that breaks it, and in no other."""

    def setUp(self):
        self.history = History(bounds=Bounds())
        for sent_at, routes in (
            (1.0, {"/a/": "desk"}),
            (10.0, {"/a/": "office", "/b/": "desk"}),
        ):
            self.history.changes.append(
                Change(sent_at=sent_at, acknowledged_at=sent_at + 0.1, routes=routes)
            )

    def rules(self, *responses, runs=()):
        self.history.responses[:] = responses
        self.history.runs[:] = runs
        return [finding.rule for finding in find_violations(self.history)]

    def test_old_service_counts_only_after_the_bound(self):
        old = run(service="desk")
        self.assertEqual(self.rules(response(), runs=[old]), ["CONFIG"])
        early = response(sent_at=12.0, ended_at=12.1)
        self.assertEqual(self.rules(early, runs=[old]), [])
        self.assertEqual(self.rules(response(), runs=[run(service="office")]), [])

    def test_missing_and_dropped_routes(self):
        refused = response(prefix="/b/", status=404)
        self.assertEqual(self.rules(refused), ["CONFIG"])
        self.assertEqual(self.rules(response(prefix="/c/", status=404)), [])
        dropped = response(prefix="/c/")
        self.assertEqual(self.rules(dropped, runs=[run()]), ["CONFIG"])

    def test_trouble_shortly_before_excuses_configuration(self):
        self.history.troubles["e"] = [(16.0, 17.5, "kill")]
        out_of_touch = self.rules(response(), runs=[run(service="desk")])
        self.assertEqual(out_of_touch, ["CONFIG (out of touch)"])
        self.history.troubles["e"] = [(10.0, 16.9, "kill")]
        self.assertEqual(self.rules(response(), runs=[run(service="desk")]), ["CONFIG"])

    def test_second_runs_and_runs_of_refused_requests(self):
        office = run(service="office")
        self.assertEqual(self.rules(response(), runs=[office, office]), ["TWICE"])
        self.assertEqual(self.rules(response(safe=True), runs=[office, office]), [])
        self.assertEqual(self.rules(response(status=503), runs=[office]), ["REFUSED"])
        self.assertEqual(self.rules(runs=[run("unknown")]), ["UNASKED"])

    def test_request_cut_off_by_a_stop(self):
        cut = response(status=None, ended_at=24.0)
        office = run(service="office")
        self.assertEqual(self.rules(cut, runs=[office]), [])
        self.history.stops["e"] = [(19.0, 23.9)]
        self.assertEqual(self.rules(cut, runs=[office]), ["LOST"])
        self.history.stops["e"] = [(19.0, 23.0)]
        self.assertEqual(self.rules(cut, runs=[office]), [])
        self.history.stops["e"] = [(19.0, float("inf"))]
        self.assertEqual(self.rules(cut, runs=[office]), ["LOST"])
        self.assertEqual(self.rules(cut), [])

    def test_request_at_an_upstream_that_leaves(self):
        office = run(service="office")
        self.history.leaving["i1"] = 18.5
        self.assertEqual(self.rules(response(), runs=[office]), [])
        self.history.leaving["i1"] = 17.5
        self.assertEqual(self.rules(response(), runs=[office]), ["DRAIN"])

    def test_drill_excuses_older_versions_until_the_second_acknowledgement(self):
        """Guards against a drill that excuses a lost version for good."""
        old = run(service="desk")
        drill = Drill(returned_at=15.0, kept=1, written_again_at=16.5)
        self.history.drills.append(drill)
        for sent_at, expected in ((14.0, ["CONFIG"]), (18.4, []), (18.6, ["CONFIG"])):
            with self.subTest(sent_at=sent_at):
                sent = response(sent_at=sent_at, ended_at=sent_at + 0.1)
                self.assertEqual(self.rules(sent, runs=[old]), expected)
        drill.kept = 2
        sent = response(sent_at=18.4, ended_at=18.5)
        self.assertEqual(self.rules(sent, runs=[old]), ["CONFIG"])

    def test_drill_excuses_no_entry_that_knew_of_a_leaving(self):
        """Guards against a drill that excuses requests at a removed upstream."""
        office = run(service="office")
        self.history.leaving["i1"] = 8.0
        self.history.drills.append(
            Drill(returned_at=16.0, kept=2, left_again={"i1": 18.5})
        )
        self.assertEqual(self.rules(response(), runs=[office]), ["DRAIN"])
        for troubles, expected in (
            ([(9.0, 9.5, "pause")], []),
            ([(12.0, 13.0, "kill")], []),
            ([(12.0, 13.0, "pause")], ["DRAIN"]),
            ([(1.0, 2.0, "kill")], ["DRAIN"]),
        ):
            with self.subTest(troubles=troubles):
                self.history.troubles["e"] = troubles
                self.assertEqual(self.rules(response(), runs=[office]), expected)
                late = response(sent_at=20.6, ended_at=20.7)
                self.assertEqual(self.rules(late, runs=[office]), ["DRAIN"])

    def test_drill_is_a_usual_trouble(self):
        """Guards against seeds that choose other troubles than before."""
        earlier = ["kill", "stop", "pause", "hup", "store", "row", "endless", "leave"]
        self.assertEqual(list(TROUBLES), [*earlier, "drill"])

    def test_entry_that_works_for_callers_that_have_left(self):
        held = {"caller_connections": 0.0, "requests_in_flight": 0.0}
        calm = IdleUse(entry="e", cores=0.005, held=held)
        busy = IdleUse(entry="e", cores=0.87, held=held)
        holding = IdleUse(entry="e", cores=0.005, held=held | {"requests_in_flight": 1})
        for use, expected in ((calm, []), (busy, ["IDLE"]), (holding, ["IDLE"])):
            with self.subTest(use=use):
                self.history.idle_uses = [use]
                self.assertEqual(self.rules(), expected)

    def test_entry_that_runs_out_of_memory(self):
        fields = {"entry": "e", "cores": 0.0, "held": {}}
        for changes, expected in (
            ({"peak_bytes": 100_000_000}, []),
            ({"peak_bytes": 236_000_000}, ["Fault"]),
            ({"own_ends": 1}, ["Fault"]),
        ):
            with self.subTest(changes=changes):
                self.history.idle_uses = [IdleUse(**fields, **changes)]
                self.assertEqual(self.rules(), expected)

    def test_part_of_a_body_is_no_whole_response(self):
        ran = run(service="office")
        self.assertEqual(self.rules(response(whole=False), runs=[ran]), ["MIXED"])

    def test_reset_by_the_caller_is_no_lost_request(self):
        self.history.stops["e"] = [[19.0, 23.0]]
        cut = response(status=None, ended_at=22.0)
        left = response(status=None, ended_at=22.0, reset=True)
        ran = run(service="office")
        self.assertEqual(self.rules(cut, runs=[ran]), ["LOST"])
        self.assertEqual(self.rules(left, runs=[ran]), [])


class TestSoak(unittest.TestCase):
    """Real entries keep the rules under overlapping troubles."""

    def test_seeded_soak(self):
        plan = Plan(seed=SOAK_SEED, seconds=SOAK_SECONDS, entries=4, callers=16)
        with tempfile.TemporaryDirectory() as folder:
            history = Soak(plan=plan, folder=folder).run()
        findings = find_violations(history)
        self.assertGreater(len(history.responses), 100)
        self.assertGreater(len(history.troubles), 0)
        self.assertEqual(len(history.idle_uses), plan.entries)
        self.assertTrue(any(response.reset for response in history.responses))
        self.assertEqual(
            [f for f in findings if "out of touch" not in f.rule], [], findings
        )
