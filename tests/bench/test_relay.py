"""Tests of the benchmark of the request path."""

import unittest

from click.testing import CliRunner

from monsoonline.bench.relay import Comparison, RelayLoad, local_system
from monsoonline.commands import main


class TestComparison(unittest.TestCase):
    """Percentiles, differences and ratios."""

    def test_added_latency(self):
        comparison = Comparison()
        for latency_ms in range(1, 101):
            comparison.record("direct", float(latency_ms))
            comparison.record("relayed", 2.0 * latency_ms)
        document = comparison.document()
        self.assertAlmostEqual(document["direct_p50_ms"], 50.0, delta=0.1)
        self.assertAlmostEqual(document["added_p99_ms"], 99.0, delta=0.3)
        self.assertAlmostEqual(document["ratio_p50"], 2.0, delta=0.01)


class TestRelayLoad(unittest.TestCase):
    """Calls of both kinds reach the upstream."""

    def test_counts_calls_and_failures(self):
        with local_system(service_ms=0.0) as (entry, upstream):
            load = RelayLoad(
                entry=entry.callers_address, upstream=upstream, callers=2, rate=200.0
            )
            self.assertEqual(load.run(0.1), 0)
            self.assertEqual(load.comparison.count("direct"), 20)
            self.assertEqual(load.comparison.count("relayed"), 20)


class TestBenchCommand(unittest.TestCase):
    """Usage of the command."""

    def test_addresses_are_used_together(self):
        """One address alone would compare two different systems."""
        result = CliRunner().invoke(main, ["bench", "relay", "--entry", "127.0.0.1:1"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("--upstream", result.output)
