"""Table store on top of the generic table service of the platform."""

import dataclasses
import threading
import urllib.parse

import orjson

from monsoonline.adapters.platform import MAX_ATTEMPTS, ResponseLost
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
from monsoonline.ports import Change, ProposedChange, Row, RowSnapshot

__all__ = ["HttpTableStore"]

BASE_PATH = "/v1/tables"
TABLE_NAMES = ("routes", "pools")
MAX_CHANGES_PER_READ = 500
NOTE_FIELDS = ("table", "name", "department", "expected_version", "author", "wall_ms")


class HttpTableStore:
    """Routes, pools and their history in the platform's table service.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client
        self._lock = threading.Lock()
        self._observed_revision = 0

    @property
    def seen_revision(self):
        """Highest revision observed; reads of a lower revision are stale."""
        return self._observed_revision

    def observe_revision(self, revision):
        """Record a revision; reads of a lower revision are stale from now on."""
        with self._lock:
            self._observed_revision = max(self._observed_revision, revision)

    def revision(self):
        """Return the revision of the last committed change."""
        return self._read("/revision")["revision"]

    def read_rows(self):
        """Return the rows of both tables at one revision."""
        document = self._read(f"/rows?tables={','.join(TABLE_NAMES)}")
        rows = tuple(to_row(row) for row in document["rows"])
        return RowSnapshot(revision=document["revision"], rows=rows)

    def read_tables(self):
        """Return both tables at one revision."""
        content = self.read_rows()
        tables = {name: {} for name in TABLE_NAMES}
        for row in content.rows:
            tables[row.table][row.name] = parse_row(
                row.table, row.name, row.document, place="store"
            )
        return Tables(revision=content.revision, **tables)

    def read_row(self, table, name):
        """Return one row, or ``None``."""
        return self._read_row(table, name, minimum_revision=0)

    def read_changes(self, since):
        """Return the changes after a revision, in order, at most 500 of them."""
        document = self._read(f"/changes?since={since}&limit={MAX_CHANGES_PER_READ}")
        return tuple(to_change(record) for record in document["changes"])

    def read_history(self, table, name):
        """Return the changes of one row, in order."""
        document = self._read(f"/changes?table={table}&key={quote_segment(name)}")
        return tuple(to_change(record) for record in document["changes"])

    def find_change(self, change_id):
        """Return the committed change with this id, or ``None``."""
        record = self._read(f"/changes/{quote_segment(change_id)}")["change"]
        return to_change(record) if record else None

    def commit(self, change):
        """Commit one edit, at most once for each change id.

        Resending an edit that was committed returns its first result, even when the
        row has changed since then.

        :param change: the :class:`monsoonline.ports.ProposedChange`
        :returns: the :class:`monsoonline.ports.Change`
        :raises StoreUnavailable: the edit was not applied
        :raises CommitUnknown: the edit may have been applied
        :raises EditConflict: the row has changed since the editor read it
        :raises EditRefused: a rule forbids the edit
        :raises FindingsError: the document is invalid
        """
        minimum_revision = change.expected_version or 0
        current = self._read_row(
            change.table, change.name, minimum_revision=minimum_revision
        )
        try:
            transaction = plan_edit(change, current)
        except (EditConflict, EditRefused):
            return self._find_earlier_result(change)
        return self._send(change, transaction)

    def _find_earlier_result(self, change):
        """Return the result of an earlier commit, or re-raise the current exception."""
        found = self.find_change(change.change_id)
        if found is None:
            raise
        return self._require_same_edit(change, found)

    @staticmethod
    def _require_same_edit(change, found):
        if not is_same_edit(change, found.proposal):
            raise EditRefused(
                f"change id {change.change_id!r} was used for a different edit; "
                "use a new id",
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
        may_be_applied = False
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                if may_be_applied:
                    # An earlier attempt may have been committed, so look up its change
                    # before resending it.
                    found = self.find_change(change.change_id)
                    if found is not None:
                        return self._require_same_edit(change, found)
                target = f"{BASE_PATH}/transactions"
                status, content = self._client.send_once("POST", target, body)
                return self._process_response(
                    change, transaction, status, content, may_be_applied
                )
            except ResponseLost:
                may_be_applied = True
                self._client.metrics.count("store_responses_lost_total")
            except StoreUnavailable as error:
                if not may_be_applied and error.code in ("breaker-open", "budget"):
                    raise
            if number == MAX_ATTEMPTS or not self._client.pause_before_retry(number):
                break
        raise self._commit_error(change, may_be_applied)

    @staticmethod
    def _commit_error(change, may_be_applied):
        if may_be_applied:
            return CommitUnknown(
                f"response to change {change.change_id!r} was lost; look up this "
                "change id before submitting another edit",
                change_id=change.change_id,
            )
        return StoreUnavailable(
            "table service is unavailable; the edit was not applied"
        )

    def _process_response(self, change, transaction, status, content, may_be_applied):
        try:
            document = orjson.loads(content)
        except orjson.JSONDecodeError as error:
            raise ResponseLost(
                f"response to change {change.change_id!r} is not valid JSON"
            ) from error
        if status == 200:
            committed = to_change(document)
            self.observe_revision(committed.revision)
            return committed
        if status == 409 and document["code"] == "duplicate":
            return self._require_same_edit(change, to_change(document["change"]))
        if status == 409:
            failure = document["failed"][0]
            row = failure.get("row")
            condition = transaction.conditions[failure["index"]]
            if may_be_applied and not fails_permanently(condition):
                raise self._commit_error(change, may_be_applied)
            raise condition_error(
                change,
                condition,
                current=to_row(row) if row else None,
                count=failure.get("count"),
            )
        if may_be_applied:
            raise self._commit_error(change, may_be_applied)
        raise StoreUnavailable(f"table service refused the change with status {status}")

    def _read_row(self, table, name, *, minimum_revision):
        document = self._read(
            f"/rows/{table}/{quote_segment(name)}", minimum_revision=minimum_revision
        )
        return to_row(document["row"]) if document["row"] else None

    def _read(self, target, *, minimum_revision=0):
        return self._client.with_retries(
            lambda: self._read_fresh(target, minimum_revision)
        )

    def _read_fresh(self, target, minimum_revision):
        """Read once and reject a revision that is older than one already observed.

        The comparison uses the revision observed before the read was sent, since a
        commit may be acknowledged while the read is in progress.

        :raises StaleRead: when the revision is too old
        """
        minimum_revision = max(minimum_revision, self._observed_revision)
        document = self._client.get_document_once(BASE_PATH + target)
        if document["revision"] < minimum_revision:
            self._client.metrics.count("store_stale_reads_total")
            raise StaleRead(
                f"table service returned revision {document['revision']}, expected at "
                f"least {minimum_revision}"
            )
        self.observe_revision(document["revision"])
        return document


def fails_permanently(condition):
    """Return whether a failed condition can never hold again.

    An earlier attempt may still be in transit to the service. It is certain to have
    no effect only when its condition cannot hold again. This applies to versions of
    existing rows, which are never reused.
    """
    return isinstance(condition, VersionCondition) and condition.version > 0


def quote_segment(text):
    """Return text percent-encoded as one segment of a path."""
    return urllib.parse.quote(text, safe="")


def to_row(document):
    """Return the :class:`Row` of a row document of the table service."""
    return Row(
        table=document["table"],
        name=document["key"],
        version=document["version"],
        document=document["value"],
    )


def to_change(record):
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
