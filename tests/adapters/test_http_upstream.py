"""Tests of the upstream transport with raw sockets."""

import http.client
import threading
import time
import unittest

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.http_response import MAX_RESPONSE_BYTES
from monsoonline.adapters.http_upstream import ExchangeFailed, HttpUpstreamTransport
from monsoonline.clock import SystemClock
from monsoonline.core.model import Pool, Tables, Upstream
from monsoonline.types import Request
from tests.adapters.endless_replies import ENDLESS_REPLIES
from tests.adapters.scripted_upstream import OK, Reply, ScriptedUpstream, header_of

DEADLINE_MS = 400.0
LONG_DEADLINE_MS = 5000.0


class TransportCase(unittest.TestCase):
    """A transport with a scripted upstream."""

    def start(self, script):
        self.clock = SystemClock()
        self.events = []
        self.transport = HttpUpstreamTransport(
            clock=self.clock, count=self.events.append
        )
        self.server = ScriptedUpstream(script=script)
        self.addCleanup(self.server.close)
        self.addCleanup(self.transport.close)
        self.upstream = Upstream(
            address=self.server.address, failure_domain="a", slots=3
        )

    def exchange(
        self, method="GET", idempotent=True, within_ms=DEADLINE_MS, cancellation=None
    ):
        return self.transport.exchange(
            self.upstream,
            Request(method=method, host="a", target="/x", headers=(("Host", "a"),)),
            deadline=self.clock.now() + within_ms,
            idempotent=idempotent,
            cancellation=cancellation,
        )

    def fail_exchange(self, **options):
        with self.assertRaises(ExchangeFailed) as caught:
            self.exchange(**options)
        return caught.exception


class TestCompleteResponses(TransportCase):
    """An exchange yields a complete response or an error."""

    def test_truncated_or_invalid_response_is_an_error(self):
        """Guards against forwarding a truncated or ambiguous response as complete."""
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        replies = {
            "body cut": head + b"Content-Length: 9\r\n\r\nabc",
            "head cut": head + b"Content-Le",
            "no response": b"",
            "last chunk missing": chunked + b"3\r\nabc\r\n",
            "trailer cut": chunked + b"3\r\nabc\r\n0\r\n",
            "chunk cut": chunked + b"9\r\nabc",
            "chunk without end": chunked + b"3\r\nabcXX0\r\n\r\n",
            "signed chunk size": chunked + b"+3\r\nabc\r\n0\r\n\r\n",
            "hexadecimal prefix": chunked + b"0x3\r\nabc\r\n0\r\n\r\n",
            "no length": head + b"\r\nabc",
            "no length and no body": head + b"\r\n",
            "two lengths": head + b"Content-Length: 3\r\n" * 2 + b"\r\nabc",
            "length and chunks": head
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            "unknown coding": head + b"Transfer-Encoding: gzip\r\n\r\nabc",
            "negative length": head + b"Content-Length: -1\r\n\r\n",
            "folded header": head + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
            "bare line feed": head + b"X: a\nContent-Length: 0\r\n\r\n",
            "protocol switch": b"HTTP/1.1 101 Switching\r\n\r\n",
            "other protocol": b"SSH-2.0 x\r\n",
            "too large": head
            + b"Content-Length: %d\r\n\r\n" % (MAX_RESPONSE_BYTES + 1),
            "large headers": head + b"X: " + b"x" * (65 << 10) + b"\r\n\r\n",
        }
        for name, content in replies.items():
            with self.subTest(name):
                self.start(lambda *_, c=content: Reply(content=c, close=True))
                error = self.fail_exchange(idempotent=False)
                self.assertTrue(error.sent)
                self.assertEqual(
                    self.transport.connections(self.upstream.address).open, 0
                )

    def test_response_without_end_is_read_on(self):
        other = OK.replace(b"OK\r\n", b"OK\r\nMonsoonline-Exchange-Id: other\r\n")
        others = {"responses to others": Reply(content=b"", endless=other * 64)}
        for name, reply in (ENDLESS_REPLIES | others).items():
            with self.subTest(name):
                self.start(lambda *_, reply=reply: reply)
                # Reading ends at the deadline, or when the size limit is reached.
                started = time.monotonic()
                error = self.fail_exchange(idempotent=False, within_ms=1_500.0)
                self.assertLess(time.monotonic() - started, 2.5)
                self.assertTrue(error.sent)
                self.assertEqual(
                    self.transport.connections(self.upstream.address).open, 0
                )
                self.assertTrue(self.server.ended.wait(5.0))

    def test_complete_responses(self):
        cases = {
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2;a=b\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n": b"abcde",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
            + OK: b"ok",
            b"HTTP/1.1 204 No Content\r\n\r\n": b"",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n": b"",
        }
        for content, body in cases.items():
            with self.subTest(content):
                self.start(lambda *_, c=content: c)
                for _ in range(2):
                    self.assertEqual(self.exchange().body, body)
                self.assertEqual(self.server.connections, 1)

    def test_head_has_no_body(self):
        self.start(lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        for _ in range(2):
            response = self.exchange(method="HEAD")
            self.assertEqual(response.body, b"")
            self.assertEqual(response.header("Content-Length"), "9")
        self.assertEqual(self.server.connections, 1)

    def test_repeated_headers_are_kept_and_hop_by_hop_removed(self):
        self.start(
            lambda *_: (
                b"HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
                b"Connection: x-hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n"
            )
        )
        headers = self.exchange().headers
        self.assertEqual(headers, (("Set-Cookie", "a"), ("Set-Cookie", "b")))

    def test_remaining_time_is_sent(self):
        self.start(lambda *_: OK)
        self.exchange(within_ms=LONG_DEADLINE_MS)
        line = self.server.requests[0].partition(b"Deadline-Ms: ")[2]
        self.assertLessEqual(int(line.partition(b"\r\n")[0]), LONG_DEADLINE_MS)


class TestConnectionReuse(TransportCase):
    """A connection is not reused unless its last exchange ended cleanly."""

    def test_connection_is_not_reused(self):
        """Guards against a late or stray response being taken for the next one."""
        replies = {
            "extra bytes": OK + OK,
            "closed by header": OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
            "HTTP/1.0": OK.replace(b"1.1", b"1.0"),
        }
        for name, content in replies.items():
            with self.subTest(name):
                self.start(lambda *_, c=content: c)
                self.exchange()
                self.exchange()
                self.assertEqual(self.server.connections, 2)

    def test_bytes_that_arrive_while_idle(self):
        """Guards against using an unsolicited response on an idle connection."""
        self.start(lambda *_: OK)
        self.exchange()
        self.server._open[0].sendall(OK.replace(b"ok", b"no"))
        self.assertEqual(self.exchange().body, b"ok")
        self.assertEqual(self.server.connections, 2)
        self.assertIn("closed-by-peer", self.events)

    def test_connection_of_a_refusal_is_reused(self):
        """A refusal written once more would refuse the next request falsely."""
        refusal = OK.replace(b"200 OK", b"503 Busy")
        for delay_s in (0.0, 0.005, 0.05):
            with self.subTest(delay_s=delay_s):

                def script(connection, number, delay_s=delay_s):
                    if connection == 1 and number == 1:
                        return Reply(content=refusal, later=refusal, delay_s=delay_s)
                    time.sleep(0.06)
                    return OK

                self.start(script)
                self.assertEqual(self.exchange().status, 503)
                self.assertEqual(self.exchange(idempotent=False).status, 200)

    def test_late_copy_of_a_response_is_taken_for_the_next_one(self):
        previous = []

        def script(connection, number):
            name = "Monsoonline-Exchange-Id"
            own = header_of(self.server.last_request(), name)
            response = OK.replace(b"OK\r\n", f"OK\r\n{name}: {own}\r\n".encode())
            copies = b"".join(previous)
            previous[:] = [response.replace(b"ok", b"no")]
            return copies + response

        self.start(script)
        self.assertEqual(self.exchange().body, b"ok")
        self.assertEqual(self.exchange(idempotent=False).body, b"ok")
        self.exchange()
        self.assertEqual(self.server.connections, 2)

    def test_timed_out_connection(self):
        self.start(lambda connection, _: None if connection == 1 else OK)
        self.assertTrue(self.fail_exchange(idempotent=False, within_ms=30.0).timed_out)
        self.assertEqual(self.exchange().body, b"ok")
        self.assertEqual(self.server.connections, 2)

    def test_slowly_sent_response_times_out_at_the_deadline(self):
        """Guards against a deadline that is extended by each received byte."""
        stop = threading.Event()
        self.addCleanup(stop.set)

        def trickle(connection, _):
            def send():
                while not stop.wait(0.01):
                    self.server._open[0].sendall(b"X: y\r\n")

            threading.Thread(target=send, daemon=True).start()
            return b"HTTP/1.1 200 OK\r\n"

        self.start(trickle)
        started = self.clock.now()
        self.assertTrue(self.fail_exchange(idempotent=False, within_ms=60.0).timed_out)
        self.assertLess(self.clock.now() - started, LONG_DEADLINE_MS / 5)

    def test_library_never_resends(self):
        """Guards against http.client sending a booking again on a lost connection."""
        self.start(
            lambda _, request: OK if request == 1 else Reply(content=b"", close=1)
        )
        self.exchange(method="POST", idempotent=False)
        error = self.fail_exchange(method="POST", idempotent=False)
        self.assertTrue(error.sent)
        self.assertEqual(len(self.server.requests), 2)
        connection = self.transport.connections(self.upstream.address).open_new()
        with self.assertRaises(http.client.NotConnected):
            connection.send(b"x")

    def test_idempotent_request_is_retried_after_lost_connection(self):
        self.start(
            lambda connection, request: (
                OK
                if (connection, request) != (1, 2)
                else Reply(content=b"", close=True)
            )
        )
        self.exchange()
        self.assertEqual(self.exchange().body, b"ok")
        self.assertEqual(self.events.count("retried-lost"), 1)

    def test_refused_connection_counts_as_not_sent(self):
        self.start(lambda *_: OK)
        self.server.close()
        self.assertFalse(self.fail_exchange(idempotent=False).sent)

    def test_passed_deadline_counts_as_not_sent(self):
        self.start(lambda *_: OK)
        self.assertFalse(self.fail_exchange(within_ms=-1.0).sent)
        self.assertEqual(self.server.requests, [])


class TestUnresponsiveConnections(TransportCase):
    """The upstream stops responding on old connections but accepts new ones."""

    def test_idempotent_request_succeeds_long_before_its_deadline(self):
        """Guards against waiting for the deadline on an unresponsive connection."""
        unresponsive = threading.Event()
        self.start(
            lambda connection, _: (
                None if unresponsive.is_set() and connection <= 2 else OK
            )
        )
        pool = self.transport.connections(self.upstream.address)
        for connection in (pool.open_new(), pool.open_new()):
            connection.connect()
            pool.check_in(connection)
        self.exchange()
        unresponsive.set()
        started = self.clock.now()
        self.assertEqual(self.exchange(within_ms=LONG_DEADLINE_MS).body, b"ok")
        self.assertLess(self.clock.now() - started, LONG_DEADLINE_MS / 5)
        self.assertEqual(self.events.count("silent"), 1)
        self.assertEqual(pool.open, 1, "the other old connection must be closed")

    def test_slow_upstream_receives_fewer_retries(self):
        """Guards against retries that double the load of a slow upstream for long."""
        slow = threading.Event()

        def script(*_):
            if slow.is_set():
                self.clock.sleep(120.0)
            return OK

        self.start(script)
        for _ in range(20):
            self.exchange()
        slow.set()
        timeout = self.transport.connections(self.upstream.address).first_byte_timeout
        before = timeout.timeout_ms
        self.exchange(within_ms=LONG_DEADLINE_MS)
        self.assertGreater(timeout.timeout_ms, 2 * before)
        self.assertNotIn("silent", self.events)

    def test_non_idempotent_request_is_not_repeated(self):
        """Guards against retrying a booking that may have run without a response."""
        self.start(lambda _, request: OK if request == 1 else None)
        self.exchange(idempotent=False)
        error = self.fail_exchange(idempotent=False, within_ms=80.0)
        self.assertTrue(error.sent and error.timed_out)
        self.assertEqual(len(self.server.requests), 2)


class TestCancellation(TransportCase):
    """A cancelled exchange ends immediately."""

    def test_cancel_closes_the_upstream_connection(self):
        self.start(lambda *_: None)
        cancellation = Cancellation()
        timer = threading.Timer(0.02, cancellation.cancel)
        timer.start()
        self.addCleanup(timer.join)
        error = self.fail_exchange(
            within_ms=LONG_DEADLINE_MS, cancellation=cancellation
        )
        self.assertTrue(error.cancelled and error.sent)
        self.assertTrue(self.server.ended.wait(1.0))

    def test_cancelled_before_sending(self):
        self.start(lambda *_: OK)
        cancellation = Cancellation()
        cancellation.cancel()
        self.assertFalse(self.fail_exchange(cancellation=cancellation).sent)
        self.assertEqual(self.server.requests, [])

    def test_late_cancel_does_not_touch_the_reused_connection(self):
        """Guards against a late cancellation that ends the exchange of another caller.

        The connection may already have been reused when a losing attempt is cancelled.
        """
        self.start(lambda *_: OK)
        cancellation = Cancellation()
        self.exchange(cancellation=cancellation)
        cancellation.cancel()
        self.exchange()
        self.assertEqual(self.server.connections, 1)


class TestConnectionShare(TransportCase):
    """Each entry opens at most its share of the connections of a pool."""

    def test_share_is_a_limit(self):
        self.start(lambda *_: OK)
        pool = Pool(
            name="p", department="d", upstreams=(self.upstream,), max_connections=4
        )
        self.transport.update_tables(Tables(pools={"p": pool}), entries=2)
        connections = self.transport.connections(self.upstream.address)
        for _ in range(2):
            connections.open_new()
        error = self.fail_exchange()
        self.assertEqual((error.sent, error.own_cause), (False, "connection-limit"))
        self.assertEqual(self.events.count("limit"), 1)

    def test_removed_upstream_keeps_no_connections(self):
        self.start(lambda *_: OK)
        self.exchange()
        connections = self.transport.connections(self.upstream.address)
        self.transport.update_tables(Tables())
        self.assertEqual(connections.open, 0)
