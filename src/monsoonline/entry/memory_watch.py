"""Logs when messages begin and cease to give way for want of memory."""

import logging

from monsoonline.core.memory_account import Phase

__all__ = ["MemoryWatch"]

# Time in ms without a message that gave way after which memory counts as sufficient.
CALM_MS = 10_000.0

logger = logging.getLogger(__name__)


class MemoryWatch:
    """Observes the memory account of an entry.

    :param account: :class:`monsoonline.core.memory_account.MemoryAccount`
    :param server: :class:`monsoonline.adapters.http_server.HttpServer` of the callers
    :param clock: source of time
    """

    def __init__(self, *, account, server, clock):
        self._account = account
        self._server = server
        self._clock = clock
        self._seen = 0
        self._short_at = None

    @property
    def short(self):
        """Whether messages have given way lately."""
        return self._short_at is not None

    def check(self):
        """Log a change of state; called periodically."""
        count = (
            self._server.bodies_refused
            + self._server.connections_interrupted
            + sum(self._account.gave_way(phase) for phase in Phase)
        )
        now = self._clock.now()
        if count != self._seen:
            if not self.short:
                logger.warning(
                    "callers give way for want of memory or connections",
                    extra={
                        "total_bytes": self._account.total_bytes,
                        "limit_bytes": self._account.max_bytes,
                        "connections": self._server.open_connections,
                    },
                )
            self._seen, self._short_at = count, now
        elif self.short and now - self._short_at > CALM_MS:
            self._short_at = None
            logger.info("memory is sufficient again", extra={"gave_way": count})
