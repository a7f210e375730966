"""Tests of the platform stand-in."""

import http.client
import unittest

import orjson

from monsoonline.clock import ManualClock
from monsoonline.standin.counters import RateCounter
from monsoonline.standin.platform import PlatformStandIn
from monsoonline.standin.tables import ConditionFailed, TableService


def transaction(change_id, *writes, conditions=()):
    rows = [{"table": t, "key": k, "value": v} for t, k, v in writes]
    return {"id": change_id, "conditions": list(conditions), "writes": rows}


class TestTableService(unittest.TestCase):
    """Atomic transactions, versions and stale reads of the table service."""

    def setUp(self):
        self.service = TableService()

    def test_failed_condition_leaves_every_row_unchanged(self):
        """Guards against a transaction that is applied partially."""
        self.service.commit(transaction("1", ("t", "a", {"x": 1})))
        failing_condition = {"table": "t", "key": "a", "version": 7}
        with self.assertRaises(ConditionFailed) as raised:
            self.service.commit(
                transaction(
                    "2", ("t", "b", {}), ("t", "a", {}), conditions=[failing_condition]
                )
            )
        self.assertEqual(raised.exception.failures[0]["row"]["version"], 1)
        revision, rows = self.service.read_rows(["t"])
        self.assertEqual((revision, [row["key"] for row in rows]), (1, ["a"]))

    def test_version_is_not_reused_after_delete(self):
        """Guards against an outdated If-Match that matches a recreated row."""
        self.service.commit(transaction("1", ("t", "a", {})))
        self.service.commit(transaction("2", ("t", "a", None)))
        self.service.commit(transaction("3", ("t", "a", {})))
        self.assertEqual(self.service.read_row("t", "a")[1]["version"], 3)

    def test_lagging_read_returns_one_consistent_older_state(self):
        for number in range(1, 4):
            self.service.commit(transaction(str(number), ("t", "a", {"n": number})))
        revision, row = self.service.read_row("t", "a", lag=2)
        self.assertEqual((revision, row["value"]), (1, {"n": 1}))
        self.assertEqual(self.service.find_change("3", lag=1), (2, None))


class TestRateCounter(unittest.TestCase):
    """Rates are measured over a sliding window."""

    def test_maximum_spans_a_boundary_of_clock_seconds(self):
        """Guards against fixed windows, which hide a burst across their boundary."""
        clock = ManualClock(start_ms=900.0)
        counter = RateCounter(clock=clock)
        for _ in range(4):
            counter.record()
            clock.advance(150.0)
        clock.advance(2000.0)
        counter.record()
        counts = {"total": 5, "last_second": 1, "max_per_second": 4}
        self.assertEqual(counter.snapshot(), counts)


class TestPlatformStandIn(unittest.TestCase):
    """Services and fault injection over HTTP."""

    def setUp(self):
        self.platform = PlatformStandIn()
        self.platform.start()
        self.addCleanup(self.platform.close)

    def call(self, method, target, document=None):
        netloc = self.platform.url.removeprefix("http://")
        connection = http.client.HTTPConnection(netloc, timeout=5)
        self.addCleanup(connection.close)
        body = None if document is None else orjson.dumps(document)
        connection.request(method, target, body=body)
        response = connection.getresponse()
        return response.status, orjson.loads(response.read())

    def test_lost_response_takes_effect_and_closes_the_connection(self):
        self.call("PUT", "/control/faults", {"tables": {"lose_responses": 1}})
        content = transaction("1", ("t", "a", {}))
        with self.assertRaises(http.client.RemoteDisconnected):
            self.call("POST", "/v1/tables/transactions", content)
        status, document = self.call("POST", "/v1/tables/transactions", content)
        self.assertEqual((status, document["code"]), (409, "duplicate"))
        self.assertEqual(document["change"]["revision"], 1)

    def test_stale_machine_list_and_outage_of_one_service_only(self):
        self.platform.put_machines([{"name": "entry-1"}])
        faults = {"machines": {"stale": 1}, "objects": {"outage": True}}
        self.call("PUT", "/control/faults", faults)
        self.assertEqual(self.call("GET", "/v1/machines")[1], {"vms": []})
        self.assertEqual(self.call("GET", "/v1/objects/x")[0], 503)
        self.assertEqual(self.call("GET", "/v1/tables/revision")[0], 200)
        self.assertEqual(self.call("PUT", "/control/faults", {"disk": {}})[0], 422)
        reads = self.call("GET", "/control/counters")[1]["reads"]
        self.assertEqual(reads["total"], 3)

    def test_outage_begins_with_the_next_write_that_takes_effect(self):
        self.call("PUT", "/control/faults", {"tables": {"outage_after_write": True}})
        failing = transaction("1", ("t", "a", {}))
        failing["conditions"] = [{"table": "t", "key": "b", "exists": True}]
        status, _ = self.call("POST", "/v1/tables/transactions", failing)
        self.assertEqual(status, 409)
        self.assertEqual(self.call("GET", "/v1/tables/revision")[0], 200)
        content = transaction("2", ("t", "a", {}))
        status, _ = self.call("POST", "/v1/tables/transactions", content)
        self.assertEqual(status, 200)
        self.assertEqual(self.call("GET", "/v1/tables/revision")[0], 503)
