"""Matching of requests to routes."""

import collections

__all__ = ["RouteTable"]


class RouteTable:
    """Index of routes for matching.

    The most specific route wins: an exact host before any host, then the longest
    path prefix, then the most required headers, then the fewest methods, then the
    name, so that the result never depends on the order of the rows.

    :param routes: the routes of the tables in force
    """

    def __init__(self, *, routes):
        self._by_host = collections.defaultdict(list)
        for route in sorted(routes, key=self._specificity):
            self._by_host[route.match.host].append(route)

    def match(self, request):
        """Find the route of a request.

        :param request: a :class:`monsoonline.types.Request`
        :returns: the :class:`Route`, or ``None``
        """
        for host in (request.host, ""):
            for route in self._by_host.get(host, ()):
                if self._matches(route.match, request):
                    return route
        return None

    @staticmethod
    def _specificity(route):
        match = route.match
        methods = len(match.methods) or float("inf")
        return (-len(match.path_prefix), -len(match.headers), methods, route.name)

    @staticmethod
    def _matches(match, request):
        path = request.path
        prefix = match.path_prefix
        if not path.startswith(prefix):
            return False
        # A prefix ends at a segment border: "/quote" does not match "/quotes".
        if not prefix.endswith("/") and path[len(prefix) : len(prefix) + 1] not in (
            "",
            "/",
        ):
            return False
        if match.methods and request.method not in match.methods:
            return False
        return all(request.header(name) == value for name, value in match.headers)
