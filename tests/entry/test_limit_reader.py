"""Tests of reading request limits from responses."""

import unittest

from monsoonline.clock import ManualClock
from monsoonline.core.registrations import Registration
from monsoonline.core.upstream_view import UpstreamState
from monsoonline.entry.limit_reader import LimitReader
from monsoonline.metrics import Metrics
from monsoonline.types import Answer
from tests.entry.target_fixture import NAMES


class TestLimitReader(unittest.TestCase):
    """Limits of responses are recorded, and their changes logged and counted."""

    def setUp(self):
        self.clock = ManualClock()
        self.reader = LimitReader(clock=self.clock, names=NAMES, metrics=Metrics())
        self.state = UpstreamState(
            registration=Registration(
                instance="i1", pool="p", address="a:1", failure_domain="a", slots=3
            )
        )

    def read(self, *values, name=NAMES.limit):
        sent_at = self.clock.now()
        self.clock.advance(1.0)
        headers = tuple((name, value) for value in values)
        answer = Answer(status=200, headers=headers)
        return self.reader.read(self.state, answer, sent_at=sent_at)

    def test_case_of_the_header_name_is_ignored(self):
        self.assertEqual(self.read("2", name=NAMES.limit.upper()), 2.0)
        self.assertEqual(self.state.limit.value, 2.0)

    def test_response_without_the_header_ends_the_limit(self):
        self.read("2")
        self.assertIsNone(self.read())
        self.assertIsNone(self.state.limit.value)

    def test_limit_that_changes_with_each_response_is_logged_once_a_second(self):
        with self.assertLogs("monsoonline.entry.limit_reader") as logs:
            for number in range(500):
                self.read(str(1 + number % 7))
        self.assertLessEqual(len(logs.records), 1)

    def test_unreadable_value_is_logged_once_for_an_upstream(self):
        with self.assertLogs("monsoonline.entry.limit_reader") as logs:
            for _ in range(3):
                self.read("x" * 100)
        self.assertEqual(len(logs.records), 1)
        self.assertLess(len(logs.records[0].value), 50)


if __name__ == "__main__":
    unittest.main()
