"""HTTP servers by waitress, with tasks run by a ``concurrent.futures`` executor."""

import concurrent.futures
import http
import threading

import waitress.server

from monsoonline.types import Answer, Request

__all__ = ["ExecutorDispatcher", "HttpServer", "request_of"]

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 32 << 10


class ExecutorDispatcher:
    """Runs waitress tasks on a :class:`concurrent.futures.ThreadPoolExecutor`.

    :param workers: number of threads, the most requests served at once
    """

    def __init__(self, *, workers):
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=workers, thread_name_prefix="request"
        )

    def add_task(self, task):
        """Queue a waitress channel for service; called by waitress."""
        self._executor.submit(task.service)

    def set_thread_count(self, count):
        """Accept waitress's call; the executor's size is fixed."""

    def shutdown(self, cancel_pending=True, timeout=5):
        """Finish the running tasks; called by waitress."""
        self._executor.shutdown(wait=True, cancel_futures=cancel_pending)
        return True


def request_of(environ):
    """Build a request from a WSGI environment.

    :param environ: the WSGI environment made by waitress
    :returns: :class:`monsoonline.types.Request` with the body read whole
    """
    headers = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    length = int(environ.get("CONTENT_LENGTH") or 0)
    query = environ.get("QUERY_STRING")
    target = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    if query and "?" not in target:
        target = f"{target}?{query}"
    return Request(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", "").partition(":")[0].lower(),
        target=target,
        headers=tuple(headers),
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def status_line(answer: Answer):
    """Return the WSGI status line of an answer."""
    if answer.reason:
        return f"{answer.status} {answer.reason}"
    try:
        return f"{answer.status} {http.HTTPStatus(answer.status).phrase}"
    except ValueError:
        return f"{answer.status} Unknown"


class HttpServer:
    """One listening HTTP server.

    :param handler: called with a :class:`Request`, returns an :class:`Answer`
    :param host: IP number to listen on
    :param port: port, 0 for any free one
    :param workers: number of threads
    """

    def __init__(self, *, handler, host, port, workers):
        self._handler = handler
        self._server = waitress.server.create_server(
            self._application,
            host=host,
            port=port,
            threads=workers,
            ident=None,
            max_request_body_size=MAX_BODY_BYTES,
            max_request_header_size=MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=False,
            _dispatcher=ExecutorDispatcher(workers=workers),
        )
        self._thread = None

    @property
    def address(self):
        """``host:port`` on which the server listens."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self):
        """Serve in a thread of its own."""
        self._thread = threading.Thread(
            target=self._server.run, name=f"http-{self.address}", daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop accepting connections and end the serving thread."""
        self._server.close()

    def _application(self, environ, start_response):
        answer = self._handler(request_of(environ))
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        start_response(status_line(answer), headers)
        return [answer.body]
