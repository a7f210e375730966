"""The rows of both tables at one revision, with an incremental checksum."""

import dataclasses
import hashlib
import zlib

import orjson

from monsoonline.errors import MonsoonlineError

__all__ = ["RevisionGap", "RowChange", "RowSet", "StoredRow", "row_change_of"]

DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class RevisionGap(MonsoonlineError):
    """Changes do not follow the revision to which they are applied."""

    default_code = "revision-gap"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """What one change did to one row.

    :param revision: revision of the change
    :param table: ``routes`` or ``pools``
    :param name: name of the row
    :param content: the row as canonical JSON, empty where it was deleted
    """

    revision: int
    table: str
    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row in its compact form.

    :param version: revision of the change that wrote it
    :param content: canonical JSON
    """

    version: int
    content: bytes


def canonical(document):
    """Return JSON bytes that are equal for equal documents."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def row_change_of(change):
    """Return the :class:`RowChange` of a :class:`monsoonline.ports.Change`."""
    proposal = change.proposal
    content = b"" if proposal.document is None else canonical(proposal.document)
    return RowChange(
        revision=change.revision,
        table=proposal.table,
        name=proposal.name,
        content=content,
    )


def digest(identity, row):
    """Return the digest of a row as a number."""
    head = f"{identity[0]}\0{identity[1]}\0{row.version}\0".encode()
    hashed = hashlib.blake2b(head + row.content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed, "big")


class RowSet:
    """Rows at one revision; never changed once made.

    The checksum combines the revision with the sum of the rows' digests, so that a
    change costs the digests of one row instead of those of all rows.

    :param revision: the revision
    :param rows: :class:`StoredRow` by table and name
    """

    def __init__(self, *, revision=0, rows=None, _total=None):
        self._revision = revision
        self._rows = rows or {}
        if _total is None:
            _total = sum(digest(key, row) for key, row in self._rows.items())
        self._total = _total % DIGEST_MODULUS

    @property
    def revision(self):
        """Revision of the last change."""
        return self._revision

    @property
    def rows(self):
        """:class:`StoredRow` by ``(table, name)``; not to be changed."""
        return self._rows

    @property
    def checksum(self):
        """Hexadecimal digest of revision and rows, independent of row order."""
        content = f"{self._revision}\0{self._total:x}".encode()
        return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()

    @classmethod
    def of_rows(cls, content):
        """Return the row set of a :class:`monsoonline.ports.RowsAt`."""
        rows = {
            (row.table, row.name): StoredRow(row.version, canonical(row.document))
            for row in content.rows
        }
        return cls(revision=content.revision, rows=rows)

    def apply(self, changes):
        """Return the rows after some changes.

        :param changes: :class:`RowChange` with the next revisions without a gap
        :raises RevisionGap: when a revision is missing or out of order
        """
        rows = dict(self._rows)
        revision = self._revision
        total = self._total
        for change in changes:
            if change.revision != revision + 1:
                raise RevisionGap(
                    f"change of revision {change.revision} after revision {revision}"
                )
            revision = change.revision
            key = (change.table, change.name)
            before = rows.pop(key, None)
            if before is not None:
                total -= digest(key, before)
            if change.content:
                rows[key] = StoredRow(revision, change.content)
                total += digest(key, rows[key])
        return RowSet(revision=revision, rows=rows, _total=total)

    def encode(self):
        """Return all rows as compressed JSON."""
        document = [
            [table, name, row.version, orjson.Fragment(row.content)]
            for (table, name), row in self._rows.items()
        ]
        return zlib.compress(orjson.dumps(document))

    @classmethod
    def decode(cls, revision, content):
        """Return the row set of :meth:`encode`.

        :raises ValueError: when the content is damaged
        """
        try:
            document = orjson.loads(zlib.decompress(content))
        except zlib.error as error:
            raise ValueError(f"damaged rows: {error}") from error
        rows = {
            (table, name): StoredRow(version, canonical(value))
            for table, name, version, value in document
        }
        return cls(revision=revision, rows=rows)
