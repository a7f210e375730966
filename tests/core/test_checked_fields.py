"""Tests of the field validation that collects all findings."""

import unittest

from monsoonline.core.checked_fields import CheckedFields
from monsoonline.errors import FindingsError


class TestCheckedFields(unittest.TestCase):
    """One pass reports every invalid field of a document with its path."""

    def fields(self, document):
        return CheckedFields(document, place="file.json")

    def test_all_findings_are_raised_together_with_path_and_value(self):
        fields = self.fields({"a": 3, "b": {"c": "soon"}, "rows": [{"w": "x"}]})
        fields.string("a")
        fields.child("b").duration_ms("c")
        for row in fields.children("rows"):
            row.number("w")
        with self.assertRaises(FindingsError) as caught:
            fields.finish()
        found = [(f.path, f.value) for f in caught.exception.findings]
        self.assertEqual(found, [("a", 3), ("b.c", "soon"), ("rows[0].w", "x")])

    def test_durations_are_converted_to_milliseconds(self):
        fields = self.fields({"a": "1500ms", "b": "2.5s"})
        self.assertEqual(fields.duration_ms("a"), 1_500.0)
        self.assertEqual(fields.duration_ms("b"), 2_500.0)
        fields.finish()

    def test_valid_duration_with_many_digits_is_refused(self):
        """Guards against a computed time that keeps a whole configuration out."""
        texts = {
            "990.0000000000001ms": 990.0000000000001,
            "0.1234567890123456s": 123.4567890123456,
            "1e-05s": 0.01,
            "2.5E+2ms": 250.0,
            "00000000001500ms": 1_500.0,
            "9" * 200 + "s": 2.0**31 - 1,
        }
        for text, expected_ms in texts.items():
            with self.subTest(text):
                fields = self.fields({"a": text})
                self.assertAlmostEqual(fields.duration_ms("a"), expected_ms)
                fields.finish()
        for text in ("1,5s", "-1s", "+1s", "1 s", "s", "nans", "infs", "1e400s", "1.s"):
            with self.subTest(text):
                fields = self.fields({"a": text})
                fields.duration_ms("a")
                self.assertEqual([f.value for f in fields.findings], [text])

    def test_default_replaces_missing_fields_but_not_invalid_ones(self):
        fields = self.fields({"bad": "x"})
        self.assertEqual(fields.integer("missing", default=7), 7)
        fields.integer("bad", default=7)
        self.assertEqual(len(fields.findings), 1)

    def test_documents_and_fields_that_are_not_objects_are_findings(self):
        fields = self.fields([1])
        fields.child("x")
        list(self.fields({"rows": {}}).children("rows"))
        self.assertEqual([f.path for f in fields.findings], [".", "x"])

    def test_booleans_are_not_numbers_and_fractions_not_integers(self):
        fields = self.fields({"a": True, "b": 1.5})
        fields.number("a")
        fields.integer("b")
        self.assertEqual([f.path for f in fields.findings], ["a", "b"])
