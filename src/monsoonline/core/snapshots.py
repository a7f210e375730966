"""Snapshots of the tables in the object store."""

import logging

from monsoonline.core.configuration_messages import Whole
from monsoonline.core.rows import RowSet
from monsoonline.errors import StoreUnavailable

__all__ = ["SnapshotStore"]

SNAPSHOT_NAME = "configuration-snapshot"
SNAPSHOT_PERIOD_MS = 30_000.0

logger = logging.getLogger(__name__)


class SnapshotStore:
    """Writes and reads the snapshot of the tables.

    :param clock: source of time
    :param objects: port :class:`monsoonline.ports.ObjectStore`, ``None`` to keep no
        snapshots
    :param codec: encodes and decodes messages
    :param metrics: registry of counters
    """

    def __init__(self, *, clock, objects, codec, metrics):
        self._clock = clock
        self._objects = objects
        self._codec = codec
        self._metrics = metrics
        self._written_revision = 0
        self._next_write_at = clock.now()

    def write_if_due(self, row_set):
        """Write a snapshot if the period has elapsed and the tables are newer.

        :returns: whether a snapshot was written
        """
        now = self._clock.now()
        nothing_new = row_set.revision <= self._written_revision
        if self._objects is None or nothing_new or now < self._next_write_at:
            return False
        self._next_write_at = now + SNAPSHOT_PERIOD_MS
        try:
            return self._write(row_set)
        except StoreUnavailable:
            self._metrics.count("snapshots_skipped_total")
            return False

    def read(self):
        """Return the :class:`RowSet` of the snapshot.

        :returns: ``None`` if there is none, or it is unavailable or corrupt
        """
        if self._objects is None:
            return None
        try:
            content = self._objects.get(SNAPSHOT_NAME)
        except StoreUnavailable:
            return None
        return None if content is None else self._decode(content)

    def _write(self, row_set):
        stored = self._objects.get(SNAPSHOT_NAME)
        existing = self._decode(stored) if stored else None
        # An entry with a different list of members may have written a newer snapshot.
        if existing is not None and existing.revision >= row_set.revision:
            self._written_revision = existing.revision
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
