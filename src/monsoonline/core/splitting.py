"""Weighted split of a route's requests among several pools."""

import random

__all__ = ["ShareChooser"]


class ShareChooser:
    """Chooses pools so that their shares follow the weights closely.

    Smooth weighted round robin: each choice adds every weight to its pool's credit
    and subtracts the total from the chosen one. Random initial credits prevent all
    entries from starting with the same pool, which matters with few requests.

    :param generator: :class:`random.Random`, a fresh one when omitted
    """

    def __init__(self, *, generator=None):
        self._generator = generator or random.Random()
        self._credits = {}

    def choose(self, route):
        """Return the name of the pool that serves the next request of a route."""
        if not route.shares:
            return route.pool
        known = self._credits.get(route.name)
        if known is None or known[0] != route.shares:
            credits = {
                share.pool: self._generator.random() * share.weight
                for share in route.shares
            }
            known = self._credits[route.name] = (route.shares, credits)
        credits = known[1]
        total = 0.0
        for share in route.shares:
            credits[share.pool] += share.weight
            total += share.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen
