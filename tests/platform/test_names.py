"""Test that the platform's names occur only in its adapter."""

import pathlib
import re
import unittest

SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src" / "monsoonline"
# Directories that may use the platform's names: the adapter and the stand-ins.
ALLOWED = ("platform", "standin")
NAMES = re.compile(
    r"rows-(?:tx|get|feed|parts)|blob-(?:put|get|drop|list)|/-/(?:ready|resolve)"
    r"|X-Intended-Instance|X-Not-Executed|X-Server-Load|X-Response-Signature"
    r"|X-Request-Id|X-Deadline-Ms|X-Instance-Id|traffic_split|latency_goal"
    r"|Server-Limit|Server-Leaving|cold_left|max_attempts|expected_revision|MONSOONLINE_NODE_FILE"
)


class TestNames(unittest.TestCase):
    """Guards against platform names in modules that a renaming should not affect."""

    def test_no_other_module_contains_them(self):
        found = []
        for path in SOURCE.rglob("*.py"):
            if path.relative_to(SOURCE).parts[0] in ALLOWED:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    found.append(f"{path.relative_to(SOURCE)}:{number}: {line.strip()}")
        self.assertEqual(found, [])
