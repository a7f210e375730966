"""Tests of the matching of requests to routes."""

import random
import unittest

from monsoonline.core.model import Route, RouteMatch
from monsoonline.core.routing import RouteTable, prefixes_of
from monsoonline.types import Request


def route(name, prefix, *, host="", methods=()):
    match = RouteMatch(host=host, path_prefix=prefix, methods=methods)
    return Route(name=name, department="d", pool="p", match=match, idempotent=True)


def matched(table, target, *, host="shop", method="GET"):
    found = table.match(Request(method=method, host=host, target=target))
    return found.name if found else None


class TestRouteTable(unittest.TestCase):
    """Guards against matches that depend on the order of the rows."""

    def test_longest_prefix_wins_at_a_segment_boundary(self):
        table = RouteTable(
            routes=[route("all", "/"), route("q", "/quote"), route("qa", "/quote/a/")]
        )
        self.assertEqual(matched(table, "/quote"), "q")
        self.assertEqual(matched(table, "/quote/a/7?x=/quote"), "qa")
        self.assertEqual(matched(table, "/quote/a"), "q")
        self.assertEqual(matched(table, "/quotes"), "all")

    def test_exact_host_is_preferred_to_any_host(self):
        table = RouteTable(
            routes=[route("any", "/a/b/"), route("own", "/", host="shop")]
        )
        self.assertEqual(matched(table, "/a/b/c"), "own")
        self.assertEqual(matched(table, "/a/b/c", host="other"), "any")
        self.assertIsNone(matched(table, "/z", host="other"))

    def test_method_decides_between_equal_prefixes(self):
        table = RouteTable(
            routes=[route("any", "/a/"), route("post", "/a/", methods=("POST",))]
        )
        self.assertEqual(matched(table, "/a/x", method="POST"), "post")
        self.assertEqual(matched(table, "/a/x"), "any")

    def test_index_finds_the_same_route_as_a_linear_scan(self):
        """The index replaces a scan of hundreds of routes for each request."""
        generator = random.Random(5)
        parts = ("a", "b", "cc")

        def path(suffix):
            size = generator.randint(0, 4)
            text = "".join(f"/{generator.choice(parts)}" for _ in range(size))
            return (text + suffix) or "/"

        prefixes = {path(generator.choice(("", "/"))) for _ in range(40)}
        table = RouteTable(routes=[route(p, p) for p in prefixes])
        for _ in range(500):
            target = path(generator.choice(("", "/", "/c")))
            matching = [
                p
                for p in prefixes
                if target.startswith(p)
                and (p.endswith("/") or target[len(p) : len(p) + 1] in ("", "/"))
            ]
            expected = max(matching, key=len, default=None)
            self.assertEqual(matched(table, target), expected, target)

    def test_prefixes_are_ordered_by_length(self):
        self.assertEqual(list(prefixes_of("/a/b")), ["/a/b", "/a/", "/a", "/"])
