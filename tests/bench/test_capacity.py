"""Tests of the capacity slopes and their command."""

import unittest

import orjson
from click.testing import CliRunner

from monsoonline.bench.capacity import DESIGN_SIZES, Measurement, fit, measurements
from monsoonline.bench.capacity_measurements import memory_of
from monsoonline.commands import main


class TestFit(unittest.TestCase):
    """A wrong line would be extrapolated by a factor of a hundred."""

    def test_line_through_exact_points_is_found_and_extrapolated(self):
        measurement = Measurement(
            size="services", unit="ms", points=(10, 20, 40), function=None
        )
        slope = fit("x", measurement, [(10, 25.0), (20, 45.0), (40, 85.0)])
        self.assertAlmostEqual(slope.slope, 2.0)
        self.assertAlmostEqual(slope.intercept, 5.0)
        self.assertAlmostEqual(slope.residual, 0.0)
        self.assertAlmostEqual(slope.document()["at_design_size"], 605.0)

    def test_residual_shows_that_points_are_not_on_a_line(self):
        measurement = Measurement(size="routes", unit="ms", points=(), function=None)
        slope = fit("x", measurement, [(0, 0.0), (1, 3.0), (2, 0.0)])
        self.assertAlmostEqual(slope.slope, 0.0)
        self.assertAlmostEqual(slope.residual, 2.0)


class TestMeasurements(unittest.TestCase):
    """Each measurement can be extrapolated, and memory is really counted."""

    def test_each_size_has_a_design_size_and_several_points(self):
        for name in measurements.names:
            measurement = measurements.get(name)
            self.assertIn(measurement.size, DESIGN_SIZES, name)
            self.assertGreaterEqual(len(set(measurement.points)), 3, name)

    def test_memory_that_the_result_holds_is_counted(self):
        used = memory_of(lambda: [bytes(1000) for _ in range(100)])
        self.assertGreater(used, 100_000)
        self.assertLess(used, 120_000)

    def test_bytes_grow_with_what_is_sent(self):
        for name in (
            "change-bytes-by-targets-per-pool",
            "load-item-bytes-by-targets-per-pool",
            "gossip-bytes-by-compact-records",
        ):
            function = measurements.get(name).function
            self.assertGreater(function(8), function(2), name)


class TestCommand(unittest.TestCase):
    """The command prints slopes and refuses unknown measurements."""

    def run_command(self, *arguments):
        return CliRunner().invoke(main, ["bench", "capacity", *arguments])

    def test_json_has_points_slope_and_extrapolation(self):
        result = self.run_command("--json", "--only", "member-table-bytes")
        self.assertEqual(result.exit_code, 0, result.output)
        (slope,) = orjson.loads(result.output)["slopes"]
        self.assertEqual([x for x, _ in slope["points"]], [20, 100, 300, 1000])
        expected = slope["intercept"] + slope["slope"] * DESIGN_SIZES["members"]
        self.assertAlmostEqual(slope["at_design_size"], expected)

    def test_unknown_name_is_refused_with_the_valid_ones(self):
        result = self.run_command("--only", "speed")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("decision-time", result.output)
