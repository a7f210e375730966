"""What entries tell each other about themselves, the store and upstreams."""

import dataclasses

from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember, MemberAge
from monsoonline.core.registrations import Registration, RegistrationDelta
from monsoonline.types import LoadReport

__all__ = [
    "FailureNotice",
    "Heartbeat",
    "LoadNotice",
    "ReadNotice",
    "SharedStateCopy",
    "UpstreamFailure",
    "UpstreamLoad",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sent regularly to a few entries: who is there, and which state is known.

    :param sender: the sending entry
    :param members: other members of its failure domain, with the age of the news
    :param read_age_ms: age of the newest read of the store known, ``None`` for none
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
    """Sent to all entries after each successful read of the store.

    :param sender: the entry that read
    :param read_age_ms: time since the read began
    :param tables_revision: revision of the tables in the store
    :param delta: what the read changed in the registrations
    """

    sender: FleetMember
    read_age_ms: float
    tables_revision: int
    delta: RegistrationDelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """A failure that an entry saw.

    :param instance: id of the upstream
    :param weight: how much it says, as in :mod:`monsoonline.core.upstream_view`
    """

    instance: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureNotice:
    """Failures and crash reports since the sender's last notice.

    :param sender: the sending entry
    :param failures: failures of upstreams
    :param crashes: requests that were present at crashes
    """

    sender: FleetMember
    failures: tuple[UpstreamFailure, ...]
    crashes: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """A load report that an entry has just got.

    :param instance: id of the upstream
    :param report: its report
    """

    instance: str
    report: LoadReport


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadNotice:
    """The load reports behind one decision, sent within the failure domain.

    :param sender: name of the sending entry
    :param loads: the newest report of each upstream that was asked
    :param chosen: id of the upstream that got a request, empty for none
    """

    sender: str
    loads: tuple[UpstreamLoad, ...]
    chosen: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedStateCopy:
    """The whole state that an entry hands to another.

    :param tables_revision: revision of ``tables``, 0 for none
    :param tables: the tables as stored, empty where the asking entry has them
    :param registrations_revision: revision of ``registrations``
    :param registrations: all registrations, ``None`` where the asking entry has them
    :param read_age_ms: age of the newest read of the store known
    :param members: all members that the entry knows
    """

    tables_revision: int
    tables: bytes
    registrations_revision: int
    registrations: tuple[Registration, ...] | None
    read_age_ms: float | None
    members: tuple[MemberAge, ...]
