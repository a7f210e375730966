"""HTTP servers by waitress, with tasks run by a ``concurrent.futures`` executor."""

import concurrent.futures
import http
import select
import threading

import waitress.server
import waitress.wasyncore

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
        self._closing = False
        self._running = 0
        self._running_lock = threading.Lock()

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
        answer = self._call_handler(request_of(environ))
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        self._mark_last_answer(environ)
        start_response(status_line(answer), headers)
        return [answer.body]

    @property
    def open_connections(self):
        """Number of open connections from clients."""
        return len(self._server.active_channels)

    @property
    def requests_in_flight(self):
        """Requests not yet answered completely.

        Requests whose client has disconnected count while their handler runs, since
        their outcome is still to be recorded.
        """
        channels = tuple(self._server.active_channels.values())
        busy = sum(not self._is_idle(channel) for channel in channels)
        return max(busy, self._running)

    def stop_accepting(self):
        """Accept what has connected so far, then close the listening socket."""
        self._server.trigger.pull_trigger(self._close_listener)

    def close_after_answer(self):
        """Close every connection after its next answer (``Connection: close``)."""
        self._closing = True

    def close_idle(self):
        """Close the connections on which no request is in flight."""
        self._server.trigger.pull_trigger(self._close_idle_channels)

    def _call_handler(self, request):
        with self._running_lock:
            self._running += 1
        try:
            return self._handler(request)
        finally:
            with self._running_lock:
                self._running -= 1

    def _close_listener(self):
        # Runs in the serving thread. Closing resets connections that the kernel has
        # established but the server has not accepted, so these are accepted first.
        listener = self._server.socket
        while listener is not None and select.select([listener], [], [], 0)[0]:
            self._server.handle_accept()
        waitress.wasyncore.dispatcher.close(self._server)

    def _close_idle_channels(self):
        for channel in tuple(self._server.active_channels.values()):
            if self._is_idle(channel):
                channel.will_close = True

    @staticmethod
    def _is_idle(channel):
        return not (channel.requests or channel.request or channel.total_outbufs_len)

    def _mark_last_answer(self, environ):
        # waitress refuses a Connection header from the application. It answers with
        # ``Connection: close`` and closes when the request carries that header.
        if self._closing:
            channel = environ["waitress.client_disconnected"].__self__
            channel.requests[0].headers["CONNECTION"] = "close"
