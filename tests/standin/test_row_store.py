"""Tests of the row store stand-in against the published HTTP API."""

import http.client
import json
import threading
import time
import unittest

from monsoonline.standin.row_store import RowStoreFaults, RowStoreStandIn

ROW = {"table": "t", "part": "", "key": "a", "value": "eA=="}


class TestRowStore(unittest.TestCase):
    """Guards against a stand-in that is more lenient than the real store."""

    def start(self, **options):
        self.store = RowStoreStandIn(**options)
        self.store.start()
        self.addCleanup(self.store.close)

    def setUp(self):
        self.start()

    def call(self, method, path, *, body=b"", headers=None):
        """Return status and decoded body, or ``None`` if the response is lost.

        The era in the response is kept in ``self.era``.
        """
        host, _, port = self.store.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            connection.request(method, f"/-/{path}", body=body, headers=headers or {})
            response = connection.getresponse()
            content = response.read()
        except http.client.RemoteDisconnected:
            return None
        finally:
            connection.close()
        self.era = response.getheader("Store-Era")
        is_json = response.getheader("Content-Type") == "application/json"
        return response.status, json.loads(content) if is_json else content

    def transact(self, **document):
        return self.call("POST", "rows-tx", body=json.dumps(document).encode())

    def test_failed_condition_changes_nothing(self):
        _, document = self.transact(put=[ROW])
        absent = {**ROW, "ver": 0}
        status, conflict = self.transact(expected_revision=[absent], put=[ROW])
        self.assertEqual(status, 412)
        self.assertEqual(conflict["rows"][0]["ver"], document["ver"])
        current = {**ROW, "ver": document["ver"]}
        status, _ = self.transact(expected_revision=[current], remove=[ROW])
        self.assertEqual((status, self.store.rows("t")), (200, {}))

    def test_read_only_tables_cannot_be_written(self):
        status, _ = self.transact(put=[{**ROW, "table": "servers"}])
        self.assertEqual(status, 403)

    def test_feed_has_changes_in_order_and_marks_removed_rows(self):
        _, first = self.transact(put=[ROW])
        self.store.remove("t", "a")
        status, feed = self.call("GET", "rows-feed?table=t&after=0")
        self.assertEqual(status, 200)
        self.assertEqual([row.get("tombstone") for row in feed["rows"]], [None, True])
        _, rest = self.call("GET", f"rows-feed?table=t&after={first['ver']}")
        self.assertEqual(len(rest["rows"]), 1)

    def test_feed_waits_for_a_change_up_to_the_given_time(self):
        started = time.monotonic()
        _, feed = self.call("GET", "rows-feed?table=t&after=0&wait_ms=200")
        self.assertEqual(feed["rows"], [])
        self.assertGreater(time.monotonic() - started, 0.15)

    def test_discarded_history_is_reported(self):
        self.transact(put=[ROW])
        self.store.discard_history()
        status, _ = self.call("GET", "rows-feed?table=t&after=0")
        self.assertEqual(status, 410)
        status, _ = self.call("GET", "rows-get?table=t")
        self.assertEqual(status, 200)

    def test_calls_beyond_the_rate_limit_are_rejected(self):
        self.start(writes_per_s=2)
        statuses = [self.transact(put=[ROW])[0] for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 429])
        self.assertEqual(self.call("GET", "rows-get?table=t")[0], 200)

    def test_delayed_write_takes_effect_after_its_call_has_ended(self):
        """Guards against applying a delayed write early, which hides double writes.

        A writer that retries such a call unconditionally writes twice."""
        self.store.faults.write_delay_ms = 200.0
        self.assertIsNone(self.transact(put=[ROW]))
        self.assertEqual(self.store.rows("t"), {})
        time.sleep(0.5)
        self.assertEqual(self.store.rows("t"), {"a": b"x"})

    def test_delayed_write_is_dropped_if_its_condition_no_longer_holds(self):
        self.store.faults.write_delay_ms = 200.0
        absent = {**ROW, "ver": 0}
        self.assertIsNone(self.transact(expected_revision=[absent], put=[ROW]))
        self.store.write("t", "a", b"other")
        time.sleep(0.5)
        self.assertEqual(self.store.rows("t"), {"a": b"other"})

    def test_parts_of_a_table(self):
        self.transact(put=[{**ROW, "part": "p2"}])
        self.transact(put=[{**ROW, "part": "p1"}])
        _, document = self.call("GET", "rows-parts?table=t")
        self.assertEqual(document["parts"], ["p1", "p2"])

    def test_objects(self):
        once = {"If-None-Match": "*"}
        self.assertEqual(
            self.call("PUT", "blob-put/x1", body=b"a", headers=once)[0], 200
        )
        self.assertEqual(
            self.call("PUT", "blob-put/x1", body=b"b", headers=once)[0], 412
        )
        self.assertEqual(self.call("GET", "blob-get/x1"), (200, b"a"))
        _, document = self.call("GET", "blob-list?prefix=x")
        self.assertEqual(document["names"], ["x1"])
        self.assertEqual(self.call("DELETE", "blob-drop/x1")[0], 200)
        self.assertEqual(self.call("GET", "blob-get/x1")[0], 404)

    def test_no_era_is_sent_unless_one_is_set(self):
        self.call("GET", "rows-get?table=t")
        self.assertIsNone(self.era)
        self.store.restore(self.store.take_copy())
        self.call("GET", "rows-get?table=t")
        self.assertIsNone(self.era)

    def test_era_is_in_all_responses(self):
        """Guards against an era that is missing in errors."""
        self.start(era=7, writes_per_s=3)
        for method, path, body, expected in (
            ("GET", "rows-get?table=t", b"", 200),
            ("GET", "rows-feed?table=t&after=9", b"", 410),
            ("GET", "blob-get/x1", b"", 404),
            ("GET", "unknown", b"", 404),
            ("POST", "rows-tx", json.dumps({"put": [ROW]}).encode(), 200),
            ("POST", "rows-tx", b'{"put": [{"table": "op"}]}', 403),
            (
                "POST",
                "rows-tx",
                json.dumps({"expected_revision": [{**ROW, "ver": 9}]}).encode(),
                412,
            ),
            ("POST", "rows-tx", b"{}", 429),
        ):
            with self.subTest(path=path, expected=expected):
                status, _ = self.call(method, path, body=body)
                self.assertEqual((status, self.era), (expected, "7"))
        self.store.faults.status = 503
        status, _ = self.call("GET", "rows-get?table=t")
        self.assertEqual((status, self.era), (503, "7"))
        self.store.faults = RowStoreFaults(should_refuse=lambda request: True)
        status, _ = self.call("GET", "rows-get?table=t")
        self.assertEqual((status, self.era), (503, "7"))

    def test_restored_copy_replaces_rows_and_gives_versions_out_again(self):
        self.start(era=1)
        _, first = self.transact(put=[ROW])
        copy = self.store.take_copy()
        self.transact(remove=[ROW])
        _, lost = self.transact(put=[{**ROW, "key": "b"}])
        self.store.restore(copy)
        _, page = self.call("GET", "rows-get?table=t")
        self.assertEqual(self.era, "2")
        self.assertEqual([row["key"] for row in page["rows"]], ["a"])
        self.assertEqual(page["ver"], first["ver"])
        _, second = self.transact(put=[{**ROW, "key": "c"}])
        _, third = self.transact(put=[{**ROW, "key": "d"}])
        self.assertEqual(second["ver"], first["ver"] + 1)
        self.assertEqual(third["ver"], lost["ver"])
        _, feed = self.call("GET", "rows-feed?table=t&after=0")
        self.assertEqual([row["key"] for row in feed["rows"]], ["a", "c", "d"])

    def test_copy_can_be_restored_again_after_writes(self):
        self.start(era=1)
        self.transact(put=[ROW])
        copy = self.store.take_copy()
        for era in ("2", "3"):
            self.store.restore(copy)
            _, feed = self.call("GET", "rows-feed?table=t&after=0")
            self.assertEqual((self.era, len(feed["rows"])), (era, 1))
            self.transact(put=[{**ROW, "key": "b"}])

    def test_feed_from_a_version_that_was_lost_is_refused(self):
        _, first = self.transact(put=[ROW])
        copy = self.store.take_copy()
        _, lost = self.transact(put=[{**ROW, "key": "b"}])
        self.store.restore(copy)
        status, _ = self.call("GET", f"rows-feed?table=t&after={lost['ver']}")
        self.assertEqual(status, 410)
        status, feed = self.call("GET", f"rows-feed?table=t&after={first['ver']}")
        self.assertEqual((status, feed["rows"]), (200, []))

    def test_waiting_feed_learns_of_a_restored_copy(self):
        """Guards against a feed that waits for a version that was lost."""
        self.start(era=1)
        copy = self.store.take_copy()
        _, lost = self.transact(put=[ROW])
        timer = threading.Timer(0.2, self.store.restore, args=(copy,))
        timer.start()
        self.addCleanup(timer.join)
        started = time.monotonic()
        status, _ = self.call(
            "GET", f"rows-feed?table=t&after={lost['ver']}&wait_ms=4000"
        )
        self.assertEqual((status, self.era), (410, "2"))
        self.assertLess(time.monotonic() - started, 3.0)
