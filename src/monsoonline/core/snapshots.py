"""Snapshots of the tables in the object store."""

import logging

from monsoonline.core.configuration_messages import Whole
from monsoonline.core.rows import RowSet
from monsoonline.errors import StoreUnavailable

__all__ = ["SnapshotKeeper"]

SNAPSHOT_NAME = "configuration-snapshot"
SNAPSHOT_PERIOD_MS = 30_000.0

logger = logging.getLogger(__name__)


class SnapshotKeeper:
    """Writes and reads the snapshot.

    :param clock: source of time
    :param objects: object store port, or ``None`` for no snapshots
    :param codec: encodes messages
    :param metrics: counters
    """

    def __init__(self, *, clock, objects, codec, metrics):
        self._clock = clock
        self._objects = objects
        self._codec = codec
        self._metrics = metrics
        self._written_revision = 0
        self._next_at = clock.now()

    def write_if_due(self, row_set):
        """Write a snapshot when the period has passed and the tables are newer.

        :returns: whether a snapshot was written
        """
        now = self._clock.now()
        nothing_new = row_set.revision <= self._written_revision
        if self._objects is None or nothing_new or now < self._next_at:
            return False
        self._next_at = now + SNAPSHOT_PERIOD_MS
        try:
            return self._write(row_set)
        except StoreUnavailable:
            self._metrics.count("snapshots_skipped_total")
            return False

    def read(self):
        """Return the :class:`RowSet` of the snapshot, or ``None``."""
        if self._objects is None:
            return None
        try:
            content = self._objects.get(SNAPSHOT_NAME)
        except StoreUnavailable:
            return None
        return None if content is None else self._decode(content)

    def _write(self, row_set):
        stored = self._objects.get(SNAPSHOT_NAME)
        earlier = self._decode(stored) if stored else None
        # Another entry, whose list of members differs, may have written a newer one.
        if earlier is not None and earlier.revision >= row_set.revision:
            self._written_revision = earlier.revision
            return False
        content = row_set.encode()
        snapshot = Whole(
            revision=row_set.revision,
            checksum=row_set.checksum,
            total=len(content),
            offset=0,
            content=content,
        )
        self._objects.put(SNAPSHOT_NAME, self._codec.encode(snapshot))
        self._written_revision = row_set.revision
        self._metrics.count("snapshots_written_total")
        return True

    def _decode(self, content):
        try:
            snapshot = self._codec.decode(Whole, content)
            row_set = RowSet.decode(snapshot.revision, snapshot.content)
        except ValueError:
            row_set = None
        if row_set is None or row_set.checksum != snapshot.checksum:
            self._metrics.count("snapshots_damaged_total")
            return None
        return row_set
