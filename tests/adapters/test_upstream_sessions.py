"""Tests of upstream sessions over sockets."""

import contextlib
import select
import socket
import struct
import threading
import time
import tracemalloc
import unittest
from unittest import mock

from monsoonline.adapters.http_response import MAX_RESPONSE_BYTES
from monsoonline.adapters.upstream_sessions import Probe, SessionFailed, SessionPool
from monsoonline.clock import SystemClock
from monsoonline.core import memory_account
from monsoonline.core.header_names import HeaderNames
from monsoonline.core.memory_account import MemoryAccount
from monsoonline.types import Request
from tests.adapters.endless_replies import ENDLESS_REPLIES, HEAD
from tests.adapters.scripted_upstream import Reply, ScriptedUpstream, header_of

NAMES = HeaderNames()
WAIT_MS = 1_000.0
REQUEST = Request(method="GET", host="shop", target="/a/1")


def response(request_id, *, body=b"ok", close=False, length=True, extra=()):
    lines = ["HTTP/1.1 200 OK", f"{NAMES.request_id}: {request_id}", *extra]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return Reply(content="\r\n".join([*lines, "\r\n"]).encode() + body, close=close)


class SessionTest(unittest.TestCase):
    """Base class with a session to a scripted upstream."""

    def session_to(self, script, *, account=None):
        self.upstream = ScriptedUpstream(script=script)
        self.addCleanup(self.upstream.close)
        clock = SystemClock()
        self.pool = SessionPool(clock=clock, names=NAMES, account=account)
        self.addCleanup(self.pool.close)
        self.clock = clock
        return self.connect()

    def connect(self):
        """Return a new session to the upstream."""
        session = self.pool.checkout(self.upstream.address)
        session.begin_connect()
        poller = select.poll()
        poller.register(session.fileno(), select.POLLOUT)
        poller.poll(WAIT_MS)
        session.end_connect()
        return session

    def send(self, session, request_id="own"):
        deadline = self.clock.now() + WAIT_MS
        headers = ((NAMES.request_id, request_id),)
        session.send_request(REQUEST, headers=headers, deadline=deadline)
        return deadline

    def read_until(self, session, deadline, read):
        """Call ``read`` whenever bytes arrive until it returns a response.

        Closes the session at the deadline, as the tasks of requests do.
        """
        poller = select.poll()
        poller.register(session.fileno(), select.POLLIN)
        while (wait_ms := deadline - self.clock.now()) > 0:
            if poller.poll(wait_ms) and (response := read()) is not None:
                return response
        session.close()
        raise SessionFailed("deadline", sent=True, timed_out=True)

    def read_response(self, session, deadline, request_id="own"):
        return self.read_until(
            session, deadline, lambda: session.read_request(REQUEST, request_id)
        )

    def exchange(self, session, request_id="own"):
        deadline = self.send(session, request_id)
        return self.read_response(session, deadline, request_id)


class TestUpstreamSession(SessionTest):
    """A session returns only the complete response to its own request."""

    def test_session_is_reusable_after_a_complete_response(self):
        session = self.session_to(lambda connection, number: response("own"))
        self.assertEqual(self.exchange(session).body, b"ok")
        self.assertTrue(session.reusable)

    def test_late_response_to_another_request_is_skipped(self):
        """Guards against taking a late response for that of the current request."""

        def script(connection, number):
            stray = response("other", body=b"stray").content
            return Reply(content=stray + response("own").content)

        session = self.session_to(script)
        self.assertEqual(self.exchange(session).body, b"ok")
        self.assertFalse(session.reusable)

    def test_truncated_response_fails(self):
        def script(connection, number):
            complete = response("own", body=b"x" * 100).content
            return Reply(content=complete[:-40], close=True)

        session = self.session_to(script)
        with self.assertRaises(SessionFailed) as caught:
            self.exchange(session)
        self.assertTrue(caught.exception.sent)

    def test_response_without_length_ends_with_its_connection(self):
        session = self.session_to(
            lambda connection, number: response("own", length=False, close=True)
        )
        self.assertEqual(self.exchange(session).body, b"ok")
        self.assertFalse(session.reusable)

    def test_invalid_response_fails(self):
        session = self.session_to(lambda connection, number: b"\x00\x01\r\n\r\n")
        with self.assertRaises(SessionFailed):
            self.exchange(session)

    def test_connection_closed_without_response_fails(self):
        session = self.session_to(
            lambda connection, number: Reply(content=b"", close=True)
        )
        with self.assertRaises(SessionFailed) as caught:
            self.exchange(session)
        self.assertFalse(caught.exception.timed_out)

    def test_unfinished_response_times_out(self):
        def script(connection, number):
            return response("own", body=b"x" * 100).content[:-40]

        session = self.session_to(script)
        deadline = self.clock.now() + 50.0
        session.send_request(REQUEST, headers=(), deadline=deadline)
        with self.assertRaises(SessionFailed) as caught:
            self.read_response(session, deadline)
        self.assertTrue(caught.exception.timed_out)

    def test_session_expires_before_the_stated_keep_alive_timeout(self):
        session = self.session_to(
            lambda connection, number: response("own", extra=("Keep-Alive: timeout=1",))
        )
        self.exchange(session)
        self.assertTrue(
            session.expired or self.clock.now() - session.last_used_at < 1.0
        )
        self.clock.sleep(5.0)
        self.assertTrue(session.expired)

    def test_probe_names_its_recipient_and_has_an_id_of_its_own(self):
        """Guards against probes that other upstreams run, and ids used by others."""
        session = self.session_to(lambda *_: Reply(content=b""))
        probe = Probe(path="/health", names=NAMES)
        for _ in range(2):
            session.send_probe(probe, "i1")
        while len(self.upstream.requests) < 2:
            self.clock.sleep(1.0)
        ids = {header_of(r, NAMES.request_id) for r in self.upstream.requests}
        self.assertEqual(len(ids), 2)
        self.assertNotIn("1".zfill(16), ids)
        named = {header_of(r, NAMES.intended_instance) for r in self.upstream.requests}
        self.assertEqual(named, {"i1"})

    def test_probe_accepts_only_its_own_response(self):
        """Guards against accepting a late response to an earlier probe."""

        def script(connection, number):
            if number == 1:
                return Reply(content=b"")
            first = response("0" * 16, body=b"old").content
            probe_id = header_of(self.upstream.last_request(), NAMES.request_id)
            own = response(probe_id, body=b"new").content
            return Reply(content=first + own)

        session = self.session_to(script)
        probe = Probe(path="/health", names=NAMES)
        session.send_probe(probe, "i1")
        while not self.upstream.requests:
            self.clock.sleep(1.0)
        session.send_probe(probe, "i1")
        deadline = self.clock.now() + WAIT_MS
        own = self.read_until(session, deadline, session.read_probe)
        self.assertEqual(own.body, b"new")


class TestResetDuringSend(unittest.TestCase):
    """A reset that the send has reported is no orderly end of the connection."""

    LARGE_BODY = b"x" * (16 << 20)

    def answer_early(self, content):
        """Answer before the request is read, and reset the connection."""
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(1024)
            connection.sendall(content)
            time.sleep(0.1)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def connect(self, answer, content, *, body):
        """Return a session to an upstream that answers early, and a request."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.upstream = threading.Thread(target=answer, args=(content,))
        self.upstream.start()
        self.clock = SystemClock()
        host, port = self.listener.getsockname()
        pool = SessionPool(clock=self.clock, names=NAMES)
        session = pool.open_new(f"{host}:{port}")
        self.addCleanup(session.close)
        session.begin_connect()
        poller = select.poll()
        poller.register(session.fileno(), select.POLLOUT)
        poller.poll(WAIT_MS)
        session.end_connect()
        self.deadline = self.clock.now() + WAIT_MS
        return session, Request(method="POST", host="shop", target="/a", body=body)

    def read_until_end(self, session, request):
        result = None
        while result is None and self.clock.now() < self.deadline:
            result = session.read_request(request, "own")
        return result

    def exchange(self, content):
        """Send a large request to an upstream that answers early; return the result."""
        session, request = self.connect(
            self.answer_early, content, body=self.LARGE_BODY
        )
        with self.assertRaises(SessionFailed):
            session.send_request(request, headers=(), deadline=self.deadline)
        self.upstream.join()
        return self.read_until_end(session, request)

    def test_reset_after_a_failed_send_is_the_end_of_a_response(self):
        """Guards against a 200 with a part of a body that has no length."""
        with self.assertRaises(SessionFailed):
            self.exchange(response("own", body=b"a part", length=False).content)

    def close_unread(self, content):
        """Answer before the request is read, and close both sides of the connection."""
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(1024)
            connection.sendall(content)
            connection.shutdown(socket.SHUT_WR)

    def test_close_before_the_request_was_read_is_the_end_of_a_response(self):
        """Guards against a 200 with a part of a body that has no length.

        The system reports an end of the connection, not the reset that followed it.
        """
        part = response("own", body=b"a part", length=False).content
        session, request = self.connect(self.close_unread, part, body=b"x" * 200_000)
        with contextlib.suppress(SessionFailed):
            session.send_request(request, headers=(), deadline=self.deadline)
        self.upstream.join()
        time.sleep(0.05)
        with self.assertRaises(SessionFailed):
            self.read_until_end(session, request)

    def test_reset_after_a_complete_send_is_the_end_of_a_response(self):
        """Guards against a 200 with a part of a body that has no length."""
        for body in (b"", b"x" * 1_000, b"x" * 200_000):
            part = response("own", body=b"a part", length=False).content
            session, request = self.connect(self.answer_early, part, body=body)
            session.send_request(request, headers=(), deadline=self.deadline)
            self.upstream.join()
            with self.subTest(body=len(body)), self.assertRaises(SessionFailed):
                self.read_until_end(session, request)

    def test_whole_response_before_a_failed_send_is_delivered(self):
        whole = self.exchange(response("own", body=b"whole").content)
        self.assertEqual(whole.body, b"whole")


def probe_response(load, *, request_id=None):
    """Return a response to a probe, without an id unless one is given."""
    lines = ["HTTP/1.1 200 OK", f"{NAMES.load}: {load}", "Content-Length: 0"]
    if request_id is not None:
        lines.append(f"{NAMES.request_id}: {request_id}")
    return Reply(content="\r\n".join([*lines, "\r\n"]).encode())


class TestProbesWithoutIds(SessionTest):
    """Responses to probes need not repeat an id, so their order must be reliable."""

    def probe(self, session):
        session.send_probe(Probe(path="/health", names=NAMES), "i1")

    def read(self, session):
        deadline = self.clock.now() + WAIT_MS
        return self.read_until(session, deadline, session.read_probe)

    def wait_readable(self, session):
        poller = select.poll()
        poller.register(session.fileno(), select.POLLIN)
        self.assertTrue(poller.poll(WAIT_MS))

    def test_response_to_an_abandoned_probe_is_taken_for_the_newest(self):
        session = self.session_to(lambda connection, number: probe_response(number))
        self.probe(session)
        self.wait_readable(session)
        self.probe(session)
        self.assertEqual(self.read(session).header(NAMES.load), "2")
        self.assertTrue(session.reusable)

    def test_late_response_to_an_abandoned_probe_is_taken_for_the_newest(self):
        def script(connection, number):
            time.sleep(0.05 if number == 1 else 0.0)
            return probe_response(number)

        session = self.session_to(script)
        self.probe(session)
        self.probe(session)
        self.assertEqual(self.read(session).header(NAMES.load), "2")

    def test_response_written_twice_is_taken_for_the_next_one(self):
        def script(connection, number):
            return Reply(content=probe_response(number).content * 2)

        session = self.session_to(script)
        self.probe(session)
        self.assertEqual(self.read(session).header(NAMES.load), "1")
        self.assertFalse(session.reusable)

    def test_refusal_written_again_before_a_probe_response(self):
        """A connection with a repeated refusal gets no further request."""

        def script(connection, number):
            if number == 1:
                return response("own")
            stray = response("own", body=b"again").content
            return Reply(content=stray + probe_response(number).content)

        session = self.session_to(script)
        self.exchange(session)
        self.probe(session)
        self.assertEqual(self.read(session).header(NAMES.load), "2")
        self.assertFalse(session.reusable)

    def test_response_written_again_on_an_idle_connection(self):
        """Bytes that stand unread before a probe close the connection."""

        for delay_s in (0.0, 0.005, 0.05):
            with self.subTest(delay_s=delay_s):
                session = self.session_to(lambda c, n: response("own"))
                self.exchange(session)
                time.sleep(delay_s)
                self.upstream.send_to_all(response("own", body=b"again").content)
                self.wait_readable(session)
                with self.assertRaises(SessionFailed):
                    self.probe(session)


# Endless responses, and responses to other requests without end.
REPLIES = ENDLESS_REPLIES | {
    "responses to others": Reply(
        content=b"", endless=response("other", body=b"x" * 900).content * 8
    )
}
ENDLESS_WAIT_MS = 300.0
# Time of the last read and of the failure, on a busy machine.
ENDLESS_MARGIN_MS = 1_000.0
MAX_ENDLESS_BYTES = MAX_RESPONSE_BYTES + (1 << 20)


class TestEndlessBytes(SessionTest):
    """Bytes without end end with the time or the size limit of a response."""

    def read_for(self, session, read):
        """Read with a deadline until it fails; return the peak of memory."""
        deadline = self.clock.now() + ENDLESS_WAIT_MS
        tracemalloc.start()
        tracemalloc.reset_peak()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(SessionFailed):
            self.read_until(session, deadline, read)
        self.assertLess(self.clock.now(), deadline + ENDLESS_MARGIN_MS)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertFalse(session.reusable)
        session.close()
        self.assertTrue(self.upstream.ended.wait(5.0))
        return peak

    def test_response_without_end_is_read_on(self):
        for name, reply in REPLIES.items():
            with self.subTest(name):
                session = self.session_to(lambda *_, reply=reply: reply)
                self.send(session)
                peak = self.read_for(
                    session, lambda s=session: s.read_request(REQUEST, "own")
                )
                # The body, and a copy while its parts are joined.
                self.assertLess(peak, 2 * MAX_ENDLESS_BYTES)

    def receive_beside_unfinished_response(self):
        """Read a large response while another one holds most of the memory.

        :returns: the account, the session that waits for memory, the thread that reads
            the other response until its deadline, and that deadline
        """
        account = MemoryAccount(max_bytes=1 << 20, clock=SystemClock())
        stalled = Reply(
            content=HEAD + b"Content-Length: 2000000\r\n\r\n" + b"x" * 850_000
        )
        large = response("own", body=b"x" * 900_000)
        session = self.session_to(
            lambda connection, _: stalled if connection == 1 else large, account=account
        )
        deadline = self.send(session)
        task = threading.Thread(
            target=lambda: self.assertRaises(
                SessionFailed, self.read_response, session, deadline
            )
        )
        task.start()
        time.sleep(0.3)
        return account, self.connect(), task, deadline

    def test_responses_without_end_together_exceed_the_memory(self):
        with mock.patch.object(memory_account, "OVERDRAFT_BYTES", 0):
            account, waiting, task, deadline = self.receive_beside_unfinished_response()
            self.send(waiting)
            while self.clock.now() < deadline - 200.0:
                self.assertIsNone(waiting.read_request(REQUEST, "own"))
                self.assertLessEqual(account.total_bytes, account.max_bytes)
                time.sleep(0.02)
            self.assertIsNotNone(waiting.paused_at)
            task.join()
            # The memory of a response that was given up is available again, and what
            # was not read is still there.
            body = self.read_response(waiting, self.clock.now() + WAIT_MS).body
        self.assertEqual(len(body), 900_000)
        self.assertEqual(account.message_bytes, 0)

    def test_one_response_is_completed_beyond_the_limit(self):
        """Guards against responses that wait for each other's memory."""
        account, session, task, _ = self.receive_beside_unfinished_response()
        self.assertEqual(len(self.exchange(session).body), 900_000)
        task.join()
        self.assertEqual(account.message_bytes, 0)

    def test_probe_response_without_end_is_read_on(self):
        probe = Probe(path="/health", names=NAMES)
        for name, reply in REPLIES.items():
            with self.subTest(name):
                session = self.session_to(lambda *_, reply=reply: reply)
                session.send_probe(probe, "i1")
                peak = self.read_for(session, session.read_probe)
                self.assertLess(peak, 1 << 20)

    def test_bytes_without_end_before_a_probe_are_read_on(self):
        probe = Probe(path="/health", names=NAMES)
        for name, reply in REPLIES.items():
            with self.subTest(name):
                session = self.session_to(lambda *_, reply=reply: reply)
                session.send_probe(probe, "i1")
                time.sleep(0.05)
                started = self.clock.now()
                with self.assertRaises(SessionFailed):
                    session.send_probe(probe, "i1")
                self.assertLess(self.clock.now() - started, ENDLESS_MARGIN_MS)
                session.close()
                self.assertTrue(self.upstream.ended.wait(5.0))
