"""Tests of many entries whose store comes back from an older copy."""

import unittest

from monsoonline.core.registrations import Listing
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.errors import StoreUnavailable
from monsoonline.ports import StoredState
from tests.core.test_registrations import registration
from tests.entry.test_read_sharing import MAX_AGE_MS, DatedStore, Network

ENTRIES = 12
# The store is away for this time.
AWAY_MS = 1_000.0
COPY_AGE_MS = 5_000.0
# Time after the return in which the operator writes again what was lost.
WRITTEN_AGAIN_MS = 900.0


class RestorableStore(DatedStore):
    """Store with the tables of an operator that can come back from a copy."""

    def __init__(self, clock):
        super().__init__(clock)
        self.era = 0
        self.version = 10
        self.edition = 1
        self.tables_version = 1
        self.registered = ("i1",)
        self.reads = 0

    def write(self, edition):
        """Write tables as the operator does."""
        self.version += 1
        self.edition, self.tables_version = edition, self.version

    def restore(self, copy):
        """Go back to a copy of the attributes of the available store."""
        vars(self).update(copy, era=self.era + 1, reads=self.reads)

    def read(self, tables_revision):
        if not self.available:
            raise StoreUnavailable("status 503, expected 200")
        self.reads += 1
        self.version += 1
        revision = StoreRevision.of(era=self.era, version=self.version)
        self.read_at[revision] = self._clock.now()
        tables = StoreRevision.of(era=self.era, version=self.tables_version)
        return StoredState(
            tables_revision=tables,
            tables=str(self.edition).encode() if tables > tables_revision else None,
            listing=Listing(
                revision=revision,
                registrations=tuple(map(registration, self.registered)),
            ),
        )


class RestorableNetwork(Network):
    """Network whose entries fetch the states of others in the next step."""

    def __init__(self, count):
        super().__init__(count, make_store=RestorableStore)
        self._by_name = {entry.own.name: entry for entry in self.entries}
        # Pairs of time and edition, for each entry, of the tables that took effect.
        self.effects = {entry: [] for entry in self.entries}

    @property
    def store(self):
        return self._store

    def run(self, duration_ms, on_step=lambda now: None):
        super().run(duration_ms, lambda now: (on_step(now), self._fetch(now)))

    def _fetch(self, now):
        for entry in self.entries:
            if not entry.paused and entry.link._fetch_requested.is_set():
                entry.link._fetch_requested.clear()
                source = self._by_name[entry.link._fetch_from.name]
                if not source.paused:
                    self._copy_state(source, entry)
            edition = entry.state._tables_order.edition
            effects = self.effects[entry]
            if edition is not None and (not effects or effects[-1][1] != edition):
                effects.append((now, edition))

    @staticmethod
    def _copy_state(source, entry):
        copy = source.state.make_copy_for(
            tables_revision=entry.state.tables_revision,
            digest=entry.state.registrations_digest,
            read_age_ms=None,
            members=(),
            include_past=True,
        )
        entry.state.use_copy(copy)


class TestRestoredFleet(unittest.TestCase):
    """Tables and upstreams at all entries during and after a drill."""

    def setUp(self):
        self.network = RestorableNetwork(ENTRIES)
        self.store = self.network.store

    def play_drill(self):
        """Lose some versions in a drill; return the newest edition before it."""
        copy = dict(vars(self.store))
        for edition in range(self.store.edition + 1, self.store.edition + 11):
            self.store.write(edition)
            self.network.run(COPY_AGE_MS / 10)
        newest = self.store.edition
        self.network.run(2_000.0)
        self.store.available = False
        self.network.run(AWAY_MS)
        self.store.restore(copy)
        return newest

    def write_again(self, newest):
        self.network.run(WRITTEN_AGAIN_MS)
        self.store.write(newest)

    def assert_nothing_reverts(self):
        for effects in self.network.effects.values():
            editions = [edition for _, edition in effects]
            self.assertEqual(editions, sorted(editions))

    def assert_in_effect_in_time(self, edition, since):
        for entry, effects in self.network.effects.items():
            times = [at for at, known in effects if known == edition]
            self.assertTrue(times, entry.own.name)
            self.assertLess(times[0] - since, MAX_AGE_MS, entry.own.name)

    def test_change_after_a_drill_is_late_at_some_entry(self):
        """Guards against tables that wait until the counter has caught up."""
        self.network.run(5_000.0)
        newest = self.play_drill()
        self.write_again(newest)
        self.network.run(200.0)
        written_at = self.network.clock.now()
        self.store.write(newest + 1)
        self.network.run(3_000.0)
        self.assert_nothing_reverts()
        self.assert_in_effect_in_time(newest + 1, written_at)

    def test_two_drills_in_a_row_revert_something(self):
        self.network.run(5_000.0)
        newest = self.play_drill()
        self.network.run(400.0)
        copy = dict(vars(self.store))
        self.store.write(newest)
        self.network.run(700.0)
        self.store.restore(copy)
        self.write_again(newest)
        self.network.run(100.0)
        written_at = self.network.clock.now()
        self.store.write(newest + 1)
        self.network.run(3_000.0)
        self.assert_nothing_reverts()
        self.assert_in_effect_in_time(newest + 1, written_at)

    def test_entry_paused_through_the_drill_brings_old_tables_back(self):
        """Guards against a neighbour that still holds the state of an earlier era."""
        paused = self.network.entries[0]
        self.network.run(5_000.0)
        paused.paused = True
        newest = self.play_drill()
        self.write_again(newest)
        self.network.run(1_000.0)
        paused.paused = False
        self.network.run(200.0)
        written_at = self.network.clock.now()
        self.store.write(newest + 1)
        self.network.run(3_000.0)
        self.assert_nothing_reverts()
        self.assert_in_effect_in_time(newest + 1, written_at)

    def test_drill_makes_every_entry_read(self):
        """Guards against calls to the store that grow with the number of entries."""
        self.network.run(5_000.0)
        newest = self.play_drill()
        before = self.store.reads
        self.write_again(newest)
        self.network.run(4_100.0)
        self.assertLess(self.store.reads - before, 2 * 5_000.0 / 700.0)
