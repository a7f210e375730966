"""The tables in effect at one entry: how they arrive, and when they may be used."""

import dataclasses
import logging
import threading

import numpy
import orjson

from monsoonline.core.configuration_messages import Delta, OfferReply
from monsoonline.core.configuration_peers import ConfigurationPeers, RecentChanges
from monsoonline.core.contact import ContactMonitor
from monsoonline.core.documents import parse_row
from monsoonline.core.model import Tables
from monsoonline.core.rows import RevisionGap, RowSet, row_change_of
from monsoonline.core.snapshots import SnapshotKeeper
from monsoonline.errors import FindingsError, StoreUnavailable
from monsoonline.ports import Change, Row

__all__ = ["Acceptance", "Configuration"]

POLL_INTERVAL_MS = 1000.0
POLL_JITTER = 0.2
POLL_SPACING_MS = 100.0
TICK_INTERVAL_MS = 250.0
# A silent entry asks a peer well before it would count as isolated.
KEEPALIVE_MS = 3000.0
ACKNOWLEDGEMENTS = 2
# By then an accepted change has reached all ready entries that are connected.
SETTLE_MS = 10_000.0
JOIN_PEERS = 3

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Acceptance:
    """A committed change and how far it has spread.

    :param change: the :class:`monsoonline.ports.Change`
    :param accepted: whether it is in effect here and at enough ready peers
    :param acknowledgements: number of ready peers that have it in effect
    """

    change: Change
    accepted: bool
    acknowledgements: int


class Configuration:
    """The tables in effect, which only ever move to higher revisions.

    :param name: name of this entry
    :param clock: source of time
    :param store: port :class:`monsoonline.ports.TableStore`
    :param codec: encodes messages to peers and snapshots
    :param metrics: counters
    :param network: port :class:`monsoonline.ports.PeerNetwork`, ``None`` for an entry
        without peers
    :param objects: port :class:`monsoonline.ports.ObjectStore`, ``None`` for no
        snapshots
    :param generator: :class:`numpy.random.Generator` for the jitter
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
        self._snapshots = SnapshotKeeper(
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
                take_offer=self._take_offer,
            )
        self._lock = threading.RLock()
        self._listeners = []
        self._row_set = RowSet()
        self._tables = Tables()
        self._recent = RecentChanges()
        self._joined = False
        self._joining_since = None
        self._others_known = False
        self._peers_revision = 0
        self._state = None
        self._stopping = threading.Event()
        self._newer_heard = threading.Event()

    @property
    def tables(self):
        """The :class:`Tables` in effect; empty at revision 0 before the first."""
        return self._tables

    @property
    def revision(self):
        """Revision of the tables in effect."""
        return self._row_set.revision

    @property
    def checksum(self):
        """Checksum of the tables in effect, as peers compare it."""
        return self._row_set.checksum

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self._joined and not self._contact.paused and not self.isolated

    @property
    def isolated(self):
        """Whether other entries exist and nothing was heard for 10 s."""
        return self._others_known and self._contact.silent_too_long

    @property
    def serves_non_idempotent(self):
        """Whether non-idempotent requests may start; otherwise they are not run."""
        return not self._contact.paused and not self.isolated

    @property
    def age_ms(self):
        """Time since the store or a peer was last heard."""
        return self._contact.silent_ms

    def subscribe(self, listener):
        """Call ``listener(tables)`` for each revision that takes effect, in order."""
        with self._lock:
            self._listeners.append(listener)
            if self.revision:
                listener(self._tables)

    def row(self, table, name):
        """Return the :class:`monsoonline.ports.Row` in effect, or ``None``."""
        stored = self._row_set.rows.get((table, name))
        return None if stored is None else self._row_of(table, name, stored)

    def rows(self, table):
        """Return the rows of a table in effect, by name."""
        return tuple(
            self._row_of(table, name, stored)
            for (owner, name), stored in sorted(self._row_set.rows.items())
            if owner == table
        )

    def start(self):
        """Poll in a thread of its own; the first poll is done before returning."""
        self.poll()
        for target in (self._run_polls, self._run_ticks):
            name = f"configuration-{target.__name__}"
            threading.Thread(target=target, name=name, daemon=True).start()

    def close(self):
        """Stop polling."""
        self._stopping.set()
        self._newer_heard.set()
        if self._peers is not None:
            self._peers.close()

    def hear_contact(self):
        """Record that some message of a peer arrived."""
        self._contact.hear()

    def hear_revision(self, revision):
        """Record a revision that a peer's message carried; polls soon when newer."""
        self.hear_contact()
        if revision > self.revision:
            self._newer_heard.set()

    def tick(self):
        """Record that the process runs; detects a pause of the process."""
        self._contact.tick()

    def poll(self):
        """Compare the tables with the store's and the peers', once."""
        self.tick()
        asked_at = self._clock.now()
        store_heard = self._poll_store()
        peer_heard = self._poll_peers(store_heard)
        if store_heard or peer_heard:
            self._contact.confirm_tables(asked_at=asked_at)
        if store_heard and self.revision >= self._peers_revision:
            self._join("store")
        elif not self._joined:
            self._join_through_peers()
        self._write_snapshot()
        self._log_state()

    def commit(self, proposal):
        """Commit an edit and spread it.

        :param proposal: the :class:`monsoonline.ports.ProposedChange`
        :returns: :class:`Acceptance`
        :raises MonsoonlineError: as :meth:`monsoonline.ports.TableStore.commit`
        """
        change = self._store.commit(proposal)
        if not self.apply_changes((row_change_of(change),), "commit"):
            self._poll_store()
        in_effect = self.revision >= change.revision
        if self._peers is None or not in_effect:
            return Acceptance(change=change, accepted=in_effect, acknowledgements=0)
        acknowledged, ready = self._peers.offer(
            self._make_delta(change.revision - 1),
            revision=change.revision,
            make_delta=self._make_delta,
            needed=ACKNOWLEDGEMENTS,
        )
        return Acceptance(
            change=change,
            accepted=acknowledged >= min(ACKNOWLEDGEMENTS, ready),
            acknowledgements=acknowledged,
        )

    def apply_changes(self, changes, source, *, checksum=None):
        """Put changes in effect, where they are newer.

        :param changes: :class:`monsoonline.core.rows.RowChange`, in order
        :param source: where they come from, for counters and log lines
        :param checksum: checksum that the complete tables must then have
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
                self._recent.extend(changes)
                self._put_in_effect(row_set, source)
        return True

    def apply_rows(self, row_set, source):
        """Put complete tables in effect, where they are newer.

        :param row_set: the :class:`monsoonline.core.rows.RowSet`
        :param source: where they come from, for counters and log lines
        """
        with self._lock:
            if row_set.revision > self.revision:
                self._recent.clear()
                self._put_in_effect(row_set, source)

    def _run_polls(self):
        while True:
            # Messages with a newer revision may come in bursts.
            if self._stopping.wait(POLL_SPACING_MS / 1e3):
                return
            jitter = 1.0 + POLL_JITTER * (2.0 * self._generator.random() - 1.0)
            rest_ms = POLL_INTERVAL_MS * jitter - POLL_SPACING_MS
            self._newer_heard.wait(rest_ms / 1e3)
            self._newer_heard.clear()
            if self._stopping.is_set():
                return
            try:
                self.poll()
            except Exception:
                # The tables in effect stay valid; the next poll tries again.
                self._metrics.count("configuration_poll_errors_total")
                logger.exception("poll of the tables failed")

    def _run_ticks(self):
        while not self._stopping.wait(TICK_INTERVAL_MS / 1e3):
            self.tick()

    def _poll_store(self):
        """Catch up with the store; return whether it was heard."""
        try:
            if self.revision == 0:
                self.apply_rows(RowSet.of_rows(self._store.read_rows()), "store")
                return True
            while self._store.revision() > self.revision:
                before = self.revision
                changes = tuple(
                    row_change_of(c) for c in self._store.read_changes(before)
                )
                if not changes or not self.apply_changes(changes, "store"):
                    self.apply_rows(RowSet.of_rows(self._store.read_rows()), "store")
                if self.revision == before:
                    return False
            return True
        except StoreUnavailable:
            return False

    def _poll_peers(self, store_heard):
        """Catch up with peers; return whether one was heard."""
        if self._peers is None:
            return False
        others = self._peers.others()
        self._others_known = self._others_known or bool(others)
        for member in others:
            # Reads of the store below a peer's revision are stale.
            self._peers_revision = max(self._peers_revision, member.revision)
        self._store.observe_revision(self._peers_revision)
        others.sort(key=lambda member: -member.revision)
        newer = [member for member in others if member.revision > self.revision]
        if newer:
            asked = newer[:JOIN_PEERS]
        elif others and not self._joined:
            # A first read of the store may be stale; peers would know better.
            asked = self._choose(others, JOIN_PEERS)
        elif others and not store_heard and self._must_ask():
            asked = self._choose(others, 1)
        else:
            return False
        return any([self._catch_up_from(member) for member in asked])

    def _must_ask(self):
        # Gossip ends the silence, but only a comparison of the tables ends a pause.
        return self._contact.paused or self._contact.silent_ms > KEEPALIVE_MS

    def _choose(self, members, count):
        chosen = self._generator.permutation(len(members))[:count]
        return [members[index] for index in chosen]

    def _catch_up_from(self, member):
        """Take a newer revision from a member; return whether it replied."""
        delta = self._peers.ask_delta(member, self.revision)
        if delta is None:
            return False
        if not self._take_delta(delta):
            self._take_whole_of(member)
        return True

    def _take_whole_of(self, member):
        row_set = self._peers.fetch_whole(member)
        if row_set is not None:
            self.apply_rows(row_set, "peer")

    def _join(self, source):
        if not self._joined:
            self._joined = True
            logger.info("joined", extra={"source": source, "revision": self.revision})

    def _join_through_peers(self):
        """Become ready without the store, from what the other entries hold."""
        others = self._peers.others() if self._peers is not None else []
        if not others:
            return
        now = self._clock.now()
        if self._joining_since is None:
            self._joining_since = now
        replies = self._peers.ask_deltas(others, self.revision)
        ready = {name: reply for name, reply in replies.items() if reply.ready}
        expected = len(others)
        if now - self._joining_since >= SETTLE_MS:
            # Entries that are starting too cannot hold the only copy any more.
            expected -= len(replies) - len(ready)
        if len(ready) < max(1, expected):
            return
        best = max(
            others, key=lambda m: ready[m.name].revision if m.name in ready else -1
        )
        highest = ready[best.name].revision
        if highest > self.revision and not self._take_delta(ready[best.name]):
            self._take_whole_of(best)
        if highest > self.revision:
            self._take_snapshot(highest)
        if self.revision >= highest:
            self._contact.confirm_tables(asked_at=now)
            self._join("peers")

    def _take_snapshot(self, revision):
        row_set = self._snapshots.read()
        if row_set is not None and row_set.revision >= revision:
            self.apply_rows(row_set, "snapshot")

    def _make_delta(self, since):
        with self._lock:
            row_set = self._row_set
            changes = self._recent.after(since, revision=row_set.revision)
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

    def _take_offer(self, delta):
        self.hear_contact()
        self._take_delta(delta)
        return OfferReply(revision=self.revision, ready=self.ready)

    def _take_delta(self, delta):
        """Apply a peer's delta; return whether nothing more is needed from it."""
        if delta.revision <= self.revision:
            self._compare(delta)
            return True
        if not delta.complete:
            return False
        return self.apply_changes(delta.changes, "peer", checksum=delta.checksum)

    def _compare(self, delta):
        row_set = self._row_set
        same = delta.revision == row_set.revision
        if same and delta.revision and delta.checksum != row_set.checksum:
            self._metrics.count("configuration_divergences_total")

    def _put_in_effect(self, row_set, source):
        self._tables = self._tables_of(row_set)
        self._row_set = row_set
        self._store.observe_revision(row_set.revision)
        self._metrics.gauge("revision", row_set.revision)
        self._metrics.count("configuration_applied_total", source=source)
        extra = {"revision": row_set.revision, "source": source}
        logger.info("tables in effect", extra=extra)
        for listener in self._listeners:
            listener(self._tables)

    def _tables_of(self, row_set):
        """Return the model of rows, parsing only those that changed."""
        before = self._row_set.rows
        tables = {"routes": {}, "pools": {}}
        for (table, name), stored in row_set.rows.items():
            model = getattr(self._tables, table).get(name)
            if model is None or before.get((table, name)) is not stored:
                model = self._parse(table, name, stored, model)
            if model is not None:
                tables[table][name] = model
        return Tables(revision=row_set.revision, **tables)

    def _parse(self, table, name, stored, earlier):
        document = orjson.loads(stored.content)
        try:
            return parse_row(table, name, document, place="store")
        except FindingsError as error:
            # Only a row written by another version of the program can be invalid;
            # its last valid version stays in effect.
            self._metrics.count("configuration_invalid_rows_total")
            logger.error("row is not valid", extra={"findings": str(error)})
            return earlier

    def _write_snapshot(self):
        if self.ready and self._is_snapshot_writer():
            self._snapshots.write_if_due(self._row_set)

    def _is_snapshot_writer(self):
        others = self._peers.others() if self._peers is not None else []
        return all(self._name < member.name for member in others if member.ready)

    def _log_state(self):
        state = (self.ready, self.isolated)
        if state != self._state:
            self._state = state
            extra = {"ready": state[0], "isolated": state[1]}
            logger.info("state of the configuration", extra=extra)

    @staticmethod
    def _row_of(table, name, stored):
        document = orjson.loads(stored.content)
        return Row(table=table, name=name, version=stored.version, document=document)
