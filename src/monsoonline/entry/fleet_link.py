"""Messages between entries: beats, notices after reads, failures, whole states."""

import http.client
import json
import logging
import socket
import threading
import urllib.parse

from monsoonline.adapters.fleet_codec import (
    decode_datagram,
    decode_state,
    encode_datagram,
    encode_state,
)
from monsoonline.core.fleet import MemberAge
from monsoonline.core.fleet_messages import (
    FailureNotice,
    Heartbeat,
    LoadNotice,
    ReadNotice,
    UpstreamFailure,
)
from monsoonline.core.recipient_selection import RecipientSelector
from monsoonline.types import Answer

__all__ = ["FleetLink"]

BEAT_MS = 400.0
FAILURE_NOTICE_MS = 150.0
MAX_FAILURES_PER_NOTICE = 40
TRANSFER_MS = 400.0
# Fits into one packet on usual links.
MAX_DATAGRAM_BYTES = 1400
RECEIVE_BYTES = 64 << 10
STATE_PATH = "/fleet/state"

logger = logging.getLogger(__name__)


class FleetLink:
    """Exchanges messages with the other entries.

    :param address: ``host:port`` to bind for datagrams
    :param clock: source of time
    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param state: :class:`monsoonline.entry.shared_state.SharedState`
    :param schedule: :class:`monsoonline.core.read_schedule.ReadSchedule`
    :param on_failure: called with instance and weight of a failure elsewhere
    :param on_loads: called with each :class:`LoadNotice` of another entry
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
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
        metrics,
    ):
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._clock = clock
        self._fleet = fleet
        self._state = state
        self._schedule = schedule
        self._on_failure = on_failure
        self._on_loads = on_loads
        self._crashes = crashes
        self._metrics = metrics
        self._audience = RecipientSelector(fleet=fleet)
        self._stopping = threading.Event()
        self._failures = []
        self._lock = threading.Lock()
        self._fetch_from = None
        self._fetch_wanted = threading.Event()

    def start(self):
        """Begin to receive, to send beats and to fetch states."""
        for task in (self._receive, self._beat, self._fetch, self._send_failures):
            threading.Thread(
                target=self._guard, args=(task,), name=task.__name__, daemon=True
            ).start()

    def close(self):
        """Stop without notice."""
        self._stopping.set()
        self._fetch_wanted.set()
        self._socket.close()

    def announce(self):
        """Tell all known entries at once what this entry says of itself."""
        beat = encode_datagram(self._make_beat(far=True))
        for member in self._fleet.others():
            self._send(member, beat)

    def tell_read(self, read_age_ms, delta):
        """Tell all entries what a read of the store showed.

        :param read_age_ms: time since the read began
        :param delta: the :class:`monsoonline.core.registrations.RegistrationDelta`
        """
        notice = ReadNotice(
            sender=self._fleet.own,
            read_age_ms=read_age_ms,
            tables_revision=self._state.tables_revision,
            delta=delta,
        )
        content = encode_datagram(notice)
        if len(content) > MAX_DATAGRAM_BYTES:
            # The receivers see that the base differs and fetch the whole state.
            bare = type(delta)(
                revision=delta.revision, base="too-large", digest=delta.digest
            )
            notice = ReadNotice(
                sender=notice.sender,
                read_age_ms=read_age_ms,
                tables_revision=notice.tables_revision,
                delta=bare,
            )
            content = encode_datagram(notice)
        for member in self._fleet.others():
            self._send(member, content)

    def tell_failure(self, instance, weight):
        """Tell the other entries soon of a failure that was seen here."""
        with self._lock:
            if len(self._failures) < MAX_FAILURES_PER_NOTICE:
                self._failures.append(UpstreamFailure(instance=instance, weight=weight))

    def tell_loads(self, loads, chosen):
        """Tell entries of the own failure domain what a request's search showed.

        Bytes within a failure domain cost nothing, and each entry so judges the
        upstreams by several times as many reports as it asks for.

        :param loads: :class:`monsoonline.core.fleet_messages.UpstreamLoad` items
        :param chosen: id of the upstream that got the request, empty for none
        """
        notice = LoadNotice(sender=self._fleet.own.name, loads=loads, chosen=chosen)
        receivers = self._audience.load_recipients(self._clock.now())
        if not receivers:
            return
        content = encode_datagram(notice)
        for member in receivers:
            self._send(member, content)

    def handle(self, request):
        """Answer another entry's request for the state of this one."""
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
                    {"message": f"tables is {query['tables']!r}, expected a number"}
                ).encode(),
            )
        copy = self._state.copy_for(
            tables_revision=revision,
            digest=query.get("registrations", ""),
            read_age_ms=self._read_age_ms(),
            members=self._all_ages(),
        )
        return Answer(status=200, body=encode_state(copy))

    def fetch_state(self, peer_address):
        """Fetch and use the state of another entry.

        :param peer_address: its ``host:port``
        :returns: whether that succeeded
        """
        host, _, port = peer_address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=TRANSFER_MS / 1e3
        )
        query = urllib.parse.urlencode(
            {
                "tables": self._state.tables_revision,
                "registrations": self._state.registrations_digest,
            }
        )
        try:
            connection.request("GET", f"{STATE_PATH}?{query}")
            response = connection.getresponse()
            content = response.read()
            if response.status != 200:
                raise ValueError(f"status {response.status}, expected 200")
            copy = decode_state(content)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._metrics.count("state_transfer_failures_total")
            logger.warning(
                "state of an entry could not be fetched",
                extra={"peer": peer_address, "error": repr(error)},
            )
            return False
        finally:
            connection.close()
        self._metrics.count("state_transfers_total")
        now = self._clock.now()
        for item in copy.members:
            self._fleet.update(item.member, now=now, age_ms=item.age_ms)
        self._note_read_age(copy.read_age_ms)
        self._state.use_copy(copy)
        return True

    def _guard(self, task):
        """Run a task until this link is closed; an unexpected error is logged."""
        while not self._stopping.is_set():
            try:
                task()
            except Exception:
                # One bad message must not end the exchange with all entries.
                self._metrics.count("fleet_link_failures_total")
                logger.exception("exchange between entries failed")
                self._stopping.wait(BEAT_MS / 1e3)

    # Receiving

    def _receive(self):
        while not self._stopping.is_set():
            try:
                content = self._socket.recv(RECEIVE_BYTES)
            except OSError as error:
                if self._stopping.is_set():
                    return
                # A peer's closed port is reported by the next receive on Linux.
                logger.debug("receive failed", extra={"error": repr(error)})
                continue
            self._metrics.count("fleet_messages_received_total")
            try:
                message = decode_datagram(content)
            except ValueError as error:
                self._metrics.count("fleet_messages_rejected_total")
                logger.debug("message rejected", extra={"error": str(error)})
                continue
            self._hear(message)

    def _hear(self, message):
        now = self._clock.now()
        if isinstance(message, LoadNotice):
            self._on_loads(message)
            return
        if message.sender.name == self._fleet.own.name:
            return
        self._fleet.update(message.sender, now=now)
        if isinstance(message, Heartbeat):
            self._hear_beat(message, now)
        elif isinstance(message, ReadNotice):
            self._note_read_age(message.read_age_ms)
            applied = self._state.use_delta(message.delta)
            if not applied or message.tables_revision > self._state.tables_revision:
                self._want(message.sender)
        else:
            for failure in message.failures:
                self._on_failure(failure.instance, failure.weight)
            for crash in message.crashes:
                self._crashes.observe(crash)

    def _hear_beat(self, beat, now):
        for item in beat.members:
            self._fleet.update(item.member, now=now, age_ms=item.age_ms)
        self._note_read_age(beat.read_age_ms)
        state = self._state
        newer = beat.registrations_revision > state.registrations_revision
        differs = beat.registrations_digest != state.registrations_digest
        if beat.tables_revision > state.tables_revision or (newer and differs):
            self._want(beat.sender)

    def _note_read_age(self, read_age_ms):
        if read_age_ms is not None:
            self._schedule.record_read(self._clock.now() - read_age_ms)

    # Fetching

    def _want(self, member):
        self._fetch_from = member
        self._fetch_wanted.set()

    def _fetch(self):
        while True:
            self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            if self._stopping.is_set():
                return
            self.fetch_state(self._fetch_from.peer_address)

    # Sending

    def _beat(self):
        while not self._stopping.wait(BEAT_MS / 1e3):
            self._fleet.forget_unresponsive(self._clock.now())
            near, far = self._audience.next_heartbeat()
            for members, is_far in ((near, False), (far, True)):
                if not members:
                    continue
                content = encode_datagram(self._make_beat(far=is_far))
                for member in members:
                    self._send(member, content)

    def _make_beat(self, *, far):
        """Return a beat for the own failure domain, or for another one."""
        return Heartbeat(
            sender=self._fleet.own,
            members=self._audience.members_for(self._clock.now(), remote=far),
            read_age_ms=self._read_age_ms(),
            tables_revision=self._state.tables_revision,
            registrations_revision=self._state.registrations_revision,
            registrations_digest=self._state.registrations_digest,
        )

    def _all_ages(self):
        now = self._clock.now()
        domains = {m.failure_domain for m in self._fleet.others()}
        own = MemberAge(member=self._fleet.own, age_ms=0.0)
        return (
            own,
            *(a for d in domains for a in self._fleet.ages(now, failure_domain=d)),
        )

    def _read_age_ms(self):
        read_at = self._schedule.read_at
        return None if read_at is None else round(self._clock.now() - read_at)

    def _send_failures(self):
        while not self._stopping.wait(FAILURE_NOTICE_MS / 1e3):
            with self._lock:
                failures, self._failures = tuple(self._failures), []
            reports = self._crashes.take_reports()
            if not failures and not reports:
                continue
            content = encode_datagram(
                FailureNotice(
                    sender=self._fleet.own, failures=failures, crashes=reports
                )
            )
            now = self._clock.now()
            # Every entry has to refuse a request that crashes upstreams.
            receivers = (
                self._fleet.alive(now)
                if reports
                else self._audience.failure_recipients(now)
            )
            for member in receivers:
                self._send(member, content)

    def _send(self, member, content):
        host, _, port = member.peer_address.rpartition(":")
        try:
            self._socket.sendto(content, (host, int(port)))
        except OSError as error:
            self._metrics.count("fleet_messages_unsent_total")
            logger.debug("message not sent", extra={"error": repr(error)})
