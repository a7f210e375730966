"""Operations port of an entry: metrics, health, status and service levels."""

import dataclasses

import orjson

from monsoonline.types import Answer

__all__ = ["Operations"]

JSON_HEADERS = (("Content-Type", "application/json"),)


def json_response(document, *, status=200):
    """Return a response with a JSON body.

    :param document: object that :mod:`orjson` can encode
    :param status: HTTP status code
    """
    return Answer(status=status, headers=JSON_HEADERS, body=orjson.dumps(document))


class Operations:
    """Handles requests of operators and of the platform's health checks.

    :param metrics: :class:`monsoonline.metrics.Metrics`
    :param peers: :class:`monsoonline.ports.PeerNetwork`, or ``None``
    :param configuration: source of the routes in effect
    :param service_levels: :class:`monsoonline.core.service_levels.ServiceLevels`
    :param ready: function that returns whether this entry accepts callers
    :param status: function that returns the status document
    :param administration: :class:`monsoonline.entry.administration.Administration`
    """

    def __init__(
        self,
        *,
        metrics,
        peers,
        configuration,
        service_levels,
        ready,
        status,
        administration,
    ):
        self._metrics = metrics
        self._peers = peers
        self._configuration = configuration
        self._service_levels = service_levels
        self._ready = ready
        self._status = status
        self._administration = administration
        self._handlers = {
            "/metrics": self._metrics_response,
            "/healthz": lambda: Answer(status=200, body=b"ok\n"),
            "/readyz": lambda: Answer(status=200 if self._ready() else 503),
            "/status": lambda: json_response(self._status()),
            "/v1/service-levels": self._service_levels_response,
        }

    def handle(self, request):
        """Return the response to one request."""
        handler = self._handlers.get(request.path)
        if handler is not None:
            return handler()
        return self._administration.handle(request) or Answer(status=404)

    def _metrics_response(self):
        if self._peers is not None:
            self._peers.export_metrics()
        content, headers = self._metrics.render()
        return Answer(status=200, headers=tuple(headers.items()), body=content)

    def _service_levels_response(self):
        routes = self._configuration.tables.routes.values()
        windows = self._service_levels.windows(routes)
        return json_response(
            {
                "history_ms": self._service_levels.history_ms,
                "routes": [dataclasses.asdict(counts) for counts in windows],
            }
        )
