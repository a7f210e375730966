"""Tests of the request path with scripted upstreams."""

import concurrent.futures
import functools
import socket
import threading
import time
import unittest
from unittest import mock

import orjson

from monsoonline.adapters.connection_pool import (
    RECEIVE_TIMEOUT_MS,
    UpstreamConnection,
)
from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.http_upstream import ExchangeFailed, HttpUpstreamTransport
from monsoonline.clock import SystemClock
from monsoonline.core.balancing import Policy, policies
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.ledger import Ledger
from monsoonline.core.model import (
    Pool,
    RefusalMeaning,
    Route,
    RouteMatch,
    Tables,
    Tolerance,
    Upstream,
)
from monsoonline.core.retries import MAX_SHED_RETRIES
from monsoonline.entry.outcomes import AttemptHistory
from monsoonline.entry.relay import Relay, fingerprint_of
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Outcome, Request
from tests.adapters.scripted_upstream import OK, Reply, ScriptedUpstream

TRUNCATED_200 = Reply(
    content=b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", close=True
)
UNCERTIFIED_503 = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
CERTIFIED_503 = (
    b"HTTP/1.1 503 Busy\r\nMonsoonline-Not-Run: true\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\n\r\n"
)
SHED_503 = CERTIFIED_503.replace(b"Retry-After: 2\r\n", b"")
TIMEOUT_SECONDS = 5.0


@policies.register("first-usable")
class FirstUsablePolicy(Policy):
    """Chooses the usable upstream that the pool lists first.

    The order of the upstreams' scripts is then the order of the attempts.
    """

    def choose(self, view, now, excluded):
        usable = [s for s in view.available if self._usable(s, now, excluded)]
        return min(usable, key=lambda s: ORDER.get(s.upstream.address, 0), default=None)


ORDER = {}


class RelayCase(unittest.TestCase):
    """Base class: a relay with a lookup and a booking route to scripted upstreams."""

    def start(self, *scripts, refusal_means=RefusalMeaning.NOT_RUN, hedges=0):
        """Start one upstream for each script; the first is preferred."""
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.ledger = Ledger(clock=self.clock)
        self.dispatcher = Dispatcher(clock=self.clock)
        # The delay after a crash has separate tests.
        self.dispatcher.response_delay_ms = lambda fingerprint: 0.0
        self.released = []
        release = self.dispatcher.release
        self.dispatcher.release = lambda assignment, result: (
            self.released.append(result.kind.value),
            release(assignment, result),
        )
        self.transport = HttpUpstreamTransport(clock=self.clock)
        self.addCleanup(self.transport.close)
        self.servers = [ScriptedUpstream(script=script) for script in scripts]
        for server in self.servers:
            self.addCleanup(server.close)
        self.relay = Relay(
            clock=self.clock,
            dispatcher=self.dispatcher,
            ledger=self.ledger,
            transport=self.transport,
            metrics=self.metrics,
        )
        tables = self.tables(refusal_means, hedges)
        self.dispatcher.update_tables(tables)
        self.relay.use_tables(tables)

    def tables(self, refusal_means, hedges):
        upstreams = tuple(
            Upstream(address=server.address, failure_domain="a", slots=3)
            for server in self.servers
        )
        ORDER.update({u.address: index for index, u in enumerate(upstreams)})
        pool = Pool(
            name="p",
            department="d",
            upstreams=upstreams,
            refusal_means=refusal_means,
            policy="first-usable",
        )
        routes = (
            self.route("lookup", True, hedges),
            self.route("booking", False, hedges),
        )
        return Tables(pools={"p": pool}, routes={route.name: route for route in routes})

    @staticmethod
    def route(name, idempotent, hedges):
        return Route(
            name=name,
            department="d",
            pool="p",
            match=RouteMatch(path_prefix=f"/{name}"),
            idempotent=idempotent,
            deadline_ms=2000.0,
            tolerance=Tolerance(hedges=hedges),
        )

    def lookup(self, *headers):
        return self.relay.handle(
            Request(method="GET", host="a", target="/lookup", headers=headers)
        )

    def book(self, nonce="1", *headers):
        key = f"{self.ledger.token()}.{nonce}"
        return self.relay.handle(
            Request(
                method="POST",
                host="a",
                target="/booking",
                headers=(("Monsoonline-Key", key), *headers),
            )
        )

    def request_counts(self):
        return [len(server.requests) for server in self.servers]

    def assert_refused(self, response, status, outcome):
        self.assertEqual(response.status, status)
        self.assertEqual(response.header("Monsoonline-Outcome"), outcome)


class TestStoppingEntry(RelayCase):
    """A stopping entry refuses requests that it may have to cut off."""

    def test_refused_booking_runs_neither_now_nor_when_it_is_sent_again(self):
        """Guards against requests that are cut off when a stopping entry ends."""
        self.start(lambda *_: OK)
        self.relay = Relay(
            clock=self.clock,
            dispatcher=self.dispatcher,
            ledger=self.ledger,
            transport=self.transport,
            metrics=self.metrics,
            admit_until=self.refuse,
        )
        self.relay.use_tables(self.tables(RefusalMeaning.NOT_RUN, 0))
        for _ in range(2):
            self.assert_refused(self.book(), 503, "not-run")
        self.assert_refused(self.lookup(), 503, "not-run")
        self.assertEqual(self.request_counts(), [0])

    @staticmethod
    def refuse(deadline):
        raise Refusal(
            "the entry stops before",
            code="entry-stopping",
            outcome=Outcome.NOT_RUN,
            status=503,
        )


class TestOutcomes(RelayCase):
    """The outcome not-run is stated only when it is certain."""

    def test_truncated_response_is_unknown(self):
        """A partial response must not reach the caller, nor a booking run twice."""
        self.start(lambda *_: TRUNCATED_200, lambda *_: OK)
        for _ in range(2):
            self.assert_refused(self.book(), 502, "unknown")
        self.assertEqual(self.request_counts(), [1, 0])

    def test_truncated_response_of_a_lookup_is_retried(self):
        self.start(lambda *_: TRUNCATED_200, lambda *_: OK)
        self.assertEqual(self.lookup().body, b"ok")
        self.assertEqual(self.request_counts(), [1, 1])

    def test_uncertified_503_is_unknown(self):
        """An intermediary's 503 does not prove that the booking did not run."""
        self.start(lambda *_: UNCERTIFIED_503, lambda *_: OK)
        for _ in range(2):
            self.assert_refused(self.book(), 503, "unknown")
        self.assertEqual(self.request_counts(), [1, 0])

    def test_certified_refusal_is_not_run(self):
        self.start(lambda *_: CERTIFIED_503)
        response = self.book()
        self.assert_refused(response, 503, "not-run")
        self.assertEqual(response.header("Retry-After"), "2")
        again = self.book()
        self.assert_refused(again, 503, "not-run")
        self.assertEqual(again.header("Retry-After"), "2")
        self.assertEqual(self.request_counts(), [1], "a refused key must not run later")
        self.book("2")
        self.assertEqual(self.request_counts(), [2], "a new key may run")

    def test_certified_refusal_is_retried_elsewhere(self):
        self.start(lambda *_: CERTIFIED_503, lambda *_: OK)
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.request_counts(), [1, 1])

    def test_certificate_is_trusted_only_if_the_pool_allows_it(self):
        self.start(
            lambda *_: CERTIFIED_503,
            lambda *_: OK,
            refusal_means=RefusalMeaning.UNKNOWN,
        )
        response = self.book()
        self.assert_refused(response, 503, "unknown")
        self.assertIsNone(response.header("Monsoonline-Not-Run"))
        self.assertEqual(self.request_counts(), [1, 0])

    def test_refused_connection_is_not_run(self):
        self.start(lambda *_: OK)
        self.servers[0].close()
        self.assert_refused(self.book(), 502, "not-run")

    def test_lost_earlier_attempt_makes_the_outcome_unknown(self):
        """A second attempt that is never sent says nothing about the first one."""
        self.start(lambda *_: TRUNCATED_200, lambda *_: OK)
        self.servers[1].close()
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assertEqual(self.released, ["connection-lost", "connect-failed"])

    def test_upstream_cannot_state_the_outcome(self):
        """An outcome header from behind the upstream refers to another request."""
        self.start(
            lambda *_: OK.replace(b"OK\r\n", b"OK\r\nMonsoonline-Outcome: not-run\r\n")
        )
        self.assertIsNone(self.lookup().header("Monsoonline-Outcome"))


def shed_once(connection, _):
    """Script of an upstream that has a free slot only for the second request.

    The second request comes on a new connection, as a refusal closes the first one.
    """
    return SHED_503 if connection == 1 else OK


class TestPlacements(RelayCase):
    """A request that an upstream shed because of its load is placed again."""

    def record_calls(self, name):
        """Record and pass on the calls of a dispatcher method; return the mock."""
        wrapped = getattr(self.dispatcher, name)
        patch = mock.patch.object(self.dispatcher, name, side_effect=wrapped)
        self.addCleanup(patch.stop)
        return patch.start()

    def test_upstream_that_shed_is_tried_again(self):
        """With permanent exclusion a full pool is exhausted within one service time."""
        self.start(shed_once)
        acquired, allowed = self.record_calls("acquire"), self.record_calls("may_retry")
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.request_counts(), [2])
        self.assertEqual([c.kwargs["attempts"] for c in acquired.mock_calls], [0, 1])
        self.assertEqual([c.kwargs["attempts"] for c in allowed.mock_calls], [1])

    def test_placements_end_at_the_limit_of_the_dispatcher(self):
        """Without a limit, requests would be sent to a full pool until the deadline."""
        self.start(lambda *_: SHED_503)
        self.assert_refused(self.book(), 503, "not-run")
        self.assertEqual(self.request_counts(), [MAX_SHED_RETRIES + 1])

    def test_booking_that_may_have_run_is_not_placed_again(self):
        """A certificate applies to its own attempt, not to one that was lost later."""
        self.start(lambda c, _: SHED_503 if c == 1 else TRUNCATED_200, lambda *_: OK)
        self.assert_refused(self.book(), 502, "unknown")
        self.assertEqual(self.request_counts(), [2, 0])

    def test_refusal_of_the_queue_says_when_to_try_again(self):
        self.start(lambda *_: SHED_503)
        queue_refusal = Refusal(
            "full",
            code="overloaded",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=1234.5,
        )
        acquire = self.dispatcher.acquire

        def acquire_once(*arguments, attempts, **options):
            if attempts:
                raise queue_refusal
            return acquire(*arguments, attempts=attempts, **options)

        with mock.patch.object(self.dispatcher, "acquire", acquire_once):
            response = self.book()
        self.assert_refused(response, 503, "not-run")
        self.assertEqual(response.header("Retry-After"), "2")
        # With whole seconds, all refused callers would retry at the same instant.
        self.assertEqual(response.header("Monsoonline-Retry-After-Ms"), "1235")


class TestFinalRefusals(RelayCase):
    """A copy of a request that arrives after its refusal is refused as well."""

    def assert_final(self, status, code, *responses):
        """Check refusals, and that a resend of the same request gets the same one."""
        for each in (*responses, self.book()):
            self.assert_refused(each, status, "not-run")
            self.assertEqual(orjson.loads(each.body)["code"], code)
            self.assertEqual(each.header("Monsoonline-Token"), self.ledger.token())
        self.assertEqual(self.request_counts(), [0])
        self.assertEqual(self.book("2").body, b"ok")

    def test_refused_without_a_slot_while_a_copy_waits(self):
        """Both copies are in the entry, on two connections, when the first fails."""
        self.start(lambda *_: OK)
        entered, proceed = threading.Event(), threading.Event()

        def refuse(*arguments, **options):
            entered.set()
            proceed.wait(TIMEOUT_SECONDS)
            raise Refusal("full", code="no-slot", outcome=Outcome.NOT_RUN, status=503)

        with (
            concurrent.futures.ThreadPoolExecutor(2) as executor,
            mock.patch.object(self.dispatcher, "acquire", refuse),
        ):
            first = executor.submit(self.book)
            self.assertTrue(entered.wait(TIMEOUT_SECONDS))
            copy = executor.submit(self.book)
            proceed.set()
            responses = first.result(), copy.result()
        self.assert_final(503, "no-slot", *responses)

    def test_copy_arrives_after_a_deadline_refusal(self):
        self.start(lambda *_: OK)
        refused = self.book("1", ("Monsoonline-Deadline-Ms", "0"))
        self.assert_final(504, "deadline", refused)

    def test_copy_arrives_after_an_invalid_header_was_refused(self):
        self.start(lambda *_: OK)
        refused = self.book("1", ("Monsoonline-Deadline-Ms", "soon"))
        self.assert_final(400, "deadline-invalid", refused)

    def test_copy_arrives_when_newer_tables_have_its_route(self):
        self.start(lambda *_: OK)
        self.relay.use_tables(Tables())
        refused = self.book()
        self.relay.use_tables(self.tables(RefusalMeaning.NOT_RUN, 0))
        self.assert_final(404, "no-route", refused)


class TestFingerprint(unittest.TestCase):
    """The fingerprint decides which requests are resends of one another."""

    def fingerprint(self, host, target="/booking"):
        return fingerprint_of(Request(method="POST", host=host, target=target))

    def test_address_of_the_entry_is_ignored(self):
        """A resend to the address of another entry would be refused as a reused key."""
        hosts = ("10.0.0.1", "10.0.0.2", "::1", "[fe80::1]", "")
        self.assertEqual(len({self.fingerprint(host) for host in hosts}), 1)

    def test_host_names_are_distinguished(self):
        """Two host names may match two routes."""
        hosts = ("bookings", "stock", "10.0.0.1", "10.0.0.1.example")
        self.assertEqual(len({self.fingerprint(host) for host in hosts}), 4)
        self.assertNotEqual(self.fingerprint("a"), self.fingerprint("a", "/other"))


class TestUnexpectedErrors(RelayCase):
    """An unexpected error releases the slot and completes the record."""

    def test_error_in_the_transport(self):
        """A leaked slot or an open record would outlive the request."""
        self.start(lambda *_: OK)
        with (
            mock.patch.object(self.transport, "exchange", side_effect=RuntimeError),
            self.assertLogs("monsoonline.entry.relay", "ERROR"),
        ):
            self.assert_refused(self.book(), 500, "unknown")
        self.assertEqual(self.released, ["connection-lost"])
        self.assert_refused(self.book(), 500, "unknown")
        self.assertEqual(self.request_counts(), [0])
        self.assertEqual(
            self.metrics.value(
                "refusals_total",
                route="booking",
                code="internal-error",
                outcome="unknown",
            ),
            1,
        )


class TestDeadlines(RelayCase):
    """No request is sent whose response would come too late."""

    def test_caller_shortens_the_deadline(self):
        self.start(lambda *_: None)
        started = time.monotonic()
        response = self.lookup(("Monsoonline-Deadline-Ms", "60"))
        self.assert_refused(response, 504, "unknown")
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(self.released, ["timed-out"])

    def test_deadline_that_passed_sends_nothing(self):
        self.start(lambda *_: OK)
        response = self.lookup(("Monsoonline-Deadline-Ms", "0"))
        self.assert_refused(response, 504, "not-run")
        self.assertEqual(self.request_counts(), [0])

    def test_invalid_deadline(self):
        self.start(lambda *_: OK)
        for value in ("soon", "-1", "nan", "1e9", ""):
            with self.subTest(value):
                response = self.lookup(("Monsoonline-Deadline-Ms", value))
                self.assert_refused(response, 400, "not-run")

    def test_upstream_that_began_to_leave_gets_no_request(self):
        """A waiting request must not go to an upstream that has begun to leave."""
        self.start(lambda *_: OK, lambda *_: OK)
        acquire = self.dispatcher.acquire

        def acquire_then_leave(*arguments, **options):
            assignment = acquire(*arguments, **options)
            self.dispatcher.set_leaving(self.servers[0].address, source="vm-list")
            return assignment

        with mock.patch.object(self.dispatcher, "acquire", acquire_then_leave):
            self.assertEqual(self.lookup().body, b"ok")
        self.assertEqual(self.request_counts(), [0, 1])
        self.assertEqual(self.released, ["cancelled", "succeeded"])


class TestCrashHold(RelayCase):
    """The response after a lost connection is delayed until peers know of the crash."""

    def send_timed(self, send):
        self.transport.is_reachable = lambda upstream: False
        self.dispatcher.response_delay_ms = functools.partial(
            Dispatcher.response_delay_ms, self.dispatcher
        )
        started = time.monotonic()
        response = send()
        return response, (time.monotonic() - started) * 1e3

    def test_refusal_after_a_crash_is_delayed(self):
        """A resend through an entry that is unaware would crash another upstream."""
        self.start(lambda *_: TRUNCATED_200)
        with mock.patch("monsoonline.core.dispatch.RESPONSE_DELAY_MS", 150.0):
            response, elapsed_ms = self.send_timed(self.book)
        self.assert_refused(response, 502, "unknown")
        self.assertGreaterEqual(elapsed_ms, 150.0)

    def test_truncated_response_of_a_reachable_upstream_is_no_crash(self):
        """A common request must not be blocked because its responses were truncated."""
        self.start(
            lambda *_: TRUNCATED_200, lambda *_: TRUNCATED_200, lambda *_: TRUNCATED_200
        )
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assertEqual(self.dispatcher.take_crash_reports(), ())
        server = self.servers[0]
        upstream = Upstream(address=server.address, failure_domain="a", slots=1)
        server.close()
        self.assertFalse(self.transport.is_reachable(upstream))

    def test_delay_ends_at_the_deadline(self):
        self.start(lambda *_: TRUNCATED_200)
        header = ("Monsoonline-Deadline-Ms", "200")
        response, elapsed_ms = self.send_timed(lambda: self.book("1", header))
        self.assert_refused(response, 502, "unknown")
        self.assertLess(elapsed_ms, 1000.0)

    def test_success_of_a_retry_is_not_delayed(self):
        self.start(lambda *_: TRUNCATED_200, lambda *_: OK)
        response, elapsed_ms = self.send_timed(self.lookup)
        self.assertEqual(response.body, b"ok")
        self.assertLess(elapsed_ms, 1000.0)


class TestOwnCauses(RelayCase):
    """An attempt that this entry ended itself is not counted against the upstream."""

    def test_full_connection_pool_uses_another_upstream(self):
        """Reported as a failed connection, it would eject a healthy upstream."""
        self.start(lambda *_: OK, lambda *_: OK)
        self.transport.connections(self.servers[0].address).limit = 0
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.request_counts(), [0, 1])
        self.assertEqual(self.released, ["cancelled", "succeeded"])

    def test_all_connection_pools_full(self):
        self.start(lambda *_: OK, lambda *_: OK)
        for server in self.servers:
            self.transport.connections(server.address).limit = 0
        response = self.book()
        self.assert_refused(response, 503, "not-run")
        self.assertEqual(orjson.loads(response.body)["code"], "connection-limit")
        self.assertEqual(response.header("Retry-After"), "1")
        self.assertEqual(self.released, ["cancelled", "cancelled"])

    def test_full_connection_pool_after_a_send_is_not_retried(self):
        """The first upstream may be running the request already."""
        self.start(lambda *_: OK, lambda *_: OK)
        error = ExchangeFailed("full", sent=True, own_cause="connection-limit")
        with mock.patch.object(self.transport, "exchange", side_effect=error) as sent:
            self.assert_refused(self.lookup(), 503, "unknown")
        sent.assert_called_once()

    def test_deadline_that_passes_while_connecting_sends_nothing(self):
        """Reported as a failed connection, it would eject a healthy upstream."""
        self.start(lambda *_: OK)
        connect = UpstreamConnection.connect

        def connect_slowly(connection):
            connect(connection)
            time.sleep(0.06)

        with mock.patch.object(UpstreamConnection, "connect", connect_slowly):
            response = self.book("1", ("Monsoonline-Deadline-Ms", "50"))
        self.assert_refused(response, 504, "not-run")
        self.assertEqual(orjson.loads(response.body)["code"], "deadline")
        self.assertEqual(self.released, ["cancelled"])
        self.assertEqual(self.request_counts(), [0])


class TestCallerDisconnect(RelayCase):
    """A closed connection of the caller cancels lookups, but no bookings."""

    def call_and_disconnect(self, method, path):
        server = HttpServer(
            handler=self.relay.handle, host="127.0.0.1", port=0, workers=4
        )
        server.start()
        self.addCleanup(server.close)
        host, _, port = server.address.partition(":")
        caller = socket.create_connection((host, int(port)), TIMEOUT_SECONDS)
        key = f"{self.ledger.token()}.1"
        lines = f"{method} {path} HTTP/1.1\r\nHost: a\r\nMonsoonline-Key: {key}\r\n\r\n"
        caller.sendall(lines.encode())
        self.assertTrue(self.arrived.wait(TIMEOUT_SECONDS))
        caller.close()

    def script(self, *_):
        self.arrived.set()
        self.proceed.wait(TIMEOUT_SECONDS)
        return OK

    def setUp(self):
        self.arrived, self.proceed = threading.Event(), threading.Event()

    def wait_for(self, condition):
        limit = time.monotonic() + TIMEOUT_SECONDS
        while not condition() and time.monotonic() < limit:
            time.sleep(0.002)
        self.assertTrue(condition())

    def test_lookup_is_cancelled(self):
        """An upstream slot must not be held for a response that nobody reads."""
        self.start(self.script)
        self.call_and_disconnect("GET", "/lookup")
        self.wait_for(lambda: self.released == ["cancelled"])
        self.proceed.set()

    def test_booking_runs_to_its_end_and_is_recorded(self):
        """The caller's resend must get the response that the first request missed."""
        self.start(self.script)
        self.call_and_disconnect("POST", "/booking")
        # Longer than the receive slice, after which the closed connection is noticed.
        time.sleep(3 * RECEIVE_TIMEOUT_MS / 1e3)
        self.assertEqual(self.released, [])
        self.proceed.set()
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.released, ["succeeded"])
        self.assertEqual(self.request_counts(), [1])


class TestHedges(RelayCase):
    """A slow attempt of an idempotent request is hedged."""

    def test_hedge_responds_and_the_first_attempt_is_cancelled(self):
        self.start(lambda *_: None, lambda *_: OK, hedges=1)
        with mock.patch.object(self.dispatcher, "hedge_delay_ms", lambda route: 20.0):
            started = time.monotonic()
            self.assertEqual(self.lookup().body, b"ok")
        self.assertLess(time.monotonic() - started, 1.0)
        # Well before the deadline of 2 s, which would end the first attempt too.
        self.assertTrue(self.servers[0].ended.wait(1.0))
        self.assertEqual(self.released[0], "succeeded")
        self.assertEqual(self.metrics.value("hedges_total", route="lookup"), 1)

    def hedged_lookup(self):
        with mock.patch.object(self.dispatcher, "hedge_delay_ms", lambda route: 20.0):
            return self.lookup()

    def test_hedge_has_the_fingerprint_of_its_request(self):
        """Without the fingerprint, a second upstream could crash unrecognized."""
        self.start(lambda *_: None, lambda *_: OK, hedges=1)
        enqueue, seen = self.dispatcher.enqueue, []

        def record(route, *, fingerprint, **options):
            seen.append(fingerprint)
            return enqueue(route, fingerprint=fingerprint, **options)

        with mock.patch.object(self.dispatcher, "enqueue", record):
            self.assertEqual(self.hedged_lookup().body, b"ok")
        request = Request(method="GET", host="a", target="/lookup")
        self.assertEqual(seen, [fingerprint_of(request)] * 2)

    def test_shed_hedge_is_placed_again(self):
        """A request must not keep waiting after a busy upstream shed its hedge."""
        self.start(lambda *_: None, shed_once, hedges=1)
        self.assertEqual(self.hedged_lookup().body, b"ok")
        self.assertEqual(self.request_counts(), [1, 2])
        self.assertEqual(self.metrics.value("hedges_total", route="lookup"), 2)

    def test_hedge_does_not_wait_in_the_queue(self):
        """A waiting hedge would take a slot after its request has its response."""
        proceed = threading.Event()
        self.start(lambda *_: proceed.wait(TIMEOUT_SECONDS) and OK, hedges=1)
        pool = self.dispatcher.pools["p"]
        expire = self.dispatcher.expire

        def expire_then_proceed(ticket):
            expire(ticket)
            proceed.set()

        with (
            mock.patch.object(type(pool), "limit", 1),
            mock.patch.object(self.dispatcher, "expire", expire_then_proceed),
            mock.patch.object(pool, "_refusal_for", lambda ticket, now: None),
        ):
            self.assertEqual(self.hedged_lookup().body, b"ok")
        self.assertEqual(pool.queues.waiting, 0)
        self.assertEqual(self.request_counts(), [1])

    def start_lost_first_and_shed_hedge(self, first_ended):
        """Start an upstream that truncates its response, and one that then sheds.

        :param first_ended: event that is set after the end of the first attempt
        """
        hedge_arrived = threading.Event()

        def truncate_after_hedge(*_):
            hedge_arrived.wait(TIMEOUT_SECONDS)
            return TRUNCATED_200

        def shed_last(*_):
            hedge_arrived.set()
            first_ended.wait(TIMEOUT_SECONDS)
            return CERTIFIED_503

        self.start(truncate_after_hedge, shed_last, hedges=1)

    def test_lost_first_attempt_is_unknown_when_the_hedge_is_shed_last(self):
        """The certificate of the hedge says nothing about the first attempt."""
        first_ended = threading.Event()
        record_end = AttemptHistory.record_end

        def record(history, *arguments):
            record_end(history, *arguments)
            first_ended.set()

        self.start_lost_first_and_shed_hedge(first_ended)
        with mock.patch.object(AttemptHistory, "record_end", record):
            self.assert_refused(self.hedged_lookup(), 503, "unknown")
        self.assertEqual(self.released, ["connection-lost", "shed"])

    def test_attempts_that_end_together_are_taken_in_any_order(self):
        """The outcome must be that of the last attempt to end."""
        first_success = Relay._first_success

        def wait_for_both(relay, route, open_attempts, ended, *arguments):
            for count, event in ((1, first_ended), (2, threading.Event())):
                limit = time.monotonic() + TIMEOUT_SECONDS
                while ended.qsize() < count and time.monotonic() < limit:
                    time.sleep(0.002)
                event.set()
            return first_success(relay, route, open_attempts, ended, *arguments)

        with mock.patch.object(Relay, "_first_success", wait_for_both):
            for number in range(8):
                with self.subTest(number):
                    first_ended = threading.Event()
                    self.start_lost_first_and_shed_hedge(first_ended)
                    self.assert_refused(self.hedged_lookup(), 503, "unknown")

    def test_booking_is_never_hedged(self):
        self.start(lambda *_: self.clock.sleep(60.0) or OK, lambda *_: OK, hedges=1)
        with mock.patch.object(self.dispatcher, "hedge_delay_ms", lambda route: 1.0):
            self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.request_counts(), [1, 0])


class TestRefusalBody(RelayCase):
    """Callers can parse the body of a refusal."""

    def test_body_names_outcome_and_code(self):
        self.start(lambda *_: OK)
        response = self.relay.handle(Request(method="GET", host="a", target="/none"))
        document = orjson.loads(response.body)
        self.assertEqual(
            (document["outcome"], document["code"]), ("not-run", "no-route")
        )
