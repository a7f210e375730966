"""Tests of the state that an entry keeps of its pools."""

import unittest
from unittest import mock

from monsoonline.clock import ManualClock
from monsoonline.core.model import (
    Pool,
    ProbeBudget,
    Route,
    RouteMatch,
    SuccessDefinition,
    Tables,
)
from monsoonline.core.request_decisions import RequestDecisions
from monsoonline.core.retry_budget import RetryLimits
from monsoonline.core.routing import RouteTable
from monsoonline.entry.served_pools import ServedPools
from monsoonline.types import Request
from tests.entry.target_fixture import NAMES


def tables_of(revision, *, pool, priority=1):
    route = Route(
        name="r",
        department="d",
        pool=pool,
        match=RouteMatch(path_prefix="/"),
        deadline_ms=600.0,
        success=SuccessDefinition(latency_ms=300.0),
        priority=priority,
        idempotent=True,
    )
    pools = {
        pool: Pool(
            name=pool,
            department="d",
            upstreams=(),
            measuring=ProbeBudget(path="/health"),
        )
    }
    return Tables(revision=revision, routes={"r": route}, pools=pools)


class TestChangeOfTables(unittest.TestCase):
    """A request that arrives while tables change is handled by either version."""

    def setUp(self):
        self.pools = ServedPools(
            clock=ManualClock(),
            names=NAMES,
            budget=RetryLimits(ratio=0.2, slack=10.0, window_ms=10_000.0),
            failure_domain="a",
            on_failure=lambda instance, weight: None,
            decisions=RequestDecisions(),
        )
        self.pools.use_tables(tables_of(1, pool="old"))

    def find(self):
        """Return the pool of a request's route, and the revision in effect."""
        route = self.pools.match(Request(method="GET", host="h", target="/1"))
        return route.pool, self.pools.get(route.pool), self.pools.tables_revision

    def test_request_during_the_change_finds_its_pool(self):
        """Guards against refusals, and logs of a version that is not in effect yet."""
        seen = []

        def build(**fields):
            seen.append(self.find())
            return RouteTable(**fields)

        with mock.patch("monsoonline.entry.served_pools.RouteTable", build):
            self.pools.use_tables(tables_of(2, pool="new"))
        (name, pool, revision), *_ = seen
        self.assertEqual((name, revision), ("old", 1))
        self.assertIsNotNone(pool)
        name, pool, revision = self.find()
        self.assertEqual((name, revision), ("new", 2))
        self.assertIsNotNone(pool)
        self.assertIsNone(self.pools.get("old"))

    def test_priorities_are_those_of_the_routes_in_effect(self):
        self.pools.use_tables(tables_of(2, pool="old", priority=0))
        self.assertEqual(self.pools.get("old").priorities, frozenset((0,)))
