"""Processes that an experiment starts, and the ports that it gives them."""

import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import time

import orjson

__all__ = ["Program", "StartFailed", "take_ports"]

START_TIMEOUT_SECONDS = 60.0
END_TIMEOUT_SECONDS = 30.0
# Below the range from which the kernel takes the ports of outgoing connections, so
# that a restarted process finds its ports free.
FIRST_PORT = 20_000
PORTS = 10_000


class StartFailed(Exception):
    """A process did not print its first line in time."""


class Program:
    """A subcommand of ``monsoonline`` that prints one JSON line when it has started.

    :param arguments: name of the subcommand and its arguments
    :param log: file that takes the standard error
    """

    def __init__(self, arguments, *, log):
        self._log = pathlib.Path(log)
        with self._log.open("wb") as stream:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "monsoonline", *arguments, "--json"],
                stdout=subprocess.PIPE,
                stderr=stream,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    @property
    def process_id(self):
        """Id of the process."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def log_lines(self):
        """The JSON objects that the process has logged so far."""
        lines = self._log.read_bytes().split(b"\n")[:-1]
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]

    def read_line(self, *, timeout_seconds=START_TIMEOUT_SECONDS):
        """Return the next JSON line of the standard output.

        :raises StartFailed: when none came in time
        """
        stdout = self._process.stdout
        readable = select.select([stdout], [], [], timeout_seconds)[0]
        line = stdout.readline() if readable else b""
        if not line:
            text = self._log.read_text(errors="replace")[-2000:]
            raise StartFailed(f"process {self.process_id} printed no line: {text}")
        return orjson.loads(line)

    def terminate(self):
        """Ask the process to stop gracefully."""
        self._process.send_signal(signal.SIGTERM)

    def kill(self):
        """End the process without notice."""
        self._process.kill()

    def wait(self, *, timeout_seconds=END_TIMEOUT_SECONDS):
        """Wait for the end, killing the process at the limit.

        :returns: the exit code, negative after a kill
        """
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait(END_TIMEOUT_SECONDS)

    def close(self):
        """End the process, if it runs, and its pipe."""
        if self.running:
            self.kill()
        self.wait()
        self._process.stdout.close()


def take_ports(count):
    """Return ports that are free for TCP and UDP on loopback."""
    ports = []
    start = os.getpid() * 97 + time.monotonic_ns() // 1_000_000
    for offset in range(PORTS):
        port = FIRST_PORT + (start + offset) % PORTS
        if all(is_free(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise StartFailed(f"no {count} free ports")


def is_free(port, kind):
    """Return whether a port of loopback can be bound."""
    with socket.socket(socket.AF_INET, kind) as candidate:
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
