"""Tests of the link between entries on its own."""

import socket
import unittest
from unittest import mock

from monsoonline.clock import SystemClock
from monsoonline.entry.fleet_link import FleetLink
from tests.entry.test_fleet_service import free_address


class TestClose(unittest.TestCase):
    """Closing releases what the link holds."""

    def test_port_of_a_closed_entry_stays_bound(self):
        """Guards against an entry that cannot start at the port of a closed one."""
        address = free_address()
        host, _, port = address.rpartition(":")
        names = ("fleet", "state", "schedule", "on_failure", "on_loads", "crashes")
        others = {name: mock.Mock() for name in (*names, "permits", "gate", "metrics")}
        link = FleetLink(address=address, clock=SystemClock(), **others)
        link.start()
        link.close()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as successor:
            successor.bind((host, int(port)))
