"""Tests of request limits that upstreams name, over complete entries."""

import concurrent.futures
import time
import unittest

from monsoonline.core.permits import owner_order
from tests.entry.test_fleet_service import FleetTest, eventually, send_request

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

    def test_limited_upstream_is_probed_only_for_permitted_requests(self):
        self.target.limit = "1"
        self.send_for(0.5)
        known_from = time.monotonic() + 0.5
        self.send_for(3.0)
        probes = sum(t >= known_from for t in self.target.probed_at)
        self.assertLessEqual(probes, 3 * 2 + 2)

    def test_end_of_a_limit_of_zero_reaches_all_entries(self):
        self.target.limit = "0"
        statuses = self.send_for(1.5)
        self.assertIn(503, statuses)
        self.target.limit = None
        self.assertTrue(
            eventually(
                lambda: all(self.status(n) == 200 for n in range(len(self.settings))),
                within_s=4.0,
            )
        )

    def test_refusal_for_a_limit_is_immediate_and_says_when_to_return(self):
        self.target.limit = "0.5"
        self.send_for(1.0)
        address = self.settings[0].listeners.callers
        delays = []
        for _ in range(6):
            started = time.monotonic()
            status, _, headers = send_request(address, "/a/1")
            if status == 503:
                self.assertLess(time.monotonic() - started, 0.1)
                delays.append(float(headers["Retry-After"]))
        self.assertGreaterEqual(len(delays), 3)
        self.assertEqual(delays, sorted(delays))
        self.assertGreater(delays[-1], 2.0)

    def test_next_entry_takes_over_when_the_owner_is_gone(self):
        self.target.limit = "4"
        self.send_for(1.0)
        owner = owner_order("i1", [s.name for s in self.settings], 1)[0]
        number = [s.name for s in self.settings].index(owner)
        # Closing without a graceful stop is like the end of the process.
        self.entries[number].close()
        del self.settings[number]
        closed_at = time.monotonic()
        self.send_for(4.5)
        served = sum(t >= closed_at for t in self.target.executed_at)
        self.assertGreaterEqual(served, 8)
        allowed = ALLOWED_RATIO * WINDOW_S * 4 + ALLOWED_EXTRA
        most = most_in_window(self.target.executed_at, since=closed_at)
        self.assertLessEqual(most, allowed)


if __name__ == "__main__":
    unittest.main()
