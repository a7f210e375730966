"""Tests of the balancing policies."""

import unittest

import numpy as np

from monsoonline.core.balancing import policies
from monsoonline.core.load_view import LoadView
from monsoonline.types import LoadReport
from tests.core.decision_fixtures import make_pool, result_of


class TestPolicies(unittest.TestCase):
    """Properties that each policy has."""

    def view(self, **changes):
        return LoadView(pool=make_pool(**changes), generator=np.random.default_rng(1))

    def policy(self, name):
        return policies.get(name)(generator=np.random.default_rng(2))

    def test_full_and_excluded_upstreams_are_never_chosen(self):
        for name in policies.names:
            with self.subTest(policy=name):
                view = self.view(targets=3)
                policy = self.policy(name)
                view.states[0].in_flight = 2
                excluded = {view.states[1].address}
                for _ in range(20):
                    chosen = policy.choose(view, 0.0, excluded)
                    self.assertIs(chosen, view.states[2])
                view.states[2].in_flight = 2
                self.assertIsNone(policy.choose(view, 0.0, excluded))

    def test_empty_pool_gives_none(self):
        for name in policies.names:
            view = self.view(targets=1)
            view.set_leaving(view.states[0].address, leaving=True)
            self.assertIsNone(self.policy(name).choose(view, 0.0, frozenset()))

    def test_adaptive_avoids_an_upstream_that_reports_a_queue(self):
        view = self.view(targets=2)
        busy, idle = view.states
        view.report(busy, LoadReport(in_flight=2, slots=2, queued=4), 0.0)
        view.report(idle, LoadReport(in_flight=0, slots=2), 0.0)
        policy = self.policy("adaptive")
        chosen = {policy.choose(view, 1.0, frozenset()).address for _ in range(50)}
        self.assertEqual(chosen, {idle.address})

    def test_overdue_attempt_makes_its_upstream_unattractive(self):
        """A server that became slow shows it by its answers only much later."""
        view = self.view(targets=2)
        slow, other = view.states
        late = 20.0 * view.mean_latency_ms
        view.start(slow, 0.0)
        view.start(other, late)

        def ratio():
            return view.expected_ms(slow, late) / view.expected_ms(other, late)

        self.assertEqual(ratio(), 1.0)
        view.saturated = True
        self.assertGreater(ratio(), 5.0)
        answer = result_of(latency_ms=view.mean_latency_ms)
        view.finish(slow, answer, late, started=0.0)
        self.assertLess(ratio(), 1.0)

    def test_adaptive_looks_at_a_bounded_number_of_upstreams(self):
        """A scan of the whole pool would make the cost grow with its size."""
        looked = []

        class CountingView(LoadView):
            def expected_ms(self, state, now):
                looked.append(state)
                return super().expected_ms(state, now)

        pool = make_pool(targets=250)
        view = CountingView(pool=pool, generator=np.random.default_rng(1))
        self.policy("adaptive").choose(view, 0.0, frozenset())
        self.assertLessEqual(len(looked), 12)

    def test_unknown_policy_is_named_with_the_valid_ones(self):
        with self.assertRaisesRegex(ValueError, "adaptive.*round_robin"):
            policies.get("fastest")
