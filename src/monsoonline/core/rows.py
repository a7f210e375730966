"""Rows of all tables at one revision, with an incremental checksum."""

import dataclasses
import hashlib
import zlib

import orjson

from monsoonline.errors import MonsoonlineError

__all__ = ["RevisionGap", "RowChange", "RowSet", "StoredRow", "to_row_change"]

DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class RevisionGap(MonsoonlineError):
    """Raised if changes do not directly follow the revision they are applied to."""

    default_code = "revision-gap"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """The effect of one change on one row.

    :param revision: revision of the change
    :param table: ``routes`` or ``pools``
    :param name: name of the row
    :param content: the new row as canonical JSON, empty if the row was deleted
    """

    revision: int
    table: str
    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row in serialized form.

    :param version: revision of the change that wrote the row
    :param content: the row as canonical JSON
    """

    version: int
    content: bytes


def canonical_json(document):
    """Return a document as JSON bytes that are equal for equal documents."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def to_row_change(change):
    """Return the :class:`RowChange` of a :class:`monsoonline.ports.Change`."""
    proposal = change.proposal
    content = b"" if proposal.document is None else canonical_json(proposal.document)
    return RowChange(
        revision=change.revision,
        table=proposal.table,
        name=proposal.name,
        content=content,
    )


def row_digest(key, row):
    """Return the digest of a row as an integer.

    :param key: ``(table, name)`` of the row
    :param row: the :class:`StoredRow`
    """
    head = f"{key[0]}\0{key[1]}\0{row.version}\0".encode()
    hashed = hashlib.blake2b(head + row.content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed, "big")


class RowSet:
    """Immutable set of rows at one revision.

    The checksum combines the revision with the sum of the rows' digests. Applying a
    change therefore computes the digests of one row only, not of all rows.

    :param revision: revision of the last change
    :param rows: mapping from ``(table, name)`` to :class:`StoredRow`
    """

    def __init__(self, *, revision=0, rows=None, _digest_sum=None):
        self._revision = revision
        self._rows = rows or {}
        if _digest_sum is None:
            _digest_sum = sum(row_digest(key, row) for key, row in self._rows.items())
        self._digest_sum = _digest_sum % DIGEST_MODULUS

    @property
    def revision(self):
        """Revision of the last change."""
        return self._revision

    @property
    def rows(self):
        """:class:`StoredRow` by ``(table, name)``; must not be modified."""
        return self._rows

    @property
    def checksum(self):
        """Hexadecimal digest of revision and rows, independent of row order."""
        content = f"{self._revision}\0{self._digest_sum:x}".encode()
        return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()

    @classmethod
    def from_rows(cls, content):
        """Return the row set of a :class:`monsoonline.ports.RowSnapshot`."""
        rows = {
            (row.table, row.name): StoredRow(row.version, canonical_json(row.document))
            for row in content.rows
        }
        return cls(revision=content.revision, rows=rows)

    def apply(self, changes):
        """Return the row set after some changes.

        :param changes: sequence of :class:`RowChange` with consecutive revisions
        :raises RevisionGap: if a revision is missing or out of order
        """
        rows = dict(self._rows)
        revision = self._revision
        digest_sum = self._digest_sum
        for change in changes:
            if change.revision != revision + 1:
                raise RevisionGap(
                    f"got revision {change.revision} after revision {revision}, "
                    "expected the next one"
                )
            revision = change.revision
            key = (change.table, change.name)
            before = rows.pop(key, None)
            if before is not None:
                digest_sum -= row_digest(key, before)
            if change.content:
                rows[key] = StoredRow(revision, change.content)
                digest_sum += row_digest(key, rows[key])
        return RowSet(revision=revision, rows=rows, _digest_sum=digest_sum)

    def encode(self):
        """Return all rows as compressed JSON."""
        document = [
            [table, name, row.version, orjson.Fragment(row.content)]
            for (table, name), row in self._rows.items()
        ]
        return zlib.compress(orjson.dumps(document))

    @classmethod
    def decode(cls, revision, content):
        """Return the row set that was encoded by :meth:`encode`.

        :param revision: revision of the rows
        :param content: result of :meth:`encode`
        :raises ValueError: if the content is corrupt
        """
        try:
            document = orjson.loads(zlib.decompress(content))
        except zlib.error as error:
            raise ValueError(f"encoded rows are corrupt: {error}") from error
        rows = {
            (table, name): StoredRow(version, canonical_json(value))
            for table, name, version, value in document
        }
        return cls(revision=revision, rows=rows)
