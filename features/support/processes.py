"""Processes that the scenarios start and end by their own ids."""

import os
import pathlib
import signal
import subprocess
import sys

import orjson

from support.polling import wait_until

__all__ = ["ManagedProcess"]

START_SECONDS = 20.0
EXIT_SECONDS = 15.0
ROOT = pathlib.Path(__file__).resolve().parents[2]


class ManagedProcess:
    """One process of the program, with its output in files.

    :param name: of the process in the scenario
    :param arguments: of the program; ``--json`` is added
    :param directory: for its output
    """

    def __init__(self, *, name, arguments, directory):
        self._name = name
        self._output = pathlib.Path(directory, f"{name}.out")
        self._errors = pathlib.Path(directory, f"{name}.err")
        self._paused = False
        paths = [str(ROOT / "src"), os.environ.get("PYTHONPATH", "")]
        # Numeric libraries would start a thread per core in every process.
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(filter(None, paths)),
            "OPENBLAS_NUM_THREADS": "1",
        }
        with self._output.open("wb") as output, self._errors.open("wb") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "monsoonline", *arguments, "--json"],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                env=environment,
                # A signal to the terminal's group must reach only the runner, which
                # ends its processes itself.
                start_new_session=True,
            )

    @property
    def name(self):
        """Name of the process in the scenario."""
        return self._name

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self):
        """Exit code, ``None`` while it runs."""
        return self._process.poll()

    @property
    def paused(self):
        """Whether it was paused and not resumed."""
        return self._paused

    def lines(self):
        """Return the JSON documents that it printed, in order."""
        text = self._output.read_bytes()
        complete = text[: text.rfind(b"\n") + 1]
        return [orjson.loads(line) for line in complete.splitlines()]

    def start_line(self):
        """Wait for the first line and return its document."""
        lines = wait_until(
            lambda: self.lines() or not self.running,
            seconds=START_SECONDS,
            what=f"start of {self._name}",
        )
        if not isinstance(lines, list):
            errors = self._errors.read_text()[-2000:]
            raise AssertionError(f"{self._name} ended at its start: {errors}")
        return lines[0]

    def kill(self):
        """End it at once."""
        if self.running:
            self._process.kill()
        self._process.wait(EXIT_SECONDS)

    def terminate(self):
        """Ask for a graceful stop."""
        self._process.send_signal(signal.SIGTERM)

    def pause(self):
        """Stop its execution."""
        self._process.send_signal(signal.SIGSTOP)
        self._paused = True

    def resume(self):
        """Continue its execution."""
        self._process.send_signal(signal.SIGCONT)
        self._paused = False
