"""Rows, edits, stand-ins and deployments shared by tests."""

import itertools
import sys
import threading
import time

import numpy
import orjson
from waitress.channel import ClientDisconnected

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.adapters.object_store import HttpObjectStore
from monsoonline.adapters.platform import PlatformClient, ResponseLost
from monsoonline.adapters.table_store import HttpTableStore
from monsoonline.clock import ManualClock
from monsoonline.core.configuration import Configuration
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics
from monsoonline.ports import Member, ProposedChange
from monsoonline.standin.peers import PeerNetworkStandIn
from monsoonline.standin.platform import PlatformStandIn
from monsoonline.types import Request

change_numbers = itertools.count(1)


class UnthrottledLimits:
    """Rate limits of the platform client that never delay a test."""

    READS_PER_SECOND = WRITES_PER_SECOND = 1e6
    READ_BURST = WRITE_BURST = 1e6


def run_together(*calls, seconds=0.5):
    """Run functions in threads again and again; return the errors that they raise.

    Threads are switched often, so that calls interleave.
    """
    errors = []
    ends_at = time.monotonic() + seconds

    def repeat(call):
        try:
            while time.monotonic() < ends_at and not errors:
                call()
        except Exception as error:
            errors.append(error)

    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    threads = [threading.Thread(target=repeat, args=(call,)) for call in calls]
    try:
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        sys.setswitchinterval(interval_s)
    return errors


def pool_document(department="sales", slots=3, address="127.0.0.1:9000"):
    upstream = {"address": address, "slots": slots}
    return {"department": department, "upstreams": [upstream]}


def route_document(pool="quotes", department="sales", **fields):
    return {"department": department, "pool": pool, "idempotent": True, **fields}


def edit(table, name, document, *, expected=0, department="sales", change_id=None):
    """Return a proposed change, with a unique id by default."""
    return ProposedChange(
        change_id=change_id or f"change-{next(change_numbers)}",
        table=table,
        name=name,
        department=department,
        expected_version=expected,
        document=document,
    )


def table_store(platform, *, limits=UnthrottledLimits, **options):
    """Return a table store client of a platform stand-in."""
    return HttpTableStore(
        client=PlatformClient(url=platform.url, limits=limits, **options)
    )


class DirectClient:
    """HTTP client that calls the platform stand-in without sockets or delays."""

    def __init__(self, platform):
        self.platform = platform
        self.metrics = Metrics()

    def with_retries(self, attempt):
        return attempt()

    def pause_before_retry(self, number):
        return True

    def get(self, target):
        try:
            return self.send_once("GET", target, b"")
        except ResponseLost as error:
            raise StoreUnavailable(str(error)) from error

    def get_document_once(self, target):
        return orjson.loads(self.get(target)[1])

    def send_once(self, method, target, body):
        request = Request(method=method, host="", target=target, body=body)
        try:
            response = self.platform.handle(request)
        except ClientDisconnected:
            raise ResponseLost("lost") from None
        if response.status == 503:
            raise StoreUnavailable("outage")
        return response.status, response.body


def member(name, incarnation):
    """Return a ready member in a separate failure domain."""
    return Member(
        name=name,
        incarnation=incarnation,
        address="",
        peer_address="",
        failure_domain=name,
        ready=True,
    )


class Deployment:
    """Configurations of several entries that share one platform stand-in and clock."""

    def __init__(self, test):
        self.clock = ManualClock()
        self.platform = PlatformStandIn()
        test.addCleanup(self.platform.close)
        self.network = PeerNetworkStandIn()
        self.test = test

    def start(self, *names):
        """Start or restart entries; each one polls the platform once."""
        return [self.start_one(name) for name in names]

    def start_one(self, name):
        client = DirectClient(self.platform)
        entry = Configuration(
            name=name,
            clock=self.clock,
            store=HttpTableStore(client=client),
            objects=HttpObjectStore(client=client),
            network=self.network.port(name),
            codec=ConfigurationCodec(),
            metrics=client.metrics,
            generator=numpy.random.default_rng(7),
        )
        entry.metrics = client.metrics
        self.test.addCleanup(entry.close)
        self.network.attach(name, entry)
        entry.poll()
        return entry
