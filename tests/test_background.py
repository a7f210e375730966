"""Tests of tasks in threads."""

import threading
import unittest
from unittest import mock

from monsoonline import background
from monsoonline.background import start_task


class TestStartTask(unittest.TestCase):
    """A task runs until it returns or its owner is closed."""

    def setUp(self):
        self.stopping = threading.Event()
        self.addCleanup(self.stopping.set)
        patch = mock.patch.object(background, "RESTART_DELAY_MS", 1.0)
        patch.start()
        self.addCleanup(patch.stop)

    def test_unexpected_error_ends_a_task(self):
        runs, errors = [], []

        def task():
            runs.append(None)
            if len(runs) < 3:
                raise RuntimeError("fault in a task")

        with self.assertLogs("monsoonline.background"):
            thread = start_task(
                task, stopping=self.stopping, on_error=lambda: errors.append(None)
            )
            thread.join(5.0)
        self.assertFalse(thread.is_alive())
        self.assertEqual((len(runs), len(errors)), (3, 2))

    def test_task_that_fails_ends_when_its_owner_is_closed(self):
        def task():
            self.stopping.set()
            raise RuntimeError("fault in a task")

        with self.assertLogs("monsoonline.background"):
            thread = start_task(task, stopping=self.stopping)
            thread.join(5.0)
        self.assertFalse(thread.is_alive())


if __name__ == "__main__":
    unittest.main()
