"""Exchange of tables with peers, as client and as server."""

import collections
import concurrent.futures
import threading

from monsoonline.core.configuration_messages import (
    DELTA_KIND,
    OFFER_KIND,
    WHOLE_KIND,
    Delta,
    DeltaRequest,
    OfferReply,
    Whole,
    WholeRequest,
)
from monsoonline.core.rows import RowSet
from monsoonline.errors import PeerUnavailable

__all__ = ["ConfigurationPeers", "RecentChanges"]

REQUEST_TIMEOUT_MS = 1000.0
# Messages are limited to 1 MiB, including the frame around the content.
CHUNK_BYTES = 512 << 10
MAX_DELTA_BYTES = 512 << 10
MAX_RECENT_CHANGES = 512
MAX_FETCH_ATTEMPTS = 3
# Peers that receive an offer of a change; others learn of it by gossip or polling.
OFFER_FAN_OUT = 24
MAX_WORKERS = 8
LIVE_STATES = ("alive", "suspect")


class RecentChanges:
    """The most recent changes, from which deltas are built."""

    def __init__(self):
        self._changes = collections.deque(maxlen=MAX_RECENT_CHANGES)

    def extend(self, changes):
        """Append changes that follow the ones held."""
        self._changes.extend(changes)

    def clear(self):
        """Discard all changes, because the revision advanced without them."""
        self._changes.clear()

    def after(self, since, *, revision):
        """Return the changes after ``since`` up to ``revision``.

        :returns: a tuple, or ``None`` if some are no longer held or their total size
            exceeds the limit
        """
        wanted = tuple(c for c in self._changes if since < c.revision <= revision)
        if len(wanted) != revision - since:
            return None
        return (
            wanted if sum(len(c.content) for c in wanted) <= MAX_DELTA_BYTES else None
        )


class ConfigurationPeers:
    """Sends requests to peers and serves theirs.

    :param name: name of this entry
    :param network: port :class:`monsoonline.ports.PeerNetwork`
    :param codec: encodes and decodes messages
    :param metrics: registry of counters
    """

    def __init__(self, *, name, network, codec, metrics):
        self._name = name
        self._network = network
        self._codec = codec
        self._metrics = metrics
        self._encoded_rows = (None, b"")
        self._lock = threading.Lock()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=MAX_WORKERS, thread_name_prefix="configuration"
        )

    def live_peers(self):
        """Return the members that are alive or suspect, except this entry."""
        return [
            member
            for member in self._network.members()
            if member.name != self._name and member.state in LIVE_STATES
        ]

    def serve(self, *, make_delta, row_set, handle_offer):
        """Register the handlers of peers' requests.

        :param make_delta: function that returns the :class:`Delta` after a revision
        :param row_set: function that returns the :class:`RowSet` in effect
        :param handle_offer: function that applies a :class:`Delta` and returns an
            :class:`OfferReply`
        """

        def serve_delta(_, payload):
            request = self._codec.decode(DeltaRequest, payload)
            return self._codec.encode(make_delta(request.since))

        def serve_whole(_, payload):
            request = self._codec.decode(WholeRequest, payload)
            return self._codec.encode(self._transfer_part(request, row_set()))

        def serve_offer(_, payload):
            return self._codec.encode(handle_offer(self._codec.decode(Delta, payload)))

        self._network.serve(DELTA_KIND, serve_delta)
        self._network.serve(WHOLE_KIND, serve_whole)
        self._network.serve(OFFER_KIND, serve_offer)

    def request_delta(self, member, since):
        """Return a member's :class:`Delta` after a revision, ``None`` if it fails."""
        request = DeltaRequest(since=since)
        return self._request(member, DELTA_KIND, request, Delta)

    def request_deltas(self, members, since):
        """Request deltas from several members in parallel.

        :returns: the replies by member name, without members that did not reply
        """
        replies = self._executor.map(lambda m: self.request_delta(m, since), members)
        return {
            member.name: reply
            for member, reply in zip(members, replies, strict=True)
            if reply is not None
        }

    def fetch_tables(self, member):
        """Return a member's complete :class:`RowSet`, ``None`` if it fails."""
        for _ in range(MAX_FETCH_ATTEMPTS):
            first, content = self._fetch_parts(member)
            if first is None:
                return None
            if content is None:
                continue
            try:
                row_set = RowSet.decode(first.revision, content)
            except ValueError:
                row_set = None
            if row_set is not None and row_set.checksum == first.checksum:
                return row_set
            self._metrics.count("configuration_checksum_mismatches_total")
        return None

    def offer(self, delta, *, revision, make_delta, needed):
        """Push changes to peers until enough ready peers acknowledge them.

        :param delta: the changes
        :param revision: revision that a peer must reach to acknowledge
        :param make_delta: function that returns the delta after a revision, for peers
            that lag behind the start of ``delta``
        :param needed: number of acknowledgements after which waiting ends
        :returns: number of acknowledgements and number of ready peers
        """
        members = sorted(self.live_peers(), key=lambda member: not member.ready)
        futures = [
            self._executor.submit(self._offer_to, member, delta, revision, make_delta)
            for member in members[:OFFER_FAN_OUT]
        ]
        acknowledged = 0
        for future in concurrent.futures.as_completed(futures):
            acknowledged += future.result()
            if acknowledged >= needed:
                break
        return acknowledged, sum(member.ready for member in members)

    def close(self):
        """Shut down the worker threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _offer_to(self, member, delta, revision, make_delta):
        reply = self._request(member, OFFER_KIND, delta, OfferReply)
        if reply is not None and reply.revision < revision:
            # The peer is missing changes that precede the offer.
            delta = make_delta(reply.revision)
            reply = self._request(member, OFFER_KIND, delta, OfferReply)
        return reply is not None and reply.ready and reply.revision >= revision

    def _fetch_parts(self, member):
        """Return the first part and the complete content.

        :returns: ``(None, None)`` if a request failed; the content is ``None`` if the
            revision changed during the transfer
        """
        request = WholeRequest(revision=0, offset=0)
        first = part = self._request(member, WHOLE_KIND, request, Whole)
        if first is None:
            return None, None
        content = bytearray(first.content)
        while len(content) < first.total:
            request = WholeRequest(revision=first.revision, offset=len(content))
            part = self._request(member, WHOLE_KIND, request, Whole)
            if part is None:
                return None, None
            if part.revision != first.revision or not part.content:
                return first, None
            content += part.content
        return first, bytes(content)

    def _transfer_part(self, request, row_set):
        with self._lock:
            cached, content = self._encoded_rows
            # A transfer in progress continues with the revision it started with.
            if cached is None or request.revision != cached.revision:
                if cached is None or cached.revision != row_set.revision:
                    self._encoded_rows = (row_set, row_set.encode())
                cached, content = self._encoded_rows
        return Whole(
            revision=cached.revision,
            checksum=cached.checksum,
            total=len(content),
            offset=request.offset,
            content=content[request.offset : request.offset + CHUNK_BYTES],
        )

    def _request(self, member, kind, message, reply_kind):
        try:
            payload = self._network.request(
                member,
                kind,
                self._codec.encode(message),
                timeout_ms=REQUEST_TIMEOUT_MS,
            )
            return self._codec.decode(reply_kind, payload)
        except (PeerUnavailable, ValueError):
            self._metrics.count("configuration_peer_failures_total", kind=kind)
            return None
