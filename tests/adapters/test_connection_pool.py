"""Tests of the connections to one upstream."""

import unittest
from unittest import mock

from monsoonline.adapters import connection_pool
from monsoonline.adapters.connection_pool import ConnectionPool, ProbeTimeout
from monsoonline.clock import ManualClock


class TestConnectionPool(unittest.TestCase):
    """Which idle connections may be used."""

    def setUp(self):
        self.clock = ManualClock()
        self.events = []
        self.pool = ConnectionPool(
            address="127.0.0.1:1", clock=self.clock, limit=3, count=self.events.append
        )
        quiet = mock.patch.object(connection_pool.UpstreamConnection, "quiet", True)
        quiet.start()
        self.addCleanup(quiet.stop)

    def test_booking_needs_a_recent_proof(self):
        """A booking must not meet a connection that its peer may have dropped."""
        connection = self.pool.checkout(idempotent=True)
        self.pool.check_in(connection)
        self.clock.advance(connection_pool.PROOF_AGE_MS + 1)
        self.assertIs(self.pool.checkout(idempotent=True), connection)
        self.pool.check_in(connection)
        self.assertIs(self.pool.checkout(idempotent=False), connection)
        self.pool.check_in(connection)
        self.clock.advance(connection_pool.PROOF_AGE_MS + 1)
        self.assertIsNot(self.pool.checkout(idempotent=False), connection)

    def test_idle_and_age_limits(self):
        connection = self.pool.checkout(idempotent=True)
        self.pool.check_in(connection)
        self.clock.advance(connection_pool.IDLE_LIMIT_MS + 1)
        second = self.pool.checkout(idempotent=True)
        self.assertIsNot(second, connection)
        self.clock.advance(connection_pool.AGE_LIMIT_MS + 1)
        self.pool.check_in(second)
        self.assertIsNot(self.pool.checkout(idempotent=True), second)
        self.assertEqual(self.events, ["opened", "idle", "opened", "age", "opened"])

    def test_suspect_connections_wait_for_the_verdict(self):
        connection = self.pool.checkout(idempotent=True)
        self.pool.check_in(connection)
        self.clock.advance(1)
        self.pool.suspect()
        other = self.pool.checkout(idempotent=True)
        self.assertIsNot(other, connection)
        self.pool.resolve(close=False)
        self.assertIs(self.pool.checkout(idempotent=True), connection)


class TestProbeTimeout(unittest.TestCase):
    """The timeout follows the upstream's own answers."""

    def test_follows_slow_upstreams(self):
        """A slow but steady upstream must not be probed on each request."""
        probe = ProbeTimeout()
        for _ in range(50):
            probe.observe(300.0)
        self.assertGreater(probe.timeout_ms, 300.0)
        for _ in range(100):
            probe.observe(1.0)
        self.assertEqual(probe.timeout_ms, connection_pool.SHORTEST_PROBE_MS)

    def test_backs_off_and_recovers(self):
        probe = ProbeTimeout()
        probe.observe(1.0)
        before = probe.timeout_ms
        probe.back_off()
        self.assertEqual(probe.timeout_ms, 2 * before)
        for _ in range(10):
            probe.observe(1.0)
        self.assertEqual(probe.timeout_ms, before)
