"""Tests of the decisions that load experiments compare."""

import random
import unittest

from monsoonline.bench.load_policies import FIXED_RETURN_MS, PRESENT, policies
from monsoonline.core.placement import ServiceTimeEstimate
from monsoonline.core.request_decisions import RequestDecisions

FIELDS = ("search", "overload_detector", "load_shedder", "hedge_timer")
CROWD = {
    "objective_left_ms": 400.0,
    "time_left_ms": 2_000.0,
    "has_free_slot": False,
    "overloaded": True,
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
        self.assertFalse(decisions(PRESENT).load_shedder.admits(900.0, **CROWD))
        send_all = decisions("send-all").load_shedder
        self.assertTrue(send_all.admits(900.0, **CROWD))
        self.assertFalse(send_all.admits(1_700.0, **CROWD))

    def test_fixed_return_does_not_depend_on_the_load(self):
        turning_away = decisions("fixed-return").load_shedder()
        self.assertEqual(turning_away.retry_after_ms(None), FIXED_RETURN_MS)
        self.assertEqual(turning_away.retry_after_ms(200.0), FIXED_RETURN_MS)

    def test_one_round_asks_two_upstreams_once(self):
        search = decisions("one-round").search(
            local=[1, 2, 3], remote=[], allowance=None
        )
        self.assertEqual(search.next_states(None), [1, 2])
        self.assertEqual(search.next_states(object()), [])

    def test_equal_room_keeps_no_slot(self):
        crowding = decisions("equal-room").overload_detector()
        for _ in range(30):
            crowding.record_search(False)
            crowding.observe(1.0, used_share=0.5)
            crowding.observe(2.0, used_share=1.0)
        self.assertEqual(crowding.slot_allowance(urgent=False).usable(4), 4)

    def test_second_attempts_in_a_crowd(self):
        wants = {}
        for name in (PRESENT, "no-second-attempts", "eager-second-attempts"):
            work = ServiceTimeEstimate(objective_ms=400.0)
            work.observe(160.0, slowdown=1.0)
            timer = decisions(name).hedge_timer(
                objective_at=400.0,
                sent_at=0.0,
                expected_ms=160.0,
                service_time=work,
                slowdown=1.0,
            )
            wants[name] = timer.should_hedge(80.0, slowdown=7.0, overloaded=True)
        self.assertEqual(
            wants,
            {
                PRESENT: False,
                "no-second-attempts": False,
                "eager-second-attempts": True,
            },
        )
