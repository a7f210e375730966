"""Tests of request limits that upstreams name, over complete entries."""

import concurrent.futures
import time
import unittest

from tests.entry.test_fleet_service import FleetTest, eventually

# The rule counts from this time after an upstream first named its limit, in s.
COUNTED_AFTER_S = 3.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5


def most_in_window(times, *, since):
    """Return the largest number of times in any window of ``WINDOW_S``."""
    counted = [t for t in times if t >= since]
    return max(
        (sum(start <= t < start + WINDOW_S for t in counted) for start in counted),
        default=0,
    )


class TestRequestLimit(FleetTest):
    """The requests of all entries together stay within an upstream's limit."""

    def setUp(self):
        super().setUp()
        self.start_entries(2)

    def start_entries(self, count):
        started = [self.start(f"more{number}") for number in range(count)]
        self.entries += started
        for entry in started:
            self.assertTrue(eventually(lambda entry=entry: entry.ready))

    def send_for(self, seconds, *, interval_s=0.04):
        """Send requests to the entries in turn; return their statuses."""
        statuses = []
        deadline = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(max_workers=8) as executor:
            number = 0
            while time.monotonic() < deadline:
                number += 1
                statuses.append(
                    executor.submit(self.status, number % len(self.settings))
                )
                time.sleep(interval_s)
        return [status.result() for status in statuses]

    def test_upstream_gets_more_requests_than_its_limit(self):
        self.target.limit = "1"
        named_at = time.monotonic()
        self.send_for(COUNTED_AFTER_S + WINDOW_S + 1.0)
        counted_from = named_at + COUNTED_AFTER_S
        allowed = ALLOWED_RATIO * WINDOW_S * float(self.target.limit) + ALLOWED_EXTRA
        most = most_in_window(self.target.executed_at, since=counted_from)
        self.assertLessEqual(most, allowed)
        self.assertGreaterEqual(most, 2)


if __name__ == "__main__":
    unittest.main()
