"""Tests of the HTTP server with raw sockets."""

import contextlib
import errno
import itertools
import socket
import struct
import threading
import time
import tracemalloc
import unittest
import unittest.mock
from unittest import mock

from monsoonline.adapters import http_server
from monsoonline.adapters.http_server import (
    ConnectionChannel,
    HttpServer,
    encode_head,
)
from monsoonline.clock import SystemClock
from monsoonline.core.memory_account import (
    GRACE_MS,
    UNCOUNTED_BYTES,
    MemoryAccount,
    Phase,
)
from monsoonline.core.model import CallerLimits
from monsoonline.types import Answer

TIMEOUT_SECONDS = 5


class ServerCase(unittest.TestCase):
    """A server that records requests and returns their target as the body."""

    workers = 8

    def setUp(self):
        self.requests = []
        self.server = HttpServer(
            handler=self.handle, host="127.0.0.1", port=0, workers=self.workers
        )
        self.server.start()
        self.addCleanup(self.server.close)

    def handle(self, request):
        self.requests.append(request)
        return Answer(status=200, body=request.target.encode())

    def connect(self):
        host, _, port = self.server.address.partition(":")
        connection = socket.create_connection((host, int(port)), TIMEOUT_SECONDS)
        self.addCleanup(connection.close)
        return connection

    def send(self, content):
        """Send bytes and return all bytes received until the connection is closed."""
        connection = self.connect()
        connection.sendall(content)
        return self.read_all(connection)

    @staticmethod
    def read_all(connection):
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while data := connection.recv(65536):
                received += data
        return received


class TestRefusedRequests(ServerCase):
    """Requests that HTTP parsers could interpret differently are never run."""

    def assert_refused(self, content, status):
        received = self.send(content)
        # waitress responds with version 1.0 when it rejects a request before parsing
        # its version.
        self.assertRegex(received, b"^HTTP/1[.][01] %d " % status)
        self.assertEqual(received.count(b"HTTP/1."), 1, received)
        self.assertIn(b"Monsoonline-Outcome: not-run", received)
        self.assertEqual(self.requests, [])

    def test_smuggling(self):
        """Guards against running a second request that is hidden in a body."""
        hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
        both = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
        framings = {
            "length and chunks": both,
            "two lengths": b"Content-Length: 0\r\nContent-Length: 40\r\n",
            "equal lengths": b"Content-Length: 4\r\nContent-Length: 4\r\n",
            "list of lengths": b"Content-Length: 4, 4\r\n",
            "signed length": b"Content-Length: +4\r\n",
            "chunked twice": b"Transfer-Encoding: chunked, chunked\r\n",
            "two codings": b"Transfer-Encoding: chunked\r\n" * 2,
            "space before colon": b"Content-Length : 4\r\n",
            "folded header": b"X: a\r\n Content-Length: 4\r\n",
            "bare line feed": b"X: a\nContent-Length: 4\r\n",
            "bad chunk size": b"Transfer-Encoding: chunked\r\n\r\n0x1\r\n",
            "two hosts": b"Host: b\r\n",
            "host with path": b"Host: a/b\r\n",
        }
        for name, lines in framings.items():
            with self.subTest(name):
                start = b"POST / HTTP/1.1\r\nHost: a\r\n"
                self.assert_refused(start + lines + b"\r\n0\r\n\r\n" + hidden, 400)

    def test_chunked_coding_in_http_1_0(self):
        lines = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        self.assert_refused(lines, 400)

    def test_request_lines(self):
        cases = {
            b"BREW / HTTP/1.1": 501,
            b"CONNECT a:1 HTTP/1.1": 501,
            b"TRACE / HTTP/1.1": 501,
            b"get / HTTP/1.1": 400,
            b"GET / HTTP/2.0": 400,
            b"GET /": 400,
            b"GET /\x01 HTTP/1.1": 400,
            b"GET ftp://a/ HTTP/1.1": 400,
        }
        for line, status in cases.items():
            with self.subTest(line):
                self.assert_refused(line + b"\r\nHost: a\r\n\r\n", status)

    def test_unsupported_transfer_coding(self):
        lines = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n"
        self.assert_refused(lines, 501)

    def test_missing_host(self):
        self.assert_refused(b"GET / HTTP/1.1\r\n\r\n", 400)

    def test_large_headers(self):
        lines = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * (33 << 10) + b"\r\n\r\n"
        self.assert_refused(lines, 431)

    def test_large_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\n"
        length = b"Content-Length: %d\r\n\r\n" % (CallerLimits().max_body_bytes + 1)
        self.assert_refused(head + length, 413)

    def test_large_chunked_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        size = CallerLimits().max_body_bytes + 1
        self.assert_refused(head + b"%x\r\n" % size + b"x" * size, 413)


class TestChunkedFraming(ServerCase):
    """Framing of a body that belongs to no data is limited."""

    HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

    def assert_framing_refused(self, content):
        received = self.send(self.HEAD + content)
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received[:80])
        self.assertEqual(self.requests, [])

    def test_chunk_line_without_end(self):
        self.assert_framing_refused(b"1;" + b"a" * 20_000)

    def test_trailers_without_end(self):
        self.assert_framing_refused(b"1\r\na\r\n0\r\n" + b"a: b\r\n" * 6_000)

    def test_framing_much_larger_than_its_data(self):
        self.assert_framing_refused((b"1;" + b"a" * 900 + b"\r\na\r\n") * 2_000)


class TestAcceptedRequests(ServerCase):
    """Requests reach the handler unchanged, and responses the right caller."""

    def test_pipelined_requests_get_their_own_responses_in_order(self):
        """Guards against swapped or shared responses on one connection."""
        first = b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        last = b"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        received = self.send(first + first.replace(b"first", b"second") + last)
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in received.split(b"HTTP")]
        self.assertEqual(bodies[1:], [b"/first", b"/second", b"/last"])

    def test_repeated_headers_are_kept_and_hop_by_hop_removed(self):
        self.send(
            b"GET /a?b=c HTTP/1.1\r\nHost: A.example:80\r\nCookie: x=1\r\n"
            b"cookie: y=2\r\nX-Hop: 1\r\nTE: trailers\r\nUpgrade: h2c\r\n"
            b"Connection: x-hop, close\r\n\r\n"
        )
        (request,) = self.requests
        self.assertEqual(request.host, "a.example")
        self.assertEqual(request.target, "/a?b=c")
        self.assertEqual(
            request.headers,
            (("Host", "A.example:80"), ("Cookie", "x=1"), ("cookie", "y=2")),
        )

    def test_absolute_target_replaces_the_host(self):
        self.send(
            b"GET http://b.example/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        (request,) = self.requests
        self.assertEqual((request.host, request.target), ("b.example", "/x"))
        self.assertEqual(request.headers, (("Host", "b.example"),))

    def test_chunked_body_is_passed_whole(self):
        self.send(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(self.requests[0].body, b"abcde")

    def test_body_of_the_maximum_size_is_passed_whole(self):
        """Guards against a limit that counts the framing, or the last byte."""
        size = CallerLimits().max_body_bytes
        chunk = b"%x\r\n" % 1024 + b"x" * 1024 + b"\r\n"
        for framing, content in (
            (b"Content-Length: %d" % size, b"x" * size),
            (b"Transfer-Encoding: chunked", chunk * (size // 1024) + b"0\r\n\r\n"),
        ):
            with self.subTest(framing):
                received = self.send(
                    b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                    + framing
                    + b"\r\n\r\n"
                    + content
                )
                self.assertIn(b"200 OK", received)
                self.assertEqual(len(self.requests.pop().body), size)

    def test_expect_continue(self):
        connection = self.connect()
        connection.sendall(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
        )
        interim = connection.recv(1024)
        self.assertEqual(interim, b"HTTP/1.1 100 Continue\r\n\r\n")
        connection.sendall(b"ab")
        self.assertIn(b"200 OK", self.read_all(connection))
        self.assertEqual(self.requests[0].body, b"ab")

    def test_close_ends_idle_connections_and_finishes_requests(self):
        """Guards against a planned stop that interrupts a request in flight."""
        entered, leave = threading.Event(), threading.Event()

        def block_until_released(request):
            entered.set()
            leave.wait(TIMEOUT_SECONDS)
            return Answer(status=200, body=b"done")

        self.server = HttpServer(
            handler=block_until_released, host="127.0.0.1", port=0, workers=4
        )
        self.server.start()
        idle, busy = self.connect(), self.connect()
        busy.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(entered.wait(TIMEOUT_SECONDS))
        self.server.close()
        self.assertEqual(self.read_all(idle), b"")
        leave.set()
        received = self.read_all(busy)
        self.assertTrue(received.endswith(b"done"))
        self.assertIn(b"Connection: close", received)


class TestIdleClose(ServerCase):
    """Closing idle connections does not affect a request that is arriving."""

    def handle(self, request):
        cancelled = request.cancellation is not None and request.cancellation.cancelled
        return Answer(status=200, body=b"cancelled" if cancelled else b"served")

    def test_request_received_before_idle_close_is_not_cancelled(self):
        """Guards against a stopping entry that cancels a request it has received.

        After the entry shut down reading, its socket looked as if the caller had closed
        the connection.
        """
        arrived, read_shut_down = threading.Event(), threading.Event()
        read = ConnectionChannel.handle_read

        def read_late(channel):
            arrived.wait(TIMEOUT_SECONDS)
            self.server.close_idle()
            read_shut_down.set()
            read(channel)

        with unittest.mock.patch.object(ConnectionChannel, "handle_read", read_late):
            connection = self.connect()
            connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            arrived.set()
            self.assertTrue(read_shut_down.wait(TIMEOUT_SECONDS))
            received = self.read_all(connection)
        self.assertIn(b"served", received)
        # The caller must not send its next request on this connection.
        self.assertIn(b"Connection: close", received)


class TestLostCallers(ServerCase):
    """A connection whose caller is gone costs nothing once its request has ended."""

    # More than the buffers of both sides take.
    LARGE_BODY = b"x" * (32 << 20)
    CALM_S = 0.5
    BUSY_SHARE = 0.2

    def setUp(self):
        super().setUp()
        self.entered, self.leave = threading.Event(), threading.Event()
        self.addCleanup(self.leave.set)
        self.body = b"done"

    def handle(self, request):
        self.entered.set()
        self.leave.wait(TIMEOUT_SECONDS)
        return Answer(status=200, body=self.body)

    def request(self):
        """Send a request and wait until its handler runs."""
        connection = self.connect()
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(self.entered.wait(TIMEOUT_SECONDS))
        return connection

    @staticmethod
    def reset(connection):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()

    def assert_connection_ends(self):
        """Check that the connection is gone, and that no thread spins for it."""
        began, used = time.monotonic(), time.process_time()
        while self.server.open_connections and time.monotonic() < began + self.CALM_S:
            time.sleep(0.02)
        used_s = time.process_time() - used
        self.assertEqual(self.server.open_connections, 0)
        self.assertEqual(self.server.requests_in_flight, 0)
        self.assertLess(used_s, self.BUSY_SHARE * self.CALM_S)

    def test_response_to_a_reset_connection_is_flushed_without_end(self):
        """Guards against a thread that spins for ever after its caller's reset."""
        self.reset(self.request())
        self.leave.set()
        self.assert_connection_ends()

    def test_response_to_a_closed_connection_is_flushed_without_end(self):
        """Guards against the same spin when a caller closes before it has read all."""
        self.body = self.LARGE_BODY
        connection = self.request()
        self.leave.set()
        connection.recv(1024)
        connection.close()
        self.assert_connection_ends()

    def test_response_after_another_socket_error_is_flushed_without_end(self):
        """Guards against errors that waitress does not count as a lost connection.

        The system reports such an error once, and a closed connection from then on.
        """
        connection = self.request()
        (channel,) = self.server._server.active_channels.values()
        broken = mock.Mock(wraps=channel.socket)
        unreachable = OSError(errno.EHOSTUNREACH, "no route to host")
        closed = itertools.repeat(BrokenPipeError(errno.EPIPE, "broken pipe"))
        broken.send.side_effect = itertools.chain([unreachable], closed)
        channel.socket = broken
        self.leave.set()
        self.assert_connection_ends()
        connection.close()

    def test_slow_caller_holds_its_connection_without_end(self):
        """Guards against a caller that reads a little before each send times out."""
        self.body = self.LARGE_BODY
        connection = self.request()
        self.leave.set()
        with mock.patch.object(http_server, "TRANSFER_TIMEOUT_MS", 300.0):
            ends_at = time.monotonic() + 2.0
            while self.server.open_connections and time.monotonic() < ends_at:
                with contextlib.suppress(ConnectionResetError):
                    connection.recv(4096)
                time.sleep(0.01)
        self.assertEqual(self.server.open_connections, 0)

    def test_server_at_its_limit_serves_after_many_resets(self):
        """Guards against places that lost connections keep for ever."""
        for _ in range(3 * self.workers):
            self.entered.clear()
            self.leave.clear()
            self.reset(self.request())
            self.leave.set()
        self.assert_connection_ends()
        content = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        self.assertIn(b"200 OK", self.send(content))


class UploadCase(ServerCase):
    """A server with an account of 1 MiB, and uploads of more than half of it."""

    BODY = b"x" * 600_000
    HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"

    def setUp(self):
        super().setUp()
        self.entered, self.leave = threading.Semaphore(0), threading.Event()
        self.addCleanup(self.leave.set)
        self.account = MemoryAccount(max_bytes=1 << 20, clock=SystemClock())
        self.server = HttpServer(
            handler=self.hold,
            host="127.0.0.1",
            port=0,
            workers=self.workers,
            account=self.account,
        )
        self.server.start()
        self.addCleanup(self.server.close)

    def hold(self, request):
        self.entered.release()
        self.leave.wait(TIMEOUT_SECONDS)
        return Answer(status=200, body=str(len(request.body)).encode())

    def upload(self, *, chunked=False):
        """Send a request with a body and return its connection."""
        connection = self.connect()
        if chunked:
            framing = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(self.BODY)
            content = framing + self.BODY + b"\r\n0\r\n\r\n"
        else:
            content = b"Content-Length: %d\r\n\r\n" % len(self.BODY) + self.BODY
        connection.sendall(self.HEAD + content)
        return connection

    def assert_refused(self, connection):
        received = self.read_all(connection)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received[:80])
        self.assertIn(b"Monsoonline-Outcome: not-run", received)
        self.assertIn(b"Retry-After: 1", received)

    def assert_held(self, size):
        """Check that requests hold a body of this size, and no more than their head."""
        held = self.account.message_bytes + UNCOUNTED_BYTES
        self.assertGreaterEqual(held, size)
        self.assertLess(held, size + 2_000)


class TestBodyBudget(UploadCase):
    """The bodies of all requests together stay within a limit."""

    def test_bodies_together_exceed_the_memory(self):
        """Guards against uploads within their limit that end a process together."""
        for chunked in (False, True):
            with self.subTest(chunked=chunked):
                self.leave.clear()
                first = self.upload()
                self.assertTrue(self.entered.acquire(timeout=TIMEOUT_SECONDS))
                self.assert_refused(self.upload(chunked=chunked))
                self.assertEqual(self.server.bodies_refused, 1 + chunked)
                self.assert_held(len(self.BODY))
                self.leave.set()
                self.assertIn(b"200 OK", first.recv(4096))
                # The memory of the first one is available again.
                third = self.upload(chunked=chunked)
                self.assertTrue(self.entered.acquire(timeout=TIMEOUT_SECONDS))
                self.assertIn(b"200 OK", third.recv(4096))

    def test_request_without_a_large_body_is_served_beside_a_full_budget(self):
        self.upload()
        self.assertTrue(self.entered.acquire(timeout=TIMEOUT_SECONDS))
        small = self.connect()
        small.sendall(self.HEAD + b"Content-Length: 2\r\n\r\nab")
        self.assertTrue(self.entered.acquire(timeout=TIMEOUT_SECONDS))
        self.leave.set()
        self.assertIn(b"200 OK", small.recv(4096))

    def test_body_larger_than_the_budget_is_served_alone(self):
        """Guards against a request that is refused for good."""
        self.leave.set()
        with mock.patch.object(UploadCase, "BODY", b"x" * 1_048_000):
            self.account._max_bytes = self.account._max_large_bytes = 1 << 19
            self.assertIn(b"200 OK", self.upload().recv(4096))

    def test_memory_of_an_upload_that_was_broken_off_is_available_again(self):
        connection = self.connect()
        connection.sendall(
            self.HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 70_000
        )
        time.sleep(0.1)
        connection.close()
        self.leave.set()
        time.sleep(0.1)
        self.assertIn(b"200 OK", self.upload().recv(4096))


class TestGivingWay(UploadCase):
    """Callers that have moved least for their bytes give way."""

    LARGE_BODY = b"x" * 900_000

    def hold(self, request):
        self.requests.append(request)
        body = self.LARGE_BODY if request.method == "GET" else b"done"
        return Answer(status=200, body=body)

    def wait_behind(self, credit_ms=0.0):
        """Wait until callers that have stopped are behind.

        :param credit_ms: time by which they may be ahead at first
        """
        time.sleep(1.2 * (GRACE_MS + credit_ms) / 1e3)

    def test_upload_that_stops_gives_way(self):
        """Guards against clients that hold the memory just short of their end."""
        stopped = self.connect()
        length = b"Content-Length: %d\r\n\r\n" % len(self.BODY)
        stopped.sendall(self.HEAD + length + self.BODY[:-1])
        self.wait_behind()
        self.assertIn(b"200 OK", self.upload().recv(4096))
        self.assert_refused(stopped)
        self.assertEqual(len(self.requests), 1)

    def test_completed_request_does_not_run_after_it_gave_way(self):
        """Guards against a request that runs with a body that was dropped."""
        stopped = self.connect()
        length = b"Content-Length: %d\r\n\r\n" % len(self.BODY)
        stopped.sendall(self.HEAD + length + self.BODY[:-1])
        self.wait_behind()
        upload = self.upload()
        while not self.account.gave_way(Phase.RECEIVING):
            time.sleep(0.001)
        stopped.sendall(self.BODY[-1:])
        self.assert_refused(stopped)
        self.assertIn(b"200 OK", upload.recv(4096))
        self.assertEqual([len(r.body) for r in self.requests], [len(self.BODY)])

    def test_slow_reader_gives_way(self):
        """Guards against responses that are held for callers that do not read."""
        reader = socket.socket()
        self.addCleanup(reader.close)
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, _, port = self.server.address.partition(":")
        reader.connect((host, int(port)))
        with self.small_send_buffers():
            reader.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            self.wait_behind(http_server.READER_CREDIT_MS)
        self.assertIn(b"200 OK", self.upload().recv(4096))
        self.assertLess(len(self.read_all(reader)), len(self.LARGE_BODY))

    def test_request_after_a_response_that_gave_way_runs(self):
        """Guards against an unsafe request that runs on a connection being closed."""
        send_slowly = ConnectionChannel._send_slowly

        def send_and_interrupt(channel, view):
            send_slowly(channel, view)
            channel._interruptible = True
            channel.interrupt()

        with mock.patch.object(ConnectionChannel, "_send_slowly", send_and_interrupt):
            caller = self.connect()
            time.sleep(0.1)
            with self.small_send_buffers():
                caller.sendall(
                    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
                    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                )
            self.read_all(caller)
        time.sleep(0.2)
        self.assertEqual([request.method for request in self.requests], ["GET"])

    @contextlib.contextmanager
    def small_send_buffers(self):
        """Let the kernel take little of the responses."""
        time.sleep(0.1)
        for channel in self.server._server.active_channels.values():
            channel.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        yield

    def test_response_is_sent_without_copies(self):
        """Guards against responses that are held several times."""
        reader = self.connect()
        time.sleep(0.1)
        with self.small_send_buffers():
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            reader.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            time.sleep(0.3)
            held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, len(self.LARGE_BODY) // 2)


class TestEssentialServer(UploadCase):
    """Health checks and other entries are served without memory for messages."""

    def test_connection_without_memory(self):
        """Guards against an entry that counts as down while its callers use it up."""
        for essential, status in ((False, b"503"), (True, b"200")):
            with self.subTest(essential=essential):
                account = MemoryAccount(max_bytes=1, clock=SystemClock())
                self.server = HttpServer(
                    handler=self.handle,
                    host="127.0.0.1",
                    port=0,
                    workers=1,
                    account=account,
                    essential=essential,
                )
                self.server.start()
                self.addCleanup(self.server.close)
                received = self.send(
                    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                )
                self.assertIn(status, received[:20])


class TestLookahead(ServerCase):
    """Pipelined requests are parsed one at a time."""

    def test_pipelined_requests_are_parsed_together(self):
        """Guards against small requests whose parsed forms need much memory."""
        leave, entered = threading.Event(), threading.Event()
        self.addCleanup(leave.set)

        def hold(request):
            entered.set()
            leave.wait(TIMEOUT_SECONDS)
            return Answer(status=200)

        self.server._server.application = hold
        self.connect().sendall(1_000 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(entered.wait(TIMEOUT_SECONDS))
        (channel,) = self.server._server.active_channels.values()
        self.assertEqual(len(channel.requests), 1)


class TestConnectionLimit(ServerCase):
    """The number of connections, and so of threads, is limited."""

    workers = 1

    def assert_idle_connection_is_replaced(self):
        """Send a request on one connection, then one on another."""
        idle = self.connect()
        idle.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        idle.recv(1024)
        second = self.send(b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        self.assertIn(b"/2", second)
        self.assertEqual(self.read_all(idle), b"")

    def test_idle_connection_is_replaced(self):
        """Guards against an idle connection that blocks another caller."""
        self.assert_idle_connection_is_replaced()

    def test_connection_with_an_unfinished_request_is_replaced(self):
        """Guards against heads and bodies that stop and hold all connections."""
        for start in (
            b"GET / HTTP/1.1\r\nHo",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
        ):
            with self.subTest(start):
                stopped = self.connect()
                stopped.sendall(start)
                time.sleep(1.2 * GRACE_MS / 1e3)
                served = self.send(
                    b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                )
                self.assertIn(b"/2", served)
                self.assertEqual(self.read_all(stopped), b"")

    def test_connection_of_a_running_request_is_not_replaced(self):
        """Guards against requests that are cut off while their target runs."""
        leave, entered = threading.Event(), threading.Event()
        self.addCleanup(leave.set)

        def hold(request):
            entered.set()
            leave.wait(TIMEOUT_SECONDS)
            return Answer(status=200, body=b"done")

        self.server._server.application = hold
        running = self.connect()
        running.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(entered.wait(TIMEOUT_SECONDS))
        time.sleep(1.2 * GRACE_MS / 1e3)
        self.assertIn(b"503", self.read_all(self.connect()))
        leave.set()
        self.assertIn(b"done", running.recv(4096))

    def delay_after_responses(self):
        """Delay the thread of a connection after the caller has its response."""
        service = ConnectionChannel.service

        def service_slowly(channel):
            service(channel)
            time.sleep(0.01)

        self.enterContext(
            unittest.mock.patch.object(ConnectionChannel, "service", service_slowly)
        )

    def test_connection_with_response_sent_is_replaced_before_it_is_marked_idle(self):
        """Guards against refusing a caller that reconnects right after a response."""
        self.delay_after_responses()
        self.assert_idle_connection_is_replaced()

    def test_closing_connection_is_replaced_before_its_thread_ends(self):
        """Guards against refusing a caller while its previous connection closes."""
        self.delay_after_responses()
        for path in (b"/1", b"/2"):
            connection = self.connect()
            connection.sendall(
                b"GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" % path
            )
            # Content-Length marks the end of the response, so the caller continues
            # before the connection is closed.
            self.assertIn(path, connection.recv(1024))

    def test_thread_that_cannot_start_ends_the_accept_loop(self):
        executor = self.server._server._executor
        error = RuntimeError("can't start new thread")
        with (
            mock.patch.object(executor, "submit", side_effect=error),
            self.assertLogs("monsoonline.adapters.http_server") as logs,
        ):
            self.assertEqual(self.read_all(self.connect()), b"")
            # The connection is closed just before the line is logged.
            deadline = time.monotonic() + TIMEOUT_SECONDS
            while not logs.records and time.monotonic() < deadline:
                time.sleep(0.002)
        connection = self.connect()
        connection.sendall(b"GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        self.assertTrue(self.read_all(connection).endswith(b"/b"))

    def test_connection_beyond_the_limit_is_refused_as_not_run(self):
        """Guards against a server at its limit that does not state the outcome."""
        entered, leave = threading.Event(), threading.Event()

        def block_until_released(request):
            entered.set()
            leave.wait(TIMEOUT_SECONDS)
            return Answer(status=200)

        self.server = HttpServer(
            handler=block_until_released, host="127.0.0.1", port=0, workers=1
        )
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(leave.set)
        self.connect().sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(entered.wait(TIMEOUT_SECONDS))
        received = self.read_all(self.connect())
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"Monsoonline-Outcome: not-run", received)


class TestEncodeResponse(unittest.TestCase):
    """Encoding of responses without a body."""

    def test_head_keeps_the_length_of_the_body_it_describes(self):
        response = Answer(status=200, headers=(("Content-Length", "42"),))
        content = encode_head(response, method="HEAD", close=False)
        self.assertIn(b"\r\nContent-Length: 42\r\n", content)
        self.assertTrue(content.endswith(b"\r\n\r\n"))

    def test_no_content_has_no_length(self):
        content = encode_head(Answer(status=204), method="GET", close=False)
        self.assertNotIn(b"Content-Length", content)
