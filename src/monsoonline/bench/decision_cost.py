"""Cost of one decision: acquire and release, without a network."""

import time

import numpy as np

from monsoonline.bench.timeline import Timeline
from monsoonline.core import model
from monsoonline.core.dispatch import Dispatcher
from monsoonline.types import AttemptKind, AttemptResult, LoadReport

__all__ = ["SIZES", "measure_costs"]

SIZES = (10, 30, 100, 1_000)
DECISIONS = 400
ROUNDS = 30


def measure_costs(policy="adaptive", sizes=SIZES):
    """Measure decisions at several pool sizes.

    :returns: microseconds per decision by size, and the slope in microseconds per
        target by least squares
    """
    setups = {size: prepare(policy, size) for size in sizes}
    costs = dict.fromkeys(sizes, float("inf"))
    # Sizes take turns, so a busy machine disturbs all of them alike.
    for _ in range(ROUNDS):
        for size, setup in setups.items():
            costs[size] = min(costs[size], time_round(*setup))
    slope = float(np.polyfit(list(costs), list(costs.values()), 1)[0])
    return costs, slope


def prepare(policy, size):
    """Return a dispatcher with its route, a result and the timeline."""
    pool = model.Pool(
        name="pool",
        department="bench",
        policy=policy,
        upstreams=tuple(
            model.Upstream(
                address=f"10.0.{i // 250}.{i % 250 + 1}:8000",
                failure_domain="fd-1",
                slots=3,
            )
            for i in range(size)
        ),
    )
    route = model.Route(
        name="route",
        department="bench",
        pool="pool",
        match=model.RouteMatch(),
        idempotent=True,
    )
    timeline = Timeline()
    dispatcher = Dispatcher(
        clock=timeline, generator=np.random.default_rng(1), owner="entry-0"
    )
    dispatcher.update_tables(model.Tables(revision=1, pools={"pool": pool}))
    result = AttemptResult(
        kind=AttemptKind.SUCCEEDED,
        latency_ms=20.0,
        load=LoadReport(in_flight=1, slots=3),
    )
    return dispatcher, route, result, timeline


def time_round(dispatcher, route, result, timeline):
    """Time one round with eight requests in flight; microseconds per decision."""
    held = [dispatcher.acquire(route, deadline=1e12) for _ in range(8)]
    started = time.perf_counter()
    for index in range(DECISIONS):
        timeline.run(timeline.now() + 1.0)
        dispatcher.release(held[index % 8], result)
        held[index % 8] = dispatcher.acquire(route, deadline=1e12)
    elapsed = time.perf_counter() - started
    for assignment in held:
        dispatcher.release(assignment, result)
    return elapsed / DECISIONS * 1e6
