"""Settings of an entry that keeps its shared state in a store service."""

import dataclasses
import pathlib

from monsoonline.core.checked_fields import CheckedFields
from monsoonline.core.retry_budget import RetryLimits
from monsoonline.core.strict_json import parse_strict_json
from monsoonline.errors import Finding, FindingsError

__all__ = ["FleetEntrySettings", "Listeners", "load_fleet_settings", "parse_settings"]

LOG_LEVELS = ("INFO", "DEBUG", "WARNING", "ERROR")
# Lifetime of a discovery response if none is configured. A shorter lifetime makes
# callers send more discovery requests.
DEFAULT_DISCOVERY_LIFETIME_MS = 2_000.0
# File descriptors reserved for purposes other than sockets.
RESERVED_DESCRIPTORS = 200
# One descriptor for the caller's connection and one for the connection to an upstream.
DESCRIPTORS_PER_CONNECTION = 2
MAX_CONNECTIONS = 1024
# Approximate memory of the thread that serves a connection.
MEMORY_PER_CONNECTION_MB = 0.1
CONNECTION_MEMORY_SHARE = 0.4
# Memory of an idle entry process.
IDLE_PROCESS_MB = 70.0
# Share of the memory that the process may use in full; the rest covers copies while
# messages are converted, and what the allocator keeps.
USABLE_MEMORY_SHARE = 0.9
# Memory for messages and connections on a machine that is too small for an entry.
MIN_MESSAGE_MEMORY_MB = 8.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listeners:
    """Listen addresses of an entry, as ``host:port``.

    :param callers: requests of callers
    :param readiness: readiness checks
    :param discovery: discovery of entries by callers, ``None`` to disable it
    :param peers: messages of other entries
    """

    callers: str
    readiness: str
    discovery: str | None
    peers: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry process.

    :param name: unique name of the entry
    :param failure_domain: failure domain in which the entry runs
    :param listeners: listen addresses
    :param store: ``host:port`` of the store service
    :param repeats: retry budget of one pool, shared by all entries
    :param probes_per_second: maximum rate of probes to one upstream from all entries
    :param discovery_lifetime_ms: time for which callers may cache a discovery response
    :param stop_limit_ms: time after which a stopping process is killed
    :param connections: maximum number of concurrent connections of callers
    :param message_bytes: limit of the memory of all connections and of the messages
        that they hold
    :param log_level: lowest level of log lines that are written
    """

    name: str
    failure_domain: str
    listeners: Listeners
    store: str
    repeats: RetryLimits
    probes_per_second: float
    discovery_lifetime_ms: float
    stop_limit_ms: float
    connections: int
    message_bytes: int
    log_level: str


def load_fleet_settings(path):
    """Read and validate a settings file.

    :param path: path of the JSON file
    :returns: :class:`FleetEntrySettings`
    :raises FindingsError: if the file is invalid; holds all findings
    """
    return parse_settings(pathlib.Path(path).read_bytes(), place=str(path))


def parse_settings(content, *, place):
    """Parse and validate a settings document.

    :param content: JSON document as bytes
    :param place: source of the document, quoted in the findings
    :returns: :class:`FleetEntrySettings`
    :raises FindingsError: if the document is invalid; holds all findings
    """
    try:
        document = parse_strict_json(content)
    except ValueError as error:
        raise FindingsError(
            [Finding(place=place, path=".", value=str(error), expected="JSON")]
        ) from None
    fields = CheckedFields(document, place=place)
    listen = fields.child("listen")
    repeats = fields.child("repeats")
    machine = fields.child("machine")
    lifetime_ms = fields.duration_ms("discovery_lifetime", default=None)
    memory_mb = machine.number("memory_mb", minimum=1)
    settings = FleetEntrySettings(
        name=fields.string("name"),
        failure_domain=fields.string("failure_domain"),
        listeners=Listeners(
            callers=listen.address("callers"),
            readiness=listen.address("readiness"),
            discovery=listen.address("discovery", default=None),
            peers=listen.address("peers"),
        ),
        store=fields.address("store"),
        repeats=RetryLimits(
            ratio=repeats.number("ratio"),
            slack=repeats.number("slack"),
            window_ms=repeats.duration_ms("window"),
        ),
        probes_per_second=fields.number("probes_per_second", minimum=0.1),
        discovery_lifetime_ms=min(
            DEFAULT_DISCOVERY_LIFETIME_MS if lifetime_ms is None else lifetime_ms,
            fields.duration_ms("discovery_lifetime_limit"),
        ),
        stop_limit_ms=fields.duration_ms("stop_limit"),
        connections=connection_limit(
            memory_mb=memory_mb,
            descriptors=machine.integer("descriptors", minimum=1),
        ),
        message_bytes=int(
            1e6
            * machine.number(
                "message_memory_mb",
                minimum=1,
                default=message_memory_mb(memory_mb=memory_mb),
            )
        ),
        log_level=fields.choice("log_level", LOG_LEVELS, default="INFO"),
    )
    fields.finish()
    return settings


def message_memory_mb(*, memory_mb):
    """Return the memory in MB for connections and the messages that they hold.

    :param memory_mb: memory of the machine in MB
    """
    return max(MIN_MESSAGE_MEMORY_MB, USABLE_MEMORY_SHARE * memory_mb - IDLE_PROCESS_MB)


def connection_limit(*, memory_mb, descriptors):
    """Return the maximum number of concurrent callers' connections of an entry.

    :param memory_mb: memory of the machine in MB
    :param descriptors: limit of open file descriptors of the process
    """
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    by_memory = int(memory_mb * CONNECTION_MEMORY_SHARE / MEMORY_PER_CONNECTION_MB)
    return max(16, min(MAX_CONNECTIONS, by_descriptors, by_memory))
