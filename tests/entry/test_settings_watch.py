"""Tests of reloading settings while an entry runs."""

import dataclasses
import pathlib
import tempfile
import time
import unittest

from monsoonline.entry.fleet_service import FleetEntryService
from monsoonline.entry.settings_watch import SettingsWatch
from monsoonline.errors import Finding, FindingsError
from monsoonline.platform.main import DIALECT
from monsoonline.platform.store import PlatformStore
from tests.entry.test_fleet_service import free_address
from tests.test_fleet_settings import parse_with


def parse(content, *, place):
    if content == b"bad":
        finding = Finding(place=place, path=".", value="bad", expected="good")
        raise FindingsError([finding])
    return content.decode()


class TestSettingsWatch(unittest.TestCase):
    """Valid changes are applied once; invalid ones have no effect."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "settings.json")
        self.path.write_text("first")
        self.applied = []
        self.watch = SettingsWatch(
            path=self.path, parse=parse, on_change=self.applied.append
        )
        self.addCleanup(self.watch.close)

    def test_unchanged_file_is_not_reloaded(self):
        self.assertFalse(self.watch.check())
        self.assertEqual(self.applied, [])

    def test_error_of_a_change_ends_the_watch(self):
        def apply(settings):
            self.applied.append(settings)
            if settings == "second":
                raise RuntimeError("fault in a change")

        self.watch = SettingsWatch(path=self.path, parse=parse, on_change=apply)
        self.addCleanup(self.watch.close)
        self.watch.start()
        with self.assertLogs("monsoonline.background"):
            for content in ("second", "third"):
                self.path.write_text(content)
                self.watch.check_soon()
                deadline = time.monotonic() + 5.0
                while content not in self.applied and time.monotonic() < deadline:
                    time.sleep(0.01)
        self.assertEqual(self.applied, ["second", "third"])

    def test_invalid_settings_are_logged_once_and_ignored(self):
        """Guards against an invalid edit that ends a serving entry."""
        self.path.write_text("bad")
        with self.assertLogs("monsoonline.entry.settings_watch", "ERROR") as captured:
            self.assertFalse(self.watch.check())
            self.assertFalse(self.watch.check())
        self.assertEqual(len(captured.records), 1)
        self.path.write_text("good")
        self.assertTrue(self.watch.check())
        self.assertEqual(self.applied, ["good"])

    def test_missing_file_has_no_effect(self):
        self.path.unlink()
        with self.assertLogs("monsoonline.entry.settings_watch", "WARNING"):
            self.assertFalse(self.watch.check())

    def test_change_is_noticed_without_and_with_a_signal(self):
        self.watch.start()
        self.path.write_text("second")
        self.assertTrue(self.wait_for(["second"], within_s=3.0))
        self.path.write_text("third")
        self.watch.check_soon()
        self.assertTrue(self.wait_for(["second", "third"], within_s=0.5))

    def wait_for(self, applied, *, within_s):
        end = time.monotonic() + within_s
        while self.applied != applied and time.monotonic() < end:
            time.sleep(0.01)
        return self.applied == applied


class TestUseSettings(unittest.TestCase):
    """A running entry applies reloadable settings and reports the others."""

    def test_changes_that_require_a_restart_are_returned(self):
        addresses = [free_address() for _ in range(4)]
        listen = dict(
            zip(("callers", "readiness", "discovery", "peers"), addresses, strict=True)
        )
        settings = parse_with(listen=listen)
        service = FleetEntryService(
            settings=settings,
            dialect=DIALECT,
            store=PlatformStore(address=settings.store),
        )
        self.addCleanup(service.close)
        changed = dataclasses.replace(settings, name="other", stop_limit_ms=9_000.0)
        self.assertEqual(service.use_settings(changed), ["name"])
        self.assertEqual(service.settings.stop_limit_ms, 9_000.0)
        self.assertEqual(service.settings.name, settings.name)
