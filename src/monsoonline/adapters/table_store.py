"""The table store port over the platform's generic table service."""

import dataclasses
import threading
import urllib.parse

import orjson

from monsoonline.adapters.platform import ATTEMPTS, ResponseLost
from monsoonline.core.documents import parse_row
from monsoonline.core.edits import (
    VersionCondition,
    condition_error,
    is_same_edit,
    plan_edit,
)
from monsoonline.core.model import Tables
from monsoonline.errors import (
    CommitUnknown,
    EditConflict,
    EditRefused,
    StaleRead,
    StoreUnavailable,
)
from monsoonline.ports import Change, ProposedChange, Row, RowsAt

__all__ = ["HttpTableStore"]

BASE = "/v1/tables"
TABLES = ("routes", "pools")
CHANGES_LIMIT = 500
NOTE_FIELDS = ("table", "name", "department", "expected_version", "author", "wall_ms")


class HttpTableStore:
    """Routes, pools and their history in the platform's table service.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client
        self._lock = threading.Lock()
        self._seen_revision = 0

    @property
    def seen_revision(self):
        """Highest revision seen; reads below it are stale."""
        return self._seen_revision

    def observe_revision(self, revision):
        """Treat reads below this revision as stale from now on."""
        with self._lock:
            self._seen_revision = max(self._seen_revision, revision)

    def revision(self):
        """Return the revision of the last committed change."""
        return self._read("/revision")["revision"]

    def read_rows(self):
        """Return the rows of both tables at one revision."""
        document = self._read(f"/rows?tables={','.join(TABLES)}")
        rows = tuple(row_of(row) for row in document["rows"])
        return RowsAt(revision=document["revision"], rows=rows)

    def read_tables(self):
        """Return both tables at one revision."""
        content = self.read_rows()
        tables = {name: {} for name in TABLES}
        for row in content.rows:
            tables[row.table][row.name] = parse_row(
                row.table, row.name, row.document, place="store"
            )
        return Tables(revision=content.revision, **tables)

    def read_row(self, table, name):
        """Return one row, or ``None``."""
        return self._read_row(table, name, floor=0)

    def read_changes(self, since):
        """Return the changes after a revision, in order, at most 500."""
        document = self._read(f"/changes?since={since}&limit={CHANGES_LIMIT}")
        return tuple(change_of(record) for record in document["changes"])

    def read_history(self, table, name):
        """Return the changes of one row, in order."""
        document = self._read(f"/changes?table={table}&key={quoted(name)}")
        return tuple(change_of(record) for record in document["changes"])

    def find_change(self, change_id):
        """Return the committed change with this id, or ``None``."""
        record = self._read(f"/changes/{quoted(change_id)}")["change"]
        return change_of(record) if record else None

    def commit(self, change):
        """Commit one edit, at most once for a change id.

        A resend of an edit that took effect returns the first result, also when the
        row has changed since.

        :param change: the :class:`monsoonline.ports.ProposedChange`
        :returns: the :class:`monsoonline.ports.Change`
        :raises StoreUnavailable: the edit was certainly not applied
        :raises CommitUnknown: the edit may have been applied
        :raises EditConflict: the row changed since the editor read it
        :raises EditRefused: a rule forbids the edit
        :raises FindingsError: the document is not valid
        """
        floor = change.expected_version or 0
        current = self._read_row(change.table, change.name, floor=floor)
        try:
            transaction = plan_edit(change, current)
        except (EditConflict, EditRefused):
            return self._earlier_result(change)
        return self._send(change, transaction)

    def _earlier_result(self, change):
        """Return the result of an earlier commit, or raise the present error."""
        found = self.find_change(change.change_id)
        if found is None:
            raise
        return self._confirm(change, found)

    @staticmethod
    def _confirm(change, found):
        if not is_same_edit(change, found.proposal):
            raise EditRefused(
                f"change id {change.change_id!r} names another edit; use a new id",
                code="change-id-reused",
            )
        return found

    def _send(self, change, transaction):
        body = orjson.dumps(
            {
                "id": change.change_id,
                "note": {name: getattr(change, name) for name in NOTE_FIELDS},
                "conditions": [dataclasses.asdict(c) for c in transaction.conditions],
                "writes": [dataclasses.asdict(w) for w in transaction.writes],
            }
        )
        uncertain = False
        for number in range(1, ATTEMPTS + 1):
            try:
                if uncertain:
                    # The first attempt may have taken effect: look before resending.
                    found = self.find_change(change.change_id)
                    if found is not None:
                        return self._confirm(change, found)
                target = f"{BASE}/transactions"
                status, content = self._client.send_once("POST", target, body)
                return self._result(change, transaction, status, content, uncertain)
            except ResponseLost:
                uncertain = True
                self._client.metrics.count("store_responses_lost_total")
            except StoreUnavailable as error:
                if not uncertain and error.code in ("breaker-open", "budget"):
                    raise
            if number == ATTEMPTS or not self._client.pause_before_retry(number):
                break
        raise self._failure(change, uncertain)

    @staticmethod
    def _failure(change, uncertain):
        if uncertain:
            return CommitUnknown(
                f"the response to change {change.change_id!r} was lost; ask for the "
                "change id before making another edit",
                change_id=change.change_id,
            )
        return StoreUnavailable("the table service is unavailable; nothing changed")

    def _result(self, change, transaction, status, content, uncertain):
        try:
            document = orjson.loads(content)
        except orjson.JSONDecodeError as error:
            raise ResponseLost("the response to a transaction is no JSON") from error
        if status == 200:
            committed = change_of(document)
            self.observe_revision(committed.revision)
            return committed
        if status == 409 and document["code"] == "duplicate":
            return self._confirm(change, change_of(document["change"]))
        if status == 409:
            failure = document["failed"][0]
            row = failure.get("row")
            condition = transaction.conditions[failure["index"]]
            if uncertain and not never_holds_again(condition):
                raise self._failure(change, uncertain)
            raise condition_error(
                change,
                condition,
                current=row_of(row) if row else None,
                count=failure.get("count"),
            )
        if uncertain:
            raise self._failure(change, uncertain)
        raise StoreUnavailable(f"the table service refused the change with {status}")

    def _read_row(self, table, name, *, floor):
        document = self._read(f"/rows/{table}/{quoted(name)}", floor=floor)
        return row_of(document["row"]) if document["row"] else None

    def _read(self, target, *, floor=0):
        return self._client.with_retries(lambda: self._read_fresh(target, floor))

    def _read_fresh(self, target, floor):
        """Read once and discard a revision older than one already seen.

        The comparison uses what was seen before the read was sent, since a commit
        may be acknowledged while the read is under way.
        """
        floor = max(floor, self._seen_revision)
        document = self._client.get_document_once(BASE + target)
        if document["revision"] < floor:
            self._client.metrics.count("store_stale_reads_total")
            raise StaleRead(
                f"the table service returned revision {document['revision']}, "
                f"but revision {floor} was seen before"
            )
        self.observe_revision(document["revision"])
        return document


def never_holds_again(condition):
    """Return whether a condition that failed once fails for ever.

    An earlier attempt may still be on its way to the service. It certainly has no
    effect only when the condition cannot hold again, which is so for versions of
    existing rows, as these are never used twice.
    """
    return isinstance(condition, VersionCondition) and condition.version > 0


def quoted(text):
    """Return text as one segment of a path."""
    return urllib.parse.quote(text, safe="")


def row_of(document):
    """Return the :class:`Row` of a row of the table service."""
    return Row(
        table=document["table"],
        name=document["key"],
        version=document["version"],
        document=document["value"],
    )


def change_of(record):
    """Return the :class:`Change` of a change record of the table service."""
    (write,) = record["writes"]
    proposal = ProposedChange(
        change_id=record["id"], document=write["value"], **record["note"]
    )
    return Change(
        revision=record["revision"],
        version=write["version"],
        before=write["before"],
        proposal=proposal,
    )
