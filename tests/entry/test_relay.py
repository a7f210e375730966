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
    RECEIVE_SLICE_MS,
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
from monsoonline.entry.relay import Relay, fingerprint_of
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Outcome, Request
from tests.adapters.scripted_upstream import OK, Reply, ScriptedUpstream

CUT = Reply(content=b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", close=True)
BARE_503 = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
CERTIFIED_503 = (
    b"HTTP/1.1 503 Busy\r\nMonsoonline-Not-Run: true\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\n\r\n"
)
SHED_503 = CERTIFIED_503.replace(b"Retry-After: 2\r\n", b"")
TIMEOUT_SECONDS = 5.0


@policies.register("first-usable")
class FirstUsablePolicy(Policy):
    """The usable upstream that the pool lists first, so that scripts apply."""

    def choose(self, view, now, excluded):
        usable = [s for s in view.available if self._usable(s, now, excluded)]
        return min(usable, key=lambda s: ORDER.get(s.upstream.address, 0), default=None)


ORDER = {}


class RelayCase(unittest.TestCase):
    """A relay with a lookup and a booking route to scripted upstreams."""

    def start(self, *scripts, means=RefusalMeaning.NOT_RUN, hedges=0):
        """Start one upstream for each script; the first is preferred."""
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.ledger = Ledger(clock=self.clock)
        self.dispatcher = Dispatcher(clock=self.clock)
        # The hold has tests of its own.
        self.dispatcher.hold_ms = lambda fingerprint: 0.0
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
        tables = self.tables(means, hedges)
        self.dispatcher.update_tables(tables)
        self.relay.use_tables(tables)

    def tables(self, means, hedges):
        upstreams = tuple(
            Upstream(address=server.address, failure_domain="a", slots=3)
            for server in self.servers
        )
        ORDER.update({u.address: index for index, u in enumerate(upstreams)})
        pool = Pool(
            name="p",
            department="d",
            upstreams=upstreams,
            refusal_means=means,
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

    def runs(self):
        return [len(server.requests) for server in self.servers]

    def assert_refused(self, answer, status, outcome):
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.header("Monsoonline-Outcome"), outcome)


class TestOutcomes(RelayCase):
    """Not-run is stated only when it is certain."""

    def test_cut_answer_is_unknown(self):
        """A part of an answer must not reach the caller, nor the booking run twice."""
        self.start(lambda *_: CUT, lambda *_: OK)
        for _ in range(2):
            self.assert_refused(self.book(), 502, "unknown")
        self.assertEqual(self.runs(), [1, 0])

    def test_cut_answer_of_a_lookup_is_retried(self):
        self.start(lambda *_: CUT, lambda *_: OK)
        self.assertEqual(self.lookup().body, b"ok")
        self.assertEqual(self.runs(), [1, 1])

    def test_bare_503_is_unknown(self):
        """An intermediary's 503 does not prove that the booking did not run."""
        self.start(lambda *_: BARE_503, lambda *_: OK)
        for _ in range(2):
            self.assert_refused(self.book(), 503, "unknown")
        self.assertEqual(self.runs(), [1, 0])

    def test_certified_refusal_is_not_run(self):
        self.start(lambda *_: CERTIFIED_503)
        answer = self.book()
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(answer.header("Retry-After"), "2")
        again = self.book()
        self.assert_refused(again, 503, "not-run")
        self.assertEqual(again.header("Retry-After"), "2")
        self.assertEqual(self.runs(), [1], "a refused key must not run later")
        self.book("2")
        self.assertEqual(self.runs(), [2], "a new key may run")

    def test_certified_refusal_is_retried_elsewhere(self):
        self.start(lambda *_: CERTIFIED_503, lambda *_: OK)
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.runs(), [1, 1])

    def test_certificate_counts_only_where_the_pool_says_so(self):
        self.start(
            lambda *_: CERTIFIED_503, lambda *_: OK, means=RefusalMeaning.UNKNOWN
        )
        answer = self.book()
        self.assert_refused(answer, 503, "unknown")
        self.assertIsNone(answer.header("Monsoonline-Not-Run"))
        self.assertEqual(self.runs(), [1, 0])

    def test_refused_connection_is_not_run(self):
        self.start(lambda *_: OK)
        self.servers[0].close()
        self.assert_refused(self.book(), 502, "not-run")

    def test_earlier_attempt_counts(self):
        """A second attempt that was never sent does not undo the first one."""
        self.start(lambda *_: CUT, lambda *_: OK)
        self.servers[1].close()
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assertEqual(self.released, ["connection-lost", "connect-failed"])

    def test_upstream_cannot_state_the_outcome(self):
        """A header of the upstream's own upstream is about another request."""
        self.start(
            lambda *_: OK.replace(b"OK\r\n", b"OK\r\nMonsoonline-Outcome: not-run\r\n")
        )
        self.assertIsNone(self.lookup().header("Monsoonline-Outcome"))


def shed_once(_, request):
    """Script of an upstream that has a free slot for the second request."""
    return SHED_503 if request == 1 else OK


class TestPlacements(RelayCase):
    """A request that upstreams refused for their load is placed again."""

    def spy(self, name):
        """Return the calls of a method of the dispatcher."""
        wrapped = getattr(self.dispatcher, name)
        patch = mock.patch.object(self.dispatcher, name, side_effect=wrapped)
        self.addCleanup(patch.stop)
        return patch.start()

    def test_upstream_that_shed_is_asked_again(self):
        """Excluded for good, a full pool is used up within one service time."""
        self.start(shed_once)
        acquired, allowed = self.spy("acquire"), self.spy("may_retry")
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.runs(), [2])
        self.assertEqual([c.kwargs["attempts"] for c in acquired.mock_calls], [0, 1])
        self.assertEqual([c.kwargs["attempts"] for c in allowed.mock_calls], [1])

    def test_placements_end_at_the_limit_of_the_dispatcher(self):
        """Without a limit a full pool would be asked until the deadline."""
        self.start(lambda *_: SHED_503)
        self.assert_refused(self.book(), 503, "not-run")
        self.assertEqual(self.runs(), [MAX_SHED_RETRIES + 1])

    def test_booking_that_may_have_run_is_not_placed_again(self):
        """A certificate covers its own attempt, not one that was lost later."""
        self.start(lambda _, n: SHED_503 if n == 1 else CUT, lambda *_: OK)
        self.assert_refused(self.book(), 502, "unknown")
        self.assertEqual(self.runs(), [2, 0])

    def test_refusal_of_the_queue_says_when_to_try_again(self):
        self.start(lambda *_: SHED_503)
        full = Refusal(
            "full",
            code="overloaded",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=1234.5,
        )
        acquire = self.dispatcher.acquire

        def acquire_once(*arguments, attempts, **options):
            if attempts:
                raise full
            return acquire(*arguments, attempts=attempts, **options)

        with mock.patch.object(self.dispatcher, "acquire", acquire_once):
            answer = self.book()
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(answer.header("Retry-After"), "2")
        # Whole seconds would send all refused callers back at the same instant.
        self.assertEqual(answer.header("Monsoonline-Retry-After-Ms"), "1235")


class TestFinalRefusals(RelayCase):
    """A copy of a refused request arrives later than the refusal."""

    def assert_final(self, status, code, *answers):
        """Check a refusal, and that the same bytes get the same once more."""
        for each in (*answers, self.book()):
            self.assert_refused(each, status, "not-run")
            self.assertEqual(orjson.loads(each.body)["code"], code)
            self.assertEqual(each.header("Monsoonline-Token"), self.ledger.token())
        self.assertEqual(self.runs(), [0])
        self.assertEqual(self.book("2").body, b"ok")

    def test_refused_without_a_slot_while_a_copy_waits(self):
        """Both copies are at the entry, on two connections, when the first fails."""
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
            answers = first.result(), copy.result()
        self.assert_final(503, "no-slot", *answers)

    def test_copy_arrives_after_a_deadline_refusal(self):
        self.start(lambda *_: OK)
        late = self.book("1", ("Monsoonline-Deadline-Ms", "0"))
        self.assert_final(504, "deadline", late)

    def test_copy_arrives_after_an_invalid_header_was_refused(self):
        self.start(lambda *_: OK)
        late = self.book("1", ("Monsoonline-Deadline-Ms", "soon"))
        self.assert_final(400, "deadline-invalid", late)

    def test_copy_arrives_when_newer_tables_have_its_route(self):
        self.start(lambda *_: OK)
        self.relay.use_tables(Tables())
        refused = self.book()
        self.relay.use_tables(self.tables(RefusalMeaning.NOT_RUN, 0))
        self.assert_final(404, "no-route", refused)


class TestFingerprint(unittest.TestCase):
    """Which requests count as resends of one another."""

    def of(self, host, target="/booking"):
        return fingerprint_of(Request(method="POST", host=host, target=target))

    def test_address_of_the_entry_does_not_count(self):
        """A resend to another entry by its address would be refused as reused."""
        hosts = ("10.0.0.1", "10.0.0.2", "::1", "[fe80::1]", "")
        self.assertEqual(len({self.of(host) for host in hosts}), 1)

    def test_host_names_count(self):
        """Two names may lead to two routes."""
        hosts = ("bookings", "stock", "10.0.0.1", "10.0.0.1.example")
        self.assertEqual(len({self.of(host) for host in hosts}), 4)
        self.assertNotEqual(self.of("a"), self.of("a", "/other"))


class TestUnexpectedErrors(RelayCase):
    """An unexpected error settles everything that was opened."""

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
        self.assertEqual(self.runs(), [0])
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
    """No work for an answer that comes too late."""

    def test_caller_shortens_the_deadline(self):
        self.start(lambda *_: None)
        started = time.monotonic()
        answer = self.lookup(("Monsoonline-Deadline-Ms", "60"))
        self.assert_refused(answer, 504, "unknown")
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(self.released, ["timed-out"])

    def test_deadline_that_passed_sends_nothing(self):
        self.start(lambda *_: OK)
        answer = self.lookup(("Monsoonline-Deadline-Ms", "0"))
        self.assert_refused(answer, 504, "not-run")
        self.assertEqual(self.runs(), [0])

    def test_invalid_deadline(self):
        self.start(lambda *_: OK)
        for value in ("soon", "-1", "nan", "1e9", ""):
            with self.subTest(value):
                answer = self.lookup(("Monsoonline-Deadline-Ms", value))
                self.assert_refused(answer, 400, "not-run")

    def test_upstream_that_began_to_leave_gets_nothing(self):
        """A request that waited must not go to an upstream marked meanwhile."""
        self.start(lambda *_: OK, lambda *_: OK)
        acquire = self.dispatcher.acquire

        def acquire_then_leave(*arguments, **options):
            assignment = acquire(*arguments, **options)
            self.dispatcher.set_leaving(self.servers[0].address, source="vm-list")
            return assignment

        with mock.patch.object(self.dispatcher, "acquire", acquire_then_leave):
            self.assertEqual(self.lookup().body, b"ok")
        self.assertEqual(self.runs(), [0, 1])
        self.assertEqual(self.released, ["cancelled", "succeeded"])


class TestCrashHold(RelayCase):
    """The answer to a lost connection waits until other entries know of the crash."""

    def timed(self, send):
        self.transport.is_reachable = lambda upstream: False
        self.dispatcher.hold_ms = functools.partial(Dispatcher.hold_ms, self.dispatcher)
        started = time.monotonic()
        answer = send()
        return answer, (time.monotonic() - started) * 1e3

    def test_refusal_after_a_crash_is_held(self):
        """The caller's resend would crash an upstream of an unaware entry."""
        self.start(lambda *_: CUT)
        with mock.patch("monsoonline.core.dispatch.RESPONSE_HOLD_MS", 150.0):
            answer, elapsed_ms = self.timed(self.book)
        self.assert_refused(answer, 502, "unknown")
        self.assertGreaterEqual(elapsed_ms, 150.0)

    def test_truncated_answer_of_a_living_upstream_is_no_crash(self):
        """A common request must not be blocked because its answers were truncated."""
        self.start(lambda *_: CUT, lambda *_: CUT, lambda *_: CUT)
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assert_refused(self.lookup(), 502, "unknown")
        self.assertEqual(self.dispatcher.take_crash_reports(), ())
        server = self.servers[0]
        upstream = Upstream(address=server.address, failure_domain="a", slots=1)
        server.close()
        self.assertFalse(self.transport.is_reachable(upstream))

    def test_hold_ends_at_the_deadline(self):
        self.start(lambda *_: CUT)
        header = ("Monsoonline-Deadline-Ms", "200")
        answer, elapsed_ms = self.timed(lambda: self.book("1", header))
        self.assert_refused(answer, 502, "unknown")
        self.assertLess(elapsed_ms, 1000.0)

    def test_success_of_a_retry_is_not_held(self):
        self.start(lambda *_: CUT, lambda *_: OK)
        answer, elapsed_ms = self.timed(self.lookup)
        self.assertEqual(answer.body, b"ok")
        self.assertLess(elapsed_ms, 1000.0)


class TestOwnCauses(RelayCase):
    """Attempts that this entry ended itself say nothing about the upstream."""

    def test_full_connection_pool_uses_another_upstream(self):
        """Reported as a failed connection, it would eject a healthy upstream."""
        self.start(lambda *_: OK, lambda *_: OK)
        self.transport.connections(self.servers[0].address).limit = 0
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.runs(), [0, 1])
        self.assertEqual(self.released, ["cancelled", "succeeded"])

    def test_all_connection_pools_full(self):
        self.start(lambda *_: OK, lambda *_: OK)
        for server in self.servers:
            self.transport.connections(server.address).limit = 0
        answer = self.book()
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(orjson.loads(answer.body)["code"], "connection-limit")
        self.assertEqual(answer.header("Retry-After"), "1")
        self.assertEqual(self.released, ["cancelled", "cancelled"])

    def test_full_connection_pool_after_a_send_is_no_free_retry(self):
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
            answer = self.book("1", ("Monsoonline-Deadline-Ms", "50"))
        self.assert_refused(answer, 504, "not-run")
        self.assertEqual(orjson.loads(answer.body)["code"], "deadline")
        self.assertEqual(self.released, ["cancelled"])
        self.assertEqual(self.runs(), [0])


class TestCallerHangUp(RelayCase):
    """What happens upstream when the caller is gone."""

    def call_and_hang_up(self, method, path):
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
        """An upstream slot must not be held for an answer nobody reads."""
        self.start(self.script)
        self.call_and_hang_up("GET", "/lookup")
        self.wait_for(lambda: self.released == ["cancelled"])
        self.proceed.set()

    def test_booking_runs_to_its_end_and_is_recorded(self):
        """The caller's resend must get the answer that the first one missed."""
        self.start(self.script)
        self.call_and_hang_up("POST", "/booking")
        # Longer than the receive slice, after which a hang-up would be seen.
        time.sleep(3 * RECEIVE_SLICE_MS / 1e3)
        self.assertEqual(self.released, [])
        self.proceed.set()
        self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.released, ["succeeded"])
        self.assertEqual(self.runs(), [1])


class TestHedges(RelayCase):
    """A slow idempotent attempt is duplicated."""

    def test_second_attempt_answers_and_the_first_is_cancelled(self):
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
        """A hedge could crash a second upstream without being recognised."""
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
        """A hedge that a busy upstream refused would leave the request waiting."""
        self.start(lambda *_: None, shed_once, hedges=1)
        self.assertEqual(self.hedged_lookup().body, b"ok")
        self.assertEqual(self.runs(), [1, 2])
        self.assertEqual(self.metrics.value("hedges_total", route="lookup"), 2)

    def test_hedge_does_not_wait_in_the_queue(self):
        """A waiting hedge would take a slot after its request has its answer."""
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
        self.assertEqual(self.runs(), [1])

    def test_lost_first_attempt_counts_when_the_hedge_is_shed_last(self):
        """The certificate of the hedge says nothing about the first attempt."""
        arrived = threading.Event()

        def lose(*_):
            arrived.wait(TIMEOUT_SECONDS)
            return CUT

        def shed_last(*_):
            arrived.set()
            limit = time.monotonic() + TIMEOUT_SECONDS
            while not self.released and time.monotonic() < limit:
                time.sleep(0.002)
            return CERTIFIED_503

        self.start(lose, shed_last, hedges=1)
        self.assert_refused(self.hedged_lookup(), 503, "unknown")
        self.assertEqual(self.released, ["connection-lost", "shed"])

    def test_booking_is_never_hedged(self):
        self.start(lambda *_: self.clock.sleep(60.0) or OK, lambda *_: OK, hedges=1)
        with mock.patch.object(self.dispatcher, "hedge_delay_ms", lambda route: 1.0):
            self.assertEqual(self.book().body, b"ok")
        self.assertEqual(self.runs(), [1, 0])


class TestRefusalBody(RelayCase):
    """Programs can read a refusal."""

    def test_body_names_outcome_and_code(self):
        self.start(lambda *_: OK)
        answer = self.relay.handle(Request(method="GET", host="a", target="/none"))
        document = orjson.loads(answer.body)
        self.assertEqual(
            (document["outcome"], document["code"]), ("not-run", "no-route")
        )
