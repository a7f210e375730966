"""Tests of the caller library against scripted entries."""

import threading
import time
import unittest

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.caller import MAX_KEYS, Caller, CallStatus, NoEntry
from monsoonline.clock import ManualClock
from monsoonline.types import Answer


def refusal(status, outcome, code, **headers):
    pairs = (("Monsoonline-Outcome", outcome), *headers.items())
    return Answer(status=status, headers=pairs, body=orjson.dumps({"code": code}))


class ScriptedEntry:
    """An entry that gives prepared answers and keeps what it received."""

    def __init__(self, name, *, domain="east"):
        self.token = f"{name * 16}-0"
        self.token_status = 200
        self.domain = domain
        self.known = [self]
        self.script = []
        self.received = []
        self.hosts = set()
        self.discoveries = 0
        self.server = HttpServer(
            handler=self.handle, host="127.0.0.1", port=0, workers=4
        )
        self.server.start()

    @property
    def address(self):
        return self.server.address

    def handle(self, request):
        if request.path.endswith("/entries"):
            self.discoveries += 1
            entries = [
                {"address": e.address, "failure_domain": e.domain} for e in self.known
            ]
            document = {"entries": entries, "lifetime_ms": 1000.0}
            return Answer(status=200, body=orjson.dumps(document))
        if request.path.endswith("/token"):
            if self.token_status != 200:
                return Answer(status=self.token_status)
            return Answer(status=200, body=orjson.dumps({"token": self.token}))
        self.received.append(request.header("Monsoonline-Key"))
        self.hosts.add(request.host)
        answer = self.script.pop(0) if self.script else Answer(status=200, body=b"ok")
        if callable(answer):
            answer = answer()
        return answer


class TestCaller(unittest.TestCase):
    """Two entries in two failure domains."""

    def setUp(self):
        self.first = ScriptedEntry("a")
        self.second = ScriptedEntry("b", domain="west")
        for entry in (self.first, self.second):
            entry.known = [self.first, self.second]
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
    def received(self):
        return self.first.received, self.second.received

    def test_keeps_the_entries_for_their_lifetime_and_prefers_its_domain(self):
        clock = ManualClock()
        caller = self.make_caller(clock=clock)
        for _ in range(5):
            self.assertEqual(caller.entries()[0], self.first.address)
        self.assertEqual(self.first.discoveries, 1)
        clock.advance(1001)
        caller.entries()
        self.assertEqual(self.first.discoveries, 2)

    def test_lookup_goes_on_with_another_entry(self):
        self.first.script = [refusal(502, "unknown", "connection-lost")]
        result = self.caller.lookup("GET", "/quotes")
        self.assertEqual((result.call_status, result.body), (CallStatus.OK, b"ok"))
        self.assertEqual(self.received, ([None], [None]))

    def test_lost_answer_is_resent_with_the_same_key_to_others(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.first.script = [lambda: release.wait(2) and Answer(status=200)]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.OK)
        self.assertEqual(self.received, ([result.keys[0]], [result.keys[0]]))
        # A host that depends on the entry would make the resend another request.
        self.assertEqual(self.first.hosts, self.second.hosts)

    def test_new_key_from_the_token_in_the_refusal(self):
        """A refused key never runs, so resending it could not book anything."""
        token = "c" * 16 + "-7"
        headers = {"Monsoonline-Token": token}
        self.first.script = [
            refusal(503, "not-run", "no-slot", **headers),
            refusal(409, "not-run", "key-fenced", **headers),
        ]
        result = self.book()
        self.assertEqual(self.first.received, list(result.keys))
        self.assertEqual([k.startswith(token) for k in result.keys], [0, 1, 1])
        self.assertEqual(len(set(result.keys)), 3)
        self.assertIs(result.call_status, CallStatus.OK)

    def test_entry_that_refuses_all_bookings_is_avoided(self):
        """Waiting for it as long as it asks would use up the deadline."""
        headers = {"Monsoonline-Token": self.first.token, "Retry-After": "9"}
        for code in ("entry-paused", "entry-stopping", "isolated"):
            with self.subTest(code):
                self.first.received.clear()
                self.second.received.clear()
                self.first.script = [refusal(503, "not-run", code, **headers)]
                result = self.book()
                old, new = result.keys
                self.assertEqual(self.received, ([old], [new]))
                self.assertTrue(new.startswith(self.second.token))
                self.assertIs(result.call_status, CallStatus.OK)

    def test_full_records_are_settled_through_another_entry(self):
        self.first.script = [refusal(503, "unknown", "records-full")]
        headers = {"Monsoonline-Token": self.second.token}
        code = "key-of-another-entry"
        self.second.script = [refusal(409, "not-run", code, **headers)]
        result = self.book()
        old, new = result.keys
        self.assertEqual(self.received, ([old], [old, new]))
        self.assertIs(result.call_status, CallStatus.OK)

    def test_new_keys_are_bounded(self):
        """A booking that is always refused must not take a record per 50 ms."""
        self.first.script = [refusal(503, "not-run", "no-slot")] * 50
        self.second.script = [refusal(503, "not-run", "no-slot")] * 50
        self.caller = self.make_caller(timeout_ms=3000.0)
        result = self.book()
        self.assertIs(result.call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertEqual(result.code, "no-slot")
        self.assertEqual(len(result.keys), MAX_KEYS)

    def test_last_refusal_is_the_result_where_no_entry_is_left(self):
        """An exception would hide that the booking certainly did not run."""

        def refuse_and_end():
            for entry in (self.first, self.second):
                entry.token_status = 503
            return refusal(503, "not-run", "entry-paused")

        self.first.script = [refuse_and_end]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertEqual(result.code, "entry-paused")

    def test_long_retry_after_ends_the_call_at_once(self):
        headers = {"Retry-After": "9"}
        self.first.script = [refusal(503, "not-run", "no-slot", **headers)]
        started = time.monotonic()
        self.assertIs(self.book().call_status, CallStatus.REFUSED_NOT_RUN)
        self.assertLess(time.monotonic() - started, 0.3)

    def test_unknown_outcome_is_final_and_makes_no_new_key(self):
        self.first.script = [refusal(504, "unknown", "timed-out")]
        result = self.book()
        self.assertIs(result.call_status, CallStatus.UNKNOWN)
        self.assertEqual(self.received, (list(result.keys), []))

    def test_not_run_after_a_lost_exchange_settles_its_key(self):
        """The lost exchange of a refused key never runs, so a new key is safe."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.first.script = [lambda: release.wait(2) and Answer(status=200)]
        headers = {"Monsoonline-Token": self.second.token}
        self.second.script = [refusal(503, "not-run", "no-slot", **headers)]
        result = self.book()
        old, new = result.keys
        self.assertIs(result.call_status, CallStatus.OK)
        self.assertEqual(self.received, ([old], [old, new]))

    def test_resend_to_a_closed_entry_does_not_say_that_the_booking_did_not_run(self):
        key = self.book().keys[-1]
        result = self.caller.resend("127.0.0.1:1", key, "POST", "/book", body=b"{}")
        self.assertIs(result.call_status, CallStatus.UNKNOWN)

    def test_retry_after_is_honoured(self):
        times = []

        def busy():
            times.append(time.monotonic())
            return refusal(503, "not-run", "no-slot", **{"Retry-After": "1"})

        self.first.script = [
            busy,
            lambda: times.append(time.monotonic()) or Answer(status=200),
        ]
        self.caller = self.make_caller(timeout_ms=3000.0)
        self.assertIs(self.book().call_status, CallStatus.OK)
        self.assertGreaterEqual(times[1] - times[0], 1.0)

    def test_exact_time_counts_more_than_whole_seconds(self):
        """Rounded up, all refused callers would come back at the same instant."""
        headers = {"Retry-After": "9", "Monsoonline-Retry-After-Ms": "60"}
        self.first.script = [refusal(503, "not-run", "no-slot", **headers)]
        self.assertIs(self.book().call_status, CallStatus.OK)

    def test_missing_seeds_are_named(self):
        caller = Caller(seeds=["127.0.0.1:1"])
        with self.assertRaisesRegex(NoEntry, "127.0.0.1:1"):
            caller.entries()
