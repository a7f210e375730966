"""Peer network over sockets: gossip over UDP, requests between entries over TCP."""

import logging
import socket
import threading

import numpy

from monsoonline.adapters.peer_codec import PeerCodec, ReplayWindow
from monsoonline.adapters.peer_connections import PeerClient, PeerServer
from monsoonline.background import start_task
from monsoonline.core.gossip import (
    MAX_DATAGRAM_BYTES,
    DatagramPort,
    Gossip,
    record_bytes,
)
from monsoonline.core.membership import MemberRecord
from monsoonline.errors import PeerMessageRejected, PeerUnavailable

__all__ = ["SocketPeerNetwork", "open_peer_sockets"]

VM_LIST_INTERVAL_MS = 5000.0
MEMBER_FETCH_INTERVAL_MS = 1000.0
MEMBER_FETCH_TIMEOUT_MS = 2000.0
MEMBERS_REQUEST = "members"
RECEIVE_TIMEOUT_MS = 500.0
# After a gap of this length the process is assumed to have been paused. The ages in
# datagrams that were queued meanwhile are too low.
PAUSE_THRESHOLD_MS = 2000.0
MAX_PORT_ATTEMPTS = 20
# Each gossip datagram carries the sender's own record; the limit leaves space for
# other records and shared items.
MAX_OWN_RECORD_BYTES = 250
LISTEN_BACKLOG = 64

logger = logging.getLogger(__name__)


def open_peer_sockets(host, port):
    """Bind a UDP and a TCP socket to the same port number.

    :param host: IP address
    :param port: port number, 0 for any that is free for both protocols
    :returns: the UDP socket and the listening TCP socket
    :raises OSError: when the port is in use, or no port free for both was found
    """
    for attempt in range(MAX_PORT_ATTEMPTS):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            datagrams.bind((host, listener.getsockname()[1]))
            listener.listen(LISTEN_BACKLOG)
            listener.settimeout(RECEIVE_TIMEOUT_MS / 1e3)
            datagrams.settimeout(RECEIVE_TIMEOUT_MS / 1e3)
            return datagrams, listener
        except OSError:
            listener.close()
            datagrams.close()
            if port or attempt == MAX_PORT_ATTEMPTS - 1:
                raise
    raise AssertionError("the last attempt returns or raises")


class SocketPeerNetwork(DatagramPort):
    """Implements :class:`monsoonline.ports.PeerNetwork` with sockets.

    :param host: IP address to bind, also announced to peers
    :param port: port number for UDP and TCP, 0 for any free one
    :param keys: mapping from key id to secret bytes
    :param signing_key: id of the key that signs outgoing messages
    :param name: name of this entry
    :param incarnation: 64 random bits in hexadecimal
    :param address: ``host:port`` of the callers' port
    :param failure_domain: failure domain of this entry
    :param region: region of the failure domain
    :param clock: source of time
    :param metrics: :class:`monsoonline.metrics.Metrics`
    :param virtual_machines: function that returns the rows of the VM list, optional
    :param on_newer_revision: ``f(revision, checksum, member)``, called when a member
        has newer tables, optional
    :param seed: seed of the random number generator, random when ``None``
    :raises ValueError: when the names are too long for a datagram
    :raises OSError: when the port is in use
    """

    def __init__(
        self,
        *,
        host,
        port,
        keys,
        signing_key,
        name,
        incarnation,
        address,
        failure_domain,
        region,
        clock,
        metrics,
        virtual_machines=None,
        on_newer_revision=None,
        seed=None,
    ):
        self._clock = clock
        self._metrics = metrics
        self._datagrams, listener = open_peer_sockets(host, port)
        self._address = f"{host}:{self._datagrams.getsockname()[1]}"
        self._codec = PeerCodec(
            keys=keys, signing_key=signing_key, incarnation=incarnation
        )
        self._incarnation = incarnation
        self._replay_window = ReplayWindow()
        own = MemberRecord(
            incarnation=incarnation,
            name=name,
            address=address,
            peer_address=self._address,
            failure_domain=failure_domain,
            region=region,
        )
        if record_bytes(own) > MAX_OWN_RECORD_BYTES:
            self._datagrams.close()
            listener.close()
            raise ValueError(
                f"name {name!r}, failure_domain {failure_domain!r} and region "
                f"{region!r} are too long for a datagram: at most about 100 bytes "
                "in total are valid"
            )
        self._gossip = Gossip(
            clock=clock,
            own=own,
            port=self,
            random=numpy.random.default_rng(seed),
            metrics=metrics,
            virtual_machines=virtual_machines,
            on_newer_revision=on_newer_revision,
        )
        self._client = PeerClient(codec=self._codec, name=name, metrics=metrics)
        self._server = PeerServer(
            listener=listener, codec=self._codec, name=name, metrics=metrics
        )
        self._server.serve(MEMBERS_REQUEST, self._serve_members)
        self._stopping = threading.Event()

    @property
    def address(self):
        """Peer address of this entry, as ``host:port``."""
        return self._address

    @property
    def budget(self):
        """Byte budget of the gossip, with counters of sent and received bytes."""
        return self._gossip.budget

    def start(self):
        """Start the gossip and the request server."""
        tasks = {
            "peer-receive": self._receive,
            "peer-gossip": lambda: self._gossip.run(self._stopping),
            "peer-accept": self._server.accept,
            "peer-vm-list": self._update_members,
        }
        for name, task in tasks.items():
            start_task(
                task,
                stopping=self._stopping,
                name=name,
                on_error=lambda: self._metrics.count("task_failures_total"),
            )

    def close(self):
        """Stop without notifying peers.

        Call ``set_own(leaving=True)`` before to announce that this entry leaves.
        """
        self._stopping.set()
        self._client.close()
        self._server.close()
        self._datagrams.close()

    def members(self):
        """Return all known members, this entry first."""
        return self._gossip.members()

    def set_own(self, **changes):
        """Announce readiness, leaving, revision, checksum or the callers' address.

        :param changes: any of ``ready``, ``leaving``, ``revision``, ``checksum`` and
            ``address``
        """
        self._gossip.set_own(**changes)

    def publish(self, kind, key, payload):
        """Distribute a shared item to all members."""
        self._gossip.publish(kind, key, payload)

    def subscribe(self, kind, handler):
        """Call ``handler(item)`` for each newer item of a kind from a peer."""
        self._gossip.subscribe(kind, handler)

    def request(self, member, kind, payload, *, timeout_ms):
        """Send a request to one member and return its reply.

        :raises PeerUnavailable: when no reply arrived in time, another process has
            replaced the member at its address, or the peer replied with an error
        """
        return self._client.request(
            member.peer_address,
            kind,
            payload,
            timeout_ms=timeout_ms,
            incarnation=member.incarnation,
        )

    def serve(self, kind, handler):
        """Handle requests of a kind with ``handler(member_name, payload)``."""
        self._server.serve(kind, handler)

    def export_metrics(self):
        """Update the gossip metrics before a scrape."""
        budget = self._gossip.budget
        self._metrics.gauge("gossip_bytes", budget.sent_bytes, direction="sent")
        self._metrics.gauge("gossip_bytes", budget.received_bytes, direction="received")
        self._metrics.gauge("shared_item_bytes", self._gossip.items.total_bytes)
        self._metrics.gauge("members", len(self.members()))

    def send(self, address, message, *, admit):
        """Send a gossip datagram; implements :class:`DatagramPort`.

        :param address: ``host:port`` of the peer
        :param message: the :class:`GossipMessage`
        :param admit: function that returns whether the byte budget allows to send
            this number of bytes
        """
        content = self._codec.encode_gossip(message)
        if not admit(len(content)):
            return
        host, _, port = address.rpartition(":")
        try:
            self._datagrams.sendto(content, (host, int(port)))
        except (OSError, ValueError, OverflowError):
            self._metrics.count("peer_send_failures_total")

    def _receive(self):
        last_received_at = self._clock.now()
        while not self._stopping.is_set():
            try:
                content, source = self._datagrams.recvfrom(65536)
            except TimeoutError:
                last_received_at = self._clock.now()
                continue
            except OSError:
                return
            now = self._clock.now()
            if now - last_received_at > PAUSE_THRESHOLD_MS:
                self._discard_queued_datagrams()
            else:
                self._process_datagram(content, f"{source[0]}:{source[1]}")
            last_received_at = self._clock.now()

    def _discard_queued_datagrams(self):
        """Drop the datagrams queued in the socket during a pause of the process."""
        dropped = 1
        self._datagrams.setblocking(False)
        try:
            while True:
                self._datagrams.recvfrom(65536)
                dropped += 1
        except BlockingIOError:
            self._datagrams.settimeout(RECEIVE_TIMEOUT_MS / 1e3)
        self._metrics.count("peer_messages_dropped_total", dropped, cause="paused")

    def _process_datagram(self, content, source):
        if not self._gossip.admit(len(content)):
            return
        try:
            envelope = self._codec.open(content, limit=MAX_DATAGRAM_BYTES)
            if envelope.sender == self._incarnation:
                raise PeerMessageRejected(
                    f"received a message of this entry, {envelope.sender}", code="own"
                )
            self._replay_window.accept(envelope)
            message = self._codec.decode_gossip(envelope)
        except PeerMessageRejected as error:
            self._metrics.count("peer_messages_dropped_total", cause=error.code)
            return
        try:
            self._gossip.receive(message, source)
        except Exception:
            self._metrics.count("gossip_failures_total")
            logger.exception("processing of a gossip message failed")

    def _update_members(self):
        self._gossip.read_machines()
        fetched = self._fetch_members()
        interval_ms = MEMBER_FETCH_INTERVAL_MS
        while not self._stopping.wait(interval_ms / 1e3):
            self._gossip.read_machines()
            fetched = fetched or self._fetch_members()
            interval_ms = VM_LIST_INTERVAL_MS if fetched else MEMBER_FETCH_INTERVAL_MS

    def _fetch_members(self):
        """Fetch the complete member table from one other entry.

        Gossip alone transfers only about two records per second to a new entry.

        :returns: whether a member replied
        """
        for member in self.members()[1:]:
            if member.state != "alive":
                continue
            try:
                payload = self.request(
                    member, MEMBERS_REQUEST, b"", timeout_ms=MEMBER_FETCH_TIMEOUT_MS
                )
                self._gossip.add_records(self._codec.decode_records(payload))
                return True
            except (PeerUnavailable, PeerMessageRejected):
                self._metrics.count("member_fetch_failures_total")
        return False

    def _serve_members(self, name, payload):
        return self._codec.encode_records(self._gossip.records())
