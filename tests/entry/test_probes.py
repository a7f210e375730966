"""Tests of the number of probe requests that an upstream receives."""

import time
import unittest

from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.clock import SystemClock
from monsoonline.core.model import Upstream
from monsoonline.entry.probes import Prober
from monsoonline.metrics import Metrics
from tests.adapters.endless_replies import ENDLESS_REPLIES
from tests.adapters.scripted_upstream import OK, Reply, ScriptedUpstream

NO_RESPONSE = Reply(content=b"", close=True)


class ScheduledProbes:
    """A dispatcher that schedules one probe of an upstream at each call."""

    def __init__(self, address):
        self.upstream = Upstream(address=address, failure_domain="a", slots=1)
        self.ended = []

    def due_probes(self):
        return (("pool", self.upstream),)

    def set_leaving(self, *_, **__):
        """Ignore drain marks."""

    def note_probe_end(self, _pool, _address, *, answered):
        self.ended.append(answered)


class TestProber(unittest.TestCase):
    """Each probe sends exactly one request to the upstream, also when it fails."""

    def test_probe_on_a_connection_that_is_lost_is_not_sent_again(self):
        """A resend would exceed the probe budget of a failing upstream."""
        requests = []

        def script(*_):
            requests.append(time.monotonic())
            return OK if len(requests) == 1 else NO_RESPONSE

        server = ScriptedUpstream(script=script)
        self.addCleanup(server.close)
        metrics = Metrics()
        clock = SystemClock()
        transport = HttpUpstreamTransport(clock=clock)
        self.addCleanup(transport.close)
        dispatcher = ScheduledProbes(server.address)
        prober = Prober(
            clock=clock,
            dispatcher=dispatcher,
            transport=transport,
            metrics=metrics,
        )
        self.addCleanup(prober.close)
        for count in (1, 2):
            prober.send_due()
            end = time.monotonic() + 5
            while len(requests) < count and time.monotonic() < end:
                time.sleep(0.01)
            # Time for the response, and for a possible resend.
            time.sleep(0.3)
        self.assertEqual(len(requests), 2)
        self.assertEqual(dispatcher.ended, [True, False])

    def test_health_probe_waits_for_the_end_of_a_response_without_end(self):
        """Guards against probe threads that a faulty upstream holds."""
        clock = SystemClock()
        transport = HttpUpstreamTransport(clock=clock)
        self.addCleanup(transport.close)
        for name, reply in ENDLESS_REPLIES.items():
            with self.subTest(name):
                server = ScriptedUpstream(script=lambda *_, reply=reply: reply)
                self.addCleanup(server.close)
                dispatcher = ScheduledProbes(server.address)
                prober = Prober(
                    clock=clock,
                    dispatcher=dispatcher,
                    transport=transport,
                    metrics=Metrics(),
                )
                self.addCleanup(prober.close)
                prober.send_due()
                self.assertTrue(server.ended.wait(5.0))
                end = time.monotonic() + 1.0
                while not dispatcher.ended and time.monotonic() < end:
                    time.sleep(0.01)
                self.assertEqual(dispatcher.ended, [False])
