"""Reads the shared store in turn with the other entries, and joins the fleet."""

import logging
import random
import threading

from monsoonline.background import start_task
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.errors import StoreUnavailable

__all__ = ["StoreReader"]

# Initial delay before a retry to join; doubles up to the maximum, with jitter.
JOIN_RETRY_MS = 250.0
MAX_JOIN_RETRY_MS = 1_500.0
MAX_SCHEDULE_WAIT_MS = 200.0
# The entries join again within this time after the store was restored from a copy, and
# at most one of them in each interval on average.
MIN_REJOIN_SPREAD_MS = 1_000.0
REJOIN_INTERVAL_MS = 10.0
# Interval between reads of an entry without complete tables and registrations.
STARTUP_READ_INTERVAL_MS = 300.0

logger = logging.getLogger(__name__)


class StoreReader:
    """Thread that takes turns with the other entries in reading the store.

    :param clock: source of time
    :param store: a :class:`monsoonline.ports.SharedStore`
    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param state: :class:`monsoonline.entry.shared_state.SharedState`
    :param schedule: :class:`monsoonline.core.read_schedule.ReadSchedule`
    :param link: :class:`monsoonline.entry.fleet_link.FleetLink`
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param gate: :class:`monsoonline.entry.start_gate.StartGate`
    :param metrics: counters
    """

    def __init__(
        self, *, clock, store, fleet, state, schedule, link, crashes, gate, metrics
    ):
        self._crashes = crashes
        self._gate = gate
        self._clock = clock
        self._store = store
        self._fleet = fleet
        self._state = state
        self._schedule = schedule
        self._link = link
        self._metrics = metrics
        self._generator = random.Random()
        self._stopping = threading.Event()
        self._last_failure_at = None
        # Clock time in ms of the first failure since the last successful read.
        self._outage_started_at = None
        self._last_read_started_at = None
        # Whether the last read returned an older state than the one in effect.
        self._store_is_older = False
        self._joined = False
        # Era of the store in which this entry joined.
        self._joined_era = 0
        self._rejoin_requested = threading.Event()

    @property
    def joined(self):
        """Whether this entry is in the store's list of entries."""
        return self._joined

    def start(self):
        """Start joining the fleet and reading the store."""
        for task in (self._run_joins, self._run_reads):
            start_task(task, stopping=self._stopping, on_error=self._count_failure)

    def close(self):
        """Stop reading."""
        self._stopping.set()
        self._rejoin_requested.set()

    def _count_failure(self):
        self._metrics.count("store_reader_failures_total")

    def _run_joins(self):
        """Join the fleet, and again each time the store has lost what it kept."""
        while not self._stopping.is_set():
            self._join()
            self._rejoin_requested.wait()
            self._rejoin_requested.clear()
            spread_ms = max(
                MIN_REJOIN_SPREAD_MS, REJOIN_INTERVAL_MS * len(self._fleet.others())
            )
            self._stopping.wait(spread_ms * self._generator.random() / 1e3)
            self._crashes.record_again()

    def _join(self):
        """Register in the store, learn the other entries and announce this one."""
        retry_ms = JOIN_RETRY_MS
        while not self._stopping.is_set():
            try:
                joined = self._store.join(self._fleet.own)
            except StoreUnavailable as error:
                self._metrics.count("store_failures_total", call="join")
                logger.warning("failed to join the fleet", extra={"error": str(error)})
            else:
                now = self._clock.now()
                for member in joined.members:
                    self._fleet.add_listed(member, now=now)
                for report in joined.crashes:
                    self._crashes.observe(report)
                self._gate.note_crashes_known()
                if not self._joined:
                    self._link.announce()
                self._joined = True
                self._joined_era = joined.era
                return
            self._stopping.wait(retry_ms * (0.5 + self._generator.random()) / 1e3)
            retry_ms = min(MAX_JOIN_RETRY_MS, 2 * retry_ms)

    def _run_reads(self):
        while not self._stopping.is_set():
            self._rejoin_after_loss()
            due_in_ms = self._due_in_ms()
            if due_in_ms > 0:
                self._stopping.wait(min(due_in_ms, MAX_SCHEDULE_WAIT_MS) / 1e3)
                continue
            try:
                self._read()
            except Exception:
                # The next read may succeed, whatever the cause of the error.
                self._metrics.count("store_failures_total", call="read")
                logger.exception("unexpected error while reading the store")

    def _rejoin_after_loss(self):
        """Write again what the store has lost that this entry wrote there."""
        if self._joined and self._state.era > self._joined_era:
            self._joined_era = self._state.era
            self._rejoin_requested.set()

    def _due_in_ms(self):
        """Return the time in ms until this entry reads; 0 or less means now."""
        now = self._clock.boot()
        if self._state.complete and not self._state.awaits_read:
            return self._schedule.due_in_ms(
                now, self._fleet.live_names(self._clock.now())
            )
        # An entry that needs a read of its own does not wait for its turn.
        if self._last_read_started_at is None:
            return 0.0
        return self._last_read_started_at + STARTUP_READ_INTERVAL_MS - now

    def _read(self):
        known = (self._state.tables_revision, self._state.registrations_revision)
        started = self._last_read_started_at = self._clock.boot()
        self._schedule.record_attempt(started)
        try:
            stored = self._store.read(self._state.tables_revision)
        except StoreUnavailable as error:
            now = self._clock.now()
            if self._outage_started_at is None:
                self._outage_started_at = now
                logger.warning("store not readable", extra={"error": str(error)})
            self._last_failure_at = now
            self._schedule.record_failure(self._clock.boot())
            self._metrics.count("store_failures_total", call="read")
            return
        now = self._clock.now()
        self._metrics.count("store_reads_total")
        if self._outage_started_at is not None:
            lost_ms = round(now - self._outage_started_at)
            self._outage_started_at = None
            logger.info("store readable again", extra={"lost_ms": lost_ms})
        ms_since_failure = (
            None if self._last_failure_at is None else now - self._last_failure_at
        )
        older = self._note_order(
            (stored.tables_revision, stored.listing.revision), known
        )
        self._gate.note_revision(stored.tables_revision)
        if stored.tables is not None:
            self._state.use_tables(stored.tables_revision, stored.tables)
        delta = self._state.use_listing(
            stored.listing, now=now, ms_since_store_failure=ms_since_failure
        )
        if older or self._state.lacks_tables(stored.tables_revision, stored=True):
            # Others must not take a read for complete whose result is not in effect.
            return
        self._schedule.record_read(started)
        self._gate.note_read(started)
        self._link.send_read_notice(started, delta)

    def _note_order(self, revisions, known):
        """Count a read that returned an older state than one known before it began.

        The counter of the store may have passed what is known while its tables are
        older, so both are compared.

        :param revisions: revisions of the tables and the registrations that were read
        :param known: the revisions in effect when the read began
        :returns: whether the read did
        """
        older = any(read < held for read, held in zip(revisions, known, strict=True))
        if older:
            self._metrics.count("store_older_reads_total")
        if older != self._store_is_older:
            self._store_is_older = older
            logger.warning(
                "store older than the state in effect"
                if older
                else "store as new as the state in effect again",
                extra={
                    "tables": StoreRevision(revisions[0]).describe(),
                    "registrations": StoreRevision(revisions[1]).describe(),
                    "known_tables": StoreRevision(known[0]).describe(),
                    "known_registrations": StoreRevision(known[1]).describe(),
                },
            )
        return older
