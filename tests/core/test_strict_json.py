"""Tests of the decoding of JSON that other programs wrote."""

import json
import threading
import unittest

import hypothesis
from hypothesis import strategies

from monsoonline.core.strict_json import MAX_DEPTH, parse_strict_json
from monsoonline.entry.fleet_service import THREAD_STACK_BYTES

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(alphabet='[]{}"\\a\x00é'),
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(
            strategies.text(alphabet='[]{}"\\a'), children, max_size=4
        )
    ),
    max_leaves=120,
)


def nested(depth, opening=b"[", closing=b"]"):
    return opening * depth + b"1" + closing * depth


class TestStrictJson(unittest.TestCase):
    """Valid documents are decoded, and all others raise ``ValueError``."""

    @hypothesis.given(VALUES)
    def test_valid_documents_are_decoded(self, value):
        for escaped in (True, False):
            content = json.dumps(value, ensure_ascii=escaped).encode()
            self.assertEqual(parse_strict_json(content), value)

    def test_depth_is_limited_whatever_the_strings_hold(self):
        parse_strict_json(nested(MAX_DEPTH))
        for content in (
            nested(MAX_DEPTH + 1),
            nested(MAX_DEPTH + 1, b'{"a":', b"}"),
            nested(MAX_DEPTH + 1, b'["]",', b"]"),
            nested(MAX_DEPTH + 1, rb'["\"]",', b"]"),
            nested(MAX_DEPTH + 1, rb'["]\\",', b"]"),
        ):
            with self.subTest(content=content[:20]):
                json.loads(content)
                self.assertRaises(ValueError, parse_strict_json, content)

    def test_deep_nesting_does_not_exhaust_the_stack_of_a_small_thread(self):
        """Guards against a row of another writer that ends the process."""
        raised = []

        def parse():
            for opening in (b"[", b'{"a":', b'[{"a":'):
                try:
                    parse_strict_json(opening * 100_000)
                except ValueError as error:
                    raised.append(str(error))

        previous = threading.stack_size(THREAD_STACK_BYTES)
        self.addCleanup(threading.stack_size, previous)
        thread = threading.Thread(target=parse)
        thread.start()
        thread.join()
        self.assertEqual(len(raised), 3)

    def test_invalid_documents_raise_value_errors(self):
        for content in (b"", b"NaN", b"-Infinity", b"\xff", b"{", b"1 2", b"1" * 9999):
            with self.subTest(content=content[:20]):
                self.assertRaises(ValueError, parse_strict_json, content)
