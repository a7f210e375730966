"""What entries tell each other about the load of a pool."""

import dataclasses

import numpy as np

from monsoonline.core.health import HealthState

__all__ = ["LoadSnapshot", "PeerLoads", "PoolLoad", "summarise"]

MAX_RECORDS = 96
SHARE_LIFETIME_MS = 3_000.0
RECORD = np.dtype([("index", "<u2"), ("in_flight", "u1"), ("flags", "u1")])
FLAG_EJECTED = 1
REVISION_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """One entry's summary of one pool.

    :param pool: name of the pool
    :param payload: records of :data:`RECORD`, at most 384 bytes
    """

    pool: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSnapshot:
    """One entry's summary of its pools.

    :param owner: id of the entry's incarnation
    :param revision: revision of the tables that the indexes refer to
    :param pools: one :class:`PoolLoad` per pool
    """

    owner: str
    revision: int
    pools: tuple[PoolLoad, ...]

    def encode(self):
        """Return payloads of shared items of kind ``load`` by pool name."""
        head = self.revision.to_bytes(REVISION_BYTES, "little")
        return {item.pool: head + item.payload for item in self.pools}

    @classmethod
    def decode(cls, content, *, pool, owner):
        """Parse the payload of one shared item.

        :raises ValueError: when it is malformed
        """
        head, payload = content[:REVISION_BYTES], content[REVISION_BYTES:]
        if len(head) < REVISION_BYTES or len(payload) % RECORD.itemsize:
            raise ValueError(f"load payload of {len(content)!r} bytes is malformed")
        load = PoolLoad(pool=pool, payload=payload)
        revision = int.from_bytes(head, "little")
        return cls(owner=owner, revision=revision, pools=(load,))


def summarise(states):
    """Return records of the upstreams with own requests or ejections, as bytes."""
    rows = [
        (s.index, min(255, s.in_flight), int(s.health.state is HealthState.EJECTED))
        for s in states
        if s.in_flight or s.health.state is HealthState.EJECTED
    ]
    rows.sort(key=lambda row: (-row[2], -row[1]))
    return np.array(rows[:MAX_RECORDS], dtype=RECORD).tobytes()


class PeerLoads:
    """Requests in flight and ejections that peers reported for one pool."""

    def __init__(self):
        self._peers = {}

    @property
    def count(self):
        """Number of peers whose report is not too old."""
        return len(self._peers)

    def observe(self, owner, revision, payload, now):
        """Keep a peer's latest report and drop those that are too old."""
        self._peers[owner] = (now, revision, payload)
        for name in [
            name
            for name, (seen, _, _) in self._peers.items()
            if now - seen > SHARE_LIFETIME_MS
        ]:
            del self._peers[name]

    def totals(self, *, revision, size):
        """Sum the peers' reports.

        :param revision: revision of the tables in effect
        :param size: number of upstreams
        :returns: arrays of requests in flight and of ejecting peers per upstream
        """
        in_flight = np.zeros(size)
        ejected = np.zeros(size)
        for _, reported, payload in self._peers.values():
            if reported != revision:
                continue
            records = np.frombuffer(payload, dtype=RECORD)
            records = records[records["index"] < size]
            np.add.at(in_flight, records["index"], records["in_flight"])
            np.add.at(ejected, records["index"], records["flags"] & FLAG_EJECTED)
        return in_flight, ejected
