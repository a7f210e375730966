"""The measurements of :mod:`monsoonline.bench.capacity`.

Memory is what ``tracemalloc`` counts for Python and numpy objects; times are the
least of several rounds, since the machine is shared.
"""

import contextlib
import dataclasses
import gc
import itertools
import socket
import time
import tracemalloc

import numpy
import orjson

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.adapters.peer_codec import PeerCodec
from monsoonline.bench.capacity import measurements
from monsoonline.bench.configuration import changes_of, new_configuration
from monsoonline.bench.decision_cost import measure_costs
from monsoonline.bench.ledger import bytes_per_answered_record
from monsoonline.bench.virtual_peers import VirtualPeers
from monsoonline.clock import ManualClock, SystemClock
from monsoonline.core import model
from monsoonline.core.configuration_messages import Delta
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.gossip import GossipMessage, MessageKind
from monsoonline.core.ledger import Ledger
from monsoonline.core.membership import MemberRecord
from monsoonline.core.peer_load import LoadSnapshot
from monsoonline.core.rows import RowChange, RowSet
from monsoonline.core.service_levels import ServiceLevels
from monsoonline.entry.relay import Relay
from monsoonline.metrics import Metrics
from monsoonline.standin.upstream import UpstreamStandIn
from monsoonline.types import AttemptKind, AttemptResult, LoadReport, Request

__all__ = ["memory_of"]

SERVICES = 60
TARGETS_PER_POOL = 16
TOTAL_TARGETS = 1_200
ROUNDS = 5
CHANGES = 60
PEERS = 20
SECRET = b"a secret of the measurements"
LIFETIME_MS = 1e12
RANDOM_SEED = 1


def memory_of(build):
    """Return the bytes that ``tracemalloc`` counts for the result of a function."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        del kept
        return used
    finally:
        tracemalloc.stop()


def least_time_ms(run):
    """Return the least time of several rounds in ms."""
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        run()
        times.append((time.perf_counter() - started) * 1e3)
    return min(times)


def encoded_tables(services, targets, routes=1):
    """Return the encoded rows of pools of ``targets`` upstreams and their routes."""
    changes = changes_of(services, targets)
    for service in range(services):
        for number in range(1, routes):
            changes.append(route_change(len(changes) + 1, service, number))
    rows = RowSet().apply(changes)
    return len(changes), rows.encode()


def route_change(revision, service, number):
    """Return the change that adds a further route to a service."""
    document = {
        "department": "sales",
        "pool": f"pool-{service}",
        "match": {"host": f"service-{service}.example", "path_prefix": f"/{number}"},
        "idempotent": True,
    }
    return RowChange(
        revision=revision,
        table="routes",
        name=f"route-{service}-{number}",
        content=orjson.dumps(document),
    )


def configuration_with(tables):
    """Return a configuration that has encoded tables in effect."""
    configuration = new_configuration()
    configuration.apply_rows(RowSet.decode(*tables), "peer")
    return configuration


@measurements.measures(
    "tables-memory-by-targets",
    size="targets",
    unit="bytes",
    points=(480, 960, 1_920, 3_600, 4_800),
)
def tables_memory_by_targets(targets):
    """Return the memory of rows and model with a fixed number of services."""
    tables = encoded_tables(SERVICES, targets // SERVICES)
    return memory_of(lambda: configuration_with(tables))


@measurements.measures(
    "tables-memory-by-services",
    size="services",
    unit="bytes",
    points=(30, 60, 150, 300),
)
def tables_memory_by_services(services):
    """Return the memory with a fixed number of targets, one route per service."""
    tables = encoded_tables(services, TOTAL_TARGETS // services)
    return memory_of(lambda: configuration_with(tables))


@measurements.measures(
    "tables-memory-by-routes", size="routes", unit="bytes", points=(60, 120, 300, 600)
)
def tables_memory_by_routes(routes):
    """Return the memory with fixed pools and more routes to them."""
    tables = encoded_tables(SERVICES, TARGETS_PER_POOL, routes // SERVICES)
    return memory_of(lambda: configuration_with(tables))


@measurements.measures(
    "tables-apply-all-by-targets",
    size="targets",
    unit="ms",
    points=(480, 960, 1_920, 4_800),
)
def tables_apply_all(targets):
    """Return the time to put whole tables in effect, 16 targets in a pool."""
    tables = encoded_tables(targets // TARGETS_PER_POOL, TARGETS_PER_POOL)
    return least_time_ms(lambda: configuration_with(tables))


@measurements.measures(
    "tables-apply-change-by-services",
    size="services",
    unit="ms",
    points=(30, 60, 150, 300),
)
def tables_apply_change(services):
    """Return the mean time to put one change of a pool in effect."""
    revision, content = encoded_tables(services, TARGETS_PER_POOL)
    configuration = configuration_with((revision, content))
    changes = pool_changes(TARGETS_PER_POOL, 2 * ROUNDS * CHANGES)

    def apply():
        for _ in range(CHANGES):
            number, document = next(changes)
            change = RowChange(
                revision=configuration.revision + 1,
                table="pools",
                name=f"pool-{number % services}",
                content=document,
            )
            configuration.apply_changes((change,), "peer")

    return least_time_ms(apply) / CHANGES


@measurements.measures(
    "users-apply-change-by-targets",
    size="targets",
    unit="ms",
    points=(480, 960, 1_920, 4_800),
)
def users_apply_change(targets):
    """Return the time in which decisions, relay and connections take new tables."""
    tables = tables_of(targets)
    dispatcher = used_dispatcher(tables)
    clock = SystemClock()
    transport = HttpUpstreamTransport(clock=clock)
    relay = Relay(
        clock=clock,
        dispatcher=dispatcher,
        ledger=Ledger(clock=clock),
        transport=transport,
        metrics=Metrics(),
    )
    slots = itertools.count(4)

    def apply():
        pool = dataclasses.replace(tables.pools["pool-0"], max_connections=next(slots))
        changed = dataclasses.replace(
            tables, revision=next(slots), pools={**tables.pools, "pool-0": pool}
        )
        dispatcher.update_tables(changed)
        transport.update_tables(changed)
        relay.use_tables(changed)

    return least_time_ms(apply)


def pool_changes(targets, count):
    """Yield numbers and rows of pools, each with other addresses."""
    random = numpy.random.default_rng(RANDOM_SEED)
    for number in range(count):
        yield number, pool_row(random, targets)


def pool_row(random, targets):
    """Return the JSON of a pool with random addresses, which compress badly."""
    upstreams = [
        {
            "address": "10.{}.{}.{}:8080".format(*random.integers(1, 255, 3)),
            "failure_domain": f"domain-{random.integers(14)}",
            "slots": 3,
        }
        for _ in range(targets)
    ]
    return orjson.dumps({"department": "sales", "upstreams": upstreams})


@measurements.measures(
    "change-bytes-by-targets-per-pool",
    size="targets per pool",
    unit="bytes",
    points=(4, 8, 16, 32, 64),
)
def change_bytes(targets):
    """Return the bytes of the message that carries one change of a pool."""
    random = numpy.random.default_rng(RANDOM_SEED)
    change = RowChange(
        revision=2, table="pools", name="pool-1", content=pool_row(random, targets)
    )
    delta = Delta(
        since=1,
        revision=2,
        checksum="0" * 16,
        ready=True,
        complete=True,
        changes=(change,),
    )
    return len(ConfigurationCodec().encode(delta))


@measurements.measures(
    "whole-table-bytes-by-targets",
    size="targets",
    unit="bytes",
    points=(480, 960, 1_920, 4_800),
)
def whole_table_bytes(targets):
    """Return the bytes of the whole tables as entries fetch them."""
    random = numpy.random.default_rng(RANDOM_SEED)
    changes = changes_of(targets // TARGETS_PER_POOL, 1)
    rows = [
        RowChange(
            revision=change.revision,
            table=change.table,
            name=change.name,
            content=pool_row(random, TARGETS_PER_POOL),
        )
        if change.table == "pools"
        else change
        for change in changes
    ]
    return len(RowSet().apply(rows).encode())


def pool_of(number, targets):
    """Return the model of a pool."""
    return model.Pool(
        name=f"pool-{number}",
        department="sales",
        upstreams=tuple(
            model.Upstream(
                address=f"10.{number // 250}.{number % 250}.{index + 1}:8080",
                failure_domain=f"domain-{index % 14}",
                slots=3,
            )
            for index in range(targets)
        ),
    )


def route_of(number):
    """Return the model of a route to the pool of that number."""
    return model.Route(
        name=f"route-{number}",
        department="sales",
        pool=f"pool-{number}",
        match=model.RouteMatch(host=f"service-{number}.example"),
        idempotent=True,
    )


def tables_of(targets):
    """Return tables with 16 targets in a pool and one route to each pool."""
    numbers = range(targets // TARGETS_PER_POOL)
    return model.Tables(
        revision=1,
        pools={f"pool-{n}": pool_of(n, TARGETS_PER_POOL) for n in numbers},
        routes={f"route-{n}": route_of(n) for n in numbers},
    )


def used_dispatcher(tables, *, peers=0):
    """Return a dispatcher that has used every pool and heard some peers."""
    clock = ManualClock()
    dispatcher = Dispatcher(
        clock=clock, generator=numpy.random.default_rng(RANDOM_SEED), owner="own"
    )
    dispatcher.update_tables(tables)
    result = AttemptResult(
        kind=AttemptKind.SUCCEEDED,
        latency_ms=20.0,
        load=LoadReport(in_flight=1, slots=3),
    )
    held = [
        dispatcher.acquire(route, deadline=LIFETIME_MS)
        for route in tables.routes.values()
        for _ in range(TARGETS_PER_POOL)
    ]
    payloads = dispatcher.snapshot().encode() if peers else {}
    for number in range(peers):
        for pool, payload in payloads.items():
            snapshot = LoadSnapshot.decode(payload, pool=pool, owner=f"peer-{number}")
            dispatcher.observe_peer(snapshot)
    for assignment in held:
        dispatcher.release(assignment, result)
    return dispatcher


@measurements.measures(
    "load-view-memory-by-targets",
    size="targets",
    unit="bytes",
    points=(160, 480, 1_600, 4_800),
)
def load_view_memory(targets):
    """Return the memory of the decision state without peers' reports."""
    tables = tables_of(targets)
    return memory_of(lambda: used_dispatcher(tables))


@measurements.measures(
    "load-view-memory-with-20-peers",
    size="targets",
    unit="bytes",
    points=(160, 480, 1_600, 4_800),
)
def load_view_memory_with_peers(targets):
    """Return the memory with the load reports of 20 peers on every pool."""
    tables = tables_of(targets)
    return memory_of(lambda: used_dispatcher(tables, peers=PEERS))


@measurements.measures(
    "load-item-bytes-by-targets-per-pool",
    size="targets per pool",
    unit="bytes",
    points=(4, 8, 16, 32, 64),
)
def load_item_bytes(targets):
    """Return the bytes of one entry's load report on one pool."""
    tables = model.Tables(revision=1, pools={"pool-0": pool_of(0, targets)})
    dispatcher = Dispatcher(clock=ManualClock(), owner="own")
    dispatcher.update_tables(tables)
    for _ in range(targets):
        dispatcher.acquire(route_of(0), deadline=LIFETIME_MS)
    return len(dispatcher.snapshot().encode()["pool-0"])


@measurements.measures(
    "connection-memory", size="connections", unit="bytes", points=(50, 100, 200, 400)
)
def connection_memory(connections):
    """Return the memory of idle upstream connections, without the kernel's."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.listen(2 * connections)
        host, port = listener.getsockname()
        upstream = model.Upstream(
            address=f"{host}:{port}", failure_domain="a", slots=connections
        )
        pool = model.Pool(
            name="pool",
            department="sales",
            upstreams=(upstream,),
            max_connections=connections,
        )
        transport = HttpUpstreamTransport(clock=SystemClock())
        stack.callback(transport.close)
        tables = model.Tables(revision=1, pools={"pool": pool})
        transport.update_tables(tables, entries=1)
        return memory_of(lambda: open_connections(transport, upstream, connections))


def open_connections(transport, upstream, count):
    """Open connections and return them to their connection pool."""
    pool = transport.connections(upstream.address)
    opened = [pool.open_new() for _ in range(count)]
    for connection in opened:
        pool.check_in(connection)
    return opened


@measurements.measures(
    "record-memory",
    size="records",
    unit="bytes",
    points=(5_000, 10_000, 20_000, 50_000),
)
def record_memory(records):
    """Return the memory of at-most-once records with answers of 128 bytes."""
    return records * bytes_per_answered_record(records)


@measurements.measures(
    "decision-time",
    size="targets per pool",
    unit="us",
    points=(10, 30, 100, 300, 1_000),
)
def decision_time(targets):
    """Return the time of one acquire and release."""
    costs, _ = measure_costs(sizes=(targets, 2 * targets))
    return costs[targets]


@measurements.measures(
    "relay-cpu", size="calls", unit="us", points=(100, 200, 400, 800)
)
def relay_cpu(calls):
    """Return the CPU time of the relaying thread for a number of calls.

    The parsing of the caller's request and the wake-up of its thread are missing;
    ``tools/bench_relay.py`` measures the whole process.
    """
    clock = SystemClock()
    upstream = UpstreamStandIn(slots=8, service_ms=0.0)
    upstream.start()
    pool = model.Pool(
        name="pool-0",
        department="sales",
        upstreams=(
            model.Upstream(address=upstream.address, failure_domain="a", slots=8),
        ),
    )
    tables = model.Tables(
        revision=1, pools={"pool-0": pool}, routes={"route-0": route_of(0)}
    )
    dispatcher = Dispatcher(clock=clock, owner="own")
    transport = HttpUpstreamTransport(clock=clock)
    relay = Relay(
        clock=clock,
        dispatcher=dispatcher,
        ledger=Ledger(clock=clock),
        transport=transport,
        metrics=Metrics(),
    )
    dispatcher.update_tables(tables)
    relay.use_tables(tables)
    transport.update_tables(tables, entries=1)
    request = Request(method="GET", host="service-0.example", target="/quotes")
    try:
        relay.handle(request)
        started = time.thread_time()
        for _ in range(calls):
            relay.handle(request)
        return (time.thread_time() - started) * 1e6
    finally:
        transport.close()
        upstream.close()


def member_record(number):
    """Return a complete record of a member."""
    return MemberRecord(
        incarnation=f"{number + 1:016x}",
        generation=3,
        ready=True,
        revision=16_000,
        name=f"entry-{number}",
        address=f"10.1.{number // 250}.{number % 250}:8000",
        peer_address=f"10.1.{number // 250}.{number % 250}:7000",
        failure_domain=f"domain-{number % 2}",
        region="region-0",
    )


@measurements.measures(
    "membership-memory", size="members", unit="bytes", points=(20, 100, 300, 1_000)
)
def membership_memory(members):
    """Return the memory of one entry's member table."""
    peers = VirtualPeers(members=1, seed=RANDOM_SEED)
    gossip = peers.nodes[0].gossip

    def learn():
        gossip.add_records([member_record(number) for number in range(members)])
        return gossip

    return memory_of(learn)


@measurements.measures(
    "member-table-bytes", size="members", unit="bytes", points=(20, 100, 300, 1_000)
)
def member_table_bytes(members):
    """Return the bytes of the whole member table as a starting entry fetches it."""
    records = [member_record(number) for number in range(members)]
    return len(peer_codec().encode_records(records))


@measurements.measures(
    "gossip-bytes-by-compact-records",
    size="records in a datagram",
    unit="bytes",
    points=(0, 2, 4, 8),
)
def gossip_bytes(members):
    """Return the bytes of a datagram that carries some compact records."""
    message = GossipMessage(
        kind=MessageKind.PROBE,
        probe=1,
        sender=member_record(0).compact(),
        checksum="0" * 16,
        members=tuple(member_record(n + 1).compact() for n in range(members)),
    )
    return len(peer_codec().encode_gossip(message))


def peer_codec():
    """Return a codec that signs."""
    return PeerCodec(keys={1: SECRET}, signing_key=1, incarnation="1" * 16)


@measurements.measures(
    "burn-report-memory", size="routes", unit="bytes", points=(10, 100, 300, 600)
)
def burn_report_memory(routes):
    """Return the memory of the counts by which routes' error budgets are reported."""

    def record():
        levels = ServiceLevels(clock=ManualClock())
        for number in range(routes):
            levels.record(route_of(number), status=200, latency_ms=1.0, refused=False)
        return levels

    return memory_of(record)
