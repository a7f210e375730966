"""Load summaries of pools that entries exchange."""

import dataclasses

import numpy as np

from monsoonline.core.health import HealthState

__all__ = ["LoadSnapshot", "PeerLoads", "PoolLoad", "encode_load"]

# Limits the records to 384 bytes, 4 bytes each, so that a shared item fits into a
# gossip datagram.
MAX_RECORDS = 96
PEER_REPORT_LIFETIME_MS = 3_000.0
LOAD_RECORD = np.dtype([("index", "<u2"), ("in_flight", "u1"), ("flags", "u1")])
FLAG_EJECTED = 1
REVISION_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load summary of one pool from one entry.

    :param pool: name of the pool
    :param payload: records of type :data:`LOAD_RECORD`, at most 384 bytes
    """

    pool: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSnapshot:
    """Load summaries of all pools from one entry.

    :param owner: id of the incarnation of the entry
    :param revision: revision of the tables to which the upstream indexes refer
    :param pools: one :class:`PoolLoad` per pool
    """

    owner: str
    revision: int
    pools: tuple[PoolLoad, ...]

    def encode(self):
        """Return the payloads of the shared items of kind ``load`` by pool name."""
        header = self.revision.to_bytes(REVISION_BYTES, "little")
        return {item.pool: header + item.payload for item in self.pools}

    @classmethod
    def decode(cls, content, *, pool, owner):
        """Parse the payload of one shared item.

        :param content: the payload
        :param pool: name of the pool
        :param owner: id of the incarnation of the sending entry
        :raises ValueError: when the length of the payload is invalid
        """
        header, payload = content[:REVISION_BYTES], content[REVISION_BYTES:]
        if len(header) < REVISION_BYTES or len(payload) % LOAD_RECORD.itemsize:
            raise ValueError(
                f"load payload of {len(content)!r} bytes is malformed: expected "
                f"{REVISION_BYTES} bytes and records of {LOAD_RECORD.itemsize} bytes"
            )
        load = PoolLoad(pool=pool, payload=payload)
        revision = int.from_bytes(header, "little")
        return cls(owner=owner, revision=revision, pools=(load,))


def encode_load(states):
    """Encode the load records of upstreams with own requests or an ejection.

    Ejected upstreams come first, then those with the most requests; records beyond
    :data:`MAX_RECORDS` are omitted.

    :param states: :class:`monsoonline.core.load_view.UpstreamLoad` objects
    """
    rows = [
        (s.index, min(255, s.in_flight), int(s.health.state is HealthState.EJECTED))
        for s in states
        if s.in_flight or s.health.state is HealthState.EJECTED
    ]
    rows.sort(key=lambda row: (-row[2], -row[1]))
    return np.array(rows[:MAX_RECORDS], dtype=LOAD_RECORD).tobytes()


class PeerLoads:
    """Latest load summaries of one pool by peer."""

    def __init__(self):
        self._peers = {}

    @property
    def count(self):
        """Number of peers with a recent summary."""
        return len(self._peers)

    def observe(self, owner, revision, payload, now):
        """Store the latest summary of a peer and drop outdated ones.

        :param owner: id of the incarnation of the peer
        :param revision: revision of the tables to which its indexes refer
        :param payload: records of type :data:`LOAD_RECORD`
        :param now: current time in ms
        """
        self._peers[owner] = (now, revision, payload)
        for peer in [
            peer
            for peer, (received_at, _, _) in self._peers.items()
            if now - received_at > PEER_REPORT_LIFETIME_MS
        ]:
            del self._peers[peer]

    def totals(self, *, revision, size):
        """Sum the summaries of the peers per upstream.

        :param revision: revision of the tables in effect; summaries that refer to
            another revision are ignored
        :param size: number of upstreams
        :returns: arrays of requests in flight and of ejecting peers per upstream
        """
        in_flight = np.zeros(size)
        ejected = np.zeros(size)
        for _, peer_revision, payload in self._peers.values():
            if peer_revision != revision:
                continue
            records = np.frombuffer(payload, dtype=LOAD_RECORD)
            records = records[records["index"] < size]
            np.add.at(in_flight, records["index"], records["in_flight"])
            np.add.at(ejected, records["index"], records["flags"] & FLAG_EJECTED)
        return in_flight, ejected
