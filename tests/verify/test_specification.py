"""Tests of the model checker's use: properties, mutations and trace acceptance."""

import unittest
from typing import NamedTuple

from monsoonline.verify import specifications
from monsoonline.verify.specification import Specification


class Counter(NamedTuple):
    """State of a minimal specification."""

    value: int = 0


def counter_specification():
    """Return a counter that stops at 2 while its guard is in force."""
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
    """Checking, breaking guards and accepting traces."""

    def test_reports_the_shortest_trace_of_a_broken_guard(self):
        """A checker that cannot fail would prove nothing."""
        specification = counter_specification()
        (verdict,) = specification.check()
        self.assertIs(verdict.holds, True)
        broken = specification.find_counterexample("limit")
        self.assertIs(broken.holds, False)
        self.assertEqual([step.label for step in broken.trace][1:], ["increment"] * 3)

    def test_an_unfinished_search_is_not_reported_as_holding(self):
        (verdict,) = counter_specification().check(max_states=2)
        self.assertIsNone(verdict.holds)

    def test_accepts_only_behaviours_of_the_model(self):
        specification = counter_specification()
        self.assertTrue(specification.accepts(["increment", "increment"]))
        self.assertFalse(specification.accepts(["increment"] * 3))


class TestProtocol(unittest.TestCase):
    """The protocol's own specifications."""

    def test_all_properties_hold(self):
        for name in specifications.names:
            for verdict in specifications.get(name).check():
                with self.subTest(specification=name, invariant=verdict.invariant):
                    self.assertIs(verdict.holds, True)

    def test_each_broken_guard_is_noticed(self):
        """A guard whose loss goes unnoticed is not covered by the properties."""
        for name in specifications.names:
            specification = specifications.get(name)
            for guard in specification.guards:
                with self.subTest(specification=name, guard=guard):
                    verdict = specification.find_counterexample(guard)
                    self.assertIs(verdict.holds, False)
                    self.assertGreater(len(verdict.trace), 1)
