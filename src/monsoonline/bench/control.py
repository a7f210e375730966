"""Control cost of a node: bytes, CPU and memory against the number of members.

Two measurements: real entries on loopback, and the core in virtual time, whose
datagrams are encoded so that their real sizes are counted.
"""

import dataclasses
import resource
import secrets
import time

import numpy

from monsoonline.adapters.peer_codec import PeerCodec
from monsoonline.adapters.peer_network import SocketPeerNetwork
from monsoonline.bench.virtual_peers import VirtualPeers
from monsoonline.clock import SystemClock
from monsoonline.metrics import Metrics
from monsoonline.ports import VirtualMachine

__all__ = [
    "Target",
    "measure_loopback",
    "measure_virtual",
    "targets_of",
]

MAX_BYTES_PER_SECOND = 4000.0
MAX_CPU_SHARE = 0.021
MAX_MEMORY_BYTES = 64 * 1024 * 1024
REVISION_BOUND_MS = {20: 5000.0, 100: 14_000.0, 300: 14_000.0}
# Twice the bound, so that a miss is measured instead of cut off.
MEASURE_LIMIT_MS = 28_000.0
MEMBERS_PER_REGION = 43
SETTLE_MS = 5000.0
COST_MS = 10_000.0
LOSS = 0.1
SECRET = b"bench-secret-0123456789"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A bound and the value measured.

    :param name: what was measured, with its unit
    :param bound: highest value allowed
    :param value: value measured, ``None`` when the event did not happen in time
    """

    name: str
    bound: float
    value: float | None

    @property
    def holds(self):
        """Whether the value is within the bound."""
        return self.value is not None and self.value <= self.bound

    def document(self):
        """Return the target as a JSON object."""
        return {
            "name": self.name,
            "bound": self.bound,
            "value": self.value,
            "holds": self.holds,
        }


def current_memory_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as status:
        return int(status.read().split()[1]) * resource.getpagesize()


def codec_for(incarnation):
    """Return a codec for a node in virtual time."""
    return PeerCodec(keys={1: SECRET}, signing_key=1, incarnation=incarnation)


def open_loopback_entry(number, rows):
    """Open the peer network of one entry on loopback."""
    network = SocketPeerNetwork(
        host="127.0.0.1",
        port=0,
        keys={1: SECRET},
        signing_key=1,
        name=f"entry-{number}",
        incarnation=secrets.token_hex(8),
        address=f"127.0.0.1:{20000 + number}",
        failure_domain=f"domain-{number % 3}",
        region="region-0",
        clock=SystemClock(),
        metrics=Metrics(),
        virtual_machines=lambda: tuple(rows),
        seed=number,
    )
    rows.append(
        VirtualMachine(
            name=f"entry-{number}",
            role="entry",
            address=f"127.0.0.1:{20000 + number}",
            failure_domain=f"domain-{number % 3}",
            peer_address=network.address,
        )
    )
    return network


def measure_loopback(*, members, duration_ms):
    """Measure real entries that share this process.

    CPU time and added memory of the process are divided by the number of entries,
    since threads of one process cannot be told apart.

    :param members: number of entries
    :param duration_ms: measuring time after all entries know each other
    :returns: JSON object with values per node
    """
    before = current_memory_bytes()
    rows = []
    networks = [open_loopback_entry(number, rows) for number in range(members)]
    start = time.monotonic()
    try:
        for network in networks:
            network.start()
        while any(len(n.members()) < members for n in networks):
            if time.monotonic() - start > 60:
                break
            time.sleep(0.05)
        joined_ms = (time.monotonic() - start) * 1e3
        return _loopback_cost(networks, duration_ms, before, joined_ms)
    finally:
        for network in networks:
            network.close()


def _loopback_cost(networks, duration_ms, memory_before, joined_ms):
    members = len(networks)
    sent = [n.budget.sent_bytes for n in networks]
    received = [n.budget.received_bytes for n in networks]
    cpu, wall = time.process_time(), time.monotonic()
    time.sleep(duration_ms / 1e3)
    elapsed = time.monotonic() - wall
    cpu = time.process_time() - cpu
    sent = [n.budget.sent_bytes - b for n, b in zip(networks, sent, strict=True)]
    received = [
        n.budget.received_bytes - b for n, b in zip(networks, received, strict=True)
    ]
    totals = [s + r for s, r in zip(sent, received, strict=True)]
    return {
        "members": members,
        "all_known_by_all": all(len(n.members()) == members for n in networks),
        "joined_ms": joined_ms,
        "sent_bytes_per_second": sum(sent) / members / elapsed,
        "received_bytes_per_second": sum(received) / members / elapsed,
        "max_bytes_per_second": max(totals) / elapsed,
        "cpu_share": cpu / members / elapsed,
        "cpu_method": "process CPU time divided by the entries in the process",
        "process_memory_bytes": current_memory_bytes(),
        "added_memory_bytes": (current_memory_bytes() - memory_before) / members,
    }


def measure_virtual(*, members, seed):
    """Measure the core in virtual time with 10 % packet loss.

    :param members: number of entries
    :param seed: seed of all random choices
    :returns: JSON object with bytes and CPU per node and dissemination times
    """
    regions = max(1, round(members / MEMBERS_PER_REGION))
    before = current_memory_bytes()
    peers = VirtualPeers(
        members=members,
        seed=seed,
        regions=regions,
        loss=LOSS,
        warm=True,
        codec_for=codec_for,
    )
    peers.run(SETTLE_MS)
    totals = _totals(peers)
    cpu = time.process_time()
    peers.run(COST_MS)
    cpu = time.process_time() - cpu
    used = numpy.subtract(_totals(peers), totals) / COST_MS * 1e3
    memory = (current_memory_bytes() - before) / members
    revision_ms = _revision_time(peers)
    suspected_ms = _death_time(peers)
    return {
        "members": members,
        "regions": regions,
        "seed": seed,
        "loss": LOSS,
        "mean_bytes_per_second": float(used.mean()),
        "max_bytes_per_second": float(used.max()),
        "cpu_share": cpu / members / (COST_MS / 1e3),
        "memory_bytes": memory,
        "revision_at_all_ms": revision_ms,
        "death_noticed_by_all_ms": suspected_ms,
    }


def _totals(peers):
    budgets = [node.gossip.budget for node in peers.running()]
    return [budget.sent_bytes + budget.received_bytes for budget in budgets]


def _revision_time(peers):
    peers.nodes[0].gossip.set_own(revision=9, checksum="0" * 16)
    elapsed = peers.run(
        MEASURE_LIMIT_MS,
        until=lambda: all(node.own.revision == 9 for node in peers.nodes),
    )
    return elapsed if elapsed < MEASURE_LIMIT_MS else None


def _death_time(peers):
    dead = peers.nodes[1]
    peers.stop(dead)
    states = {"suspect", "gone", "unknown"}
    elapsed = peers.run(
        MEASURE_LIMIT_MS, until=lambda: peers.all_see(states, of=[dead])
    )
    return elapsed if elapsed < MEASURE_LIMIT_MS else None


def targets_of(loopback, virtual):
    """Compare the measured values with their bounds.

    :param loopback: result of :func:`measure_loopback`
    :param virtual: results of :func:`measure_virtual`
    :returns: tuple of :class:`Target`
    """
    targets = [
        Target(
            name=f"bytes/s sent plus received, mean, {loopback['members']} members",
            bound=MAX_BYTES_PER_SECOND,
            value=loopback["sent_bytes_per_second"]
            + loopback["received_bytes_per_second"],
        ),
        Target(
            name=f"bytes/s sent plus received, max, {loopback['members']} members",
            bound=MAX_BYTES_PER_SECOND,
            value=loopback["max_bytes_per_second"],
        ),
        Target(
            name=f"CPU share, {loopback['members']} members",
            bound=MAX_CPU_SHARE,
            value=loopback["cpu_share"],
        ),
        Target(
            name=f"added memory bytes, {loopback['members']} members",
            bound=MAX_MEMORY_BYTES,
            value=loopback["added_memory_bytes"],
        ),
    ]
    for result in virtual:
        members = result["members"]
        label = f"{members} members, 10 % loss, seed {result['seed']}"
        bound_ms = REVISION_BOUND_MS[members]
        values = {
            "bytes/s, max": (MAX_BYTES_PER_SECOND, result["max_bytes_per_second"]),
            "CPU share": (MAX_CPU_SHARE, result["cpu_share"]),
            "memory bytes": (MAX_MEMORY_BYTES, result["memory_bytes"]),
            "revision at all, ms": (bound_ms, result["revision_at_all_ms"]),
            "death noticed by all, ms": (bound_ms, result["death_noticed_by_all_ms"]),
        }
        targets += [
            Target(name=f"{name}, {label}", bound=bound, value=value)
            for name, (bound, value) in values.items()
        ]
    return tuple(targets)
