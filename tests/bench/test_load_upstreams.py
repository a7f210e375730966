"""Tests of upstreams that share their machine."""

import random
import unittest

from monsoonline.bench.load_upstreams import SharedUpstream
from monsoonline.bench.timeline import Timeline
from monsoonline.bench.upstreams import Job
from monsoonline.types import AttemptKind


class TestSharedUpstream(unittest.TestCase):
    """Pace and free slots at the start settle how long a request takes."""

    def setUp(self):
        self.timeline = Timeline()
        self.upstream = SharedUpstream(
            timeline=self.timeline,
            address="10.0.0.1:8000",
            failure_domain="a",
            slots=2,
            queue_limit=2,
            restart_ms=1.0,
            full_share=0.5,
            full_factor=2.0,
            generator=random.Random(1),
        )
        self.ends = []

    def submit(self, number, work_ms=100.0):
        def reply(kind, load, draining):
            self.ends.append((number, self.timeline.now(), kind, load))

        self.upstream.submit(
            Job(number=number, work_ms=work_ms, deadline=1e9, reply=reply)
        )

    def test_request_that_takes_the_last_slot_is_slower(self):
        self.submit(1)
        self.submit(2)
        self.timeline.run(1_000.0)
        times = [(number, at) for number, at, _, _ in self.ends]
        self.assertEqual(times, [(1, 100.0), (2, 200.0)])

    def test_change_of_pace_does_not_touch_running_requests(self):
        self.submit(1)
        self.timeline.run(50.0)
        self.upstream.pace = 5.0
        self.assertEqual(self.upstream.report().pace, 5.0)
        self.timeline.run(110.0)
        self.submit(2)
        self.timeline.run(1_000.0)
        times = [(number, at) for number, at, _, _ in self.ends]
        self.assertEqual(times, [(1, 100.0), (2, 610.0)])

    def test_shed_request_is_an_attempt_that_did_not_run(self):
        self.upstream.shed_share = 1.0
        self.submit(1)
        self.assertEqual([kind for _, _, kind, _ in self.ends], [AttemptKind.SHED])
        self.assertEqual(len(self.upstream.arrivals), 1)
        self.assertEqual(sum(self.upstream.runs.values()), 0)
