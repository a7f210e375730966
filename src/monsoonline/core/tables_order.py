"""Order of the tables that the store and other entries provide."""

import enum

from monsoonline.core.store_revisions import StoreRevision

__all__ = ["TABLES_HOLD_MS", "Decision", "TablesOrder"]

# Time after the start of an era in which the operator writes again what the store has
# lost. An operator that has not done so by then has returned to older tables.
TABLES_HOLD_MS = 60_000.0


class Decision(enum.Enum):
    """What to do with tables."""

    USE = enum.auto()
    POSTPONE = enum.auto()


class TablesOrder:
    """Decides which tables take effect.

    Within one era of the store, newer revisions replace older ones. A store that was
    restored from a copy has lost the newest tables, until the operator writes them
    again. Between eras the editions therefore decide, which the operator numbers.

    :param eras: :class:`monsoonline.core.store_revisions.EraWatch`
    """

    def __init__(self, *, eras):
        self._eras = eras
        self._revision = StoreRevision(0)
        self._edition = None
        # Newest revision of each era that is in effect, postponed or invalid.
        self._decided = {}
        # Newest invalid revision of each era.
        self._invalid = {}
        # Newest era of postponed tables, and the last one that was read after its hold.
        self._postponed_era = 0
        self._believed_era = 0

    @property
    def revision(self):
        """Revision in effect, 0 before the first."""
        return self._revision

    @property
    def edition(self):
        """Edition in effect, ``None`` if the operator gives none."""
        return self._edition

    def awaits_read(self, now):
        """Return whether this entry has to read the store itself.

        No other entry is believed at the end of a hold, and without a read the entries
        would keep different tables.
        """
        era = self._postponed_era
        awaits = era > self._revision.era and era > self._believed_era
        return awaits and self._hold_is_over(now)

    def lacks(self, revision, now, *, stored):
        """Return whether tables may have to take effect.

        :param revision: their revision
        :param now: current time in ms
        :param stored: whether the store has just stated it, not another entry, which
            may hold what the operator has replaced since
        """
        revision = StoreRevision(revision)
        if self._revision and self._hold_is_over(now):
            if stored and revision.era > self._revision.era:
                return revision > self._invalid.get(revision.era, 0)
            if revision.era < self._eras.era:
                return False
        return revision > self._decided.get(revision.era, 0)

    def decide(self, revision, edition, now, *, stored):
        """Return the :class:`Decision` on valid tables that this entry lacks.

        :param revision: their revision
        :param edition: their edition, ``None`` without one
        :param now: current time in ms
        :param stored: as in :meth:`lacks`
        """
        era = StoreRevision(revision).era
        if not self._revision or era == self._revision.era:
            return Decision.USE
        believed = stored and self._hold_is_over(now)
        if believed or None in (edition, self._edition) or edition == self._edition:
            newer = era > self._revision.era
        else:
            newer = edition > self._edition
        return Decision.USE if newer else Decision.POSTPONE

    def note_used(self, revision, edition):
        """Record that tables are in effect."""
        self._revision, self._edition = StoreRevision(revision), edition
        self._note_decided(revision)

    def note_postponed(self, revision):
        """Record that tables do not take effect for the time being."""
        self._postponed_era = max(self._postponed_era, StoreRevision(revision).era)
        self._note_decided(revision)

    def note_invalid(self, revision):
        """Record that tables are not valid."""
        revision = StoreRevision(revision)
        self._invalid[revision.era] = revision
        self._note_decided(revision)

    def note_read(self, now):
        """Record that this entry has read the store."""
        if self._hold_is_over(now):
            self._believed_era = self._eras.era

    def _note_decided(self, revision):
        revision = StoreRevision(revision)
        known = self._decided.get(revision.era, 0)
        self._decided[revision.era] = max(known, revision)

    def _hold_is_over(self, now):
        return self._eras.ms_since_seen(now) > TABLES_HOLD_MS
