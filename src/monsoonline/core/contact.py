"""Detects that this entry is cut off, or that its process was paused."""

__all__ = ["ContactMonitor"]

ISOLATION_MS = 10_000.0
PAUSE_MS = 2000.0


class ContactMonitor:
    """When this entry last heard anything from the store or a peer.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._contact_at = clock.now()
        self._ticked_at = clock.now()
        self._paused = False

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
        self.tick()
        return self._paused

    def tick(self):
        """Record that the process runs; called several times a second."""
        now = self._clock.now()
        if now - self._ticked_at > PAUSE_MS:
            self._paused = True
        self._ticked_at = now

    def hear(self):
        """Record that something was heard."""
        self._contact_at = self._clock.now()

    def confirm_tables(self, *, asked_at):
        """Record that the tables were compared with the store's or a peer's.

        :param asked_at: instant at which the question was sent; a reply to a question
            from before a pause does not end the pause
        """
        self.hear()
        if self._clock.now() - asked_at <= PAUSE_MS:
            self._paused = False
