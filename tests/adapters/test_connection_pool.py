"""Tests of the connection pool of one upstream."""

import unittest
from unittest import mock

from monsoonline.adapters import connection_pool
from monsoonline.adapters.connection_pool import ConnectionPool, FirstByteTimeout
from monsoonline.clock import ManualClock


class TestConnectionPool(unittest.TestCase):
    """Reuse of idle connections."""

    def setUp(self):
        self.clock = ManualClock()
        self.events = []
        self.pool = ConnectionPool(
            address="127.0.0.1:1", clock=self.clock, limit=3, count=self.events.append
        )
        reusable = mock.patch.object(
            connection_pool.UpstreamConnection, "reusable", True
        )
        reusable.start()
        self.addCleanup(reusable.stop)

    def test_non_idempotent_request_needs_a_recently_used_connection(self):
        """Guards against sending a booking on a connection that the peer has dropped.

        Its outcome would be unknown, and it could not be retried.
        """
        connection = self.pool.checkout(idempotent=True)
        self.pool.check_in(connection)
        self.clock.advance(connection_pool.NON_IDEMPOTENT_IDLE_LIMIT_MS + 1)
        self.assertIs(self.pool.checkout(idempotent=True), connection)
        self.pool.check_in(connection)
        self.assertIs(self.pool.checkout(idempotent=False), connection)
        self.pool.check_in(connection)
        self.clock.advance(connection_pool.NON_IDEMPOTENT_IDLE_LIMIT_MS + 1)
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

    def test_held_connections_are_not_taken(self):
        connection = self.pool.checkout(idempotent=True)
        self.pool.check_in(connection)
        self.clock.advance(1)
        self.pool.hold_idle()
        other = self.pool.checkout(idempotent=True)
        self.assertIsNot(other, connection)
        self.pool.end_hold(close=False)
        self.assertIs(self.pool.checkout(idempotent=True), connection)


class TestFirstByteTimeout(unittest.TestCase):
    """The timeout adapts to the response times of the upstream."""

    def test_timeout_follows_observed_times(self):
        """Guards against retrying each request to a slow but steady upstream."""
        timeout = FirstByteTimeout()
        for _ in range(50):
            timeout.observe(300.0)
        self.assertGreater(timeout.timeout_ms, 300.0)
        for _ in range(100):
            timeout.observe(1.0)
        self.assertEqual(timeout.timeout_ms, connection_pool.MIN_TIMEOUT_MS)

    def test_backs_off_and_recovers(self):
        timeout = FirstByteTimeout()
        timeout.observe(1.0)
        before = timeout.timeout_ms
        timeout.back_off()
        self.assertEqual(timeout.timeout_ms, 2 * before)
        for _ in range(10):
            timeout.observe(1.0)
        self.assertEqual(timeout.timeout_ms, before)
