"""The entries and upstreams of a load experiment."""

import random

from monsoonline.bench.load_upstreams import SharedUpstream
from monsoonline.bench.virtual_sessions import (
    NAMES,
    VirtualNetwork,
    VirtualSessionPool,
    parse_load,
)
from monsoonline.bench.virtual_tasks import VirtualPoller
from monsoonline.core import model
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.fleet_messages import LoadNotice
from monsoonline.core.recipient_selection import LOCAL_RECIPIENTS
from monsoonline.core.registrations import Registration
from monsoonline.core.retry_budget import RetryLimits
from monsoonline.entry.placed_relay import PlacedRelay
from monsoonline.metrics import Metrics

__all__ = ["LoadEntry", "LoadFleet"]


class LoadEntry:
    """One entry.

    :param name: its name
    :param failure_domain: where it runs
    """

    def __init__(self, *, name, failure_domain):
        self.name = name
        self.failure_domain = failure_domain
        self.relay = None
        self.metrics = []
        # Changes when callers lose the entry, so that later answers reach none.
        self.incarnation = 0
        # Whether the entry runs, and whether callers reach it.
        self.up = False
        self.reachable = False


class LoadFleet:
    """Entries with the request path in use, and what they tell each other.

    :param document: the :class:`monsoonline.bench.load_document.LoadDocument`
    :param seed: seed of the choices of entries and upstreams
    :param policy: returns
        :class:`monsoonline.core.request_decisions.RequestDecisions` for a generator
    :param timeline: the virtual time
    :param tasks: the :class:`monsoonline.bench.virtual_tasks.VirtualTasks`
    """

    def __init__(self, *, document, seed, policy, timeline, tasks):
        self._document = document
        self._policy = policy
        self._timeline = timeline
        self._tasks = tasks
        self._choices = random.Random(f"choices-{seed}")
        self._sockets = {}
        self._tables = build_tables(document)
        self._upstreams = self._build_upstreams(seed)
        self._by_address = {
            u.address: u for pool in self._upstreams.values() for u in pool
        }
        domains = document.failure_domains
        self._entries = [
            LoadEntry(name=f"entry-{n}", failure_domain=domains[n % len(domains)])
            for n in range(document.entries)
        ]
        for entry in self._entries:
            self.start(entry)

    @property
    def entries(self):
        """All :class:`LoadEntry` items."""
        return self._entries

    @property
    def upstreams(self):
        """The fake upstreams by pool."""
        return self._upstreams

    @property
    def second_attempts(self):
        """Attempts that entries sent while an earlier one was open."""
        return sum(
            metrics.value("hedges_total", route=route.name)
            for entry in self._entries
            for metrics in entry.metrics
            for route in self._document.routes
        )

    def start(self, entry):
        """Start an entry that knows the tables and upstreams, but no load."""
        entry.up = entry.reachable = True
        document = self._document
        metrics = Metrics()
        entry.metrics.append(metrics)
        network = VirtualNetwork(
            timeline=self._timeline,
            sockets=self._sockets,
            upstreams=self._by_address,
            delay_ms=lambda upstream: self._delay_ms(entry, upstream),
        )
        entry.relay = PlacedRelay(
            clock=self._timeline,
            names=NAMES,
            parse_load=parse_load,
            sessions=VirtualSessionPool(network=network, clock=self._timeline),
            budget=RetryLimits(**document.repeats.model_dump()),
            probes_per_second=max(pool.probes_per_second for pool in document.pools),
            failure_domain=entry.failure_domain,
            entries=lambda: sum(e.up for e in self._entries),
            crashes=CrashTracker(clock=self._timeline, owner=entry.name),
            on_failure=lambda *failure: self._tell_failure(entry, *failure),
            on_loads=lambda loads, chosen: self._tell_loads(entry, loads, chosen),
            metrics=metrics,
            decisions=self._policy(random.Random(self._choices.random())),
            poller=lambda: VirtualPoller(
                tasks=self._tasks, timeline=self._timeline, sockets=self._sockets
            ),
        )
        entry.relay.use_tables(self._tables)
        entry.relay.use_registrations(
            {
                upstream.address: Registration(
                    instance=upstream.address,
                    pool=pool,
                    address=upstream.address,
                    failure_domain=upstream.failure_domain,
                    slots=upstream.slots,
                )
                for pool, upstreams in self._upstreams.items()
                for upstream in upstreams
            }
        )

    def _delay_ms(self, one, other):
        near = one.failure_domain == other.failure_domain
        return self._document.near_ms if near else self._document.far_ms

    def _others(self, entry):
        return [e for e in self._entries if e is not entry and e.up]

    def _tell_failure(self, entry, instance, weight):
        for other in self._others(entry):
            delay_ms = self._delay_ms(entry, other)
            relay = other.relay
            self._timeline.after(delay_ms, relay.note_peer_failure, instance, weight)

    def _tell_loads(self, entry, loads, chosen):
        notice = LoadNotice(sender=entry.name, loads=loads, chosen=chosen)
        near = [
            other
            for other in self._others(entry)
            if other.failure_domain == entry.failure_domain
        ]
        for other in self._choices.sample(near, min(LOCAL_RECIPIENTS, len(near))):
            delay_ms = self._delay_ms(entry, other)
            self._timeline.after(delay_ms, other.relay.note_peer_loads, notice)

    def _build_upstreams(self, seed):
        domains = self._document.failure_domains
        return {
            pool.name: [
                SharedUpstream(
                    timeline=self._timeline,
                    address=f"10.{index}.{n // 250}.{n % 250 + 1}:8000",
                    failure_domain=domains[n % len(domains)],
                    slots=pool.slots,
                    queue_limit=pool.queue_limit,
                    restart_ms=1_000.0,
                    full_share=pool.full_share,
                    full_factor=pool.full_factor,
                    generator=random.Random(f"upstream-{index}-{n}-{seed}"),
                )
                for n in range(pool.targets)
            ]
            for index, pool in enumerate(self._document.pools)
        }


def build_tables(document):
    """Return the :class:`monsoonline.core.model.Tables` of an experiment."""
    pools = {
        pool.name: model.Pool(name=pool.name, department="bench", upstreams=())
        for pool in document.pools
    }
    routes = {
        route.name: model.Route(
            name=route.name,
            department="bench",
            pool=route.pool,
            match=model.RouteMatch(path_prefix=f"/{route.name}/"),
            idempotent=route.idempotent,
            deadline_ms=route.deadline_ms,
            tolerance=model.Tolerance(retries=route.retries),
            success=model.SuccessDefinition(latency_ms=route.goal_ms),
            priority=route.priority,
        )
        for route in document.routes
    }
    return model.Tables(revision=1, routes=routes, pools=pools)
