"""Tests of specifications: invariants, mutations and acceptance of traces."""

import unittest
from typing import NamedTuple

from monsoonline.verify import specifications
from monsoonline.verify.specification import Specification


class Counter(NamedTuple):
    """State of a minimal specification."""

    value: int = 0


def counter_specification():
    """Return a specification of a counter that its guard stops at 2."""
    specification = Specification(name="counter", initial=Counter(), bounds="none")
    specification.guard("limit", "the counter stops at 2")

    @specification.invariant("at-most-two")
    def at_most_two(state):
        return state.value <= 2

    @specification.step("increment")
    def increment(state, guards):
        if state.value < 2 or (not guards("limit") and state.value < 5):
            yield Counter(state.value + 1)

    return specification


class TestSpecification(unittest.TestCase):
    """Checks, mutations and trace acceptance of a minimal specification."""

    def test_reports_the_shortest_trace_of_a_broken_guard(self):
        """Guards against a checker that reports every invariant as holding."""
        specification = counter_specification()
        (verdict,) = specification.check()
        self.assertIs(verdict.holds, True)
        mutated = specification.find_counterexample("limit")
        self.assertIs(mutated.holds, False)
        self.assertEqual([step.label for step in mutated.trace][1:], ["increment"] * 3)

    def test_an_unfinished_search_is_not_reported_as_holding(self):
        (verdict,) = counter_specification().check(max_states=2)
        self.assertIsNone(verdict.holds)

    def test_accepts_only_behaviours_of_the_model(self):
        specification = counter_specification()
        self.assertTrue(specification.accepts(["increment", "increment"]))
        self.assertFalse(specification.accepts(["increment"] * 3))


class TestProtocol(unittest.TestCase):
    """The specifications of the protocol."""

    def test_all_properties_hold(self):
        for name in specifications.names:
            for verdict in specifications.get(name).check():
                with self.subTest(specification=name, invariant=verdict.invariant):
                    self.assertIs(verdict.holds, True)

    def test_each_broken_guard_is_noticed(self):
        """Guards against a protocol rule that no invariant depends on."""
        for name in specifications.names:
            specification = specifications.get(name)
            for guard in specification.guards:
                with self.subTest(specification=name, guard=guard):
                    verdict = specification.find_counterexample(guard)
                    self.assertIs(verdict.holds, False)
                    self.assertGreater(len(verdict.trace), 1)
