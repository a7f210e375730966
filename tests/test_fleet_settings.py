"""Tests of the settings of an entry and of their deployment template."""

import json
import pathlib
import re
import unittest

from monsoonline.errors import FindingsError
from monsoonline.fleet_settings import (
    IDLE_PROCESS_MB,
    connection_limit,
    parse_settings,
)

DEPLOY_DIRECTORY = pathlib.Path(__file__).resolve().parents[1] / "deploy"
DOCUMENT = {
    "name": "e1",
    "failure_domain": "a",
    "listen": {
        "callers": "127.0.0.1:8001",
        "readiness": "127.0.0.1:8002",
        "discovery": None,
        "peers": "127.0.0.1:8003",
    },
    "store": "127.0.0.1:8004",
    "repeats": {"ratio": 0.2, "slack": 75, "window": "10s"},
    "probes_per_second": 60,
    "discovery_lifetime_limit": "5s",
    "stop_limit": "6s",
    "machine": {"memory_mb": 235, "descriptors": 3075},
}


def parse_with(**changes):
    return parse_settings(json.dumps(DOCUMENT | changes).encode(), place="s.json")


class TestSettings(unittest.TestCase):
    """Settings are validated completely before the entry starts."""

    def test_valid_settings(self):
        settings = parse_with()
        self.assertEqual(settings.repeats.window_ms, 10_000.0)
        self.assertEqual(settings.stop_limit_ms, 6_000.0)
        self.assertIsNone(settings.listeners.discovery)

    def test_discovery_lifetime_is_limited(self):
        settings = parse_with(discovery_lifetime="9s")
        self.assertEqual(settings.discovery_lifetime_ms, 5_000.0)

    def test_all_findings_are_reported_together(self):
        with self.assertRaises(FindingsError) as caught:
            parse_with(name="", store="here", stop_limit=6)
        paths = [finding.path for finding in caught.exception.findings]
        self.assertEqual(paths, ["name", "store", "stop_limit"])

    def test_invalid_json_is_rejected(self):
        with self.assertRaises(FindingsError):
            parse_settings(b"name: e1", place="s.yaml")

    def test_connection_limit_depends_on_memory_and_descriptors(self):
        self.assertEqual(connection_limit(memory_mb=235, descriptors=3075), 940)
        self.assertLess(connection_limit(memory_mb=50, descriptors=3075), 250)
        self.assertLess(connection_limit(memory_mb=4_000, descriptors=600), 250)

    def test_message_memory_follows_from_the_machine(self):
        """Guards against messages that exceed the machine beside the idle process."""
        for memory_mb in (128, 235, 1_000):
            with self.subTest(memory_mb):
                machine = {"memory_mb": memory_mb, "descriptors": 3075}
                settings = parse_with(machine=machine)
                self.assertLess(
                    settings.message_bytes, (memory_mb - IDLE_PROCESS_MB) * 1e6
                )
                self.assertGreater(
                    settings.message_bytes, (memory_mb - IDLE_PROCESS_MB) * 0.7e6
                )

    def test_message_memory_can_be_set(self):
        machine = DOCUMENT["machine"] | {"message_memory_mb": 12.5}
        self.assertEqual(parse_with(machine=machine).message_bytes, 12_500_000)

    def test_template_contains_every_settings_field(self):
        """Guards against a field missing in the template, which prevents a start."""
        text = (DEPLOY_DIRECTORY / "settings.json.template").read_text()
        text = re.sub(r'"\{\{[^}]+\}\}:\{\{[^}]+\}\}"', '"x"', text)
        document = json.loads(re.sub(r"\{\{[^}]+\}\}", '"x"', text))

        def paths(value, prefix=""):
            if not isinstance(value, dict):
                return {prefix}
            return set().union(*(paths(v, f"{prefix}.{k}") for k, v in value.items()))

        self.assertEqual(paths(document), paths(DOCUMENT))
