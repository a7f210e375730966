"""Process with callers that keep connections to entries and record what they see."""

import http.client
import json
import random
import socket
import struct
import threading
import time

from tools.soak.history import Response

__all__ = ["HOST", "call_entries", "prefixes_of"]

HOST = "soak.example"
REPORT_INTERVAL_S = 0.2
TIMEOUT_S = 4.0
MAX_REQUESTS_PER_CONNECTION = 30
LONG_WORK_SHARE = 0.1
LONG_WORK_S = 1.2
UPSTREAM_BODY = b"ok"
RESET_SHARE = 0.05
# Longest time between a request and the reset of its connection.
RESET_DELAY_S = 0.1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def prefixes_of(version, lifetime):
    """Return the prefixes of the short-lived routes of a version.

    :param version: number of the version
    :param lifetime: number of versions in which a route exists
    """
    return [f"/r{number}/" for number in range(version - lifetime + 1, version + 1)]


class Caller:
    """One caller; it uses a connection until the entry closes it.

    :param entries: ``host:port`` by name of the entry
    :param current: shared number of the newest version that was sent
    :param stopping: event that ends the caller after its request
    :param lifetime: number of versions in which a route exists
    :param pause_s: mean pause between two requests
    :param generator: :class:`random.Random`
    :param report: called with each :class:`Response`
    """

    def __init__(
        self, *, entries, current, stopping, lifetime, pause_s, generator, report
    ):
        self._entries = entries
        self._current = current
        self._stopping = stopping
        self._lifetime = lifetime
        self._pause_s = pause_s
        self._generator = generator
        self._report = report

    def run(self):
        """Send requests until the event is set."""
        while not self._stopping.is_set():
            name = self._generator.choice(list(self._entries))
            host, _, port = self._entries[name].rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
            try:
                connection.connect()
                for _ in range(self._generator.randrange(MAX_REQUESTS_PER_CONNECTION)):
                    time.sleep(self._generator.uniform(0, 2 * self._pause_s))
                    if self._stopping.is_set() or not self._send(connection, name):
                        break
            except OSError:
                time.sleep(self._pause_s)
            finally:
                connection.close()

    def _choose_prefix(self):
        version = self._current.value
        newest, oldest = version, version - self._lifetime + 1
        number = self._generator.choice(
            (newest, newest - 1, newest - 2, oldest, oldest - 1, oldest - 3)
        )
        return self._generator.choice((f"/r{number}/", f"/r{number}/", "/moved/"))

    def _send(self, connection, entry):
        """Send one request; return whether the connection can be used again."""
        prefix = self._choose_prefix()
        safe = prefix != "/moved/"
        request_id = f"{self._generator.getrandbits(64):016x}"
        long_work = self._generator.random() < LONG_WORK_SHARE
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(TIMEOUT_S * 1e3)),
            "X-Work-S": str(LONG_WORK_S if long_work else 0.02),
        }
        method, body = ("GET", None) if safe else ("POST", b"order")
        reset = self._generator.random() < RESET_SHARE
        sent_at = time.monotonic()
        status, code, reusable, whole = None, "", False, True
        try:
            connection.request(method, f"{prefix}1", body=body, headers=headers)
            if reset:
                self._reset(connection)
            response = connection.getresponse()
            content = response.read()
            status, reusable = response.status, not response.will_close
            whole = status != 200 or content == UPSTREAM_BODY
            if status >= 400 and content.startswith(b"{"):
                code = json.loads(content).get("error", "")
        except (OSError, http.client.HTTPException, ValueError):
            connection.close()
        self._report(
            Response(
                entry=entry,
                request_id=request_id,
                prefix=prefix,
                safe=safe,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=status,
                code=code,
                reset=reset,
                whole=whole,
            )
        )
        return reusable

    def _reset(self, connection):
        """Reset the connection while its request may be running.

        :raises ConnectionAbortedError: always, as no response can be read
        """
        time.sleep(self._generator.uniform(0, RESET_DELAY_S))
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raise ConnectionAbortedError("the caller resets its connection")


def call_entries(
    entries, current, stopping, responses, *, callers, lifetime, pause_s, seed
):
    """Run callers until an event is set and their requests have ended.

    :param entries: ``host:port`` by name of the entry
    :param current: shared number of the newest version that was sent
    :param stopping: event that ends the callers
    :param responses: queue for lists of :class:`Response`
    :param callers: number of callers
    """
    pending, threads = [], []
    for number in range(callers):
        caller = Caller(
            entries=entries,
            current=current,
            stopping=stopping,
            lifetime=lifetime,
            pause_s=pause_s,
            generator=random.Random(f"{seed}/{number}"),
            report=pending.append,
        )
        threads.append(threading.Thread(target=caller.run, daemon=True))
        threads[-1].start()
    running = True
    while running:
        running = any(thread.is_alive() for thread in threads)
        time.sleep(REPORT_INTERVAL_S)
        batch = pending[:]
        del pending[: len(batch)]
        if batch:
            responses.put(batch)
