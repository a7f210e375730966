"""Tables and registrations in effect at an entry, merged from all sources."""

import logging
import threading

from monsoonline.clock import SystemClock
from monsoonline.core.departures import Departures
from monsoonline.core.fleet_messages import SharedStateCopy
from monsoonline.core.registrations import RegistrationDelta, RegistrationList
from monsoonline.core.restored_registrations import RestoredRegistrations
from monsoonline.core.store_revisions import EraWatch, StoreRevision
from monsoonline.core.tables_order import Decision, TablesOrder
from monsoonline.errors import FindingsError

__all__ = ["SharedState"]

# Limits the upstreams in one log line, since the first listing may have hundreds.
MAX_LOGGED_UPSTREAMS = 20
# Sources of tables and registrations in log lines.
STORE = "store"
ENTRY = "entry"
NOTICE = "notice"
RESPONSE = "response"

logger = logging.getLogger(__name__)


class SharedState:
    """Newest state known to this entry, by the revisions of the store.

    After the store has been restored from an older copy, which begins a new era, the
    state that it had before stays in effect until it has been written again.

    :param decode_tables: converts stored bytes and their revision into
        :class:`monsoonline.core.model.Tables`
    :param on_tables: called with newer tables
    :param on_registrations: called with the registrations by instance after a change
    :param metrics: counters
    :param clock: source of time
    """

    def __init__(
        self, *, decode_tables, on_tables, on_registrations, metrics, clock=None
    ):
        self._clock = clock or SystemClock()
        self._decode_tables = decode_tables
        self._on_tables = on_tables
        self._on_registrations = on_registrations
        self._metrics = metrics
        self._lock = threading.Lock()
        self._eras = EraWatch()
        self._tables_order = TablesOrder(eras=self._eras)
        self._stored_tables = b""
        self._registrations = RegistrationList()
        self._departures = Departures()
        self._restored = RestoredRegistrations(eras=self._eras)
        # The registrations in effect: those of the list, but none that has left.
        self._published = {}

    @property
    def tables_revision(self):
        """Revision of the tables in effect, 0 before the first."""
        return self._tables_order.revision

    @property
    def era(self):
        """Newest known era of the store."""
        return self._eras.era

    @property
    def registrations_revision(self):
        """Revision of the registrations in effect, 0 before the first."""
        return self._registrations.revision

    @property
    def registrations_digest(self):
        """Digest of the registrations in effect."""
        return self._registrations.digest

    @property
    def complete(self):
        """Whether tables and registrations are known, as serving requests requires."""
        return bool(self.tables_revision and self._registrations.revision)

    def lacks_tables(self, revision, *, stored=False):
        """Return whether tables may have to take effect, or to be found invalid.

        :param revision: their revision
        :param stored: whether the store has just stated it, not another entry
        """
        return self._tables_order.lacks(revision, self._clock.now(), stored=stored)

    @property
    def awaits_read(self):
        """Whether this entry has to read the store itself, whatever others read."""
        return self._tables_order.awaits_read(self._clock.now())

    def includes(self, tables_revision, registrations_revision):
        """Return whether a state of the store, or a newer one, is in effect.

        :param tables_revision: revision of its tables, which may be invalid
        :param registrations_revision: revision of its registrations
        """
        return (
            not self.lacks_tables(tables_revision)
            and registrations_revision <= self.registrations_revision
        )

    def use_tables(self, revision, content, *, source=STORE):
        """Apply stored tables if they are newer, see :class:`TablesOrder`.

        Invalid tables are logged with all their findings and never applied. After an
        unexpected error they are tried again with the next read, and whatever else was
        read is applied.

        :param revision: revision of the tables in the store
        :param content: tables as stored, in bytes
        :param source: where they were read, :data:`STORE` or :data:`ENTRY`
        """
        started = self._clock.now()
        revision = StoreRevision(revision)
        with self._lock:
            self._note_era(revision)
            if not self.lacks_tables(revision, stored=source == STORE):
                return
            try:
                tables = self._decode_tables(content, revision)
                if self._postpone(revision, tables, source):
                    return
                self._on_tables(tables)
            except FindingsError as error:
                self._tables_order.note_invalid(revision)
                self._metrics.count("tables_refused_total")
                logger.error(
                    "stored tables are not valid; the previous tables stay in effect",
                    extra=revision.log_fields() | {"findings": str(error)},
                )
                return
            except Exception:
                self._metrics.count("tables_refused_total")
                logger.exception(
                    "unexpected error while applying tables",
                    extra=revision.log_fields(),
                )
                return
            self._tables_order.note_used(revision, tables.edition)
            self._stored_tables = content
            # Includes the wait for the lock and for the processor.
            apply_ms = self._clock.now() - started
            self._report_tables(tables, source, apply_ms)

    def _report_tables(self, tables, source, apply_ms):
        """Write the metrics and the log line of tables that have taken effect.

        The lock is held, so that they are written in the order of the tables.
        """
        revision = self._tables_order.revision
        self._metrics.gauge("tables_revision", revision.version)
        self._metrics.observe("tables_apply_ms", apply_ms)
        logger.info(
            "tables in effect",
            extra=revision.log_fields()
            | {
                "edition": tables.edition,
                "source": source,
                "apply_ms": round(apply_ms, 1),
                "bytes": len(self._stored_tables),
            },
        )

    def _postpone(self, revision, tables, source):
        """Return whether tables do not take effect, and record that they do not."""
        now = self._clock.now()
        decision = self._tables_order.decide(
            revision, tables.edition, now, stored=source == STORE
        )
        if decision is Decision.USE:
            return False
        self._tables_order.note_postponed(revision)
        self._metrics.count("tables_postponed_total")
        logger.warning(
            "tables of another era postponed; the previous tables stay in effect",
            extra=revision.log_fields()
            | {
                "edition": tables.edition,
                "source": source,
                "edition_in_effect": self._tables_order.edition,
            },
        )
        return True

    def _note_era(self, revision):
        """Record the era of a revision that another entry or the store has stated."""
        changed = self._eras.note(revision, self._clock.now())
        self._metrics.gauge("store_era", self._eras.era)
        if changed:
            logger.warning(
                "the store was restored from a copy",
                extra=StoreRevision(revision).log_fields(),
            )

    def use_listing(self, listing, *, now, ms_since_store_failure):
        """Apply registrations that this entry read from the store.

        :param listing: :class:`monsoonline.core.registrations.Listing`
        :param now: clock time in ms
        :param ms_since_store_failure: time in ms since the last failed read of the
            store, ``None`` if none has failed
        :returns: the :class:`RegistrationDelta` to send to the other entries
        """
        with self._lock:
            self._note_era(listing.revision)
            before = self._registrations.registrations
            previous_revision = self._registrations.revision
            previous_digest = self._registrations.digest
            delta = self._registrations.apply_listing(
                listing, now=now, ms_since_store_failure=ms_since_store_failure
            )
            self._restored.note_read(self._clock.now())
            self._tables_order.note_read(self._clock.now())
            self._publish(before, previous_revision, STORE)
            if delta is not None:
                return delta
            return RegistrationDelta(
                revision=self._registrations.revision,
                base=previous_digest,
                digest=previous_digest,
            )

    def note_leaving(self, instance, born_ms):
        """Record that an upstream has said in a response that it leaves.

        :param instance: id of the upstream
        :param born_ms: start time that it registered
        """
        with self._lock:
            if self._departures.note(instance, born_ms):
                self._publish_registrations(RESPONSE)

    def use_delta(self, delta):
        """Apply a delta that another entry read; return whether it could be applied."""
        with self._lock:
            self._note_era(delta.revision)
            before = self._registrations.registrations
            previous_revision = self._registrations.revision
            applied = self._registrations.apply_delta(delta)
            if self._registrations.revision > previous_revision:
                self._restored.note_read(self._clock.now())
            self._publish(before, previous_revision, NOTICE)
            return applied

    def use_copy(self, copy):
        """Apply the parts of another entry's complete state that are newer."""
        if copy.serving:
            with self._lock:
                for removal in copy.removals:
                    self._restored.note(removal)
                for instance, born_ms in copy.departures:
                    self._departures.note(instance, born_ms)
                self._publish_registrations(ENTRY)
        if copy.tables:
            self.use_tables(copy.tables_revision, copy.tables, source=ENTRY)
        if copy.registrations is None:
            return
        with self._lock:
            self._note_era(copy.registrations_revision)
            before = self._registrations.registrations
            previous_revision = self._registrations.revision
            self._registrations.apply_full_state(
                copy.registrations_revision, copy.registrations
            )
            self._publish(before, previous_revision, ENTRY)

    def make_copy_for(
        self,
        *,
        tables_revision,
        digest,
        read_age_ms,
        members,
        include_past=False,
    ):
        """Return the parts of the state that another entry lacks.

        :param tables_revision: revision of the other entry's tables
        :param digest: digest of the other entry's registrations
        :param read_age_ms: age in ms of the newest read known to this entry
        :param members: :class:`monsoonline.core.fleet.MemberAge` items to include
        :param include_past: whether to include removals and departures of upstreams,
            as an entry that serves does
        """
        requested = StoreRevision(tables_revision)
        with self._lock:
            own = self.tables_revision
            # Tables of an earlier era may replace those of a restored store.
            newer = own > requested or own.era < requested.era
            differs = self._registrations.digest != digest
            return SharedStateCopy(
                tables_revision=own,
                tables=self._stored_tables if newer else b"",
                registrations_revision=self._registrations.revision,
                registrations=tuple(self._registrations.registrations.values())
                if differs
                else None,
                read_age_ms=read_age_ms,
                members=members,
                removals=self._restored.latest_removals() if include_past else (),
                departures=self._departures.latest() if include_past else (),
                serving=include_past,
            )

    def _publish(self, before, previous_revision, source):
        """Publish the registrations if they, or their corrections, may have changed.

        :param before: registrations by instance before the change
        :param previous_revision: their revision
        """
        after = self._registrations.registrations
        if after is not before:
            revisions = (previous_revision, self._registrations.revision)
            eras = tuple(StoreRevision(revision).era for revision in revisions)
            self._restored.note_changes(before, after, eras=eras, now=self._clock.now())
        if after is not before or self._restored.correcting:
            self._publish_registrations(source)

    def _publish_registrations(self, source):
        previous = self._published
        registrations = self._restored.apply(
            self._registrations.registrations, self._clock.now()
        )
        self._published = self._departures.apply(registrations)
        self._on_registrations(self._published)
        self._log_changes(previous, self._published, source)

    def _log_changes(self, previous, registrations, source):
        """Log which upstreams joined, started leaving or are gone."""
        joined = [i for i in registrations if i not in previous]
        leaving = [
            i
            for i, registration in registrations.items()
            if registration.leaving and not (i in previous and previous[i].leaving)
        ]
        gone = [i for i in previous if i not in registrations]
        if not (joined or leaving or gone):
            return
        logger.info(
            "upstreams changed",
            extra={
                **StoreRevision(self._registrations.revision).log_fields(),
                "source": source,
                "joined": joined[:MAX_LOGGED_UPSTREAMS],
                "leaving": leaving[:MAX_LOGGED_UPSTREAMS],
                "gone": gone[:MAX_LOGGED_UPSTREAMS],
                "upstreams": len(registrations),
            },
        )
