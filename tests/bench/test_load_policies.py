"""Tests of the decisions that load experiments compare."""

import random
import unittest

from monsoonline.bench.load_policies import FIXED_RETURN_MS, PRESENT, policies
from monsoonline.core.placement import WorkEstimate
from monsoonline.core.request_decisions import RequestDecisions

FIELDS = ("search", "crowding", "turning_away", "hedge_timer")
CROWD = {
    "goal_left_ms": 400.0,
    "time_left_ms": 2_000.0,
    "has_room": False,
    "crowded": True,
}


def decisions(name):
    return policies.get(name)(random.Random(1))


class TestPolicies(unittest.TestCase):
    """Each policy changes one decision."""

    def test_present_is_what_entries_use(self):
        used, present = RequestDecisions(), decisions(PRESENT)
        for field in FIELDS:
            self.assertIs(getattr(present, field), getattr(used, field))

    def test_others_change_one_decision_each(self):
        """A figure of two changes would tell nothing about either."""
        present = decisions(PRESENT)
        for name in set(policies.names) - {PRESENT}:
            other = decisions(name)
            changed = [
                field
                for field in FIELDS
                if getattr(other, field) is not getattr(present, field)
            ]
            self.assertEqual(len(changed), 1, f"{name} changes {changed}")

    def test_send_all_sends_late_requests_in_a_crowd(self):
        self.assertFalse(decisions(PRESENT).turning_away.admits(900.0, **CROWD))
        send_all = decisions("send-all").turning_away
        self.assertTrue(send_all.admits(900.0, **CROWD))
        self.assertFalse(send_all.admits(1_700.0, **CROWD))

    def test_fixed_return_does_not_depend_on_the_load(self):
        turning_away = decisions("fixed-return").turning_away()
        self.assertEqual(turning_away.retry_after_ms(None), FIXED_RETURN_MS)
        self.assertEqual(turning_away.retry_after_ms(200.0), FIXED_RETURN_MS)

    def test_one_round_asks_two_upstreams_once(self):
        search = decisions("one-round").search(near=[1, 2, 3], far=[], room=None)
        self.assertEqual(search.next_states(None), [1, 2])
        self.assertEqual(search.next_states(object()), [])

    def test_equal_room_keeps_no_slot(self):
        crowding = decisions("equal-room").crowding()
        for _ in range(30):
            crowding.note_search(False)
            crowding.observe(1.0, used_share=0.5)
            crowding.observe(2.0, used_share=1.0)
        self.assertEqual(crowding.room_for(urgent=False).usable(4), 4)

    def test_second_attempts_in_a_crowd(self):
        wants = {}
        for name in (PRESENT, "no-second-attempts", "eager-second-attempts"):
            work = WorkEstimate(goal_ms=400.0)
            work.observe(160.0, pace=1.0)
            timer = decisions(name).hedge_timer(
                goal_at=400.0, sent_at=0.0, expected_ms=160.0, work=work, pace=1.0
            )
            wants[name] = timer.wants(80.0, pace=7.0, crowded=True)
        self.assertEqual(
            wants,
            {
                PRESENT: False,
                "no-second-attempts": False,
                "eager-second-attempts": True,
            },
        )
