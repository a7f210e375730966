"""Tests of the weighted split of requests among pools."""

import collections
import random
import unittest

from monsoonline.core.model import PoolShare, Route, RouteMatch
from monsoonline.core.splitting import ShareChooser


def route(**weights):
    shares = tuple(PoolShare(pool=p, weight=w) for p, w in weights.items())
    return Route(
        name="r", department="d", pool="", match=RouteMatch(), idempotent=True,
        shares=shares,
    )  # fmt: skip


class TestShareChooser(unittest.TestCase):
    """Guards against shares that differ from the weights."""

    def test_route_without_shares_has_one_pool(self):
        single = Route(
            name="r", department="d", pool="p", match=RouteMatch(), idempotent=True
        )
        self.assertEqual(ShareChooser().choose(single), "p")

    def test_few_requests_at_many_entries_follow_the_weights(self):
        """If all entries started with the same pool, it would get too many requests."""
        generator = random.Random(1)
        counts = collections.Counter()
        for _ in range(20):
            chooser = ShareChooser(generator=generator)
            for _ in range(16):
                counts[chooser.choose(route(a=70, b=30))] += 1
        self.assertAlmostEqual(counts["b"] / 320, 0.3, delta=0.05)

    def test_changed_weights_take_effect(self):
        chooser = ShareChooser(generator=random.Random(1))
        chooser.choose(route(a=100, b=1))
        counts = collections.Counter(
            chooser.choose(route(a=1, b=99)) for _ in range(100)
        )
        self.assertGreater(counts["b"], 95)
