"""Tests of the faults and the run records of the upstream stand-in."""

import concurrent.futures
import http.client
import socket
import tempfile
import time
import unittest

import orjson

from monsoonline.standin.upstream import UpstreamFaults, UpstreamStandIn


class TestUpstreamStandIn(unittest.TestCase):
    """Faults, slots and run records of one stand-in over real sockets."""

    def setUp(self):
        self.upstream = UpstreamStandIn(slots=1)
        self.upstream.start()
        self.addCleanup(self.upstream.close)

    def connect(self, timeout=5):
        host, _, port = self.upstream.address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        self.addCleanup(connection.close)
        return connection

    def get(self, connection=None, target="/", method="GET", body=None, **headers):
        connection = connection or self.connect()
        pairs = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, target, body=body, headers=pairs)
        response = connection.getresponse()
        return response, response.read()

    def occupy(self, service_ms=300.0):
        """Start a request that occupies the only slot; return its connection."""
        self.upstream.configure(service_ms=service_ms)
        connection = self.connect()
        connection.request("GET", "/", headers={"Monsoonline-Key": "occupier"})
        self.wait_until(lambda: self.upstream.runs == ("occupier",))
        return connection

    def wait_until(self, condition):
        end = time.monotonic() + 5
        while not condition() and time.monotonic() < end:
            time.sleep(0.002)
        self.assertTrue(condition())

    def test_same_seed_gives_the_same_service_times(self):
        faults = UpstreamFaults(service_ms=2.0, service_sigma=0.5)
        first, second = (
            [standin._service_ms(0.0) for _ in range(5)]
            for standin in (UpstreamStandIn(seed=7, faults=faults) for _ in "ab")
        )
        self.assertEqual(first, second)
        self.assertEqual(len(set(first)), 5)

    def test_repeated_response_is_received_before_the_next_request(self):
        self.upstream.configure(repeat=1.0)
        host, _, port = self.upstream.address.partition(":")
        received = b""
        # http.client would read the second copy into its buffer and hide it.
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(b"GET /one HTTP/1.1\r\nHost: a\r\n\r\n")
            while received.count(b'"path":"/one"') < 2:
                part = connection.recv(4096)
                self.assertTrue(part)
                received += part
        self.assertEqual(len(self.upstream.runs), 1)

    def test_records_file_holds_a_request_that_has_not_ended(self):
        """Guards against losing records of started requests when it is killed."""
        with tempfile.NamedTemporaryFile() as file:
            upstream = UpstreamStandIn(service_ms=60_000.0, records_file=file.name)
            upstream.start()
            self.addCleanup(upstream.close)
            host, _, port = upstream.address.partition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=5)
            self.addCleanup(connection.close)
            connection.request("GET", "/", headers={"Monsoonline-Key": "first"})
            self.wait_until(lambda: upstream.runs == ("first",))
            self.wait_until(lambda: file.seek(0) == 0 and file.read().endswith(b"\n"))
            file.seek(0)
            record = orjson.loads(file.read())
            self.assertEqual((record["key"], record["ended"]), ("first", None))

    def test_full_queue_sheds_with_or_without_certificate(self):
        self.upstream.configure(queue_limit=0)
        self.occupy()
        response, _ = self.get()
        self.assertEqual(response.status, 503)
        self.assertEqual(response.getheader("Monsoonline-Not-Run"), "true")
        self.upstream.configure(bare_refusals=True)
        self.assertIsNone(self.get()[0].getheader("Monsoonline-Not-Run"))
        self.assertEqual(self.upstream.runs, ("occupier",))

    def test_misleading_refusal_has_run(self):
        self.upstream.configure(bare_refusals=True, run_before_refusal=True)
        self.assertEqual(self.get(Monsoonline_Key="k")[0].status, 503)
        self.assertTrue(self.upstream.records[0].completed)

    def test_deadline_that_passes_in_the_queue_is_refused_as_not_run(self):
        self.occupy()
        response, body = self.get(Monsoonline_Deadline_Ms="20")
        self.assertEqual(orjson.loads(body), {"code": "deadline"})
        self.assertEqual(response.getheader("Monsoonline-Not-Run"), "true")
        self.assertEqual(len(self.upstream.runs), 1)

    def test_disconnect_stops_a_request(self):
        started = time.monotonic()
        self.occupy(service_ms=5000.0).close()
        self.wait_until(lambda: self.upstream.records[0].ended is not None)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertFalse(self.upstream.records[0].completed)
        self.upstream.configure(service_ms=1.0)
        self.assertEqual(self.get()[0].status, 200)

    def test_only_connections_open_at_the_call_become_unresponsive(self):
        old = self.connect(timeout=0.1)
        self.get(old)
        self.upstream.make_connections_unresponsive()
        self.assertEqual(self.get()[0].status, 200)
        self.assertRaises(TimeoutError, self.get, old)

    def test_truncated_body_is_shorter_than_its_length(self):
        self.upstream.configure(truncate=1.0)
        self.assertRaises(http.client.IncompleteRead, self.get)

    def test_poison_request_crashes_the_server_and_cancels_other_requests(self):
        occupier = self.occupy(service_ms=5000.0)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.get(Monsoonline_Standin_Crash="true")
        with self.assertRaises((OSError, http.client.HTTPException)):
            occupier.getresponse()
        self.assertRaises(ConnectionRefusedError, self.connect().connect)
        self.wait_until(lambda: self.upstream.records[0].ended is not None)
        self.assertFalse(self.upstream.records[0].completed)

    def test_load_report_lags(self):
        self.upstream.configure(load_lag_ms=10_000.0)
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            self.occupy(service_ms=50.0)
            response = executor.submit(self.get).result()[0]
        self.assertEqual(
            response.getheader("Monsoonline-Load"), "in-flight=0; slots=1; queued=0"
        )

    def test_cold_start_and_fail_fast(self):
        self.upstream.configure(service_ms=5.0, cold_start_ms=60_000.0, cold_factor=10)
        started = time.monotonic()
        self.get()
        self.assertGreaterEqual(time.monotonic() - started, 0.05)
        self.upstream.configure(fail_fast=True)
        self.assertEqual(self.get()[0].status, 500)
        self.assertEqual(len(self.upstream.runs), 1)

    def test_control_path_sets_faults_and_returns_records(self):
        self.get(Monsoonline_Key="k", target="/a")
        path = "/.standin/faults"
        changed, _ = self.get(method="POST", target=path, body=b'{"draining": true}')
        self.assertEqual(changed.status, 200)
        self.assertEqual(self.get()[0].getheader("Monsoonline-Draining"), "true")
        health = orjson.loads(self.get(target="/.standin/health")[1])
        self.assertEqual(health, {"healthy": True, "draining": True})
        wrong, body = self.get(method="POST", target=path, body=b'{"drain": 1}')
        self.assertEqual((wrong.status, b"drain" in body), (422, True))
        records = orjson.loads(self.get(target="/.standin/records")[1])["records"]
        self.assertEqual((records[0]["key"], records[0]["target"]), ("k", "/a"))
        self.assertEqual(len(records), 2)
