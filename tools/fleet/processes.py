"""Processes started by an experiment, and free ports for them."""

import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import time

import orjson

__all__ = ["Program", "StartFailed", "find_free_ports"]

START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
# Below the kernel's range of ephemeral ports, so that no outgoing connection occupies
# the port of a process while it restarts.
FIRST_PORT = 20_000
PORT_COUNT = 10_000
# More ports than one process needs.
PORT_STRIDE = 509


class StartFailed(Exception):
    """A process did not print a line in time, or there are no free ports for it."""


class Program:
    """Process of a ``monsoonline`` subcommand that prints a JSON line once started.

    :param arguments: name of the subcommand and its arguments
    :param log: file to which standard error is written
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
        """Operating system id of the process."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process is still running."""
        return self._process.poll() is None

    @property
    def log_lines(self):
        """The JSON objects that the process has logged so far."""
        lines = self._log.read_bytes().split(b"\n")[:-1]
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]

    def read_line(self, *, timeout_seconds=START_TIMEOUT_SECONDS):
        """Return the JSON value of the next line on standard output.

        :raises StartFailed: when no line is printed in time
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
        """Kill the process without a graceful stop."""
        self._process.kill()

    def wait(self, *, timeout_seconds=STOP_TIMEOUT_SECONDS):
        """Wait until the process ends; kill it when the timeout expires.

        :returns: exit code; negative if a signal ended the process
        """
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait(STOP_TIMEOUT_SECONDS)

    def close(self):
        """Kill the process if it is running, and close its pipe."""
        if self.running:
            self.kill()
        self.wait()
        self._process.stdout.close()


def find_free_ports(count):
    """Return ports that are free on loopback for both TCP and UDP."""
    ports = []
    # Processes that are started at the same moment look in different parts.
    start = os.getpid() * PORT_STRIDE + time.monotonic_ns() // 1_000_000
    for offset in range(PORT_COUNT):
        port = FIRST_PORT + (start + offset) % PORT_COUNT
        if all(is_free(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise StartFailed(f"found {len(ports)} free ports, expected {count}")


def is_free(port, kind):
    """Return whether a port can be bound on loopback."""
    with socket.socket(socket.AF_INET, kind) as candidate:
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
