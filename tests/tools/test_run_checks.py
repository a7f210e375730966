"""Tests of the failure report of the checks."""

import unittest

from tools.run_checks import extract_failures

OUTPUT = """
  Scenario: An entry stops
    Given a deployment of 3 entries ... passed in 1.000s
    Then entry "entry-2" exits ... failed in 14.050s
ASSERT FAILED: not within 14.0 s: entry-2 exits

  Scenario: An upstream leaves
    Then it gets no work ... error in 0.100s
Traceback (most recent call last):
  File "steps.py", line 3, in gets_no_work
KeyError: 'upstream-1'
    And nothing else happens ... skipped in 0.000s
  Scenario: All is well
    Then it passes ... passed in 0.000s
"""


class TestFailures(unittest.TestCase):
    """Guards against a log, truncated to its end, that omits why a scenario failed."""

    def test_each_failed_step_comes_with_its_scenario_and_reason(self):
        self.assertEqual(
            extract_failures(OUTPUT),
            [
                "Scenario: An entry stops",
                '    Then entry "entry-2" exits ... failed in 14.050s',
                "    ASSERT FAILED: not within 14.0 s: entry-2 exits",
                "Scenario: An upstream leaves",
                "    Then it gets no work ... error in 0.100s",
                "    Traceback (most recent call last):",
                "    KeyError: 'upstream-1'",
            ],
        )

    def test_output_without_failures_adds_nothing(self):
        self.assertEqual(
            extract_failures("  Scenario: x\n    Then y ... passed in 0s"), []
        )
