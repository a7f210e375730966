"""In-memory versioned rows with a change history, modeled on the platform's store."""

import dataclasses
import threading
import time

__all__ = ["Conflict", "HistoryUnavailable", "RowTables", "RowsCopy", "StoredRow"]

# Maximum number of rows in a response.
MAX_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """One row, with its value in base64 and the version of the last write to it."""

    table: str
    part: str
    key: str
    value: str
    ver: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowsCopy:
    """The state of all tables at one version.

    :param rows: the :class:`StoredRow` items by id
    :param changes: the changes available at that version
    :param history_start: version after which these changes begin
    :param version: the version
    """

    rows: dict
    changes: tuple
    history_start: int
    version: int


class Conflict(Exception):
    """The version of a row differs from the one that a transaction expects.

    :param rows: current :class:`StoredRow` of each row in the condition that exists
    """

    def __init__(self, rows):
        super().__init__(
            f"expected row versions do not match; {len(rows)} of the rows exist"
        )
        self.rows = rows


class HistoryUnavailable(Exception):
    """The changes after the requested version are no longer available."""


class RowTables:
    """Rows by table, part and key; each transaction increments the version.

    :param era: number that each restoration increments; ``None`` for none
    """

    def __init__(self, *, era=None):
        self._rows = {}
        # Pairs of version and written row, or version and id of a removed row.
        self._changes = []
        self._history_start = 0
        self._version = 0
        self._era = era
        self._changed = threading.Condition(threading.RLock())

    @property
    def lock(self):
        """Reentrant lock under which rows, version and era stay as they are.

        A wait for changes releases it.
        """
        return self._changed

    @property
    def era(self):
        """The era, ``None`` for none."""
        return self._era

    @property
    def version(self):
        """The latest version."""
        return self._version

    def rows(self, table):
        """Return the rows of a table from all of its parts."""
        with self._changed:
            return [row for row in self._rows.values() if row.table == table]

    def select(self, table, part, *, low="", high=None, limit=MAX_ROWS):
        """Return rows of a part in key order.

        :param low: lowest key, inclusive
        :param high: highest key, exclusive; ``None`` for no bound
        :param limit: maximum number of rows
        :returns: the rows, whether there are more, and the version
        """
        with self._changed:
            found = sorted(
                (
                    row
                    for row in self._rows.values()
                    if (row.table, row.part) == (table, part)
                    and row.key >= low
                    and (high is None or row.key < high)
                ),
                key=lambda row: row.key,
            )
            limit = min(MAX_ROWS, limit)
            return found[:limit], len(found) > limit, self._version

    def parts(self, table):
        """Return the parts of a table in sorted order."""
        return sorted({row.part for row in self.rows(table)})

    def commit(self, *, expected=(), puts=(), removes=()):
        """Apply all changes atomically and return the new version.

        :param expected: mappings with the id of a row and its expected ``ver``; 0 for
            a row that must not exist
        :param puts: mappings with the id and the value of a row
        :param removes: mappings with the id of a row
        :raises Conflict: when the version of a row is not the expected one
        """
        with self._changed:
            if any(
                condition["ver"] != self._version_of(condition)
                for condition in expected
            ):
                current = [
                    self._rows.get(to_row_id(condition)) for condition in expected
                ]
                raise Conflict([row for row in current if row is not None])
            self._version += 1
            for put in puts:
                row_id = to_row_id(put)
                self._rows[row_id] = StoredRow(*row_id, put["value"], self._version)
                self._changes.append((self._version, self._rows[row_id]))
            for row_id in map(to_row_id, removes):
                if self._rows.pop(row_id, None) is not None:
                    self._changes.append((self._version, row_id))
            self._changed.notify_all()
            return self._version

    def discard_history(self):
        """Discard all changes recorded so far, but keep the rows."""
        with self._changed:
            self._changes.clear()
            self._history_start = self._version

    def take_copy(self):
        """Return a :class:`RowsCopy` of the present state."""
        with self._changed:
            return RowsCopy(
                rows=dict(self._rows),
                changes=tuple(self._changes),
                history_start=self._history_start,
                version=self._version,
            )

    def restore(self, copy):
        """Replace rows, changes and version by those of a copy; start a new era."""
        with self._changed:
            self._rows = dict(copy.rows)
            self._changes = list(copy.changes)
            self._history_start = copy.history_start
            self._version = copy.version
            if self._era is not None:
                self._era += 1
            self._changed.notify_all()

    def changes(self, table, *, after, wait_s=0.0):
        """Return the changes of a table after a version, waiting for the first one.

        :param wait_s: maximum time to wait in s
        :returns: a list of written rows and ids of removed rows, and the version
        :raises HistoryUnavailable: when these changes have been discarded, or when the
            version has not been given out since the last restoration
        """
        wait_until = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after < self._history_start:
                    raise HistoryUnavailable(
                        f"history starts at version {self._history_start}, "
                        f"requested {after}"
                    )
                if after > self._version:
                    raise HistoryUnavailable(
                        f"the latest version is {self._version}, requested {after}"
                    )
                found = [c for ver, c in self._changes if ver > after]
                found = [c for c in found if table_of(c) == table]
                remaining_s = wait_until - time.monotonic()
                if found or remaining_s <= 0:
                    return found, self._version
                self._changed.wait(remaining_s)

    def _version_of(self, condition):
        current = self._rows.get(to_row_id(condition))
        return current.ver if current else 0


def to_row_id(document):
    """Return the table, part and key that identify a row in a request."""
    return document["table"], document.get("part", ""), document["key"]


def table_of(change):
    """Return the table of a written row or of the id of a removed row."""
    return change.table if isinstance(change, StoredRow) else change[0]
