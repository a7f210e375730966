"""Tests of the conversion of documents in the platform's store."""

import json
import unittest
from unittest import mock

from monsoonline.core.model import PoolShare
from monsoonline.errors import FindingsError
from monsoonline.platform.documents import (
    TablesDecoder,
    decode_member,
    decode_registration,
    decode_route,
    decode_tables,
    encode_member,
)
from tests.core.test_fleet import member

ROUTE = {
    "name": "r1",
    "hostname": "Shop.example",
    "prefix": "/a/",
    "kind": "safe",
    "timeout": "1200ms",
    "latency_goal": "600ms",
    "priority": 2,
    "service": "s1",
    "max_attempts": 3,
}
CONFIGURATION = {
    "version": "00000007",
    "routes": [ROUTE],
    "services": [{"name": "s1", "health_path": "/health", "max_connections": 283}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}
TARGET = {
    "address": "10.128.0.9:8080",
    "info": {"service": "s1", "version": "v1", "zone": "zh-a", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "cold_left": "0ms"},
    "born": 1700000000000,
}


def tables_of(**changes):
    document = CONFIGURATION | changes
    return decode_tables(json.dumps(document).encode(), 12)


class TestTables(unittest.TestCase):
    """Decoding of the operator's configuration into routes, pools and limits."""

    def test_route_and_pool(self):
        tables = tables_of()
        route = tables.routes["r1"]
        self.assertEqual(tables.revision, 12)
        self.assertEqual(route.match.host, "shop.example")
        self.assertEqual((route.deadline_ms, route.success.latency_ms), (1200.0, 600.0))
        self.assertEqual(route.tolerance.retries, 2)
        self.assertTrue(route.idempotent)
        self.assertEqual(tables.pools["s1"].measuring.path, "/health")
        self.assertEqual(tables.limits.idle_timeout_ms, 15_000.0)

    def test_only_requests_of_the_safe_kind_are_idempotent(self):
        """Guards against a request of an unknown kind running twice."""
        for kind in ("unsafe", "keyed", "anything"):
            route = tables_of(routes=[ROUTE | {"kind": kind}]).routes["r1"]
            self.assertFalse(route.idempotent)
            self.assertEqual(route.tolerance.hedges, 0)

    def test_traffic_split_replaces_the_service(self):
        split = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
        row = {k: v for k, v in ROUTE.items() if k != "service"}
        route = tables_of(routes=[row | {"traffic_split": split}]).routes["r1"]
        self.assertEqual(
            route.shares,
            (PoolShare(pool="s1", weight=90), PoolShare(pool="s2", weight=10)),
        )

    def test_all_findings_are_raised_together(self):
        invalid = ROUTE | {"timeout": "soon", "max_attempts": 0}
        with self.assertRaises(FindingsError) as caught:
            tables_of(routes=[invalid], limits={"idle_timeout": 5})
        paths = [finding.path for finding in caught.exception.findings]
        self.assertEqual(
            paths,
            ["routes[0].timeout", "routes[0].max_attempts", "limits.idle_timeout"],
        )

    def test_content_that_is_not_json_raises_findings(self):
        with self.assertRaises(FindingsError):
            decode_tables(b"{", 1)


class TestTablesDecoder(unittest.TestCase):
    """Successive configurations are decoded as if each was the first."""

    def setUp(self):
        self.decoder = TablesDecoder()
        self.routes = [ROUTE | {"name": f"r{n}", "prefix": f"/{n}/"} for n in range(20)]

    def decode(self, revision, routes):
        content = json.dumps(CONFIGURATION | {"routes": routes}).encode()
        tables = self.decoder.decode(content, revision)
        self.assertEqual(tables, decode_tables(content, revision))
        return tables

    def test_only_changed_routes_are_checked_again(self):
        """Guards against versions in force too late: checking all took most time."""
        self.decode(1, self.routes)
        changed = [*self.routes[1:], ROUTE, self.routes[3] | {"timeout": "5s"}]
        content = json.dumps(CONFIGURATION | {"routes": changed}).encode()
        with mock.patch(
            "monsoonline.platform.documents.decode_route", side_effect=decode_route
        ) as checked:
            tables = self.decoder.decode(content, 2)
        self.assertEqual(checked.call_count, 2)
        self.assertEqual(tables, decode_tables(content, 2))

    def test_route_that_returns_or_changes_back_is_decoded_as_it_is_now(self):
        self.decode(1, self.routes)
        self.decode(2, self.routes[5:])
        self.decode(3, self.routes)
        self.decode(4, [self.routes[0] | {"service": "s2"}])
        self.assertEqual(self.decode(5, self.routes).routes["r0"].pool, "s1")

    def test_invalid_configuration_leaves_no_trace(self):
        self.decode(1, self.routes)
        with self.assertRaises(FindingsError):
            self.decode(2, [self.routes[0] | {"timeout": "soon"}, *self.routes[1:]])
        with self.assertRaises(FindingsError):
            self.decode(3, [None, *self.routes])
        self.decode(4, self.routes)


class TestRegistration(unittest.TestCase):
    """Decoding of a target's row into a registration."""

    def decode(self, **changes):
        return decode_registration("i1", json.dumps(TARGET | changes).encode())

    def test_valid_row(self):
        registration = self.decode()
        self.assertEqual(registration.pool, "s1")
        self.assertEqual(registration.address, "10.128.0.9:8080")
        self.assertEqual(registration.born_ms, TARGET["born"])
        self.assertFalse(registration.leaving or registration.cold)

    def test_draining_and_cold_target(self):
        status = {"state": "draining", "sequence": 5, "cold_left": "1.5s"}
        registration = self.decode(status=status)
        self.assertTrue(registration.leaving)
        self.assertTrue(registration.cold)

    def test_invalid_rows_raise_findings(self):
        status = TARGET["status"]
        invalid = (
            {"address": 5},
            {"address": "somewhere"},
            {"info": None},
            {"info": TARGET["info"] | {"slots": "3"}},
            {"status": status | {"state": "asleep"}},
            {"status": []},
            {"born": "yesterday"},
        )
        for changes in invalid:
            with self.subTest(changes=changes), self.assertRaises(FindingsError):
                self.decode(**changes)
        for content in (b"", b"\xff\x00", b"[]"):
            with self.subTest(content=content), self.assertRaises(FindingsError):
                decode_registration("i1", content)

    def test_row_of_another_writer_without_a_field_counts_as_a_start(self):
        """Guards against a row that brings a target back that has left."""
        for part, name in (
            ("info", "version"),
            ("status", "sequence"),
            ("status", "cold_left"),
        ):
            row = TARGET | {part: {k: v for k, v in TARGET[part].items() if k != name}}
            with self.subTest(name), self.assertRaises(FindingsError) as caught:
                decode_registration("i1", json.dumps(row).encode())
            paths = [finding.path for finding in caught.exception.findings]
            self.assertEqual(paths, [f"{part}.{name}"])

    def test_values_that_nothing_can_be_sent_to_raise_findings(self):
        """Guards against a row of another writer that stops all reads of the store.

        Others ended the requests that tried to connect to their address.
        """
        info, status = TARGET["info"], TARGET["status"]
        invalid = (
            {"info": info | {"slots": float("nan")}},
            {"info": info | {"slots": float("inf")}},
            {"info": info | {"slots": 10**400}},
            {"info": info | {"zone": "\ud800"}},
            {"info": info | {"service": ["s1"]}},
            {"status": status | {"state": {}}},
            {"status": status | {"cold_left": "9" * 400 + "s"}},
            {"born": 10**400},
            {"born": float("inf")},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:-1"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.0.1:\u0661"},
        )
        for changes in invalid:
            with self.subTest(changes=changes), self.assertRaises(FindingsError):
                self.decode(**changes)
        whole = json.dumps(TARGET).encode()
        for content in (
            b"[" * 100_000,
            b'{"a":' * 100_000,
            whole.replace(b'"slots": 3', b'"slots": 1e400'),
            whole.replace(b'"born": 17', b'"born": NaN, "x": 17'),
            whole.replace(b"zh-a", b"\xff"),
        ):
            with self.subTest(content=content[:60]), self.assertRaises(FindingsError):
                decode_registration("i1", content)

    def test_id_that_no_header_can_hold_is_invalid(self):
        """Guards against headers of another writer in requests to upstreams."""
        for instance in ("i1\r\nX-Own: 1", "i 1", "", "i\u00e9"):
            with self.subTest(instance), self.assertRaises(FindingsError):
                decode_registration(instance, json.dumps(TARGET).encode())

    def test_whole_numbers_are_read_alike_however_they_are_written(self):
        """Guards against digests that differ between entries for ever."""
        changes = {"info": TARGET["info"] | {"slots": 3.0}, "born": 1.7e12}
        self.assertEqual(repr(self.decode(**changes)), repr(self.decode()))


class TestMember(unittest.TestCase):
    """Encoding and decoding of an entry's row."""

    def test_round_trip(self):
        original = member(
            "a", callers_address="10.0.0.1:80", peer_address="10.0.0.1:90"
        )
        self.assertEqual(decode_member("a", encode_member(original)), original)

    def test_invalid_row_raises_findings(self):
        with self.assertRaises(FindingsError):
            decode_member("a", b'{"zone": 5}')
