"""Upstream stand-in processes and their records."""

import dataclasses
import pathlib

import orjson

from monsoonline.standin.upstream import UpstreamFaults
from support.http import exchange
from support.processes import ManagedProcess

__all__ = ["NEIGHBOUR_TARGET", "PROBE_TARGET", "Run", "UpstreamProcess"]

# Path of the probes in the pools of the scenarios.
PROBE_TARGET = "/health"
# Path of requests that a noisy neighbour sends to an upstream itself.
NEIGHBOUR_TARGET = "/neighbour"
SERVICE_MS = 4.0
SERVICE_SIGMA = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One request that got a slot, as the upstream itself recorded it.

    :param number: position among the runs of its upstream
    :param key: its at-most-once key, or ``None``
    :param target: its target
    :param identity: number of the request, the same for a resend, or ``None``
    :param started: instant in ms
    :param ended: instant in ms, ``None`` while it runs or when it was killed
    :param completed: whether it ran to its end
    """

    number: int
    key: str | None
    target: str
    identity: str | None
    started: float
    ended: float | None
    completed: bool


class UpstreamProcess(ManagedProcess):
    """One upstream stand-in; its records outlive a kill.

    :param name: of the upstream in the scenario
    :param directory: for its output and records
    :param slots: requests served at once
    :param seed: of its service times and faults
    """

    def __init__(self, *, name, directory, slots, seed):
        self._records = pathlib.Path(directory, f"{name}.records")
        self._records.touch()
        arguments = ["upstream", "--slots", str(slots), "--seed", str(seed)]
        arguments += ["--service-ms", str(SERVICE_MS)]
        arguments += ["--service-sigma", str(SERVICE_SIGMA)]
        arguments += ["--records", str(self._records)]
        super().__init__(name=name, arguments=arguments, directory=directory)
        self._changed = False

    @property
    def address(self):
        """``host:port``."""
        return self.start_line()["address"]

    def runs(self):
        """Return the :class:`Run` records, probes included, in order of the start."""
        text = self._records.read_bytes()
        # The last line of a number holds its latest state.
        latest = {}
        for line in text[: text.rfind(b"\n") + 1].splitlines():
            document = orjson.loads(line)
            latest[document["number"]] = Run(**document)
        return [latest[number] for number in sorted(latest)]

    def work(self):
        """Return the runs that are neither probes nor those of a neighbour."""
        others = (PROBE_TARGET, NEIGHBOUR_TARGET)
        return [run for run in self.runs() if run.target not in others]

    def configure(self, **faults):
        """Switch faults; see ``monsoonline.standin.upstream.UpstreamFaults``."""
        self._changed = True
        reply = exchange(
            self.address, "POST", "/.standin/faults", body=orjson.dumps(faults)
        )
        assert reply.status == 200, reply

    def reset(self):
        """Return to the behaviour at the start."""
        if self._changed:
            faults = UpstreamFaults(service_ms=SERVICE_MS, service_sigma=SERVICE_SIGMA)
            self.configure(**faults.model_dump())
            self._changed = False

    def command(self, name):
        """Send ``silence``, ``cut`` or ``crash``."""
        assert exchange(self.address, "POST", f"/.standin/{name}").status == 200

    def counts(self):
        """Return the stand-in's counts of answers by kind."""
        return exchange(self.address, "GET", "/.standin/records").document["counts"]
