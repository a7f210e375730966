"""Tests of the row set: changes, checksum and encoding."""

import unittest

from monsoonline.core.rows import RevisionGap, RowChange, RowSet


def change(revision, name, content):
    return RowChange(revision=revision, table="pools", name=name, content=content)


class TestRowSet(unittest.TestCase):
    """Row sets with two rows of one table."""

    def setUp(self):
        changes = [change(1, "a", b'{"x":1}'), change(2, "b", b'{"x":2}')]
        self.rows = RowSet().apply(changes)

    def test_incremental_checksum_equals_that_of_the_complete_rows(self):
        """Guards against a checksum that depends on the history of the rows."""
        later = [change(3, "a", b""), change(4, "b", b'{"x":5}')]
        rows = self.rows.apply(later)
        decoded = RowSet.decode(rows.revision, rows.encode())
        self.assertEqual(rows.checksum, decoded.checksum)
        self.assertEqual(list(decoded.rows), [("pools", "b")])
        self.assertNotEqual(rows.checksum, self.rows.checksum)

    def test_missing_and_repeated_revisions_raise(self):
        self.assertRaises(RevisionGap, self.rows.apply, [change(4, "c", b"{}")])
        self.assertRaises(RevisionGap, self.rows.apply, [change(2, "c", b"{}")])

    def test_corrupt_encoding_raises(self):
        self.assertRaises(ValueError, RowSet.decode, 2, self.rows.encode()[:-3])
