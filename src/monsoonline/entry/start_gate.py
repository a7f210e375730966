"""Decides when a starting entry has caught up with the others and may serve."""

import threading

from monsoonline.core.store_revisions import StoreRevision

__all__ = ["START_LIMIT_MS", "StartGate"]

# An entry that reaches the store tells the others of a read each 0.7 s. One that hears
# of none for this time serves what it has, since the store may be away for long.
START_LIMIT_MS = 1_000.0


class StartGate:
    """Compares what a starting entry has applied with what it has heard of.

    The first state that an entry learns may be old: its neighbour may be cut off, or
    newer tables may arrive while it still applies a large version.

    :param clock: source of time
    :param state: :class:`monsoonline.entry.shared_state.SharedState`
    """

    def __init__(self, *, clock, state):
        self._clock = clock
        self._state = state
        self._started_at = clock.now()
        self._started_at_boot_time = clock.boot()
        self._read_at = float("-inf")
        # Newest revision of tables that others have stated, by era of the store.
        self._heard = {}
        self._crashes_known = False
        self._peer_state_known = False
        self._lock = threading.Lock()

    @property
    def open(self):
        """Whether the entry may serve."""
        if not self._state.complete:
            return False
        if self._clock.now() - self._started_at >= START_LIMIT_MS:
            return True
        with self._lock:
            heard = tuple(self._heard.values())
        behind = any(map(self._state.lacks_tables, heard))
        # A store that was restored just now may hold less than the other entries.
        proven = self._peer_state_known or self._state.era == 0
        return (
            self._crashes_known
            and self._read_at >= self._started_at_boot_time
            and proven
            and not behind
        )

    def note_crashes_known(self):
        """Record that the requests that the store keeps as blocked are known here."""
        self._crashes_known = True

    def note_revision(self, revision):
        """Record the revision of tables that another entry has, or the store."""
        era = StoreRevision(revision).era
        with self._lock:
            self._heard[era] = max(self._heard.get(era, 0), revision)

    def note_peer_state(self):
        """Record that the state of an entry that serves was fetched."""
        self._peer_state_known = True

    def note_read(self, at):
        """Record that all that a read of the store has found is known here.

        Tables may still have to be fetched; see :meth:`note_revision`.

        :param at: time in ms at which the read began, of :meth:`Clock.boot`
        """
        self._read_at = max(self._read_at, at)
