"""Factories for objects used by the tests of the dispatcher and its parts."""

import numpy as np

from monsoonline.clock import ManualClock
from monsoonline.core import model
from monsoonline.core.dispatch import Dispatcher
from monsoonline.types import AttemptKind, AttemptResult, LoadReport


def make_pool(*, targets=4, slots=2, policy="adaptive", **changes):
    upstreams = tuple(
        model.Upstream(address=f"10.0.0.{i + 1}:80", failure_domain="a", slots=slots)
        for i in range(targets)
    )
    return model.Pool(
        name="pool", department="d", upstreams=upstreams, policy=policy, **changes
    )


def make_route(name="lookup", *, idempotent=True, queue_ms=100.0, **changes):
    tolerance = model.Tolerance(queue_ms=queue_ms, retries=1, hedges=1)
    return model.Route(
        name=name,
        department="d",
        pool="pool",
        match=model.RouteMatch(),
        idempotent=idempotent,
        tolerance=tolerance,
        **changes,
    )


def make_dispatcher(pool, *, seed=1, clock=None, owner="entry-0"):
    dispatcher = Dispatcher(
        clock=clock or ManualClock(), generator=np.random.default_rng(seed), owner=owner
    )
    dispatcher.update_tables(model.Tables(revision=1, pools={pool.name: pool}))
    return dispatcher


def result_of(kind=AttemptKind.SUCCEEDED, *, latency_ms=20.0, in_flight=None, **more):
    load = None if in_flight is None else LoadReport(in_flight=in_flight, slots=2)
    return AttemptResult(kind=kind, latency_ms=latency_ms, load=load, **more)
