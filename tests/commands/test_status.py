"""Tests of ``monsoonline status`` and ``monsoonline report burn`` over an entry."""

import unittest

import orjson
from click.testing import CliRunner

from monsoonline.commands import main
from monsoonline.entry.service import EntryService
from monsoonline.settings import EntrySettings
from monsoonline.standin.platform import PlatformStandIn

# Port 1 of loopback refuses connections.
UNREACHABLE = "127.0.0.1:1"


class TestStatus(unittest.TestCase):
    """Output for a ready entry and for an unreachable one."""

    @classmethod
    def setUpClass(cls):
        cls.platform = PlatformStandIn()
        cls.platform.start()
        cls.addClassCleanup(cls.platform.close)
        settings = EntrySettings(name="entry-1", platform={"url": cls.platform.url})
        cls.service = EntryService(settings=settings)
        cls.service.start()
        cls.addClassCleanup(cls.service.close)

    def run_command(self, *arguments):
        return CliRunner().invoke(main, arguments)

    def test_ready_entry(self):
        result = self.run_command("status", "--entry", self.service.operations_address)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.output, r"entry-1 +\S+ +ready +yes")

    def test_unreachable_entry_is_shown_and_fails(self):
        """An unreachable entry must not be reported as healthy."""
        entries = ("--entry", self.service.operations_address, "--entry", UNREACHABLE)
        result = self.run_command("status", *entries)
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertRegex(result.output, rf"{UNREACHABLE} +unreachable +no")
        result = self.run_command("status", "--json", "--entry", UNREACHABLE)
        self.assertEqual(result.exit_code, 3)
        self.assertIsNone(orjson.loads(result.output)["entries"][0]["document"])

    def test_burn_report_reads_the_entry(self):
        entries = ("--entry", self.service.operations_address, "--entry", UNREACHABLE)
        result = self.run_command("report", "burn", "--json", *entries)
        self.assertEqual(result.exit_code, 0, result.output)
        document = orjson.loads(result.output)
        self.assertFalse(document["complete"])
        self.assertEqual(document["reached"], [self.service.operations_address])
