"""Messages between entries about themselves, the store and upstreams."""

import dataclasses

from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember, MemberAge
from monsoonline.core.registrations import Registration, RegistrationDelta
from monsoonline.types import LoadReport

__all__ = [
    "Heartbeat",
    "FailureNotice",
    "LoadNotice",
    "ReadNotice",
    "SharedStateCopy",
    "UpstreamFailure",
    "UpstreamLoad",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Periodic message to a few entries with known members and state revisions.

    :param sender: the sending entry
    :param members: other members of its failure domain, with the age of each update
    :param read_age_ms: age of the newest known read of the store, ``None`` if there
        was none
    :param tables_revision: revision of the tables in effect
    :param registrations_revision: revision of the registrations in effect
    :param registrations_digest: digest of the registrations in effect
    """

    sender: FleetMember
    members: tuple[MemberAge, ...]
    read_age_ms: float | None
    tables_revision: int
    registrations_revision: int
    registrations_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadNotice:
    """Message to all entries after each successful read of the store.

    :param sender: the entry that read
    :param read_age_ms: time since the read began
    :param tables_revision: revision of the tables in the store
    :param delta: changes of the registrations that the read found
    """

    sender: FleetMember
    read_age_ms: float
    tables_revision: int
    delta: RegistrationDelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """A failure of an upstream that an entry observed.

    :param instance: id of the upstream
    :param weight: weight of the failure, as in :mod:`monsoonline.core.upstream_view`
    """

    instance: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureNotice:
    """Message with failures and crash reports since the sender's last notice.

    :param sender: the sending entry
    :param failures: failures of upstreams
    :param crashes: requests that were running when upstreams crashed
    """

    sender: FleetMember
    failures: tuple[UpstreamFailure, ...]
    crashes: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """A load report that an entry has just received.

    :param instance: id of the upstream
    :param report: its :class:`monsoonline.types.LoadReport`
    """

    instance: str
    report: LoadReport


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadNotice:
    """Message within a failure domain with the load reports of one decision.

    :param sender: name of the sending entry
    :param loads: the newest report of each upstream that was probed
    :param chosen: id of the upstream that got the request, empty if none did
    """

    sender: str
    loads: tuple[UpstreamLoad, ...]
    chosen: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedStateCopy:
    """The complete state that an entry transfers to another.

    :param tables_revision: revision of ``tables``, 0 without tables
    :param tables: the tables as stored, empty if the requesting entry has them
    :param registrations_revision: revision of ``registrations``
    :param registrations: all registrations, ``None`` if the requesting entry has them
    :param read_age_ms: age of the newest known read of the store
    :param members: all members known to the sending entry
    """

    tables_revision: int
    tables: bytes
    registrations_revision: int
    registrations: tuple[Registration, ...] | None
    read_age_ms: float | None
    members: tuple[MemberAge, ...]
