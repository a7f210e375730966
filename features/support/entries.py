"""Entry processes."""

import pathlib

import orjson

from support.http import exchange, read_document
from support.processes import ManagedProcess

__all__ = ["TOKENS", "EntryProcess"]

PEER_SECRET = "secret-of-the-scenarios"
TOKENS = {"sales": "token-of-sales", "freight": "token-of-freight"}
# Short times of the graceful stop; propagation covers three rounds of gossip.
LIFETIME_MS = 500.0
STOP = {
    "propagation_ms": 1500.0,
    "idle_ms": 200.0,
    "reserve_ms": 3000.0,
    "limit_ms": 12_000.0,
}


class EntryProcess(ManagedProcess):
    """One entry.

    :param name: of the entry in the scenario and among its peers
    :param directory: for its settings and output
    :param platform_url: base URL of the platform stand-in
    """

    def __init__(self, *, name, directory, platform_url):
        settings = {
            "name": name,
            "platform": {"url": platform_url},
            "workers": 64,
            "discovery_lifetime_ms": LIFETIME_MS,
            "stop": STOP,
            "tokens": TOKENS,
            "peer_keys": [{"id": 1, "secret": PEER_SECRET}],
        }
        path = pathlib.Path(directory, f"{name}.json")
        path.write_bytes(orjson.dumps(settings))
        super().__init__(name=name, arguments=["entry", str(path)], directory=directory)

    @property
    def callers(self):
        """``host:port`` for callers."""
        return self.start_line()["callers"]

    @property
    def operations(self):
        """``host:port`` for operators."""
        return self.start_line()["operations"]

    @property
    def machine(self):
        """Its row of the VM list."""
        return {
            "name": self.name,
            "role": "entry",
            "address": self.callers,
            "failure_domain": "default",
            "peer_address": self.start_line()["peers"],
        }

    def status(self):
        """Return its status document, ``None`` when it does not answer."""
        return read_document(self.operations, "/status")

    def ready(self):
        """Tell whether callers may be sent here."""
        status = self.status()
        return status is not None and status["ready"]

    def token(self):
        """Return a token for a new key."""
        reply = exchange(self.callers, "GET", "/.well-known/monsoonline/token")
        return reply.document["token"]
