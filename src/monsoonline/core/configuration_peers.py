"""Exchange of tables with peers, on both sides of the requests."""

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
# A message is at most 1 MiB; the rest is room for the frame.
CHUNK_BYTES = 512 << 10
DELTA_BYTES = 512 << 10
KEPT_CHANGES = 512
WHOLE_ATTEMPTS = 3
# Offers sent for one change; entries beyond hear of it by gossip or polling.
OFFER_FAN_OUT = 24
WORKERS = 8
OTHERS_STATES = ("alive", "suspect")


class RecentChanges:
    """The last changes, from which deltas are made."""

    def __init__(self):
        self._changes = collections.deque(maxlen=KEPT_CHANGES)

    def extend(self, changes):
        """Add changes that follow the ones held."""
        self._changes.extend(changes)

    def clear(self):
        """Forget all changes, after a jump of the revision."""
        self._changes.clear()

    def after(self, since, *, revision):
        """Return the changes from ``since`` to ``revision``.

        :returns: a tuple, or ``None`` where they are not held or too large
        """
        wanted = tuple(c for c in self._changes if since < c.revision <= revision)
        if len(wanted) != revision - since:
            return None
        return wanted if sum(len(c.content) for c in wanted) <= DELTA_BYTES else None


class ConfigurationPeers:
    """Requests to peers and replies to theirs.

    :param name: name of this entry
    :param network: port :class:`monsoonline.ports.PeerNetwork`
    :param codec: encodes messages
    :param metrics: counters
    """

    def __init__(self, *, name, network, codec, metrics):
        self._name = name
        self._network = network
        self._codec = codec
        self._metrics = metrics
        self._encoded = (None, b"")
        self._lock = threading.Lock()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=WORKERS, thread_name_prefix="configuration"
        )

    def others(self):
        """Return the live members without this entry."""
        return [
            member
            for member in self._network.members()
            if member.name != self._name and member.state in OTHERS_STATES
        ]

    def serve(self, *, make_delta, row_set, take_offer):
        """Answer peers' requests.

        :param make_delta: function from a revision to a :class:`Delta`
        :param row_set: function that returns the rows in effect
        :param take_offer: function from a :class:`Delta` to an :class:`OfferReply`
        """

        def serve_delta(_, payload):
            request = self._codec.decode(DeltaRequest, payload)
            return self._codec.encode(make_delta(request.since))

        def serve_whole(_, payload):
            request = self._codec.decode(WholeRequest, payload)
            return self._codec.encode(self._part(request, row_set()))

        def serve_offer(_, payload):
            return self._codec.encode(take_offer(self._codec.decode(Delta, payload)))

        self._network.serve(DELTA_KIND, serve_delta)
        self._network.serve(WHOLE_KIND, serve_whole)
        self._network.serve(OFFER_KIND, serve_offer)

    def ask_delta(self, member, since):
        """Return a member's :class:`Delta` since a revision, ``None`` without reply."""
        request = DeltaRequest(since=since)
        return self._ask(member, DELTA_KIND, request, Delta)

    def ask_deltas(self, members, since):
        """Ask several members at once; return the replies by member name."""
        replies = self._executor.map(lambda m: self.ask_delta(m, since), members)
        return {
            member.name: reply
            for member, reply in zip(members, replies, strict=True)
            if reply is not None
        }

    def fetch_whole(self, member):
        """Return a member's complete :class:`RowSet`, ``None`` without success."""
        for _ in range(WHOLE_ATTEMPTS):
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
        """Push changes to peers until enough ready ones have them in effect.

        :param delta: the changes
        :param revision: revision that a peer must have reached
        :param make_delta: function that makes the delta for a peer further behind
        :param needed: largest number of acknowledgements waited for
        :returns: number of acknowledgements and of ready peers
        """
        members = sorted(self.others(), key=lambda member: not member.ready)
        futures = [
            self._executor.submit(self._offer_one, member, delta, revision, make_delta)
            for member in members[:OFFER_FAN_OUT]
        ]
        acknowledged = 0
        for future in concurrent.futures.as_completed(futures):
            acknowledged += future.result()
            if acknowledged >= needed:
                break
        return acknowledged, sum(member.ready for member in members)

    def close(self):
        """End the threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _offer_one(self, member, delta, revision, make_delta):
        reply = self._ask(member, OFFER_KIND, delta, OfferReply)
        if reply is not None and reply.revision < revision:
            # The peer was further behind than the offer reaches.
            delta = make_delta(reply.revision)
            reply = self._ask(member, OFFER_KIND, delta, OfferReply)
        return reply is not None and reply.ready and reply.revision >= revision

    def _fetch_parts(self, member):
        """Return the first part and all bytes, ``None`` where the revision moved."""
        request = WholeRequest(revision=0, offset=0)
        first = part = self._ask(member, WHOLE_KIND, request, Whole)
        if first is None:
            return None, None
        content = bytearray(first.content)
        while len(content) < first.total:
            request = WholeRequest(revision=first.revision, offset=len(content))
            part = self._ask(member, WHOLE_KIND, request, Whole)
            if part is None:
                return None, None
            if part.revision != first.revision or not part.content:
                return first, None
            content += part.content
        return first, bytes(content)

    def _part(self, request, row_set):
        with self._lock:
            kept, content = self._encoded
            # A transfer under way continues with the revision it began with.
            if kept is None or request.revision != kept.revision:
                if kept is None or kept.revision != row_set.revision:
                    self._encoded = (row_set, row_set.encode())
                kept, content = self._encoded
        return Whole(
            revision=kept.revision,
            checksum=kept.checksum,
            total=len(content),
            offset=request.offset,
            content=content[request.offset : request.offset + CHUNK_BYTES],
        )

    def _ask(self, member, kind, message, reply_kind):
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
