"""Tests of the balancing policies."""

import unittest

import numpy as np

from monsoonline.core.balancing import policies
from monsoonline.core.load_view import LoadView
from monsoonline.types import LoadReport
from tests.core.decision_fixtures import make_pool, result_of


class TestPolicies(unittest.TestCase):
    """Selection of upstreams by the policies."""

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

    def test_pool_without_available_upstreams_returns_none(self):
        for name in policies.names:
            view = self.view(targets=1)
            view.set_leaving(view.states[0].address, leaving=True)
            self.assertIsNone(self.policy(name).choose(view, 0.0, frozenset()))

    def test_adaptive_avoids_an_upstream_that_reports_a_queue(self):
        view = self.view(targets=2)
        busy, idle = view.states
        view.observe_report(busy, LoadReport(in_flight=2, slots=2, queued=4), 0.0)
        view.observe_report(idle, LoadReport(in_flight=0, slots=2), 0.0)
        policy = self.policy("adaptive")
        chosen = {policy.choose(view, 1.0, frozenset()).address for _ in range(50)}
        self.assertEqual(chosen, {idle.address})

    def test_overdue_attempt_makes_its_upstream_unattractive(self):
        """Guards against using a slow server until its late responses arrive."""
        view = self.view(targets=2)
        slow, other = view.states
        late = 20.0 * view.mean_latency_ms
        view.start(slow, 0.0)
        view.start(other, late)

        def ratio():
            return view.relative_latency(slow, late) / view.relative_latency(
                other, late
            )

        self.assertEqual(ratio(), 1.0)
        view.saturated = True
        self.assertGreater(ratio(), 5.0)
        result = result_of(latency_ms=view.mean_latency_ms)
        view.finish(slow, result, late, started=0.0)
        self.assertLess(ratio(), 1.0)

    def test_adaptive_compares_a_bounded_number_of_upstreams(self):
        """Guards against a cost per selection that grows with the pool."""
        estimated = []

        class CountingView(LoadView):
            def relative_latency(self, state, now):
                estimated.append(state)
                return super().relative_latency(state, now)

        pool = make_pool(targets=250)
        view = CountingView(pool=pool, generator=np.random.default_rng(1))
        self.policy("adaptive").choose(view, 0.0, frozenset())
        self.assertLessEqual(len(estimated), 12)

    def test_error_for_unknown_policy_lists_the_valid_names(self):
        with self.assertRaisesRegex(ValueError, "adaptive.*round_robin"):
            policies.get("fastest")
