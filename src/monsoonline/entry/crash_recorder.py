"""Keeps what is known of blocked requests where it outlives all entries."""

import logging
import random
import threading

from monsoonline.background import start_task
from monsoonline.errors import StoreUnavailable

__all__ = ["CrashRecorder"]

# Initial delay before a call is repeated; doubles up to the maximum, with jitter.
RETRY_MS = 200.0
MAX_RETRY_MS = 5_000.0
# Time between two writes, so that many crashes cost few calls.
RECORD_INTERVAL_MS = 1_000.0

logger = logging.getLogger(__name__)


class CrashRecorder:
    """Thread that writes blocked requests to the store.

    An entry writes what it has observed itself, and nothing else, so that a crash costs
    one write of one entry.

    :param store: a :class:`monsoonline.ports.SharedStore`
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param metrics: counters
    """

    def __init__(self, *, store, crashes, metrics):
        self._store = store
        self._crashes = crashes
        self._metrics = metrics
        self._generator = random.Random()
        self._changed = threading.Event()
        self._stopping = threading.Event()

    def start(self):
        """Start writing."""
        start_task(self._run, stopping=self._stopping, on_error=self._count_failure)

    def close(self):
        """Stop; what is not written yet is lost."""
        self._stopping.set()
        self._changed.set()

    def wake(self):
        """Write what has changed."""
        self._changed.set()

    def _count_failure(self):
        self._metrics.count("crash_recorder_failures_total")

    def _run(self):
        while not self._stopping.is_set():
            self._changed.wait()
            self._changed.clear()
            self._record_all()
            self._stopping.wait(RECORD_INTERVAL_MS / 1e3)

    def _record_all(self):
        """Write what has changed, repeatedly until the store has done so."""
        retry_ms = RETRY_MS
        while not self._stopping.is_set():
            try:
                self._record()
                return
            except StoreUnavailable as error:
                self._metrics.count("store_failures_total", call="crashes")
                logger.debug("crashes not written", extra={"error": str(error)})
            self._stopping.wait(retry_ms * (0.5 + self._generator.random()) / 1e3)
            retry_ms = min(MAX_RETRY_MS, 2 * retry_ms)

    def _record(self):
        reports = self._crashes.take_unrecorded()
        if not reports:
            return
        try:
            self._store.record_crashes(reports)
        except Exception:
            self._crashes.restore_unrecorded(reports)
            raise
        self._metrics.count("crash_records_total")
