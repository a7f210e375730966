"""Messages between entries: heartbeats, read, load and failure notices, and states."""

import contextlib
import dataclasses
import http.client
import json
import logging
import math
import random
import socket
import threading
import urllib.parse

from monsoonline.adapters.bounded_connection import BoundedConnection
from monsoonline.adapters.fleet_codec import (
    TABLES_COMPRESSION,
    decode_datagram,
    decode_state,
    encode_datagram,
    encode_state,
)
from monsoonline.background import start_task
from monsoonline.core.fleet import LIVENESS_TIMEOUT_MS, MemberAge
from monsoonline.core.fleet_messages import (
    ClockReply,
    ClockRequest,
    FailureNotice,
    Heartbeat,
    LoadNotice,
    OwnerCheck,
    PermitReply,
    PermitRequest,
    PermitReturn,
    ReadNotice,
    UpstreamFailure,
)
from monsoonline.core.peer_reads import PeerReads, Reader
from monsoonline.core.recipient_selection import RecipientSelector
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.types import Answer

__all__ = ["FleetLink"]

HEARTBEAT_INTERVAL_MS = 400.0
# Interval of heartbeats to members that were forgotten; 280 B/s at most.
LOST_CONTACT_INTERVAL_MS = 5_000.0
FAILURE_NOTICE_INTERVAL_MS = 150.0
MAX_FAILURES_PER_NOTICE = 40
# Reports of crashes are repeated, so that entries learn of them that were started, cut
# off or paused when the crash was reported.
CRASH_REPEAT_INTERVAL_MS = 2_000.0
CRASH_REPEAT_RECIPIENTS = 2
MAX_REPEATED_CRASHES = 8
# Number of entries, on average, that repeat them to an entry that has just started.
NEWCOMER_INFORMERS = 4
TRANSFER_TIMEOUT_MS = 400.0
# Time limit of a whole transfer that makes progress.
WHOLE_TRANSFER_TIMEOUT_MS = 2_000.0
# Fits into one IP packet at the usual MTU of 1,500 bytes.
MAX_DATAGRAM_BYTES = 1400
RECEIVE_BUFFER_BYTES = 64 << 10
# Longest wait of close() for the thread that receives messages.
CLOSE_TIMEOUT_MS = 200.0
INCARNATION_BITS = 32
STATE_PATH = "/fleet/state"
# Value of a query parameter that asks for a part of the state.
INCLUDED = "1"
# Time after the start in which removals are asked for. Entries of earlier versions do
# not send them.
REMOVALS_REQUEST_MS = 5_000.0

logger = logging.getLogger(__name__)


class FleetLink:
    """Exchanges messages with the other entries.

    :param address: ``host:port`` to bind for datagrams
    :param clock: source of time
    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param state: :class:`monsoonline.entry.shared_state.SharedState`
    :param schedule: :class:`monsoonline.core.read_schedule.ReadSchedule`
    :param on_failure: called with the instance and weight of a failure that another
        entry reports
    :param on_loads: called with each :class:`LoadNotice` of another entry
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param permits: :class:`monsoonline.entry.permits.UpstreamPermits`
    :param gate: :class:`monsoonline.entry.start_gate.StartGate`
    :param metrics: counters
    """

    def __init__(
        self,
        *,
        address,
        clock,
        fleet,
        state,
        schedule,
        on_failure,
        on_loads,
        crashes,
        permits,
        gate,
        metrics,
    ):
        self._gate = gate
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._clock = clock
        self._fleet = fleet
        self._state = state
        self._schedule = schedule
        self._on_failure = on_failure
        self._crashes = crashes
        # Handlers of messages to a single entry; they return the response, if any.
        self._handlers = {
            LoadNotice: on_loads,
            ClockReply: self._handle_clock_reply,
            ClockRequest: self._reply_time,
            OwnerCheck: permits.handle_check,
            PermitReply: permits.handle_reply,
            PermitRequest: permits.issue,
            PermitReturn: permits.take_back,
        }
        self._metrics = metrics
        self._recipient_selector = RecipientSelector(fleet=fleet)
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._peer_reads = PeerReads()
        self._stopping = threading.Event()
        self._failures = []
        self._lock = threading.Lock()
        self._fetch_from = None
        self._started_at = clock.now()
        # Whether the state of an entry that serves was fetched since the start.
        self._removals_known = False
        self._fetch_requested = threading.Event()
        self._receiver = None

    def start(self):
        """Start the threads that receive messages, send notices and fetch states."""
        self._receiver = self._start_task(self._receive)
        for task in (self._send_heartbeats, self._run_fetches, self._send_failures):
            self._start_task(task)

    def close(self):
        """Stop without telling the other entries, and release the port."""
        self._stopping.set()
        self._fetch_requested.set()
        # A port stays bound while a thread waits in a system call for its socket.
        # Linux wakes the thread, though it reports that the socket is not connected.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._receiver is not None:
            self._receiver.join(CLOSE_TIMEOUT_MS / 1e3)
        self._socket.close()

    def announce(self):
        """Send a heartbeat to all known entries immediately."""
        self._fleet.count_beat()
        heartbeat = encode_datagram(self._make_heartbeat(remote=True))
        for member in self._fleet.others():
            self._send(member, heartbeat)

    def send_read_notice(self, read_at, delta):
        """Send the result of a read of the store to all entries.

        :param read_at: time in ms at which the read began, of :meth:`Clock.boot`
        :param delta: :class:`monsoonline.core.registrations.RegistrationDelta`
        """
        notice = ReadNotice(
            sender=self._fleet.own,
            incarnation=self._incarnation,
            read_at=read_at,
            tables_revision=self._state.tables_revision,
            delta=delta,
        )
        content = encode_datagram(notice)
        if len(content) > MAX_DATAGRAM_BYTES:
            # The recipients find a different base and fetch the complete state.
            empty_delta = type(delta)(
                revision=delta.revision, base="too-large", digest=delta.digest
            )
            content = encode_datagram(dataclasses.replace(notice, delta=empty_delta))
        for member in self._fleet.others():
            self._send(member, content)

    def send_crashes(self):
        """Send the crash reports that are new to all entries.

        Every entry must refuse a poison request, also those of other failure domains
        that were not heard lately. A caller may resend it as soon as it has failed, so
        this must not wait for the next notice of failures.
        """
        reports = self._crashes.take_reports()
        if not reports:
            return
        notice = FailureNotice(sender=self._fleet.own, failures=(), crashes=reports)
        content = encode_datagram(notice)
        for member in self._fleet.others():
            self._send(member, content)

    def send(self, member, message):
        """Send a message to one member."""
        self._send(member, encode_datagram(message))

    def queue_failure(self, instance, weight):
        """Queue a failure for the next failure notice to the other entries."""
        with self._lock:
            if len(self._failures) < MAX_FAILURES_PER_NOTICE:
                self._failures.append(UpstreamFailure(instance=instance, weight=weight))

    def send_loads(self, loads, chosen):
        """Send the load reports of one search to entries of the same failure domain.

        Traffic within a failure domain is free of charge, and each entry gets several
        times as many reports on the upstreams as its own probes return.

        :param loads: :class:`monsoonline.core.fleet_messages.UpstreamLoad` items
        :param chosen: id of the upstream that got the request, empty if none did
        """
        notice = LoadNotice(sender=self._fleet.own.name, loads=loads, chosen=chosen)
        recipients = self._recipient_selector.load_recipients(self._clock.now())
        if not recipients:
            return
        content = encode_datagram(notice)
        for member in recipients:
            self._send(member, content)

    def handle(self, request):
        """Return the response to another entry's request for this entry's state."""
        parsed = urllib.parse.urlsplit(request.target)
        if parsed.path != STATE_PATH:
            return Answer(status=404)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        try:
            revision = int(query.get("tables", 0))
        except ValueError:
            return Answer(
                status=400,
                body=json.dumps(
                    {"message": f"tables is {query['tables']!r}, expected an integer"}
                ).encode(),
            )
        copy = self._state.make_copy_for(
            tables_revision=revision,
            digest=query.get("registrations", ""),
            read_age_ms=self._read_age_ms(),
            members=self._all_member_ages(),
            include_past=query.get("removals") == INCLUDED and self._fleet.own.ready,
        )
        # Entries of earlier versions read plain tables only.
        compressed = query.get("compression") == TABLES_COMPRESSION
        return Answer(status=200, body=encode_state(copy, compress_tables=compressed))

    def fetch_state(self, peer_address):
        """Fetch the state of another entry and apply it.

        :param peer_address: ``host:port`` of the other entry
        :returns: whether the state was fetched and applied
        """
        connection = BoundedConnection(
            address=peer_address,
            timeout_ms=TRANSFER_TIMEOUT_MS,
            response_timeout_ms=WHOLE_TRANSFER_TIMEOUT_MS,
            clock=self._clock,
        )
        query = urllib.parse.urlencode(
            {
                "tables": self._state.tables_revision,
                "registrations": self._state.registrations_digest,
                "compression": TABLES_COMPRESSION,
            }
            | ({} if self._removals_known else {"removals": INCLUDED})
        )
        requested_at = self._clock.boot()
        try:
            connection.connect()
            response = connection.exchange("GET", f"{STATE_PATH}?{query}").response
            if response.status != 200:
                raise ValueError(f"status {response.status}, expected 200")
            copy = decode_state(response.body)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._metrics.count("state_transfer_failures_total")
            logger.warning(
                "failed to fetch the state of a peer entry",
                extra={"peer": peer_address, "error": repr(error)},
            )
            return False
        finally:
            connection.close()
        self._metrics.count("state_transfers_total")
        now = self._clock.now()
        for item in copy.members:
            self._fleet.update_relayed(item, now=now)
        self._gate.note_revision(copy.tables_revision)
        self._state.use_copy(copy)
        if copy.serving:
            self._removals_known = True
            self._gate.note_peer_state()
        if copy.read_age_ms is not None and self._state.includes(
            copy.tables_revision, copy.registrations_revision
        ):
            # The age was stated after the request, however late the response came.
            self._record_read(requested_at - copy.read_age_ms)
        return True

    def _start_task(self, task):
        return start_task(task, stopping=self._stopping, on_error=self._count_failure)

    def _count_failure(self):
        self._metrics.count("fleet_link_failures_total")

    # Receiving

    def _receive(self):
        while not self._stopping.is_set():
            try:
                content, address = self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except OSError as error:
                if self._stopping.is_set():
                    return
                # Linux reports a closed port of a peer as an error of the next receive.
                logger.debug("receive failed", extra={"error": repr(error)})
                continue
            if self._stopping.is_set():
                return
            self.receive(content, address)

    def receive(self, content, address):
        """Handle a received datagram, and send the response if it has one.

        :param content: the datagram
        :param address: host and port of its sender
        """
        self._metrics.count("fleet_messages_received_total")
        try:
            message = decode_datagram(content)
        except ValueError as error:
            self._metrics.count("fleet_messages_rejected_total")
            logger.debug("message rejected", extra={"error": str(error)})
            return
        host, port = address
        self._fleet.note_message(f"{host}:{port}", self._clock.now())
        try:
            response = self._handle_message(message)
        except Exception:
            # The next message must not wait for the restart of the task.
            self._count_failure()
            logger.exception("unexpected error while handling a message")
            return
        if response is not None:
            self._send_to(address, encode_datagram(response))

    def _handle_message(self, message):
        """Handle a message; return the one to send back, ``None`` without one."""
        handler = self._handlers.get(type(message), self._handle_notice)
        return handler(message)

    def _handle_notice(self, message):
        """Handle a message that names the member that sent it."""
        now = self._clock.now()
        sender = message.sender
        if sender.name == self._fleet.own.name:
            return
        known = self._fleet.age_ms(sender.name, now) < LIVENESS_TIMEOUT_MS
        self._fleet.update(sender, now=now)
        if not sender.leaving and not (known and sender.ready):
            self._inform_newcomer(sender, now)
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(message, now)
        elif isinstance(message, ReadNotice):
            self._handle_read_notice(message)
        else:
            for failure in message.failures:
                self._on_failure(failure.instance, failure.weight)
            for crash in message.crashes:
                self._crashes.observe(crash)

    def _handle_heartbeat(self, heartbeat, now):
        for item in heartbeat.members:
            self._fleet.update_relayed(item, now=now)
        self._gate.note_revision(heartbeat.tables_revision)
        state = self._state
        newer = heartbeat.registrations_revision > state.registrations_revision
        differs = heartbeat.registrations_digest != state.registrations_digest
        if (
            state.lacks_tables(heartbeat.tables_revision)
            or (newer and differs)
            or (heartbeat.sender.ready and self._lacks_removals(now))
        ):
            self._request_fetch(heartbeat.sender)

    def _lacks_removals(self, now):
        """Return whether to ask for what others know of a store that was restored."""
        starting = now - self._started_at < REMOVALS_REQUEST_MS
        return starting and self._state.era > 0 and not self._removals_known

    def _handle_read_notice(self, notice):
        reader = Reader(name=notice.sender.name, incarnation=notice.incarnation)
        self._gate.note_revision(notice.tables_revision)
        applied = self._state.use_delta(notice.delta)
        lacks_tables = self._state.lacks_tables(notice.tables_revision)
        if not applied or lacks_tables:
            self._request_fetch(notice.sender)
        elif StoreRevision(notice.delta.revision).era >= self._state.era:
            # Entries of earlier versions do not know eras, and find nothing new.
            self._peer_reads.note_read(reader, notice.read_at)
            self._record_peer_reads()
        now = self._clock.boot()
        if self._peer_reads.take_request(reader, now):
            request = ClockRequest(incarnation=self._incarnation, sent_at=now)
            self.send(notice.sender, request)

    def _reply_time(self, request):
        reader = Reader(name=self._fleet.own.name, incarnation=self._incarnation)
        return ClockReply(request=request, reader=reader, time=self._clock.boot())

    def _handle_clock_reply(self, reply):
        if reply.request.incarnation != self._incarnation:
            return
        self._peer_reads.note_exchange(
            reply.reader,
            sent_at=reply.request.sent_at,
            peer_time=reply.time,
            received_at=self._clock.boot(),
        )
        self._record_peer_reads()

    def _record_peer_reads(self):
        read_at = self._peer_reads.latest(self._clock.boot())
        if read_at is not None:
            self._record_read(read_at)

    def _record_read(self, at):
        self._schedule.record_read(at)
        self._gate.note_read(at)

    # Fetching

    def _request_fetch(self, member):
        self._fetch_from = member
        self._fetch_requested.set()

    def _run_fetches(self):
        while True:
            self._fetch_requested.wait()
            self._fetch_requested.clear()
            if self._stopping.is_set():
                return
            if not self.fetch_state(self._fetch_from.peer_address):
                self._fetch_from_another(self._fetch_from)

    def _fetch_from_another(self, failed):
        """Fetch the state of a live entry other than the one that did not send it."""
        others = [m for m in self._fleet.alive(self._clock.now()) if m.ready]
        others = [m for m in others if m.name != failed.name]
        if others:
            self.fetch_state(random.choice(others).peer_address)

    # Sending

    def _send_heartbeats(self):
        contacted_at = self._clock.now()
        while not self._stopping.wait(HEARTBEAT_INTERVAL_MS / 1e3):
            now = self._clock.now()
            self._fleet.forget_unresponsive(now)
            self._fleet.count_beat()
            if now - contacted_at >= LOST_CONTACT_INTERVAL_MS:
                contacted_at = now
                self._contact_lost_member()
            local, remote = self._recipient_selector.next_heartbeat()
            for members, is_remote in ((local, False), (remote, True)):
                if not members:
                    continue
                content = encode_datagram(self._make_heartbeat(remote=is_remote))
                for member in members:
                    self._send(member, content)

    def _contact_lost_member(self):
        """Send a heartbeat to a forgotten member, which may have been cut off."""
        member = self._fleet.lost_member()
        if member is not None:
            self._send(member, encode_datagram(self._make_heartbeat(remote=True)))

    def _make_heartbeat(self, *, remote):
        """Return a heartbeat for the local failure domain or a remote one."""
        return Heartbeat(
            sender=self._fleet.own,
            members=self._recipient_selector.members_for(
                self._clock.now(), remote=remote
            ),
            tables_revision=self._state.tables_revision,
            registrations_revision=self._state.registrations_revision,
            registrations_digest=self._state.registrations_digest,
        )

    def _all_member_ages(self):
        now = self._clock.now()
        domains = {m.failure_domain for m in self._fleet.others()}
        own = MemberAge(member=self._fleet.own, age_ms=0.0)
        return (
            own,
            *(a for d in domains for a in self._fleet.ages(now, failure_domain=d)),
        )

    def _read_age_ms(self):
        age_ms = self._schedule.read_age_ms(self._clock.boot())
        return None if age_ms is None else math.ceil(age_ms)

    def _inform_newcomer(self, member, now):
        """Repeat the crashes to an entry that has just started, or was not heard."""
        share = NEWCOMER_INFORMERS / max(1, len(self._fleet.alive(now)))
        if random.random() < share:
            self._repeat_crashes([member])

    def _repeat_crashes(self, members):
        reports = self._crashes.reports_to_repeat(MAX_REPEATED_CRASHES)
        if not reports:
            return
        notice = FailureNotice(sender=self._fleet.own, failures=(), crashes=reports)
        content = encode_datagram(notice)
        for member in members:
            self._send(member, content)

    def _send_failures(self):
        repeated_at = self._clock.now()
        while not self._stopping.wait(FAILURE_NOTICE_INTERVAL_MS / 1e3):
            with self._lock:
                failures, self._failures = tuple(self._failures), []
            self.send_crashes()
            now = self._clock.now()
            if now - repeated_at >= CRASH_REPEAT_INTERVAL_MS:
                repeated_at = now
                alive = self._fleet.alive(now)
                count = min(CRASH_REPEAT_RECIPIENTS, len(alive))
                self._repeat_crashes(random.sample(alive, count))
            if not failures:
                continue
            content = encode_datagram(
                FailureNotice(sender=self._fleet.own, failures=failures)
            )
            for member in self._recipient_selector.failure_recipients(now):
                self._send(member, content)

    def _send(self, member, content):
        host, _, port = member.peer_address.rpartition(":")
        self._send_to((host, int(port)), content)

    def _send_to(self, address, content):
        try:
            self._socket.sendto(content, address)
        except OSError as error:
            self._metrics.count("fleet_messages_unsent_total")
            logger.debug("message not sent", extra={"error": repr(error)})
