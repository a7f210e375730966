"""The tables and registrations that an entry uses, merged from all sources."""

import logging
import threading

from monsoonline.core.fleet_messages import SharedStateCopy
from monsoonline.core.registrations import RegistrationDelta, RegistrationList
from monsoonline.errors import FindingsError

__all__ = ["SharedState"]

# Upstreams that one log line names; the first listing may have hundreds.
MAX_NAMED = 20

logger = logging.getLogger(__name__)


class SharedState:
    """The newest state that this entry knows; the store's revision decides.

    :param decode_tables: turns stored bytes and their revision into
        :class:`monsoonline.core.model.Tables`
    :param on_tables: called with newer tables
    :param on_registrations: called with registrations by instance after a change
    :param metrics: counters
    """

    def __init__(self, *, decode_tables, on_tables, on_registrations, metrics):
        self._decode_tables = decode_tables
        self._on_tables = on_tables
        self._on_registrations = on_registrations
        self._metrics = metrics
        self._lock = threading.Lock()
        self._tables_revision = 0
        self._stored_tables = b""
        self._refused_revision = 0
        self._registrations = RegistrationList()
        self._published = {}

    @property
    def tables_revision(self):
        """Revision of the tables in effect, 0 before the first."""
        return self._tables_revision

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
        """Whether requests can be served."""
        return bool(self._tables_revision and self._registrations.revision)

    def use_tables(self, revision, content):
        """Use stored tables when they are newer.

        Tables that are not valid are logged with all findings and never used.

        :param revision: the store's revision of them
        :param content: the bytes as stored
        """
        with self._lock:
            if revision <= max(self._tables_revision, self._refused_revision):
                return
            try:
                tables = self._decode_tables(content, revision)
            except FindingsError as error:
                self._refused_revision = revision
                self._metrics.count("tables_refused_total")
                logger.error(
                    "stored tables are not valid; the former stay in effect",
                    extra={"revision": revision, "findings": str(error)},
                )
                return
            self._tables_revision = revision
            self._stored_tables = content
            self._on_tables(tables)
        logger.info("tables in effect", extra={"revision": revision})

    def use_listing(self, listing, *, now, disturbed_ms):
        """Use registrations that this entry read from the store.

        :returns: the :class:`RegistrationDelta` to tell the other entries
        """
        with self._lock:
            before = self._registrations.digest
            delta = self._registrations.apply_listing(
                listing, now=now, ms_since_store_failure=disturbed_ms
            )
            self._publish(before, "store")
            if delta is not None:
                return delta
            return RegistrationDelta(
                revision=self._registrations.revision, base=before, digest=before
            )

    def use_delta(self, delta):
        """Use what another entry read; return whether it could be applied."""
        with self._lock:
            before = self._registrations.digest
            applied = self._registrations.apply_delta(delta)
            self._publish(before, "notice")
            return applied

    def use_copy(self, copy):
        """Use another entry's whole state where it is newer."""
        if copy.tables:
            self.use_tables(copy.tables_revision, copy.tables)
        if copy.registrations is None:
            return
        with self._lock:
            before = self._registrations.digest
            self._registrations.apply_full_state(
                copy.registrations_revision, copy.registrations
            )
            self._publish(before, "entry")

    def copy_for(self, *, tables_revision, digest, read_age_ms, members):
        """Return what an entry lacks that has some state.

        :param tables_revision: revision of its tables
        :param digest: digest of its registrations
        :param read_age_ms: age of the newest read known here
        :param members: :class:`monsoonline.core.fleet.MemberAge` items to add
        """
        with self._lock:
            newer = self._tables_revision > tables_revision
            differs = self._registrations.digest != digest
            return SharedStateCopy(
                tables_revision=self._tables_revision,
                tables=self._stored_tables if newer else b"",
                registrations_revision=self._registrations.revision,
                registrations=tuple(self._registrations.registrations.values())
                if differs
                else None,
                read_age_ms=read_age_ms,
                members=members,
            )

    def _publish(self, before, source):
        if self._registrations.digest == before:
            return
        known, self._published = self._published, self._registrations.registrations
        self._on_registrations(self._published)
        self._log_changes(known, self._published, source)

    def _log_changes(self, known, registrations, source):
        """Write which upstreams joined, are leaving or are gone."""
        joined = [i for i in registrations if i not in known]
        leaving = [
            i
            for i, registration in registrations.items()
            if registration.leaving and not (i in known and known[i].leaving)
        ]
        gone = [i for i in known if i not in registrations]
        if not (joined or leaving or gone):
            return
        logger.info(
            "upstreams changed",
            extra={
                "revision": self._registrations.revision,
                "source": source,
                "joined": joined[:MAX_NAMED],
                "leaving": leaving[:MAX_NAMED],
                "gone": gone[:MAX_NAMED],
                "upstreams": len(registrations),
            },
        )
