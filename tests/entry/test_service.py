"""Tests of one entry over real sockets."""

import http.client
import time
import unittest
from unittest import mock

import orjson

from monsoonline.adapters.local_peers import LocalPeerHub
from monsoonline.entry.service import EntryService
from monsoonline.settings import EntrySettings
from monsoonline.standin.platform import PlatformStandIn
from monsoonline.standin.upstream import UpstreamStandIn
from tests.fixtures import member


class TestEntryService(unittest.TestCase):
    """Requests from a caller through an entry to an upstream."""

    def setUp(self):
        self.upstream = UpstreamStandIn()
        self.platform = PlatformStandIn()
        self.upstream.start()
        self.platform.start()
        self.platform.put_row("pools", "quotes", self.pool_row())
        self.platform.put_row("routes", "lookup", self.route_row("/quotes", True))
        self.platform.put_row("routes", "survey", self.route_row("/surveys", False))
        settings = EntrySettings(name="entry-1", platform={"url": self.platform.url})
        self.service = EntryService(settings=settings)
        self.service.start()
        for server in (self.service, self.platform, self.upstream):
            self.addCleanup(server.close)
        host, _, port = self.service.callers_address.partition(":")
        self.caller = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(self.caller.close)

    def pool_row(self):
        upstream = {"address": self.upstream.address, "slots": 3}
        return {"department": "sales", "upstreams": [upstream]}

    @staticmethod
    def route_row(prefix, idempotent):
        return {
            "department": "sales",
            "pool": "quotes",
            "match": {"path_prefix": prefix},
            "idempotent": idempotent,
        }

    def call(self, method, target, **headers):
        self.caller.request(method, target, headers=headers)
        response = self.caller.getresponse()
        return response, response.read()

    def test_lookup_gets_the_response_of_the_upstream(self):
        response, body = self.call("GET", "/quotes/17")
        self.assertEqual(response.status, 200)
        self.assertEqual(orjson.loads(body)["path"], "/quotes/17")

    def test_unknown_path_is_refused_as_not_run(self):
        response, body = self.call("GET", "/nowhere")
        self.assertEqual(response.status, 404)
        self.assertEqual(response.getheader("Monsoonline-Outcome"), "not-run")
        self.assertEqual(orjson.loads(body)["code"], "no-route")
        self.assertEqual(self.upstream.runs, ())

    def test_resent_booking_runs_once_and_gets_the_recorded_response(self):
        """Guards against a second run of a booking resent with the same key."""
        _, body = self.call("GET", "/.well-known/monsoonline/entries")
        key = orjson.loads(body)["token"] + ".a1"
        first = self.call("POST", "/surveys", **{"Monsoonline-Key": key})
        second = self.call("POST", "/surveys", **{"Monsoonline-Key": key})
        self.assertEqual(first[0].status, 200)
        self.assertEqual(first[1], second[1])
        self.assertEqual(self.upstream.runs, (key,))

    def test_booking_without_key_is_refused_as_not_run(self):
        response, _ = self.call("POST", "/surveys")
        self.assertEqual(response.status, 428)
        self.assertEqual(self.upstream.runs, ())

    def test_resend_of_an_unknown_outcome_gets_it_again_and_does_not_run(self):
        """Guards against a second run of a booking whose response was truncated."""
        self.upstream.configure(truncate=1.0)
        _, body = self.call("GET", "/.well-known/monsoonline/token")
        key = orjson.loads(body)["token"] + ".a1"
        first = self.call("POST", "/surveys", **{"Monsoonline-Key": key})
        self.upstream.configure(truncate=0.0)
        second = self.call("POST", "/surveys", **{"Monsoonline-Key": key})
        for response, _ in (first, second):
            self.assertEqual(response.status, 502)
            self.assertEqual(response.getheader("Monsoonline-Outcome"), "unknown")
        self.assertEqual(first[1], second[1])
        self.assertEqual(self.upstream.runs, (key,))


class TestEntryAmongPeers(unittest.TestCase):
    """One entry with one other member."""

    def setUp(self):
        self.upstream = UpstreamStandIn()
        self.platform = PlatformStandIn()
        self.hub = LocalPeerHub()
        upstream = {"address": self.upstream.address, "slots": 3}
        pool = {"department": "d", "upstreams": [upstream], "max_connections": 8}
        route = {"department": "d", "pool": "p", "idempotent": False}
        self.platform.put_row("pools", "p", pool)
        self.platform.put_row("routes", "r", route)
        self.other = self.hub.join(member("other", "f" * 16))
        settings = EntrySettings(name="entry-1", platform={"url": self.platform.url})
        self.service = EntryService(settings=settings, connect_peers=self.hub.join)
        for server in (self.upstream, self.platform, self.service):
            server.start()
            self.addCleanup(server.close)
        self.addCleanup(self.hub.close)
        # On a busy machine the first poll may time out.
        deadline = time.monotonic() + 8
        while not self.service.ready and time.monotonic() < deadline:
            time.sleep(0.02)

    def book(self, key):
        host, _, port = self.service.callers_address.partition(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(caller.close)
        caller.request("POST", "/", headers={"Monsoonline-Key": key})
        response = caller.getresponse()
        content = response.read()
        return response.getheader("Monsoonline-Outcome"), orjson.loads(content)

    def test_copy_of_a_booking_refused_during_isolation_never_runs(self):
        """Guards against running a copy that is read after the isolation has ended."""
        token = f"{self.service.incarnation}-0"
        with mock.patch("monsoonline.core.contact.ISOLATION_TIMEOUT_MS", -1.0):
            outcome, document = self.book(f"{token}.a")
        self.assertEqual((outcome, document["code"]), ("not-run", "isolated"))
        self.assertFalse(self.service._configuration.isolated)
        outcome, document = self.book(f"{token}.a")
        self.assertEqual((outcome, document["code"]), ("not-run", "isolated"))
        self.assertEqual(self.upstream.runs, ())
        self.assertIsNone(self.book(f"{token}.b")[0])

    def test_items_of_peers_count_as_contact_and_own_items_do_not(self):
        payload = self.service._path._dispatcher.snapshot().encode()["p"]
        with mock.patch.object(self.service._configuration, "record_contact") as hear:
            self.hub.publish("entry-1", "load", "p", payload)
            hear.assert_not_called()
            self.hub.publish("other", "load", "p", payload)
            hear.assert_called_once()

    def test_connection_limit_is_shared_with_ready_and_leaving_entries(self):
        """Guards against a total above the pool's limit when an entry joins.

        That happens if limits are updated only with new tables.
        """
        connections = self.service._path._transport.connections(self.upstream.address)
        self.service._update_state()
        self.assertEqual(connections.limit, 4)
        self.other.set_own(ready=False, leaving=True)
        self.service._update_state()
        self.assertEqual(connections.limit, 4)
        self.hub.leave("f" * 16)
        self.service._update_state()
        self.assertEqual(connections.limit, 8)


class TestEntryMembers(unittest.TestCase):
    """Membership of entries with peer keys."""

    def test_entries_find_each_other_through_the_virtual_machine_list(self):
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.close)
        keys = [{"id": 1, "secret": "s" * 32}]
        services = []
        for name in ("entry-1", "entry-2"):
            settings = EntrySettings(
                name=name, platform={"url": platform.url}, peer_keys=keys
            )
            service = EntryService(settings=settings)
            self.addCleanup(service.close)
            service.start()
            services.append(service)
        platform.put_machines(
            {
                "name": service.members()[0].name,
                "role": "entry",
                "address": service.callers_address,
                "failure_domain": "default",
                "peer_address": service.members()[0].peer_address,
            }
            for service in services
        )
        addresses = {service.callers_address for service in services}
        deadline = time.monotonic() + 8
        while time.monotonic() < deadline:
            known = [{m.address for m in s.members() if m.ready} for s in services]
            if known == [addresses, addresses]:
                break
            time.sleep(0.05)
        self.assertEqual(known, [addresses, addresses])
        # The next poll may be a second away; gossip announces the revision immediately.
        polls = [
            mock.patch.object(s._configuration, "record_peer_revision")
            for s in services
        ]
        with polls[0] as first, polls[1] as second:
            services[0]._publish_state = lambda: None
            services[0]._peers.set_own(revision=7)
            deadline = time.monotonic() + 8
            while not second.called and time.monotonic() < deadline:
                time.sleep(0.02)
        second.assert_called_with(7)
        first.assert_not_called()
