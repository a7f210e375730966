"""Tests of the specifications of the store's eras."""

import unittest

from monsoonline.verify.era_removals import LISTED, Listing
from monsoonline.verify.era_removals import specification as removals
from monsoonline.verify.eras import Tables
from monsoonline.verify.eras import specification as eras
from monsoonline.verify.specification import ObservedStep

ERA_FAULTS = {
    "era-first": "released",
    "edition-order": "never-lower",
    "hold-ends": "released",
    "earlier-era": "no-lasting-difference",
    "era-rises": "no-lasting-difference",
    "release-by-read": "never-lower",
}
REMOVAL_FAULTS = {
    "removals-kept": "removed-unused",
    "removals-handed-over": "removed-unused",
    "era-rises": "removed-unused",
    "release-by-read": "removed-unused",
    "keep-missing": "lost-kept",
    "lost-not-removed": "registered-used",
}


def observed(label, **fields):
    return ObservedStep(label=label, fields=fields)


def final_entries(verdict):
    """Return the entries in the last state of a counterexample."""
    return verdict.trace[-1].state["entries"]


class TestTables(unittest.TestCase):
    """The order of tables over the eras."""

    def test_each_broken_guard_violates_the_invariant_that_relies_on_it(self):
        self.assertEqual(set(ERA_FAULTS), set(eras.guards))
        for guard, invariant in ERA_FAULTS.items():
            with self.subTest(guard=guard):
                verdict = eras.find_counterexample(guard)
                self.assertIs(verdict.holds, False)
                self.assertEqual(verdict.invariant, invariant)

    def test_without_the_final_read_the_end_of_a_hold_brings_the_older_copy(self):
        """Guards against a model whose entries can't be cut off during the hold."""
        verdict = eras.find_counterexample("release-by-read")
        self.assertEqual(
            [step.label for step in verdict.trace][1:],
            ["write", "read", "drill", "read", "write", "end-hold"],
        )
        older = Tables(era=1, version=1, edition=1)
        self.assertIn(older, [entry.tables for entry in final_entries(verdict)])

    def test_lost_editions_are_written_again_after_each_of_two_drills(self):
        """Guards against bounds within which no edition is lost twice."""
        rewritten = ["write", "write", "drill", "write", "write"]
        last = observed("write", store=Tables(era=2, version=3, edition=3))
        steps = [*rewritten, "drill", "write", last]
        self.assertTrue(eras.accepts(steps, observable=eras.labels))

    def test_the_newest_lost_edition_may_be_written_at_another_version(self):
        """Guards against a model in which versions and editions are the same."""
        again = observed("write", store=Tables(era=1, version=2, edition=3))
        steps = ["write", "write", "drill", again]
        self.assertTrue(eras.accepts(steps, observable=eras.labels))

    def test_a_hold_does_not_end_before_the_operator_has_written_again(self):
        """The assumption of the model."""
        steps = ["write", "drill", "read", "end-hold"]
        self.assertFalse(eras.accepts(steps, observable=eras.labels))
        steps.insert(3, "write")
        self.assertTrue(eras.accepts(steps, observable=eras.labels))


class TestRemovals(unittest.TestCase):
    """The removal of a registration over the eras."""

    def test_each_broken_guard_violates_the_invariant_that_relies_on_it(self):
        self.assertEqual(set(REMOVAL_FAULTS), set(removals.guards))
        for guard, invariant in REMOVAL_FAULTS.items():
            with self.subTest(guard=guard):
                verdict = removals.find_counterexample(guard)
                self.assertIs(verdict.holds, False)
                self.assertEqual(verdict.invariant, invariant)

    def test_without_the_final_read_the_end_of_a_hold_shows_the_start_again(self):
        """Guards against a model whose entries can't be cut off during the hold."""
        verdict = removals.find_counterexample("release-by-read")
        self.assertEqual(verdict.trace[-1].label, "end-hold")
        self.assertTrue(any(e.informed and e.used for e in final_entries(verdict)))

    def test_the_older_copy_shows_a_removed_start_after_each_of_two_drills(self):
        """Guards against bounds within which a removal is lost only once."""
        steps = ["copy", "remove", "read", "drill", "read", "remove"]
        last = observed("drill", store=Listing(era=2, version=1, says=LISTED))
        steps = [*steps, last, "read", "remove"]
        self.assertTrue(removals.accepts(steps, observable=removals.labels))

    def test_a_hold_does_not_end_before_the_store_has_removed_the_start_again(self):
        """The assumption of the model."""
        steps = ["copy", "remove", "read", "drill", "read", "end-grace", "end-hold"]
        self.assertFalse(removals.accepts(steps, observable=removals.labels))
        steps.insert(5, "remove")
        self.assertTrue(removals.accepts(steps, observable=removals.labels))
