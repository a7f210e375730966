"""Tests of the control benchmark and its command."""

import unittest
from unittest import mock

import orjson
from click.testing import CliRunner

from monsoonline.bench.control import Target, measure_loopback, measure_virtual
from monsoonline.commands import main


class TestControl(unittest.TestCase):
    """The measurements run, and a missed bound is reported."""

    def test_few_members_in_virtual_time_are_within_the_budget(self):
        result = measure_virtual(members=5, seed=2)
        self.assertGreater(result["mean_bytes_per_second"], 500)
        self.assertLess(result["max_bytes_per_second"], 4000)
        self.assertLess(result["revision_at_all_ms"], 5000)

    def test_event_that_did_not_happen_does_not_hold(self):
        self.assertFalse(Target(name="x", bound=1.0, value=None).holds)
        self.assertFalse(Target(name="x", bound=1.0, value=1.1).holds)

    def test_command_exits_with_1_when_a_bound_does_not_hold(self):
        loopback = measure_loopback(members=2, duration_ms=200)
        self.assertTrue(loopback["all_known_by_all"])
        module = "monsoonline.commands.bench_control"
        for cpu_share, code in ((0.0, 0), (1.0, 1)):
            measured = {**loopback, "cpu_share": cpu_share, "max_bytes_per_second": 0.0}
            measured.update(sent_bytes_per_second=0.0, received_bytes_per_second=0.0)
            with (
                mock.patch(f"{module}.measure_loopback", return_value=measured),
                mock.patch(f"{module}.VIRTUAL_MEMBERS", ()),
            ):
                result = CliRunner().invoke(main, ["bench", "control", "--json"])
            self.assertEqual(result.exit_code, code, result.output)
            targets = orjson.loads(result.output)["targets"]
            self.assertEqual(all(t["holds"] for t in targets), code == 0)
