"""Tests of ``monsoonline routes`` and ``pools`` against a running entry."""

import unittest

import orjson
from click.testing import CliRunner

from monsoonline.commands import main
from monsoonline.entry.service import EntryService
from monsoonline.settings import EntrySettings
from monsoonline.standin.platform import PlatformStandIn
from tests.fixtures import pool_document, route_document


class TestTables(unittest.TestCase):
    """Exit codes and output of the commands that read and edit tables."""

    def setUp(self):
        self.platform = PlatformStandIn()
        self.platform.start()
        settings = EntrySettings(
            name="entry-1",
            platform={"url": self.platform.url},
            tokens={"sales": "secret"},
        )
        self.service = EntryService(settings=settings)
        self.service.start()
        self.addCleanup(self.platform.close)
        self.addCleanup(self.service.close)

    def run_command(self, *arguments, document=None, token="secret", json=True):
        environment = {
            "MONSOONLINE_URL": f"http://{self.service.operations_address}",
            "MONSOONLINE_TOKEN": token,
        }
        content = None if document is None else orjson.dumps(document)
        return CliRunner().invoke(
            main, [*arguments, *["--json"] * json], input=content, env=environment
        )

    def test_rows_are_put_listed_changed_and_deleted(self):
        put = self.run_command(
            "pools", "put", "quotes", "-", "--new", document=pool_document()
        )
        self.assertEqual(
            (put.exit_code, orjson.loads(put.output)["code"]), (0, "accepted")
        )
        route = route_document()
        arguments = ("routes", "put", "lookup", "-", "--new", "--author", "जय")
        self.assertEqual(self.run_command(*arguments, document=route).exit_code, 0)
        listed = orjson.loads(self.run_command("routes", "list").output)
        self.assertEqual([row["name"] for row in listed["rows"]], ["lookup"])
        got = self.run_command("routes", "get", "lookup", json=False)
        self.assertIn('"pool": "quotes"', got.output)
        refused = self.run_command("pools", "delete", "quotes", "--version", "1")
        self.assertEqual(refused.exit_code, 4)
        deleted = self.run_command("routes", "delete", "lookup", "--version", "2")
        self.assertEqual(deleted.exit_code, 0)
        history = self.run_command("routes", "history", "lookup", json=False)
        self.assertIn("जय", history.output)
        self.assertEqual(len(history.output.splitlines()), 2)

    def test_exit_codes_of_refusals(self):
        put = ("pools", "put", "quotes", "-")
        document = pool_document()
        self.assertEqual(self.run_command(*put, document=document).exit_code, 2)
        new = (*put, "--new")
        wrong_token = self.run_command(*new, document=document, token="wrong")
        self.assertEqual(wrong_token.exit_code, 2)
        self.assertEqual(self.run_command(*new, document=document).exit_code, 0)
        self.assertEqual(self.run_command(*new, document=document).exit_code, 4)
        invalid = self.run_command(*new, document=pool_document(slots=0), json=False)
        self.assertEqual(invalid.exit_code, 4)
        self.assertIn("pools.quotes.upstreams[0].slots: 0, expected", invalid.output)
        self.platform.set_faults("tables", outage=True)
        store_outage = self.run_command(*new, document=document, json=False)
        self.assertEqual(store_outage.exit_code, 3)
        self.assertIn("--change-id", store_outage.output)
