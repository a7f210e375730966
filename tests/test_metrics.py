"""Tests of the metrics in the Prometheus exposition format."""

import unittest

from monsoonline.metrics import Metrics


class TestMetrics(unittest.TestCase):
    """Repeated scrapes, and several instances in one process."""

    def test_every_scrape_returns_the_current_values(self):
        """Guards against collectors of one scrape that make the next one fail."""
        metrics = Metrics()
        metrics.count("requests_total", route="quotes")
        metrics.observe("request_ms", 3.0, route="quotes")
        metrics.gauge("revision", 7)
        first = metrics.render()[0].decode()
        metrics.count("requests_total", 2, route="quotes")
        second = metrics.render()[0].decode()
        self.assertIn('monsoonline_requests_total{route="quotes"} 1', first)
        self.assertIn('monsoonline_requests_total{route="quotes"} 3', second)
        self.assertIn("monsoonline_revision 7", second)

    def test_scrapes_of_two_entries_in_one_process_are_separate(self):
        first, second = Metrics(), Metrics()
        first.count("requests_total", 5)
        second.count("requests_total", 6)
        self.assertIn("monsoonline_requests_total 5", first.render()[0].decode())
        self.assertIn("monsoonline_requests_total 6", second.render()[0].decode())
