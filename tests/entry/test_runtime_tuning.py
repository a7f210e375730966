"""Tests of the signal handling of a serving process."""

import os
import queue
import signal
import threading
import time
import unittest

from monsoonline.entry.runtime_tuning import wait_for_signal

WAIT_LIMIT_S = 3.0
MAX_SIGNAL_DELAY_S = 1.0


class TestWaitForSignal(unittest.TestCase):
    """The main thread handles each signal, whichever thread the kernel interrupts."""

    def setUp(self):
        self.received = queue.SimpleQueue()
        previous_handler = signal.signal(
            signal.SIGUSR1, lambda number, _: self.received.put(number)
        )
        self.addCleanup(signal.signal, signal.SIGUSR1, previous_handler)
        # If the wait misses the signal, the timer ends it and the test fails.
        timer = threading.Timer(WAIT_LIMIT_S, self.received.put, (None,))
        timer.start()
        self.addCleanup(timer.cancel)

    def test_signal_delivered_to_another_thread_ends_the_wait(self):
        """Guards against an entry that keeps running after SIGTERM.

        The kernel may deliver the signal to a thread other than the main thread.
        """

        def receive_signal():
            time.sleep(0.1)
            signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)

        receiver = threading.Thread(target=receive_signal)
        receiver.start()
        self.addCleanup(receiver.join)
        started = time.monotonic()
        self.assertEqual(wait_for_signal(self.received), signal.SIGUSR1)
        self.assertLess(time.monotonic() - started, MAX_SIGNAL_DELAY_S)

    def test_signals_during_signals_do_not_block(self):
        """Guards against a deadlock of nested handlers.

        The lock of a :class:`threading.Event` is not reentrant.
        """

        def send_many():
            for _ in range(2_000):
                os.kill(os.getpid(), signal.SIGUSR1)
            self.received.put(None)

        sender = threading.Thread(target=send_many)
        sender.start()
        started = time.monotonic()
        while wait_for_signal(self.received) is not None:
            pass
        sender.join()
        self.assertLess(time.monotonic() - started, WAIT_LIMIT_S)
