"""Detects that this entry is cut off, or that its process was paused."""

import logging
import threading

__all__ = ["ContactMonitor", "PauseDetector"]

ISOLATION_MS = 10_000.0
PAUSE_GAP_MS = 2000.0
TICK_INTERVAL_MS = 250.0

logger = logging.getLogger(__name__)


class PauseDetector:
    """Notices that this process stood still.

    Other entries may have decided about this one's keys, upstreams or tables during
    the gap, so it starts no non-idempotent work until :meth:`heard` is called.

    :param clock: source of time
    :param on_pause: called with the gap in ms, may be ``None``
    """

    def __init__(self, *, clock, on_pause=None):
        self._clock = clock
        self._on_pause = on_pause
        self._lock = threading.Lock()
        self._last_tick = clock.now()
        self._noticed_at = clock.now()
        self._paused = False
        self._pauses = 0

    @property
    def paused(self):
        """Whether a pause was noticed and nothing was heard since."""
        return self._paused

    @property
    def pauses(self):
        """Number of pauses noticed."""
        return self._pauses

    def tick(self):
        """Check the clock; called regularly and before each start of a key.

        A worker may run before the regular thread after a pause, so the check must
        not rely on that thread.
        """
        with self._lock:
            now = self._clock.now()
            gap_ms = now - self._last_tick
            self._last_tick = max(now, self._last_tick)
            if gap_ms <= PAUSE_GAP_MS:
                return
            self._paused = True
            self._noticed_at = now
            self._pauses += 1
        logger.warning("the process was paused", extra={"gap_ms": round(gap_ms)})
        if self._on_pause is not None:
            self._on_pause(gap_ms)

    def heard(self, *, asked_at):
        """Note that the store or a peer replied.

        :param asked_at: instant in ms at which it was asked; a reply to a question
            from before the pause proves nothing about the time after it
        """
        self.tick()
        with self._lock:
            resumed = self._paused and asked_at >= self._noticed_at
            if resumed:
                self._paused = False
        if resumed:
            logger.info("heard the store or a peer after a pause")

    def run(self, stopping):
        """Tick until an event is set; the body of a thread.

        :param stopping: :class:`threading.Event`
        """
        while not stopping.wait(TICK_INTERVAL_MS / 1e3):
            self.tick()


class ContactMonitor:
    """When this entry last heard anything from the store or a peer.

    :param clock: source of time
    :param detector: :class:`PauseDetector`, a new one when not given
    """

    def __init__(self, *, clock, detector=None):
        self._clock = clock
        self._detector = detector or PauseDetector(clock=clock)
        self._contact_at = clock.now()

    @property
    def silent_ms(self):
        """Time since the last contact."""
        return self._clock.now() - self._contact_at

    @property
    def silent_too_long(self):
        """Whether nothing was heard for so long that this entry may be cut off."""
        return self.silent_ms > ISOLATION_MS

    @property
    def paused(self):
        """Whether the process was paused and has not checked its tables since."""
        self._detector.tick()
        return self._detector.paused

    def tick(self):
        """Record that the process runs; called several times a second."""
        self._detector.tick()

    def hear(self):
        """Record that something was heard."""
        self._contact_at = self._clock.now()

    def confirm_tables(self, *, asked_at):
        """Record that the tables were compared with the store's or a peer's.

        :param asked_at: instant at which the question was sent
        """
        self.hear()
        self._detector.heard(asked_at=asked_at)
