"""Tests of the peer network over sockets on the loopback interface."""

import dataclasses
import socket
import threading
import time
import unittest
from unittest import mock

from monsoonline.adapters import peer_connections
from monsoonline.adapters.peer_network import SocketPeerNetwork
from monsoonline.clock import SystemClock
from monsoonline.errors import MonsoonlineError, PeerUnavailable
from monsoonline.metrics import Metrics
from monsoonline.ports import Member, PeerNetwork, VirtualMachine

KEYS = {1: b"first-secret-1234"}
PEER_LOGGER = "monsoonline.adapters.peer_connections"


class TestSocketPeerNetwork(unittest.TestCase):
    """Gossip and requests between entries that share one process."""

    def setUp(self):
        self.rows = []
        self.metrics = {}

    def start(self, number, *, keys=KEYS, clock=None):
        self.metrics[number] = Metrics()
        network = SocketPeerNetwork(
            host="127.0.0.1",
            port=0,
            keys=keys,
            signing_key=next(iter(keys)),
            name=f"entry-{number}",
            incarnation=f"{int(number):x}"[:16].zfill(16),
            address=f"127.0.0.1:{number}",
            failure_domain="a",
            region="r",
            clock=clock or SystemClock(),
            metrics=self.metrics[number],
            virtual_machines=lambda: tuple(self.rows),
            seed=number,
        )
        self.rows.append(
            VirtualMachine(
                name=f"entry-{number}",
                role="entry",
                address=f"127.0.0.1:{number}",
                failure_domain="a",
                peer_address=network.address,
            )
        )
        self.addCleanup(network.close)
        network.start()
        return network

    def wait_until(self, condition, limit_s=5.0):
        deadline = time.monotonic() + limit_s
        while not condition() and time.monotonic() < deadline:
            time.sleep(0.02)
        self.assertTrue(condition())

    @staticmethod
    def member(network):
        return network.members()[0]

    def unresponsive_member(self, accept=True):
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        if accept:
            listener.listen()
        return Member(
            name="silent",
            incarnation="",
            address="",
            peer_address=f"127.0.0.1:{listener.getsockname()[1]}",
            failure_domain="a",
        )

    def test_entries_join_and_share_items(self):
        first, second = self.start(1), self.start(2)
        self.assertIsInstance(first, PeerNetwork)
        seen = []
        first.subscribe("drain", seen.append)
        second.publish("drain", "10.1.0.1:80", b"why")
        second.set_own(ready=True, revision=4)
        self.wait_until(lambda: seen and len(first.members()) == 2)
        self.wait_until(lambda: first.members()[1].ready)
        other = first.members()[1]
        self.assertEqual((other.address, other.revision), ("127.0.0.1:2", 4))
        self.assertEqual(seen[0].owner, f"{2:016x}")

    def test_request_returns_reply_or_error_code(self):
        first, second = self.start(1), self.start(2)

        def refuse(name, payload):
            raise MonsoonlineError("no", code="refused-here")

        def fail(name, payload):
            raise RuntimeError("fault in a handler")

        second.serve("echo", lambda name, payload: name.encode() + payload)
        second.serve("refuse", refuse)
        second.serve("fail", fail)
        second.serve("large", lambda name, payload: b"x" * (1024 * 1024 + 1))
        target = self.member(second)
        large = bytes(range(1, 255)) * 4128
        for payload in (b"", b"a", large):
            reply = first.request(target, "echo", payload, timeout_ms=3000)
            self.assertEqual(reply, b"entry-1" + payload)
        cases = {
            "refuse": "refused-here",
            "fail": "handler-failed",
            "none": "unknown-request",
            "large": "reply-oversized",
        }
        for kind, code in cases.items():
            with self.assertRaises(PeerUnavailable) as caught:
                first.request(target, kind, b"", timeout_ms=3000)
            self.assertEqual(caught.exception.code, code)
        with self.assertRaises(ValueError):
            first.request(target, "echo", b"x" * (1024 * 1024 + 1), timeout_ms=1000)

    def test_exception_in_a_handler_is_logged(self):
        """Guards against a lost cause: the requesting entry receives only a code."""
        first, second = self.start(1), self.start(2)

        def fail(name, payload):
            raise RuntimeError("fault in a handler")

        second.serve("fail", fail)
        with (
            self.assertLogs(PEER_LOGGER, "ERROR") as logs,
            self.assertRaises(PeerUnavailable),
        ):
            first.request(self.member(second), "fail", b"", timeout_ms=3000)
        self.assertIn("RuntimeError: fault in a handler", logs.output[0])

    def test_unresponsive_peer_is_unavailable_in_time(self):
        """Guards against requests that exceed their timeout on an unresponsive peer."""
        first = self.start(1)
        for accept in (True, False):
            start = time.monotonic()
            with self.assertRaises(PeerUnavailable):
                first.request(
                    self.unresponsive_member(accept), "echo", b"", timeout_ms=200
                )
            self.assertLess(time.monotonic() - start, 0.6)

    def test_late_reply_is_not_returned_for_the_next_request(self):
        first, second = self.start(1), self.start(2)
        release = threading.Event()
        self.addCleanup(release.set)

        def echo(name, payload):
            if payload == b"slow":
                release.wait(3)
            return payload

        second.serve("echo", echo)
        target = self.member(second)
        with self.assertRaises(PeerUnavailable):
            first.request(target, "echo", b"slow", timeout_ms=150)
        release.set()
        self.wait_until(lambda: self.try_echo(first, target) == b"next")

    @staticmethod
    def try_echo(network, target):
        try:
            return network.request(target, "echo", b"next", timeout_ms=500)
        except PeerUnavailable:
            return None

    def test_too_long_names_are_rejected_at_start(self):
        """Guards against an entry whose messages every peer drops.

        Its own record would not fit into a datagram.
        """
        with self.assertRaisesRegex(ValueError, "too long"):
            self.start("1" * 200)

    def test_idle_connection_is_closed_at_the_limit(self):
        """Guards against unreachable peers when peers outnumber connections."""
        first, *others = (self.start(number) for number in (1, 2, 3))
        with mock.patch.object(peer_connections, "MAX_CONNECTIONS", 1):
            for _ in range(2):
                for target in map(self.member, others):
                    reply = first.request(target, "members", b"", timeout_ms=2000)
                    self.assertTrue(reply)

    def test_request_is_not_sent_to_another_process_at_the_address(self):
        first, second = self.start(1), self.start(2)
        second.serve("echo", lambda name, payload: payload)
        target = self.member(second)
        former = Member(
            name=target.name,
            incarnation="f" * 16,
            address="",
            peer_address=target.peer_address,
            failure_domain="a",
        )
        with self.assertRaisesRegex(PeerUnavailable, "another process"):
            first.request(former, "echo", b"", timeout_ms=1000)

    def test_requests_for_a_former_process_do_not_delay_its_successor(self):
        """Guards against a backoff that also blocks the successor of a process.

        A resend for a stopped entry once blocked the queries to the new process at
        the same address.
        """
        first, second = self.start(1), self.start(2)
        second.serve("echo", lambda name, payload: payload)
        target = self.member(second)
        former = dataclasses.replace(target, incarnation="f" * 16)
        for _ in range(3):
            with self.assertRaisesRegex(PeerUnavailable, "another process"):
                first.request(former, "echo", b"", timeout_ms=1000)
            reply = first.request(target, "echo", b"x", timeout_ms=1000)
            self.assertEqual(reply, b"x")

    def test_backoff_does_not_apply_to_the_successor_of_a_process(self):
        """Guards against a backoff that also delays requests to the successor."""
        first, second = self.start(1), self.start(2)
        second.serve("echo", lambda name, payload: payload)
        target = self.member(second)
        former = dataclasses.replace(target, incarnation="f" * 16)
        with mock.patch.object(peer_connections, "BACKOFF_MIN_MS", 60_000.0):
            with (
                mock.patch("socket.create_connection", side_effect=OSError("refused")),
                self.assertRaises(PeerUnavailable),
            ):
                first.request(former, "echo", b"", timeout_ms=1000)
            with self.assertRaisesRegex(PeerUnavailable, "backing off"):
                first.request(former, "echo", b"", timeout_ms=1000)
            reply = first.request(target, "echo", b"x", timeout_ms=1000)
        self.assertEqual(reply, b"x")

    def test_wrong_key_is_rejected_on_both_transports(self):
        first = self.start(1)
        unauthenticated = self.start(2, keys={1: b"another-secret-12"})
        with self.assertRaises(PeerUnavailable):
            unauthenticated.request(self.member(first), "members", b"", timeout_ms=500)
        dropped = {"cause": "bad-signature"}
        self.wait_until(
            lambda: self.metrics[1].value("peer_messages_dropped_total", **dropped) >= 2
        )
        self.assertEqual(len(first.members()), 1)

    def test_recorded_connection_cannot_be_replayed(self):
        """Guards against recorded bytes that run a request a second time."""
        first, second = self.start(1), self.start(2)
        runs = []
        second.serve("run", lambda name, payload: runs.append(payload) or b"done")
        proxy = RecordingProxy(self.member(second).peer_address)
        self.addCleanup(proxy.close)
        target = Member(
            name="entry-2",
            incarnation=f"{2:016x}",
            address="",
            peer_address=proxy.address,
            failure_domain="a",
        )
        first.request(target, "run", b"once", timeout_ms=2000)
        self.assertEqual(runs, [b"once"])
        host, _, port = self.member(second).peer_address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=2) as attacker:
            attacker.sendall(bytes(proxy.sent))
            while attacker.recv(4096):
                pass
        self.assertEqual(runs, [b"once"])

    def test_replayed_and_garbage_datagrams_are_counted(self):
        first = self.start(1)
        host, _, port = first.address.rpartition(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        second = self.start(2)
        codec = second._codec
        message = codec.seal(b"x" * 8)
        for content in (message, message, b"garbage", b"x" * 1300):
            sender.sendto(content, (host, int(port)))
        for cause in ("replayed", "malformed", "oversized"):
            self.wait_until(
                lambda c=cause: (
                    self.metrics[1].value("peer_messages_dropped_total", cause=c) > 0
                )
            )

    def test_datagrams_queued_during_a_pause_are_dropped(self):
        """Guards against ages that are too low by the length of the pause."""
        clock = SteppedClock()
        first = self.start(1, clock=clock)
        host, _, port = first.address.rpartition(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)

        def dropped():
            clock.step_ms += 5000
            sender.sendto(b"waited", (host, int(port)))
            time.sleep(0.02)
            return self.metrics[1].value("peer_messages_dropped_total", cause="paused")

        self.wait_until(dropped)


class SteppedClock(SystemClock):
    """Clock that a test moves forward to simulate a pause of the process."""

    step_ms = 0.0

    def now(self):
        """Return the monotonic time plus all steps, in milliseconds."""
        return super().now() + self.step_ms


class RecordingProxy:
    """Forwards one connection and records the bytes that its initiator sent.

    :param target: ``host:port`` to forward to
    """

    def __init__(self, target):
        self.sent = bytearray()
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._forward, daemon=True).start()

    def close(self):
        """Close the listener."""
        self._listener.close()

    def _forward(self):
        initiator, _ = self._listener.accept()
        host, _, port = self._target.rpartition(":")
        with initiator, socket.create_connection((host, int(port))) as upstream:
            reply_thread = threading.Thread(
                target=self._copy, args=(upstream, initiator, None)
            )
            reply_thread.start()
            self._copy(initiator, upstream, self.sent)
            reply_thread.join()

    @staticmethod
    def _copy(source, target, record):
        try:
            while content := source.recv(65536):
                if record is not None:
                    record += content
                target.sendall(content)
            target.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
