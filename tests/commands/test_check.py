"""Tests of ``monsoonline check``."""

import pathlib
import tempfile
import unittest

import orjson
from click.testing import CliRunner

from monsoonline.commands.check import command
from tests.fixtures import pool_document, route_document
from tests.test_fleet_settings import DOCUMENT

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class TestCheck(unittest.TestCase):
    """Detection of file kinds, and findings within and across files."""

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def write(self, name, document):
        path = pathlib.Path(self.directory.name) / name
        path.write_bytes(orjson.dumps(document))
        return str(path)

    def run_check(self, *paths):
        result = CliRunner().invoke(command, ["--json", *map(str, paths)])
        findings = orjson.loads(result.output)["findings"]
        return result.exit_code, {(f["place"], f["path"]) for f in findings}

    def test_examples_are_valid_together(self):
        self.assertEqual(self.run_check(*EXAMPLES.glob("*.json")), (0, set()))

    def test_settings_of_an_entry_with_a_shared_store(self):
        valid = self.write("valid.json", DOCUMENT)
        broken = self.write("broken.json", DOCUMENT | {"store": "x", "name": 5})
        self.assertEqual(self.run_check(valid), (0, set()))
        self.assertEqual(
            self.run_check(broken), (1, {(broken, "store"), (broken, "name")})
        )

    def test_findings_of_all_files_at_once(self):
        settings = self.write("s.json", {"name": "a", "platform": {"url": "x"}, "z": 1})
        pools = self.write("p.json", {"pools": {"quotes": pool_document(slots=0)}})
        routes = self.write("r.json", {"routes": {"a": route_document(pool="qoutes")}})
        row = self.write("row.json", route_document() | {"idempotent": "perhaps"})
        code, findings = self.run_check(settings, pools, routes, row)
        self.assertEqual(code, 1)
        expected = {
            (settings, "platform.url"),
            (settings, "z"),
            (pools, "pools.quotes.upstreams[0].slots"),
            (routes, "routes.a.pool"),
            (row, "routes.row.idempotent"),
        }
        self.assertEqual(findings, expected)

    def test_repeated_name_and_unknown_table_and_wrong_shapes(self):
        first = self.write("1.json", {"pools": {"quotes": pool_document()}})
        second = self.write("2.json", {"pools": {"quotes": 3}, "users": {}})
        third = self.write("3.json", [])
        code, findings = self.run_check(first, second, third)
        self.assertEqual(code, 1)
        expected = {
            (second, "pools.quotes"),
            (second, "users"),
            (third, "."),
        }
        self.assertEqual(findings, expected)

    def test_secrets_are_not_printed(self):
        document = {"name": "a", "tokens": {"sales": ["hunter2"]}}
        path = self.write("s.json", document)
        output = CliRunner().invoke(command, [path]).output
        self.assertIn("platform", output)
        self.assertNotIn("hunter2", output)
