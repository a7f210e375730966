"""Tests of the order of request limits and of their values."""

import unittest

from monsoonline.core.upstream_limits import (
    LimitObservation,
    UpstreamLimit,
    parse_limits,
)


def named(limit, sent_at, received_at):
    return LimitObservation(limit=limit, sent_at=sent_at, received_at=received_at)


class TestUpstreamLimit(unittest.TestCase):
    """Observations are ordered by cause and effect, not by arrival."""

    def after(self, *observations):
        limit = UpstreamLimit()
        for observation in observations:
            limit.observe(observation)
        return limit.value

    def test_newer_response_raises_and_ends_a_limit(self):
        first = named(1.0, 0, 10)
        self.assertEqual(self.after(first, named(5.0, 10, 20)), 5.0)
        self.assertIsNone(self.after(first, named(None, 10, 20)))

    def test_response_that_was_overtaken_does_not_end_the_limit(self):
        self.assertEqual(self.after(named(1.0, 5, 10), named(None, 4, 11)), 1.0)
        self.assertEqual(self.after(named(1.0, 5, 10), named(3.0, 9, 11)), 1.0)

    def test_older_response_of_a_peer_does_not_replace_a_newer_one(self):
        self.assertIsNone(
            self.after(named(1.0, 0, 5), named(None, 10, 20), named(1.0, 1, 9))
        )

    def test_stricter_of_two_unordered_responses_applies(self):
        self.assertEqual(self.after(named(4.0, 0, 10), named(2.0, 5, 8)), 2.0)

    def test_repeated_limit_must_be_ended_by_a_response_after_its_last(self):
        twice = (named(1.0, 0, 5), named(1.0, 2, 30))
        self.assertEqual(self.after(*twice, named(None, 20, 40)), 1.0)
        self.assertIsNone(self.after(*twice, named(None, 30, 40)))

    def test_upstream_without_a_limit_keeps_no_observation(self):
        limit = UpstreamLimit()
        self.assertFalse(limit.observe(named(None, 0, 5)))
        self.assertIsNone(limit.observation)


class TestParseLimits(unittest.TestCase):
    """A limit is a number from outside."""

    def test_decimal_numbers(self):
        for text, limit in (
            ("1.7", 1.7),
            (" 4 ", 4.0),
            ("0", 0.0),
            ("-0", 0.0),
            (".5", 0.5),
            ("1e-3", 0.001),
        ):
            self.assertEqual(parse_limits([text]), (limit, None), text)

    def test_lowest_of_several_values_applies(self):
        self.assertEqual(parse_limits(["3", "1.5"]), (1.5, None))
        self.assertEqual(parse_limits(["2, 1"]), (1.0, None))
        self.assertEqual(parse_limits(["x", "1.5"]), (1.5, "x"))

    def test_unreadable_values_are_no_limit(self):
        for text in ("", "-1", "nan", "inf", "1_0", "0x1", "1.2.3", "\u0661"):
            self.assertEqual(parse_limits([text]), (None, text), text)

    def test_number_too_large_for_a_float_is_no_limit(self):
        self.assertEqual(parse_limits(["1e400"]), (None, None))
        self.assertEqual(parse_limits([]), (None, None))


if __name__ == "__main__":
    unittest.main()
