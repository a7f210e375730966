"""Real entries after the store has come back from an older copy of itself."""

import concurrent.futures
import tempfile
import unittest

from tools.fleet.processes import find_free_ports

from tests.platform.drill_fixture import (
    LEAVING,
    NEW,
    PORTS,
    RETURNING,
    DrilledFleet,
    DrillPlan,
)

PLANS = {
    "plain": DrillPlan(seed=1),
    "killed": DrillPlan(seed=2, kills_entry=True),
    "twice": DrillPlan(seed=3, drills=2),
}
MIN_VERSIONS_LOST = 50


def run_plan(plan, ports):
    """Run one plan and return its record."""
    with tempfile.TemporaryDirectory() as folder:
        return DrilledFleet(plan=plan, ports=ports, folder=folder).run()


class TestStoreDrill(unittest.TestCase):
    """Guards against rows of a new era that count as older than those held."""

    @classmethod
    def setUpClass(cls):
        ports = find_free_ports(len(PLANS) * PORTS)
        # They mostly wait, so they run at the same time.
        with concurrent.futures.ThreadPoolExecutor(len(PLANS)) as executor:
            futures = {
                name: executor.submit(run_plan, plan, ports[number :: len(PLANS)])
                for number, (name, plan) in enumerate(PLANS.items())
            }
        cls.records = {name: future.result() for name, future in futures.items()}

    def check(self, record):
        # Otherwise the counter catches up before the bounds have passed.
        self.assertGreater(min(record.versions_lost), MIN_VERSIONS_LOST)
        for entry, statuses in record.late_statuses_of_added_route().items():
            with self.subTest("route added after the drill", entry=entry):
                self.assertIn(200, statuses)
                self.assertNotIn(404, statuses)
        with self.subTest("404 for the newest route before the drill"):
            self.assertEqual(record.refusals_of_newest_route(), {})
        with self.subTest("requests at an upstream registered after the drill"):
            self.assertGreater(record.runs_at(NEW), 0)
        with self.subTest("requests at an upstream removed after the drill"):
            self.assertEqual(record.late_runs_at_removed(LEAVING), {})

    def test_drill(self):
        self.check(self.records["plain"])

    def test_entry_killed_while_the_store_is_away(self):
        self.check(self.records["killed"])

    def test_two_drills_in_a_row(self):
        self.check(self.records["twice"])

    def test_upstream_that_comes_back_with_the_copy_gets_no_requests(self):
        """Guards against a row that counts as new because its era is.

        It has the start and a sequence of the upstream that was removed before."""
        for name, record in self.records.items():
            with self.subTest(plan=name):
                self.assertEqual(record.late_runs_at_removed(RETURNING), {})
