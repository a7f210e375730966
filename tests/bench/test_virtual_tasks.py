"""Tests of blocking code in virtual time."""

import select
import threading
import unittest

from monsoonline.bench.timeline import Timeline
from monsoonline.bench.virtual_tasks import VirtualPoller, VirtualTasks

TIMEOUT_SECONDS = 5


class Socket:
    """A descriptor that becomes ready when a test says so."""

    def __init__(self):
        self.is_ready = False
        self.waiter = None

    def ready(self, events):
        return self.is_ready

    def become_ready(self):
        self.is_ready = True
        if self.waiter is not None:
            self.waiter()


class TestVirtualTasks(unittest.TestCase):
    """Tasks wait in virtual time, one of them runs at once."""

    def setUp(self):
        self.timeline = Timeline()
        self.tasks = VirtualTasks(limit=4)
        self.addCleanup(self.tasks.close)
        self.sockets = {1: Socket(), 2: Socket()}
        self.log = []

    def poll(self, name, descriptor, timeout_ms):
        poller = VirtualPoller(
            tasks=self.tasks, timeline=self.timeline, sockets=self.sockets
        )
        poller.register(descriptor, select.POLLIN)
        ready = poller.poll(timeout_ms)
        self.log.append((name, self.timeline.now(), bool(ready)))

    def test_wait_ends_when_the_socket_is_ready_or_time_is_up(self):
        self.tasks.start(self.poll, "ready", 1, 100.0)
        self.tasks.start(self.poll, "timeout", 2, 50.0)
        self.timeline.after(30.0, self.sockets[1].become_ready)
        self.timeline.run(200.0)
        self.assertEqual(self.log, [("ready", 30.0, True), ("timeout", 50.0, False)])

    def test_ready_socket_needs_no_wait(self):
        self.sockets[1].is_ready = True
        self.tasks.start(self.poll, "ready", 1, 100.0)
        self.assertEqual(self.log, [("ready", 0.0, True)])

    def test_error_of_a_task_is_raised_on_the_timeline(self):
        """A fault in the request path must not look like a request that waits."""

        def fail():
            self.poll("first", 1, 10.0)
            raise ValueError("broken")

        self.tasks.start(fail)
        with self.assertRaisesRegex(ValueError, "broken"):
            self.timeline.run(20.0)

    def test_waiting_tasks_end_with_the_experiment(self):
        """Threads that wait for ever would keep the process from ending."""
        ended = []

        def wait():
            try:
                self.poll("never", 1, 1e9)
            finally:
                ended.append(threading.current_thread())

        self.tasks.start(wait)
        self.tasks.close()
        ended[0].join(TIMEOUT_SECONDS)
        self.assertFalse(ended[0].is_alive())

    def test_too_many_tasks_are_an_error(self):
        """Beyond the limit the executor would queue a task and the run would hang."""
        for _ in range(4):
            self.tasks.start(self.poll, "waits", 1, 10.0)
        with self.assertRaisesRegex(RuntimeError, "more than 4 tasks"):
            self.tasks.start(self.poll, "fifth", 1, 10.0)
