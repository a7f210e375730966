"""Settings of an entry whose shared state lives in a store service."""

import dataclasses
import json
import pathlib

from monsoonline.core.checked_fields import CheckedFields
from monsoonline.core.retry_budget import RetryLimits
from monsoonline.errors import Finding, FindingsError

__all__ = ["FleetEntrySettings", "Listeners", "load_fleet_settings", "parse_settings"]

LOG_LEVELS = ("INFO", "DEBUG", "WARNING", "ERROR")
# Callers keep a discovery answer at least this long; shorter ones cost calls.
DISCOVERY_LIFETIME_MS = 2_000.0
# Descriptors that are not for sockets.
RESERVED_DESCRIPTORS = 200
# Each connection of a caller needs one descriptor, and one to an upstream.
DESCRIPTORS_PER_CONNECTION = 2
MAX_CONNECTIONS = 1024
# A connection's thread takes about this much memory.
CONNECTION_MB = 0.1
CONNECTION_MEMORY_PART = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listeners:
    """Addresses on which an entry listens, ``host:port``.

    :param callers: for callers' requests
    :param readiness: for questions whether the entry is ready
    :param discovery: for questions which entries to use, ``None`` for none
    :param peers: for the other entries
    """

    callers: str
    readiness: str
    discovery: str | None
    peers: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry process.

    :param name: name of the entry, unique
    :param failure_domain: where it runs
    :param listeners: its addresses
    :param store: ``host:port`` of the store service
    :param repeats: budget of repeated attempts of one pool, for all entries
    :param probes_per_second: probes that one upstream may get from all entries
    :param discovery_lifetime_ms: how long callers may keep a discovery answer
    :param stop_limit_ms: time after which a stopping process is killed
    :param connections: callers' connections served at once
    :param log_level: lowest level of log lines
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
    log_level: str


def load_fleet_settings(path):
    """Read a settings file.

    :param path: file name
    :returns: :class:`FleetEntrySettings`
    :raises FindingsError: with all findings
    """
    return parse_settings(pathlib.Path(path).read_bytes(), place=str(path))


def parse_settings(content, *, place):
    """Validate a settings document.

    :param content: JSON bytes
    :param place: named in the findings
    :returns: :class:`FleetEntrySettings`
    :raises FindingsError: with all findings
    """
    try:
        document = json.loads(content)
    except ValueError as error:
        raise FindingsError(
            [Finding(place=place, path=".", value=str(error), expected="JSON")]
        ) from None
    fields = CheckedFields(document, place=place)
    listen = fields.child("listen")
    repeats = fields.child("repeats")
    machine = fields.child("machine")
    lifetime_ms = fields.duration_ms("discovery_lifetime", default=None)
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
            DISCOVERY_LIFETIME_MS if lifetime_ms is None else lifetime_ms,
            fields.duration_ms("discovery_lifetime_limit"),
        ),
        stop_limit_ms=fields.duration_ms("stop_limit"),
        connections=connections_of(
            memory_mb=machine.number("memory_mb", minimum=1),
            descriptors=machine.integer("descriptors", minimum=1),
        ),
        log_level=fields.choice("log_level", LOG_LEVELS, default="INFO"),
    )
    fields.finish()
    return settings


def connections_of(*, memory_mb, descriptors):
    """Return how many callers' connections a machine can serve at once."""
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    by_memory = int(memory_mb * CONNECTION_MEMORY_PART / CONNECTION_MB)
    return max(16, min(MAX_CONNECTIONS, by_descriptors, by_memory))
