"""Tests of the configuration with several entries in one process."""

import dataclasses
import threading
import unittest
from unittest import mock

import orjson

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.bench.configuration import changes_of
from monsoonline.core.configuration_messages import OFFER_KIND, Delta
from monsoonline.core.configuration_peers import ConfigurationPeers
from monsoonline.core.rows import RowSet
from monsoonline.errors import StoreUnavailable
from tests.fixtures import Deployment, edit, pool_document

NAMES = ("entry-1", "entry-2", "entry-3", "entry-4", "entry-5")
CODEC = ConfigurationCodec()


class ConfigurationTest(unittest.TestCase):
    """Base class with five entries and one pool in the store."""

    def setUp(self):
        self.deployment = Deployment(self)
        self.platform = self.deployment.platform
        self.network = self.deployment.network
        self.clock = self.deployment.clock
        self.platform.put_row("pools", "quotes", pool_document())
        self.entries = self.deployment.start(*NAMES)

    def edit_pool(self, entry, slots, *, name="quotes"):
        row = entry.row("pools", name)
        expected = row.version if row else 0
        document = pool_document(slots=slots)
        return entry.commit(edit("pools", name, document, expected=expected))

    def advance(self, duration_ms):
        """Advance the clock while every entry ticks and has contact with peers."""
        for _ in range(int(duration_ms // 1000)):
            self.clock.advance(1000.0)
            for entry in self.network.configurations.values():
                entry.tick()
                entry.record_contact()

    def outage(self, **faults):
        for service in ("tables", "objects"):
            self.platform.set_faults(service, **(faults or {"outage": True}))


class TestPropagation(ConfigurationTest):
    """Propagation of a change to every entry."""

    def test_accepted_change_is_in_effect_at_every_entry_at_once(self):
        seen = []
        self.entries[4].subscribe(lambda tables: seen.append(tables.revision))
        acceptance = self.edit_pool(self.entries[0], 4)
        self.assertTrue(acceptance.accepted)
        self.assertGreaterEqual(acceptance.acknowledgements, 2)
        for entry in self.entries:
            entry.poll()
            self.assertEqual(entry.tables.pools["quotes"].upstreams[0].slots, 4)
        self.assertEqual(seen, [1, 2])
        self.assertEqual(len({entry.checksum for entry in self.entries}), 1)

    def test_change_is_not_accepted_without_two_acknowledgements(self):
        self.network.isolate(*NAMES[2:])
        acceptance = self.edit_pool(self.entries[0], 4)
        self.assertEqual((acceptance.accepted, acceptance.acknowledgements), (False, 1))
        self.network.isolate()
        resent = self.entries[0].commit(acceptance.change.proposal)
        self.assertTrue(resent.accepted)
        self.assertEqual(resent.change.revision, acceptance.change.revision)

    def test_acknowledgement_of_an_unready_peer_does_not_count(self):
        """Guards against an accepted change that a restart of one entry loses."""
        for entry in self.entries[2:]:
            entry._joined = False
        acceptance = self.edit_pool(self.entries[0], 4)
        self.assertEqual(acceptance.acknowledgements, 1)

    def test_entry_cut_from_peers_catches_up_from_the_store(self):
        self.network.isolate(NAMES[4])
        for slots in (4, 5, 6):
            self.edit_pool(self.entries[0], slots)
        self.entries[4].poll()
        self.assertEqual(self.entries[4].revision, 4)

    def test_entry_without_store_catches_up_from_peers(self):
        with mock.patch.object(ConfigurationPeers, "offer", return_value=(0, 0)):
            self.edit_pool(self.entries[0], 4)
        self.outage()
        self.entries[4].poll()
        self.assertEqual(self.entries[4].revision, 2)

    def test_wrong_delta_is_replaced_by_the_complete_tables(self):
        """Guards against applying a delta whose checksum does not match."""
        with mock.patch.object(ConfigurationPeers, "offer", return_value=(0, 0)):
            self.edit_pool(self.entries[0], 4)
        self.outage()
        make_delta = self.entries[0]._make_delta
        wrong = dataclasses.replace(make_delta(1), checksum="00")
        with mock.patch.object(self.network, "request", self.respond_with_delta(wrong)):
            self.entries[4].poll()
        self.assertEqual(self.entries[4].checksum, self.entries[0].checksum)
        count = self.entries[4].metrics.value("configuration_checksum_mismatches_total")
        self.assertGreaterEqual(count, 1)

    def respond_with_delta(self, delta):
        request = self.network.request

        def respond(sender, name, kind, payload):
            if kind == "configuration-delta":
                return CODEC.encode(delta)
            return request(sender, name, kind, payload)

        return respond

    def test_largest_tables_are_transferred_in_messages_below_one_mebibyte(self):
        for change in changes_of(services=300, targets=16):
            self.platform.put_row(
                change.table, change.name, orjson.loads(change.content)
            )
        self.entries[0].poll()
        self.outage()
        with mock.patch("monsoonline.core.configuration_peers.CHUNK_BYTES", 4096):
            self.entries[4].poll()
        self.assertEqual(self.entries[4].checksum, self.entries[0].checksum)
        self.assertEqual(len(self.entries[4].tables.pools), 301)
        # The reduced chunk size forces a transfer in many parts.
        self.assertGreater(len(self.network.message_sizes), 10)

    def test_newer_revision_of_a_peer_is_fetched_before_the_next_poll(self):
        with mock.patch.object(ConfigurationPeers, "offer", return_value=(0, 0)):
            self.edit_pool(self.entries[0], 4)
        applied = threading.Event()
        with mock.patch("monsoonline.core.configuration.POLL_INTERVAL_MS", 60_000.0):
            entry = self.entries[4]
            entry.subscribe(lambda tables: tables.revision == 2 and applied.set())
            with mock.patch.object(entry, "poll", lambda: None):
                entry.start()
            entry.record_peer_revision(2)
            self.assertTrue(applied.wait(5.0))


class TestMonotonicity(ConfigurationTest):
    """An older revision never replaces a newer one."""

    def setUp(self):
        super().setUp()
        for slots in (4, 5):
            self.edit_pool(self.entries[0], slots)
        self.entry = self.entries[1]

    def assert_unchanged(self):
        self.assertEqual(self.entry.revision, 3)
        self.assertEqual(self.entry.tables.pools["quotes"].upstreams[0].slots, 5)

    def test_stale_read_of_the_store(self):
        self.platform.set_faults("tables", stale=2)
        self.entry.poll()
        self.assert_unchanged()

    def test_offer_and_complete_tables_of_an_older_peer(self):
        old = RowSet.from_rows(self.old_rows())
        delta = Delta(
            since=0, revision=1, checksum=old.checksum, ready=True, complete=False
        )
        handler = self.network.handler(self.entry._name, OFFER_KIND)
        handler(NAMES[0], CODEC.encode(delta))
        self.entry.apply_rows(old, "peer")
        self.assert_unchanged()

    def old_rows(self):
        store = self.entry._store
        self.platform.set_faults("tables", stale=2)
        with mock.patch.object(store, "_observed_revision", 0):
            rows = store.read_rows()
        self.assertEqual(rows.revision, 1)
        return rows

    def test_restart_with_a_stale_read_adopts_the_revision_of_peers(self):
        self.platform.set_faults("tables", stale=2)
        self.network.set_gossip(False)
        (self.entry,) = self.deployment.start(NAMES[1])
        self.assertTrue(self.entry.ready)
        self.assert_unchanged()

    def test_restart_with_a_stale_read_waits_for_a_revision_known_by_gossip(self):
        """Guards against readiness with an older revision if no peer responds."""
        self.platform.set_faults("tables", stale=2)
        self.network.isolate(*NAMES)
        (self.entry,) = self.deployment.start(NAMES[1])
        self.assertFalse(self.entry.ready)
        self.platform.set_faults("tables")
        self.entry.poll()
        self.assertTrue(self.entry.ready)
        self.assert_unchanged()

    def test_restart_with_an_older_snapshot(self):
        self.assertEqual(self.entry._snapshots.read().revision, 1)
        self.platform.set_faults("tables", outage=True)
        with mock.patch.object(ConfigurationPeers, "fetch_tables", return_value=None):
            (self.entry,) = self.deployment.start(NAMES[1])
            self.assertFalse(self.entry.ready)
        self.assertEqual(self.entry.revision, 0)
        self.entry.poll()
        self.assertTrue(self.entry.ready)
        self.assert_unchanged()


class TestReadiness(ConfigurationTest):
    """Conditions on which a started entry becomes ready."""

    def restart(self):
        return self.deployment.start(NAMES[4])[0]

    def test_restart_while_the_store_is_down_joins_through_peers(self):
        self.edit_pool(self.entries[0], 4)
        self.outage()
        entry = self.restart()
        self.assertTrue(entry.ready)
        self.assertEqual(entry.revision, 2)

    def test_unresponsive_member_could_hold_an_accepted_change(self):
        """Guards against readiness while the only holders of a change do not reply."""
        self.network.isolate(NAMES[3])
        self.edit_pool(self.entries[0], 4)
        self.outage()
        self.network.isolate(*NAMES[:3])
        entry = self.restart()
        self.assertFalse(entry.ready)
        self.advance(60_000.0)
        entry.poll()
        self.assertFalse(entry.ready)
        self.network.isolate(NAMES[0])
        entry.poll()
        self.assertFalse(entry.ready)
        self.network.isolate()
        entry.poll()
        self.assertTrue(entry.ready)
        self.assertEqual(entry.revision, 2)

    def test_starting_members_are_waited_for_until_a_change_has_propagated(self):
        self.outage()
        self.network.isolate(*NAMES)
        entries = self.deployment.start(*NAMES[2:])
        self.network.isolate()
        entries[0].poll()
        self.assertFalse(entries[0].ready)
        self.advance(11_000.0)
        entries[0].poll()
        self.assertTrue(entries[0].ready)

    def test_all_restarting_in_an_outage_stay_unready_until_the_store_returns(self):
        self.edit_pool(self.entries[0], 4)
        self.outage()
        entries = self.deployment.start(*NAMES)
        # The first entries joined through peers that had not restarted yet, so all of
        # them are reset to the state before joining.
        for entry in entries:
            entry._joined = False
        for entry in entries:
            entry.poll()
            self.advance(11_000.0)
        for entry in entries:
            entry.poll()
        self.assertFalse(any(entry.ready for entry in entries))
        self.outage(outage=False)
        for entry in entries:
            entry.poll()
        self.assertTrue(all(entry.ready for entry in entries))
        self.assertEqual({entry.revision for entry in entries}, {2})

    def test_snapshot_with_the_peers_revision_replaces_a_failed_transfer(self):
        self.edit_pool(self.entries[0], 4)
        self.advance(31_000.0)
        self.entries[0].poll()
        self.platform.set_faults("tables", outage=True)
        with (
            mock.patch.object(ConfigurationPeers, "fetch_tables", return_value=None),
            mock.patch("monsoonline.core.configuration_peers.MAX_DELTA_BYTES", 0),
        ):
            entry = self.restart()
        self.assertTrue(entry.ready)
        source = entry.metrics.value("configuration_applied_total", source="snapshot")
        self.assertEqual((entry.revision, source), (2, 1))


class TestIsolation(ConfigurationTest):
    """Readiness of an entry without contact and after a pause of its process."""

    def test_ten_seconds_without_contact_isolate_until_the_next_contact(self):
        entry = self.entries[0]
        self.outage()
        self.network.isolate(*NAMES)
        for _ in range(9):
            self.clock.advance(1000.0)
            entry.poll()
        self.assertTrue(entry.ready)
        for _ in range(2):
            self.clock.advance(1000.0)
            entry.poll()
        self.assertTrue(entry.isolated)
        self.assertFalse(entry.ready)
        self.assertEqual(entry.revision, 1)
        self.network.isolate()
        entry.poll()
        self.assertTrue(entry.ready)

    def test_store_outage_alone_does_not_isolate(self):
        self.outage()
        for _ in range(15):
            self.clock.advance(1000.0)
            for entry in self.entries:
                entry.poll()
        self.assertTrue(all(entry.ready for entry in self.entries))

    def test_paused_process_is_unready_until_it_has_compared_its_tables(self):
        entry = self.entries[1]
        with mock.patch.object(ConfigurationPeers, "offer", return_value=(0, 0)):
            self.edit_pool(self.entries[0], 4)
        self.clock.advance(2500.0)
        self.assertFalse(entry.ready)
        entry.record_contact()
        self.assertFalse(entry.ready)
        entry.poll()
        self.assertTrue(entry.ready)
        self.assertEqual(entry.revision, 2)

    def test_pause_without_the_store_ends_through_a_peer(self):
        """Guards against a pause that never ends while gossip prevents keepalives."""
        entry = self.entries[1]
        self.outage()
        self.clock.advance(2500.0)
        self.assertFalse(entry.serves_non_idempotent)
        entry.record_contact()
        entry.poll()
        self.assertTrue(entry.serves_non_idempotent)


class TestSnapshots(ConfigurationTest):
    """Choice of the snapshot writer and time of the writes."""

    def written(self, entry):
        return entry.metrics.value("snapshots_written_total")

    def test_lowest_name_writes_at_most_once_in_thirty_seconds(self):
        for slots in (4, 5, 6):
            self.edit_pool(self.entries[1], slots)
            for entry in self.entries:
                entry.poll()
            self.advance(1000.0)
        self.assertEqual([self.written(e) for e in self.entries], [1, 0, 0, 0, 0])
        self.advance(30_000.0)
        self.entries[0].poll()
        self.assertEqual(self.written(self.entries[0]), 2)

    def test_newer_snapshot_of_another_writer_is_kept(self):
        self.edit_pool(self.entries[1], 4)
        self.advance(31_000.0)
        self.entries[0].poll()
        restarted = self.deployment.start_one(NAMES[0])
        self.assertEqual(self.written(restarted), 0)
        self.assertEqual(restarted._snapshots.read().revision, 2)

    def test_outage_of_the_object_store_skips_the_snapshot(self):
        self.platform.set_faults("objects", outage=True)
        self.edit_pool(self.entries[1], 4)
        self.advance(31_000.0)
        self.entries[0].poll()
        self.assertTrue(self.entries[0].ready)
        self.assertIsNone(self.entries[0]._snapshots.read())
        self.assertRaises(
            StoreUnavailable, self.entries[0]._snapshots._objects.get, "x"
        )
