"""Tests of entries that read the shared store for each other."""

import itertools
import random
import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.fleet import LIVENESS_TIMEOUT_MS, Fleet
from monsoonline.core.model import Tables
from monsoonline.core.read_schedule import PERIOD_MS, ReadSchedule
from monsoonline.entry.fleet_link import FleetLink
from monsoonline.entry.shared_state import SharedState
from monsoonline.entry.start_gate import StartGate
from monsoonline.entry.store_reader import StoreReader
from monsoonline.metrics import Metrics
from tests.core.test_fleet import member
from tests.entry.test_store_reader import SwitchedStore

STEP_MS = 10.0
HEARTBEAT_MS = 400.0
# Time within which a change must be in effect, less the time to apply it.
MAX_AGE_MS = 1_800.0


def decode(content, revision):
    """Return tables whose edition is the content, if that is a number."""
    edition = int(content) if content.isdigit() else None
    return Tables(revision=revision, edition=edition)


class OffsetClock(ManualClock):
    """Clock of a machine that was started at another time than the others.

    :param shared: the clock that the test advances
    :param offset_ms: difference to it
    """

    def __init__(self, *, shared, offset_ms):
        super().__init__()
        self._shared = shared
        self._offset_ms = offset_ms

    def now(self):
        return self._shared.now() + self._offset_ms

    boot = now


class DatedStore(SwitchedStore):
    """Store that knows the time of each read.

    :param clock: the clock that the test advances
    """

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self.read_at = {}

    def read(self, tables_revision):
        stored = super().read(tables_revision)
        self.read_at[self.revision] = self._clock.now()
        return stored


class SimulatedEntry:
    """The parts of an entry that read the store, without threads and sockets.

    :param number: number of the entry
    :param clock: the clock that the test advances
    :param store: the shared store
    """

    def __init__(self, number, clock, store):
        self.inbox = []
        self.reads = []
        self.paused = False
        self._clock = OffsetClock(shared=clock, offset_ms=1e6 * (number + 1))
        self._shared_clock = clock
        metrics = Metrics()
        self.own = member(f"entry-{number}", peer_address=f"10.0.0.{number + 1}:90")
        self.fleet = Fleet(own=self.own)
        self.state = state = SharedState(
            decode_tables=decode,
            on_tables=lambda tables: None,
            on_registrations=lambda registrations: None,
            metrics=metrics,
            clock=self._clock,
        )
        gate = StartGate(clock=self._clock, state=state)
        schedule = ReadSchedule(name=self.own.name)
        crashes = CrashTracker(clock=self._clock, owner=self.own.name)
        with mock.patch("socket.socket"):
            self.link = FleetLink(
                address=self.own.peer_address,
                clock=self._clock,
                fleet=self.fleet,
                state=state,
                schedule=schedule,
                on_failure=mock.Mock(),
                on_loads=mock.Mock(),
                crashes=crashes,
                permits=mock.Mock(),
                gate=gate,
                metrics=metrics,
            )
        self._reader = StoreReader(
            clock=self._clock,
            store=store,
            fleet=self.fleet,
            state=state,
            schedule=schedule,
            link=self.link,
            crashes=crashes,
            gate=gate,
            metrics=metrics,
        )

    def meet(self, others):
        for other in others:
            if other is not self:
                self.fleet.add_listed(other.own, now=self._clock.now())

    def live_names(self):
        return self.fleet.live_names(self._clock.now())

    def step(self):
        """Handle all messages, then read if it is due."""
        messages, self.inbox = self.inbox, []
        for address, content in messages:
            self.link.receive(content, address)
        if self._reader._due_in_ms() <= 0:
            self._reader._read()
            self.reads.append(self._shared_clock.now())


class Network:
    """Delivers the messages of entries in the step after they were sent.

    :param count: number of entries
    :param make_store: returns the store, given the clock
    """

    def __init__(self, count, *, make_store=DatedStore):
        self.clock = ManualClock()
        self._store = make_store(self.clock)
        self.entries = [
            SimulatedEntry(number, self.clock, self._store) for number in range(count)
        ]
        # Longest time for which each entry has known nothing newer.
        self.ages = dict.fromkeys(self.entries, 0.0)
        self._by_address = {e.own.peer_address: e for e in self.entries}
        self._sent = []
        self.lost = lambda sender, recipient: False
        for entry in self.entries:
            entry.meet(self.entries)
            entry.link._send_to = self._sender(entry)

    def _sender(self, entry):
        host, _, port = entry.own.peer_address.rpartition(":")

        def send(address, content):
            recipient = self._by_address[f"{address[0]}:{address[1]}"]
            if not self.lost(entry, recipient):
                self._sent.append((recipient, (host, int(port)), content))

        return send

    def run(self, duration_ms, on_step=lambda now: None):
        """Advance all entries."""
        end = self.clock.now() + duration_ms
        while self.clock.now() < end:
            sent, self._sent = self._sent, []
            for recipient, address, content in sent:
                recipient.inbox.append((address, content))
            on_step(self.clock.now())
            for number, entry in enumerate(self.entries):
                if entry.paused:
                    continue
                self._note_age(entry)
                entry.step()
                # Entries send their heartbeats at different times.
                if (self.clock.now() + number * 6 * STEP_MS) % HEARTBEAT_MS == 0:
                    entry.link.announce()
            self.clock.advance(STEP_MS)

    def _note_age(self, entry):
        read_at = self._store.read_at.get(entry.state.registrations_revision)
        if read_at is not None:
            age_ms = self.clock.now() - read_at
            self.ages[entry] = max(self.ages[entry], age_ms)

    def reads(self, since):
        """Return the times of all reads since a time."""
        return sorted(at for entry in self.entries for at in entry.reads if at >= since)


def longest_pause(times):
    """Return the longest time between two successive times."""
    return max(b - a for a, b in itertools.pairwise(times))


class TestReadSharing(unittest.TestCase):
    """One entry reads for all, and no entry relies on a read of unknown age."""

    def assert_recent(self, network, entries):
        """Assert that what entries know is always recent."""
        self.assertLess(max(network.ages[entry] for entry in entries), MAX_AGE_MS)

    def test_entry_that_pauses_again_and_again_hands_on_reads_as_new(self):
        """Guards against entries in touch that use old tables for seconds.

        Messages that had waited in the socket of a paused entry counted as new there,
        and it told the others of a read that was newer than any.
        """
        network = Network(7)
        pausing = network.entries[0]

        def pause(now):
            pausing.paused = now > 3_000.0 and now % 400.0 >= 20.0

        network.run(30_000.0, pause)
        self.assert_recent(network, network.entries[1:])

    def test_entries_that_pause_in_turn_keep_others_from_reading(self):
        """Guards against reads that are handed on by two paused entries in turn."""
        network = Network(7)

        def pause(now):
            for number, entry in enumerate(network.entries[:2]):
                phase = (now + 200.0 * number) % 400.0
                entry.paused = now > 3_000.0 and phase >= 20.0

        network.run(30_000.0, pause)
        self.assert_recent(network, network.entries[2:])

    def test_paused_entry_keeps_an_ended_one_among_the_live(self):
        """Guards against callers that are sent to an entry that has ended."""
        network = Network(7)
        pausing, *sound, ended = network.entries

        def pause(now):
            pausing.paused = now > 3_000.0 and now % 400.0 >= 20.0
            ended.paused = now > 6_000.0

        network.run(6_000.0 + LIVENESS_TIMEOUT_MS + 2 * HEARTBEAT_MS, pause)
        for entry in sound:
            self.assertNotIn(ended.own.name, entry.live_names())

    def test_one_entry_reads_for_all(self):
        """Guards against calls to the store that grow with the number of entries."""
        network = Network(20)
        network.run(20_000.0)
        # Until an entry has exchanged times with the reader, it reads for itself.
        reads = network.reads(since=2_000.0)
        self.assertLess(len(reads), 18_000.0 / PERIOD_MS + 3)
        self.assertLess(longest_pause(reads), 800.0)

    def test_lost_messages_let_every_entry_read(self):
        """Guards against calls to the store that grow with the number of entries."""
        network = Network(24)
        generator = random.Random(11)
        network.lost = lambda sender, recipient: generator.random() < 0.2
        network.run(12_000.0)
        self.assertLess(len(network.reads(since=2_000.0)), 3 * 10_000.0 / PERIOD_MS)
        self.assert_recent(network, network.entries)
