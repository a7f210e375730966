"""Tests of the platform's headers and responses."""

import json
import unittest

from monsoonline.errors import Refusal
from monsoonline.platform.headers import (
    caller_domain,
    discovery_response,
    parse_load,
    parse_store_era,
    refusal_response,
)
from monsoonline.types import LoadReport, Outcome, Request


class TestLoad(unittest.TestCase):
    """The load header has three or four numbers."""

    def test_three_numbers(self):
        expected = LoadReport(in_flight=3, queued=1, slots=8)
        self.assertEqual(parse_load("3,1,8"), expected)

    def test_fourth_number_is_the_slowdown_in_percent(self):
        self.assertEqual(parse_load("0,0,3,700").pace, 7.0)

    def test_invalid_headers_give_no_report(self):
        for value in ("", "3,1", "a,b,c", "1,2,0", "1,2,3,x"):
            with self.subTest(value=value):
                self.assertIsNone(parse_load(value))


class TestStoreEra(unittest.TestCase):
    """The era of the store is a whole number."""

    def test_valid_and_invalid_headers(self):
        for text, era in (("0", 0), ("17", 17), ("32767", 32_767)):
            with self.subTest(text):
                self.assertEqual(parse_store_era(text), era)
        invalid = "", "-1", "+1", "1.0", "1_0", "0x1", "٣", "nan", "1e3", "32768"
        for text in (None, *invalid, "1" * 400):
            with self.subTest(text):
                self.assertIsNone(parse_store_era(text))


class TestRefusal(unittest.TestCase):
    """The response to a refused request has Retry-After in fractional seconds."""

    def test_retry_after(self):
        refusal = Refusal(
            "full",
            code="overload",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=250.0,
        )
        response = refusal_response(refusal)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.header("Retry-After"), "0.250")
        self.assertEqual(json.loads(response.body)["error"], "overload")


class TestDiscovery(unittest.TestCase):
    """Requests and responses of the discovery of entries."""

    def test_zone_of_the_request(self):
        request = Request(method="GET", host="", target="/-/resolve?name=a&zone=zh-a")
        self.assertEqual(caller_domain(request), "zh-a")
        bare = Request(method="GET", host="", target="/-/resolve")
        self.assertIsNone(caller_domain(bare))

    def test_response_has_addresses_and_lifetime(self):
        document = json.loads(discovery_response(["10.0.0.1:80"], 2_000.0).body)
        self.assertEqual(document, {"addresses": ["10.0.0.1:80"], "ttl": "2000ms"})
