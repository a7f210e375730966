"""Tests of load experiments over the request path of an entry."""

import collections
import unittest

from monsoonline.bench.load_callers import RequestEnd
from monsoonline.bench.load_policies import policies
from tests.bench.load_fixture import FIELDS, run_tiny


def pattern(kind, *, at_ms=300.0, duration_ms=400.0, **fields):
    return {"kind": kind, "at_ms": at_ms, "duration_ms": duration_ms, **fields}


def ends_of(results):
    return collections.Counter(request.end for request in results.requests)


class TestLoadExperiment(unittest.TestCase):
    """Patterns act on callers, entries and upstreams; each request ends once."""

    def test_calm_load_is_served_in_time(self):
        results = run_tiny()
        ends = ends_of(results)
        self.assertGreater(len(results.requests), 50)
        self.assertEqual(ends[RequestEnd.IN_TIME], len(results.requests))

    def test_same_seed_gives_the_same_run(self):
        """Policies could not be compared where a run depends on threads."""
        self.assertEqual(run_tiny(seed=2), run_tiny(seed=2))
        self.assertNotEqual(run_tiny(seed=2), run_tiny(seed=3))

    def test_callers_are_the_same_for_all_policies(self):
        sent = [
            sorted((r.route, r.sent_at) for r in run_tiny(policy=name).requests)
            for name in policies.names
        ]
        self.assertTrue(all(times == sent[0] for times in sent))

    def test_burst_brings_more_requests_than_slots(self):
        results = run_tiny(patterns=[pattern("burst", factor=10.0)])
        ends = ends_of(results)
        self.assertGreater(ends[RequestEnd.REFUSED] + ends[RequestEnd.LATE], 0)
        self.assertEqual(results.doubled, 0)

    def test_herd_returns_when_all_entries_are_back(self):
        results = run_tiny(
            duration_ms=1_500.0, patterns=[pattern("entries-lost", share=1.0)]
        )
        waited = [r for r in results.requests if 350.0 < r.sent_at < 650.0]
        self.assertGreater(len(waited), 10)
        served = [r for r in waited if r.end in (RequestEnd.IN_TIME, RequestEnd.LATE)]
        self.assertTrue(all(r.sent_at + r.took_ms >= 700.0 for r in served))
        self.assertGreater(len(served), 0)

    def test_request_at_a_lost_entry_fails_where_it_may_have_run(self):
        """A caller must not be counted as refused after its request was sent."""
        burst = pattern("burst", at_ms=200.0, duration_ms=100.0, factor=3.0)
        results = run_tiny(patterns=[burst, pattern("entries-lost", share=1.0)])
        at_loss = [
            r
            for r in results.requests
            if r.route == "book" and r.sent_at < 299.9 < r.sent_at + r.took_ms
        ]
        self.assertGreater(len(at_loss), 0)
        self.assertEqual({r.end for r in at_loss}, {RequestEnd.FAILED})

    def test_request_in_flight_when_its_caller_leaves_has_failed(self):
        """It was counted as refused where its caller had been refused before."""
        fields = FIELDS["routes"][1] | {"deadline_ms": 150.0, "requests_per_second": 90}
        results = run_tiny(
            routes=[fields], patterns=[pattern("burst", factor=4.0)], duration_ms=800.0
        )
        left = [r for r in results.requests if r.took_ms >= 149.9]
        self.assertTrue(any(r.refusals for r in left))
        self.assertIn(RequestEnd.FAILED, {r.end for r in left if r.refusals})

    def test_cut_entries_get_no_requests(self):
        results = run_tiny(patterns=[pattern("entries-cut", share=0.5)])
        self.assertGreater(ends_of(results)[RequestEnd.IN_TIME], 40)

    def test_shed_requests_go_to_another_upstream(self):
        results = run_tiny(patterns=[pattern("shedding", share=0.3, pool="p")])
        self.assertGreater(results.attempts, len(results.requests))
        served = ends_of(results)[RequestEnd.IN_TIME]
        self.assertGreater(served, 0.85 * len(results.requests))

    def test_lost_and_silent_upstreams_take_no_first_attempts_for_long(self):
        for kind in ("upstreams-lost", "upstreams-silent"):
            with self.subTest(kind=kind):
                results = run_tiny(patterns=[pattern(kind, share=0.34, pool="p")])
                served = ends_of(results)[RequestEnd.IN_TIME]
                self.assertGreater(served, 0.8 * len(results.requests))
                self.assertEqual(results.doubled, 0)

    def test_pressing_callers_return_more_often(self):
        callers = {"pressing_share": 0.5, "pressing_returns": 8, "pressing_ms": 20.0}
        results = run_tiny(callers=callers, patterns=[pattern("burst", factor=10.0)])
        most = {
            pressing: max(
                r.refusals for r in results.requests if r.pressing is pressing
            )
            for pressing in (True, False)
        }
        self.assertGreater(most[True], most[False])
