"""Tests of the log lines about memory."""

import types
import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.memory_account import MemoryAccount
from monsoonline.entry.memory_watch import CALM_MS, MemoryWatch

LOGGER = "monsoonline.entry.memory_watch"


class TestMemoryWatch(unittest.TestCase):
    """Only changes of state are logged."""

    def test_only_changes_of_state_are_logged(self):
        clock = ManualClock()
        server = types.SimpleNamespace(
            bodies_refused=0, connections_interrupted=0, open_connections=3
        )
        watch = MemoryWatch(
            account=MemoryAccount(max_bytes=1 << 20, clock=clock),
            server=server,
            clock=clock,
        )
        with self.assertNoLogs(LOGGER):
            watch.check()
        with self.assertLogs(LOGGER) as logs:
            for _ in range(100):
                server.bodies_refused += 1
                clock.advance(100.0)
                watch.check()
        self.assertEqual(len(logs.records), 1)
        self.assertTrue(watch.short)
        with self.assertLogs(LOGGER) as logs:
            clock.advance(CALM_MS + 1.0)
            watch.check()
            watch.check()
        self.assertEqual(len(logs.records), 1)
        self.assertFalse(watch.short)


if __name__ == "__main__":
    unittest.main()
