"""In-memory transactional table service.

The version of a row is the revision of the transaction that last wrote it; version 0
means that the row does not exist. Versions are therefore never reused, even when a
row is deleted and created again. The service does not interpret tables and rows.
"""

import dataclasses
import threading

__all__ = ["ConditionFailed", "DuplicateTransaction", "TableService"]

# States available to stale reads.
MAX_STATES = 256


class ConditionFailed(Exception):
    """At least one condition of a transaction does not hold.

    :param failures: index and actual row or count of each failed condition
    """

    def __init__(self, failures):
        super().__init__("condition failed")
        self._failures = failures

    @property
    def failures(self):
        """JSON objects with ``index`` and either ``row`` or ``count``."""
        return self._failures


class DuplicateTransaction(Exception):
    """A transaction with the same id has already been committed.

    :param record: change record of the earlier transaction
    """

    def __init__(self, record):
        super().__init__("duplicate transaction id")
        self._record = record

    @property
    def record(self):
        """Change record of the earlier transaction."""
        return self._record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """All rows at one revision, by table and key."""

    revision: int
    rows: dict


class TableService:
    """Stores rows, applies transactions and keeps a record of each change."""

    def __init__(self):
        self._lock = threading.Lock()
        self._states = [State(revision=0, rows={})]
        self._records = []
        self._by_id = {}

    def revision(self, *, lag=0):
        """Return the revision ``lag`` revisions before the latest."""
        return self._state(lag).revision

    def read_rows(self, tables, *, lag=0):
        """Return the revision and all rows of the given tables at that revision."""
        state = self._state(lag)
        rows = [row for row in state.rows.values() if row["table"] in tables]
        return state.revision, rows

    def read_row(self, table, key, *, lag=0):
        """Return the revision and one row, or ``None`` if it does not exist."""
        state = self._state(lag)
        return state.revision, state.rows.get((table, key))

    def read_changes(self, *, since=0, limit=None, row=None, lag=0):
        """Return the revision and change records in order.

        :param since: exclude records up to this revision
        :param limit: maximum number of records; ``None`` for all
        :param row: table and key of a row to which to restrict the records; ``None``
            for all rows
        """
        revision = self._state(lag).revision
        with self._lock:
            # The record of revision n is at index n - 1.
            records = self._records[since:revision]
        if row is not None:
            records = [r for r in records if self._wrote(r, row)]
        return revision, records[:limit]

    def find_change(self, transaction_id, *, lag=0):
        """Return the revision and a transaction's record, or ``None`` if unknown."""
        revision = self._state(lag).revision
        with self._lock:
            record = self._by_id.get(transaction_id)
        if record is not None and record["revision"] > revision:
            record = None
        return revision, record

    def commit(self, transaction):
        """Commit a transaction atomically.

        :param transaction: JSON object with ``id``, ``note``, ``conditions`` and
            ``writes``; a write whose ``value`` is ``None`` deletes the row
        :returns: the change record, including the new revision
        :raises ConditionFailed: when a condition does not hold
        :raises DuplicateTransaction: when the id has already been used
        """
        with self._lock:
            if transaction["id"] in self._by_id:
                raise DuplicateTransaction(self._by_id[transaction["id"]])
            state = self._states[-1]
            self._check_conditions(state.rows, transaction["conditions"])
            return self._apply(state, transaction)

    def _apply(self, state, transaction):
        revision = state.revision + 1
        rows = dict(state.rows)
        writes = []
        for write in transaction["writes"]:
            row_id = (write["table"], write["key"])
            before = rows.pop(row_id, None)
            deleted = write["value"] is None
            row = {**write, "version": 0 if deleted else revision}
            if not deleted:
                rows[row_id] = row
            writes.append({**row, "before": before["version"] if before else 0})
        record = {
            "revision": revision,
            "id": transaction["id"],
            "note": transaction.get("note", {}),
            "writes": writes,
        }
        self._records.append(record)
        self._by_id[transaction["id"]] = record
        self._states = [
            *self._states[1 - MAX_STATES :],
            State(revision=revision, rows=rows),
        ]
        return record

    @classmethod
    def _check_conditions(cls, rows, conditions):
        failures = []
        for index, condition in enumerate(conditions):
            failure = cls._check_condition(rows, condition)
            if failure is not None:
                failures.append({"index": index, **failure})
        if failures:
            raise ConditionFailed(failures)

    @staticmethod
    def _check_condition(rows, condition):
        if "count" in condition:
            count = sum(
                row["value"].get(condition["field"]) == condition["equals"]
                for row in rows.values()
                if row["table"] == condition["table"]
            )
            return None if count == condition["count"] else {"count": count}
        row = rows.get((condition["table"], condition["key"]))
        version = row["version"] if row else 0
        if "exists" in condition:
            holds = (version != 0) == condition["exists"]
        else:
            holds = version == condition["version"]
        return None if holds else {"row": row}

    @staticmethod
    def _wrote(record, row):
        return any((w["table"], w["key"]) == row for w in record["writes"])

    def _state(self, lag):
        states = self._states
        return states[max(0, len(states) - 1 - lag)]
