"""Tests of the lifecycle states of an entry, its stop and process pauses."""

import concurrent.futures
import http.client
import threading
import time
import unittest

from monsoonline.adapters.http_server import HttpServer
from monsoonline.clock import ManualClock, SystemClock
from monsoonline.core.contact import PAUSE_THRESHOLD_MS, PauseDetector
from monsoonline.entry.lifecycle import (
    RESPONSE_MS,
    EntryState,
    Lifecycle,
    StopTimes,
)
from monsoonline.errors import Refusal
from monsoonline.types import Answer, Outcome


class SteppingClock(ManualClock):
    """Manual clock that sleeping advances."""

    def sleep(self, duration_ms):
        self.advance(duration_ms)


class ScriptedServer:
    """Server whose requests end at a given time."""

    def __init__(self, clock, *, busy_until=0.0):
        self.clock = clock
        self.busy_until = busy_until
        self.calls = []

    def __getattr__(self, name):
        return lambda: self.calls.append((name, self.clock.now()))

    @property
    def requests_in_flight(self):
        return int(self.clock.now() < self.busy_until)

    @property
    def open_connections(self):
        return self.requests_in_flight


class TestStop(unittest.TestCase):
    """Order and durations of the steps of a graceful stop."""

    def stop(self, *, busy_until=0.0, shorten_stop=False, **times):
        self.clock = SteppingClock()
        self.server = ScriptedServer(self.clock, busy_until=busy_until)
        self.states = []
        self.lifecycle = Lifecycle(
            clock=self.clock,
            times=StopTimes(**times),
            server=self.server,
            close_keys=self.server.close_keys,
            hand_over=self.server.hand_over,
            on_state=self.states.append,
            detector=PauseDetector(clock=self.clock),
        )
        self.lifecycle.set_ready()
        if shorten_stop:
            self.lifecycle.shorten_stop()
        return self.lifecycle.stop()

    def test_serves_until_every_discovery_response_has_expired(self):
        """Guards against callers using the address of an entry that no longer accepts.

        Another entry may list this one until it learns of the stop.
        """
        report = self.stop(lifetime_ms=5000.0, propagation_ms=3000.0)
        calls = dict(self.server.calls)
        self.assertGreaterEqual(calls["stop_accepting"], 8000.0)
        order = [name for name, _ in self.server.calls]
        expected = ["stop_accepting", "close_after_response", "close_idle"]
        self.assertEqual(order, [*expected, "close_keys", "hand_over"])
        self.assertEqual(self.states, list(EntryState)[1:])
        self.assertEqual((report.cut, report.exit_code), (0, 0))

    def test_in_flight_requests_finish_before_the_handover(self):
        """Guards against losing the records of keys that finish after the export."""
        report = self.stop(busy_until=12_000.0)
        self.assertGreaterEqual(dict(self.server.calls)["close_keys"], 12_000.0)
        self.assertEqual(report.exit_code, 0)

    def test_second_signal_shortens_the_wait_and_finishes_requests(self):
        report = self.stop(shorten_stop=True, busy_until=1500.0)
        self.assertLess(report.duration_ms, 2000.0)
        self.assertEqual((report.cut, report.exit_code), (0, 1))

    def test_limit_leaves_the_reserve_and_counts_cut_requests(self):
        report = self.stop(busy_until=1e9, limit_ms=6000.0, reserve_ms=2000.0)
        self.assertAlmostEqual(dict(self.server.calls)["stop_accepting"], 4000, -2)
        self.assertIn("hand_over", dict(self.server.calls))
        self.assertLess(report.duration_ms, 6100.0)
        self.assertEqual((report.cut, report.exit_code), (1, 1))


class TestRequestsOfAStoppingEntry(unittest.TestCase):
    """A stopping entry takes no request that it may have to cut off."""

    def setUp(self):
        self.clock = SteppingClock()
        self.server = ScriptedServer(self.clock)
        self.lifecycle = Lifecycle(
            clock=self.clock,
            times=StopTimes(lifetime_ms=2000.0, propagation_ms=1000.0, limit_ms=5700.0),
            server=self.server,
            close_keys=self.admit_during_stop,
            hand_over=lambda: None,
            on_state=lambda state: None,
            detector=PauseDetector(clock=self.clock),
        )
        self.lifecycle.set_ready()

    def admit_during_stop(self):
        """Ask for two requests at a known time of the stop, one of them too long."""
        left_ms = 5700.0 - self.clock.now()
        self.lifecycle.admit_until(self.clock.now() + left_ms - RESPONSE_MS)
        with self.assertRaises(Refusal) as caught:
            self.lifecycle.admit_until(self.clock.now() + left_ms)
        self.refusal = caught.exception

    def test_request_that_may_outlast_the_stop_is_refused_as_not_run(self):
        """Guards against requests that are cut off when a stopping entry ends."""
        self.lifecycle.admit_until(1e12)
        self.lifecycle.stop()
        self.assertIs(self.refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(
            (self.refusal.status, self.refusal.code), (503, "entry-stopping")
        )

    def test_connections_close_with_their_next_response_after_a_refusal(self):
        """Guards against callers that are refused again on the same connection."""
        self.lifecycle.stop()
        names = [name for name, _ in self.server.calls]
        self.assertEqual(names[-1], "close_after_response")


class TestPauseDetector(unittest.TestCase):
    """A process that was paused starts no bookings until it receives a reply."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = PauseDetector(clock=self.clock)
        self.lifecycle = Lifecycle(
            clock=self.clock,
            times=StopTimes(),
            server=None,
            close_keys=None,
            hand_over=None,
            on_state=lambda state: None,
            detector=self.detector,
        )
        self.lifecycle.set_ready()

    def test_first_request_after_a_pause_is_refused_before_any_tick(self):
        """Guards against a worker that resumes before the thread of the detector."""
        self.clock.advance(PAUSE_THRESHOLD_MS)
        self.lifecycle.admit()
        self.clock.advance(PAUSE_THRESHOLD_MS + 1)
        with self.assertRaises(Refusal) as caught:
            self.lifecycle.admit()
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertFalse(self.lifecycle.ready)

    def test_reply_to_a_request_from_before_the_pause_does_not_count(self):
        asked_at = self.clock.now()
        self.clock.advance(PAUSE_THRESHOLD_MS + 1)
        self.detector.record_reply(asked_at=asked_at)
        self.assertFalse(self.lifecycle.ready)
        self.detector.record_reply(asked_at=self.clock.now())
        self.assertTrue(self.lifecycle.ready)
        self.lifecycle.admit()


class TestHttpServerDrain(unittest.TestCase):
    """Behavior of the HTTP server during a stop."""

    def setUp(self):
        self.release = threading.Event()
        self.entered = threading.Event()
        self.server = HttpServer(
            handler=self.handle, host="127.0.0.1", port=0, workers=4
        )
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.release.set)

    def handle(self, request):
        if request.path == "/slow":
            self.entered.set()
            self.release.wait(5)
        return Answer(status=200, body=b"whole")

    def connect(self):
        host, _, port = self.server.address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(connection.close)
        return connection

    def get(self, connection, path="/"):
        connection.request("GET", path)
        response = connection.getresponse()
        return response.read(), response.getheader("Connection")

    def eventually(self, condition):
        end = time.monotonic() + 5
        while not condition() and time.monotonic() < end:
            time.sleep(0.005)
        self.assertTrue(condition())

    def test_last_responses_close_and_no_request_is_interrupted(self):
        kept, slow, idle = self.connect(), self.connect(), self.connect()
        for connection in (kept, slow, idle):
            self.assertEqual(self.get(connection), (b"whole", None))
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            response = executor.submit(self.get, slow, "/slow")
            self.eventually(lambda: self.server.requests_in_flight == 1)
            self.server.stop_accepting()
            self.server.close_after_response()
            self.assertEqual(self.get(kept), (b"whole", "close"))
            self.server.close_idle()
            self.eventually(lambda: self.server.open_connections == 1)
            self.release.set()
            self.assertEqual(response.result(), (b"whole", "close"))
        self.eventually(lambda: self.server.open_connections == 0)
        self.assertRaises(ConnectionRefusedError, self.connect().connect)

    def test_request_counts_after_its_client_disconnected(self):
        """Guards against a handover before the response to the request is recorded."""
        connection = self.connect()
        connection.request("GET", "/slow")
        self.assertTrue(self.entered.wait(5))
        connection.close()
        time.sleep(0.05)
        self.assertEqual(self.server.requests_in_flight, 1)
        self.release.set()
        self.eventually(lambda: self.server.requests_in_flight == 0)


class TestSystemClockTicks(unittest.TestCase):
    """Thread that calls the pause detector regularly."""

    def test_running_thread_sees_no_pause(self):
        detector = PauseDetector(clock=SystemClock())
        stopping = threading.Event()
        thread = threading.Thread(target=detector.run, args=(stopping,))
        thread.start()
        time.sleep(0.3)
        stopping.set()
        thread.join()
        self.assertEqual(detector.pauses, 0)
