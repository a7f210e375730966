"""Runs ``monsoonline bench relay`` against an upstream and an entry in new processes.

Command line arguments are passed to the bench command.
"""

import contextlib
import http.client
import pathlib
import subprocess
import sys
import tempfile
import time

import orjson

from monsoonline.bench.relay import SLOTS, pool_row, route_row
from monsoonline.standin.platform import PlatformStandIn

READY_TIMEOUT_SECONDS = 10.0


@contextlib.contextmanager
def run_program(*arguments):
    """Run a subcommand that prints a JSON line; yield its process and the value."""
    process = subprocess.Popen(
        [sys.executable, "-m", "monsoonline", *arguments, "--json"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process, orjson.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait(10)


def wait_until_ready(address):
    """Wait until an entry reports that it is ready."""
    limit = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < limit:
        connection = http.client.HTTPConnection(address, timeout=1)
        with contextlib.closing(connection), contextlib.suppress(OSError):
            connection.request("GET", "/readyz")
            if connection.getresponse().status == 200:
                return
        time.sleep(0.05)
    raise TimeoutError(
        f"entry {address} is not ready after {READY_TIMEOUT_SECONDS:g} s"
    )


def main():
    """Run the upstream, entry and bench processes; return the bench's exit code."""
    with contextlib.ExitStack() as stack:
        platform = PlatformStandIn()
        platform.start()
        stack.callback(platform.close)
        _, upstream = stack.enter_context(
            run_program("upstream", "--slots", str(SLOTS), "--service-ms", "0")
        )
        platform.put_row("pools", "bench", pool_row(upstream["address"]))
        platform.put_row("routes", "bench", route_row("bench"))
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        settings = pathlib.Path(directory) / "entry.json"
        settings.write_bytes(
            orjson.dumps({"name": "bench", "platform": {"url": platform.url}})
        )
        entry_process, entry = stack.enter_context(run_program("entry", str(settings)))
        wait_until_ready(entry["operations"])
        bench = [sys.executable, "-m", "monsoonline", "bench", "relay"]
        bench += ["--entry", entry["callers"], "--upstream", upstream["address"]]
        bench += ["--entry-process", str(entry_process.pid), *sys.argv[1:]]
        return subprocess.run(bench).returncode


if __name__ == "__main__":
    sys.exit(main())
