"""CPU time of the relay for one request without sockets.

Run with ``python -m monsoonline.bench.relay_cost``. The transport answers at once, so
the figure is the cost of matching, choosing, counting and deciding.
"""

import statistics
import time

import click
import orjson

from monsoonline.clock import SystemClock
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.ledger import Ledger
from monsoonline.core.model import Pool, Route, RouteMatch, Tables, Upstream
from monsoonline.core.service_levels import ServiceLevels
from monsoonline.entry.relay import Relay
from monsoonline.metrics import Metrics
from monsoonline.types import Answer, Request

__all__ = ["measure"]

WARM_UP_REQUESTS = 2000
SLOTS = 3


class InstantTransport:
    """Answers every request at once, with a load report."""

    def __init__(self):
        self._answer = Answer(
            status=200,
            headers=(
                ("Monsoonline-Load", "in-flight=1; slots=3; queued=0"),
                ("Content-Type", "text/plain"),
            ),
            body=b"ok",
        )

    def exchange(self, upstream, request, *, deadline, idempotent, **options):
        """Return the answer."""
        return self._answer


def make_relay(targets):
    """Return a relay over one pool with a number of targets."""
    clock = SystemClock()
    upstreams = tuple(
        Upstream(
            address=f"10.0.{n // 250}.{n % 250}:80", failure_domain="a", slots=SLOTS
        )
        for n in range(targets)
    )
    pool = Pool(name="pool", department="d", upstreams=upstreams)
    route = Route(
        name="lookup", department="d", pool="pool", match=RouteMatch(), idempotent=True
    )
    tables = Tables(revision=1, routes={"lookup": route}, pools={"pool": pool})
    dispatcher = Dispatcher(clock=clock)
    relay = Relay(
        clock=clock,
        dispatcher=dispatcher,
        ledger=Ledger(clock=clock),
        transport=InstantTransport(),
        metrics=Metrics(),
        service_levels=ServiceLevels(clock=clock),
    )
    dispatcher.update_tables(tables)
    relay.use_tables(tables)
    return relay


def measure(*, targets, requests, rounds):
    """Measure the CPU time of :meth:`Relay.handle`.

    :param targets: targets of the pool
    :param requests: requests in a round
    :param rounds: number of rounds
    :returns: microseconds per request of each round
    """
    relay = make_relay(targets)
    request = Request(
        method="GET",
        host="a",
        target="/quotes?item=1",
        headers=(("Host", "a"), ("Accept", "*/*"), ("User-Agent", "bench")),
    )
    for _ in range(WARM_UP_REQUESTS):
        relay.handle(request)
    costs = []
    for _ in range(rounds):
        started = time.process_time()
        for _ in range(requests):
            relay.handle(request)
        costs.append((time.process_time() - started) / requests * 1e6)
    return costs


@click.command()
@click.option("--targets", default=24, show_default=True)
@click.option("--requests", default=5000, show_default=True)
@click.option("--rounds", default=7, show_default=True)
def main(targets, requests, rounds):
    """Print the cost of one request in microseconds as JSON."""
    costs = measure(targets=targets, requests=requests, rounds=rounds)
    document = {
        "targets": targets,
        "minimum_us": round(min(costs), 1),
        "median_us": round(statistics.median(costs), 1),
        "maximum_us": round(max(costs), 1),
    }
    click.echo(orjson.dumps(document).decode())


if __name__ == "__main__":
    main()
