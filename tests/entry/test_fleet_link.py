"""Tests of the link between entries on its own."""

import socket
import threading
import unittest
from unittest import mock

from monsoonline.clock import SystemClock
from monsoonline.entry import fleet_link
from monsoonline.entry.fleet_link import FleetLink
from tests.adapters.endless_replies import ENDLESS_REPLIES
from tests.adapters.scripted_upstream import ScriptedUpstream
from tests.entry.test_fleet_service import free_address


def make_link(address):
    """Return a link whose other parts do nothing."""
    names = ("fleet", "state", "schedule", "on_failure", "on_loads", "crashes")
    others = {name: mock.Mock() for name in (*names, "permits", "gate", "metrics")}
    return FleetLink(address=address, clock=SystemClock(), **others)


class TestFetch(unittest.TestCase):
    """A state is fetched within limits of time and size."""

    def test_fetch_waits_for_the_end_of_a_state_without_end(self):
        """Guards against an address of an entry that a faulty process has taken over.

        The thread that fetches states was held for as long as bytes came.
        """
        link = make_link(free_address())
        self.addCleanup(link.close)
        for name, reply in ENDLESS_REPLIES.items():
            with self.subTest(name):
                peer = ScriptedUpstream(script=lambda n, r, reply=reply: reply)
                self.addCleanup(peer.close)
                fetch = threading.Thread(
                    target=link.fetch_state, args=(peer.address,), daemon=True
                )
                with mock.patch.object(fleet_link, "WHOLE_TRANSFER_TIMEOUT_MS", 500.0):
                    fetch.start()
                    fetch.join(2.0)
                ended = not fetch.is_alive()
                peer.close()
                fetch.join(5.0)
                self.assertTrue(ended)


class TestClose(unittest.TestCase):
    """Closing releases what the link holds."""

    def test_port_of_a_closed_entry_stays_bound(self):
        """Guards against an entry that cannot start at the port of a closed one."""
        address = free_address()
        host, _, port = address.rpartition(":")
        link = make_link(address)
        link.start()
        link.close()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as successor:
            successor.bind((host, int(port)))
