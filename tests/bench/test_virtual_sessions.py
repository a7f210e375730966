"""Tests of sessions to fake upstreams in virtual time."""

import select
import unittest

from monsoonline.adapters.upstream_sessions import Probe, SessionFailed
from monsoonline.bench.timeline import Timeline
from monsoonline.bench.upstreams import FakeUpstream
from monsoonline.bench.virtual_sessions import (
    NAMES,
    VirtualNetwork,
    VirtualSessionPool,
    format_load,
    parse_load,
)
from monsoonline.types import LoadReport, Request

ADDRESS = "10.0.0.1:8000"
DELAY_MS = 2.0
PROBE = Probe(path="/health", names=NAMES)


class TestVirtualSession(unittest.TestCase):
    """A session behaves as one over sockets does."""

    def setUp(self):
        self.timeline = Timeline()
        self.upstream = FakeUpstream(
            timeline=self.timeline,
            address=ADDRESS,
            failure_domain="a",
            slots=1,
            queue_limit=0,
            restart_ms=1.0,
        )
        network = VirtualNetwork(
            timeline=self.timeline,
            sockets={},
            upstreams={ADDRESS: self.upstream},
            delay_ms=lambda upstream: DELAY_MS,
        )
        self.pool = VirtualSessionPool(network=network, clock=self.timeline)

    def connected(self):
        session = self.pool.checkout(ADDRESS)
        session.begin_connect()
        self.timeline.run(self.timeline.now() + 2 * DELAY_MS)
        session.end_connect()
        return session

    def send(self, session, number):
        request = Request(
            method="GET", host="h", target="/", body=f"{number} 50.0".encode()
        )
        session.send_request(request, headers=(), deadline=1e9)

    def read(self, session):
        return session.read_request(None, None)

    def test_load_is_read_as_it_was_written(self):
        report = LoadReport(in_flight=3, slots=4, queued=2, pace=1.5)
        self.assertEqual(parse_load(format_load(report)), report)

    def test_connecting_takes_a_round_trip(self):
        session = self.pool.checkout(ADDRESS)
        session.begin_connect()
        self.timeline.run(2 * DELAY_MS - 0.1)
        self.assertTrue(session.connecting)
        self.assertFalse(session.ready(select.POLLOUT))
        self.timeline.run(2 * DELAY_MS)
        self.assertTrue(session.ready(select.POLLOUT))

    def test_stopped_upstream_refuses_and_a_silent_one_says_nothing(self):
        for stop, ready in ((self.upstream.stop, True), (self.upstream.silence, False)):
            with self.subTest(ready=ready):
                stop()
                session = self.pool.checkout(ADDRESS)
                session.begin_connect()
                self.timeline.run(self.timeline.now() + 100.0)
                self.assertIs(session.ready(select.POLLOUT), ready)
                if ready:
                    with self.assertRaises(SessionFailed) as raised:
                        session.end_connect()
                    self.assertFalse(raised.exception.sent)

    def test_answer_to_an_earlier_probe_is_skipped(self):
        """A stale report would count as the state of this moment."""
        session = self.connected()
        session.send_probe(PROBE, "i1")
        session.send_probe(PROBE, "i1")
        self.timeline.run(self.timeline.now() + 100.0)
        self.assertEqual(session.read_probe().status, 200)
        self.assertFalse(session.ready(select.POLLIN))

    def test_refused_request_is_marked_as_not_run(self):
        first, second = self.connected(), self.connected()
        self.send(first, 1)
        self.send(second, 2)
        self.timeline.run(self.timeline.now() + 100.0)
        self.assertIsNotNone(self.read(first).header(NAMES.signature))
        self.assertIsNotNone(self.read(second).header(NAMES.not_run))

    def test_lost_connection_fails_the_request(self):
        session = self.connected()
        self.send(session, 1)
        self.timeline.run(self.timeline.now() + 10.0)
        self.upstream.stop()
        self.timeline.run(self.timeline.now() + 10.0)
        with self.assertRaises(SessionFailed) as raised:
            self.read(session)
        self.assertTrue(raised.exception.sent)

    def test_closed_session_frees_the_slot_of_its_request(self):
        session = self.connected()
        self.send(session, 1)
        self.timeline.run(self.timeline.now() + 10.0)
        self.assertEqual(self.upstream.report().in_flight, 1)
        session.close()
        self.timeline.run(self.timeline.now() + 10.0)
        self.assertEqual(self.upstream.report().in_flight, 0)
        self.assertFalse(session.reusable)
