"""Detection of network isolation and of pauses of the process."""

import logging
import threading

__all__ = ["ContactMonitor", "PauseDetector"]

ISOLATION_TIMEOUT_MS = 10_000.0
PAUSE_THRESHOLD_MS = 2000.0
TICK_INTERVAL_MS = 250.0

logger = logging.getLogger(__name__)


class PauseDetector:
    """Detects that this process was suspended.

    Other entries may have changed the ownership of this entry's idempotency keys, its
    upstreams or the tables during the gap, so it starts no non-idempotent work until
    :meth:`record_reply` is called.

    :param clock: source of time
    :param on_pause: optional callback that takes the length of the gap in ms
    """

    def __init__(self, *, clock, on_pause=None):
        self._clock = clock
        self._on_pause = on_pause
        self._lock = threading.Lock()
        self._last_tick = clock.now()
        self._pause_detected_at = clock.now()
        self._paused = False
        self._pauses = 0

    @property
    def paused(self):
        """Whether a pause was detected and no later reply was recorded."""
        return self._paused

    @property
    def pauses(self):
        """Number of detected pauses."""
        return self._pauses

    def tick(self):
        """Check the clock; called periodically and before a key is started.

        After a pause a worker may run before the periodic thread, so the check must
        not rely on that thread alone.
        """
        with self._lock:
            now = self._clock.now()
            gap_ms = now - self._last_tick
            self._last_tick = max(now, self._last_tick)
            if gap_ms <= PAUSE_THRESHOLD_MS:
                return
            self._paused = True
            self._pause_detected_at = now
            self._pauses += 1
        logger.warning("the process was paused", extra={"gap_ms": round(gap_ms)})
        if self._on_pause is not None:
            self._on_pause(gap_ms)

    def record_reply(self, *, asked_at):
        """Record a reply from the store or a peer.

        :param asked_at: time in ms at which the request was sent; a reply to a request
            sent before the pause proves nothing about the state after it
        """
        self.tick()
        with self._lock:
            resumed = self._paused and asked_at >= self._pause_detected_at
            if resumed:
                self._paused = False
        if resumed:
            logger.info("received a reply from the store or a peer after a pause")

    def run(self, stopping):
        """Call :meth:`tick` periodically; the target of a thread.

        :param stopping: :class:`threading.Event` that ends the loop
        """
        while not stopping.wait(TICK_INTERVAL_MS / 1e3):
            self.tick()


class ContactMonitor:
    """Tracks when this entry last received anything from the store or a peer.

    :param clock: source of time
    :param detector: :class:`PauseDetector`, a new one when omitted
    """

    def __init__(self, *, clock, detector=None):
        self._clock = clock
        self._detector = detector or PauseDetector(clock=clock)
        self._contact_at = clock.now()

    @property
    def ms_since_contact(self):
        """Time in ms since the last contact."""
        return self._clock.now() - self._contact_at

    @property
    def probably_isolated(self):
        """Whether the last contact is so old that this entry may be isolated."""
        return self.ms_since_contact > ISOLATION_TIMEOUT_MS

    @property
    def paused(self):
        """Whether the process was paused and has not checked its tables since."""
        self._detector.tick()
        return self._detector.paused

    def tick(self):
        """Record that the process is running; called several times a second."""
        self._detector.tick()

    def record_contact(self):
        """Record a message from the store or a peer."""
        self._contact_at = self._clock.now()

    def confirm_tables(self, *, asked_at):
        """Record that the tables were compared with those of the store or a peer.

        :param asked_at: time in ms at which the request was sent
        """
        self.record_contact()
        self._detector.record_reply(asked_at=asked_at)
