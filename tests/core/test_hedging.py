"""Tests of the timing of hedges."""

import random
import unittest

from monsoonline.core.hedging import CHECK_INTERVAL_MS, HedgeTimer
from monsoonline.core.placement import ServiceTimeEstimate

OBJECTIVE_MS = 400.0
SERVICE_TIME_MS = 160.0
SLOWDOWN_DURATION_MS = 500.0
SLOWDOWN = 7.0
SLOW_SHARE = 0.25


def measured(service_time_ms=SERVICE_TIME_MS):
    service_time = ServiceTimeEstimate(objective_ms=OBJECTIVE_MS)
    service_time.observe(service_time_ms, slowdown=1.0)
    return service_time


def make_timer(*, service_time=None, expected_ms=SERVICE_TIME_MS, slowdown=1.0):
    return HedgeTimer(
        objective_at=OBJECTIVE_MS,
        sent_at=0.0,
        expected_ms=expected_ms,
        service_time=service_time or measured(),
        slowdown=slowdown,
    )


class TestHedgeTimer(unittest.TestCase):
    """Guards against hedges that start too late or only cost slots."""

    def test_hedges_early_after_the_upstream_slowed_down(self):
        timer = make_timer()
        self.assertTrue(timer.should_hedge(80.0, slowdown=SLOWDOWN, overloaded=False))
        self.assertFalse(timer.should_hedge(80.0, slowdown=1.1, overloaded=False))

    def test_overloaded_pool_leaves_slots_to_first_attempts(self):
        """Hedges in an overloaded pool made other requests late or refused."""
        timer = make_timer()
        self.assertFalse(timer.should_hedge(80.0, slowdown=SLOWDOWN, overloaded=True))
        self.assertFalse(timer.should_hedge(300.0, slowdown=SLOWDOWN, overloaded=True))
        self.assertTrue(timer.should_hedge(1_200.0, slowdown=SLOWDOWN, overloaded=True))
        timer.schedule_check(200.0, overloaded=True)
        self.assertGreater(timer.check_at, 200.0 + 2 * CHECK_INTERVAL_MS)

    def test_overdue_attempt_is_hedged_at_any_reported_slowdown(self):
        self.assertTrue(
            make_timer().should_hedge(200.0, slowdown=1.0, overloaded=False)
        )

    def test_no_hedge_if_it_cannot_meet_the_objective(self):
        """A hedge that misses the latency objective as well only costs slots."""
        timer = make_timer(service_time=measured(350.0), expected_ms=350.0)
        self.assertFalse(timer.should_hedge(100.0, slowdown=SLOWDOWN, overloaded=False))

    def test_slowdown_is_ignored_while_service_time_is_unmeasured(self):
        timer = make_timer(service_time=ServiceTimeEstimate(objective_ms=OBJECTIVE_MS))
        self.assertGreater(timer.check_at, OBJECTIVE_MS / 2)
        self.assertFalse(timer.should_hedge(100.0, slowdown=SLOWDOWN, overloaded=False))

    def test_checks_again_after_a_failed_search(self):
        """Without further checks the request stayed with its slow upstream."""
        timer = make_timer()
        timer.schedule_check(200.0, overloaded=False)
        self.assertEqual(timer.check_at, 200.0 + CHECK_INTERVAL_MS)
        timer.schedule_check(380.0, overloaded=False)
        self.assertGreater(timer.check_at, 500.0)

    def test_replay_of_slowdowns_meets_the_objective_more_often(self):
        """Simulates upstreams whose slowdown changes at random every half second."""
        late_share_by_time = self.replay_late_share(by_slowdown=False)
        late_share_by_slowdown = self.replay_late_share(by_slowdown=True)
        self.assertLess(late_share_by_slowdown, 0.8 * late_share_by_time)

    @staticmethod
    def replay_late_share(*, by_slowdown):
        """Return the share of late responses; hedges run at the usual speed."""
        generator = random.Random(1)
        late, count = 0, 4_000
        for _ in range(count):
            service_time_ms = SERVICE_TIME_MS * generator.lognormvariate(-0.045, 0.3)
            changes_at = generator.uniform(0.0, SLOWDOWN_DURATION_MS)
            slow = generator.random() < SLOW_SHARE
            end = changes_at + (service_time_ms - changes_at) * (
                SLOWDOWN if slow else 1.0
            )
            first_end = service_time_ms if service_time_ms <= changes_at else end
            timer = make_timer()
            now, hedge_end = 0.0, float("inf")
            while now < first_end:
                now = max(now + 1.0, timer.check_at)
                detected = slow and now > changes_at + 60.0
                if timer.should_hedge(
                    now,
                    slowdown=SLOWDOWN if by_slowdown and detected else 1.0,
                    overloaded=False,
                ):
                    hedge_end = now + SERVICE_TIME_MS * generator.lognormvariate(
                        -0.045, 0.3
                    )
                    break
                timer.schedule_check(now, overloaded=False)
            late += min(first_end, hedge_end) > OBJECTIVE_MS
        return late / count
