"""Tests of the classification of upstream responses."""

import unittest

from monsoonline.core.header_names import HeaderNames
from monsoonline.core.response_classification import ResponseClass, classify_response
from monsoonline.types import Answer

NAMES = HeaderNames()
SIGNED = (NAMES.signature, "s")


class TestClassifyResponse(unittest.TestCase):
    """Guards against treating unsigned responses as trustworthy outcomes."""

    def classify(self, status, *headers):
        return classify_response(Answer(status=status, headers=headers), NAMES)

    def test_signed_success(self):
        self.assertIs(self.classify(200, SIGNED), ResponseClass.SUCCESS)

    def test_unsigned_success_is_broken(self):
        self.assertIs(self.classify(200), ResponseClass.BROKEN)

    def test_encoded_body_is_broken(self):
        encoded = ("Content-Encoding", "gzip")
        self.assertIs(self.classify(200, SIGNED, encoded), ResponseClass.BROKEN)

    def test_not_run_header_counts_for_any_status(self):
        for status in (400, 429, 503):
            with self.subTest(status=status):
                response_class = self.classify(status, (NAMES.not_run, "1"))
                self.assertIs(response_class, ResponseClass.NOT_RUN)

    def test_unsigned_not_run_status_may_have_run(self):
        """A 503 sent by an intermediary does not show that the request was not run."""
        for status in (408, 429, 503):
            with self.subTest(status=status):
                self.assertIs(self.classify(status), ResponseClass.BROKEN)

    def test_signed_not_run_status_is_broken(self):
        """A signed 503 would tell the caller that a request that ran was not run."""
        for status in (408, 429, 503):
            with self.subTest(status=status):
                self.assertIs(self.classify(status, SIGNED), ResponseClass.BROKEN)

    def test_misdirected(self):
        self.assertIs(self.classify(421), ResponseClass.MISDIRECTED)

    def test_signed_error_is_a_failure(self):
        self.assertIs(self.classify(500, SIGNED), ResponseClass.FAILURE)
