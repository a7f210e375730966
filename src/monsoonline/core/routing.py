"""Matching of requests to routes."""

import collections

__all__ = ["RouteTable"]


class RouteTable:
    """Index that matches requests to routes.

    The most specific route wins: an exact host before any host, then the longest
    path prefix, then the most required headers, then the fewest methods. The name is
    the final tie-breaker, so the result does not depend on the order of the rows.

    :param routes: the routes of the tables in effect
    """

    def __init__(self, *, routes):
        self._by_host = collections.defaultdict(dict)
        for route in sorted(routes, key=self._specificity):
            by_prefix = self._by_host[route.match.host]
            by_prefix.setdefault(route.match.path_prefix, []).append(route)

    def match(self, request):
        """Find the route of a request.

        :param request: a :class:`monsoonline.types.Request`
        :returns: the :class:`monsoonline.core.model.Route`, or ``None``
        """
        prefixes = tuple(prefixes_of(request.path))
        for host in (request.host, ""):
            by_prefix = self._by_host.get(host)
            for prefix in prefixes if by_prefix else ():
                for route in by_prefix.get(prefix, ()):
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
        if match.methods and request.method not in match.methods:
            return False
        return all(request.header(name) == value for name, value in match.headers)


def prefixes_of(path):
    """Yield the prefixes of a path that end at a segment boundary, longest first.

    A boundary is the end of the path or a slash, which the prefix may include or not:
    ``/quote`` is a prefix of ``/quote/7`` but not of ``/quotes``.
    """
    yield path
    end = len(path)
    while (slash := path.rfind("/", 0, end)) >= 0:
        if slash + 1 < len(path):
            yield path[: slash + 1]
        if slash:
            yield path[:slash]
        end = slash
