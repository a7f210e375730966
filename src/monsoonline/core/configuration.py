"""The tables in effect at one entry.

Tables arrive from the store, from peers and from snapshots. The entry is ready once
it holds all changes that were accepted before it started.
"""

import dataclasses
import logging
import threading

import numpy
import orjson

from monsoonline.background import start_task
from monsoonline.core.configuration_messages import Delta, OfferReply
from monsoonline.core.configuration_peers import ConfigurationPeers, RecentChanges
from monsoonline.core.contact import ContactMonitor
from monsoonline.core.documents import parse_row
from monsoonline.core.model import Tables
from monsoonline.core.rows import RevisionGap, RowSet, to_row_change
from monsoonline.core.snapshots import SnapshotStore
from monsoonline.errors import FindingsError, StoreUnavailable
from monsoonline.ports import Change, Row

__all__ = ["CommitResult", "Configuration"]

POLL_INTERVAL_MS = 1000.0
POLL_JITTER = 0.2
POLL_SPACING_MS = 100.0
TICK_INTERVAL_MS = 250.0
# An entry without contact polls a peer well before it counts as isolated (10 s).
KEEPALIVE_AFTER_MS = 3000.0
REQUIRED_ACKNOWLEDGEMENTS = 2
# Time within which an accepted change reaches all ready entries that are connected.
PROPAGATION_MS = 10_000.0
JOIN_PEER_COUNT = 3

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """A committed change and the extent of its propagation.

    :param change: the :class:`monsoonline.ports.Change`
    :param accepted: whether it is in effect here and at enough ready peers
    :param acknowledgements: number of ready peers at which it is in effect
    """

    change: Change
    accepted: bool
    acknowledgements: int


class Configuration:
    """Keeps the tables in effect up to date; their revision never decreases.

    :param name: name of this entry
    :param clock: source of time
    :param store: port :class:`monsoonline.ports.TableStore`
    :param codec: encodes and decodes messages to peers and snapshots
    :param metrics: registry of counters and gauges
    :param network: port :class:`monsoonline.ports.PeerNetwork`, ``None`` for an entry
        that has no peers
    :param objects: port :class:`monsoonline.ports.ObjectStore`, ``None`` to keep no
        snapshots
    :param generator: source of the poll jitter and of
        the choice of peers, a :class:`numpy.random.Generator`
    :param detector: :class:`monsoonline.core.contact.PauseDetector` of the process
    """

    def __init__(
        self,
        *,
        name,
        clock,
        store,
        codec,
        metrics,
        network=None,
        objects=None,
        generator=None,
        detector=None,
    ):
        self._name = name
        self._clock = clock
        self._store = store
        self._metrics = metrics
        self._generator = generator or numpy.random.default_rng()
        self._contact = ContactMonitor(clock=clock, detector=detector)
        self._snapshots = SnapshotStore(
            clock=clock, objects=objects, codec=codec, metrics=metrics
        )
        self._peers = None
        if network is not None:
            self._peers = ConfigurationPeers(
                name=name, network=network, codec=codec, metrics=metrics
            )
            self._peers.serve(
                make_delta=self._make_delta,
                row_set=lambda: self._row_set,
                handle_offer=self._handle_offer,
            )
        self._lock = threading.RLock()
        self._listeners = []
        self._row_set = RowSet()
        self._tables = Tables()
        self._recent_changes = RecentChanges()
        self._joined = False
        self._joining_since = None
        self._peers_known = False
        self._max_peer_revision = 0
        self._state = None
        self._stopping = threading.Event()
        self._newer_revision_seen = threading.Event()

    @property
    def tables(self):
        """The :class:`Tables` in effect; empty, at revision 0, until some arrive."""
        return self._tables

    @property
    def revision(self):
        """Revision of the tables in effect."""
        return self._row_set.revision

    @property
    def checksum(self):
        """Checksum of the tables in effect, which peers compare with their own."""
        return self._row_set.checksum

    @property
    def ready(self):
        """Whether callers may send requests to this entry."""
        return self._joined and not self._contact.paused and not self.isolated

    @property
    def isolated(self):
        """Whether peers are known and there was no contact for 10 s."""
        return self._peers_known and self._contact.probably_isolated

    @property
    def serves_non_idempotent(self):
        """Whether non-idempotent requests may be started."""
        return not self._contact.paused and not self.isolated

    @property
    def age_ms(self):
        """Time in ms since the last contact with the store or a peer."""
        return self._contact.ms_since_contact

    def subscribe(self, listener):
        """Call ``listener(tables)`` for each revision that takes effect, in order.

        It is called at once if tables are in effect already.
        """
        with self._lock:
            self._listeners.append(listener)
            if self.revision:
                listener(self._tables)

    def row(self, table, name):
        """Return the :class:`monsoonline.ports.Row` in effect, or ``None``."""
        stored = self._row_set.rows.get((table, name))
        return None if stored is None else self._row_of(table, name, stored)

    def rows(self, table):
        """Return the rows of a table in effect, sorted by name."""
        return tuple(
            self._row_of(table, name, stored)
            for (owner, name), stored in sorted(self._row_set.rows.items())
            if owner == table
        )

    def start(self):
        """Poll once, then start the threads that poll and tick."""
        self.poll()
        for target in (self._run_polls, self._run_ticks):
            name = f"configuration-{target.__name__}"
            start_task(target, stopping=self._stopping, name=name)

    def close(self):
        """Stop polling and close the exchange with peers."""
        self._stopping.set()
        self._newer_revision_seen.set()
        if self._peers is not None:
            self._peers.close()

    def record_contact(self):
        """Record that a message from a peer arrived."""
        self._contact.record_contact()

    def record_peer_revision(self, revision):
        """Record a peer's revision; a newer one triggers a poll."""
        self.record_contact()
        if revision > self.revision:
            self._newer_revision_seen.set()

    def tick(self):
        """Check the clock to detect a pause of the process."""
        self._contact.tick()

    def poll(self):
        """Synchronize once with the store and the peers."""
        self.tick()
        asked_at = self._clock.now()
        store_reached = self._poll_store()
        peer_reached = self._poll_peers(store_reached)
        if store_reached or peer_reached:
            self._contact.confirm_tables(asked_at=asked_at)
        if store_reached and self.revision >= self._max_peer_revision:
            self._mark_joined("store")
        elif not self._joined:
            self._join_through_peers()
        self._write_snapshot()
        self._log_state()

    def commit(self, proposal):
        """Commit an edit and propagate it to peers.

        :param proposal: the :class:`monsoonline.ports.ProposedChange`
        :returns: :class:`CommitResult`
        :raises MonsoonlineError: as :meth:`monsoonline.ports.TableStore.commit`
        """
        change = self._store.commit(proposal)
        if not self.apply_changes((to_row_change(change),), "commit"):
            self._poll_store()
        in_effect = self.revision >= change.revision
        if self._peers is None or not in_effect:
            return CommitResult(change=change, accepted=in_effect, acknowledgements=0)
        acknowledged, ready = self._peers.offer(
            self._make_delta(change.revision - 1),
            revision=change.revision,
            make_delta=self._make_delta,
            needed=REQUIRED_ACKNOWLEDGEMENTS,
        )
        return CommitResult(
            change=change,
            accepted=acknowledged >= min(REQUIRED_ACKNOWLEDGEMENTS, ready),
            acknowledgements=acknowledged,
        )

    def apply_changes(self, changes, source, *, checksum=None):
        """Apply changes; those that are not newer are ignored.

        :param changes: sequence of :class:`monsoonline.core.rows.RowChange`, in order
        :param source: origin of the changes, for metrics and log lines
        :param checksum: expected checksum of the resulting tables, ``None`` to skip
            the check
        :returns: whether the tables in effect include all the changes
        """
        with self._lock:
            changes = tuple(c for c in changes if c.revision > self.revision)
            try:
                row_set = self._row_set.apply(changes)
            except RevisionGap:
                return False
            if checksum is not None and row_set.checksum != checksum:
                self._metrics.count("configuration_checksum_mismatches_total")
                return False
            if changes:
                self._recent_changes.extend(changes)
                self._activate(row_set, source)
        return True

    def apply_rows(self, row_set, source):
        """Apply complete tables if they are newer.

        :param row_set: the :class:`monsoonline.core.rows.RowSet`
        :param source: origin of the tables, for metrics and log lines
        """
        with self._lock:
            if row_set.revision > self.revision:
                self._recent_changes.clear()
                self._activate(row_set, source)

    def _run_polls(self):
        while True:
            # Messages with a newer revision may arrive in bursts; this limits the
            # rate of polls.
            if self._stopping.wait(POLL_SPACING_MS / 1e3):
                return
            jitter = 1.0 + POLL_JITTER * (2.0 * self._generator.random() - 1.0)
            remaining_ms = POLL_INTERVAL_MS * jitter - POLL_SPACING_MS
            self._newer_revision_seen.wait(remaining_ms / 1e3)
            self._newer_revision_seen.clear()
            if self._stopping.is_set():
                return
            try:
                self.poll()
            except Exception:
                # The tables in effect remain valid; the next poll retries.
                self._metrics.count("configuration_poll_errors_total")
                logger.exception("failed to poll the tables")

    def _run_ticks(self):
        while not self._stopping.wait(TICK_INTERVAL_MS / 1e3):
            self.tick()

    def _poll_store(self):
        """Fetch newer changes from the store.

        :returns: whether the store was reached and the tables caught up with it
        """
        try:
            if self.revision == 0:
                self.apply_rows(RowSet.from_rows(self._store.read_rows()), "store")
                return True
            while self._store.revision() > self.revision:
                before = self.revision
                changes = tuple(
                    to_row_change(c) for c in self._store.read_changes(before)
                )
                if not changes or not self.apply_changes(changes, "store"):
                    self.apply_rows(RowSet.from_rows(self._store.read_rows()), "store")
                if self.revision == before:
                    return False
            return True
        except StoreUnavailable:
            return False

    def _poll_peers(self, store_reached):
        """Fetch newer changes from peers; return whether one replied."""
        if self._peers is None:
            return False
        live_peers = self._peers.live_peers()
        self._peers_known = self._peers_known or bool(live_peers)
        for member in live_peers:
            # A read from the store is stale if its revision is below a peer's.
            self._max_peer_revision = max(self._max_peer_revision, member.revision)
        self._store.observe_revision(self._max_peer_revision)
        live_peers.sort(key=lambda member: -member.revision)
        newer = [member for member in live_peers if member.revision > self.revision]
        if newer:
            selected = newer[:JOIN_PEER_COUNT]
        elif live_peers and not self._joined:
            # The first read from the store may be stale; peers may hold newer tables.
            selected = self._sample_members(live_peers, JOIN_PEER_COUNT)
        elif live_peers and not store_reached and self._needs_confirmation():
            selected = self._sample_members(live_peers, 1)
        else:
            return False
        return any([self._catch_up_from(member) for member in selected])

    def _needs_confirmation(self):
        # Gossip counts as contact, but only a comparison of the tables ends a pause.
        return (
            self._contact.paused or self._contact.ms_since_contact > KEEPALIVE_AFTER_MS
        )

    def _sample_members(self, members, count):
        chosen = self._generator.permutation(len(members))[:count]
        return [members[index] for index in chosen]

    def _catch_up_from(self, member):
        """Fetch newer changes from a member; return whether it replied."""
        delta = self._peers.request_delta(member, self.revision)
        if delta is None:
            return False
        if not self._apply_delta(delta):
            self._fetch_tables_from(member)
        return True

    def _fetch_tables_from(self, member):
        row_set = self._peers.fetch_tables(member)
        if row_set is not None:
            self.apply_rows(row_set, "peer")

    def _mark_joined(self, source):
        if not self._joined:
            self._joined = True
            logger.info("joined", extra={"source": source, "revision": self.revision})

    def _join_through_peers(self):
        """Become ready without the store, with the tables that peers hold.

        An unreachable peer may hold the only copy of an accepted change, so all
        peers must reply as ready.
        """
        live_peers = self._peers.live_peers() if self._peers is not None else []
        if not live_peers:
            return
        now = self._clock.now()
        if self._joining_since is None:
            self._joining_since = now
        replies = self._peers.request_deltas(live_peers, self.revision)
        ready = {name: reply for name, reply in replies.items() if reply.ready}
        expected = len(live_peers)
        if now - self._joining_since >= PROPAGATION_MS:
            # Peers that are starting are no longer counted: by now they cannot hold
            # the only copy of an accepted change.
            expected -= len(replies) - len(ready)
        if len(ready) < max(1, expected):
            return
        newest_peer = max(
            live_peers, key=lambda m: ready[m.name].revision if m.name in ready else -1
        )
        newest_revision = ready[newest_peer.name].revision
        if newest_revision > self.revision and not self._apply_delta(
            ready[newest_peer.name]
        ):
            self._fetch_tables_from(newest_peer)
        if newest_revision > self.revision:
            self._apply_snapshot(newest_revision)
        if self.revision >= newest_revision:
            self._contact.confirm_tables(asked_at=now)
            self._mark_joined("peers")

    def _apply_snapshot(self, revision):
        row_set = self._snapshots.read()
        if row_set is not None and row_set.revision >= revision:
            self.apply_rows(row_set, "snapshot")

    def _make_delta(self, since):
        with self._lock:
            row_set = self._row_set
            changes = self._recent_changes.after(since, revision=row_set.revision)
        if since >= row_set.revision:
            changes = ()
        return Delta(
            since=since,
            revision=row_set.revision,
            checksum=row_set.checksum,
            ready=self.ready,
            complete=changes is not None,
            changes=changes or (),
        )

    def _handle_offer(self, delta):
        self.record_contact()
        self._apply_delta(delta)
        return OfferReply(revision=self.revision, ready=self.ready)

    def _apply_delta(self, delta):
        """Apply a peer's delta.

        :returns: whether this entry now has all changes that the peer has
        """
        if delta.revision <= self.revision:
            self._check_divergence(delta)
            return True
        if not delta.complete:
            return False
        return self.apply_changes(delta.changes, "peer", checksum=delta.checksum)

    def _check_divergence(self, delta):
        row_set = self._row_set
        same = delta.revision == row_set.revision
        if same and delta.revision and delta.checksum != row_set.checksum:
            self._metrics.count("configuration_divergences_total")

    def _activate(self, row_set, source):
        self._tables = self._build_tables(row_set)
        self._row_set = row_set
        self._store.observe_revision(row_set.revision)
        self._metrics.gauge("revision", row_set.revision)
        self._metrics.count("configuration_applied_total", source=source)
        extra = {"revision": row_set.revision, "source": source}
        logger.info("tables in effect", extra=extra)
        for listener in self._listeners:
            listener(self._tables)

    def _build_tables(self, row_set):
        """Return the tables of a row set; only rows that changed are parsed."""
        before = self._row_set.rows
        tables = {"routes": {}, "pools": {}}
        for (table, name), stored in row_set.rows.items():
            model = getattr(self._tables, table).get(name)
            if model is None or before.get((table, name)) is not stored:
                model = self._parse(table, name, stored, model)
            if model is not None:
                tables[table][name] = model
        return Tables(revision=row_set.revision, **tables)

    def _parse(self, table, name, stored, previous):
        document = orjson.loads(stored.content)
        try:
            return parse_row(table, name, document, place="store")
        except FindingsError as error:
            # Only a row written by another version of the software can be invalid.
            # The last valid version of the row remains in effect.
            self._metrics.count("configuration_invalid_rows_total")
            logger.error("invalid row in the store", extra={"findings": str(error)})
            return previous

    def _write_snapshot(self):
        if self.ready and self._is_snapshot_writer():
            self._snapshots.write_if_due(self._row_set)

    def _is_snapshot_writer(self):
        live_peers = self._peers.live_peers() if self._peers is not None else []
        return all(self._name < member.name for member in live_peers if member.ready)

    def _log_state(self):
        state = (self.ready, self.isolated)
        if state != self._state:
            self._state = state
            extra = {"ready": state[0], "isolated": state[1]}
            logger.info("configuration readiness changed", extra=extra)

    @staticmethod
    def _row_of(table, name, stored):
        document = orjson.loads(stored.content)
        return Row(table=table, name=name, version=stored.version, document=document)
