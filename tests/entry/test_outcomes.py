"""Tests of what the responses of upstreams say."""

import unittest

from monsoonline.entry.outcomes import parse_load_header
from monsoonline.types import LoadReport


class TestLoadHeader(unittest.TestCase):
    """A load report is read strictly."""

    def test_load_report(self):
        report = LoadReport(in_flight=2, slots=3, queued=1)
        self.assertEqual(parse_load_header("in-flight=2; slots=3; queued=1"), report)
        self.assertEqual(parse_load_header("slots=3;in-flight=2").queued, 0)

    def test_number_with_a_sign_is_read_as_a_load(self):
        """Guards against a faulty upstream that seems to be less than idle."""
        for value in ("-5", "+1", "1_0", "", " 1", "\u0661", "9" * 5_000, "1e400"):
            for text in (
                f"in-flight={value}; slots=3; queued=0",
                f"in-flight=0; slots={value}; queued=0",
                f"in-flight=0; slots=3; queued={value}",
            ):
                with self.subTest(text[:60]):
                    self.assertIsNone(parse_load_header(text))
        for text in ("", "in-flight", "slots=3; queued=0"):
            with self.subTest(text):
                self.assertIsNone(parse_load_header(text))
