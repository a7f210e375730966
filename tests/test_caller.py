"""Tests of the caller library against entries with scripted responses."""

import threading
import time
import unittest

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.caller import (
    MAX_KEYS_PER_BOOKING,
    Caller,
    CallStatus,
    NoEntryAvailable,
)
from monsoonline.clock import ManualClock
from monsoonline.types import Answer


def refusal_response(status, outcome, code, **headers):
    all_headers = (("Monsoonline-Outcome", outcome), *headers.items())
    return Answer(status=status, headers=all_headers, body=orjson.dumps({"code": code}))


class ScriptedEntry:
    """An entry that returns scripted responses and records the keys it receives."""

    def __init__(self, name, *, failure_domain="east"):
        self.token = f"{name * 16}-0"
        self.token_status = 200
        self.failure_domain = failure_domain
        self.discovered_entries = [self]
        self.script = []
        self.received_keys = []
        self.hosts = set()
        self.discovery_count = 0
        self.server = HttpServer(
            handler=self.handle, host="127.0.0.1", port=0, workers=4
        )
        self.server.start()

    @property
    def address(self):
        return self.server.address

    def handle(self, request):
        if request.path.endswith("/entries"):
            self.discovery_count += 1
            entries = [
                {"address": entry.address, "failure_domain": entry.failure_domain}
                for entry in self.discovered_entries
            ]
            document = {"entries": entries, "lifetime_ms": 1000.0}
            return Answer(status=200, body=orjson.dumps(document))
        if request.path.endswith("/token"):
            if self.token_status != 200:
                return Answer(status=self.token_status)
            return Answer(status=200, body=orjson.dumps({"token": self.token}))
        self.received_keys.append(request.header("Monsoonline-Key"))
        self.hosts.add(request.host)
        response = self.script.pop(0) if self.script else Answer(status=200, body=b"ok")
        if callable(response):
            response = response()
        return response


class TestCaller(unittest.TestCase):
    """A caller with two entries in different failure domains."""

    def setUp(self):
        self.first = ScriptedEntry("a")
        self.second = ScriptedEntry("b", failure_domain="west")
        for entry in (self.first, self.second):
            entry.discovered_entries = [self.first, self.second]
            self.addCleanup(entry.server.close)
        self.caller = self.make_caller()

    def make_caller(self, **options):
        options = {"timeout_ms": 400.0, "attempt_timeout_ms": 100.0} | options
        caller = Caller(
            seeds=[self.first.address], failure_domain="east", seed=1, **options
        )
        self.addCleanup(caller.close)
        return caller

    def book(self):
        return self.caller.book("POST", "/surveys", body=b"{}")

    @property
    def received_keys(self):
        return self.first.received_keys, self.second.received_keys

    def test_caches_entries_and_prefers_its_failure_domain(self):
        clock = ManualClock()
        caller = self.make_caller(clock=clock)
        for _ in range(5):
            self.assertEqual(caller.entries()[0], self.first.address)
        self.assertEqual(self.first.discovery_count, 1)
        clock.advance(1001)
        caller.entries()
        self.assertEqual(self.first.discovery_count, 2)

    def test_lookup_is_retried_at_another_entry(self):
        self.first.script = [refusal_response(502, "unknown", "connection-lost")]
        result = self.caller.lookup("GET", "/quotes")
        self.assertEqual((result.call_status, result.body), (CallStatus.OK, b"ok"))
        self.assertEqual(self.received_keys, ([None], [None]))

    def test_booking_without_response_is_resent_with_the_same_key(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.first.script = [lambda: release.wait(2) and Answer(status=200)]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.OK)
        self.assertEqual(self.received_keys, ([result.keys[0]], [result.keys[0]]))
        # Entries would treat a resend with a different Host header as another request.
        self.assertEqual(self.first.hosts, self.second.hosts)

    def test_new_key_from_the_token_in_the_refusal(self):
        """Guards against resending a refused key, whose booking can never run."""
        token = "c" * 16 + "-7"
        headers = {"Monsoonline-Token": token}
        self.first.script = [
            refusal_response(503, "not-run", "no-slot", **headers),
            refusal_response(409, "not-run", "key-fenced", **headers),
        ]
        result = self.book()
        self.assertEqual(self.first.received_keys, list(result.keys))
        self.assertEqual([k.startswith(token) for k in result.keys], [0, 1, 1])
        self.assertEqual(len(set(result.keys)), 3)
        self.assertIs(result.call_status, CallStatus.OK)

    def test_entry_that_refuses_all_bookings_is_avoided(self):
        """Guards against waiting for the unavailable entry until the deadline.

        The entry's ``Retry-After`` exceeds the time limit of the call.
        """
        headers = {"Monsoonline-Token": self.first.token, "Retry-After": "9"}
        for code in ("entry-paused", "entry-stopping", "isolated"):
            with self.subTest(code):
                self.first.received_keys.clear()
                self.second.received_keys.clear()
                self.first.script = [refusal_response(503, "not-run", code, **headers)]
                result = self.book()
                old, new = result.keys
                self.assertEqual(self.received_keys, ([old], [new]))
                self.assertTrue(new.startswith(self.second.token))
                self.assertIs(result.call_status, CallStatus.OK)

    def test_refusal_for_full_records_is_settled_by_another_entry(self):
        self.first.script = [refusal_response(503, "unknown", "records-full")]
        headers = {"Monsoonline-Token": self.second.token}
        code = "key-of-another-entry"
        self.second.script = [refusal_response(409, "not-run", code, **headers)]
        result = self.book()
        old, new = result.keys
        self.assertEqual(self.received_keys, ([old], [old, new]))
        self.assertIs(result.call_status, CallStatus.OK)

    def test_new_keys_are_bounded(self):
        """Guards against a refused booking that adds a record every 50 ms."""
        self.first.script = [refusal_response(503, "not-run", "no-slot")] * 50
        self.second.script = [refusal_response(503, "not-run", "no-slot")] * 50
        self.caller = self.make_caller(timeout_ms=3000.0)
        result = self.book()
        self.assertIs(result.call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertEqual(result.code, "no-slot")
        self.assertEqual(len(result.keys), MAX_KEYS_PER_BOOKING)

    def test_last_refusal_is_returned_without_available_entries(self):
        """Guards against an exception that hides that the booking did not run."""

        def refuse_and_disable_tokens():
            for entry in (self.first, self.second):
                entry.token_status = 503
            return refusal_response(503, "not-run", "entry-paused")

        self.first.script = [refuse_and_disable_tokens]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertEqual(result.code, "entry-paused")

    def test_long_retry_after_ends_the_call_at_once(self):
        headers = {"Retry-After": "9"}
        self.first.script = [refusal_response(503, "not-run", "no-slot", **headers)]
        started = time.monotonic()
        self.assertIs(self.book().call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertLess(time.monotonic() - started, 0.3)

    def test_unknown_outcome_is_final_and_gets_no_new_key(self):
        self.first.script = [refusal_response(504, "unknown", "timed-out")]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.UNKNOWN)
        self.assertEqual(self.received_keys, (list(result.keys), []))

    def test_not_run_refusal_after_lost_exchange_is_final_for_its_key(self):
        """Guards against giving up although a new key is safe.

        The refusal ensures that the lost exchange with the old key never runs.
        """
        release = threading.Event()
        self.addCleanup(release.set)
        self.first.script = [lambda: release.wait(2) and Answer(status=200)]
        headers = {"Monsoonline-Token": self.second.token}
        self.second.script = [refusal_response(503, "not-run", "no-slot", **headers)]
        result = self.book()
        old, new = result.keys
        self.assertIs(result.call_status, CallStatus.OK)
        self.assertEqual(self.received_keys, ([old], [old, new]))

    def test_resend_to_unreachable_entry_leaves_the_outcome_unknown(self):
        key = self.book().keys[-1]
        result = self.caller.resend("127.0.0.1:1", key, "POST", "/book", body=b"{}")
        self.assertIs(result.call_status, CallStatus.UNKNOWN)

    def test_retry_after_is_respected(self):
        times = []

        def busy():
            times.append(time.monotonic())
            return refusal_response(503, "not-run", "no-slot", **{"Retry-After": "1"})

        self.first.script = [
            busy,
            lambda: times.append(time.monotonic()) or Answer(status=200),
        ]
        self.caller = self.make_caller(timeout_ms=3000.0)
        self.assertIs(self.book().call_status, CallStatus.OK)
        self.assertGreaterEqual(times[1] - times[0], 1.0)

    def test_exact_retry_delay_takes_precedence_over_whole_seconds(self):
        """Guards against refused callers that all retry at the same whole second."""
        headers = {"Retry-After": "9", "Monsoonline-Retry-After-Ms": "60"}
        self.first.script = [refusal_response(503, "not-run", "no-slot", **headers)]
        self.assertIs(self.book().call_status, CallStatus.OK)

    def test_unreachable_seeds_are_listed(self):
        caller = Caller(seeds=["127.0.0.1:1"])
        with self.assertRaisesRegex(NoEntryAvailable, "127.0.0.1:1"):
            caller.entries()
