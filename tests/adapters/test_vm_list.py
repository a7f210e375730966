"""Tests of the VM list port over HTTP."""

import unittest

from monsoonline.adapters.platform import PlatformClient
from monsoonline.adapters.vm_list import HttpVirtualMachineList, parse_rows
from monsoonline.errors import StoreUnavailable
from monsoonline.standin.platform import PlatformStandIn


def row(name, *, leaving=False):
    """Return a row of the VM list as the platform sends it."""
    return {
        "name": name,
        "role": "upstream",
        "address": f"127.0.0.1:{len(name)}",
        "failure_domain": "a",
        "leaving": leaving,
    }


class TestHttpVirtualMachineList(unittest.TestCase):
    """Conditional reads of a changing list."""

    def setUp(self):
        self.platform = PlatformStandIn()
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.client = PlatformClient(url=self.platform.url)
        self.machines = HttpVirtualMachineList(client=self.client)

    def read(self):
        return [(m.name, m.leaving) for m in self.machines.read()]

    def test_changed_list_is_read(self):
        """Guards against missing a leaving upstream because of a stale entity tag."""
        self.platform.put_machines([row("u")])
        self.assertEqual(self.read(), [("u", False)])
        self.assertEqual(self.read(), [("u", False)])
        self.platform.put_machines([row("u", leaving=True)])
        self.assertEqual(self.read(), [("u", True)])

    def test_unchanged_list_is_not_sent_again(self):
        self.platform.put_machines([row(f"u{number}") for number in range(50)])
        first = self.client.get_if_changed("/v1/machines", entity_tag="")
        second = self.client.get_if_changed("/v1/machines", entity_tag=first.entity_tag)
        self.assertEqual((second.status, second.content), (304, b""))
        self.assertGreater(len(first.content), 1000)

    def test_odd_row_hides_no_leaving_machine(self):
        """Guards against one row of another writer that stops reads of the list."""
        for odd in (None, 5, {}, row("x") | {"leaving": "yes"}, {"name": ["u"]}):
            with self.subTest(odd=odd):
                self.platform.put_machines([odd, row("u", leaving=True)])
                self.assertEqual(self.read(), [("u", True)])

    def test_outage_is_reported_despite_a_cached_list(self):
        self.platform.put_machines([row("u")])
        self.read()
        self.platform.set_faults("machines", outage=True)
        self.assertRaises(StoreUnavailable, self.machines.read)

    def test_invalid_document_is_reported_as_outage(self):
        for content in (b"", b"{}", b'{"vms": [{"name": 1, "more": 2}]}'):
            with self.subTest(content=content):
                self.assertRaises(StoreUnavailable, parse_rows, content)
