"""Tests of the probe budget, counted at a fake upstream."""

import collections
import unittest

import numpy as np

from monsoonline.core.model import ProbeBudget
from monsoonline.core.probing import (
    PROBE_TIMEOUT_MS,
    ProbePlanner,
    probe_interval_ms,
)
from tests.core.decision_fixtures import make_pool

STEP_MS = 100.0


class TestProbeInterval(unittest.TestCase):
    """Minimum interval between two probes."""

    def test_the_lower_of_both_limits_applies(self):
        rate = ProbeBudget(probes_per_second=2.0, slot_share=1.0)
        share = ProbeBudget(probes_per_second=1e6, slot_share=0.002)
        self.assertGreater(probe_interval_ms(rate, slots=3), 500.0)
        self.assertGreater(probe_interval_ms(share, slots=1), 1_000.0)
        none = ProbeBudget(probes_per_second=0.0)
        self.assertEqual(probe_interval_ms(none, slots=3), float("inf"))


class TestProbePlanner(unittest.TestCase):
    """Entries with different views of the members share one budget."""

    def setUp(self):
        self.pool = make_pool(
            targets=5, measuring=ProbeBudget(probes_per_second=2.0, slot_share=1.0)
        )
        self.planners = {}
        self.paused = set()
        self.probes = collections.defaultdict(list)
        self.now = 0.0
        self.history = []

    def start(self, *names):
        for name in names:
            self.planners[name] = ProbePlanner(owner=name, pool=self.pool, now=self.now)

    def run_for(self, duration_ms, view=None):
        """Run all planners; ``view(name)`` returns the members that an entry hears."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += STEP_MS
            for name, planner in self.planners.items():
                if name in self.paused:
                    continue
                heard = view(name) if view else set(self.planners) - self.paused
                planner.observe_members(heard, self.now)
                for upstream in planner.due(self.now):
                    self.probes[upstream.address].append(self.now)
                    planner.note_end(upstream.address, self.now, answered=True)

    def lagging_view(self, name):
        """Return the members as of 0 to 4 s ago; the lag depends on the entry."""
        lag_ms = 1_000.0 * (sum(name.encode()) % 5)
        self.history.append((self.now, frozenset(self.planners)))
        seen = {name}
        for time, members in reversed(self.history):
            if time <= self.now - lag_ms:
                return seen | members
        return seen

    def assert_within_budget(self):
        for times in self.probes.values():
            times = np.array(times)
            ends = np.searchsorted(times, times + 1_000.0, side="left")
            self.assertLessEqual(int(np.max(ends - np.arange(len(times)))), 2)

    def test_each_upstream_is_probed_at_its_rate(self):
        self.start("a", "b", "c")
        self.run_for(30_000.0)
        self.assertEqual(len(self.probes), 5)
        for times in self.probes.values():
            self.assertGreater(len(times), 30)
        self.assert_within_budget()

    def test_budget_holds_while_entries_join_leave_and_restart(self):
        """Guards against two owners when entries see a change at different times."""
        self.start("a", "b", "c")
        self.run_for(18_000.0, view=self.lagging_view)
        for round_number in range(4):
            self.start(f"new-{round_number}")
            self.run_for(16_000.0, view=self.lagging_view)
            self.planners.pop(sorted(self.planners)[0])
            self.start("c")
            self.run_for(16_000.0, view=self.lagging_view)
        self.assertGreater(sum(map(len, self.probes.values())), 100)
        self.assert_within_budget()

    def test_only_one_side_of_a_partition_probes(self):
        self.start("a", "b", "c", "d", "e")
        self.run_for(15_000.0)
        sides = ({"a", "b"}, {"c", "d", "e"})
        split_at = self.now
        self.run_for(
            40_000.0, view=lambda name: sides[0] if name in sides[0] else sides[1]
        )
        self.assert_within_budget()
        self.assertTrue(any(t[-1] > split_at + 30_000.0 for t in self.probes.values()))

    def test_an_entry_that_lost_all_contact_stops(self):
        self.start("a", "b", "c")
        self.run_for(15_000.0)
        self.probes.clear()
        self.run_for(20_000.0, view=lambda name: {name})
        self.assertEqual(sum(map(len, self.probes.values())), 0)

    def test_paused_entry_does_not_probe_when_it_resumes(self):
        """Guards against probing upstreams that got another owner during the pause."""
        self.start("a", "b", "c")
        self.run_for(15_000.0)
        owner = next(n for n, p in self.planners.items() if p.owned)
        self.paused.add(owner)
        self.run_for(20_000.0)
        self.paused.clear()
        planner = self.planners[owner]
        self.assertEqual(planner.due(self.now + STEP_MS), ())
        self.run_for(15_000.0)
        self.assert_within_budget()

    def test_late_probe_does_not_share_a_window_with_two_others(self):
        """Guards against three probes in one second at a slow upstream."""
        for late_ms, answered in ((0.0, True), (200.0, True), (900.0, False)):
            with self.subTest(late_ms=late_ms):
                arrivals = self.arrivals_of_late_probe(late_ms, answered=answered)
                self.assertGreater(arrivals[2] - arrivals[0], 1_000.0)

    def arrivals_of_late_probe(self, late_ms, *, answered):
        """Return when the upstream processes three probes, the first one late."""
        self.start("a", "b")
        self.run_for(STEP_MS)
        planner = max(self.planners.values(), key=lambda each: len(each.owned))
        address = min(planner.owned)
        arrivals, now, end_at = [], self.now, None
        while len(arrivals) < 3:
            now += 10.0
            planner.observe_members({"a", "b"}, now)
            if end_at is not None and now >= end_at:
                planner.note_end(address, now, answered=answered or len(arrivals) > 1)
                end_at = None
            if address in [upstream.address for upstream in planner.due(now)]:
                late = late_ms if not arrivals else 0.0
                arrivals.append(now + late)
                end_at = now + min(late, PROBE_TIMEOUT_MS)
        return sorted(arrivals)
