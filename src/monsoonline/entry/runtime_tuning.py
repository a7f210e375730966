"""Garbage collection and signal handling for processes with millisecond latencies."""

import gc
import queue

__all__ = ["limit_collection_pauses", "wait_for_signal"]

# Requests create hardly any reference cycles, so collections can be rare.
GENERATION_0_THRESHOLD = 20_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 100
# Maximum delay before the main thread handles a signal that did not end its wait.
SIGNAL_CHECK_INTERVAL_S = 0.25


def limit_collection_pauses():
    """Exclude all current objects from garbage collection and collect rarely.

    A full collection over the imported libraries stops all threads for
    milliseconds. Call this once, after the services have started.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )


def wait_for_signal(received):
    """Wait in the main thread until a signal handler has put an item into a queue.

    Signal handlers run between two bytecode instructions of the main thread. A signal
    that arrives just before a wait without a timeout, or that the kernel delivers to
    another thread, does not end the wait, so its handler would never run. A
    :class:`threading.Event` is not suitable: its lock is not reentrant, so a handler
    that interrupts the main thread while it holds the lock would deadlock.

    :param received: :class:`queue.SimpleQueue`, whose ``put`` is reentrant
    :returns: the first item of the queue
    """
    while True:
        try:
            return received.get(timeout=SIGNAL_CHECK_INTERVAL_S)
        except queue.Empty:
            continue
