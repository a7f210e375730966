"""Tests of the demonstration and its accounting."""

import unittest

import orjson

from monsoonline.bench.demonstration import (
    ZERO_COUNTERS,
    Call,
    account,
    holds,
    run_demonstration,
)
from monsoonline.caller import CallResult, CallStatus
from monsoonline.standin.upstream import RunRecord


def call(identity, status=CallStatus.OK, *, body=None, booking=True):
    document = {"identity": identity, "path": "/a", "key": "k" if booking else None}
    result = CallResult(
        call_status=status,
        status=200,
        body=orjson.dumps(document) if body is None else body,
        keys=("k",),
    )
    return Call(
        identity=identity, booking=booking, target="/a", result=result, latency_ms=1.0
    )


def record(identity, *, completed=True):
    return RunRecord(
        key="k", target="/a", identity=identity, started=0.0, completed=completed
    )


class TestAccount(unittest.TestCase):
    """Each fault is counted by its own counter and by no other."""

    def assert_only(self, name, calls, records):
        result = account(calls, records)
        counts = {n: result[n] for n in ZERO_COUNTERS if result[n]}
        self.assertEqual(counts, {name: 1} if name else {})

    def test_correct_calls_count_nothing(self):
        lookups = [call("b", booking=False)]
        self.assert_only(None, [call("a"), *lookups], [record("a"), record("b")])

    def test_repeated_lookup_is_not_doubled(self):
        runs = [record("a"), record("a")]
        self.assert_only(None, [call("a", booking=False)], runs)

    def test_each_fault(self):
        refused = call("a", CallStatus.REFUSED_NOT_RUN)
        other = orjson.dumps({"identity": "b", "path": "/a", "key": "k"})
        cases = {
            "lost": ([call("a")], [record("a", completed=False)]),
            "doubled": ([call("a")], [record("a"), record("a", completed=False)]),
            "partial": ([call("a", body=b'{"ident')], [record("a")]),
            "mismatched": ([call("a", body=other)], [record("a")]),
            "not_run_but_ran": ([refused], [record("a", completed=False)]),
        }
        for name, (calls, records) in cases.items():
            with self.subTest(name):
                self.assert_only(name, calls, records)
                self.assertFalse(holds({**account(calls, records), "requests": 5000}))


class TestDemonstration(unittest.TestCase):
    """The whole demonstration, shortened."""

    def test_drain_and_stop_under_traffic_harm_no_request(self):
        result = run_demonstration(seconds=2.5)
        self.assertEqual(
            {n: result[n] for n in ZERO_COUNTERS}, dict.fromkeys(ZERO_COUNTERS, 0)
        )
        self.assertGreater(result["ok"], 100)
