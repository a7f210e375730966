"""Tests of the administration API, called without sockets."""

import concurrent.futures
import threading
import unittest

import orjson

from monsoonline.adapters.platform import ResponseLost
from monsoonline.entry.administration import (
    MAX_CONCURRENT_REQUESTS,
    Administration,
    resolve_tokens,
)
from monsoonline.errors import FindingsError, StoreUnavailable
from monsoonline.types import Request
from tests.fixtures import Deployment, pool_document, route_document

DEPARTMENTS = ("sales", "surveys", "orders", "stock")
TOKENS = {department: f"secret-{department}".encode() for department in DEPARTMENTS}


class AdministrationTest(unittest.TestCase):
    """Base class with three entries, each with its own API."""

    def setUp(self):
        self.deployment = Deployment(self)
        self.platform = self.deployment.platform
        self.platform.put_row("pools", "quotes", pool_document())
        self.entries = self.deployment.start("entry-1", "entry-2", "entry-3")
        self.apis = [
            Administration(
                configuration=entry,
                store=entry._store,
                tokens=TOKENS,
                clock=self.deployment.clock,
                metrics=entry.metrics,
            )
            for entry in self.entries
        ]

    def call(
        self, method, path, document=None, *, department="sales", api=0, **headers
    ):
        """Return status, headers and JSON body."""
        token = TOKENS.get(department, b"wrong").decode()
        names = {"Authorization": f"Bearer {token}"}
        names |= {name.replace("_", "-"): value for name, value in headers.items()}
        body = b"" if document is None else orjson.dumps(document)
        request = Request(
            method=method,
            host="",
            target=path,
            headers=tuple(names.items()),
            body=body,
        )
        response = self.apis[api].handle(request)
        return response.status, dict(response.headers), orjson.loads(response.body)

    def put_new(self, path, document, **options):
        return self.call("PUT", path, document, If_None_Match="*", **options)


class TestAdministration(AdministrationTest):
    """Reads, edit conditions, refusals and findings."""

    def test_create_update_and_delete_of_a_row(self):
        status, headers, document = self.put_new(
            "/v1/routes/lookup", route_document(), Monsoonline_Author="J%C3%BCrgen"
        )
        self.assertEqual((status, document["code"]), (200, "accepted"))
        etag = headers["ETag"]
        status, headers, document = self.call("GET", "/v1/routes/lookup")
        self.assertEqual((status, headers["ETag"]), (200, etag))
        changed = route_document(deadline_ms=50)
        status, headers, _ = self.call(
            "PUT", "/v1/routes/lookup", changed, If_Match=etag
        )
        self.assertEqual(status, 200)
        newer = headers["ETag"]
        status, _, document = self.call("DELETE", "/v1/routes/lookup", If_Match=newer)
        self.assertEqual(status, 200)
        self.assertEqual(self.call("GET", "/v1/routes/lookup")[0], 404)
        _, _, document = self.call("GET", "/v1/routes/lookup/history")
        versions = [
            (c["version_before"], c["version_after"]) for c in document["changes"]
        ]
        self.assertEqual(versions, [(0, 2), (2, 3), (3, 0)])
        first = document["changes"][0]
        self.assertEqual((first["author"], first["department"]), ("Jürgen", "sales"))
        self.assertTrue(first["time"].endswith("+00:00"))
        self.assertEqual(self.entries[2].revision, 4)

    def test_edit_without_condition_and_with_an_old_one(self):
        """Guards against concurrent operators overwriting each other's edits."""
        document = pool_document(slots=4)
        status, _, error = self.call("PUT", "/v1/pools/quotes", document)
        self.assertEqual((status, error["code"]), (428, "condition-required"))
        self.call("PUT", "/v1/pools/quotes", document, If_Match='"1"')
        status, headers, error = self.call(
            "PUT", "/v1/pools/quotes", pool_document(slots=5), If_Match='"1"'
        )
        self.assertEqual((status, headers["ETag"]), (412, '"2"'))
        self.assertEqual(error["current"]["row"]["upstreams"][0]["slots"], 4)
        for condition in ("*", 'W/"2"', "2", '"0"'):
            status, _, _ = self.call(
                "PUT", "/v1/pools/quotes", document, If_Match=condition
            )
            self.assertEqual(status, 400)

    def test_refusals_by_rule(self):
        foreign = self.call(
            "DELETE", "/v1/pools/quotes", department="stock", If_Match='"1"'
        )
        self.assertEqual((foreign[0], foreign[2]["code"]), (403, "other-department"))
        missing = self.put_new("/v1/routes/a", route_document(pool="none"))
        self.assertEqual((missing[0], missing[2]["code"]), (409, "missing-pool"))
        self.put_new("/v1/routes/lookup", route_document())
        used = self.call("DELETE", "/v1/pools/quotes", If_Match='"1"')
        self.assertEqual((used[0], used[2]["code"]), (409, "pool-in-use"))
        self.assertEqual(self.call("GET", "/v1/pools", department="x")[0], 401)
        self.assertEqual(self.call("POST", "/v1/pools")[0], 405)
        self.assertEqual(self.call("GET", "/v1/pools/..%2Fx")[0], 404)

    def test_all_findings_of_an_invalid_row_in_one_response(self):
        document = pool_document(slots=0) | {"colour": "red"}
        status, _, error = self.put_new("/v1/pools/new", document)
        self.assertEqual(status, 422)
        paths = {finding["path"] for finding in error["findings"]}
        self.assertEqual(paths, {"pools.new.upstreams[0].slots", "pools.new.colour"})

    def test_resend_returns_the_first_result_over_a_newer_edit(self):
        options = {"If_Match": '"1"', "Monsoonline_Change_Id": "edit-1"}
        first = self.call("PUT", "/v1/pools/quotes", pool_document(slots=4), **options)
        self.call("PUT", "/v1/pools/quotes", pool_document(slots=5), If_Match='"2"')
        again = self.call(
            "PUT", "/v1/pools/quotes", pool_document(slots=4), api=1, **options
        )
        self.assertEqual(again[2]["revision"], first[2]["revision"])
        pool = self.entries[1].tables.pools["quotes"]
        self.assertEqual(pool.upstreams[0].slots, 5)
        other = self.call("PUT", "/v1/pools/quotes", pool_document(slots=7), **options)
        self.assertEqual((other[0], other[2]["code"]), (422, "change-id-reused"))

    def test_unavailable_store_refuses_edits_and_serves_reads(self):
        self.platform.set_faults("tables", outage=True)
        status, headers, _ = self.put_new("/v1/routes/lookup", route_document())
        self.assertEqual((status, "Retry-After" in headers), (503, True))
        status, _, document = self.call("GET", "/v1/pools")
        self.assertEqual((status, document["source"]), (200, "in-effect"))
        self.assertEqual(document["rows"][0]["version"], 1)

    def test_requests_waiting_for_the_store_leave_a_worker_free(self):
        """Guards against health checks delayed by requests to a slow store."""
        store_reply = threading.Event()
        self.addCleanup(store_reply.set)
        waiting = threading.Barrier(MAX_CONCURRENT_REQUESTS + 1, timeout=5)

        def read_slowly():
            waiting.wait()
            store_reply.wait(5.0)
            raise StoreUnavailable("slow")

        self.entries[0]._store.read_rows = read_slowly
        with concurrent.futures.ThreadPoolExecutor() as executor:
            calls = [
                executor.submit(self.call, "GET", "/v1/pools")
                for _ in range(MAX_CONCURRENT_REQUESTS)
            ]
            waiting.wait()
            status, _, error = self.call("GET", "/v1/pools")
            self.assertEqual((status, error["code"]), (503, "busy"))
            store_reply.set()
        self.assertEqual([call.result()[0] for call in calls], [200] * len(calls))

    def test_unresolved_commit_is_unknown_and_names_the_change(self):
        # The response of the commit is lost, and the look-ups by change id fail.
        send = self.entries[0]._store._client.send_once

        def send_then_fail(method, target, body):
            if method == "POST":
                self.platform.set_faults("tables", lose_responses=1)
                try:
                    return send(method, target, body)
                finally:
                    self.platform.set_faults("tables", outage=True)
            return send(method, target, body)

        self.entries[0]._store._client.send_once = send_then_fail
        status, _, error = self.put_new(
            "/v1/routes/lookup", route_document(), Monsoonline_Change_Id="edit-9"
        )
        self.assertEqual((status, error["outcome"]), (504, "unknown"))
        self.platform.set_faults("tables")
        status, _, document = self.call("GET", "/v1/changes/edit-9", api=1)
        self.assertEqual((status, document["revision"]), (200, 2))

    def test_change_without_acknowledgements_is_propagating(self):
        self.deployment.network.isolate("entry-2")
        status, headers, document = self.put_new("/v1/routes/lookup", route_document())
        self.assertEqual((status, document["code"]), (202, "propagating"))
        self.assertEqual(headers["Monsoonline-Change-Id"], document["change_id"])


class TestTokens(unittest.TestCase):
    """Resolution of the departments' tokens."""

    def test_variables_are_resolved_and_values_never_quoted(self):
        tokens = {"sales": "env:A", "stock": "env:B", "x": "plain", "y": "plain"}
        with self.assertRaises(FindingsError) as raised:
            resolve_tokens(tokens, environment={"A": "alpha"})
        paths = [finding.path for finding in raised.exception.findings]
        self.assertEqual(paths, ["tokens.stock", "tokens.y"])
        self.assertNotIn("plain", str(raised.exception))
        resolved = resolve_tokens({"sales": "env:A"}, environment={"A": "alpha"})
        self.assertEqual(resolved, {"sales": b"alpha"})


class TestRacingOperators(AdministrationTest):
    """1,000 edits by 8 operators of 4 departments with injected store faults."""

    OPERATORS = 8
    EDITS_EACH = 125

    def setUp(self):
        super().setUp()
        self.steps = 0
        self.lost = 0
        self.outage_until = 0
        self.lock = threading.Lock()
        self.accepted = []
        self.conflicts = 0
        # Makes both operators of a department read a row before either edits it.
        self.pairs = {d: threading.Barrier(2, timeout=10) for d in DEPARTMENTS}
        for entry in self.entries:
            client = entry._store._client
            client.send_once = self.start_outage_after_lost_responses(client.send_once)

    def start_outage_after_lost_responses(self, send):
        """Wrap ``send`` to start an outage after every third lost response."""

        def send_once(*arguments):
            try:
                return send(*arguments)
            except ResponseLost:
                with self.lock:
                    self.lost += 1
                    if self.lost % 3 == 0:
                        self.outage_until = self.steps + 20
                        self.platform.set_faults("tables", outage=True)
                raise

        return send_once

    def step(self):
        """Switch faults by the number of requests, so that every outage ends.

        Every seventh request outside an outage loses its response.
        """
        with self.lock:
            self.steps += 1
            if self.steps == self.outage_until:
                self.platform.set_faults("tables")
            elif self.steps > self.outage_until and self.steps % 7 == 0:
                self.platform.set_faults("tables", lose_responses=1)

    def call_until_certain(self, *arguments, **options):
        while True:
            self.step()
            result = self.call(*arguments, **options)
            if result[0] not in (503, 504):
                return result

    def operate(self, number):
        for index in range(self.EDITS_EACH):
            department = DEPARTMENTS[number % len(DEPARTMENTS)]
            options = {"department": department, "api": number % len(self.apis)}
            path, document = self.target(department, index)
            _, _, row = self.call_until_certain("GET", path, **options)
            self.pairs[department].wait()
            options["Monsoonline_Change_Id"] = f"edit-{number}-{index}"
            if "version" in row:
                options["If_Match"] = f'"{row["version"]}"'
                if index % 5 == 4:
                    document = None
            else:
                options["If_None_Match"] = "*"
            method = "DELETE" if document is None else "PUT"
            status, _, result = self.call_until_certain(
                method, path, document, **options
            )
            self.record(status, result, document)

    def target(self, department, index):
        """Return the path and document of a row that both operators edit.

        Each department has a pool, which is used by the routes of another department.
        """
        if index % 3 == 0:
            document = pool_document(department=department, slots=1 + index)
            return f"/v1/pools/{department}", document
        other = DEPARTMENTS[(DEPARTMENTS.index(department) + 1) % len(DEPARTMENTS)]
        route = route_document(pool=other, department=department, deadline_ms=1 + index)
        return f"/v1/routes/{department}-{index % 2}", route

    def record(self, status, result, document):
        if status in (200, 202):
            with self.lock:
                edit = (result["revision"], result["change_id"], document)
                self.accepted.append(edit)
        elif status in (409, 412):
            with self.lock:
                self.conflicts += status == 412
        else:
            raise AssertionError(f"{status}: {result}")

    def test_history_equals_exactly_the_accepted_edits_in_order(self):
        with concurrent.futures.ThreadPoolExecutor(self.OPERATORS) as executor:
            list(executor.map(self.operate, range(self.OPERATORS)))
        self.platform.set_faults("tables")
        _, records = self.platform.tables.read_changes(since=1)
        history = [(r["revision"], r["id"], r["writes"][0]["value"]) for r in records]
        self.assertEqual(history, sorted(self.accepted, key=lambda edit: edit[0]))
        self.assertGreater(len(history), 200)
        self.assertGreater(self.conflicts, 200)
        self.assertGreater(self.lost, 50)
        for record in records:
            expected = record["note"]["expected_version"]
            self.assertEqual(record["writes"][0]["before"], expected, record)
        self.assert_references_always_held(records)
        for entry in self.entries:
            entry.poll()
        self.assertEqual(len({entry.checksum for entry in self.entries}), 1)
        self.assertEqual(self.entries[0].revision, len(history) + 1)

    def assert_references_always_held(self, records):
        rows = {("pools", "quotes"): {}}
        for record in records:
            write = record["writes"][0]
            rows[(write["table"], write["key"])] = write["value"]
            rows = {key: value for key, value in rows.items() if value is not None}
            used = {v["pool"] for (table, _), v in rows.items() if table == "routes"}
            pools = {name for table, name in rows if table == "pools"}
            self.assertLessEqual(used, pools, record)
