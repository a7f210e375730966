"""Tests of ``monsoonline bench load``."""

import json
import pathlib
import tempfile
import unittest

import orjson
from click.testing import CliRunner

from monsoonline.commands.bench_load import command
from tests.bench.load_fixture import FIELDS


class TestBenchLoad(unittest.TestCase):
    """Output and error messages of the command."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.file = self.directory / "tiny.json"
        self.file.write_text(json.dumps(FIELDS | {"duration_ms": 300.0}))

    def run_command(self, *arguments):
        return CliRunner().invoke(command, [str(a) for a in arguments])

    def test_list_names_experiments_and_policies(self):
        result = self.run_command("--list")
        self.assertIn("silent-upstreams", result.output)
        self.assertIn("send-all", result.output)

    def test_json_and_picture_of_a_file(self):
        result = self.run_command(
            self.file,
            *("--policy", "present", "--seeds", 1, "--jobs", 1),
            *("--json", "--plots", self.directory / "plots"),
        )
        self.assertEqual(result.exit_code, 0, result.output)
        summaries = orjson.loads(result.output)["policies"]["present"]
        self.assertEqual(len(summaries), 1)
        picture = (self.directory / "plots" / "tiny-worth.svg").read_text()
        self.assertIn("<svg", picture)

    def test_table_names_the_experiment(self):
        result = self.run_command(self.file, "--policy", "present", "--seeds", 1)
        self.assertTrue(result.output.startswith("tiny, seeds [1]\n"), result.output)

    def test_unknown_names_are_quoted_with_the_valid_ones(self):
        unknown_policy = self.run_command(self.file, "--policy", "best")
        self.assertEqual(unknown_policy.exit_code, 2)
        self.assertIn(
            "'best' is not one of eager-second-attempts", unknown_policy.output
        )
        missing_experiment = self.run_command("hurricane")
        self.assertEqual(missing_experiment.exit_code, 2)
        self.assertIn("shipped: burst", missing_experiment.output)

    def test_findings_of_a_file_exit_with_2(self):
        self.file.write_text(json.dumps(FIELDS | {"entries": 0}))
        result = self.run_command(self.file)
        self.assertEqual(result.exit_code, 2)
        self.assertIn("entries", result.output)
