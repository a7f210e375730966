"""Tests of the discovery endpoint."""

import unittest

import orjson

from monsoonline.clock import ManualClock
from monsoonline.core.ledger import Ledger
from monsoonline.entry.discovery import ENTRIES_PATH, TOKEN_PATH, Discovery
from monsoonline.ports import Member
from monsoonline.types import Request


class TestDiscovery(unittest.TestCase):
    """Responses of one entry that knows several others."""

    def setUp(self):
        self.ledger = Ledger(clock=ManualClock())
        self.members = [self.member("own", incarnation=self.ledger.incarnation)]
        self.discovery = Discovery(
            members=lambda: self.members, ledger=self.ledger, lifetime_ms=700.0
        )

    @staticmethod
    def member(name, **fields):
        fields = {"incarnation": name, "ready": True} | fields
        return Member(
            name=name,
            address=f"{name}:1",
            peer_address="",
            failure_domain="east",
            **fields,
        )

    def get(self, path):
        response = self.discovery.handle(Request(method="GET", host="", target=path))
        return response and orjson.loads(response.body)

    def test_only_ready_members_that_are_not_leaving_are_listed(self):
        """Guards against callers that cache the address of an unavailable entry.

        A caller keeps an address for the whole lifetime of the response.
        """
        self.members += [
            self.member("unready", ready=False),
            self.member("leaving", state="leaving"),
            self.member("suspect", state="suspect"),
            self.member("gone", state="gone"),
            self.member("good"),
        ]
        document = self.get(ENTRIES_PATH)
        addresses = [entry["address"] for entry in document["entries"]]
        self.assertEqual(addresses, ["own:1", "good:1"])
        self.assertEqual(document["lifetime_ms"], 700.0)

    def test_token_names_the_entry_that_may_run_its_keys(self):
        document = self.get(ENTRIES_PATH)
        self.assertEqual(document["token"], self.ledger.token())
        self.assertEqual(document["token_address"], "own:1")
        self.assertEqual(self.get(TOKEN_PATH), {"token": self.ledger.token()})

    def test_other_paths_are_left_to_the_relay(self):
        self.assertIsNone(self.get("/quotes"))
