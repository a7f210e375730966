"""Sends health probes to upstreams within the probe budget."""

import concurrent.futures

from monsoonline.adapters.http_upstream import ExchangeFailed
from monsoonline.core.probing import PROBE_TIMEOUT_MS
from monsoonline.entry.outcomes import DRAINING_HEADER, parse_load
from monsoonline.types import Request

__all__ = ["Prober"]

PROBE_WORKERS = 4
HEALTH_SOURCE = "health"


class Prober:
    """Sends the probes that the dispatcher schedules.

    :param clock: source of time
    :param dispatcher: schedules probes and records their results
    :param transport: sends requests to upstreams
    :param metrics: counters
    """

    def __init__(self, *, clock, dispatcher, transport, metrics):
        self._clock = clock
        self._dispatcher = dispatcher
        self._transport = transport
        self._metrics = metrics
        self._paths = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=PROBE_WORKERS, thread_name_prefix="probe"
        )

    def use_tables(self, tables):
        """Apply the probe paths of newly accepted tables."""
        self._paths = {name: p.measuring.path for name, p in tables.pools.items()}

    def send_due(self):
        """Send all probes that are due; called several times a second."""
        for pool_name, upstream in self._dispatcher.due_probes():
            self._executor.submit(self._probe, pool_name, upstream)

    def close(self):
        """Stop sending probes; those in flight end by themselves."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _probe(self, pool_name, upstream):
        answered = False
        try:
            answered = self._exchange(pool_name, upstream)
        finally:
            self._dispatcher.note_probe_end(
                pool_name, upstream.address, answered=answered
            )

    def _exchange(self, pool_name, upstream):
        """Send one probe and record its response; return whether there was one."""
        request = Request(
            method="GET",
            host=upstream.address,
            target=self._paths.get(pool_name, "/health"),
            headers=(("Host", upstream.address),),
        )
        try:
            response = self._transport.exchange(
                upstream,
                request,
                deadline=self._clock.now() + PROBE_TIMEOUT_MS,
                # The transport may resend an idempotent request, which would exceed the
                # probe budget.
                idempotent=False,
            )
        except ExchangeFailed:
            self._metrics.count("probes_total", pool=pool_name, result="failed")
            return False
        self._metrics.count("probes_total", pool=pool_name, result="answered")
        draining = response.header(DRAINING_HEADER) == "true"
        self._dispatcher.set_leaving(
            upstream.address, source=HEALTH_SOURCE, leaving=draining
        )
        load = parse_load(response)
        if load is not None:
            self._dispatcher.observe_probe(pool_name, upstream.address, load)
        return True
