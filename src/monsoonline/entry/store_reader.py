"""Reads the shared store when it is this entry's turn, and joins the fleet."""

import logging
import random
import threading

from monsoonline.errors import StoreUnavailable

__all__ = ["StoreReader"]

# Wait after a failed attempt to join; doubled up to the limit, with jitter.
JOIN_RETRY_MS = 250.0
MAX_JOIN_RETRY_MS = 1_500.0
MAX_WAIT_MS = 200.0
# Time between two reads of an entry that knows no tables or registrations yet.
START_RETRY_MS = 300.0

logger = logging.getLogger(__name__)


class StoreReader:
    """One thread that reads the store for all entries, in turn with theirs.

    :param clock: source of time
    :param store: a :class:`monsoonline.ports.SharedStore`
    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param state: :class:`monsoonline.entry.shared_state.SharedState`
    :param schedule: :class:`monsoonline.core.read_schedule.ReadSchedule`
    :param link: :class:`monsoonline.entry.fleet_link.FleetLink`
    :param metrics: counters
    """

    def __init__(self, *, clock, store, fleet, state, schedule, link, metrics):
        self._clock = clock
        self._store = store
        self._fleet = fleet
        self._state = state
        self._schedule = schedule
        self._link = link
        self._metrics = metrics
        self._generator = random.Random()
        self._stopping = threading.Event()
        self._disturbed_at = None
        # Instant of the first failure since the last successful read.
        self._lost_at = None
        self._tried_at = None
        self._joined = False

    @property
    def joined(self):
        """Whether this entry is in the store's list of entries."""
        return self._joined

    def start(self):
        """Join the fleet and begin to read."""
        for task in (self._join, self._read_in_turn):
            threading.Thread(target=task, name=task.__name__, daemon=True).start()

    def close(self):
        """Read no more."""
        self._stopping.set()

    def _join(self):
        """Learn the other entries from the store and become known to them."""
        retry_ms = JOIN_RETRY_MS
        while not self._stopping.is_set():
            try:
                members = self._store.join(self._fleet.own)
            except StoreUnavailable as error:
                self._metrics.count("store_failures_total", call="join")
                logger.warning("joining failed", extra={"error": str(error)})
            else:
                now = self._clock.now()
                for member in members:
                    self._fleet.add_listed(member, now=now)
                self._joined = True
                self._link.announce()
                return
            self._stopping.wait(retry_ms * (0.5 + self._generator.random()) / 1e3)
            retry_ms = min(MAX_JOIN_RETRY_MS, 2 * retry_ms)

    def _read_in_turn(self):
        while not self._stopping.is_set():
            due_in_ms = self._due_in_ms()
            if due_in_ms > 0:
                self._stopping.wait(min(due_in_ms, MAX_WAIT_MS) / 1e3)
                continue
            try:
                self._read()
            except Exception:
                # Whatever is wrong with one read, the next one may succeed.
                self._metrics.count("store_failures_total", call="read")
                logger.exception("reading the store failed unexpectedly")

    def _due_in_ms(self):
        """Return the time until this entry reads, 0 or less for now."""
        now = self._clock.now()
        if self._state.complete:
            return self._schedule.due_in_ms(now, self._fleet.live_names(now))
        # An entry that cannot serve does not wait for its turn.
        if self._tried_at is None:
            return 0.0
        return self._tried_at + START_RETRY_MS - now

    def _read(self):
        started = self._tried_at = self._clock.now()
        self._schedule.record_attempt(started)
        try:
            stored = self._store.read(self._state.tables_revision)
        except StoreUnavailable as error:
            now = self._clock.now()
            if self._lost_at is None:
                self._lost_at = now
                logger.warning("store not readable", extra={"error": str(error)})
            self._disturbed_at = now
            self._schedule.record_failure(now)
            self._metrics.count("store_failures_total", call="read")
            return
        now = self._clock.now()
        self._schedule.record_read(started)
        self._metrics.count("store_reads_total")
        if self._lost_at is not None:
            lost_ms = round(now - self._lost_at)
            self._lost_at = None
            logger.info("store readable again", extra={"lost_ms": lost_ms})
        disturbed_ms = None if self._disturbed_at is None else now - self._disturbed_at
        if stored.tables is not None:
            self._state.use_tables(stored.tables_revision, stored.tables)
        delta = self._state.use_listing(
            stored.listing, now=now, disturbed_ms=disturbed_ms
        )
        self._link.tell_read(now - started, delta)
