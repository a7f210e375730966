"""Time from the start of an edit until it is in effect at every entry.

Entries run as threads of one process over the HTTP platform stand-in; their peer
messages are function calls. Run with ``python -m
monsoonline.bench.configuration_spread``.
"""

import statistics
import sys

import click

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.adapters.object_store import HttpObjectStore
from monsoonline.adapters.platform import PlatformClient
from monsoonline.adapters.table_store import HttpTableStore
from monsoonline.clock import SystemClock
from monsoonline.commands.output import print_document
from monsoonline.core.configuration import Configuration
from monsoonline.metrics import Metrics
from monsoonline.ports import ProposedChange
from monsoonline.standin.peers import PeerNetworkStandIn
from monsoonline.standin.platform import PlatformStandIn

__all__ = ["SpreadExperiment"]

TARGET_MS = 5000.0
CHECK_INTERVAL_MS = 2.0
# One entry's write budget is 2 edits a second.
PAUSE_MS = 600.0
POOL = "quotes"


def pool_document(slots):
    """Return a pool of one upstream."""
    upstream = {"address": "127.0.0.1:9000", "slots": slots}
    return {"department": "sales", "upstreams": [upstream]}


class SpreadExperiment:
    """Entries over one stand-in platform.

    :param entries: number of entries
    :param peers: whether entries can reach each other
    """

    def __init__(self, *, entries, peers):
        self._clock = SystemClock()
        self._platform = PlatformStandIn()
        self._platform.put_row("pools", POOL, pool_document(1))
        self._network = PeerNetworkStandIn()
        self._entries = [
            self._new_entry(f"entry-{number:03}") for number in range(entries)
        ]
        if not peers:
            self._network.isolate(*self._network.configurations)

    def run(self, *, changes):
        """Make changes one after the other.

        :returns: the times in ms until each was in effect everywhere
        """
        self._platform.start()
        for entry in self._entries:
            entry.start()
        try:
            return [self._change(1 + number % 9) for number in range(changes)]
        finally:
            for entry in self._entries:
                entry.close()
            self._platform.close()

    def counters(self):
        """Return the store's counts of reads and writes."""
        return self._platform.counters()

    def _change(self, slots):
        self._clock.sleep(PAUSE_MS)
        row = self._entries[0].row("pools", POOL)
        proposal = ProposedChange(
            change_id=f"change-{row.version}",
            table="pools",
            name=POOL,
            department="sales",
            expected_version=row.version,
            document=pool_document(slots),
        )
        started = self._clock.now()
        revision = self._entries[0].commit(proposal).change.revision
        while any(entry.revision < revision for entry in self._entries):
            self._clock.sleep(CHECK_INTERVAL_MS)
        return self._clock.now() - started

    def _new_entry(self, name):
        metrics = Metrics()
        client = PlatformClient(url=self._platform.url, metrics=metrics)
        entry = Configuration(
            name=name,
            clock=self._clock,
            store=HttpTableStore(client=client),
            objects=HttpObjectStore(client=client),
            network=self._network.port(name),
            codec=ConfigurationCodec(),
            metrics=metrics,
        )
        self._network.attach(name, entry)
        return entry


@click.command()
@click.option("--entries", default=22, show_default=True)
@click.option("--changes", default=20, show_default=True)
@click.option("--peers/--no-peers", default=True, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def main(entries, changes, peers, as_json):
    """Measure how long changes take until they are in effect everywhere.

    Exits with 1 when one takes longer than 5 s.
    """
    experiment = SpreadExperiment(entries=entries, peers=peers)
    times = experiment.run(changes=changes)
    counters = experiment.counters()
    figures = {
        "entries": entries,
        "changes": changes,
        "peers": peers,
        "median_ms": round(statistics.median(times), 1),
        "max_ms": round(max(times), 1),
        "reads_max_per_second": counters["reads"]["max_per_second"],
        "writes_max_per_second": counters["writes"]["max_per_second"],
        "holds": max(times) <= TARGET_MS,
    }
    print_document(figures, as_json=as_json)
    sys.exit(0 if figures["holds"] else 1)


if __name__ == "__main__":
    main()
