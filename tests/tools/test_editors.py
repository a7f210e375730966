"""Tests that the comparison of edits with the history detects each difference."""

import types
import unittest

from tools.fleet.editors import Edit, compare_history


def edit(number, revision, accepted=True):
    """Return an edit of one row with the given outcome."""
    outcome = types.SimpleNamespace(
        change_id=f"edit-{number}", revision=revision, accepted=accepted
    )
    return Edit(name="row", document={"number": number}, outcome=outcome)


def record(number, revision, before):
    """Return the change record of an edit."""
    write = {
        "key": "row",
        "value": {"number": number},
        "before": before,
        "version": revision,
    }
    return {"id": f"edit-{number}", "revision": revision, "writes": [write]}


class TestCompareHistory(unittest.TestCase):
    """Lost, duplicated, reordered and overwritten edits are each counted."""

    def setUp(self):
        self.edits = [edit(1, 5), edit(2, 6), edit(3, 7, accepted=False)]
        self.history = [record(1, 5, 0), record(2, 6, 5)]

    def differences(self):
        counts = compare_history(self.edits, self.history)
        return {name: count for name, count in counts.items() if count}

    def test_equal_history_has_no_difference(self):
        self.assertEqual(self.differences(), {})

    def test_accepted_edit_that_is_missing_is_lost(self):
        del self.history[1]
        self.assertEqual(
            self.differences(),
            {"lost": 1, "wrong revision or content": 1, "order differs": 1},
        )

    def test_conflicting_edit_in_the_history_is_found(self):
        self.history.append(record(3, 7, 6))
        self.assertEqual(
            self.differences(), {"not accepted but stored": 1, "order differs": 1}
        )

    def test_edit_applied_twice_is_found(self):
        self.history.append(record(2, 7, 6))
        self.assertIn("twice", self.differences())

    def test_silent_overwrite_is_a_broken_chain(self):
        self.history[1]["writes"][0]["before"] = 0
        self.assertEqual(self.differences(), {"broken chains": 1})

    def test_content_of_another_edit_is_found(self):
        self.history[0]["writes"][0]["value"] = {"number": 2}
        self.assertEqual(self.differences(), {"wrong revision or content": 1})
